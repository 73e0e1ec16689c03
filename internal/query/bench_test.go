package query

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"lichenhitch/balance"
)

// still is a world in which nothing is scheduled: it costs as little as can be, so that the core's own work shows.
type still struct {
	now time.Duration
	try Try
}

func (w *still) Now() time.Duration             { return w.now }
func (w *still) After(time.Duration, Due) Timer { return w }
func (w *still) Stop()                          {}
func (w *still) Pass([]byte)                    {}
func (w *still) Over() bool                     { return false }
func (w *still) Sent() bool                     { return true }
func (w *still) End(bool)                       {}
func (w *still) Attempt(t Try, _ balance.ServerID, _ time.Duration) Attempt {
	w.try = t
	return w
}
func (w *still) Probe(balance.ServerID) {}
func (w *still) Subscribe()             {}

// quiet is a client that keeps nothing.
type quiet struct{}

func (quiet) Up([]byte)              {}
func (quiet) Served([]byte)          {}
func (quiet) Reject(error)           {}
func (quiet) Pass([]byte)            {}
func (quiet) Throttle(time.Duration) {}
func (quiet) Fail()                  {}
func (quiet) Move()                  {}
func (quiet) End(bool)               {}

// BenchmarkQuery is the cost of one query in the core, from its arrival to the end of its connection: one attempt
// is refused as full, the next one stands. Counting is off, as without a site file, or on.
func BenchmarkQuery(b *testing.B) {
	for name, on := range map[string]bool{"off": false, "on": true} {
		b.Run(name, func(b *testing.B) { benchmarkQuery(b, on) })
	}
}

func benchmarkQuery(b *testing.B, counting bool) {
	w := &still{now: time.Hour}
	c := New(slog.New(slog.NewTextHandler(io.Discard, nil)), w, balance.Settings{MaxAttempts: 4, Tick: time.Millisecond,
		Classes: []balance.Class{{Name: "chat", LatencyTarget: 300 * time.Millisecond}}}, 1)
	c.Connect(w, w)
	c.Count(counting)
	var entries []balance.Listing
	for _, h := range []balance.ServerID{"a", "b", "c"} {
		entries = append(entries, balance.Listing{Server: h, Weight: 1})
	}
	c.List(balance.ListSaved, entries)
	arrival, up := balance.Arrival{Class: "chat"}, []byte("UP r\r\n")
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		w.now += 3 * time.Second
		c.Arrive(quiet{}, arrival, "", 2*time.Second)
		w.try.Ended(balance.Full, true, balance.Report{}, nil)
		w.try.Up(up)
		w.try.Lines(up)
		w.try.Ended(balance.OK, true, balance.Report{}, nil)
	}
	if c.Owed() != 0 || c.Standing() != 0 {
		b.Fatal("a query was left")
	}
}
