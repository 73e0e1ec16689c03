package evloop

import (
	"errors"
	"io"
	"syscall"

	"github.com/panjf2000/gnet/v2"
)

const (
	readSize = 1 << 16
	// outLimit is how much may wait for a peer that has stopped reading before its connection is given up.
	outLimit = 256 << 10
	// keepCap is the largest buffer that a connection keeps while it holds nothing.
	keepCap = 16 << 10
)

// ErrNotReading ends a connection whose peer takes nothing any more.
var ErrNotReading = errors.New("the peer does not read")

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
	muted   bool // closed by its handler, which is not called back any more
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
	}
	k.handler.Opened()
	return gnet.None
}

func (k *Link) traffic(c gnet.Conn) {
	data, _ := c.Next(-1) // all of it: gnet's own inbound buffer stays empty
	if k.closed {
		return
	}
	k.in = append(k.in, data...)
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

// Peek returns what was received and not yet used up. It is valid until the callback ends.
func (k *Link) Peek() []byte {
	if k.closed {
		return nil
	}
	return k.in[k.from:]
}

// Discard uses up n bytes.
func (k *Link) Discard(n int) {
	if !k.closed {
		k.from += n
	}
}

// Write sends data, or queues what the peer does not take at once. It may end the connection, which is then
// told by Closed.
func (k *Link) Write(data []byte) {
	if k.closed || k.conn == nil || len(data) == 0 {
		return
	}
	if _, err := k.conn.Write(data); err != nil {
		return // gnet has closed the connection
	}
	if k.conn.OutboundBuffered() > outLimit {
		k.lose(ErrNotReading)
	}
}

// Close ends the connection. What was written goes out first: gnet's close writes once more what is queued.
func (k *Link) Close() {
	if k != nil {
		k.muted = true
		k.shut()
	}
}

func (k *Link) shut() {
	if k.closed {
		return
	}
	k.closed = true
	k.loop.links--
	k.in = nil
	if k.dial != nil {
		k.dial.cancel()
	}
	if k.conn != nil {
		_ = k.loop.el.Close(k.conn)
	}
}

// Abort ends the connection with a reset, as a peer ends it whose process died.
func (k *Link) Abort() {
	if k != nil && !k.closed && k.conn != nil && k.conn.OutboundBuffered() == 0 {
		_ = k.conn.SetLinger(0)
	}
	k.Close()
}

// lose ends the connection and tells its handler.
func (k *Link) lose(err error) {
	if k.closed {
		return
	}
	k.shut()
	k.loop.Defer(func() { k.tell(err) })
}

// tell calls the handler back for the last time, unless it closed the connection itself in the meantime.
func (k *Link) tell(err error) {
	if !k.muted {
		k.handler.Closed(err)
	}
}

// ended is told by gnet, also of the closes that we asked for ourselves.
func (k *Link) ended(err error) {
	if k.closed {
		return
	}
	k.closed = true
	k.loop.links--
	if err == nil {
		err = io.EOF
	}
	k.loop.Defer(func() {
		k.in = nil
		k.tell(err)
	})
}

// Clean says whether a peer ended its connection in good order.
func Clean(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET)
}
