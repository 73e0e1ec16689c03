package evloop

import (
	"container/list"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	readSize = 1 << 16
	// keepCap is the largest buffer that a connection keeps while it holds nothing.
	keepCap = 4 << 10
	// finishWithin and finishDrop bound what a peer may still send after a connection is finished: it may have
	// 60 MB under way, and a reset before it has read its answer would destroy that.
	finishWithin = 3 * time.Second
	finishDrop   = 64 << 20
	// flushEvery is how often a finished connection is looked at whose last words its peer has not taken yet.
	flushEvery = 20 * time.Millisecond
)

// The ends of a connection that are no peer's doing.
var (
	ErrNotReading = errors.New("the peer does not read")
	ErrNoRoom     = errors.New("there are too many connections")
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

// Spare says whether the connection may be ended when there are too many; the oldest such goes first.
func (k *Link) Spare(may bool) {
	switch {
	case may && k.spare == nil && !k.closed:
		k.spare = k.loop.spare.PushBack(k)
	case !may && k.spare != nil:
		k.loop.spare.Remove(k.spare)
		k.spare = nil
	}
}

// Finish ends sending once what was written has gone out, drops what still comes, and closes when the peer does or
// after a while. Closing at once with unread input would send a reset, which can destroy the last words before the
// peer has read them. The handler is not called back any more.
func (k *Link) Finish() {
	if k == nil || k.closed || k.ending != nil {
		return
	}
	if k.conn == nil {
		k.Close()
		return
	}
	k.muted, k.in, k.from = true, nil, 0
	k.Spare(true)
	until := k.loop.Now() + finishWithin
	var flushed func()
	flushed = func() {
		switch left := until - k.loop.Now(); {
		case left <= 0:
			k.shut()
		case k.conn.OutboundBuffered() > 0:
			k.ending = k.loop.After(min(left, flushEvery), flushed)
		default:
			_ = unix.Shutdown(k.conn.Fd(), unix.SHUT_WR)
			k.ending = k.loop.After(left, k.shut)
		}
	}
	flushed()
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
	k.gone()
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

// gone takes the connection off the books.
func (k *Link) gone() {
	k.closed = true
	k.loop.links--
	k.Spare(false)
	k.ending.Stop()
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
	if err == nil {
		err = io.EOF
	}
	if k.paused {
		k.late, k.conn = err, nil
		return
	}
	k.gone()
	k.loop.Defer(func() {
		k.in = nil
		k.tell(err)
	})
}

// Clean says whether a peer ended its connection in good order.
func Clean(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET)
}
