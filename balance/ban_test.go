package balance_test

import (
	"slices"
	"testing"
	"time"

	"lichenhitch/balance"
)

// probed and moved return the servers to probe and the requests to move in acts.
func probed(acts []balance.Action) (out []balance.ServerID) {
	for _, a := range acts {
		if p, ok := a.(balance.Probe); ok {
			out = append(out, p.Server)
		}
	}
	return out
}

func moved(acts []balance.Action) (out []balance.RequestID) {
	for _, a := range acts {
		if m, ok := a.(balance.Move); ok {
			out = append(out, m.Request)
		}
	}
	return out
}

// A host that an operator has suspended gets no new work, whatever the list says: that it is in service, that it was
// removed and added again, or that it has restarted.
func TestABanSurvivesListUpdates(t *testing.T) {
	d := drive(t, settings(), 1)
	d.fleet(0.3, 0.1)
	d.do(balance.Suspend{Server: "b"})
	started := listing("b", "here", 0)
	started.Started = 2 * sec
	gone := listing("b", "here", 0)
	gone.State = balance.Gone
	for i, update := range []func(){
		func() {},
		func() { d.list(listing("a", "here", 0), listing("b", "here", 0)) },
		func() { d.list(listing("a", "here", 0)) },
		func() { d.list(listing("a", "here", 0), listing("b", "here", 0)) },
		func() { d.do(balance.ServerList{Kind: balance.ListChanges, Entries: []balance.Listing{gone}}) },
		func() { d.do(balance.ServerList{Kind: balance.ListChanges, Entries: []balance.Listing{started}}) },
		func() { d.do(balance.Suspend{Server: "b"}) },
	} {
		update()
		d.now += 10 * ms
		got := placed(d.arrive(balance.RequestID(i+1), "safe", sec))
		d.do(balance.Established{Request: balance.RequestID(i + 1)})
		if got != "a" {
			t.Fatalf("after update %d the request was placed on %q", i, got)
		}
	}
	d.do(balance.Resume{Server: "b"}) // one call undoes both
	d.report("a", 0.7)
	d.report("b", 0)
	if got := placed(d.arrive(100, "safe", sec)); got != "b" {
		t.Fatalf("after its resume, the emptiest host got no request: placed on %q", got)
	}
}

// A suspended host is not probed; its clients are moved off gradually, all within the warm-up time. When it is resumed,
// it is probed at once and gets only as many connections as a host that has just started.
func TestASuspendedHostIsEmptiedAndResumedCold(t *testing.T) {
	set := settings()
	set.Probes = true
	d := drive(t, set, 1)
	d.fleet(0.3, 0.3)
	on := map[balance.RequestID]bool{}
	for id := balance.RequestID(1); id <= 12; id++ {
		acts := d.arrive(id, "safe", sec)
		for _, s := range probed(acts) {
			acts = append(acts, d.report(string(s), 0.3)...)
		}
		d.do(balance.Established{Request: id})
		if placed(acts) == "b" {
			on[id] = true
		}
	}
	if len(on) < 3 {
		t.Fatalf("%d connections at the host are too few for the test", len(on))
	}
	pending := d.do(balance.Suspend{Server: "b"})
	if got := probed(pending); len(got) != 0 {
		t.Fatalf("suspending a host caused probes of %v", got)
	}
	pending = d.all
	for range 25 {
		pending = d.wait(500*ms, pending)
		if slices.Contains(probed(pending), "b") {
			t.Fatal("a suspended host was probed")
		}
		for _, id := range moved(pending) {
			if !on[id] {
				t.Fatalf("request %d was moved, but is not at the host", id)
			}
			delete(on, id)
			d.end(id, 0, balance.Cancelled, true)
		}
	}
	if len(on) > 0 {
		t.Fatalf("%d connections are still at the host", len(on))
	}
	if got := probed(d.do(balance.Resume{Server: "b"})); !slices.Equal(got, []balance.ServerID{"b"}) {
		t.Fatalf("the resumed host was not probed at once: %v", got)
	}
	d.report("a", 0.3)
	d.report("b", 0)
	sent := 0
	for id := balance.RequestID(101); id <= 140; id++ {
		acts := d.arrive(id, "safe", sec)
		for _, s := range probed(acts) {
			acts = append(acts, d.report(string(s), map[balance.ServerID]float64{"a": 0.3}[s])...)
		}
		if placed(acts) == "b" {
			sent++
			d.do(balance.Established{Request: id})
		}
	}
	// 20 connections fill it in 8 s; the budget is half of 2.5 times 0.3 of that rate, over 1 s.
	if sent < 1 || sent > 2 {
		t.Fatalf("a resumed host got %d connections at once, want 1 or 2", sent)
	}
}

// A host for which the list announced a new start while it was suspended counts from that start. A resume of a host that
// is not suspended, or not listed, has no effect.
func TestResumeOfAHost(t *testing.T) {
	d := drive(t, settings(), 1)
	d.fleet(0.3, 0.3)
	if acts := d.do(balance.Resume{Server: "b"}); len(acts) > 0 {
		t.Fatalf("a resume of a host in use caused %v", acts)
	}
	if acts := d.do(balance.Resume{Server: "nobody"}); len(acts) > 0 {
		t.Fatalf("a resume of an unknown host caused %v", acts)
	}
	d.do(balance.Suspend{Server: "b"})
	b := listing("b", "here", 0)
	b.Started = d.now + sec
	d.now += 20 * sec
	d.list(listing("a", "here", 0), b)
	d.do(balance.Resume{Server: "b"})
	d.report("a", 0.6)
	d.report("b", 0)
	sent := 0
	for id := balance.RequestID(1); id <= 6; id++ {
		if placed(d.arrive(id, "safe", sec)) == "b" {
			sent++
			d.do(balance.Established{Request: id})
		}
	}
	if sent < 4 {
		t.Fatalf("a host that has warmed up got %d of 6 requests", sent)
	}
	// A drain that the list announces together with the resume stays in force.
	d.do(balance.Suspend{Server: "b"})
	b.State = balance.Draining
	d.do(balance.ServerList{Kind: balance.ListChanges, Entries: []balance.Listing{b}})
	d.do(balance.Resume{Server: "b"})
	if got := placed(d.arrive(200, "safe", time.Second)); got != "a" {
		t.Fatalf("request placed on %q, want a: b is draining", got)
	}
}
