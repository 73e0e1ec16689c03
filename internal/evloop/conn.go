package evloop

import (
	"container/list"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	readSize = 1 << 16
	// maxIdleBuffer is the largest input buffer that a connection keeps while the buffer is empty.
	maxIdleBuffer = 4 << 10
	// readUnreadMax limits how much readUnread reads from a connection that is about to be closed.
	readUnreadMax = 1 << 20
)

// Handler receives the callbacks of a connection.
type Handler interface {
	// Opened is called when the connection is established.
	Opened()
	// Received is called when there are new bytes to Peek at.
	Received()
	// Closed is the last call: the peer closed the connection (io.EOF), or it failed, or it was never established. It is
	// not called for a connection that its handler closes.
	Closed(err error)
}

// Conn is a connection on the loop, from its dial or its accept on.
type Conn struct {
	loop        *Loop
	conn        gnet.Conn // nil until the connection is established, after it ended while paused, and while draining
	handler     Handler
	accept      func(*Conn) Handler // set for accepted connections
	dial        *pendingDial        // set while the connection is being established
	inbuf       []byte              // received bytes; those before consumed were discarded by the handler
	consumed    int
	closed      bool
	noCallbacks bool          // closed by its handler, which must not be called back any more
	evictable   *list.Element // position in Loop.evictable
	linger      lingerState
	paused      bool  // adopted, and not resumed yet; input is kept until then
	pausedErr   error // why the connection ended while paused; conn is nil then. nil: it has not ended
	// evictionMessage returns what is sent if the connection is evicted. It may be nil.
	evictionMessage func() []byte
	delivering      bool // closed, while its handler reads the input that arrived before
}

func (k *Conn) onOpen(c gnet.Conn) gnet.Action {
	if k.closed {
		return gnet.Close // closed while it was being enrolled
	}
	k.conn = c
	if k.dial != nil {
		k.dial.timer.Stop()
		k.dial = nil
	}
	if k.accept != nil {
		k.loop.conns++
		k.handler = k.accept(k)
		k.loop.enforceLimit()
		if k.closed {
			return gnet.None
		}
	}
	k.handler.Opened()
	return gnet.None
}

func (k *Conn) onTraffic(c gnet.Conn) {
	data, _ := c.Next(-1) // all of it: gnet's own inbound buffer stays empty
	if k.isLingering() {
		k.discardLingering(len(data))
		return
	}
	if k.closed {
		return
	}
	if k.inbuf = append(k.inbuf, data...); !k.paused {
		k.receive()
	}
}

// receive calls the handler for new input and compacts the input buffer.
func (k *Conn) receive() {
	k.handler.Received()
	switch {
	case k.closed || k.consumed < len(k.inbuf) && k.consumed == 0:
	case k.consumed == len(k.inbuf):
		k.consumed = 0
		if k.inbuf = k.inbuf[:0]; cap(k.inbuf) > maxIdleBuffer {
			k.inbuf = nil
		}
	default:
		k.inbuf = k.inbuf[:copy(k.inbuf, k.inbuf[k.consumed:])]
		k.consumed = 0
	}
}

// Resume starts the callbacks of an adopted connection, with the input and the close that have arrived since Adopt.
func (k *Conn) Resume() {
	if !k.paused {
		return
	}
	k.paused = false
	if len(k.inbuf) > 0 && !k.closed {
		k.receive()
	}
	if k.pausedErr != nil && !k.closed {
		k.finishClose(k.pausedErr)
	}
}

// Peek returns the bytes that were received and not yet discarded. They are valid until the callback returns.
func (k *Conn) Peek() []byte {
	if k.closed && !k.delivering {
		return nil
	}
	return k.inbuf[k.consumed:]
}

// Discard marks n bytes as consumed.
func (k *Conn) Discard(n int) {
	if !k.closed || k.delivering {
		k.consumed += n
	}
}

// Write sends data, and queues what the peer does not take at once. It may end the connection with ErrNotReading, in
// which case Closed is called.
func (k *Conn) Write(data []byte) {
	if k.closed || k.isLingering() || k.conn == nil || len(data) == 0 {
		return
	}
	if _, err := k.conn.Write(data); err != nil {
		return // gnet has closed the connection
	}
	if k.conn.OutboundBuffered() > k.loop.limits.Queued {
		k.fail(ErrNotReading)
	}
}

// Detach takes the connection out of the loop without ending it. It returns a duplicate descriptor, which the caller owns,
// and the bytes that were received and not discarded. The handler is not called back any more. Detach returns false if the
// connection is not Idle.
func (k *Conn) Detach() (fd int, unread []byte, ok bool) {
	if !k.Idle() {
		return -1, nil, false
	}
	fd, err := unix.FcntlInt(uintptr(k.conn.Fd()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, nil, false
	}
	unread = append(unread, k.Peek()...)
	k.Close() // the duplicate descriptor keeps the connection open
	return fd, unread, true
}

// Idle reports whether the connection is established, is not closing, and has no output queued.
func (k *Conn) Idle() bool {
	return !k.closed && !k.isLingering() && k.conn != nil && k.conn.OutboundBuffered() == 0
}
