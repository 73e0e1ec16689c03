package balance_test

import (
	"testing"

	"lichenhitch/balance"
)

// A host that accepts everything and answers nothing kept its clients until they left on their own: a fifth of them was
// moved per second, after a second of waiting, and no probe was sent while MessageLatency events came. Now the first such
// event triggers a probe, and if that is not answered, all clients are moved, even in a nearly full fleet. A host that
// answers, with its load or with an error, is only slow.
func TestAnUnresponsiveHostIsEmptiedAtOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		probed balance.Probed
		all    bool
	}{
		"no answer":   {balance.Probed{Server: "a", Outcome: balance.TimedOut}, true},
		"unreachable": {balance.Probed{Server: "a", Outcome: balance.Unreachable}, true},
		"an error":    {balance.Probed{Server: "a", Outcome: balance.Errored}, false},
		"its report":  {balance.Probed{Server: "a", Report: balance.Report{Known: balance.HasRatio, Ratio: 0.97}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			set := settings()
			set.Probes = true
			d := drive(t, set, 1)
			d.fleet(0.1, 0.75, 0.75)
			for id := balance.RequestID(1); id <= 10; id++ {
				d.arrive(id, "safe", 2*sec) // to a
				d.report("a", 0.1)
				d.do(balance.Established{Request: id})
			}
			d.now += sec
			if got := probed(d.do(balance.MessageLatency{Request: 1, Took: 18 * sec})); len(got) != 1 || got[0] != "a" {
				t.Fatalf("probed %v after a MessageLatency event, want a", got)
			}
			d.now += 500 * ms
			if got := moved(d.do(tc.probed)); tc.all != (len(got) == 10) {
				t.Errorf("%d of 10 connections moved", len(got))
			}
		})
	}
}

// Without MessageLatency events, message latency is only as current as the last report: connections of a host that was full
// then and does not answer a probe are moved off gradually, not by all nodes at once. Whether the host is unresponsive is
// detected by the node itself on its connections.
func TestAFullHostWithATimedOutProbeIsNotEmptied(t *testing.T) {
	set := settings()
	set.Probes = true
	d := drive(t, set, 1)
	d.fleet(0.1, 0.3, 0.3, 0.3)
	for id := balance.RequestID(1); id <= 10; id++ {
		d.arrive(id, "safe", 2*sec) // to a
		d.report("a", 0.1)
		d.do(balance.Established{Request: id})
	}
	d.do(balance.Probed{Server: "a", Report: balance.Report{Known: balance.HasRatio | balance.HasLatency, Ratio: 0.85,
		Latency: 700}})
	d.now += 500 * ms
	if got := moved(d.do(balance.Probed{Server: "a", Outcome: balance.TimedOut})); len(got) != 0 {
		t.Errorf("%d of 10 connections moved after a single probe that timed out", len(got))
	}
}
