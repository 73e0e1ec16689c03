package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// This file checks that requests are served: a node that refuses every request violates none of the other rules.

const (
	// minServed is the fraction of the servable requests that must be served (STANDING, The gate: at least half).
	minServed = 0.5
	// serveGrace is how long a process may be open to clients without having served any (STANDING, The gate: processes
	// that serve nobody).
	serveGrace = time.Second
	// minSample is the number of requests below which a process, or a set of requests, with none served says nothing.
	minSample = 5
	// settleTime is the longest delay in the settings and the protocol pages: the time after which information from
	// discovery counts as known. After it no fault has an effect any more.
	settleTime = listPropagation
	// faultFreeTail is how long clients keep coming once no fault has an effect any more.
	faultFreeTail = 2 * time.Second
	// maxAttempts and maxRetryAfter equal max_attempts and max_retry_after_us of the settings.
	maxAttempts   = 4
	maxRetryAfter = 1500 * time.Millisecond
	retriedRule   = "requests tried again after a failure"
	// minTimeForRetry is the time that a client must have left for another attempt to make sense: the shortest
	// response timeout of any client.
	minTimeForRetry = minResponseTimeout
)

// servable returns the requests that should have been served: the client waited, and the process that it connected to
// kept running. The plan leaves enough hosts without faults for all clients (Plan.generateEvents).
func (r *Record) servable() (all []Request) {
	for _, q := range r.Requests {
		exempt := q.Outcome == ClientLeft || r.crashedDuring(q.Node, q.Connected, q.EndedAt) || r.connectedTooLate(q) ||
			q.Outcome == Reset && r.Plan.IdleClients > 0
		if !exempt {
			all = append(all, q)
		}
	}
	return all
}

// checkServed checks that at least half of the servable requests are served: over the run, in each third of it and in
// each class.
func (r *Record) checkServed() RuleResult {
	c := RuleResult{Rule: "a part of the requests served", Bound: fmt.Sprintf("at least %g", minServed), Required: true}
	all := r.servable()
	third := (r.Plan.Duration + settleTime + faultFreeTail) / 3
	parts := map[string][]Request{"the run": all}
	for _, q := range all {
		part := fmt.Sprintf("third %d", 1+min(2, max(0, q.Sent-r.FaultsFrom)/third))
		parts[part] = append(parts[part], q)
		parts["class "+q.Class] = append(parts["class "+q.Class], q)
	}
	worst := 1.0
	for _, name := range []string{"the run", "third 1", "third 2", "third 3", "class chat", "class print"} {
		served := 0
		for _, q := range parts[name] {
			if q.Outcome == Up {
				served++
			}
		}
		fraction := float64(served) / float64(max(1, len(parts[name])))
		worst = min(worst, fraction)
		c.add(fraction < minServed, "%s: %d of %d", name, served, len(parts[name]))
	}
	c.Worst = fmt.Sprintf("%.2f", worst)
	return c
}

// checkProcessesServe checks that each process that was open to clients for long enough and received enough requests
// served at least one.
func (r *Record) checkProcessesServe() RuleResult {
	c := newCountRule("processes that served nobody")
	c.Required = true
	all := r.servable()
	for _, p := range r.Processes {
		until := cmp.Or(p.TermAt, p.KillAt, p.Ended, never)
		if p.Ready == 0 || until-p.Ready < serveGrace {
			continue
		}
		requests, served := 0, 0
		for _, q := range all {
			if q.Node != p.Node || q.Sent < p.Ready || q.EndedAt > until {
				continue
			}
			requests++
			if q.Outcome == Up {
				served++
			}
		}
		if requests >= minSample {
			c.add(served == 0, "%s, ready at %s, until %s: %d requests", p.Node, p.Ready, until, requests)
		}
	}
	return c
}

// checkAfterFaults checks that every request is served once no fault has an effect any more.
func (r *Record) checkAfterFaults() RuleResult {
	c := newCountRule("requests not served once no trouble was left")
	c.Required = true
	for _, q := range r.servable() {
		if q.Sent >= r.FaultsOver {
			c.add(q.Outcome != Up, "%s at %s, sent %s, timeout %s: %s at %s", q.ID, q.Node, q.Sent, q.Wait, q.Outcome, q.EndedAt)
		}
	}
	return c
}

// checkAttempts checks that no request has more attempts than the settings allow.
func (r *Record) checkAttempts() RuleResult {
	c := RuleResult{Rule: "attempts of one request", Bound: fmt.Sprint(maxAttempts), Required: true}
	most := 0
	for id, lines := range r.linesByRequest() {
		c.add(len(lines) > maxAttempts, "%s: %d", id, len(lines))
		most = max(most, len(lines))
	}
	c.Worst = fmt.Sprint(most)
	return c
}

// linesByRequest returns the first lines that hosts received, by request id, in the order of time.
func (r *Record) linesByRequest() map[string][]hostLine {
	byRequest := map[string][]hostLine{}
	for _, l := range r.HostLines {
		byRequest[l.ID] = append(byRequest[l.ID], hostLine{l.At, l.Response})
	}
	for _, lines := range byRequest {
		slices.SortFunc(lines, func(a, b hostLine) int { return cmp.Compare(a.at, b.at) })
	}
	return byRequest
}

// hostLine is a first line that a host received, with the host's response.
type hostLine struct {
	at       time.Duration
	response string
}

// checkRetries checks that requests of the class that may run twice are retried if their first attempt failed and
// time is left. Retry budgets may prevent some of these retries, but never all.
func (r *Record) checkRetries() RuleResult {
	c := RuleResult{Rule: retriedRule, Bound: "some of those with time left"}
	lines := r.linesByRequest()
	for _, q := range r.servable() {
		requestLines := lines[q.ID]
		if q.Class != "chat" || len(requestLines) == 0 || strings.HasPrefix(requestLines[0].response, "UP") || requestLines[0].response == "" {
			continue
		}
		if q.Sent+q.Wait-requestLines[0].at < minTimeForRetry {
			continue
		}
		c.Checked++
		if len(requestLines) > 1 {
			c.Successes++
		}
	}
	c.Worst = fmt.Sprint(c.Successes)
	if c.Checked >= minSample && c.Successes == 0 {
		c.Violations = append(c.Violations, fmt.Sprintf("none of %d", c.Checked))
	}
	return c
}

// checkRetryAfter checks that BUSY never names a time longer than the maximum in the settings.
func (r *Record) checkRetryAfter() RuleResult {
	t := newTimeRule("the time that BUSY names", maxRetryAfter)
	for _, q := range r.Requests {
		if q.Outcome == Busy && q.RetryAfter > 0 {
			t.add(q.RetryAfter, "%s at %s at %s", q.ID, q.Node, q.EndedAt)
		}
	}
	return t.RuleResult
}
