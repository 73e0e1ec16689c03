// Package settings decodes the settings object of an instance, which is part of the node's configuration and of the simulator's
// first message.
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

// groups has the narrowest group for an absent key: a repeat must not reach a host that does not know its request.
var groups = map[string]balance.Group{
	"": balance.GroupCell, "all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell,
}

// Decode reads the settings. It ignores unknown keys, leaves the fields of absent keys zero, and returns a *KeyError for an
// invalid key.
func Decode(raw []byte) (balance.Settings, error) {
	if !gjson.ValidBytes(raw) {
		return balance.Settings{}, errors.New("not valid JSON")
	}
	input := reader{root: gjson.ParseBytes(raw)}
	if !input.root.IsObject() {
		return balance.Settings{}, errors.New("not an object")
	}
	settings := balance.Settings{
		Self: input.count("me"), Balancers: input.count("balancers"), Zone: input.text("my_zone"),
		ListOnRequest:  input.text("registry_mode") == "ask",
		WeightsNominal: input.text("weight_source") == "nominal" || input.text("weight_source") == "rough",
		Probes:         input.boolean("permissions.probes"),
		Peers:          input.boolean("permissions.peers"),
		Hedging:        input.boolean("permissions.second_copies"),
		MaxAttempts:    input.count("permissions.max_attempts"),
		ConnectTimeout: input.micros("permissions.connect_timeout_us"),
		PassThrough:    input.text("extra.mode") == "pass",
		Tick:           input.micros("round_us"),
		Safety: balance.Safety{
			AnswerSlack: input.micros("safety.answer_slack_us"), DrainGrace: input.micros("safety.drain_grace_us"),
			ListRefreshInterval: input.micros("safety.ask_within_us"), ColdCapacity: input.number("safety.cold_from"),
			WarmUp: input.micros("safety.cold_us"), OverloadFactor: input.number("safety.overload_factor"),
			OverloadWindow: input.micros("safety.tip_after_us"),
		},
		Prices: balance.Prices{CrossZone: input.number("tariffs.cross_zone"), Probe: input.number("tariffs.probe"),
			Move: input.number("tariffs.moves"), Peer: input.number("tariffs.peer")},
	}
	if input.boolean("permissions.retry_after") {
		settings.MaxRetryAfter = input.micros("permissions.max_retry_after_us")
	}
	for i := range input.length("parties") {
		settings.Tenants = append(settings.Tenants, balance.Tenant{
			Name:  input.text(key("parties", i, "name")),
			Share: input.number(key("parties", i, "share")),
			Quota: input.number(key("extra.tenant_quota_connections", i, "")),
		})
	}
	for i := range input.length("request_classes") {
		settings.Classes = append(settings.Classes, input.class(i))
	}
	return settings, input.err
}

func (in *reader) class(i int) balance.Class {
	path := func(name string) string { return key("request_classes", i, name) }
	c := balance.Class{
		Name: in.text(path("name")), LatencyTarget: in.micros(path("aim_us")), Deadline: in.micros(path("deadline_us")),
		Window: in.micros(path("window_us")), Streamed: in.boolean(path("streamed")), Value: in.number(path("points")),
		MessageLatencyTarget: in.micros(key("extra.message_aim_us", i, "")),
	}
	var ok bool
	if c.Effect, ok = effects[in.text(path("semantics"))]; !ok {
		in.fail(path("semantics"), fmt.Sprintf("unknown value %q", in.text(path("semantics"))))
	}
	if c.Group, ok = groups[in.text(path("group"))]; !ok {
		in.fail(path("group"), fmt.Sprintf("unknown value %q", in.text(path("group"))))
	}
	return c
}

// Check checks the settings that no request can be handled without, which Decode accepts as absent. CheckComplete checks what a
// node requires besides these. The error is a *KeyError.
func Check(set balance.Settings) error {
	if len(set.Classes) == 0 {
		return &KeyError{Key: "request_classes", Fault: "missing or empty"}
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
			return &KeyError{Key: key("request_classes", i, "name"), Fault: fmt.Sprintf("%q is used twice", c.Name)}
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

// reader reads values from the object and keeps the first error.
type reader struct {
	root gjson.Result
	err  error
}

func (in *reader) fail(path, fault string) {
	if in.err == nil {
		in.err = &KeyError{Key: path, Fault: fault}
	}
}

// get returns the value at a path, and records an error if it is invalid. Absent and null values are both treated as not set.
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
	valid := func(v gjson.Result) bool {
		return isNumber(v) && v.Num >= 0 && v.Num <= math.MaxInt32 && v.Num == math.Trunc(v.Num)
	}
	return int(in.get(path, valid, "a non-negative integer").Num)
}

// micros reads a time in microseconds, which must not be negative and must be less than a century, to fit a time.Duration.
func (in *reader) micros(path string) time.Duration {
	valid := func(v gjson.Result) bool { return isNumber(v) && v.Num >= 0 && v.Num < century }
	return time.Duration(in.get(path, valid, "a time in microseconds").Num) * time.Microsecond
}

func (in *reader) text(path string) string {
	return in.get(path, func(v gjson.Result) bool { return v.Type == gjson.String }, "a string").Str
}

func (in *reader) boolean(path string) bool {
	return in.get(path, gjson.Result.IsBool, "true or false").Bool()
}

func (in *reader) length(path string) int {
	return len(in.get(path, gjson.Result.IsArray, "a list").Array())
}
