package query

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"lichenhitch/balance"
)

// idleEnv is an environment that schedules nothing, so that the benchmark measures little else than the core.
type idleEnv struct {
	now  time.Duration
	last AttemptRef
}

func (env *idleEnv) Now() time.Duration                    { return env.now }
func (env *idleEnv) After(time.Duration, TimerEvent) Timer { return env }
func (env *idleEnv) Stop()                                 {}
func (env *idleEnv) Forward([]byte)                        {}
func (env *idleEnv) EndReceived() bool                     { return false }
func (env *idleEnv) Sent() bool                            { return true }
func (env *idleEnv) End(bool)                              {}
func (env *idleEnv) Attempt(ref AttemptRef, _ balance.ServerID, _ time.Duration) Attempt {
	env.last = ref
	return env
}
func (env *idleEnv) Probe(balance.ServerID) {}
func (env *idleEnv) Subscribe()             {}

// discardingClient is a client that ignores everything.
type discardingClient struct{}

func (discardingClient) Established([]byte)     {}
func (discardingClient) Served([]byte)          {}
func (discardingClient) Reject(error)           {}
func (discardingClient) Forward([]byte)         {}
func (discardingClient) Throttle(time.Duration) {}
func (discardingClient) Fail()                  {}
func (discardingClient) Move()                  {}
func (discardingClient) End(bool)               {}

// BenchmarkQuery measures the cost of one request in the core, from its arrival to the end of its connection: the
// first attempt is refused with BUSY, the second one is established. Counting is off, as without a site file, or
// on.
func BenchmarkQuery(b *testing.B) {
	for name, on := range map[string]bool{"off": false, "on": true} {
		b.Run(name, func(b *testing.B) { benchmarkQuery(b, on) })
	}
}

func benchmarkQuery(b *testing.B, counting bool) {
	env := &idleEnv{now: time.Hour}
	c := New(slog.New(slog.NewTextHandler(io.Discard, nil)), env, balance.Settings{MaxAttempts: 4, Tick: time.Millisecond,
		Classes: []balance.Class{{Name: "chat", LatencyTarget: 300 * time.Millisecond}}}, 1)
	c.Connect(env, env)
	c.SetCounting(counting)
	var entries []balance.Listing
	for _, h := range []balance.ServerID{"a", "b", "c"} {
		entries = append(entries, balance.Listing{Server: h, Weight: 1})
	}
	c.List(balance.ListSaved, entries)
	arrival, up := balance.Arrival{Class: "chat"}, []byte("UP r\r\n")
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		env.now += 3 * time.Second
		c.Arrive(discardingClient{}, arrival, "", 2*time.Second)
		env.last.Ended(balance.Full, true, balance.Report{}, nil)
		env.last.Established(up)
		env.last.HostLines(up)
		env.last.Ended(balance.OK, true, balance.Report{}, nil)
	}
	if c.Waiting() != 0 || c.Established() != 0 {
		b.Fatal("a request was left")
	}
}
