package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// This file judges that something good happens: a node that refuses everybody breaks none of the other rules.

const (
	// leastServed is the part of what was there to be served that has to be (STANDING, The gate: at least half).
	leastServed = 0.5
	// servesWithin: a process that was open to clients for so long has served somebody (STANDING, The gate: processes that serve nobody).
	servesWithin = time.Second
	// leastAsked is how many requests a process, or a kind of them, has to have had before none served says anything.
	leastAsked = 5
	// longestWait is the longest wait of the settings and the pages: what discovery tells counts as told so late. After it no trouble is left.
	longestWait = toldWithin
	// calmTail is how long clients go on coming once no trouble is left.
	calmTail = 2 * time.Second
	// mostAttempts and mostRetryAfter are those of the settings.
	mostAttempts   = 4
	mostRetryAfter = 1500 * time.Millisecond
	triedAgain     = "requests tried again after a failure"
	// timeForAnother is what a client has to have left for another attempt to be worth it: the least time that any client waits.
	timeForAnother = leastWait
)

// waited are the requests that were there to be served: their clients waited, and the process that they came to went on. The plan leaves
// hosts alone that have room for all clients (Plan.drawEvents).
func (r *Record) waited() (all []Request) {
	for _, q := range r.Requests {
		excused := q.Outcome == Left || r.crashed(q.Node, q.Dialled, q.At) || r.beyondFront(q) || q.Outcome == Reset && r.Plan.Crowd > 0
		if !excused {
			all = append(all, q)
		}
	}
	return all
}

// served: at least half of what was there to be served is, over the run, in each third of it and in each class.
func (r *Record) served() Ruling {
	c := Ruling{Rule: "a part of the requests served", Bound: fmt.Sprintf("at least %g", leastServed), Owed: true}
	all := r.waited()
	third := (r.Plan.Lasts + longestWait + calmTail) / 3
	parts := map[string][]Request{"the run": all}
	for _, q := range all {
		part := fmt.Sprintf("third %d", 1+min(2, max(0, q.Sent-r.Began)/third))
		parts[part] = append(parts[part], q)
		parts["class "+q.Class] = append(parts["class "+q.Class], q)
	}
	worst := 1.0
	for _, name := range []string{"the run", "third 1", "third 2", "third 3", "class chat", "class print"} {
		up := 0
		for _, q := range parts[name] {
			if q.Outcome == Up {
				up++
			}
		}
		part := float64(up) / float64(max(1, len(parts[name])))
		worst = min(worst, part)
		c.take(part < leastServed, "%s: %d of %d", name, up, len(parts[name]))
	}
	c.Worst = fmt.Sprintf("%.2f", worst)
	return c
}

// serving: each process that was open to clients for long enough, and was asked, has served somebody.
func (r *Record) serving() Ruling {
	c := counting("processes that served nobody")
	c.Owed = true
	all := r.waited()
	for _, l := range r.Lives {
		until := cmp.Or(l.Term, l.Kill, l.Ended, never)
		if l.Ready == 0 || until-l.Ready < servesWithin {
			continue
		}
		asked, up := 0, 0
		for _, q := range all {
			if q.Node != l.Node || q.Sent < l.Ready || q.At > until {
				continue
			}
			asked++
			if q.Outcome == Up {
				up++
			}
		}
		if asked >= leastAsked {
			c.take(up == 0, "%s, ready at %s, until %s: %d asked", l.Node, l.Ready, until, asked)
		}
	}
	return c
}

// calm: once no trouble is left, every request is served.
func (r *Record) calm() Ruling {
	c := counting("requests not served once no trouble was left")
	c.Owed = true
	for _, q := range r.waited() {
		if q.Sent >= r.Calm {
			c.take(q.Outcome != Up, "%s at %s, sent %s, waits %s: %s at %s", q.ID, q.Node, q.Sent, q.Wait, q.Outcome, q.At)
		}
	}
	return c
}

// attempts: no request has more attempts than the settings allow.
func (r *Record) attempts() Ruling {
	c := Ruling{Rule: "attempts of one request", Bound: fmt.Sprint(mostAttempts), Owed: true}
	most := 0
	for id, lines := range r.linesOf() {
		c.take(len(lines) > mostAttempts, "%s: %d", id, len(lines))
		most = max(most, len(lines))
	}
	c.Worst = fmt.Sprint(most)
	return c
}

// linesOf returns the first lines that hosts got, by request, in their order.
func (r *Record) linesOf() map[string][]line {
	of := map[string][]line{}
	for _, l := range r.Lines {
		of[l.ID] = append(of[l.ID], line{l.At, l.Response})
	}
	for _, lines := range of {
		slices.SortFunc(lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	}
	return of
}

// line is a first line at a host.
type line struct {
	at     time.Duration
	answer string
}

// seconds: requests of the class that may run twice are tried again where their first attempt failed and time is left. Budgets may keep some
// back, never all.
func (r *Record) seconds() Ruling {
	c := Ruling{Rule: triedAgain, Bound: "some of those with time left"}
	lines := r.linesOf()
	for _, q := range r.waited() {
		of := lines[q.ID]
		if q.Class != "chat" || len(of) == 0 || strings.HasPrefix(of[0].answer, "UP") || of[0].answer == "" {
			continue
		}
		if q.Sent+q.Wait-of[0].at < timeForAnother {
			continue
		}
		c.Seen++
		if len(of) > 1 {
			c.Good++
		}
	}
	c.Worst = fmt.Sprint(c.Good)
	if c.Seen >= leastAsked && c.Good == 0 {
		c.Cases = append(c.Cases, fmt.Sprintf("none of %d", c.Seen))
	}
	return c
}

// retryAfters: BUSY names no longer time than the settings' longest.
func (r *Record) retryAfters() Ruling {
	t := newTiming("the time that BUSY names", mostRetryAfter)
	for _, q := range r.Requests {
		if q.Outcome == Busy && q.RetryAfter > 0 {
			t.take(q.RetryAfter, "%s at %s at %s", q.ID, q.Node, q.At)
		}
	}
	return t.Ruling
}
