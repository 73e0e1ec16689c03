package lifemodel

import "fmt"

// Scenario is a hard case by itself: the model with only the steps that take part in it, in every order.
type Scenario struct {
	Name, About string
	steps       []Op
	sights      []int // what it must come across, or it shows nothing
}

// common are the steps that every scenario has: a query comes, is placed and answered.
var common = []Op{Ask, Place, Refuse, GiveUp, Connect, Due}

var scenarios = []Scenario{
	{"drain-crossing-time-out", "a drain notice comes between an attempt's send and its time-out",
		[]Op{TellDrain, Limit, Overdue, SayUp}, []int{sawDrainOut, sawPastDial, sawHeld}},
	{"silence-crossing-reconnect", "a gateway falls silent, starts again and is reached anew",
		[]Op{SayUp, FallSilent, Heal, Die, Return, TellRestart, Break, MoveAway, Overdue, LateUp, LateEnd},
		[]int{sawSilentUp, sawStaleOut, sawBackTried}},
	{"up-with-time-out", "the gateway's UP comes in the same turn as the attempt's time-out",
		[]Op{SayUp, Overdue, LateUp, LateEnd}, []int{sawUp, sawHeld}},
	{"up-with-close", "the gateway's UP comes in the same turn as the client's close",
		[]Op{SayUp, Leave, Interject, LateUp, LateEnd}, []int{sawUp}},
	{"up-with-sigterm", "the gateway's UP comes in the same turn as SIGTERM and the node's last moment",
		[]Op{SayUp, Term, ShutDoor, SendOff}, []int{sawUp, sawLeavingOwed, sawPassed}},
	{"gone-and-back", "discovery takes a gateway away and brings it back under its name with a new start",
		[]Op{SayUp, SayFull, SayError, Break, Overdue, Die, Return, TellGone, TellBack, Limit, LateUp},
		[]int{sawGoneOut, sawStaleOut, sawBackTried}},
	{"move-crossing-bye", "MOVE crosses the gateway's BYE",
		[]Op{SayUp, MoveAway, Break, LateEnd, Leave}, []int{sawUp}},
	{"late-answer", "an attempt that was withdrawn is answered after all, while the next one is out",
		[]Op{SayUp, SayFull, Overdue, LateUp, LateEnd}, []int{sawHeld, sawLastAttempt}},
}

// Scenarios lists the scenarios.
func Scenarios() []Scenario { return scenarios }

// Only restricts the model to a scenario.
func (m *Model) Only(name string) error {
	for i := range scenarios {
		if scenarios[i].Name != name {
			continue
		}
		m.scenario = &scenarios[i]
		m.only = &[ops]bool{}
		for _, list := range [][]Op{common, m.scenario.steps} {
			for _, o := range list {
				m.only[o] = true
			}
		}
		return nil
	}
	return fmt.Errorf("no scenario is named %q; see rehearse model list", name)
}

// Expected returns the sights that a complete run must come across, as bits: those of the scenario, or all.
func (m *Model) Expected() (b uint64) {
	if m.scenario == nil {
		return 1<<len(m.Sights()) - 1
	}
	for _, s := range m.scenario.sights {
		b |= 1 << s
	}
	return b
}
