// Package handover is what the processes of one node share while a new version takes over from an old one: a small file
// with the bans, the drain and the processes themselves, and a lock beside it. It knows nothing of sockets and decides
// nothing.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// version is that of the file's form. A file of another one is not read.
const version = 1

// State is what is shared. Times are since the start of 1970, as the node's clock tells them.
type State struct {
	Bans      map[string]time.Duration // hosts out by hand, since when
	Draining  bool                     `json:"Drained"` // the node is to be empty
	Processes []Process                // in the order of their starts; those that ended are gone
}

// Process is one process of the node.
type Process struct {
	Number      int  // the later, the higher
	Slot        int  // the byte of the lock file that it holds
	PID         int  // for the log
	Ready       bool // its door is open and it has a list
	Descriptors int  `json:"Links"` // descriptors that it holds, as last told
}

// Successor returns the number of the latest process that is ready and came after another one, or 0.
func (s State) Successor(number int) (successor int) {
	for _, p := range s.Processes {
		if p.Number > number && p.Ready {
			successor = max(successor, p.Number)
		}
	}
	return successor
}

// Succeeded says whether a process that came later than another one is ready.
func (s State) Superseded(number int) bool { return s.Successor(number) > 0 }

// Preceded says whether a process that came earlier is there.
func (s State) HasEarlier(number int) bool {
	return slices.ContainsFunc(s.Processes, func(p Process) bool { return p.Number < number })
}

// Followed says whether a process that came later is there, ready or not.
func (s State) HasLater(number int) bool {
	return slices.ContainsFunc(s.Processes, func(p Process) bool { return p.Number > number })
}

// Others returns how many other processes there are and how many descriptors they hold.
func (s State) Others(number int) (processes, descriptors int) {
	for _, p := range s.Processes {
		if p.Number != number {
			processes++
			descriptors += p.Descriptors
		}
	}
	return processes, descriptors
}

// process returns the entry of a process, or nil.
func (s *State) process(number int) *Process {
	i := slices.IndexFunc(s.Processes, func(p Process) bool { return p.Number == number })
	if i < 0 {
		return nil
	}
	return &s.Processes[i]
}

// Clone returns a copy that shares nothing with the state and whose Bans can be changed.
func (s State) Clone() State {
	s.Bans = maps.Clone(s.Bans)
	if s.Bans == nil {
		s.Bans = map[string]time.Duration{}
	}
	s.Processes = slices.Clone(s.Processes)
	return s
}

// file is the state as it is written. End is last: a file that was cut lacks it.
type file struct {
	Version int
	State
	End bool
}

func encode(s State) ([]byte, error) {
	raw, err := json.Marshal(file{Version: version, State: s, End: true})
	return append(raw, '\n'), err
}

func decode(raw []byte) (State, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return State{}, fmt.Errorf("cut or malformed: %w", err)
	}
	switch {
	case f.Version != version:
		return State{}, fmt.Errorf("of version %d, not %d", f.Version, version)
	case !f.End:
		return State{}, errors.New("cut: its end is missing")
	}
	return f.State.Clone(), nil
}
