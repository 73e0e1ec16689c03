package turns

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"lichenhitch/internal/choice/sendlease"
)

// version is the version of the snapshot format. Other versions are not read.
const version = 1

// file is a schedule as it is stored: lists are sorted and empty ones left out, so that equal schedules give equal bytes. End is
// the last field: a truncated snapshot lacks it.
type file struct {
	Version       int                      `json:"version"`
	At            time.Duration            `json:"at"`
	Limits        Limits                   `json:"limits"`
	Hosts         []entry                  `json:"hosts,omitempty"`
	Members       []string                 `json:"members,omitempty"`
	Dead          []string                 `json:"dead,omitempty"`
	Bans          []sendlease.ExcludedHost `json:"bans,omitempty"`
	Turns         []*Turn                  `json:"turns,omitempty"`
	Over          []*Turn                  `json:"over,omitempty"`
	ExclusionSets []sendlease.ExclusionSet `json:"horizons,omitempty"`
	Acks          []Ack                    `json:"acks,omitempty"`
	End           bool                     `json:"end"`
}

// Encode returns the schedule as a snapshot. Equal schedules give equal bytes.
func (b *Schedule) Encode() ([]byte, error) {
	raw, err := json.Marshal(file{version, b.at, b.limits, b.hosts, b.members, b.dead, b.bans, b.turns, b.over, b.exclusionSets,
		b.acks, true})
	return append(raw, '\n'), err
}

// Decode returns the schedule of a snapshot.
func Decode(raw []byte) (*Schedule, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("turns: snapshot truncated or malformed: %w", err)
	}
	switch {
	case f.Version != version:
		return nil, fmt.Errorf("turns: snapshot of version %d, not %d", f.Version, version)
	case !f.End:
		return nil, errors.New("turns: snapshot truncated: its end is missing")
	case !f.valid():
		return nil, errors.New("turns: snapshot malformed: a list is not sorted, or a turn has no host")
	}
	return &Schedule{f.At, f.Limits, f.Hosts, f.Members, f.Dead, f.Bans, f.Turns, f.Over, f.ExclusionSets, f.Acks}, nil
}

// valid reports whether the lists meet the invariants of Schedule.
func (f *file) valid() bool {
	ids := func(n int, id func(i int) string) bool {
		list := make([]string, n)
		for i := range list {
			list[i] = id(i)
		}
		return validNames(list)
	}
	if slices.Contains(f.Turns, nil) || slices.ContainsFunc(f.Over, func(t *Turn) bool { return t == nil || t.Phase != Over }) {
		return false
	}
	b := Schedule{hosts: f.Hosts}
	if slices.ContainsFunc(f.Turns, func(t *Turn) bool { _, known := b.host(t.Host); return !known || t.Phase >= Over }) {
		return false
	}
	return validNames(f.Members) && validNames(f.Dead) &&
		ids(len(f.Hosts), func(i int) string { return f.Hosts[i].ID }) &&
		ids(len(f.Bans), func(i int) string { return f.Bans[i].Host }) &&
		ids(len(f.Turns), func(i int) string { return f.Turns[i].ID }) &&
		ids(len(f.Acks), func(i int) string { return f.Acks[i].Node }) &&
		slices.IsSortedFunc(f.ExclusionSets, func(x, y sendlease.ExclusionSet) int { return cmp.Compare(x.Version, y.Version) })
}
