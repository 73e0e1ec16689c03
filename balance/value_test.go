package balance_test

import (
	"testing"

	"lichenhitch/balance"
)

// A class with twenty times the load of another for less value took the last room of a fleet as readily as the other, and
// then all clients were refused. Where room is short, this class is refused first; where there is room, both are served
// alike.
func TestAClassOfLowValuePerLoadIsRefusedFirst(t *testing.T) {
	for name, tc := range map[string]struct {
		reported    int // connections of each class with a reported load
		lowestRatio float64
		want        string
	}{
		"short of room":      {reported: 10, lowestRatio: 0.7, want: "refused"},
		"room":               {reported: 10, lowestRatio: 0.5},
		"too few reports":    {reported: 3, lowestRatio: 0.7},
		"loads not reported": {lowestRatio: 0.7},
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
					if int(id) <= 2*tc.reported {
						d.do(balance.LoadChanged{Request: id, Load: c.load})
						d.do(balance.LoadChanged{Request: id, Load: 1000 * c.load}) // a later report is not counted
					}
				}
			}
			d.now += 2 * sec
			d.fleet(tc.lowestRatio, 0.91, 0.91)
			if got := placed(d.arrive(id+1, "light", 2*sec)); got != "a" {
				t.Errorf("light: placed on %q, want a", got)
			}
			if got := answer(d.arrive(id+2, "heavy", 2*sec)); got != tc.want {
				t.Errorf("heavy: answer %q, want %q", got, tc.want)
			}
		})
	}
}
