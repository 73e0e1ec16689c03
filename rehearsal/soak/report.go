package soak

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// SummaryLine summarizes a run in one line: the seed, the load of the machine, the verdict, and the worst value of
// each rule that had cases.
func SummaryLine(r Record) string {
	verdict := "kept"
	var worst []string
	for _, rule := range Judge(r) {
		if !rule.Passed() {
			verdict = "BROKEN"
		}
		if rule.Checked > 0 {
			worst = append(worst, fmt.Sprintf("%s %s/%s of %d", rule.Rule, rule.Worst, rule.Bound, rule.Checked))
		}
	}
	stalled := time.Duration(0)
	for _, s := range r.Stalls {
		stalled = max(stalled, s.To-s.From)
	}
	mode := "proxy"
	if r.Plan.PassThrough {
		mode = "pass"
	}
	return fmt.Sprintf(
		"seed %d, load %s, %s, %d nodes, %d hosts, %d idle clients per node, %d events, %d requests, %d established, longest stall of the test %s: %s (%s)",
		r.Plan.Seed, loadAverage(), mode, len(r.Plan.Nodes), r.Plan.Hosts, r.Plan.IdleClients, len(r.Plan.Events),
		len(r.Requests), len(r.Connections), stalled.Round(time.Millisecond), verdict, strings.Join(worst, "; "))
}

// Tally sums the number of cases of each rule over runs. It is not safe for concurrent use.
type Tally struct {
	rules     []string
	checked   map[string]int
	successes map[string]int
}

// NewTally returns an empty Tally.
func NewTally() *Tally { return &Tally{checked: map[string]int{}, successes: map[string]int{}} }

// Add adds the results of a run.
func (t *Tally) Add(results []RuleResult) {
	for _, r := range results {
		if _, known := t.checked[r.Rule]; !known {
			t.rules = append(t.rules, r.Rule)
		}
		t.checked[r.Rule] += r.Checked
		t.successes[r.Rule] += r.Successes
	}
}

// NoneRetried reports whether enough requests over all runs could have been retried and none was.
func (t *Tally) NoneRetried() bool {
	return t.checked[retriedRule] >= minSample && t.successes[retriedRule] == 0
}

func (t *Tally) String() string {
	var all []string
	for _, rule := range t.rules {
		all = append(all, fmt.Sprintf("%s %d", rule, t.checked[rule]))
	}
	return strings.Join(all, "; ")
}

// loadAverage returns the machine's load average over the last minute.
func loadAverage() string {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	return first
}
