package main

import (
	"log/slog"

	"golang.org/x/sys/unix"

	"lichenhitch/balance"
	"lichenhitch/internal/backend"
	"lichenhitch/internal/clientconn"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/handover"
	"lichenhitch/internal/query"
)

// This file hands connections that stand from an old process to the new one that has taken the address over.

// passAtOnce is how many connections are handed over in one turn, every leaveLook.
const passAtOnce = 16

// passing is a process's way to its successor. One goroutine sends, since the other process may take its time.
type passing struct {
	to     int // the successor
	queue  chan handover.Passed
	failed chan struct{} // closed when no more can be sent
	ended  chan struct{}
}

// pass hands some connections over, if this process is succeeded.
func (n *node) pass() {
	successor := 0
	if n.store != nil {
		successor = n.shared.Successor(n.number)
	}
	if n.passing != nil && n.passing.to != successor {
		close(n.passing.queue)
		n.passing = nil
	}
	if successor == 0 || n.core.Established() == 0 {
		return
	}
	if n.passing == nil {
		n.passing = &passing{to: successor, queue: make(chan handover.Passed, passAtOnce),
			failed: make(chan struct{}), ended: make(chan struct{})}
		go n.passing.run(n.log, n.store)
	}
	select {
	case <-n.passing.failed:
		return
	default:
	}
	n.core.HandOverOldest(passAtOnce, n.hand)
	n.publish()
}

// hand takes a connection out of the loop for the successor.
func (n *node) hand(c query.Client, a query.Attempt, arrival balance.Arrival, server balance.ServerID) bool {
	client, ok := c.(*clientconn.Conn)
	if !ok || len(n.passing.queue) == cap(n.passing.queue) || !client.Idle() || !backend.Idle(a) {
		return false
	}
	p := handover.Passed{ID: client.ID(), Arrival: arrival, Server: server}
	if p.Host, p.HostUnread, ok = backend.Detach(a); !ok {
		return false
	}
	if p.Client, p.ClientUnread, ok = client.Detach(); !ok {
		_ = unix.Close(p.Host) // the client is told by the end of the host's side
		client.Move()
		return true
	}
	n.passing.queue <- p // there is room, and nobody else puts anything in
	return true
}

func (p *passing) run(log *slog.Logger, store *handover.Store) {
	defer close(p.ended)
	sender, err := store.Dial(p.to)
	sent := 0
	for c := range p.queue {
		if err == nil {
			err = sender.Send(c)
		}
		if err == nil {
			sent++
		} else {
			sendAway(c.Client)
			select {
			case <-p.failed:
			default:
				log.Warn("connections cannot be handed over; they stay here", "error", err)
				close(p.failed)
			}
		}
		c.Close()
	}
	log.Info("connections were handed over", "count", sent)
	if sender != nil {
		sender.Close()
	}
}

// sendAway tells a client that its connection is over, between two lines as all that was passed on was whole.
func sendAway(client int) { _, _ = unix.Write(client, []byte("MOVE\r\n")) }

// endPassing waits until all that was taken out of the loop has been handed over.
func (n *node) endPassing() {
	var last *passing
	n.loop.Call(func() {
		if last, n.passing = n.passing, nil; last != nil {
			close(last.queue)
		}
		if n.receiver != nil {
			n.receiver.Close()
		}
	})
	if last != nil {
		<-last.ended
	}
}

// receive makes ready for the connections of an earlier process.
func (n *node) receive() {
	var err error
	if n.receiver, err = n.store.Receive(n.adopt); err != nil {
		n.log.Warn("connections of an earlier process cannot be taken over", "error", err)
	}
}

// adopt brings a connection that was handed over into the loop, both of its sides, and then to the core.
func (n *node) adopt(p handover.Passed) {
	var host *backend.Adopted
	var client *clientconn.Conn
	if err := n.loop.Adopt(p.Host, p.HostUnread, func(link *evloop.Conn) evloop.Handler {
		host = n.connector.Adopt(link)
		return host
	}); err != nil {
		n.log.Warn("a host's connection was lost on the way from an earlier process", "error", err)
		sendAway(p.Client)
		_ = unix.Close(p.Client)
		return
	}
	err := n.loop.Adopt(p.Client, p.ClientUnread, func(link *evloop.Conn) evloop.Handler {
		client = n.acceptor.Adopt(link, p.ID)
		return client
	})
	n.loop.Do(func() {
		if err != nil {
			host.End(false)
			return
		}
		q := n.core.Adopt(client, p.Arrival, p.Server, host, host.Attach)
		client.Resume(q)
		host.Resume()
	})
}
