package coremodel

import (
	"fmt"
	"time"

	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/model"
	"lichenhitch/rehearsal/script"
)

// The model of connections begins where clients are served, and lets the running code see to what follows: lines both
// ways, silence, drains, moves and both ends at once. Its clock goes in steps of half a second, up to an end.
const tick = 500 * time.Millisecond

// NewConnections returns the model of connections: each client is served, the first on the first gateway, the second on
// the same one or on another. Lines is how many each client may send in one run, which lasts for a time at most.
func NewConnections(c Config, lines int, lasts time.Duration) (*Model, error) {
	if lines < 1 || lasts < tick {
		return nil, fmt.Errorf("lines: %d, in %v: there must be at least one, and half a second", lines, lasts)
	}
	m, err := New(c)
	if err != nil {
		return nil, err
	}
	m.lines, m.horizon = lines, lasts
	return m, nil
}

// served returns the steps after which so many clients are served; mid says that they come mid-flow.
func (m *Model) served(seed uint64, mid bool) []model.Step {
	w := m.world(seed)
	var steps []model.Step
	do := func(o lifemodel.Op, c, g, arg int) {
		s := lifemodel.Code(o, c, g, arg)
		if err := w.Do(s); err != nil {
			panic("coremodel: " + err.Error())
		}
		steps = append(steps, s)
	}
	for c := range m.cfg.Clients {
		class := 0
		if mid {
			class = script.MidFlow
		}
		do(lifemodel.Ask, c, 0, class)
		_, _, _, g := w.State(c)
		do(lifemodel.Connect, c, g, 0)
		do(lifemodel.SayUp, c, g, 0)
	}
	return steps
}

// connections lists what may happen next in the model of connections.
func (m *Model) connections(w *script.World, r *run) (list []model.Step) {
	add := func(o lifemodel.Op, c, g, arg int) { list = append(list, lifemodel.Code(o, c, g, arg)) }
	if w.Stopped() {
		return nil
	}
	live := false
	for c := range w.Clients() {
		_, seen, stage, g := w.State(c)
		if seen != lifemodel.Served || stage != lifemodel.Sent {
			continue
		}
		live = true
		if w.Chats(c) < m.lines {
			add(script.Chat, c, 0, 0)
		}
		if w.Waits(c) {
			add(script.Reply, c, g, 0)
		}
		add(lifemodel.Leave, c, 0, 0)
		add(lifemodel.Interject, c, 0, 0)
		add(lifemodel.Clog, c, g, 0)
		add(lifemodel.Garble, c, g, 0)
		add(lifemodel.Break, c, g, 0)
	}
	if !live {
		return nil
	}
	for _, pass := range []int{0, 1} {
		add(lifemodel.SendOff, 0, 0, pass<<1|1)
	}
	if w.Elapsed() < m.horizon {
		add(script.Pass, 0, 0, int(tick/script.PassUnit))
	}
	if r.notices < m.cfg.Notices {
		list = append(list, m.noticesOf(w, r)...)
	}
	return list
}
