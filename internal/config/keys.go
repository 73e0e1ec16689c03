package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/tidwall/gjson"
)

// Keys are the keys of an object, each with those of its own value. Those of a list are what all objects in it have.
// A value that holds no object has none.
type Keys map[string]Keys

// passing are keys that may be missing in a later file though an earlier one had them: what tells of the start, and what
// only some kinds of a class have.
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
			if of := keysOf(e); i == 0 {
				keys = of
			} else {
				maps.DeleteFunc(keys, func(name string, _ Keys) bool { return of[name] == nil })
			}
		}
	}
	return keys
}

// missing returns an error that names the first key, in the order of the alphabet, that was there before and is not now.
func checkMissing(before, now Keys, path string) error {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		key := path + name
		if optionalLater[key] {
			continue
		}
		if now[name] == nil {
			return fmt.Errorf("%s: missing, but the file had it before", key)
		}
		if err := checkMissing(before[name], now[name], key+"."); err != nil {
			return err
		}
	}
	return nil
}
