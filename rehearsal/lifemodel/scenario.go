package lifemodel

import "fmt"

// Scenario is a hard case on its own: the model restricted to the steps that occur in it, in every order.
type Scenario struct {
	Name, About string
	ops         []Op
	goals       []int // coverage goals that it must reach, as otherwise it shows nothing
}

// commonOps are the steps of every scenario: a request arrives, is placed and answered.
var commonOps = []Op{Ask, Place, Refuse, GiveUp, Connect, DeadlineFires}

var scenarios = []Scenario{
	{"drain-crossing-time-out", "a drain notice arrives between the sending of an attempt and its time-out",
		[]Op{NotifyDrain, DrainExpires, AttemptTimeout, HostUp},
		[]int{coverDrainDuringAttempt, coverDrainExpiredDialing, coverWithdrawnAttempt}},
	{"silence-crossing-reconnect", "a gateway stops responding, restarts and is connected to again",
		[]Op{HostUp, LoseContact, RegainContact, Crash, Restart, NotifyRestart, HostEnds, Move, AttemptTimeout,
			LateUp, LateEnd},
		[]int{coverUnresponsiveEstablished, coverRestartDuringConn, coverTriedGatewayBack}},
	{"up-with-time-out", "the gateway's UP arrives at the same time as the attempt's time-out",
		[]Op{HostUp, AttemptTimeout, LateUp, LateEnd}, []int{coverServed, coverWithdrawnAttempt}},
	{"up-with-close", "the gateway's UP arrives at the same time as the client's close",
		[]Op{HostUp, ClientLeaves, ClientFaults, LateUp, LateEnd}, []int{coverServed}},
	{"up-with-sigterm", "the gateway's UP arrives at the same time as SIGTERM and the end of the node's shutdown",
		[]Op{HostUp, Terminate, StopAccepting, StopNode}, []int{coverServed, coverTermWhileWaiting, coverConnOutlivesNode}},
	{"gone-and-back", "discovery removes a gateway and lists it again under the same name with a new start",
		[]Op{HostUp, HostFull, HostError, HostEnds, AttemptTimeout, Crash, Restart, NotifyGone, NotifyRelisted, DrainExpires,
			LateUp},
		[]int{coverRemovedDuringAttempt, coverRestartDuringConn, coverTriedGatewayBack}},
	{"move-crossing-bye", "MOVE crosses the gateway's BYE",
		[]Op{HostUp, Move, HostEnds, LateEnd, ClientLeaves}, []int{coverServed}},
	{"late-answer", "an attempt that was closed is answered late, while the next one is pending",
		[]Op{HostUp, HostFull, AttemptTimeout, LateUp, LateEnd}, []int{coverWithdrawnAttempt, coverLastAttempt}},
}

// Scenarios returns the scenarios.
func Scenarios() []Scenario { return scenarios }

// RestrictTo restricts the model to a scenario.
func (m *Model) RestrictTo(name string) error {
	for i := range scenarios {
		if scenarios[i].Name != name {
			continue
		}
		m.scenario = &scenarios[i]
		m.enabledOps = &[opCount]bool{}
		for _, list := range [][]Op{commonOps, m.scenario.ops} {
			for _, o := range list {
				m.enabledOps[o] = true
			}
		}
		return nil
	}
	return fmt.Errorf("no scenario is named %q; see rehearse model list", name)
}

// Expected returns the coverage goals that a complete check must reach, as bits: those of the scenario, or all.
func (m *Model) Expected() (b uint64) {
	if m.scenario == nil {
		return 1<<len(m.CoverageGoals()) - 1
	}
	for _, s := range m.scenario.goals {
		b |= 1 << s
	}
	return b
}
