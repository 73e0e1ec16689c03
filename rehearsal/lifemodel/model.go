package lifemodel

import (
	"fmt"
	"time"

	"lichenhitch/internal/lifecycle"
)

// Model is the model of the request lifecycle. It implements model.Model and model.Coverer.
type Model struct {
	Gateways   int
	Clients    int
	Attempts   int  // allowed for each request
	NoSymmetry bool // disable symmetry reduction
	Unreduced  bool // keep track of the condition of gateways without connections; see Canonical
	bug        bug
	scenario   *Scenario
	enabledOps *[opCount]bool // the steps of a scenario; nil: all
	rule       func(lifecycle.State, lifecycle.Event) (lifecycle.State, lifecycle.Effects)
	shutdown   func(d lifecycle.Shutdown, after time.Duration, waiting, established int) (lifecycle.Shutdown, lifecycle.Command)
}

// New returns the model of a fleet, with an injected bug if one is named.
func New(gateways, clients, attempts int, bugName string) (*Model, error) {
	switch {
	case gateways < 1 || gateways > MaxGateways:
		return nil, fmt.Errorf("gateways: %d is not within 1 to %d", gateways, MaxGateways)
	case clients < 1 || clients > MaxClients:
		return nil, fmt.Errorf("clients: %d is not within 1 to %d", clients, MaxClients)
	case attempts < 1 || attempts > MaxAttempts:
		return nil, fmt.Errorf("attempts: %d is not within 1 to %d", attempts, MaxAttempts)
	}
	m := &Model{Gateways: gateways, Clients: clients, Attempts: attempts, rule: lifecycle.Step, shutdown: lifecycle.Shutdown.Step}
	if bugName == "" {
		return m, nil
	}
	for i, p := range bugSpecs {
		if p.name == bugName {
			m.bug = bug(i)
			if p.rule != nil {
				m.rule = p.rule
			}
			if p.shutdown != nil {
				m.shutdown = p.shutdown
			}
			return m, nil
		}
	}
	return nil, fmt.Errorf("no bug is named %q; see rehearse model list", bugName)
}

// Situations that a complete check reaches; see CoverageGoals.
const (
	coverServed = iota
	coverOtherAnswer
	coverLastAttempt
	coverDrainDuringAttempt
	coverDrainExpiredDialing
	coverWithdrawnAttempt
	coverRestartDuringConn
	coverRemovedDuringAttempt
	coverUnresponsiveEstablished
	coverTermWhileWaiting
	coverConnOutlivesNode
	coverInheritedRetry
	coverTriedGatewayBack
)

// CoverageGoals implements model.Coverer.
func (m *Model) CoverageGoals() []string {
	return []string{
		coverServed:                  "a client is served",
		coverOtherAnswer:             "a client is answered otherwise",
		coverLastAttempt:             "the last allowed attempt is pending",
		coverDrainDuringAttempt:      "a drain is reported of a gateway with an open connection on which a request was sent",
		coverDrainExpiredDialing:     "the deadline after a drain notice passes while a connection is being established",
		coverWithdrawnAttempt:        "a gateway may still answer a closed attempt while the request awaits its answer",
		coverRestartDuringConn:       "a gateway with an open connection has restarted, and discovery has not reported it yet",
		coverRemovedDuringAttempt:    "a gateway is off the list while an attempt is pending there",
		coverUnresponsiveEstablished: "a gateway with an established connection is unresponsive",
		coverTermWhileWaiting:        "the node is shutting down while a request awaits its answer",
		coverConnOutlivesNode:        "a connection outlives the node where packets pass through",
		coverInheritedRetry:          "an inherited connection pauses between two attempts",
		coverTriedGatewayBack:        "a gateway that was tried is listed with a new start while the request goes on",
	}
}

// Covered implements model.Coverer.
func (m *Model) Covered(s State) (b uint64) {
	for c := range m.Clients {
		q := &s.Clients[c]
		b |= bit[uint64](q.View == Served, coverServed) |
			bit[uint64](q.View == Finished, coverOtherAnswer) |
			bit[uint64](q.Lifecycle.Phase == lifecycle.Trying && int(q.Lifecycle.Attempts) == m.Attempts && q.Class != Inherited,
				coverLastAttempt) |
			bit[uint64](q.MayAnswerLate && q.Lifecycle.AwaitsAnswer(), coverWithdrawnAttempt) |
			bit[uint64](q.Lifecycle.AwaitsAnswer() && s.NodeState != Serving && s.NodeState != Stopped, coverTermWhileWaiting) |
			bit[uint64](q.Lifecycle.Phase == lifecycle.Established && s.NodeState == Stopped, coverConnOutlivesNode) |
			bit[uint64](q.Lifecycle.Phase == lifecycle.Waiting && q.Lifecycle.Inherited, coverInheritedRetry)
		if q.Conn == NoConn {
			continue
		}
		for g := range m.Gateways {
			gw := &s.Gateways[g]
			if !gw.HasConn[c] {
				continue
			}
			b |= bit[uint64](q.Conn == RequestSent && gw.ListState == Draining, coverDrainDuringAttempt) |
				bit[uint64](q.Conn == Dialing && gw.ListState.drainExpired(), coverDrainExpiredDialing) |
				bit[uint64](gw.Restarted, coverRestartDuringConn) |
				bit[uint64](q.Lifecycle.Phase == lifecycle.Trying && gw.ListState >= Gone, coverRemovedDuringAttempt) |
				bit[uint64](q.Lifecycle.Phase == lifecycle.Established && gw.Condition == Unresponsive, coverUnresponsiveEstablished) |
				bit[uint64](q.Class != Inherited && gw.ListState == Ready && !gw.Tried[c], coverTriedGatewayBack)
		}
	}
	return b
}
