package lifemodel

import (
	"fmt"
	"time"

	"lichenhitch/internal/lifecycle"
)

// Model is the model of lives. It implements model.Model and model.Coverer.
type Model struct {
	Gateways   int
	Clients    int
	Attempts   int  // that a query may have
	NoSymmetry bool // keep the states apart that symmetry would take for one
	Unreduced  bool // keep apart the conditions of gateways that no query touches
	plant      plant
	scenario   *Scenario
	only       *[ops]bool // the steps that a scenario has; nil: all
	rule       func(lifecycle.State, lifecycle.Event) (lifecycle.State, lifecycle.Effects)
	depart     func(d lifecycle.Shutdown, after time.Duration, owed, standing int) (lifecycle.Shutdown, lifecycle.Command)
}

// New returns the model for a fleet, with a planted bug if one is named.
func New(gateways, clients, attempts int, plantName string) (*Model, error) {
	switch {
	case gateways < 1 || gateways > MaxGateways:
		return nil, fmt.Errorf("gateways: %d is not within 1 to %d", gateways, MaxGateways)
	case clients < 1 || clients > MaxClients:
		return nil, fmt.Errorf("clients: %d is not within 1 to %d", clients, MaxClients)
	case attempts < 1 || attempts > MaxAttempts:
		return nil, fmt.Errorf("attempts: %d is not within 1 to %d", attempts, MaxAttempts)
	}
	m := &Model{Gateways: gateways, Clients: clients, Attempts: attempts, rule: lifecycle.Step, depart: lifecycle.Shutdown.Step}
	if plantName == "" {
		return m, nil
	}
	for i, p := range plants {
		if p.name == plantName {
			m.plant = plant(i)
			if p.rule != nil {
				m.rule = p.rule
			}
			if p.depart != nil {
				m.depart = p.depart
			}
			return m, nil
		}
	}
	return nil, fmt.Errorf("no bug is named %q; see rehearse model list", plantName)
}

// What a complete run comes across; see Sights.
const (
	sawUp = iota
	sawThrottled
	sawLastAttempt
	sawDrainOut
	sawPastDial
	sawHeld
	sawStaleOut
	sawGoneOut
	sawSilentUp
	sawLeavingOwed
	sawPassed
	sawInherited
	sawBackTried
)

// Sights implements model.Coverer.
func (m *Model) Sights() []string {
	return []string{
		sawUp:          "a client is served",
		sawThrottled:   "a client is answered otherwise",
		sawLastAttempt: "the last attempt is out",
		sawDrainOut:    "a drain is told while an attempt is out at the gateway",
		sawPastDial:    "the limit after a drain passes while a dial is under way",
		sawHeld:        "an attempt was withdrawn while its gateway may still speak of it",
		sawStaleOut:    "a gateway has started again with a connection of its old life",
		sawGoneOut:     "a gateway leaves the list while an attempt is out there",
		sawSilentUp:    "a gateway that holds a connection falls silent",
		sawLeavingOwed: "SIGTERM comes while a query waits",
		sawPassed:      "a connection outlives the node where packets pass through",
		sawInherited:   "an inherited connection pauses between two tries",
		sawBackTried:   "a gateway that was tried is back under its name while the query goes on",
	}
}

// Covered implements model.Coverer.
func (m *Model) Covered(s State) (b uint64) {
	for c := range m.Clients {
		q := &s.Clients[c]
		b |= bit[uint64](q.Seen == Served, sawUp) |
			bit[uint64](q.Seen == Finished, sawThrottled) |
			bit[uint64](q.Life.Phase == lifecycle.Trying && int(q.Life.Attempts) == m.Attempts && q.Class != Inherited,
				sawLastAttempt) |
			bit[uint64](q.Held && q.Life.AwaitsAnswer(), sawHeld) |
			bit[uint64](q.Life.AwaitsAnswer() && s.Stay != Serving && s.Stay != Stopped, sawLeavingOwed) |
			bit[uint64](q.Life.Phase == lifecycle.Established && s.Stay == Stopped, sawPassed) |
			bit[uint64](q.Life.Phase == lifecycle.Waiting && q.Life.Inherited, sawInherited)
		if q.Link == NoLink {
			continue
		}
		for g := range m.Gateways {
			gw := &s.Gateways[g]
			if !gw.Out[c] {
				continue
			}
			b |= bit[uint64](q.Link == Sent && gw.Told == Draining, sawDrainOut) |
				bit[uint64](q.Link == Dialing && gw.Told.past(), sawPastDial) |
				bit[uint64](gw.Stale, sawStaleOut) |
				bit[uint64](q.Life.Phase == lifecycle.Trying && gw.Told >= Gone, sawGoneOut) |
				bit[uint64](q.Life.Phase == lifecycle.Established && gw.Cond == Silent, sawSilentUp) |
				bit[uint64](q.Class != Inherited && gw.Told == Ready && !gw.Tried[c], sawBackTried)
		}
	}
	return b
}
