package evloop

import (
	"errors"
	"net"
	"time"
)

// Listener accepts connections for the loop.
type Listener struct{ ln net.Listener }

// Listen accepts connections at addr until the listener is closed; accept gives each its handler. Accepting has
// one goroutine of its own, since enrolling waits for the loop.
func (l *Loop) Listen(addr string, accept func(*Link) Handler) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				_, err = l.client.EnrollContext(conn, &Link{loop: l, accept: accept})
			}
			if err != nil { // out of descriptors, most likely: free some, and go on
				l.log.Warn("accepting a connection failed", "error", err)
				l.Do(func() { l.shed() })
				time.Sleep(10 * time.Millisecond)
			}
		}
	}()
	return &Listener{ln}, nil
}

// Addr returns the address, with the port that was given where 0 was asked for.
func (n *Listener) Addr() string { return n.ln.Addr().String() }

// Close stops accepting. Connections that were accepted stay.
func (n *Listener) Close() { _ = n.ln.Close() }
