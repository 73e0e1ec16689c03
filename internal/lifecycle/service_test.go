package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestService plays wishes and steps and compares what the node is to its clients, and what it is ordered, after each.
func TestService(t *testing.T) {
	const ms = time.Millisecond
	type at struct {
		now      time.Duration
		wish     string // "" for a step
		owed     int
		standing int
		serving  bool
		order    Order
		count    int
	}
	wishes := map[string]Wish{"drain": Drain, "activate": Activate, "depart": Depart}
	for name, c := range map[string]struct {
		pass  bool
		steps []at
	}{
		"clients are moved evenly, and all by the end": {steps: []at{
			{now: 1000 * ms, wish: "drain"},
			{now: 1000 * ms, standing: 300, order: Ease, count: 10},
			{now: 1050 * ms, standing: 290},
			{now: 1100 * ms, standing: 290, order: Ease, count: 10},
			{now: 2500 * ms, standing: 150, order: Ease, count: 10},
			{now: 3900 * ms, standing: 10, order: Ease, count: 10},
			{now: 4000 * ms, standing: 3, order: Ease, count: 3},
			{now: 9000 * ms, standing: 2, order: Ease, count: 2},
			{now: 9100 * ms},
		}},
		"a drain asked for twice goes on as it was, and one activate ends it": {steps: []at{
			{now: 1000 * ms, wish: "drain"},
			{now: 3500 * ms, wish: "drain"},
			{now: 3500 * ms, standing: 10, order: Ease, count: 2},
			{now: 3600 * ms, wish: "activate", serving: true},
			{now: 3700 * ms, standing: 8, serving: true},
			{now: 3800 * ms, wish: "activate", serving: true},
			{now: 9000 * ms, wish: "drain"},
			{now: 9000 * ms, standing: 60, order: Ease, count: 2},
		}},
		"packets that pass through are carried on": {pass: true, steps: []at{
			{now: 1000 * ms, wish: "drain"},
			{now: 9000 * ms, standing: 5},
			{now: 9000 * ms, wish: "activate", serving: true},
		}},
		"SIGTERM in a drain, which nothing takes back": {steps: []at{
			{now: 1000 * ms, wish: "drain"},
			{now: 2000 * ms, wish: "depart"},
			{now: 2100 * ms, standing: 19, order: Ease, count: 1},
			{now: 2200 * ms, wish: "activate"},
			{now: 2499 * ms, owed: 1},
			{now: 2500 * ms, owed: 1, order: CloseDoor},
			{now: 2600 * ms, wish: "depart"},
			{now: 2600 * ms, owed: 1},
			{now: 2700 * ms, order: SendAway},
			{now: 2800 * ms},
		}},
		"a process that is succeeded closes its door at once and stays until its clients are gone": {pass: true, steps: []at{
			{now: 1000 * ms, wish: "succeeded", serving: true},
			{now: 1001 * ms, owed: 1, serving: true, order: CloseDoor},
			{now: 1002 * ms, standing: 3, serving: true},
			{now: 2000 * ms, wish: "depart", serving: true},
			{now: 2010 * ms, serving: true},
			{now: 2499 * ms, standing: 3, serving: true},
			{now: 2500 * ms, standing: 3, serving: true},
			{now: 4600 * ms, standing: 3, serving: true, order: SendAway},
		}},
		"one whose successor dies opens its door again": {steps: []at{
			{now: 1000 * ms, wish: "succeeded", serving: true},
			{now: 1001 * ms, standing: 60, serving: true, order: CloseDoor},
			{now: 1021 * ms, standing: 60, serving: true, order: Ease, count: 3},
			{now: 1040 * ms, wish: "alone", serving: true},
			{now: 1041 * ms, standing: 57, serving: true, order: OpenDoor},
			{now: 1200 * ms, standing: 57, serving: true},
			{now: 5000 * ms, wish: "succeeded", serving: true},
			{now: 5001 * ms, standing: 30, serving: true, order: CloseDoor},
			{now: 5021 * ms, standing: 30, serving: true, order: Ease, count: 2},
		}},
		"one that leaves already does not open it again": {pass: true, steps: []at{
			{now: 1000 * ms, wish: "succeeded", serving: true},
			{now: 1001 * ms, owed: 1, serving: true, order: CloseDoor},
			{now: 1100 * ms, wish: "depart", serving: true},
			{now: 1200 * ms, wish: "alone"},
			{now: 1300 * ms, standing: 1},
			{now: 1700 * ms, order: SendAway},
		}},
		"a drain and a successor at once": {pass: true, steps: []at{
			{now: 1000 * ms, wish: "drain"},
			{now: 1500 * ms, wish: "succeeded"},
			{now: 1500 * ms, standing: 1, order: CloseDoor},
			{now: 1600 * ms, wish: "activate", serving: true},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := Service{PassThrough: c.pass, Within: StayWithin(2 * time.Second)}
			for _, a := range c.steps {
				var order Order
				var count int
				switch a.wish {
				case "":
					s, order, count = s.Step(a.now, a.owed, a.standing)
				case "succeeded", "alone":
					s = s.Succeed(a.wish == "succeeded", a.now)
				default:
					s = s.Ask(wishes[a.wish], a.now)
				}
				assert.Equal(t, a.order, order, "%+v", a)
				assert.Equal(t, a.count, count, "%+v", a)
				assert.Equal(t, a.serving, s.Serving(), "%+v", a)
			}
		})
	}
}

// A process that leaves ends once its clients have taken their last words, at the latest before it is killed.
func TestAProcessEndsOnceItsLastWordsWereTaken(t *testing.T) {
	const longest = 2 * time.Second
	killed := longest + 700*time.Millisecond // the earliest moment, by PROTOCOL's figures
	for name, c := range map[string]struct {
		gone      bool
		after     time.Duration
		finishing int
		want      bool
	}{
		"not before it has sent all away":    {after: AcceptOn},
		"all have taken their last words":    {gone: true, after: AcceptOn, want: true},
		"one has not":                        {gone: true, after: AcceptOn, finishing: 1},
		"one has not, to the last moment":    {gone: true, after: StayWithin(longest), finishing: 1},
		"one never does, and the kill nears": {gone: true, after: killed - 40*time.Millisecond, finishing: 1, want: true},
	} {
		s := Service{Within: StayWithin(longest)}.Ask(Depart, time.Hour)
		s.Departure.Gone = c.gone
		assert.Equal(t, c.want, s.Done(time.Hour+c.after, c.finishing), name)
	}
}
