package balance_test

import (
	"testing"
	"time"

	"lichenhitch/balance"
)

// Forty nodes start at the same time, as after a release, and discovery fails every call for 20 s. Each node makes only a
// few calls, the calls of all are spread over time, and no node waits longer than the settings allow. Time is virtual.
func TestManyNodesThatStartAtOnceSpreadTheirCallsToDiscovery(t *testing.T) {
	const nodes, interval, most = 40, 100 * ms, 20 * sec
	set := settings()
	set.Balancers, set.ListOnRequest = nodes, true
	callsPerInterval := map[time.Duration]int{} // calls per tenth of a second
	for node := range nodes {
		d := drive(t, set, uint64(node))
		type timer struct {
			at    time.Duration
			token uint64
		}
		var timers []timer
		calls, last := 0, d.now
		take := func(acts []balance.Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case balance.SetTimer:
					timers = append(timers, timer{d.now + a.After, a.Token})
				case balance.Subscribe:
					if d.now-last > set.Safety.ListRefreshInterval {
						t.Fatalf("node %d waited %v for its next call", node, d.now-last)
					}
					calls, last = calls+1, d.now
					callsPerInterval[(d.now-sec)/interval]++
				}
			}
		}
		take(d.do(balance.ServerList{Kind: balance.ListSaved, Entries: []balance.Listing{listing("a", "here", 0)}}))
		for len(timers) > 0 {
			next := 0
			for i := range timers {
				if timers[i].at < timers[next].at {
					next = i
				}
			}
			due := timers[next]
			timers = append(timers[:next], timers[next+1:]...)
			if d.now = due.at; d.now > sec+most {
				break
			}
			before := calls
			take(d.do(balance.TimerFired{Token: due.token}))
			if calls > before {
				take(d.do(balance.ServerList{Kind: balance.ListFailed}))
			}
		}
		if calls < 3 || calls > 10 {
			t.Errorf("node %d called %d times in %v", node, calls, most)
		}
	}
	worst, total := 0, 0
	for _, n := range callsPerInterval {
		worst, total = max(worst, n), total+n
	}
	t.Logf("%d calls of %d nodes in %v, %d at most in %v", total, nodes, most, worst, interval)
	if worst > nodes/2 {
		t.Errorf("%d of %d nodes called within %v", worst, nodes, interval)
	}
}
