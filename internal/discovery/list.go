package discovery

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"

	"lichenhitch/balance"
)

// List is what discovery sends of the host group: all hosts, or those that have changed.
type List struct {
	Rev       int64
	All       bool
	Hosts     []balance.Listing
	endpoints []string // of each host
}

var states = map[string]balance.State{
	"in_service": balance.Ready, "terminating": balance.Draining, "terminated": balance.Gone,
}

// ParseList parses a list in discovery's format. Unknown keys are ignored. An error names the invalid key.
func ParseList(raw []byte) (List, error) {
	if !gjson.ValidBytes(raw) {
		return List{}, errors.New("not valid JSON")
	}
	root := gjson.ParseBytes(raw)
	rev, all, targets := root.Get("rev"), root.Get("all"), root.Get("targets")
	switch {
	case rev.Type != gjson.Number:
		return List{}, errors.New("rev: not a number")
	case !all.IsBool():
		return List{}, errors.New("all: not true or false")
	case !targets.IsArray() && targets.Type != gjson.Null:
		return List{}, errors.New("targets: not a list")
	}
	list := List{Rev: rev.Int(), All: all.Bool()}
	for i, target := range targets.Array() {
		if !target.IsObject() {
			return List{}, fmt.Errorf("targets.%d: not an object", i)
		}
		uid, state, endpoint := target.Get("uid").Str, target.Get("state").Str, target.Get("endpoint").Str
		hostState, ok := states[state]
		bootMS := target.Get("boot_ms").Num
		switch {
		case uid == "":
			return List{}, fmt.Errorf("targets.%d.uid: missing", i)
		case !ok:
			return List{}, fmt.Errorf("targets.%d.state: unknown value %.40q", i, state)
		case endpoint == "" && hostState != balance.Gone:
			return List{}, fmt.Errorf("targets.%d.endpoint: missing", i)
		case bootMS < 0 || bootMS > math.MaxInt64/float64(2*time.Millisecond):
			return List{}, fmt.Errorf("targets.%d.boot_ms: not a time", i)
		}
		list.Hosts = append(list.Hosts, balance.Listing{Server: balance.ServerID(uid), Zone: target.Get("az").Str,
			Kind: target.Get("model").Str, Cell: int(target.Get("pod_group").Int()), Weight: target.Get("capacity_hint").Num,
			Started: time.Duration(bootMS) * time.Millisecond, State: hostState})
		list.endpoints = append(list.endpoints, endpoint)
	}
	return list, nil
}
