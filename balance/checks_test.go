package balance_test

import (
	"fmt"
	"testing"

	"lichenhitch/balance"
)

// A node of a large fleet holds more connections than it sees arrivals. The checks of the hosts that hold them, once a
// second each, must not use up the probe budget of arrivals: when they did, 98 of 100 arrivals were placed by old reports
// from the fourth second on.
func TestServerChecksDoNotUseTheProbeBudgetOfArrivals(t *testing.T) {
	set := settings()
	set.Probes, set.Balancers, set.Prices.Probe = true, 300, 0.0019
	d := drive(t, set, 1)
	var entries []balance.Listing
	for i := range 60 {
		entries = append(entries, listing(fmt.Sprint("h", i), "here", i))
	}
	var timers []balance.Action
	take := func(acts []balance.Action) (probes int) {
		for _, a := range acts {
			switch a := a.(type) {
			case balance.SetTimer:
				timers = append(timers, a)
			case balance.Probe:
				probes++
				d.report(string(a.Server), 0.3)
			}
		}
		return probes
	}
	take(d.list(entries...))
	for i := range 20 {
		take(d.do(balance.Inherited{Server: entries[i].Server,
			Arrival: balance.Arrival{Request: balance.RequestID(100 + i), Class: "safe"}}))
	}
	checks := 0
	for range 20 { // ten seconds
		due := timers
		timers = nil
		checks += take(d.wait(sec/2, due))
	}
	if checks < 180 {
		t.Fatalf("%d checks of 20 hosts with connections in 10 s", checks)
	}
	if n := take(d.arrive(1, "safe", 2*sec)); n < 4 {
		t.Errorf("an arrival caused %d probes, want about five", n)
	}
}
