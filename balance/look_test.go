package balance_test

import (
	"fmt"
	"testing"

	"lichenhitch/balance"
)

// A node of a large fleet holds more connections than it sees arrivals. Looking after the hosts that hold them, once a
// second each, must not use up the probes for what arrives: it did, and from the fourth second on 98 of 100 arrivals
// were placed by old reports.
func TestLookingAfterConnectionsLeavesArrivalsTheirProbes(t *testing.T) {
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
	looked := 0
	for range 20 { // ten seconds
		due := timers
		timers = nil
		looked += take(d.wait(sec/2, due))
	}
	if looked < 180 {
		t.Fatalf("%d probes in 10 s of 20 hosts with connections", looked)
	}
	if n := take(d.arrive(1, "safe", 2*sec)); n < 4 {
		t.Errorf("an arrival had %d hosts probed, want some five", n)
	}
}
