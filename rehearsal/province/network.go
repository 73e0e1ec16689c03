package province

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lichenhitch/internal/peer/peerpb"
)

// SendRaft implements control.Env.
func (n *node) SendRaft(to string, request *peerpb.RaftRequest) {
	runID := n.runID
	n.send(to, proto.Size(request), func(peer *node) {
		reply := peer.core.HandleRaft(peer.clock(), request)
		peer.countElections()
		peer.send(n.name, proto.Size(reply), func(n *node) {
			if n.runID == runID { // a reply is delivered only to the process that sent the request
				n.core.HandleRaftReply(n.clock(), reply)
			}
		}, nil)
	}, nil)
}

// SendRenew implements control.Env.
func (n *node) SendRenew(to string, request *peerpb.RenewRequest) {
	runID, requestedAt := n.runID, n.w.now
	n.send(to, proto.Size(request), func(peer *node) {
		peer.core.HandleLeaseRequest(peer.clock(), request, func(reply *peerpb.RenewReply) {
			if reply.Refused == "" {
				n.w.readSharedHosts(peer)
			}
			peer.send(n.name, proto.Size(reply), func(n *node) {
				if n.runID != runID {
					return
				}
				n.core.HandleLeaseResponse(n.clock(), reply)
				if reply.Refused == "" {
					n.later(maxApplyDelay+1, func() { n.leaseRequestedAt = max(n.leaseRequestedAt, requestedAt) })
				}
			}, nil)
		})
	}, nil)
}

// SendReplay implements control.Env. If the peer is down, the call fails at once, as a refused connection does. If the link
// is cut or the message lost, there is no answer.
func (n *node) SendReplay(to string, call uint64, _ time.Duration, request *peerpb.ReplayRequest) {
	runID := n.runID
	answer := func(reply *peerpb.ReplayReply) func(*node) {
		return func(n *node) {
			if n.runID == runID {
				n.core.HandleReplayReply(n.clock(), call, reply)
			}
		}
	}
	n.send(to, proto.Size(request), func(peer *node) {
		peer.core.Replay(peer.clock(), request, func(reply *peerpb.ReplayReply) {
			if reply.Refused == "" && peer.site != n.site.parent {
				n.w.tally.BypassReplies++
			}
			if peer.site.parent == nil {
				n.w.readSite(peer.site) // reads also values that are current only briefly
			}
			peer.send(n.name, proto.Size(reply), answer(reply), nil)
		})
	}, func() { n.later(time.Millisecond, func() { answer(nil)(n) }) })
}

// send delivers a message to another node. With faults, a message may be lost, late or duplicated. A late one may reach a
// later process of the receiver, but is dropped once the processes at both ends have ended. If the receiver is down, refused
// is called, unless it is nil.
func (n *node) send(to string, bytes int, deliver func(*node), refused func()) {
	w, receiver := n.w, n.w.byName[to]
	w.tally.Messages++
	w.tally.Bytes += bytes
	if receiver.site != n.site {
		w.tally.SiteMessages++
	}
	copies, senderRunID, receiverRunID := 1, n.runID, receiver.runID
	if w.Faults && !w.quiet {
		switch chance := w.rng.Float64(); {
		case chance < 0.02:
			copies = 0
		case chance < 0.04:
			copies = 2
		}
	}
	for range copies {
		delay := time.Millisecond + w.randomUpTo(4*time.Millisecond)
		if w.Faults && !w.quiet && w.rng.Float64() < 0.02 {
			delay += w.randomUpTo(2 * w.LeaseDuration)
		}
		w.after(delay, func() {
			switch {
			case n.runID != senderRunID && receiver.runID != receiverRunID || n.cutTo[receiver.name] || w.partitions[[2]*siteState{n.site, receiver.site}] > 0:
			case receiver.up:
				receiver.runOrDefer(func() { deliver(receiver) })
			case refused != nil:
				refused()
			}
		})
	}
}

// partition blocks messages from one site to another, and the other way round if both is set, until heal is called.
func (w *World) partition(from, to *siteState, both bool) (heal func()) {
	directions := [][2]*siteState{{from, to}}
	if both {
		directions = append(directions, [2]*siteState{to, from})
	}
	for _, direction := range directions {
		w.partitions[direction]++
	}
	healed := false
	return func() {
		if !healed {
			healed = true
			for _, direction := range directions {
				w.partitions[direction]--
			}
		}
	}
}
