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

// every calls f with every state and event that can be told apart.
func every(f func(s State, e Event)) {
	for p := Coming; p <= Over; p++ {
		for _, inherited := range []bool{false, true} {
			for made := range uint16(3) {
				s := State{Phase: p, Inherited: inherited, Attempts: made}
				if s.Out() && made == 0 || p == Coming && (made > 0 || inherited) || inherited && p != Coming && made == 0 {
					continue // no such state is ever reached
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

// TestEveryStepKeepsTheBooks looks at each transition by itself. What follows from several of them is for the models.
func TestEveryStepKeepsTheBooks(t *testing.T) {
	every(func(s State, e Event) {
		next, f := Step(s, e)
		at := fmt.Sprintf("%+v %s/%d -> %+v: %s", s, e.Kind, e.Attempt, next, f)
		answers, told := 0, false
		for i := range f.Len() {
			if f.At(i).Answers() {
				answers++
			}
			tells := f.At(i) >= TellArrival && f.At(i) <= TellOver
			require.False(t, told && !tells, "the balancer is told before the rest has happened: %s", at)
			told = told || tells
		}
		switch {
		case s.Owed() && !next.Owed() && e.Kind != ClientGone:
			require.Equal(t, 1, answers, "the final answer: %s", at)
		default:
			require.Zero(t, answers, "an answer that is not owed: %s", at)
		}
		require.Equal(t, next.Owed() && !s.Owed(), f.Has(Guard), "the guard starts: %s", at)
		require.Equal(t, s.Owed() && !next.Owed() && e.Kind != Deadline, f.Has(Unguard), "the guard stops: %s", at)
		require.Equal(t, f.Has(Send), next.Phase == Trying && (s.Phase != Trying || next.Attempts != s.Attempts), at)
		if f.Has(Send) {
			require.False(t, s.Out(), "two attempts: %s", at)
			require.Equal(t, s.Attempts+1, next.Attempts, at)
		} else {
			require.Equal(t, s.Attempts+map[bool]uint16{true: 1}[s.Phase == Coming && e.Kind == Adopt], next.Attempts, at)
		}
		closes := f.Has(CloseAttempt) || f.Has(EndAttempt)
		itself := e.Kind == HostEnded || e.Kind == HostServed || e.Kind == PassOn
		require.Equal(t, s.Out() && !next.Out() && !itself, closes, "the attempt is closed: %s", at)
		require.Equal(t, s.Phase == Trying && next.Phase != Trying || s.Phase == Waiting && s.Inherited && next.Phase == Over,
			f.Has(Unwatch), "the timer stops: %s", at)
		heard := s.Out() && !next.Out() && (!s.Inherited || s.Phase == Up)
		require.Equal(t, heard, f.Has(TellEnded) || f.Has(TellOver), "the balancer hears of the end: %s", at)
		require.Equal(t, next.Phase == Over && s.Phase != Over, f.Has(Forget), at)
		if s.Phase == Over {
			require.Equal(t, s, next, "nothing leads on from over: %s", at)
		}
		if e.Kind.ofAttempt() && e.Attempt != s.Attempts {
			require.Equal(t, s, next, at)
			require.Zero(t, f.Len(), "a late word has no effect: %s", at)
		}
	})
}

// TestTheDesignPageTellsTheTable compares the page with the code. Write it anew with -update.
func TestTheDesignPageTellsTheTable(t *testing.T) {
	const page, begin, end = "../../docs/design/life.md", "<!-- table -->\n", "<!-- end of table -->\n"
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	before, rest, found := strings.Cut(string(text), begin)
	require.True(t, found, "the page has no table")
	_, after, found := strings.Cut(rest, end)
	require.True(t, found, "the table has no end")
	want := before + begin + table() + end + after
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(want), 0o644))
		return
	}
	assert.Equal(t, want, string(text), "run go test ./internal/lifecycle -update")
}

// table renders all transitions but those that change nothing.
func table() string {
	var b strings.Builder
	b.WriteString("| in | event | to | effects, in order |\n| --- | --- | --- | --- |\n")
	for _, inherited := range []bool{false, true} {
		for p := Coming; p <= Over; p++ {
			for k := range Kind(kinds) {
				s := State{Phase: p, Inherited: inherited}
				if p != Coming && (p != Waiting || inherited) {
					s.Attempts = 1
				}
				if p == Coming && (inherited || k > ArriveAt) {
					continue
				}
				next, f := Step(s, Event{Kind: k, Attempt: s.Attempts})
				if f.Len() == 0 || f.Has(Complain) {
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

func TestSilenceIsToldFromACalmLine(t *testing.T) {
	const now = time.Hour
	var w Watch
	assert.False(t, w.HostSilent(0, now), "nothing was asked")
	w.Ask(now)
	w.Ask(now + 5*time.Second) // the oldest line counts
	assert.False(t, w.HostSilent(0, now+SilentAfter-1))
	assert.True(t, w.HostSilent(0, now+SilentAfter))
	assert.True(t, w.HostSilent(now-1, now+SilentAfter), "what it said before the line proves nothing")
	assert.False(t, w.HostSilent(now, now+SilentAfter), "it has spoken since, on another connection")
	assert.False(t, w.Stuck(now+StuckAfter-1))
	assert.True(t, w.Stuck(now+StuckAfter))
	w.Hear()
	assert.False(t, w.Stuck(now+time.Hour))
}

func TestDeparture(t *testing.T) {
	type look struct {
		after          time.Duration
		owed, standing int
		want           Order
	}
	for name, c := range map[string]struct {
		pass  bool
		looks []look
	}{
		"all answered": {false, []look{{0, 0, 3, Stay}, {AcceptOn - 1, 0, 3, Stay}, {AcceptOn, 1, 3, CloseDoor},
			{AcceptOn, 1, 3, Stay}, {AcceptOn + 1, 0, 3, SendAway}, {AcceptOn + 2, 0, 0, Stay}}},
		"out of time": {false, []look{{AcceptOn, 1, 0, CloseDoor}, {StayWithin(time.Minute) - 1, 1, 0, Stay},
			{StayWithin(time.Minute), 1, 0, SendAway}}},
		"packets pass through": {true, []look{{AcceptOn, 0, 2, CloseDoor}, {AcceptOn, 0, 2, Stay},
			{time.Second, 0, 1, Stay}, {time.Second, 0, 0, SendAway}}},
	} {
		d := Departure{PassThrough: c.pass, Within: StayWithin(time.Minute)}
		for i, l := range c.looks {
			var got Order
			d, got = d.Step(l.after, l.owed, l.standing)
			assert.Equal(t, l.want, got, "%s, look %d", name, i)
		}
	}
	assert.Equal(t, 2600*time.Millisecond, StayWithin(2*time.Second))
	assert.Equal(t, 3600*time.Millisecond, StayWithin(time.Minute))
}
