package script

import (
	"lichenhitch/balance"
	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/model"
)

// RandomStep returns a random step of any kind that is possible now, for fleets that are too large to explore exhaustively.
// Draw returns a random number from 0 to n-1. Clients arrive until there are as many as the argument says.
func (w *World) RandomStep(clients int, draw func(n int) int) model.Step {
	code := lifemodel.Code
	var active []int
	for c, cl := range w.clients {
		if cl.conn != nil || cl.view == lifemodel.Asking || w.HasLateAttempt(c) {
			active = append(active, c)
		}
	}
	switch choice := draw(32); {
	case choice < 4 && len(w.clients) < clients:
		return w.randomRequest(draw)
	case choice < 12 && len(w.probes) > 0:
		if draw(12) == 0 {
			return code(AnswerProbe, 0, 0, ProbeLost+draw(2))
		}
		return code(AnswerProbe, 0, 0, draw(90))
	case choice < 13:
		return w.randomNotice(draw(len(w.hosts)), draw)
	case choice < 14:
		return code(Pass, 0, 0, 1+draw(4))
	case choice < 16 || len(active) == 0:
		return code(Advance, 0, 0, 0)
	}
	return w.randomClientStep(active[draw(len(active))], draw)
}

func (w *World) randomRequest(draw func(n int) int) model.Step {
	n, class := len(w.clients), draw(12)
	switch {
	case class == 0:
		return lifemodel.Code(lifemodel.Ask, n, draw(len(w.hosts)), int(lifemodel.Inherited))
	case class == 1:
		return lifemodel.Code(lifemodel.Ask, n, 0, MidFlow)
	}
	return lifemodel.Code(lifemodel.Ask, n, 0, class%3)
}

func (w *World) randomNotice(host int, draw func(n int) int) model.Step {
	if draw(4) == 0 { // by operators, not by discovery
		return lifemodel.Code([]lifemodel.Op{Suspend, Resume}[draw(2)], 0, host, 0)
	}
	ops := []lifemodel.Op{lifemodel.NotifyDrain, lifemodel.NotifyGone, lifemodel.NotifyRestart}
	switch w.hosts[host].listedState {
	case balance.Draining:
		ops = []lifemodel.Op{lifemodel.NotifyReady, lifemodel.NotifyGone, lifemodel.NotifyRestart}
	case balance.Gone:
		ops = []lifemodel.Op{lifemodel.NotifyRelisted}
	}
	return lifemodel.Code(ops[draw(len(ops))], 0, host, draw(2)*FullList)
}

// randomClientStep returns a random step of one client's request, or Advance if there is none.
func (w *World) randomClientStep(c int, draw func(n int) int) model.Step {
	cl, conn := w.clients[c], w.clients[c].conn
	var ops []lifemodel.Op
	switch {
	case cl.view == lifemodel.Asking && draw(20) == 0, cl.view == lifemodel.Served && draw(8) == 0:
		ops = append(ops, lifemodel.ClientLeaves, lifemodel.ClientFaults)
	case w.HasLateAttempt(c) && draw(4) == 0:
		ops = append(ops, lifemodel.LateUp, lifemodel.LateEnd)
	case conn == nil:
		return lifemodel.Code(Advance, 0, 0, 0)
	case !conn.sent:
		ops = append(ops, lifemodel.Connect, lifemodel.Connect, lifemodel.Connect, lifemodel.ConnectFails)
	case conn.established:
		ops = append(ops, ClientLine, HostLine, HostLine, HostLine, ClientLine, lifemodel.HostEnds, lifemodel.HostGarbles, lifemodel.HostStalls)
	default:
		ops = append(ops, lifemodel.HostUp, lifemodel.HostUp, lifemodel.HostUp, lifemodel.HostServed, lifemodel.HostFull,
			lifemodel.HostError, lifemodel.HostEnds, lifemodel.HostGarbles)
	}
	g := 0
	if conn != nil {
		g = w.hostIndex(conn.server)
	}
	return lifemodel.Code(ops[draw(len(ops))], c, g, 0)
}
