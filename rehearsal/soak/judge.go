package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"lichenhitch/rehearsal/processes"
)

// socketSlack is added to each limit of the protocol pages where it is checked on sockets (PROTOCOL, The rules on
// sockets).
const socketSlack = 50 * time.Millisecond

// Bounds of the rules.
const (
	// maxAnswerLateness: an answer up to half a second after the client's timeout only earns nothing; with a later
	// answer or none, the request counts as lost (STANDING).
	maxAnswerLateness = 500*time.Millisecond + socketSlack
	// maxStartAfterLeave: no attempt begins more than 0.1 s after its client has left (the operators' acceptance
	// test).
	maxStartAfterLeave = 100*time.Millisecond + socketSlack
	// listPropagation: a change in discovery counts as known to a node at the latest 6 s after it or, if discovery was
	// not reachable then, 6 s after discovery became reachable (PROTOCOL, STANDING).
	listPropagation = 6 * time.Second
	// maxLineAfterDrain: nothing new goes to a draining host once the grace period of the settings has passed since
	// the node learned of the drain (PROTOCOL).
	maxLineAfterDrain = drainGrace + socketSlack
	// maxEchoTime: a node may not hold back a line for more than a second (PROTOCOL).
	maxEchoTime = time.Second + socketSlack
	// maxOpenAfterHostEnd: a connection that its host has closed must be closed or moved within a second (PROTOCOL,
	// Figures).
	maxOpenAfterHostEnd = time.Second + socketSlack
	// readyTarget: nine of ten restarted processes are ready within 10 s, all within 30 s (STANDING, The gate).
	readyTarget = 10 * time.Second
	readyLimit  = 30 * time.Second
	lateOfTen   = 1
	// memoryFactor and memoryAllowance: how much a node's memory without clients may grow over the run (STANDING: peak
	// memory 1.5 times, plus 8 MB).
	memoryFactor = 1.5
	// allHostsConnected is the time after which every host has connections: clients come from the beginning of the
	// faults on.
	allHostsConnected = 4 * time.Second
	memoryAllowance   = 8 << 20
)

// RuleResult is the result of one rule in one run.
type RuleResult struct {
	Rule       string
	Bound      string
	Worst      string   // the worst value observed, or "" if nothing was checked
	Violations []string // the cases that violate the rule
	Checked    int      // number of cases checked
	Required   bool     // the plan causes cases for this rule, so a run without any proves nothing
	Successes  int      // number of checked cases with the desired outcome, for rules that count them
}

// Passed reports whether the rule held. A required rule without any case did not pass.
func (r RuleResult) Passed() bool { return len(r.Violations) == 0 && (r.Checked > 0 || !r.Required) }

func (r RuleResult) String() string {
	text := fmt.Sprintf("%s: worst %s, bound %s, %d checked", r.Rule, cmp.Or(r.Worst, "none"), r.Bound, r.Checked)
	switch {
	case r.Passed():
		return text
	case r.Checked == 0:
		return text + ", BROKEN: the plan causes cases for this rule, but none occurred"
	}
	return fmt.Sprintf("%s, BROKEN %d times, first: %s", text, len(r.Violations), strings.Join(r.Violations[:min(len(r.Violations), 3)], "; "))
}

// timeRule checks durations against one bound.
type timeRule struct {
	RuleResult
	bound time.Duration
	worst time.Duration
}

func newTimeRule(rule string, bound time.Duration) *timeRule {
	return &timeRule{RuleResult: RuleResult{Rule: rule, Bound: bound.String()}, bound: bound}
}

// add checks one duration.
func (t *timeRule) add(figure time.Duration, what string, args ...any) {
	if t.Checked++; t.Checked == 1 || figure > t.worst {
		t.worst = figure
		t.Worst = figure.Round(time.Millisecond).String()
	}
	if figure > t.bound {
		t.Violations = append(t.Violations, fmt.Sprintf(what, args...)+fmt.Sprintf(" (%s)", figure.Round(time.Millisecond)))
	}
}

// newCountRule returns the result of a rule that allows no case at all.
func newCountRule(rule string) RuleResult { return RuleResult{Rule: rule, Bound: "none"} }

func (r *RuleResult) add(broken bool, what string, args ...any) {
	r.Checked++
	if broken {
		r.Violations = append(r.Violations, fmt.Sprintf(what, args...))
	}
	r.Worst = fmt.Sprint(len(r.Violations))
}

// Judge returns the result of each rule.
func Judge(r Record) []RuleResult {
	all := []RuleResult{r.checkAnswers(), r.checkDuplicateRuns(), r.checkConcurrentAttempts(), r.checkAfterClientLeft(),
		r.checkCutOff(), r.checkEchoes(), r.checkStartTimes(), r.checkExits(), r.checkDescriptors(), r.checkMemory(),
		r.checkOtherViolations()}
	for i := range all { // every plan has clients of each behavior and class, process starts and process exits
		all[i].Required = true
	}
	hosts := r.checkHostEnds()
	hosts.Required = slices.ContainsFunc(r.Plan.Events, func(e Event) bool { return e.Kind == HostResets && e.At >= allHostsConnected })
	heldAtKill, drains := r.checkHeldAtKill(), r.checkDrains()
	heldAtKill.Required = !r.Plan.PassThrough
	drains.Required = slices.ContainsFunc(r.Plan.Events, func(e Event) bool { return e.Kind == HostDrains && e.Duration > drainGrace })
	return append(all, hosts, heldAtKill, drains, r.checkServed(), r.checkProcessesServe(), r.checkAfterFaults(),
		r.checkAttempts(), r.checkRetries(), r.checkRetryAfter())
}

// checkAnswers checks that each request gets one final answer in time.
func (r *Record) checkAnswers() RuleResult {
	t := newTimeRule("a final answer after the client's time", maxAnswerLateness)
	for _, q := range r.Requests {
		switch {
		case q.Outcome == ClientLeft, r.crashedDuring(q.Node, q.Connected, q.EndedAt), r.connectedTooLate(q):
		case q.Outcome == Reset && r.Plan.IdleClients > 0:
			// With that many idle clients, new connections may be closed unread (STANDING, crowd). A reset shows that
			// this happened.
		case q.Outcome == Unanswered, q.Outcome == ClosedUnanswered, q.Outcome == Reset:
			t.add(never, "%s at %s, sent %s, connected %s, timeout %s: %s at %s", q.ID, q.Node, q.Sent, q.Connected, q.Wait, q.Outcome, q.EndedAt)
		default:
			t.add(q.EndedAt-q.Sent-q.Wait-r.longestStall(q.Sent, q.EndedAt),
				"%s at %s, sent %s, timeout %s: %s at %s", q.ID, q.Node, q.Sent, q.Wait, q.Outcome, q.EndedAt)
		}
	}
	return t.RuleResult
}

// never stands for the duration until something that did not happen.
const never = time.Hour

// crashDetection is the time within which a client notices that the process at the other end was killed.
const crashDetection = time.Second

// connectedTooLate reports whether a request's connection was made later after SIGTERM than the front end sends any,
// because this test process was delayed.
func (r *Record) connectedTooLate(q Request) bool {
	return slices.ContainsFunc(r.Processes, func(p Process) bool {
		return p.Node == q.Node && p.TermAt > 0 && q.Connected > p.TermAt+maxClientsAfterTerm && (p.Ended == 0 || q.Connected < p.Ended)
	})
}

// checkDuplicateRuns checks that no request runs twice if its class must not.
func (r *Record) checkDuplicateRuns() RuleResult {
	c := newCountRule("requests that may have run twice")
	first := map[string]processes.FirstLine{}
	for _, l := range r.HostLines {
		if !strings.Contains(l.Line, "c=print") {
			continue
		}
		before, again := first[l.ID]
		c.add(again, "%s at %s at %s, answered %q, and at %s at %s", l.ID, before.Host, before.At, before.Response, l.Host, l.At)
		if !strings.HasPrefix(l.Response, "BUSY") { // BUSY promises that the request has not run
			first[l.ID] = l
		}
	}
	return c
}

// checkConcurrentAttempts checks that no attempt begins while another attempt of the same request is pending.
func (r *Record) checkConcurrentAttempts() RuleResult {
	c := newCountRule("second copies")
	for _, l := range r.HostLines {
		c.add(l.Concurrent, "%s at %s at %s", l.ID, l.Host, l.At)
	}
	return c
}

// checkAfterClientLeft checks that no attempt begins after the client has left.
func (r *Record) checkAfterClientLeft() RuleResult {
	t := newTimeRule("an attempt begun after its client left", maxStartAfterLeave)
	left := map[string]Request{}
	for _, q := range r.Requests {
		if q.Outcome == ClientLeft {
			left[q.ID] = q
		}
	}
	for _, l := range r.HostLines {
		if q, gone := left[l.ID]; gone {
			t.add(l.At-q.EndedAt-r.longestStall(q.EndedAt-time.Second, l.At),
				"%s left %s at %s, a line reached %s at %s", l.ID, q.Node, q.EndedAt, l.Host, l.At)
		}
	}
	return t.RuleResult
}

// checkCutOff checks that no connection is closed without MOVE or BYE while its host responds.
func (r *Record) checkCutOff() RuleResult {
	c := newCountRule("connections cut off")
	for _, s := range r.Connections {
		exempt := s.Ending != CutOff || r.crashedDuring(s.Node, s.Began, s.Ended) ||
			r.Plan.PassThrough && r.wasStopping(s.Node, s.Ended) ||
			anyOverlaps(r.Downtimes[s.Host], s.Ended-maxOpenAfterHostEnd, s.Ended) ||
			anyOverlaps(r.Hangs[s.Host], s.Ended-maxOpenAfterHostEnd, s.Ended)
		c.add(!exempt, "%s of %s at %s, established from %s to %s", s.ID, s.Node, s.Host, s.Began, s.Ended)
	}
	return c
}

// wasStopping reports whether a process of the node that had received SIGTERM was still running at the given time or
// had ended just before.
func (r *Record) wasStopping(node string, at time.Duration) bool {
	return slices.ContainsFunc(r.Processes, func(p Process) bool {
		return p.Node == node && p.TermAt > 0 && p.TermAt < at && (p.Ended == 0 || at < p.Ended+crashDetection)
	})
}

// checkHeldAtKill checks that no connection is still open at a process when it is killed in a planned restart.
func (r *Record) checkHeldAtKill() RuleResult {
	c := newCountRule("connections held at the kill")
	for _, p := range r.Processes {
		if p.TermAt == 0 || p.Crashed || r.Plan.PassThrough {
			continue // the protocol page exempts connections whose packets pass through
		}
		if p.KillAt == 0 {
			c.add(false, "") // it ended without being killed
			continue
		}
		for _, s := range r.Connections {
			held := s.Node == p.Node && s.Began < p.KillAt && s.Ended >= p.KillAt && s.Ended < p.KillAt+crashDetection && s.Ending == CutOff
			c.add(held, "%s of %s, killed at %s after SIGTERM at %s", s.ID, s.Node, p.KillAt, p.TermAt)
		}
	}
	return c
}

// checkEchoes checks that no line is held back.
func (r *Record) checkEchoes() RuleResult {
	t := newTimeRule("a line held back", maxEchoTime)
	for _, s := range r.Connections {
		from, to := s.SlowestSentAt, s.SlowestSentAt+s.SlowestEcho
		if s.SlowestEcho > 0 && !anyOverlaps(r.Hangs[s.Host], from, to) {
			t.add(s.SlowestEcho-r.longestStall(from, to), "%s of %s at %s, sent at %s", s.ID, s.Node, s.Host, from)
		}
	}
	return t.RuleResult
}

// checkHostEnds checks that a connection that its host has closed is closed or moved soon.
func (r *Record) checkHostEnds() RuleResult {
	t := newTimeRule("a connection held after its host's end", maxOpenAfterHostEnd)
	for _, s := range r.Connections {
		for _, down := range r.Downtimes[s.Host] {
			if s.Began < down.From && s.Ended > down.From {
				t.add(s.Ended-down.From-r.longestStall(down.From, s.Ended), "%s of %s, %s ended at %s", s.ID, s.Node, s.Host, down.From)
			}
		}
	}
	return t.RuleResult
}

// checkDrains checks that nothing goes to a draining host after the grace period.
func (r *Record) checkDrains() RuleResult {
	t := newTimeRule("a line to a drained host after its drain was told", maxLineAfterDrain)
	for host, drains := range r.Drains {
		for _, d := range drains {
			for _, node := range r.Plan.Nodes {
				if knownAt := r.drainKnownAt(node, host, d); knownAt < d.To {
					t.add(0, "") // counts the drain as checked, even if no line was sent
					r.checkLinesToDrained(t, node, host, d, knownAt)
				}
			}
		}
	}
	return t.RuleResult
}

// checkLinesToDrained checks the lines that a node sent to a host after it knew of the host's drain.
func (r *Record) checkLinesToDrained(t *timeRule, node, host string, drain Span, knownAt time.Duration) {
	for _, l := range r.HostLines {
		if l.Node == node && l.Host == host && l.At >= knownAt && l.At < drain.To {
			t.add(l.At-knownAt-r.longestStall(knownAt, l.At),
				"%s sent %s to %s at %s, which drained at %s, known at %s", node, l.ID, host, l.At, drain.From, knownAt)
		}
	}
}

// drainKnownAt returns when a drain counts as known to a node.
func (r *Record) drainKnownAt(node, host string, drain Span) time.Duration {
	reachable := drain.From
	for _, s := range r.DiscoveryFaults {
		if s.overlaps(reachable, reachable+listPropagation) {
			reachable = s.To
		}
	}
	at := reachable + listPropagation
	for _, sent := range r.SentStates {
		if sent.Node == node && sent.Host == host && sent.State == "terminating" && sent.At >= drain.From {
			at = min(at, sent.At)
		}
	}
	return at
}

// checkStartTimes checks that started processes are ready in time.
func (r *Record) checkStartTimes() RuleResult {
	t := newTimeRule("a process's way to ready", readyTarget)
	late := 0
	for _, p := range r.Processes {
		if p.Ready == 0 && (p.Crashed || p.TermAt > 0) {
			continue // it was ended before it was ready
		}
		took := p.Ready - p.Started
		if p.Ready == 0 {
			took = never
		}
		if took > readyTarget && took <= readyLimit {
			late++
		}
		t.add(took, "%s, started at %s", p.Node, p.Started)
	}
	if 10*late <= lateOfTen*t.Checked && t.worst <= readyLimit {
		t.Violations = nil
	}
	return t.RuleResult
}

// checkExits checks that a process that receives SIGTERM exits with status 0 before it is killed, which happens at
// the earliest time that the protocol page allows. With packets passing through, the process may carry established
// connections until then (PROTOCOL exempts such connections), so that the kill may come first.
func (r *Record) checkExits() RuleResult {
	c := RuleResult{Rule: "processes asked to end that were killed or failed", Bound: "none"}
	for _, p := range r.Processes {
		if p.TermAt == 0 || p.Crashed {
			continue
		}
		killed := p.KillAt > 0 && !r.Plan.PassThrough
		// Before a process handles signals, SIGTERM ends it at once.
		failed := p.KillAt == 0 && p.Ready > 0 && !p.ExitedCleanly
		c.add(killed || failed, "%s, started at %s, SIGTERM at %s, killed at %s, clean %t",
			p.Node, p.Started, p.TermAt, p.KillAt, p.ExitedCleanly)
	}
	return c
}

// checkDescriptors checks that a node without clients holds no more descriptors than before the first client, except
// one connection to each host: the node keeps it on purpose to ask the host for reports (PROTOCOL, Nodes to hosts:
// such a connection may stay open), and before the first client there were none.
func (r *Record) checkDescriptors() RuleResult {
	c := RuleResult{Rule: "descriptors at rest", Bound: "as before, plus one for each host"}
	most := -r.Plan.Hosts
	for _, u := range r.Usage {
		c.add(u.FilesAfter > u.FilesBefore+r.Plan.Hosts, "%s holds %d, before the first client %d", u.Node, u.FilesAfter, u.FilesBefore)
		most = max(most, u.FilesAfter-u.FilesBefore-r.Plan.Hosts)
	}
	c.Worst = fmt.Sprintf("%+d", most)
	return c
}

// checkMemory checks that a node holds little more memory after all clients have left than before the first one.
func (r *Record) checkMemory() RuleResult {
	c := RuleResult{Rule: "memory at rest", Bound: "1.5 times plus 8 MiB"}
	worst := 0.0
	for _, u := range r.Usage {
		most := memoryFactor*float64(u.MemoryBefore) + memoryAllowance
		c.add(float64(u.MemoryAfter) > most, "%s holds %d KiB, before the first client %d", u.Node, u.MemoryAfter>>10, u.MemoryBefore>>10)
		worst = max(worst, float64(u.MemoryAfter)/most)
	}
	c.Worst = fmt.Sprintf("%.2f", worst)
	return c
}

// checkOtherViolations reports violations that hosts, discovery and clients observed.
func (r *Record) checkOtherViolations() RuleResult {
	c := newCountRule("what must never be")
	for _, v := range r.Violations {
		c.add(true, "%s", v)
	}
	c.Checked, c.Worst = len(r.Requests), fmt.Sprint(len(c.Violations))
	return c
}
