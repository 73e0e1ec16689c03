package evloop

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file holds every way in which a connection ends. A close while input is unread makes the kernel send a reset,
// which can destroy what the peer has not read yet, so that each way says what becomes of input and output.

const (
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

// LastWord sets what the peer is told if the connection is ended for want of room. A request that crosses the close is
// answered by it.
func (k *Link) LastWord(word []byte) { k.lastWord = word }

// Finish ends sending once what was written has gone out, drops what still comes, and closes when the peer does or
// after a while. Closing at once with unread input would send a reset, which can destroy the last words before the
// peer has read them. The handler is not called back any more.
func (k *Link) Finish() {
	if k == nil || k.ending != nil {
		return
	}
	if k.closed || k.conn == nil {
		k.Close()
		return
	}
	k.muted, k.in, k.from = true, nil, 0
	k.Spare(true)
	if k.accept != nil {
		k.loop.finishing++
	}
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

// Close ends the connection. What was written goes out first: gnet's close writes once more what is queued.
func (k *Link) Close() {
	if k != nil {
		k.muted = true
		k.shut()
	}
}

// Abort ends the connection with a reset, as a peer ends it whose process died.
func (k *Link) Abort() {
	if k != nil && !k.closed && k.conn != nil && k.conn.OutboundBuffered() == 0 {
		_ = k.conn.SetLinger(0)
	}
	k.Close()
}

// shut closes the descriptor, or gives the dial up.
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

// gone takes the connection off the books.
func (k *Link) gone() {
	k.closed = true
	k.loop.links--
	k.Spare(false)
	if k.ending != nil && k.accept != nil {
		k.loop.finishing--
	}
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

// dismiss ends a spare connection for want of room.
func (k *Link) dismiss() {
	if k.ending == nil {
		k.Write(k.lastWord)
	}
	k.lose(ErrNoRoom)
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
	if failedToWrite(err) && k.ending == nil {
		k.pull()
	}
	if k.paused {
		k.late, k.conn = err, nil
		return
	}
	k.gone()
	k.loop.Defer(func() {
		k.deliverRest()
		k.tell(err)
	})
}

// failedToWrite says whether gnet gave a connection up since it could not be written to. What the peer had sent before
// that is still unread then: gnet reads nothing more.
func failedToWrite(err error) bool {
	var call *os.SyscallError
	return errors.As(err, &call) && (call.Syscall == "write" || call.Syscall == "writev")
}

// pull reads what the kernel holds of the peer's input, without gnet, and returns how many bytes that were. They are
// kept for the handler.
func (k *Link) pull() int {
	total := 0
	for total < pullMost {
		n, err := unix.Read(k.conn.Fd(), k.loop.scratch[:])
		if n <= 0 || err != nil {
			break
		}
		k.in = append(k.in, k.loop.scratch[:n]...)
		total += n
	}
	return total
}

// deliverRest has the handler look at what came before the connection broke.
func (k *Link) deliverRest() {
	if len(k.in) > k.from && !k.muted {
		k.delivering = true
		k.handler.Received()
		k.delivering = false
	}
	k.in, k.from = nil, 0
}

// Clean says whether a peer ended its connection in good order.
func Clean(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET)
}
