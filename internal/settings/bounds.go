package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// KeyError says what is wrong with one key of the settings.
type KeyError struct {
	Key   string // its path, as in safety.drain_grace_us or request_classes.0.points
	Fault string
	Want  string // what may stand there, with its unit; "" where the fault says it
}

func (e *KeyError) Error() string {
	if e.Want == "" {
		return e.Key + ": " + e.Fault
	}
	return fmt.Sprintf("%s: %s; %s is wanted", e.Key, e.Fault, e.Want)
}

// Action says what an operator can do.
func (e *KeyError) Action() string {
	return "mend settings." + e.Key + " in the file that GW_CONFIG names; then send SIGHUP, or start the node"
}

// bound is what a node needs to be told under a key before it serves, and what it may be told. Deployments differ in all
// of them, so that a default would be the figure of one of them.
type bound struct {
	key      string
	min, max float64
	unit     string
	required func(root gjson.Result) bool // nil: by every node
}

const (
	second       = 1e6 // in microseconds, the unit of all times here
	minute       = 60 * second
	microseconds = "microseconds"
	longestTime  = 10 * minute
)

func isTrue(key string) func(gjson.Result) bool {
	return func(root gjson.Result) bool { return root.Get(key).Bool() }
}

func listsOnRequest(root gjson.Result) bool { return root.Get("registry_mode").Str == "ask" }

func hasSeveralZones(root gjson.Result) bool { return len(root.Get("areas").Array()) > 1 }

func never(gjson.Result) bool { return false }

var bounds = []bound{
	{"balancers", 1, 100_000, "nodes", nil},
	{"permissions.max_attempts", 1, 1000, "attempts", nil},
	{"permissions.connect_timeout_us", second / 1000, minute, microseconds, nil},
	{"permissions.max_retry_after_us", second / 1000, longestTime, microseconds, isTrue("permissions.retry_after")},
	// A send takes a moment, for which the node keeps 50 ms of the grace back.
	{"safety.drain_grace_us", second / 10, longestTime, microseconds, nil},
	{"safety.ask_within_us", second / 10, longestTime, microseconds, listsOnRequest},
	{"safety.cold_from", 0.01, 1, "as a part of a host's capacity", nil},
	{"safety.cold_us", 0, longestTime, microseconds, nil},
	{"safety.overload_factor", 1, 1000, "times a host's capacity", nil},
	{"safety.tip_after_us", second / 1000, longestTime, microseconds, nil},
	{"tariffs.probe", 0, 1000, "points a first try", isTrue("permissions.probes")},
	{"tariffs.cross_zone", 0, 1000, "points a first try", hasSeveralZones},
	{"tariffs.moves", 0, 1000, "points a first try", never},
	{"tariffs.peer", 0, 1000, "points for 256 bytes a first try", never},
}

// ofClass are the same of each class. Those without a bound here are checked by Check.
var classBounds = []bound{
	{"points", 0, 1e9, "points a request, or a second of a connection", nil},
	{"aim_us", 1, longestTime, microseconds, nil},
	{"deadline_us", 1, longestTime, microseconds, nil},
}

// words are texts of which there are a few only. A node that took one for another would never ask for its list of hosts,
// or cut connections off that outlive it.
var enums = []struct {
	key    string
	values []string
}{
	{"registry_mode", []string{"ask", "push"}},
	{"extra.mode", []string{"pass", "proxy"}},
	{"weight_source", []string{"silent", "nominal", "rough", "live"}},
}

// Complete says which key of an object that Decode accepts is missing or out of range. An error is a *KeyError, of the
// first such key. A node needs all of them before it serves.
func CheckComplete(raw []byte) error { return checkKeys(gjson.ParseBytes(raw), true) }

// InRange says which key is out of range; what is missing is not told. An error is a *KeyError.
func CheckRanges(raw []byte) error { return checkKeys(gjson.ParseBytes(raw), false) }

func checkKeys(root gjson.Result, complete bool) error {
	for _, w := range enums {
		v := root.Get(w.key)
		if want := "one of " + strings.Join(w.values, ", "); complete && !isSet(v) {
			return &KeyError{w.key, "missing", want}
		} else if isSet(v) && !slices.Contains(w.values, v.Str) {
			return &KeyError{w.key, fmt.Sprintf("unknown value %.40q", v.String()), want}
		}
	}
	if err := checkZone(root, complete); err != nil {
		return err
	}
	for _, b := range bounds {
		if err := b.check(root, b.key, complete && (b.required == nil || b.required(root))); err != nil {
			return err
		}
	}
	for i := range root.Get("request_classes").Array() {
		for _, b := range classBounds {
			if err := b.check(root, key("request_classes", i, b.key), complete); err != nil {
				return err
			}
		}
		each := bound{max: longestTime, unit: microseconds} // a class may be without: nothing, or 0
		if err := each.check(root, key("extra.message_aim_us", i, ""), false); err != nil {
			return err
		}
	}
	return nil
}

// zone checks that a node stands in one of the zones, where they are told: it would cross to every host otherwise.
func checkZone(root gjson.Result, complete bool) error {
	own, areas := root.Get("my_zone"), root.Get("areas").Array()
	isOwn := func(v gjson.Result) bool { return v.Str == own.Str }
	switch {
	case complete && (!isSet(own) || own.Str == ""):
		return &KeyError{"my_zone", "missing", "the name of the node's zone"}
	case isSet(own) && len(areas) > 0 && !slices.ContainsFunc(areas, isOwn):
		return &KeyError{"my_zone", fmt.Sprintf("%.40q is none of areas", own.Str), "the name of the node's zone"}
	}
	return nil
}

func isSet(v gjson.Result) bool { return v.Exists() && v.Type != gjson.Null }

func (b bound) check(root gjson.Result, key string, required bool) error {
	v := root.Get(key)
	plain := func(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
	want := fmt.Sprintf("a number from %s to %s, %s,", plain(b.min), plain(b.max), b.unit)
	switch {
	case !isSet(v) && !required:
	case !isSet(v):
		return &KeyError{key, "missing", want}
	case !isNumber(v) || v.Num < b.min || v.Num > b.max:
		return &KeyError{key, fmt.Sprintf("%.40s is out of range", v.Raw), want}
	}
	return nil
}
