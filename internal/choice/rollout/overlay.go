package rollout

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"lichenhitch/internal/settings"
)

// Fault describes what is wrong with a policy. Key is the path of the invalid key, "" for the whole policy.
type Fault struct{ Key, Fault string }

func (f *Fault) Error() string {
	if f.Key == "" {
		return "policy: " + f.Fault
	}
	return "policy: " + f.Key + ": " + f.Fault
}

// Action returns what an operator can do about the fault.
func (f *Fault) Action() string {
	if f.Key == "" {
		return "write the policy as one JSON object with keys of the settings"
	}
	return "correct or remove " + f.Key + " in the policy, and start the rollout again"
}

// valueKind is the kind of value that a key of a policy takes.
type valueKind uint8

const (
	microseconds valueKind = iota // integer or fractional time in microseconds, at least 0
	count                         // integer of at least 0
	number                        // number of at least 0
	boolean                       // true or false
	weightSource                  // source of the weights
	classGroup                    // group of a class
	classes                       // object with one key per class that it changes
	parties                       // object with one key per party that it changes
	object
)

// keyRule describes a key that a policy may contain: what SIGHUP may change, except for keys about the node, the fleet or the
// clients.
type keyRule struct {
	kind valueKind
	keys map[string]keyRule // of an object; for classes and parties: of each element; nil: each element is a value of kind elem
	elem valueKind
}

var policyKeys = map[string]keyRule{
	"round_us": {kind: microseconds}, "weight_source": {kind: weightSource},
	"permissions": {kind: object, keys: map[string]keyRule{"probes": {kind: boolean}, "peers": {kind: boolean},
		"second_copies": {kind: boolean}, "max_attempts": {kind: count}, "connect_timeout_us": {kind: microseconds},
		"retry_after": {kind: boolean}, "max_retry_after_us": {kind: microseconds}}},
	"safety": {kind: object, keys: map[string]keyRule{"answer_slack_us": {kind: microseconds}, "drain_grace_us": {kind: microseconds},
		"ask_within_us": {kind: microseconds}, "cold_from": {kind: number}, "cold_us": {kind: microseconds},
		"overload_factor": {kind: number}, "tip_after_us": {kind: microseconds}}},
	"tariffs": {kind: object, keys: map[string]keyRule{"cross_zone": {kind: number}, "probe": {kind: number},
		"moves": {kind: number}, "peer": {kind: number}}},
	"request_classes": {kind: classes, keys: map[string]keyRule{"aim_us": {kind: microseconds}, "deadline_us": {kind: microseconds},
		"window_us": {kind: microseconds}, "points": {kind: number}, "group": {kind: classGroup}}},
	"parties": {kind: parties, keys: map[string]keyRule{"share": {kind: number}}},
	"extra": {kind: object, keys: map[string]keyRule{"message_aim_us": {kind: classes, elem: microseconds},
		"tenant_quota_connections": {kind: parties, elem: number}}},
}

// forbiddenKeys are keys of the settings that no policy may contain, with the reason.
var forbiddenKeys = map[string]string{
	"me": "describes one node", "my_zone": "describes one node", "balancers": "describes the fleet",
	"registry_mode": "takes effect only at a start", "extra.mode": "takes effect only at a start",
	"request_classes.semantics": "is a property of the class", "request_classes.streamed": "is a property of the class",
	"request_classes.name": "is a property of the class",
}

// Policy is a validated overlay on the settings, in canonical form. The zero value is no policy.
type Policy struct {
	hash Hash
	text []byte
}

// Parse parses a policy: a JSON object with the keys of the settings that it changes. Classes and parties are addressed by
// name, not by index: {"request_classes":{"c":{"aim_us":250000}},"extra":{"message_aim_us":{"c":40000}}}. An error is a
// *Fault.
func Parse(raw []byte) (Policy, error) {
	if !gjson.ValidBytes(raw) {
		return Policy{}, &Fault{"", "not valid JSON"}
	}
	tree, err := parseObject(gjson.ParseBytes(raw), "", "", policyKeys)
	if err != nil {
		return Policy{}, err
	}
	text, err := json.Marshal(tree) // json.Marshal sorts map keys
	if err != nil {
		return Policy{}, &Fault{"", err.Error()}
	}
	return Policy{Hash(digest(text)), text}, nil
}

// EmptyPolicy returns the policy that changes nothing: the settings as configured.
func EmptyPolicy() Policy {
	p, err := Parse([]byte(`{}`))
	if err != nil {
		panic(err) // unreachable: the text is constant
	}
	return p
}

// digest returns the first 32 hexadecimal digits of a text's SHA-256.
func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:16])
}

// Hash identifies the policy: the digest of its canonical text.
func (p Policy) Hash() Hash { return p.hash }

// Text returns the canonical text.
func (p Policy) Text() []byte { return bytes.Clone(p.text) }

// parseObject validates an object against the allowed keys. general is its path without the names of classes and parties.
func parseObject(v gjson.Result, path, general string, allowed map[string]keyRule) (map[string]any, error) {
	if !v.IsObject() {
		return nil, &Fault{path, "not an object"}
	}
	out, err := map[string]any{}, error(nil)
	v.ForEach(func(name, value gjson.Result) bool {
		fullPath, generalPath := join(path, name.Str), join(general, name.Str)
		k, known := allowed[name.Str]
		_, repeated := out[name.Str]
		switch {
		case repeated:
			err = &Fault{fullPath, "duplicate key"}
		case forbiddenKeys[generalPath] != "":
			err = &Fault{fullPath, "not allowed in a policy: it " + forbiddenKeys[generalPath]}
		case !known:
			err = &Fault{fullPath, "unknown key, or one that no policy may change"}
		default:
			out[name.Str], err = k.parseValue(value, fullPath, generalPath)
		}
		return err == nil
	})
	return out, err
}

func (k keyRule) parseValue(v gjson.Result, path, general string) (any, error) {
	switch k.kind {
	case object:
		return parseObject(v, path, general, k.keys)
	case classes, parties:
		if !v.IsObject() {
			return nil, &Fault{path, "not an object with one key per name"}
		}
		out, err := map[string]any{}, error(nil)
		v.ForEach(func(name, value gjson.Result) bool {
			if _, repeated := out[name.Str]; repeated || name.Str == "" {
				err = &Fault{join(path, name.Str), "duplicate or empty name"}
			} else if k.keys != nil {
				out[name.Str], err = parseObject(value, join(path, name.Str), general, k.keys)
			} else {
				out[name.Str], err = keyRule{kind: k.elem}.parseValue(value, join(path, name.Str), general)
			}
			return err == nil
		})
		return out, err
	case boolean:
		if v.IsBool() {
			return v.Bool(), nil
		}
		return nil, &Fault{path, fmt.Sprintf("%.40s is not true or false", v.Raw)}
	case weightSource, classGroup:
		allowed := map[valueKind][]string{weightSource: {"nominal", "rough", "measured"}, classGroup: {"all", "zone", "cell"}}[k.kind]
		if v.Type == gjson.String && slices.Contains(allowed, v.Str) {
			return v.Str, nil
		}
		return nil, &Fault{path, fmt.Sprintf("%.40s is none of %v", v.Raw, allowed)}
	}
	whole := v.Num == math.Trunc(v.Num)
	if v.Type != gjson.Number || math.IsInf(v.Num, 0) || v.Num < 0 || k.kind == count && (!whole || v.Num > math.MaxInt32) {
		return nil, &Fault{path, fmt.Sprintf("%.40s is not a number of at least 0, or not an integer in range where one is needed", v.Raw)}
	}
	if whole && v.Num < 1<<53 {
		return json.Number(strconv.FormatInt(int64(v.Num), 10)), nil
	}
	return json.Number(strconv.FormatFloat(v.Num, 'g', -1, 64)), nil
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// ApplyTo returns the settings with the policy merged into them, as a JSON document that settings.Decode and settings.Check
// accept and in which no value is out of range. raw is not modified. An error is a *Fault.
func (p Policy) ApplyTo(raw []byte) ([]byte, error) {
	var doc, overlay map[string]any
	if err := decodeNumbers(raw, &doc); err != nil || doc == nil {
		return nil, &Fault{"", fmt.Sprintf("the settings to apply the policy to are not a JSON object: %v", err)}
	}
	if err := decodeNumbers(p.text, &overlay); err != nil {
		return nil, &Fault{"", "the policy is empty: it was not parsed"}
	}
	nameLists := map[valueKind][]string{classes: names(doc["request_classes"]), parties: names(doc["parties"])}
	if err := merge(doc, overlay, "", policyKeys, nameLists); err != nil {
		return nil, err
	}
	out, err := json.Marshal(doc)
	if err != nil {
		return nil, &Fault{"", err.Error()}
	}
	set, err := settings.Decode(out)
	if err == nil {
		err = settings.Check(set)
	}
	if err == nil {
		err = settings.CheckRanges(out)
	}
	if err != nil {
		return nil, &Fault{"", "applied to the settings: " + err.Error()}
	}
	return out, nil
}

func decodeNumbers(raw []byte, into *map[string]any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	return d.Decode(into)
}

// names returns the names in a list of classes or parties, in list order.
func names(list any) (all []string) {
	for _, e := range asList(list) {
		name, _ := asObject(e)["name"].(string)
		all = append(all, name)
	}
	return all
}

func asList(v any) []any {
	l, _ := v.([]any)
	return l
}

func asObject(v any) map[string]any {
	o, _ := v.(map[string]any)
	return o
}

// merge merges overlay into doc in place.
func merge(doc, overlay map[string]any, path string, allowed map[string]keyRule, nameLists map[valueKind][]string) error {
	for _, name := range slices.Sorted(maps.Keys(overlay)) {
		k, fullPath := allowed[name], join(path, name)
		switch k.kind {
		case object:
			sub := asObject(doc[name])
			if sub == nil {
				sub = map[string]any{}
			}
			doc[name] = sub
			if err := merge(sub, asObject(overlay[name]), fullPath, k.keys, nameLists); err != nil {
				return err
			}
		case classes, parties:
			list := asList(doc[name])
			for _, element := range slices.Sorted(maps.Keys(asObject(overlay[name]))) {
				i := slices.Index(nameLists[k.kind], element)
				if i < 0 {
					return &Fault{join(fullPath, element), "the settings have no class or party with this name"}
				}
				for len(list) <= i {
					list = append(list, nil)
				}
				value := asObject(overlay[name])[element]
				if k.keys == nil {
					list[i] = value
				} else if err := merge(asObject(list[i]), asObject(value), join(fullPath, element), k.keys, nameLists); err != nil {
					return err
				}
			}
			doc[name] = list
		default:
			doc[name] = overlay[name]
		}
	}
	return nil
}
