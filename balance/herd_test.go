package balance_test

import (
	"testing"
	"time"

	"lichenhitch/balance"
)

// Forty nodes start in one moment, as after a release, and discovery fails every call for 20 s. What is harmless from one
// must not hurt from forty: each asks a few times only, not all in one moment, and none waits for longer than the
// settings allow. Time is virtual.
func TestManyNodesThatStartAtOnceSpreadTheirCallsToDiscovery(t *testing.T) {
	const nodes, moment, most = 40, 100 * ms, 20 * sec
	set := settings()
	set.Balancers, set.ListOnRequest = nodes, true
	asked := map[time.Duration]int{} // calls by the tenth of a second
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
						t.Fatalf("node %d asked after %v only", node, d.now-last)
					}
					calls, last = calls+1, d.now
					asked[(d.now-sec)/moment]++
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
	for _, n := range asked {
		worst, total = max(worst, n), total+n
	}
	t.Logf("%d calls of %d nodes in %v, %d at most in %v", total, nodes, most, worst, moment)
	if worst > nodes/2 {
		t.Errorf("%d of %d nodes called within %v", worst, nodes, moment)
	}
}
