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

// version is that of the snapshot's form. One of another form is not read.
const version = 1

// file is a book as it is written: lists sorted, those that are empty left out, so that equal books give equal bytes. End
// is last: a snapshot that was cut lacks it.
type file struct {
	Version  int                 `json:"version"`
	At       time.Duration       `json:"at"`
	Limits   Limits              `json:"limits"`
	Hosts    []entry             `json:"hosts,omitempty"`
	Members  []string            `json:"members,omitempty"`
	Dead     []string            `json:"dead,omitempty"`
	Bans     []sendlease.Out     `json:"bans,omitempty"`
	Turns    []*Turn             `json:"turns,omitempty"`
	Over     []*Turn             `json:"over,omitempty"`
	Horizons []sendlease.Horizon `json:"horizons,omitempty"`
	Acks     []Ack               `json:"acks,omitempty"`
	End      bool                `json:"end"`
}

// Encode returns the book as a snapshot. Equal books give equal bytes.
func (b *Book) Encode() ([]byte, error) {
	raw, err := json.Marshal(file{version, b.at, b.limits, b.hosts, b.members, b.dead, b.bans, b.turns, b.over, b.horizons,
		b.acks, true})
	return append(raw, '\n'), err
}

// Decode returns the book of a snapshot.
func Decode(raw []byte) (*Book, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("turns: snapshot cut or malformed: %w", err)
	}
	switch {
	case f.Version != version:
		return nil, fmt.Errorf("turns: snapshot of version %d, not %d", f.Version, version)
	case !f.End:
		return nil, errors.New("turns: snapshot cut: its end is missing")
	case !f.sound():
		return nil, errors.New("turns: snapshot malformed: a list is not sorted, or a turn has no host")
	}
	return &Book{f.At, f.Limits, f.Hosts, f.Members, f.Dead, f.Bans, f.Turns, f.Over, f.Horizons, f.Acks}, nil
}

// sound says whether the lists are as the book relies on.
func (f *file) sound() bool {
	ids := func(n int, id func(i int) string) bool {
		list := make([]string, n)
		for i := range list {
			list[i] = id(i)
		}
		return names(list)
	}
	if slices.Contains(f.Turns, nil) || slices.ContainsFunc(f.Over, func(t *Turn) bool { return t == nil || t.Phase != Over }) {
		return false
	}
	b := Book{hosts: f.Hosts}
	if slices.ContainsFunc(f.Turns, func(t *Turn) bool { _, known := b.host(t.Host); return !known || t.Phase >= Over }) {
		return false
	}
	return names(f.Members) && names(f.Dead) &&
		ids(len(f.Hosts), func(i int) string { return f.Hosts[i].ID }) &&
		ids(len(f.Bans), func(i int) string { return f.Bans[i].Host }) &&
		ids(len(f.Turns), func(i int) string { return f.Turns[i].ID }) &&
		ids(len(f.Acks), func(i int) string { return f.Acks[i].Node }) &&
		slices.IsSortedFunc(f.Horizons, func(x, y sendlease.Horizon) int { return cmp.Compare(x.Version, y.Version) })
}
