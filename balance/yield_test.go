package balance_test

import (
	"testing"

	"lichenhitch/balance"
)

// A class that brings twenty times the load of another for less worth took the last room of a fleet as readily as the
// other, and then all were refused. Where room is short it goes first; where there is room it is served alike.
func TestWhatYieldsLittleForItsLoadGoesFirst(t *testing.T) {
	for name, tc := range map[string]struct {
		told int // connections of each class
		low  float64
		want string
	}{
		"short of room":               {told: 10, low: 0.7, want: "refused"},
		"room":                        {told: 10, low: 0.5},
		"too little is told":          {told: 3, low: 0.7},
		"hosts do not tell the loads": {low: 0.7},
	} {
		t.Run(name, func(t *testing.T) {
			set := settings()
			set.Classes = []balance.Class{{Name: "light", LatencyTarget: sec, Value: 5}, {Name: "heavy", LatencyTarget: sec, Value: 2}}
			d := drive(t, set, 1)
			d.fleet(0.1, 0.9, 0.9)
			id := balance.RequestID(0)
			for range 10 {
				for _, c := range []struct {
					class string
					load  float64
				}{{"light", 10_000}, {"heavy", 200_000}} {
					id++
					d.now += sec
					d.report("a", 0.1+float64(id)/1000)
					d.arrive(id, c.class, 2*sec)
					d.do(balance.Established{Request: id})
					if int(id) <= 2*tc.told {
						d.do(balance.LoadChanged{Request: id, Load: c.load})
						d.do(balance.LoadChanged{Request: id, Load: 1000 * c.load}) // later on, and not counted
					}
				}
			}
			d.now += 2 * sec
			d.fleet(tc.low, 0.91, 0.91)
			if got := placed(d.arrive(id+1, "light", 2*sec)); got != "a" {
				t.Errorf("light: placed on %q, want a", got)
			}
			if got := answer(d.arrive(id+2, "heavy", 2*sec)); got != tc.want {
				t.Errorf("heavy: answer %q, want %q", got, tc.want)
			}
		})
	}
}
