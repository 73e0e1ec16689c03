package script

import (
	"lichenhitch/balance"
	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/model"
)

// Next chooses a step that makes sense now, of all kinds, by numbers below a bound that draw gives: in fleets too large to
// visit whole. Clients come until there are so many.
func (w *World) Next(clients int, draw func(n int) int) model.Step {
	code := lifemodel.Code
	var live []int
	for c, q := range w.client {
		if q.link != nil || q.seen == lifemodel.Asking || w.Held(c) {
			live = append(live, c)
		}
	}
	switch kind := draw(32); {
	case kind < 4 && len(w.client) < clients:
		return w.askAny(draw)
	case kind < 12 && len(w.probes) > 0:
		if draw(12) == 0 {
			return code(AnswerProbe, 0, 0, ProbeLost+draw(2))
		}
		return code(AnswerProbe, 0, 0, draw(90))
	case kind < 13:
		return w.tellAny(draw(len(w.hosts)), draw)
	case kind < 14:
		return code(Pass, 0, 0, 1+draw(4))
	case kind < 16 || len(live) == 0:
		return code(Advance, 0, 0, 0)
	}
	return w.clientAny(live[draw(len(live))], draw)
}

func (w *World) askAny(draw func(n int) int) model.Step {
	n, class := len(w.client), draw(12)
	switch {
	case class == 0:
		return lifemodel.Code(lifemodel.Ask, n, draw(len(w.hosts)), int(lifemodel.Inherited))
	case class == 1:
		return lifemodel.Code(lifemodel.Ask, n, 0, MidFlow)
	}
	return lifemodel.Code(lifemodel.Ask, n, 0, class%3)
}

func (w *World) tellAny(g int, draw func(n int) int) model.Step {
	if draw(4) == 0 { // by hand, and not by discovery
		return lifemodel.Code([]lifemodel.Op{Suspend, Resume}[draw(2)], 0, g, 0)
	}
	ops := []lifemodel.Op{lifemodel.NotifyDrain, lifemodel.NotifyGone, lifemodel.NotifyRestart}
	switch w.hosts[g].told {
	case balance.Draining:
		ops = []lifemodel.Op{lifemodel.NotifyReady, lifemodel.NotifyGone, lifemodel.NotifyRestart}
	case balance.Gone:
		ops = []lifemodel.Op{lifemodel.NotifyRelisted}
	}
	return lifemodel.Code(ops[draw(len(ops))], 0, g, draw(2)*Whole)
}

// clientAny chooses a step about one client's query; where there is none, time passes.
func (w *World) clientAny(c int, draw func(n int) int) model.Step {
	q, l := w.client[c], w.client[c].link
	var ops []lifemodel.Op
	switch {
	case q.seen == lifemodel.Asking && draw(20) == 0, q.seen == lifemodel.Served && draw(8) == 0:
		ops = append(ops, lifemodel.ClientLeaves, lifemodel.ClientFaults)
	case w.Held(c) && draw(4) == 0:
		ops = append(ops, lifemodel.LateUp, lifemodel.LateEnd)
	case l == nil:
		return lifemodel.Code(Advance, 0, 0, 0)
	case !l.sent:
		ops = append(ops, lifemodel.Connect, lifemodel.Connect, lifemodel.Connect, lifemodel.ConnectFails)
	case l.up:
		ops = append(ops, Chat, Reply, Reply, Reply, Chat, lifemodel.HostEnds, lifemodel.HostGarbles, lifemodel.HostStalls)
	default:
		ops = append(ops, lifemodel.HostUp, lifemodel.HostUp, lifemodel.HostUp, lifemodel.HostServed, lifemodel.HostFull,
			lifemodel.HostError, lifemodel.HostEnds, lifemodel.HostGarbles)
	}
	g := 0
	if l != nil {
		g = w.hostOf(l.server)
	}
	return lifemodel.Code(ops[draw(len(ops))], c, g, 0)
}
