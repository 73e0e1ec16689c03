package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"lichenhitch/balance"
)

// KeyError describes a fault of one key of the settings.
type KeyError struct {
	Key   string // its path, such as safety.drain_grace_us or request_classes.0.points
	Fault string
	Want  string // the accepted values with their unit; "" if Fault says it
}

func (e *KeyError) Error() string {
	if e.Want == "" {
		return e.Key + ": " + e.Fault
	}
	return fmt.Sprintf("%s: %s; expected %s", e.Key, e.Fault, e.Want)
}

// Action returns what an operator can do about it.
func (e *KeyError) Action() string {
	return "correct settings." + e.Key + " in the file that GW_CONFIG names, then send SIGHUP or start the node"
}

// bound is the accepted range of a key, and whether a node requires the key before it serves. There are no defaults:
// deployments differ in all of these keys, and a default would suit only one of them.
type bound struct {
	key      string
	min, max float64
	unit     string
	required condition
}

// condition reports whether an object of the settings requires a key: the root, or for a key of a request class the class. nil:
// always.
type condition func(object gjson.Result) bool

func (c condition) holds(object gjson.Result) bool { return c == nil || c(object) }

// enum is a key with a fixed set of values.
type enum struct {
	key      string
	values   []string
	required condition
}

const (
	second       = 1e6 // in microseconds, the unit of all times in the settings
	minute       = 60 * second
	microseconds = "microseconds"
	longestTime  = 10 * minute
	century      = 100 * 365 * 24 * 60 * minute
)

func isTrue(key string) func(gjson.Result) bool {
	return func(root gjson.Result) bool { return root.Get(key).Bool() }
}

func listsOnRequest(root gjson.Result) bool { return root.Get("registry_mode").Str == "ask" }

func hasSeveralZones(root gjson.Result) bool { return len(root.Get("areas").Array()) > 1 }

func notRequired(gjson.Result) bool { return false }

// repeatsAreDropped reports whether hosts drop repeats of a class's requests, as far as its group and its window go. Without
// these two, nobody can tell which repeats are safe.
func repeatsAreDropped(class gjson.Result) bool {
	return effects[class.Get("semantics").Str] == balance.Keyed
}

var bounds = []bound{
	{"balancers", 1, 100_000, "nodes", nil},
	{"permissions.max_attempts", 1, 1000, "attempts", nil},
	{"permissions.connect_timeout_us", second / 1000, minute, microseconds, nil},
	{"permissions.max_retry_after_us", second / 1000, longestTime, microseconds, isTrue("permissions.retry_after")},
	// The node reserves 50 ms of the grace period for sending, hence the lower limit of 100 ms.
	{"safety.drain_grace_us", second / 10, longestTime, microseconds, nil},
	{"safety.ask_within_us", second / 10, longestTime, microseconds, listsOnRequest},
	{"safety.cold_from", 0.01, 1, "as a fraction of a host's capacity", nil},
	{"safety.cold_us", 0, longestTime, microseconds, nil},
	{"safety.overload_factor", 1, 1000, "as a multiple of a host's capacity", nil},
	{"safety.tip_after_us", second / 1000, longestTime, microseconds, nil},
	{"tariffs.probe", 0, 1000, "points per first attempt", isTrue("permissions.probes")},
	{"tariffs.cross_zone", 0, 1000, "points per first attempt", hasSeveralZones},
	{"tariffs.moves", 0, 1000, "points per first attempt", notRequired},
	{"tariffs.peer", 0, 1000, "points per 256 bytes and first attempt", notRequired},
}

// classBounds and classEnums are the keys of each request class. Check checks the other keys of a class.
var classBounds = []bound{
	{"points", 0, 1e9, "points per request or second of a connection", nil},
	{"aim_us", 1, longestTime, microseconds, nil},
	{"deadline_us", 1, longestTime, microseconds, nil},
	{"window_us", 0, century, microseconds, repeatsAreDropped},
}

var classEnums = []enum{{"group", []string{"all", "zone", "cell"}, repeatsAreDropped}}

// enums are the keys with a fixed set of values. An unrecognized value must not be taken for another one: the node would never
// request its list of hosts, or would close connections that should outlive it.
var enums = []enum{
	{"registry_mode", []string{"ask", "push"}, nil},
	{"extra.mode", []string{"pass", "proxy"}, nil},
	{"weight_source", []string{"silent", "nominal", "rough", "live"}, nil},
}

// CheckComplete checks that no required key is missing and no key is out of range, in an object that Decode accepts. The error
// is a *KeyError for the first such key. A node requires this check to pass before it serves.
func CheckComplete(raw []byte) error { return checkKeys(gjson.ParseBytes(raw), true) }

// CheckRanges checks that no key is out of range, and accepts missing keys. The error is a *KeyError.
func CheckRanges(raw []byte) error { return checkKeys(gjson.ParseBytes(raw), false) }

func checkKeys(root gjson.Result, complete bool) error {
	for _, e := range enums {
		if err := e.check(root, e.key, complete); err != nil {
			return err
		}
	}
	if err := checkZone(root, complete); err != nil {
		return err
	}
	for _, b := range bounds {
		if err := b.check(root, b.key, complete && b.required.holds(root)); err != nil {
			return err
		}
	}
	for i, class := range root.Get("request_classes").Array() {
		if err := checkClass(root, class, i, complete); err != nil {
			return err
		}
	}
	return nil
}

// checkClass checks the keys of the request class with index i.
func checkClass(root, class gjson.Result, i int, complete bool) error {
	for _, b := range classBounds {
		if err := b.check(root, key("request_classes", i, b.key), complete && b.required.holds(class)); err != nil {
			return err
		}
	}
	for _, e := range classEnums {
		if !e.required.holds(class) {
			continue // Decode has refused unknown values
		}
		if err := e.check(root, key("request_classes", i, e.key), complete); err != nil {
			return err
		}
	}
	messageAim := bound{max: longestTime, unit: microseconds} // a class may have no target: the value is absent or 0
	return messageAim.check(root, key("extra.message_aim_us", i, ""), false)
}

// checkZone checks that the node's zone is one of areas, if areas are given. Otherwise every host would be in another zone.
func checkZone(root gjson.Result, complete bool) error {
	own, areas := root.Get("my_zone"), root.Get("areas").Array()
	isOwn := func(v gjson.Result) bool { return v.Str == own.Str }
	switch {
	case complete && (!isSet(own) || own.Str == ""):
		return &KeyError{"my_zone", "missing", "the name of the node's zone"}
	case isSet(own) && len(areas) > 0 && !slices.ContainsFunc(areas, isOwn):
		return &KeyError{"my_zone", fmt.Sprintf("%.40q is not one of areas", own.Str), "the name of the node's zone"}
	}
	return nil
}

func isSet(v gjson.Result) bool { return v.Exists() && v.Type != gjson.Null }

func (e enum) check(root gjson.Result, key string, required bool) error {
	v := root.Get(key)
	wanted := "one of " + strings.Join(e.values, ", ")
	switch {
	case !isSet(v) && !required:
	case !isSet(v):
		return &KeyError{key, "missing", wanted}
	case !slices.Contains(e.values, v.Str):
		return &KeyError{key, fmt.Sprintf("unknown value %.40q", v.String()), wanted}
	}
	return nil
}

func (b bound) check(root gjson.Result, key string, required bool) error {
	v := root.Get(key)
	format := func(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
	wanted := fmt.Sprintf("a number from %s to %s, %s", format(b.min), format(b.max), b.unit)
	switch {
	case !isSet(v) && !required:
	case !isSet(v):
		return &KeyError{key, "missing", wanted}
	case !isNumber(v) || v.Num < b.min || v.Num > b.max:
		return &KeyError{key, fmt.Sprintf("%.40s is out of range", v.Raw), wanted}
	}
	return nil
}
