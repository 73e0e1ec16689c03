// Package settings decodes the object that an instance is told at its start, as the simulator's first message
// and the node's configuration both hold it.
package settings

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"

	"lichenhitch/balance"
)

var effects = map[string]balance.Effect{
	"read_like": balance.Safe, "idempotency_key": balance.Keyed, "non_idempotent": balance.Unsafe,
}

var groups = map[string]balance.Group{
	"": balance.GroupAll, "all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell,
}

// Decode reads the settings. Unknown keys are passed over, absent ones leave their field zero; a key that is faulty
// makes a *KeyError.
func Decode(raw []byte) (balance.Settings, error) {
	if !gjson.ValidBytes(raw) {
		return balance.Settings{}, errors.New("not valid JSON")
	}
	in := reader{root: gjson.ParseBytes(raw)}
	if !in.root.IsObject() {
		return balance.Settings{}, errors.New("not an object")
	}
	out := balance.Settings{
		Self: in.count("me"), Balancers: in.count("balancers"), Zone: in.text("my_zone"),
		ListOnRequest:  in.text("registry_mode") == "ask",
		WeightsNominal: in.text("weight_source") == "nominal" || in.text("weight_source") == "rough",
		Probes:         in.boolean("permissions.probes"),
		Peers:          in.boolean("permissions.peers"),
		Hedging:        in.boolean("permissions.second_copies"),
		MaxAttempts:    in.count("permissions.max_attempts"),
		ConnectTimeout: in.micros("permissions.connect_timeout_us"),
		PassThrough:    in.text("extra.mode") == "pass",
		Tick:           in.micros("round_us"),
		Safety: balance.Safety{
			AnswerSlack: in.micros("safety.answer_slack_us"), DrainGrace: in.micros("safety.drain_grace_us"),
			ListRefreshInterval: in.micros("safety.ask_within_us"), ColdCapacity: in.number("safety.cold_from"),
			WarmUp: in.micros("safety.cold_us"), OverloadFactor: in.number("safety.overload_factor"),
			OverloadWindow: in.micros("safety.tip_after_us"),
		},
		Prices: balance.Prices{CrossZone: in.number("tariffs.cross_zone"), Probe: in.number("tariffs.probe"),
			Move: in.number("tariffs.moves"), Peer: in.number("tariffs.peer")},
	}
	if in.boolean("permissions.retry_after") {
		out.MaxRetryAfter = in.micros("permissions.max_retry_after_us")
	}
	for i := range in.length("parties") {
		out.Tenants = append(out.Tenants, balance.Tenant{
			Name:  in.text(key("parties", i, "name")),
			Share: in.number(key("parties", i, "share")),
			Quota: in.number(key("extra.tenant_quota_connections", i, "")),
		})
	}
	for i := range in.length("request_classes") {
		out.Classes = append(out.Classes, in.class(i))
	}
	return out, in.err
}

func (in *reader) class(i int) balance.Class {
	at := func(name string) string { return key("request_classes", i, name) }
	c := balance.Class{
		Name: in.text(at("name")), LatencyTarget: in.micros(at("aim_us")), Deadline: in.micros(at("deadline_us")),
		Window: in.micros(at("window_us")), Streamed: in.boolean(at("streamed")), Value: in.number(at("points")),
		MessageLatencyTarget: in.micros(key("extra.message_aim_us", i, "")),
	}
	var ok bool
	if c.Effect, ok = effects[in.text(at("semantics"))]; !ok {
		in.fail(at("semantics"), fmt.Sprintf("unknown value %q", in.text(at("semantics"))))
	}
	if c.Group, ok = groups[in.text(at("group"))]; !ok {
		in.fail(at("group"), fmt.Sprintf("unknown value %q", in.text(at("group"))))
	}
	return c
}

// Check says which key is faulty or missing in settings that queries are to be taken under: what a decoder may leave out,
// but no query can go without. What a node needs besides is told by Complete. An error is a *KeyError.
func Check(set balance.Settings) error {
	if len(set.Classes) == 0 {
		return &KeyError{Key: "request_classes", Fault: "there is none"}
	}
	if set.MaxAttempts <= 0 {
		return &KeyError{Key: "permissions.max_attempts", Fault: notPositive}
	}
	seen := map[string]bool{}
	for i, c := range set.Classes {
		switch {
		case c.Name == "":
			return &KeyError{Key: key("request_classes", i, "name"), Fault: "missing"}
		case seen[c.Name]:
			return &KeyError{Key: key("request_classes", i, "name"), Fault: fmt.Sprintf("%q stands there twice", c.Name)}
		case c.Deadline <= 0:
			return &KeyError{Key: key("request_classes", i, "deadline_us"), Fault: notPositive}
		case c.LatencyTarget <= 0:
			return &KeyError{Key: key("request_classes", i, "aim_us"), Fault: notPositive}
		}
		seen[c.Name] = true
	}
	return nil
}

const notPositive = "missing, or not a positive number"

func key(list string, i int, name string) string {
	if name == "" {
		return fmt.Sprintf("%s.%d", list, i)
	}
	return fmt.Sprintf("%s.%d.%s", list, i, name)
}

// reader takes values out of the object and keeps the first fault.
type reader struct {
	root gjson.Result
	err  error
}

func (in *reader) fail(path, fault string) {
	if in.err == nil {
		in.err = &KeyError{Key: path, Fault: fault}
	}
}

// get returns the value at a path; an absent value and null are both "not told".
func (in *reader) get(path string, valid func(gjson.Result) bool, want string) gjson.Result {
	v := in.root.Get(path)
	if v.Exists() && v.Type != gjson.Null && !valid(v) {
		in.fail(path, fmt.Sprintf("%.40s is not %s", v.Raw, want))
		return gjson.Result{}
	}
	return v
}

func isNumber(v gjson.Result) bool { return v.Type == gjson.Number && !math.IsInf(v.Num, 0) }

func (in *reader) number(path string) float64 { return in.get(path, isNumber, "a number").Num }

func (in *reader) count(path string) int {
	fits := func(v gjson.Result) bool {
		return isNumber(v) && v.Num >= 0 && v.Num <= math.MaxInt32 && v.Num == math.Trunc(v.Num)
	}
	return int(in.get(path, fits, "a whole number from 0").Num)
}

// micros reads a time, which is never negative and, as a time.Duration, less than a century.
func (in *reader) micros(path string) time.Duration {
	const century = 100 * 365 * 24 * time.Hour
	fits := func(v gjson.Result) bool {
		return isNumber(v) && v.Num >= 0 && v.Num < float64(century/time.Microsecond)
	}
	return time.Duration(in.get(path, fits, "a time in microseconds").Num) * time.Microsecond
}

func (in *reader) text(path string) string {
	return in.get(path, func(v gjson.Result) bool { return v.Type == gjson.String }, "a text").Str
}

func (in *reader) boolean(path string) bool {
	return in.get(path, gjson.Result.IsBool, "true or false").Bool()
}

func (in *reader) length(path string) int {
	return len(in.get(path, gjson.Result.IsArray, "a list").Array())
}
