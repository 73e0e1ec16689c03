package sendlease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var hosts = []string{"a", "b", "c"}

// entry is the state of the Raft group's schedule at one log index.
type entry struct {
	excluded       []ExcludedHost
	exclusionSet   ExclusionSet
	ackIncarnation uint64
	acked          uint64 // 0: none
}

// call is a request with the process that sent it.
type call struct {
	LeaseRequest
	process int
}

// replica is one of two that lead alternately. One that was stopped still believes that it leads, and its view does not advance.
type replica struct {
	table          *Table
	believesLeader bool
	view           int // log index
	pending        []call
}

// world is one node and its Raft group, in true time. The clocks of the node and the replicas drift apart by at most Terms.Drift.
type world struct {
	*rand.Rand
	t        *testing.T
	now      time.Duration
	rate     [3]float64 // of the clocks of the node and the replicas
	log      []entry
	replicas [2]*replica
	lead     int
	round    uint64
	free     map[string]uint64 // hosts that a replica considered free of the node's new work, with their rounds: it may have acted on it

	h                 *Holder
	durable           Saved
	writing           *Saved
	loop              Restrictions
	queue             []Restrictions // the latest only
	appliedByLoop     []Restrictions // applied by the loop; the confirmations are still in transit
	answeredRequestAt time.Duration  // by the node's clock, of the newest answered request
	sentAt            map[uint64]time.Duration
	requests          []call
	process           int
	responsesInFlight []LeaseResponse
	responses         map[uint64]LeaseResponse
	leaseEnd          time.Duration // of the last Restrictions checked
	saveAgain         bool
	everAnswered      bool
	seen              map[string]int
	trace             []string
}

// node and at return the time by the clock of the node, and by that of a replica.
func (w *world) node() time.Duration { return time.Duration(float64(w.now) * w.rate[0]) }
func (w *world) at(s int) time.Duration {
	return time.Duration(float64(w.now) * w.rate[1+s])
}
func (w *world) top() entry { return w.log[len(w.log)-1] }

// commit appends to the log; the leading replica sees it.
func (w *world) commit(e entry) {
	w.log = append(w.log, e)
	w.replicas[w.lead].view = len(w.log) - 1
}

func (w *world) start() {
	w.process++
	w.h = NewHolder(terms, "n", w.durable)
	w.loop, w.queue, w.appliedByLoop, w.responsesInFlight, w.writing = w.h.Restrictions(), nil, nil, nil, nil
	w.sentAt, w.answeredRequestAt, w.leaseEnd, w.responses = map[uint64]time.Duration{}, -time.Hour, 0, map[uint64]LeaseResponse{}
}

func pick[T any](w *world, list *[]T, keep bool) (x T, ok bool) {
	if len(*list) == 0 {
		return x, false
	}
	i := w.IntN(len(*list))
	x = (*list)[i]
	if !keep {
		*list = slices.Delete(slices.Clone(*list), i, i+1)
	}
	return x, true
}

func (w *world) step() string {
	keep := w.IntN(5) == 0 // delivered twice
	i := w.IntN(2)
	rep := w.replicas[i]
	switch k := w.IntN(40); {
	case k < 6:
		q := w.h.NextRequest(w.node())
		w.sentAt[q.Seq] = w.node()
		w.requests = append(w.requests, call{q, w.process})
		for _, o := range q.Confirmed {
			require.Contains(w.t, w.durable.ExcludedHosts, o, "R5: confirmed, not in the store")
			require.Contains(w.t, w.h.Restrictions().ExcludedHosts, o, "confirmed, not excluded")
			require.True(w.t, containsHost(w.loop.ExcludedHosts, o.Host), "R5: confirmed, not excluded at the loop")
		}
		require.True(w.t, q.Acked == 0 || slices.ContainsFunc(w.durable.ExclusionSets,
			func(z ExclusionSet) bool { return z.Version == q.Acked }), "R5: acknowledged, not stored")
		require.LessOrEqual(w.t, q.Acked, w.loop.ExclusionSetVersion, "R5: acknowledged, not in effect")
		return fmt.Sprint("requests ", q)
	case k < 12: // a request arrives; only a leader that a quorum then confirms may answer it
		if q, ok := pick(w, &w.requests, keep); ok {
			if rep.believesLeader {
				rep.table.RecordConfirmed(w.at(i), q.LeaseRequest)
				if top := w.top(); q.Acked > top.acked || q.Acked == top.acked && q.Acked > 0 && q.Incarnation != top.ackIncarnation {
					top.ackIncarnation, top.acked = q.Incarnation, q.Acked
					w.commit(top) // a replica that still believes that it leads forwards its proposals
				}
			}
			if i == w.lead {
				rep.pending = append(rep.pending, q)
			}
			return fmt.Sprint("request arrives at ", i, q)
		}
	case k < 18: // the replica answers, possibly after it was stopped
		if q, ok := pick(w, &rep.pending, false); ok {
			v := w.log[rep.view]
			a := LeaseResponse{Seq: q.Seq, Applied: uint64(rep.view), ExcludedHosts: v.excluded, ExclusionSet: v.exclusionSet}
			if v.ackIncarnation == q.Incarnation {
				a.Recorded = v.acked
			}
			rep.table.RecordAnswered(w.at(i), "n")
			if q.process == w.process {
				w.responsesInFlight = append(w.responsesInFlight, a)
			}
			return fmt.Sprint("replica answers ", i, a)
		}
	case k < 24:
		if a, ok := pick(w, &w.responsesInFlight, keep); ok {
			last := w.h.answered
			save, changed := w.h.HandleResponse(w.node(), a)
			if w.h.answered != last {
				w.answeredRequestAt, w.everAnswered, w.responses[a.Seq] = max(w.answeredRequestAt, w.sentAt[a.Seq]), true, a
			}
			if save {
				require.LessOrEqual(w.t, w.h.Restrictions().LeaseEnd, w.leaseEnd, "R5: a lease in use before its contents are durable")
				if w.saveAgain = w.writing != nil; !w.saveAgain { // unless a write is in progress
					sv := w.h.Saved()
					w.writing = &sv
				}
			}
			if changed {
				w.queue = []Restrictions{w.h.Restrictions()}
			}
			return fmt.Sprint("response arrives ", a, save, changed)
		}
	case k < 27:
		if w.writing != nil {
			w.durable, w.writing = *w.writing, nil
			w.h.MarkStored()
			w.queue = []Restrictions{w.h.Restrictions()}
			if w.saveAgain {
				sv := w.h.Saved()
				w.writing, w.saveAgain = &sv, false
			}
			return fmt.Sprint("stored ", w.durable)
		}
	case k < 30:
		if len(w.queue) > 0 {
			w.loop, w.queue = w.queue[0], nil
			w.appliedByLoop = append(w.appliedByLoop, w.loop)
			return fmt.Sprint("loop applies ", w.loop)
		}
	case k < 33:
		if len(w.appliedByLoop) > 0 {
			w.h.MarkInEffect(w.appliedByLoop[0])
			w.appliedByLoop = w.appliedByLoop[1:]
			return "loop confirms"
		}
	case k == 33: // the process restarts, possibly during a write
		if w.writing != nil && w.IntN(2) == 0 {
			w.durable = *w.writing
		}
		if w.IntN(4) == 0 {
			w.durable, w.everAnswered = Saved{Incarnation: w.durable.Incarnation + 1}, false
		}
		w.start()
		return fmt.Sprint("node starts with ", w.durable)
	case k == 34: // leadership changes, or the former leader learns that it has
		if other := w.replicas[1-w.lead]; other.believesLeader {
			other.table.Resign()
			other.believesLeader = false
			return "former leader resigns"
		}
		w.lead = 1 - w.lead
		w.replicas[w.lead].believesLeader, w.replicas[w.lead].view = true, len(w.log)-1
		w.replicas[w.lead].table.BecomeLeader(w.at(w.lead))
		return fmt.Sprint("leads now: ", w.lead)
	case k == 35 || k == 36: // a host is excluded or is back
		top, host := w.top(), hosts[w.IntN(3)]
		if containsHost(top.excluded, host) {
			top.excluded = slices.DeleteFunc(slices.Clone(top.excluded), func(o ExcludedHost) bool { return o.Host == host })
			delete(w.free, host)
		} else {
			w.round++
			top.excluded = append(slices.Clone(top.excluded), ExcludedHost{host, w.round})
			slices.SortFunc(top.excluded, func(x, y ExcludedHost) int { return int(x.Host[0]) - int(y.Host[0]) })
		}
		w.commit(top)
		return fmt.Sprint("excluded now: ", top.excluded)
	case k == 37:
		top := w.top()
		top.exclusionSet = ExclusionSet{top.exclusionSet.Version + 1, []string{hosts[w.IntN(3)]}}
		w.commit(top)
		return fmt.Sprint("exclusion set ", top.exclusionSet)
	default:
		w.now += time.Duration(w.Int64N(int64(8 * s)))
		return fmt.Sprint("time ", w.now)
	}
	return ""
}

// check verifies every property.
func (w *world) check() {
	now, top := w.node(), w.top()
	if u := w.h.Restrictions().LeaseEnd; u != w.leaseEnd {
		w.leaseEnd = u
		stored := false // the contents of a response that brought this lease
		for seq, a := range w.responses {
			stored = stored || w.sentAt[seq]+terms.Duration == u && (w.durable.Applied >= a.Applied ||
				slices.Equal(a.ExcludedHosts, w.durable.ExcludedHosts) && a.ExclusionSet.Version == w.durable.newest())
		}
		require.True(w.t, stored, "R5: a lease in use before its contents are durable")
	}
	for _, v := range []Restrictions{w.loop, w.h.Restrictions()} {
		require.LessOrEqual(w.t, v.LeaseEnd, max(0, w.answeredRequestAt+terms.Duration), "R4: counts from the request")
		if !w.everAnswered {
			require.True(w.t, v.Excludes("x", now), "R3")
		}
		if now >= v.LeaseEnd {
			for _, z := range w.log {
				if z.exclusionSet.Version == top.acked && top.acked > 0 {
					for _, host := range z.exclusionSet.Hosts {
						require.True(w.t, v.Excludes(host, now), "R2")
					}
				}
			}
		}
		if w.replicas[w.lead].table.LeaseState(w.at(w.lead), "n") == Expired {
			require.GreaterOrEqual(w.t, now, v.LeaseEnd, "R4: the Raft group counts longer")
		}
	}
	for i, s := range w.replicas {
		if !s.believesLeader {
			continue
		}
		view := w.log[s.view]
		for _, o := range view.excluded {
			byExclusionSet := s.table.LeaseState(w.at(i), "n") == Expired && view.acked > 0 &&
				slices.ContainsFunc(w.log, func(e entry) bool {
					return e.exclusionSet.Version == view.acked && slices.Contains(e.exclusionSet.Hosts, o.Host)
				})
			confirmed := s.table.Confirmed("n")[o.Host] == o.Round
			if (byExclusionSet || confirmed) && slices.Contains(top.excluded, o) {
				w.free[o.Host] = o.Round
				w.seen[fmt.Sprint("exclusion set ", byExclusionSet, " confirmed ", confirmed, " leads ", i == w.lead)]++
			}
		}
	}
	for _, host := range hosts {
		if w.free[host] > 0 {
			require.True(w.t, w.loop.Excludes(host, now), "R1: %s is considered free of new work", host)
		}
	}
}

// TestSendLeaseUnderRandomSchedules runs random schedules with loss, delay, repetition, restarts, slow event loops and two
// leaders.
func TestSendLeaseUnderRandomSchedules(t *testing.T) {
	seen := map[string]int{}
	var w *world
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(w.rate, strings.Join(w.trace[max(0, len(w.trace)-100):], "\n"))
		}
	})
	for seed := range uint64(120) {
		r := rand.New(rand.NewPCG(seed, 1))
		w = &world{Rand: r, t: t, free: map[string]uint64{}, seen: seen, durable: Saved{Incarnation: 1}, log: []entry{{}}}
		for i := range w.rate {
			w.rate[i] = 1 + terms.Drift*float64(r.IntN(2))
			if i < 2 {
				w.replicas[i] = &replica{table: NewTable(terms)}
			}
		}
		w.replicas[0].believesLeader = true
		w.replicas[0].table.BecomeLeader(0)
		w.start()
		for range 1000 {
			if event := w.step(); event != "" {
				w.trace = append(w.trace, event)
			}
			w.check()
		}
	}
	t.Log(seen)
	for _, want := range []string{"exclusion set true confirmed false leads true", "exclusion set true confirmed false leads false",
		"exclusion set false confirmed true leads true", "exclusion set false confirmed true leads false"} {
		require.Greater(t, seen[want], 100, want)
	}
}
