package lifecycle

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the table of transitions into the design page")

// forEachStep calls f with every reachable state and every event that Step can distinguish.
func forEachStep(f func(s State, e Event)) {
	for p := NotArrived; p <= Finished; p++ {
		for _, inherited := range []bool{false, true} {
			for made := range uint16(3) {
				s := State{Phase: p, Inherited: inherited, Attempts: made}
				if s.HasHostConn() && made == 0 || p == NotArrived && (made > 0 || inherited) || inherited && p != NotArrived && made == 0 {
					continue // unreachable
				}
				for k := range Kind(kinds) {
					f(s, Event{Kind: k, Attempt: made})
					if k.ofAttempt() {
						f(s, Event{Kind: k, Attempt: made + 1})
						if made > 0 {
							f(s, Event{Kind: k, Attempt: made - 1})
						}
					}
				}
			}
		}
	}
}

// TestEveryStepIsConsistent checks each transition by itself: answers, timers, attempts and notifications match the change
// of state. The models under rehearsal check sequences of transitions.
func TestEveryStepIsConsistent(t *testing.T) {
	forEachStep(func(s State, e Event) {
		next, f := Step(s, e)
		transition := fmt.Sprintf("%+v %s/%d -> %+v: %s", s, e.Kind, e.Attempt, next, f)
		answers, notified := 0, false
		for i := range f.Len() {
			if f.At(i).Answers() {
				answers++
			}
			notifies := f.At(i) >= NotifyArrival && f.At(i) <= NotifyOver
			require.False(t, notified && !notifies, "the balancer is notified before the other effects: %s", transition)
			notified = notified || notifies
		}
		switch {
		case s.AwaitsAnswer() && !next.AwaitsAnswer() && e.Kind != ClientGone:
			require.Equal(t, 1, answers, "exactly one final answer: %s", transition)
		default:
			require.Zero(t, answers, "an answer to a client that does not wait for one: %s", transition)
		}
		require.Equal(t, next.AwaitsAnswer() && !s.AwaitsAnswer(), f.Has(StartDeadline), "StartDeadline: %s", transition)
		require.Equal(t, s.AwaitsAnswer() && !next.AwaitsAnswer() && e.Kind != Deadline, f.Has(StopDeadline), "StopDeadline: %s", transition)
		require.Equal(t, f.Has(SendAttempt), next.Phase == Trying && (s.Phase != Trying || next.Attempts != s.Attempts), transition)
		if f.Has(SendAttempt) {
			require.False(t, s.HasHostConn(), "two attempts at once: %s", transition)
			require.Equal(t, s.Attempts+1, next.Attempts, transition)
		} else {
			require.Equal(t, s.Attempts+map[bool]uint16{true: 1}[s.Phase == NotArrived && e.Kind == Adopt], next.Attempts, transition)
		}
		closes := f.Has(CloseAttempt) || f.Has(EndAttempt)
		notByNode := e.Kind == HostEnded || e.Kind == HostServed || e.Kind == HandOver
		require.Equal(t, s.HasHostConn() && !next.HasHostConn() && !notByNode, closes, "the node closes the connection to the host: %s", transition)
		require.Equal(t, s.Phase == Trying && next.Phase != Trying || s.Phase == Waiting && s.Inherited && next.Phase == Finished,
			f.Has(StopTimer), "StopTimer: %s", transition)
		known := s.HasHostConn() && !next.HasHostConn() && (!s.Inherited || s.Phase == Established)
		require.Equal(t, known, f.Has(NotifyEnded) || f.Has(NotifyOver), "the balancer is notified of the end: %s", transition)
		require.Equal(t, next.Phase == Finished && s.Phase != Finished, f.Has(Forget), transition)
		if s.Phase == Finished {
			require.Equal(t, s, next, "Finished is final: %s", transition)
		}
		if e.Kind.ofAttempt() && e.Attempt != s.Attempts {
			require.Equal(t, s, next, transition)
			require.Zero(t, f.Len(), "an event of another attempt has no effect: %s", transition)
		}
	})
}

// TestDesignPageTableIsCurrent compares the table on the design page with the code. The flag -update rewrites the table.
func TestDesignPageTableIsCurrent(t *testing.T) {
	const page, begin, end = "../../docs/design/life.md", "<!-- table -->\n", "<!-- end of table -->\n"
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	before, rest, found := strings.Cut(string(text), begin)
	require.True(t, found, "the page has no <!-- table --> marker")
	_, after, found := strings.Cut(rest, end)
	require.True(t, found, "the page has no <!-- end of table --> marker")
	want := before + begin + table() + end + after
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(want), 0o644))
		return
	}
	assert.Equal(t, want, string(text), "run go test ./internal/lifecycle -update")
}

// table renders all transitions that have effects other than LogUnexpected.
func table() string {
	var b strings.Builder
	b.WriteString("| in | event | to | effects, in order |\n| --- | --- | --- | --- |\n")
	for _, inherited := range []bool{false, true} {
		for p := NotArrived; p <= Finished; p++ {
			for k := range Kind(kinds) {
				s := State{Phase: p, Inherited: inherited}
				if p != NotArrived && (p != Waiting || inherited) {
					s.Attempts = 1
				}
				if p == NotArrived && (inherited || k > ArriveInherited) {
					continue
				}
				next, f := Step(s, Event{Kind: k, Attempt: s.Attempts})
				if f.Len() == 0 || f.Has(LogUnexpected) {
					continue
				}
				name := p.String()
				if inherited {
					name += ", inherited"
				}
				fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", name, k, next.Phase, f)
			}
		}
	}
	return b.String()
}

func TestUnresponsiveAndStuckHosts(t *testing.T) {
	const now = time.Hour
	var w ResponseWatch
	assert.False(t, w.HostUnresponsive(0, now), "the client has sent nothing")
	w.LineSent(now)
	w.LineSent(now + 5*time.Second) // the oldest unanswered line counts
	assert.False(t, w.HostUnresponsive(0, now+UnresponsiveAfter-1))
	assert.True(t, w.HostUnresponsive(0, now+UnresponsiveAfter))
	assert.True(t, w.HostUnresponsive(now-1, now+UnresponsiveAfter), "input from before the line is no answer")
	assert.False(t, w.HostUnresponsive(now, now+UnresponsiveAfter), "the host has sent something since, on another connection")
	assert.False(t, w.Stuck(now+StuckAfter-1))
	assert.True(t, w.Stuck(now+StuckAfter))
	w.HostAnswered()
	assert.False(t, w.Stuck(now+time.Hour))
}

func TestShutdown(t *testing.T) {
	type step struct {
		after                time.Duration
		waiting, established int
		want                 Command
	}
	for name, c := range map[string]struct {
		pass  bool
		steps []step
	}{
		"all answered": {false, []step{{0, 0, 3, NoCommand}, {AcceptAfterSIGTERM - 1, 0, 3, NoCommand},
			{AcceptAfterSIGTERM, 1, 3, StopAccepting},
			{AcceptAfterSIGTERM, 1, 3, NoCommand}, {AcceptAfterSIGTERM + 1, 0, 3, CloseAll}, {AcceptAfterSIGTERM + 2, 0, 0, NoCommand}}},
		"deadline reached": {false, []step{{AcceptAfterSIGTERM, 1, 0, StopAccepting}, {MaxStay(time.Minute) - 1, 1, 0, NoCommand},
			{MaxStay(time.Minute), 1, 0, CloseAll}}},
		"pass-through": {true, []step{{AcceptAfterSIGTERM, 0, 2, StopAccepting}, {AcceptAfterSIGTERM, 0, 2, NoCommand},
			{time.Second, 0, 1, NoCommand}, {time.Second, 0, 0, CloseAll}}},
	} {
		d := Shutdown{PassThrough: c.pass, MaxStay: MaxStay(time.Minute)}
		for i, l := range c.steps {
			var got Command
			d, got = d.Step(l.after, l.waiting, l.established)
			assert.Equal(t, l.want, got, "%s, step %d", name, i)
		}
	}
	assert.Equal(t, 2600*time.Millisecond, MaxStay(2*time.Second))
	assert.Equal(t, 3600*time.Millisecond, MaxStay(time.Minute))
}
