// Package walk takes random walks with the running code, and checks all rules, in fleets that are too large to explore
// exhaustively.
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
	_ = flag.Set("rapid.seed", "1") // makes the results reproducible
	m.Run()
}

const (
	hosts   = 22
	clients = 40
	nodes   = 3
)

// settings returns the settings of a fleet with probes, zones and classes of all effects.
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
	return script.Config{Hosts: hosts, Settings: settings(self), Seed: seed, ClientTimeout: 2 * time.Second,
		Classes: []string{"safe", "unsafe", "keyed", "safe"}, Fleet: func(i int) balance.Listing {
			return balance.Listing{Server: balance.ServerID(fmt.Sprint("g", i+1)), Weight: 1, Zone: fmt.Sprint("z", i%2),
				Cell: i / 4}
		}}
}

// walk takes a number of random steps with one node. On a violation it returns an error with all steps that led to it.
func walk(w *script.World, steps int, draw func(n int) int) error {
	var taken []model.Step
	defer func() {
		if p := recover(); p != nil {
			panic(fmt.Sprintf("%v, after the steps %v", p, taken))
		}
	}()
	takeStep := func(s model.Step) error {
		taken = append(taken, s)
		if err := w.Do(s); err != nil {
			return fmt.Errorf("step %d: %w", len(taken), err)
		}
		w.TakenSteps()
		w.Check()
		if b := w.Violations(); len(b) > 0 {
			return fmt.Errorf("violations after the steps %v: %v", taken, b)
		}
		return nil
	}
	for range steps {
		if err := takeStep(w.RandomStep(clients, draw)); err != nil {
			return err
		}
	}
	// Without further events, all waiting clients must get their answers within 50 s, those of inherited connections
	// included. Then the node stops.
	for range 100 {
		if err := takeStep(lifemodel.Code(script.Pass, 0, 0, 5)); err != nil {
			return err
		}
	}
	if w.AnyWaiting() {
		return fmt.Errorf("a request was never answered, after the steps %v", taken)
	}
	if inCore, inBalancer := w.Retained(); inCore != w.LiveRequests() || inBalancer > w.LiveRequests() {
		return fmt.Errorf("the core holds %d requests and the balancer %d, and %d are live, after the steps %v", inCore, inBalancer,
			w.LiveRequests(), taken)
	}
	return takeStep(lifemodel.Code(lifemodel.StopNode, 0, 0, 1))
}

// TestRandomWalksOfALargeFleet takes random walks with three nodes, each with its own list, clients and random choices.
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

// TestWalksCoverAllEvents checks that the walks reach all kinds of events that they are meant to test.
func TestWalksCoverAllEvents(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := world(0, seed)
		w.OnEvent(func(l string) {
			for _, what := range []string{"answered UP", "answered BUSY", "answered FAIL", "answered ERR", "answered BYE",
				"out: true", "out: false", "MOVE: true", "MOVE: false", "speaks of an attempt", "tell-restart", "tell-drain",
				"the limit of", "times out"} {
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

// forgetfulBalancer is a balancer that forgets which hosts operators have taken out of service whenever the list changes.
type forgetfulBalancer struct {
	*balance.Balancer
	suspended map[balance.ServerID]bool
}

func (f *forgetfulBalancer) Handle(now time.Duration, ev balance.Event) []balance.Action {
	acts := slices.Clone(f.Balancer.Handle(now, ev))
	switch e := ev.(type) {
	case balance.Suspend:
		f.suspended[e.Server] = true
	case balance.Resume:
		delete(f.suspended, e.Server)
	case balance.ServerList:
		for _, server := range slices.Sorted(maps.Keys(f.suspended)) {
			acts = append(acts, f.Balancer.Handle(now, balance.Resume{Server: server})...)
		}
		clear(f.suspended)
	}
	return acts
}

// TestForgottenBanIsDetected injects forgetfulBalancer: the walks must reach its bug and the rules must report it.
func TestForgottenBanIsDetected(t *testing.T) {
	for seed := range uint64(20) {
		cfg := config(0, seed)
		cfg.Balancer = &forgetfulBalancer{balance.New(settings(0), seed), map[balance.ServerID]bool{}}
		cfg.ReadyOnly = true
		err := walk(script.New(cfg), 400, rand.New(rand.NewPCG(seed, 1)).IntN)
		if err != nil && strings.Contains(err.Error(), "out by hand") {
			return
		}
	}
	t.Error("the injected bug was not found in 20 walks")
}

// FuzzWalk decodes a walk from bytes: eight for the balancer's seed, then one for each choice.
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
