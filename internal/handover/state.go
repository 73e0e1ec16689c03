// Package handover holds the state that the processes of one node share while a new version takes over from an old one: a small
// file with the bans, the drain flag and the list of processes, with a lock file next to it. It also passes open connections
// between these processes. Which connections are passed, and when, is decided by the caller.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// version is the version of the file format. A file of another version is not read.
const version = 1

// State is the shared state. Times count from the Unix epoch, the start of 1970, by the node's clock.
type State struct {
	Bans     map[string]time.Duration // hosts banned by an operator, with the time of the ban
	Draining bool                     `json:"Drained"` // an operator drains the node
	// DrainingSince is the time of the call that began the drain. 0: not known, as from an earlier version, or no drain.
	DrainingSince time.Duration `json:",omitempty"`
	Processes     []Process     // in the order of their starts, without those that have exited
	// UsedIDs are hashes of the latest ids under which requests have come that must not run again, oldest first. None: not
	// known, as from an earlier version.
	UsedIDs []uint64 `json:",omitempty"`
}

// MaxUsedIDs is how many used ids are shared, some 10 KB of the file: those of the last seconds.
const MaxUsedIDs = 512

// AddUsedIDs adds ids that are not in the state yet. The oldest are dropped if there are too many.
func (s *State) AddUsedIDs(hashes []uint64) {
	known := make(map[uint64]bool, len(s.UsedIDs))
	for _, hash := range s.UsedIDs {
		known[hash] = true
	}
	for _, hash := range hashes {
		if !known[hash] {
			known[hash] = true
			s.UsedIDs = append(s.UsedIDs, hash)
		}
	}
	s.UsedIDs = s.UsedIDs[max(len(s.UsedIDs)-MaxUsedIDs, 0):]
}

// Drain records that an operator drains the node. A drain that goes on keeps the time of its begin.
func (s *State) Drain(now time.Duration) {
	if !s.Draining {
		s.Draining, s.DrainingSince = true, now
	}
}

// Activate records the end of the drain.
func (s *State) Activate() { s.Draining, s.DrainingSince = false, 0 }

// DrainBegan returns when the drain began, by a clock that shows now: now if that is not known, or is in the future because
// the system's time was set.
func (s State) DrainBegan(now time.Duration) time.Duration {
	if s.DrainingSince <= 0 || s.DrainingSince > now {
		return now
	}
	return s.DrainingSince
}

// Process is one process of the node.
type Process struct {
	Number      int  // a later process has a higher number
	Slot        int  // index of the byte of the lock file that it locks
	PID         int  // for log messages
	Ready       bool // it accepts connections and has a list of hosts
	Descriptors int  `json:"Links"` // number of open file descriptors, as last reported
	// LongestDeadline is the longest deadline of a request class in the settings that the process has read. 0: not
	// reported, as by an earlier version.
	LongestDeadline time.Duration `json:",omitempty"`
}

// Successor returns the highest number of a ready process that was started after the given one, or 0 if there is none.
func (s State) Successor(number int) (successor int) {
	for _, p := range s.Processes {
		if p.Number > number && p.Ready {
			successor = max(successor, p.Number)
		}
	}
	return successor
}

// Superseded reports whether a process started after the given one is ready.
func (s State) Superseded(number int) bool { return s.Successor(number) > 0 }

// LaterDeadline returns the shortest of the longest deadlines that ready processes report which were started after the
// given one, or 0 if there are none.
func (s State) LaterDeadline(number int) (deadline time.Duration) {
	for _, p := range s.Processes {
		if p.Number > number && p.Ready && p.LongestDeadline > 0 && (deadline == 0 || p.LongestDeadline < deadline) {
			deadline = p.LongestDeadline
		}
	}
	return deadline
}

// HasEarlier reports whether a process started before the given one still exists.
func (s State) HasEarlier(number int) bool {
	return slices.ContainsFunc(s.Processes, func(p Process) bool { return p.Number < number })
}

// HasLater reports whether a process started after the given one exists, ready or not.
func (s State) HasLater(number int) bool {
	return slices.ContainsFunc(s.Processes, func(p Process) bool { return p.Number > number })
}

// Others returns the number of other processes and the number of descriptors that they hold together.
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

// Clone returns a deep copy, with Bans never nil.
func (s State) Clone() State {
	s.Bans = maps.Clone(s.Bans)
	if s.Bans == nil {
		s.Bans = map[string]time.Duration{}
	}
	s.Processes = slices.Clone(s.Processes)
	s.UsedIDs = slices.Clone(s.UsedIDs)
	return s
}

// file is the written form of the state. End is the last field, so that it is missing from a truncated file.
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
		return State{}, fmt.Errorf("truncated or malformed: %w", err)
	}
	switch {
	case f.Version != version:
		return State{}, fmt.Errorf("has version %d, not %d", f.Version, version)
	case !f.End:
		return State{}, errors.New("truncated: its end is missing")
	}
	return f.State.Clone(), nil
}
