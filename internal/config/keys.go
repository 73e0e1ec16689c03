package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/tidwall/gjson"
)

// Keys holds the keys of a JSON object, each with the keys of its value. The keys of a list are those that all its objects have
// in common. A value without objects has no keys.
type Keys map[string]Keys

// optionalLater are keys that may be missing from a later file though an earlier one had them: those that matter only at the
// start, and those that only some kinds of request classes have.
var optionalLater = map[string]bool{"known": true, "settings.request_classes.group": true,
	"settings.request_classes.window_us": true}

func keysOf(v gjson.Result) Keys {
	keys := Keys{}
	switch {
	case v.IsObject():
		v.ForEach(func(name, value gjson.Result) bool {
			if value.Type != gjson.Null {
				keys[name.Str] = keysOf(value)
			}
			return true
		})
	case v.IsArray():
		for i, e := range v.Array() {
			if common := keysOf(e); i == 0 {
				keys = common
			} else {
				maps.DeleteFunc(keys, func(name string, _ Keys) bool { return common[name] == nil })
			}
		}
	}
	return keys
}

// checkMissing returns an error that names the first key, in alphabetical order, that is in before but not in after.
func checkMissing(before, after Keys, path string) error {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		key := path + name
		if optionalLater[key] {
			continue
		}
		if after[name] == nil {
			return fmt.Errorf("%s: missing, but the file had it before", key)
		}
		if err := checkMissing(before[name], after[name], key+"."); err != nil {
			return err
		}
	}
	return nil
}
