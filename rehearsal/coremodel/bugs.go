package coremodel

import (
	"fmt"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/query"
	"lichenhitch/rehearsal/lifemodel"
)

// InjectedBug is the name and the description of an injected bug. Bugs of the running code wrap the actual balancer or
// the actual rule of the request lifecycle; the code itself contains none.
type InjectedBug struct{ Name, About string }

// balancerBug is an injected bug that wraps the balancer.
type balancerBug struct {
	InjectedBug
	wrap func(query.Balancer) query.Balancer
}

// InjectedBugs returns the bugs that can be injected: those in balancerBugs, and those of package lifemodel that change
// the rule.
func InjectedBugs() []InjectedBug {
	var list []InjectedBug
	for _, p := range balancerBugs {
		list = append(list, p.InjectedBug)
	}
	for _, p := range lifemodel.InjectedBugs() {
		if lifemodel.BugIsInRule(p.Name) && !unreachable[p.Name] {
			list = append(list, InjectedBug(p))
		}
	}
	return list
}

// unreachable are bugs that the running code cannot show: its balancer answers before the deadline timer fires with an
// attempt pending. Only the model of package lifemodel, whose balancer may hold requests forever, shows them.
var unreachable = map[string]bool{"deadline-leaves-attempt": true}

// ConnectionBugs returns the bugs that the model of connections is meant to find.
func ConnectionBugs() []InjectedBug {
	list := []InjectedBug{
		{"watch-asleep", "the watch for unresponsive hosts never checks"},
		{"reply-unheard", "a line from the host does not count as a response"},
	}
	for _, p := range lifemodel.InjectedBugs() {
		switch p.Name {
		case "cut-without-move", "end-without-word", "end-told-twice":
			list = append(list, InjectedBug(p))
		}
	}
	return list
}

// injectBug puts the named bug into the configuration.
func (c *Config) injectBug() error {
	for _, p := range balancerBugs {
		if p.Name == c.Bug {
			c.WrapBalancer = p.wrap
			return nil
		}
	}
	for _, p := range ConnectionBugs()[:2] {
		if p.Name == c.Bug {
			return nil // package script implements these
		}
	}
	if !lifemodel.BugIsInRule(c.Bug) {
		return fmt.Errorf("no bug of this model is named %q; see rehearse model list", c.Bug)
	}
	c.Rule = lifemodel.RuleWithBug(c.Bug)
	return nil
}

// buggyBalancer changes the events that a balancer gets and the actions that it returns.
type buggyBalancer struct {
	inner query.Balancer
	in    func(balance.Event) []balance.Event
	out   func([]balance.Action) []balance.Action
}

// Handle implements query.Balancer.
func (d *buggyBalancer) Handle(now time.Duration, ev balance.Event) []balance.Action {
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

func filterEvents(f func(balance.Event) []balance.Event) func(query.Balancer) query.Balancer {
	return func(inner query.Balancer) query.Balancer { return &buggyBalancer{inner: inner, in: f} }
}

var balancerBugs = []balancerBug{
	{InjectedBug{"drain-unheard", "the balancer is never notified that a gateway drains"},
		filterEvents(func(ev balance.Event) []balance.Event {
			if l, ok := ev.(balance.ServerList); ok {
				for _, e := range l.Entries {
					if e.State == balance.Draining {
						return nil
					}
				}
			}
			return []balance.Event{ev}
		})},
	{InjectedBug{"full-taken-for-error", "the balancer takes a gateway's reset, like a refusal, as proof that nothing ran"},
		filterEvents(func(ev balance.Event) []balance.Event {
			if e, ok := ev.(balance.Ended); ok && e.Outcome == balance.Reset {
				e.Outcome = balance.Full
				ev = e
			}
			return []balance.Event{ev}
		})},
	{InjectedBug{"late-taken-for-unsent",
		"the balancer takes an attempt that was sent and has timed out for one that was not sent"},
		filterEvents(func(ev balance.Event) []balance.Event {
			if e, ok := ev.(balance.Ended); ok && e.Outcome == balance.TimedOut {
				e.Outcome = balance.Unreachable
				ev = e
			}
			return []balance.Event{ev}
		})},
	{InjectedBug{"departure-unheard", "the balancer is not notified that a client has left"},
		filterEvents(func(ev balance.Event) []balance.Event {
			if _, ok := ev.(balance.Departed); ok {
				return nil
			}
			return []balance.Event{ev}
		})},
	{InjectedBug{"answer-withheld", "the balancer's answers are lost"},
		func(inner query.Balancer) query.Balancer {
			return &buggyBalancer{inner: inner, out: func(acts []balance.Action) (rest []balance.Action) {
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
	{InjectedBug{"placed-twice", "each placement of the balancer is carried out twice"},
		func(inner query.Balancer) query.Balancer {
			return &buggyBalancer{inner: inner, out: func(acts []balance.Action) (rest []balance.Action) {
				for _, a := range acts {
					rest = append(rest, a)
					if p, ok := a.(balance.Place); ok {
						rest = append(rest, p)
					}
				}
				return rest
			}}
		}},
	{InjectedBug{"all-refused", "requests that the balancer fails are refused instead"},
		func(inner query.Balancer) query.Balancer {
			return &buggyBalancer{inner: inner, out: func(acts []balance.Action) (rest []balance.Action) {
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
