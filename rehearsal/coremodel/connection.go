package coremodel

import (
	"fmt"
	"time"

	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/model"
	"lichenhitch/rehearsal/script"
)

// The model of connections starts with clients that are already served, and explores what the running code does from
// there on: lines in both directions, unresponsive hosts, drains, moves, and both ends closing at the same time. Its
// clock advances in steps of half a second, up to a maximum.
const tick = 500 * time.Millisecond

// NewConnections returns the model of connections. Each client is served, the first on the first gateway, the second on
// the same one or on another. Lines is the number of lines that each client may send in one run, and a run ends after
// maxDuration.
func NewConnections(c Config, lines int, maxDuration time.Duration) (*Model, error) {
	if lines < 1 || maxDuration < tick {
		return nil, fmt.Errorf("lines: %d, in %v: at least one line and half a second are required", lines, maxDuration)
	}
	m, err := New(c)
	if err != nil {
		return nil, err
	}
	m.maxLines, m.maxDuration = lines, maxDuration
	return m, nil
}

// setUpConnections returns the steps after which all clients are served. With midFlow, the clients arrive in the middle
// of a flow.
func (m *Model) setUpConnections(seed uint64, midFlow bool) []model.Step {
	w := m.world(seed)
	var steps []model.Step
	take := func(o lifemodel.Op, c, g, arg int) {
		s := lifemodel.Code(o, c, g, arg)
		if err := w.Do(s); err != nil {
			panic("coremodel: " + err.Error())
		}
		steps = append(steps, s)
	}
	for c := range m.cfg.Clients {
		class := 0
		if midFlow {
			class = script.MidFlow
		}
		take(lifemodel.Ask, c, 0, class)
		_, _, _, g := w.State(c)
		take(lifemodel.Connect, c, g, 0)
		take(lifemodel.HostUp, c, g, 0)
	}
	return steps
}

// connectionChoices returns the steps that are possible next in the model of connections.
func (m *Model) connectionChoices(w *script.World, r *run) (list []model.Step) {
	add := func(o lifemodel.Op, c, g, arg int) { list = append(list, lifemodel.Code(o, c, g, arg)) }
	if w.Stopped() {
		return nil
	}
	live := false
	for c := range w.Clients() {
		_, view, conn, g := w.State(c)
		if view != lifemodel.Served || conn != lifemodel.RequestSent {
			continue
		}
		live = true
		if w.LinesSent(c) < m.maxLines {
			add(script.ClientLine, c, 0, 0)
		}
		if w.AwaitsLine(c) {
			add(script.HostLine, c, g, 0)
		}
		add(lifemodel.ClientLeaves, c, 0, 0)
		add(lifemodel.ClientFaults, c, 0, 0)
		add(lifemodel.HostStalls, c, g, 0)
		add(lifemodel.HostGarbles, c, g, 0)
		add(lifemodel.HostEnds, c, g, 0)
	}
	if !live {
		return nil
	}
	for _, pass := range []int{0, 1} {
		add(lifemodel.StopNode, 0, 0, pass<<1|1)
	}
	if w.Elapsed() < m.maxDuration {
		add(script.Pass, 0, 0, int(tick/script.PassUnit))
	}
	if r.notices < m.cfg.Notices {
		list = append(list, m.noticeChoices(w, r)...)
	}
	return list
}
