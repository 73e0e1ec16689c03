package coremodel

import (
	"fmt"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/query"
	"lichenhitch/rehearsal/lifemodel"
)

// Plant tells of a planted bug. Those of the running code wrap the real balancer or the real rule of lives; the code
// itself has none.
type Plant struct{ Name, About string }

type planted struct {
	Plant
	decider func(query.Balancer) query.Balancer
}

// Plants lists the bugs that can be planted: the deciders below, and those of the model of lives that change its rule.
func Plants() []Plant {
	var list []Plant
	for _, p := range deciders {
		list = append(list, p.Plant)
	}
	for _, p := range lifemodel.Plants() {
		if lifemodel.InRule(p.Name) && !unreached[p.Name] {
			list = append(list, Plant(p))
		}
	}
	return list
}

// unreached are bugs that the running code never gets to: its balancer answers before the guard fires with an attempt
// out, so that only the model of lives, whose balancer may hold for ever, shows them.
var unreached = map[string]bool{"deadline-leaves-attempt": true}

// ConnectionPlants lists the bugs that the model of connections is there for.
func ConnectionPlants() []Plant {
	list := []Plant{
		{"watch-asleep", "the watch over silence never looks"},
		{"reply-unheard", "a line of the host is not taken for a sign of life"},
	}
	for _, p := range lifemodel.Plants() {
		switch p.Name {
		case "cut-without-move", "end-without-word", "end-told-twice":
			list = append(list, Plant(p))
		}
	}
	return list
}

// plant sets the configuration up with its named bug.
func (c *Config) plant() error {
	for _, p := range deciders {
		if p.Name == c.Plant {
			c.Decider = p.decider
			return nil
		}
	}
	for _, p := range ConnectionPlants()[:2] {
		if p.Name == c.Plant {
			return nil // the world takes part in these
		}
	}
	if !lifemodel.InRule(c.Plant) {
		return fmt.Errorf("no bug of this model is named %q; see rehearse model list", c.Plant)
	}
	c.Rule = lifemodel.Rule(c.Plant)
	return nil
}

// decider changes what goes into a balancer, and what comes out.
type decider struct {
	inner query.Balancer
	in    func(balance.Event) []balance.Event
	out   func([]balance.Action) []balance.Action
}

// Handle implements query.Balancer.
func (d *decider) Handle(now time.Duration, ev balance.Event) []balance.Action {
	events := []balance.Event{ev}
	if d.in != nil {
		events = d.in(ev)
	}
	var acts []balance.Action
	for _, e := range events {
		acts = append(acts, d.inner.Handle(now, e)...)
	}
	if d.out != nil {
		acts = d.out(acts)
	}
	return acts
}

func hearing(f func(balance.Event) []balance.Event) func(query.Balancer) query.Balancer {
	return func(inner query.Balancer) query.Balancer { return &decider{inner: inner, in: f} }
}

var deciders = []planted{
	{Plant{"drain-unheard", "the balancer never hears that a gateway drains"},
		hearing(func(ev balance.Event) []balance.Event {
			if l, ok := ev.(balance.ServerList); ok {
				for _, e := range l.Entries {
					if e.State == balance.Draining {
						return nil
					}
				}
			}
			return []balance.Event{ev}
		})},
	{Plant{"full-taken-for-error", "the balancer takes a refusal of a gateway for proof that nothing ran, and a reset too"},
		hearing(func(ev balance.Event) []balance.Event {
			if e, ok := ev.(balance.Ended); ok && e.Outcome == balance.Reset {
				e.Outcome = balance.Full
				ev = e
			}
			return []balance.Event{ev}
		})},
	{Plant{"late-taken-for-unsent", "the balancer takes an attempt that was sent, and whose time is over, for one that was not"},
		hearing(func(ev balance.Event) []balance.Event {
			if e, ok := ev.(balance.Ended); ok && e.Outcome == balance.TimedOut {
				e.Outcome = balance.Unreachable
				ev = e
			}
			return []balance.Event{ev}
		})},
	{Plant{"departure-unheard", "the balancer does not hear that a client has gone"},
		hearing(func(ev balance.Event) []balance.Event {
			if _, ok := ev.(balance.Departed); ok {
				return nil
			}
			return []balance.Event{ev}
		})},
	{Plant{"answer-withheld", "the balancer's answers are lost"},
		func(inner query.Balancer) query.Balancer {
			return &decider{inner: inner, out: func(acts []balance.Action) (rest []balance.Action) {
				for _, a := range acts {
					switch a.(type) {
					case balance.Refuse, balance.Fail:
					default:
						rest = append(rest, a)
					}
				}
				return rest
			}}
		}},
	{Plant{"placed-twice", "the balancer's first placement is carried out twice"},
		func(inner query.Balancer) query.Balancer {
			return &decider{inner: inner, out: func(acts []balance.Action) (rest []balance.Action) {
				for _, a := range acts {
					rest = append(rest, a)
					if p, ok := a.(balance.Place); ok {
						rest = append(rest, p)
					}
				}
				return rest
			}}
		}},
	{Plant{"all-refused", "what the balancer fails is refused instead"},
		func(inner query.Balancer) query.Balancer {
			return &decider{inner: inner, out: func(acts []balance.Action) (rest []balance.Action) {
				for _, a := range acts {
					if f, ok := a.(balance.Fail); ok {
						a = balance.Refuse{Request: f.Request}
					}
					rest = append(rest, a)
				}
				return rest
			}}
		}},
}
