package province

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lichenhitch/internal/peer/peerpb"
)

// SendRaft implements control.Env.
func (n *node) SendRaft(seat string, q *peerpb.RaftRequest) {
	run := n.run
	n.send(seat, proto.Size(q), func(to *node) {
		r := to.core.HandleRaft(to.clock(), q)
		to.watch()
		to.send(n.name, proto.Size(r), func(n *node) {
			if n.run == run { // an answer goes to the process that asked
				n.core.HandleRaftReply(n.clock(), r)
			}
		}, nil)
	}, nil)
}

// SendRenew implements control.Env.
func (n *node) SendRenew(seat string, q *peerpb.RenewRequest) {
	run, asked := n.run, n.w.now
	n.send(seat, proto.Size(q), func(to *node) {
		to.core.HandleLeaseRequest(to.clock(), q, func(r *peerpb.RenewReply) {
			if r.Refused == "" {
				n.w.hands(to)
			}
			to.send(n.name, proto.Size(r), func(n *node) {
				if n.run != run {
					return
				}
				n.core.HandleLeaseResponse(n.clock(), r)
				if r.Refused == "" {
					n.later(binding+1, func() { n.asked = max(n.asked, asked) })
				}
			}, nil)
		})
	}, nil)
}

// SendReplay implements control.Env. Where nobody listens the call fails at once, as a link does; what is cut or lost is
// not answered.
func (n *node) SendReplay(seat string, call uint64, _ time.Duration, q *peerpb.ReplayRequest) {
	run := n.run
	answer := func(r *peerpb.ReplayReply) func(*node) {
		return func(n *node) {
			if n.run == run {
				n.core.HandleReplayReply(n.clock(), call, r)
			}
		}
	}
	n.send(seat, proto.Size(q), func(to *node) {
		to.core.Replay(to.clock(), q, func(r *peerpb.ReplayReply) {
			if r.Refused == "" && to.site != n.site.up {
				n.w.tally.Round++
			}
			if to.site.up == nil {
				n.w.look(to.site) // also what holds there for a moment only
			}
			to.send(n.name, proto.Size(r), answer(r), nil)
		})
	}, func() { n.later(time.Millisecond, func() { answer(nil)(n) }) })
}

// send brings something to another node, unless it is lost: now and then late, now and then twice. What comes late may come
// to a later process there, but not once the processes at both ends are gone. down is called where the other one does not
// run; nil: nothing is.
func (n *node) send(to string, bytes int, deliver func(*node), down func()) {
	w, m := n.w, n.w.byName[to]
	w.tally.Messages++
	w.tally.Bytes += bytes
	if m.site != n.site {
		w.tally.Between++
	}
	copies, from, at := 1, n.run, m.run
	if w.Faults && !w.calm {
		switch p := w.rng.Float64(); {
		case p < 0.02:
			copies = 0
		case p < 0.04:
			copies = 2
		}
	}
	for range copies {
		d := time.Millisecond + w.any(4*time.Millisecond)
		if w.Faults && !w.calm && w.rng.Float64() < 0.02 {
			d += w.any(2 * w.Lasts)
		}
		w.after(d, func() {
			switch {
			case n.run != from && m.run != at || n.cut[m.name] || w.apart[[2]*place{n.site, m.site}] > 0:
			case m.up:
				m.when(func() { deliver(m) })
			case down != nil:
				down()
			}
		})
	}
}

// part keeps what one site sends from another, and the other way round where both is set, until the function it returns is
// called.
func (w *World) part(p, q *place, both bool) (mend func()) {
	ways := [][2]*place{{p, q}}
	if both {
		ways = append(ways, [2]*place{q, p})
	}
	for _, way := range ways {
		w.apart[way]++
	}
	done := false
	return func() {
		if !done {
			done = true
			for _, way := range ways {
				w.apart[way]--
			}
		}
	}
}
