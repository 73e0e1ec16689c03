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

// Fault is what is wrong with a policy. Key is the faulty key's path, "" for the whole.
type Fault struct{ Key, Fault string }

func (f *Fault) Error() string {
	if f.Key == "" {
		return "policy: " + f.Fault
	}
	return "policy: " + f.Key + ": " + f.Fault
}

// Action says what an operator can do.
func (f *Fault) Action() string {
	if f.Key == "" {
		return "write the policy as one JSON object of keys of the settings"
	}
	return "mend or leave out " + f.Key + " in the policy, and start the rollout again"
}

// form is what a value of a policy has to be.
type form uint8

const (
	micros  form = iota // a time in microseconds, from 0
	count               // a whole number from 0
	number              // a number from 0
	truth               // true or false
	source              // of weights
	group               // of a class
	classes             // an object with a key for each class that it changes
	parties             // an object with a key for each party that it changes
	object
)

// key is a key that a policy may hold: what SIGHUP may change, less what tells of the node, the fleet or the clients.
type key struct {
	form form
	in   map[string]key // of an object; of classes and parties: of each; nil: each is a value of form of
	of   form
}

var keys = map[string]key{
	"round_us": {form: micros}, "weight_source": {form: source},
	"permissions": {form: object, in: map[string]key{"probes": {form: truth}, "peers": {form: truth},
		"second_copies": {form: truth}, "max_attempts": {form: count}, "connect_timeout_us": {form: micros},
		"retry_after": {form: truth}, "max_retry_after_us": {form: micros}}},
	"safety": {form: object, in: map[string]key{"answer_slack_us": {form: micros}, "drain_grace_us": {form: micros},
		"ask_within_us": {form: micros}, "cold_from": {form: number}, "cold_us": {form: micros},
		"overload_factor": {form: number}, "tip_after_us": {form: micros}}},
	"tariffs": {form: object, in: map[string]key{"cross_zone": {form: number}, "probe": {form: number},
		"moves": {form: number}, "peer": {form: number}}},
	"request_classes": {form: classes, in: map[string]key{"aim_us": {form: micros}, "deadline_us": {form: micros},
		"window_us": {form: micros}, "points": {form: number}, "group": {form: group}}},
	"parties": {form: parties, in: map[string]key{"share": {form: number}}},
	"extra": {form: object, in: map[string]key{"message_aim_us": {form: classes, of: micros},
		"tenant_quota_connections": {form: parties, of: number}}},
}

// fixed are keys of the settings that no policy may hold, with the cause.
var fixed = map[string]string{
	"me": "tells of one node", "my_zone": "tells of one node", "balancers": "tells of the fleet",
	"registry_mode": "only a start takes it over", "extra.mode": "only a start takes it over",
	"request_classes.semantics": "is a fact of the class", "request_classes.streamed": "is a fact of the class",
	"request_classes.name": "is a fact of the class",
}

// Policy is a checked overlay on the settings, in its canonical text. The zero value is none.
type Policy struct {
	hash Hash
	text []byte
}

// Parse reads a policy: a JSON object with the keys of the settings that it changes. Classes and parties are named, not
// counted: {"request_classes":{"c":{"aim_us":250000}},"extra":{"message_aim_us":{"c":40000}}}. An error is a *Fault.
func Parse(raw []byte) (Policy, error) {
	if !gjson.ValidBytes(raw) {
		return Policy{}, &Fault{"", "not valid JSON"}
	}
	tree, err := overlay(gjson.ParseBytes(raw), "", "", keys)
	if err != nil {
		return Policy{}, err
	}
	text, err := json.Marshal(tree) // keys of maps come sorted
	if err != nil {
		return Policy{}, &Fault{"", err.Error()}
	}
	return Policy{Hash(digest(text)), text}, nil
}

// AsTheyAre is the policy that changes nothing: the settings as they are.
func AsTheyAre() Policy {
	p, err := Parse([]byte(`{}`))
	if err != nil {
		panic(err) // the text is a constant
	}
	return p
}

// digest is 32 hexadecimal digits of a text's SHA-256.
func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:16])
}

// Hash names the policy: the digest of its canonical text.
func (p Policy) Hash() Hash { return p.hash }

// Text returns the canonical text.
func (p Policy) Text() []byte { return bytes.Clone(p.text) }

// overlay checks an object against the keys that it may hold. general is the path without names of classes.
func overlay(v gjson.Result, path, general string, may map[string]key) (map[string]any, error) {
	if !v.IsObject() {
		return nil, &Fault{path, "not an object"}
	}
	out, err := map[string]any{}, error(nil)
	v.ForEach(func(name, value gjson.Result) bool {
		at, plain := join(path, name.Str), join(general, name.Str)
		k, known := may[name.Str]
		_, twice := out[name.Str]
		switch {
		case twice:
			err = &Fault{at, "stands there twice"}
		case fixed[plain] != "":
			err = &Fault{at, "may not be in a policy: it " + fixed[plain]}
		case !known:
			err = &Fault{at, "no such key, or no policy may change it"}
		default:
			out[name.Str], err = k.read(value, at, plain)
		}
		return err == nil
	})
	return out, err
}

func (k key) read(v gjson.Result, at, plain string) (any, error) {
	switch k.form {
	case object:
		return overlay(v, at, plain, k.in)
	case classes, parties:
		if !v.IsObject() {
			return nil, &Fault{at, "not an object by name"}
		}
		out, err := map[string]any{}, error(nil)
		v.ForEach(func(name, value gjson.Result) bool {
			if _, twice := out[name.Str]; twice || name.Str == "" {
				err = &Fault{join(at, name.Str), "stands there twice, or has no name"}
			} else if k.in != nil {
				out[name.Str], err = overlay(value, join(at, name.Str), plain, k.in)
			} else {
				out[name.Str], err = key{form: k.of}.read(value, join(at, name.Str), plain)
			}
			return err == nil
		})
		return out, err
	case truth:
		if v.IsBool() {
			return v.Bool(), nil
		}
		return nil, &Fault{at, fmt.Sprintf("%.40s is not true or false", v.Raw)}
	case source, group:
		may := map[form][]string{source: {"nominal", "rough", "measured"}, group: {"all", "zone", "cell"}}[k.form]
		if v.Type == gjson.String && slices.Contains(may, v.Str) {
			return v.Str, nil
		}
		return nil, &Fault{at, fmt.Sprintf("%.40s is none of %v", v.Raw, may)}
	}
	whole := v.Num == math.Trunc(v.Num)
	if v.Type != gjson.Number || math.IsInf(v.Num, 0) || v.Num < 0 || k.form == count && (!whole || v.Num > math.MaxInt32) {
		return nil, &Fault{at, fmt.Sprintf("%.40s is not a number from 0", v.Raw)}
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

// Over returns the settings with the policy laid over them, as a JSON document that settings.Decode and settings.Check
// accept, with no value out of range. The settings are not changed. An error is a *Fault.
func (p Policy) Over(raw []byte) ([]byte, error) {
	var doc, lay map[string]any
	if err := number64(raw, &doc); err != nil || doc == nil {
		return nil, &Fault{"", fmt.Sprintf("the settings below it are no JSON object: %v", err)}
	}
	if err := number64(p.text, &lay); err != nil {
		return nil, &Fault{"", "no policy"}
	}
	named := map[form][]string{classes: names(doc["request_classes"]), parties: names(doc["parties"])}
	if err := merge(doc, lay, "", keys, named); err != nil {
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
		return nil, &Fault{"", "laid over the settings: " + err.Error()}
	}
	return out, nil
}

func number64(raw []byte, into *map[string]any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	return d.Decode(into)
}

// names returns the names in a list of classes or parties, in its order.
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

// merge lays lay over doc, in place.
func merge(doc, lay map[string]any, path string, may map[string]key, named map[form][]string) error {
	for _, name := range slices.Sorted(maps.Keys(lay)) {
		k, at := may[name], join(path, name)
		switch k.form {
		case object:
			below := asObject(doc[name])
			if below == nil {
				below = map[string]any{}
			}
			doc[name] = below
			if err := merge(below, asObject(lay[name]), at, k.in, named); err != nil {
				return err
			}
		case classes, parties:
			list := asList(doc[name])
			for _, of := range slices.Sorted(maps.Keys(asObject(lay[name]))) {
				i := slices.Index(named[k.form], of)
				if i < 0 {
					return &Fault{join(at, of), "the settings name none such"}
				}
				for len(list) <= i {
					list = append(list, nil)
				}
				value := asObject(lay[name])[of]
				if k.in == nil {
					list[i] = value
				} else if err := merge(asObject(list[i]), asObject(value), join(at, of), k.in, named); err != nil {
					return err
				}
			}
			doc[name] = list
		default:
			doc[name] = lay[name]
		}
	}
	return nil
}
