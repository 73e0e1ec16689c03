// Package walk plays random runs of the running code in fleets too large to visit whole, with all rules checked.
package walk

import (
	"encoding/binary"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lichenhitch/balance"
	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/model"
	"lichenhitch/rehearsal/script"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // verdicts do not vary
	m.Run()
}

const (
	hosts   = 22
	clients = 40
	nodes   = 3
)

// settings are those of a fleet with probes, zones and all kinds of classes.
func settings(self int) balance.Settings {
	return balance.Settings{
		Self: self, Balancers: nodes, Zone: fmt.Sprint("z", self%2), MaxAttempts: 4, Tick: time.Millisecond,
		MaxRetryAfter: time.Second, Probes: true, ConnectTimeout: time.Second,
		Classes: []balance.Class{
			{Name: "safe", LatencyTarget: 300 * time.Millisecond, Deadline: 2 * time.Second, Effect: balance.Safe,
				MessageLatencyTarget: 100 * time.Millisecond},
			{Name: "unsafe", LatencyTarget: 300 * time.Millisecond, Deadline: 2 * time.Second, Effect: balance.Unsafe},
			{Name: "keyed", LatencyTarget: 300 * time.Millisecond, Deadline: 2 * time.Second, Effect: balance.Keyed,
				Group: balance.GroupZone, Window: 900 * time.Millisecond},
		},
		Safety: balance.Safety{DrainGrace: 2 * time.Second, AnswerSlack: 50 * time.Millisecond, ListRefreshInterval: 10 * time.Second,
			ColdCapacity: 0.3, WarmUp: 8 * time.Second, OverloadFactor: 2.5, OverloadWindow: time.Second},
	}
}

func world(self int, seed uint64) *script.World { return script.New(config(self, seed)) }

func config(self int, seed uint64) script.Config {
	return script.Config{Hosts: hosts, Settings: settings(self), Seed: seed, Wait: 2 * time.Second,
		Classes: []string{"safe", "unsafe", "keyed", "safe"}, Fleet: func(i int) balance.Listing {
			return balance.Listing{Server: balance.ServerID(fmt.Sprint("g", i+1)), Weight: 1, Zone: fmt.Sprint("z", i%2),
				Cell: i / 4}
		}}
}

// walk plays so many steps of one node. It returns what was broken, with all that led to it.
func walk(w *script.World, steps int, draw func(n int) int) error {
	var run []model.Step
	defer func() {
		if p := recover(); p != nil {
			panic(fmt.Sprintf("%v, after the steps %v", p, run))
		}
	}()
	do := func(s model.Step) error {
		run = append(run, s)
		if err := w.Do(s); err != nil {
			return fmt.Errorf("step %d: %w", len(run), err)
		}
		w.Done()
		w.Check()
		if b := w.Broken(); len(b) > 0 {
			return fmt.Errorf("broken after the steps %v: %v", run, b)
		}
		return nil
	}
	for range steps {
		if err := do(w.Next(clients, draw)); err != nil {
			return err
		}
	}
	// Nothing more comes: whoever waits must be answered, also the inherited ones, and then the node stops.
	for range 100 {
		if err := do(lifemodel.Code(script.Pass, 0, 0, 5)); err != nil {
			return err
		}
	}
	if w.Owed() {
		return fmt.Errorf("a query was never answered, after the steps %v", run)
	}
	if q, b := w.Kept(); q != w.Live() || b > w.Live() {
		return fmt.Errorf("%d queries and %d requests are kept, and %d live, after the steps %v", q, b, w.Live(), run)
	}
	return do(lifemodel.Code(lifemodel.StopNode, 0, 0, 1))
}

// TestRandomWalksOfALargeFleet walks three nodes, each with its own list, clients and chance.
func TestRandomWalksOfALargeFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		below := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		for self := range nodes {
			if err := walk(world(self, seed+uint64(self)), 150, below); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestWalksGetSomewhere makes sure that the walks come across what they are for.
func TestWalksGetSomewhere(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := world(0, seed)
		w.Tell(func(l string) {
			for _, what := range []string{"answered UP", "answered BUSY", "answered FAIL", "answered ERR", "answered BYE",
				"out: true", "out: false", "MOVE: true", "MOVE: false", "speaks of an attempt", "tell-restart", "tell-drain", "the limit of", "times out"} {
				if strings.Contains(l, what) {
					seen[what]++
				}
			}
		})
		if err := walk(w, 400, rng.IntN); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Log(seen)
	if len(seen) != 14 {
		t.Errorf("only %v was seen", seen)
	}
}

// forgetful is a balancer that forgets who is out by hand whenever the list changes.
type forgetful struct {
	*balance.Balancer
	out map[balance.ServerID]bool
}

func (f *forgetful) Handle(now time.Duration, ev balance.Event) []balance.Action {
	acts := slices.Clone(f.Balancer.Handle(now, ev))
	switch e := ev.(type) {
	case balance.Suspend:
		f.out[e.Server] = true
	case balance.Resume:
		delete(f.out, e.Server)
	case balance.ServerList:
		for _, server := range slices.Sorted(maps.Keys(f.out)) {
			acts = append(acts, f.Balancer.Handle(now, balance.Resume{Server: server})...)
		}
		clear(f.out)
	}
	return acts
}

// TestABanForgottenWhenTheListChangesIsFound plants that bug: the walks must come across it and the rules must see it.
func TestABanForgottenWhenTheListChangesIsFound(t *testing.T) {
	for seed := range uint64(20) {
		cfg := config(0, seed)
		cfg.Decider = &forgetful{balance.New(settings(0), seed), map[balance.ServerID]bool{}}
		cfg.Strict = true
		err := walk(script.New(cfg), 400, rand.New(rand.NewPCG(seed, 1)).IntN)
		if err != nil && strings.Contains(err.Error(), "out by hand") {
			return
		}
	}
	t.Error("the planted bug was not found in 20 walks")
}

// FuzzWalk reads a walk from bytes: eight of the balancer's seed, then one for each choice.
func FuzzWalk(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x00\x00\x00\x00\x01"))
	f.Add([]byte("\x00\x00\x00\x00\x00\x00\x00\x02\x00\x05\x0b\x00\x0b\x00\x05\x01\x06\x03"))
	f.Add([]byte("\x00\x00\x00\x00\x00\x00\x00\x03\x00\x00\x0a\x02\x05\x01\x01\x06\x03\x0c\x00\x01\x0c\x00\x02\x06\x03"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) < 8 || len(data) > 600 {
			return
		}
		w := world(0, binary.BigEndian.Uint64(data))
		rest := data[8:]
		draw := func(n int) int {
			if len(rest) == 0 {
				return 0
			}
			b := int(rest[0]) % n
			rest = rest[1:]
			return b
		}
		if err := walk(w, len(rest)/2, draw); err != nil {
			t.Fatal(err)
		}
	})
}
