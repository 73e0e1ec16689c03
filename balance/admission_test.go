package balance_test

import (
	"slices"
	"testing"
	"time"

	"lichenhitch/balance"
)

// A node of a large fleet probes one or two of its hosts for each client that retries, and refuses the client if these
// are full. In a full fleet it was chance whether one of many clients found room: 85 of 297 nodes admitted none of
// fifteen clients or more for 4 s and more. The fifteenth is admitted if the last attempt was 3 s ago, on the host with
// the lowest ratio, and then the count starts again.
func TestANodeThatRejectsAllAdmitsOneNowAndThen(t *testing.T) {
	for name, tc := range map[string]struct {
		every    time.Duration
		total    int
		admitted []int // the arrivals that are admitted
	}{
		"four a second":      {250 * ms, 60, []int{15, 30, 45, 60}},
		"forty a second":     {25 * ms, 450, []int{81, 201, 321, 441}},
		"fourteen in 11 s":   {800 * ms, 14, nil},
		"eighty in 2 s":      {25 * ms, 80, nil},
		"a fifteenth, later": {800 * ms, 15, []int{15}},
	} {
		t.Run(name, func(t *testing.T) {
			set := settings()
			set.Balancers, set.MaxRetryAfter = 300, sec
			d := drive(t, set, 1)
			d.fleet(0.9, 0.85, 0.95)
			var admitted []int
			for i := 1; i <= tc.total; i++ {
				id := balance.RequestID(i)
				acts := d.arrive(id, "safe", 2*sec)
				if host := placed(acts); host != "" {
					admitted = append(admitted, i)
					if host != "a" {
						t.Errorf("arrival %d placed on %s, want the server with the lowest ratio", i, host)
					}
					d.do(balance.Established{Request: id})
				} else if answer(acts) != "refused" {
					t.Errorf("arrival %d was neither placed nor refused", i)
				}
				d.now += tc.every
				for j, host := range []string{"a", "b", "c"} {
					d.report(host, 0.85+float64(j)/20+float64(i%10)/1000)
				}
			}
			if !slices.Equal(admitted, tc.admitted) {
				t.Errorf("arrivals %v of %d were admitted, want %v", admitted, tc.total, tc.admitted)
			}
		})
	}
}
