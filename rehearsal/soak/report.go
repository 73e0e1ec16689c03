package soak

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// Line tells of a run in one line: the seed, the load of the machine, the result, and the worst figure of each rule that a figure was
// seen of.
func Line(r Record) string {
	result := "kept"
	var worst []string
	for _, ruling := range Judge(r) {
		if !ruling.Kept() {
			result = "BROKEN"
		}
		if ruling.Seen > 0 {
			worst = append(worst, fmt.Sprintf("%s %s/%s of %d", ruling.Rule, ruling.Worst, ruling.Bound, ruling.Seen))
		}
	}
	stalled := time.Duration(0)
	for _, s := range r.Stalls {
		stalled = max(stalled, s.To-s.From)
	}
	mode := "proxy"
	if r.Plan.Pass {
		mode = "pass"
	}
	return fmt.Sprintf("seed %d, load %s, %s, %d nodes, %d hosts, crowd %d, %d events, %d requests, %d stood, longest stall of the rig %s: %s (%s)",
		r.Plan.Seed, load(), mode, len(r.Plan.Nodes), r.Plan.Hosts, r.Plan.Crowd, len(r.Plan.Events), len(r.Requests), len(r.Connections),
		stalled.Round(time.Millisecond), result, strings.Join(worst, "; "))
}

// Tally sums up over runs how many cases each rule had. Use it from one goroutine at a time.
type Tally struct {
	rules []string
	seen  map[string]int
	good  map[string]int
}

// NewTally returns one of no run.
func NewTally() *Tally { return &Tally{seen: map[string]int{}, good: map[string]int{}} }

// Add takes a run's rulings in.
func (t *Tally) Add(rulings []Ruling) {
	for _, r := range rulings {
		if _, known := t.seen[r.Rule]; !known {
			t.rules = append(t.rules, r.Rule)
		}
		t.seen[r.Rule] += r.Seen
		t.good[r.Rule] += r.Good
	}
}

// NoneTriedAgain says whether enough requests over all runs could have been tried again, and none was.
func (t *Tally) NoneTriedAgain() bool {
	return t.seen[triedAgain] >= leastAsked && t.good[triedAgain] == 0
}

func (t *Tally) String() string {
	var all []string
	for _, rule := range t.rules {
		all = append(all, fmt.Sprintf("%s %d", rule, t.seen[rule]))
	}
	return strings.Join(all, "; ")
}

// load is the machine's load over the last minute.
func load() string {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	return first
}
