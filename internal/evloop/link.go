package evloop

import (
	"container/list"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	readSize = 1 << 16
	// keepCap is the largest buffer that a connection keeps while it holds nothing.
	keepCap = 4 << 10
	// pullMost bounds what is read at once of a connection that is about to end.
	pullMost = 1 << 20
)

// Handler is what a connection calls back.
type Handler interface {
	// Opened says that the connection stands.
	Opened()
	// Received says that there are new bytes to Peek at.
	Received()
	// Closed is the last call: the peer ended the connection (io.EOF) or it broke, or it never came up. A
	// connection that its handler closes itself does not call back.
	Closed(err error)
}

// Link is a connection, from its dial or its accept on.
type Link struct {
	loop    *Loop
	conn    gnet.Conn // nil until it stands
	handler Handler
	accept  func(*Link) Handler // of an accepted connection
	dial    *dial               // under way
	in      []byte              // received; the bytes before from are used up
	from    int
	closed  bool
	muted   bool          // closed by its handler, which is not called back any more
	spare   *list.Element // among those that may be ended for want of room
	ending  *Timer        // of a finished connection
	dropped int           // bytes that came after it was finished
	paused  bool          // an adopted connection whose handler is not ready; what comes is kept
	late    error         // its end, if that came meanwhile
	// lastWord is said if the connection is ended for want of room.
	lastWord   []byte
	delivering bool // the connection is over, and its handler looks at what came before
}

func (k *Link) opened(c gnet.Conn) gnet.Action {
	if k.closed {
		return gnet.Close // given up while it was being enrolled
	}
	k.conn = c
	if k.dial != nil {
		k.dial.timer.Stop()
		k.dial = nil
	}
	if k.accept != nil {
		k.loop.links++
		k.handler = k.accept(k)
		k.loop.makeRoom()
		if k.closed {
			return gnet.None
		}
	}
	k.handler.Opened()
	return gnet.None
}

func (k *Link) traffic(c gnet.Conn) {
	data, _ := c.Next(-1) // all of it: gnet's own inbound buffer stays empty
	if k.ending != nil {
		if k.dropped += len(data); k.dropped > finishDrop {
			k.shut()
		}
		return
	}
	if k.closed {
		return
	}
	if k.in = append(k.in, data...); !k.paused {
		k.receive()
	}
}

// receive has the handler look at what has come and makes room for more.
func (k *Link) receive() {
	k.handler.Received()
	switch {
	case k.closed || k.from < len(k.in) && k.from == 0:
	case k.from == len(k.in):
		k.from = 0
		if k.in = k.in[:0]; cap(k.in) > keepCap {
			k.in = nil
		}
	default:
		k.in = k.in[:copy(k.in, k.in[k.from:])]
		k.from = 0
	}
}

// Resume calls back what came to an adopted connection since, and its end if it came.
func (k *Link) Resume() {
	if !k.paused {
		return
	}
	k.paused = false
	if len(k.in) > 0 && !k.closed {
		k.receive()
	}
	if k.late != nil {
		k.ended(k.late)
	}
}

// Peek returns what was received and not yet used up. It is valid until the callback ends.
func (k *Link) Peek() []byte {
	if k.closed && !k.delivering {
		return nil
	}
	return k.in[k.from:]
}

// Discard uses up n bytes.
func (k *Link) Discard(n int) {
	if !k.closed || k.delivering {
		k.from += n
	}
}

// Write sends data, or queues what the peer does not take at once. It may end the connection, which is then
// told by Closed.
func (k *Link) Write(data []byte) {
	if k.closed || k.ending != nil || k.conn == nil || len(data) == 0 {
		return
	}
	if _, err := k.conn.Write(data); err != nil {
		return // gnet has closed the connection
	}
	if k.conn.OutboundBuffered() > k.loop.limits.Queued {
		k.lose(ErrNotReading)
	}
}

// Detach takes the connection out of the loop without ending it: it returns a descriptor of it, which is the caller's
// then, and what was received and not used up. The handler is not called back any more. It says no where the connection
// is being made or ended, or its peer has not taken all that was written.
func (k *Link) Detach() (fd int, unread []byte, ok bool) {
	if !k.Idle() {
		return -1, nil, false
	}
	fd, err := unix.FcntlInt(uintptr(k.conn.Fd()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, nil, false
	}
	unread = append(unread, k.Peek()...)
	k.Close() // the other descriptor keeps the connection up
	return fd, unread, true
}

// Idle says whether the connection stands and nothing that was written waits for its peer.
func (k *Link) Idle() bool {
	return !k.closed && k.ending == nil && k.conn != nil && k.conn.OutboundBuffered() == 0
}
