package main

import (
	"log/slog"
	"time"

	"golang.org/x/sys/unix"

	"lichenhitch/internal/backend"
	"lichenhitch/internal/clientconn"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/handover"
	"lichenhitch/internal/lifecycle"
	"lichenhitch/internal/query"
)

// This file hands established connections over from an old process to the new one that accepts clients at the same
// address.

// unknownSilenceLimit is how long a connection may stay without a line from its host that an earlier version handed over.
// Clients send a line every 2 s; with the 4 s of the earlier process it stays below the 7 s of the protocol's figures.
const unknownSilenceLimit = 2500 * time.Millisecond

// handoverBatch is how many connections are handed over at once, every stepInterval.
const handoverBatch = 16

// connSender sends connections to a successor. It does so on a goroutine of its own, since the other process may be
// slow.
type connSender struct {
	successor int // number of the process
	queue     chan handover.Passed
	failed    chan struct{} // closed when no more can be sent
	ended     chan struct{}
}

// handOverConns hands some connections over if this process has a successor.
func (n *node) handOverConns() {
	successor := 0
	if n.store != nil {
		successor = n.sharedState.Successor(n.processNumber)
	}
	if n.connSender != nil && n.connSender.successor != successor {
		close(n.connSender.queue)
		n.connSender = nil
	}
	if successor == 0 || n.core.Established() == 0 {
		return
	}
	if n.connSender == nil {
		n.connSender = &connSender{successor: successor, queue: make(chan handover.Passed, handoverBatch),
			failed: make(chan struct{}), ended: make(chan struct{})}
		go n.connSender.run(n.log, n.store)
	}
	select {
	case <-n.connSender.failed:
		return
	default:
	}
	n.core.HandOverOldest(handoverBatch, n.sendToSuccessor)
	n.publishOwnEntry()
}

// sendToSuccessor takes a connection out of the loop and queues it for the successor.
func (n *node) sendToSuccessor(conn query.EstablishedConn) bool {
	client, ok := conn.Client.(*clientconn.Conn)
	if !ok || len(n.connSender.queue) == cap(n.connSender.queue) || !client.Idle() || !backend.Idle(conn.Attempt) {
		return false
	}
	silence := handover.Silence(conn.Silence)
	passed := handover.Passed{ID: client.ID(), Arrival: conn.Arrival, Server: conn.Server, Silence: &silence}
	if passed.Host, passed.HostUnread, ok = backend.Detach(conn.Attempt); !ok {
		return false
	}
	if passed.Client, passed.ClientUnread, ok = client.Detach(); !ok {
		_ = unix.Close(passed.Host) // ends the connection to the host; Move notifies the client
		client.Move()
		return true
	}
	n.connSender.queue <- passed // never blocks: the queue was not full, and only this goroutine sends to it
	return true
}

func (s *connSender) run(log *slog.Logger, store *handover.Store) {
	defer close(s.ended)
	sender, err := store.Dial(s.successor)
	sent := 0
	for c := range s.queue {
		if err == nil {
			err = sender.Send(c)
		}
		if err == nil {
			sent++
		} else {
			sendMove(c.Client)
			select {
			case <-s.failed:
			default:
				log.Warn("connections cannot be handed over; they stay here", "error", err)
				close(s.failed)
			}
		}
		c.Close()
	}
	log.Info("connections were handed over", "count", sent)
	if sender != nil {
		sender.Close()
	}
}

// sendMove sends MOVE to a client, after which its connection is closed. Only whole lines have been forwarded to a detached client, so
// MOVE starts a line of its own.
func sendMove(client int) { _, _ = unix.Write(client, []byte("MOVE\r\n")) }

// finishHandover closes the receiver and waits until all connections that were taken out of the loop have been handed
// over.
func (n *node) finishHandover() {
	var sender *connSender
	n.loop.Call(func() {
		if sender, n.connSender = n.connSender, nil; sender != nil {
			close(sender.queue)
		}
		if n.receiver != nil {
			n.receiver.Close()
		}
	})
	if sender != nil {
		<-sender.ended
	}
}

// startReceiving prepares to take over the connections of an earlier process.
func (n *node) startReceiving() {
	var err error
	if n.receiver, err = n.store.Receive(n.adopt); err != nil {
		n.log.Warn("connections of an earlier process cannot be taken over", "error", err)
	}
}

// silenceOf returns how long nothing has come back on a connection that was handed over. An earlier version does not
// report it; it would have moved a client without an answer after lifecycle.StuckAfter, and a client whose host answers
// gets its next line within unknownSilenceLimit.
func silenceOf(passed handover.Passed) query.Silence {
	if passed.Silence == nil {
		return query.Silence{Unanswered: lifecycle.StuckAfter - unknownSilenceLimit, Host: time.Nanosecond}
	}
	return query.Silence(*passed.Silence)
}

// adopt adds both sides of a connection that was handed over to the loop, and then the request to the core.
func (n *node) adopt(passed handover.Passed) {
	var host *backend.Adopted
	var client *clientconn.Conn
	if err := n.loop.Adopt(passed.Host, passed.HostUnread, func(conn *evloop.Conn) evloop.Handler {
		host = n.connector.Adopt(conn)
		return host
	}); err != nil {
		n.log.Warn("a host connection from an earlier process cannot be taken over; its client is moved", "error", err)
		sendMove(passed.Client)
		_ = unix.Close(passed.Client)
		return
	}
	err := n.loop.Adopt(passed.Client, passed.ClientUnread, func(conn *evloop.Conn) evloop.Handler {
		client = n.acceptor.Adopt(conn, passed.ID, passed.Arrival.Class)
		return client
	})
	n.loop.Do(func() {
		if err != nil {
			host.End(false)
			return
		}
		request := n.core.Adopt(query.EstablishedConn{Client: client, Attempt: host, Arrival: passed.Arrival, Server: passed.Server,
			Silence: silenceOf(passed)}, host.Attach)
		client.Resume(request)
		host.Resume()
	})
}
