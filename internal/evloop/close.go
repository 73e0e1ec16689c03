package evloop

import (
	"errors"
	"io"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// This file and linger.go hold every way in which a connection ends. If a socket is closed with unread input, the kernel sends a reset,
// which can destroy data that the peer has not read yet. Each method therefore states what happens to input and output.

// Errors of connections that this process ends itself.
var (
	ErrNotReading   = errors.New("peer does not read")
	ErrTooManyConns = errors.New("too many open connections")
)

// SetEvictable sets whether the connection may be closed when there are too many. The oldest one is evicted first.
func (k *Conn) SetEvictable(evictable bool) {
	switch {
	case evictable && k.evictable == nil && !k.closed:
		k.evictable = k.loop.evictable.PushBack(k)
	case !evictable && k.evictable != nil:
		k.loop.evictable.Remove(k.evictable)
		k.evictable = nil
	}
}

// SetEvictionMessage sets the function that returns what is sent to the peer if the connection is evicted. It answers a
// request that the peer sent just before the close.
func (k *Conn) SetEvictionMessage(message func() []byte) { k.evictionMessage = message }

// Close closes the connection. Output is sent first: gnet's close writes what is queued once more.
func (k *Conn) Close() {
	if k != nil {
		k.noCallbacks = true
		k.closeNow()
	}
}

// Abort closes the connection with a reset, as the kernel does for a process that died.
func (k *Conn) Abort() {
	if k != nil && !k.closed && k.conn != nil && k.conn.OutboundBuffered() == 0 {
		_ = k.conn.SetLinger(0)
	}
	k.Close()
}

// closeNow closes the descriptor, or cancels the dial.
func (k *Conn) closeNow() {
	if k.closed {
		return
	}
	k.release()
	k.inbuf = nil
	if k.dial != nil {
		k.dial.cancel()
	}
	switch {
	case k.linger.draining:
		_ = unix.Close(k.linger.fd)
	case k.conn != nil:
		_ = k.loop.el.Close(k.conn)
	}
}

// release updates the loop's counters and stops the connection's timer.
func (k *Conn) release() {
	k.closed = true
	k.loop.conns--
	k.SetEvictable(false)
	if k.isLingering() && k.accept != nil {
		k.loop.lingering--
	}
	k.linger.timer.Stop()
}

// fail closes the connection and notifies its handler.
func (k *Conn) fail(err error) {
	if k.closed {
		return
	}
	k.closeNow()
	k.loop.Defer(func() { k.notifyClosed(err) })
}

// evict closes an evictable connection because there are too many.
func (k *Conn) evict() {
	if !k.isLingering() && k.evictionMessage != nil {
		k.Write(k.evictionMessage())
	}
	k.fail(ErrTooManyConns)
}

// notifyClosed calls the handler back for the last time, unless the handler has closed the connection in the meantime.
func (k *Conn) notifyClosed(err error) {
	if !k.noCallbacks {
		k.handler.Closed(err)
	}
}

// onClose handles gnet's OnClose, which gnet also calls for closes that this package requested.
func (k *Conn) onClose(err error) {
	if k.closed || k.linger.draining {
		return
	}
	if err == nil {
		err = io.EOF
	}
	if isWriteError(err) && !k.isLingering() {
		k.readUnread()
	}
	if k.paused && !k.noCallbacks {
		k.pausedErr, k.conn = err, nil // Resume calls finishClose
		return
	}
	k.finishClose(err)
}

// finishClose ends a connection that gnet has closed, and notifies its handler.
func (k *Conn) finishClose(err error) {
	k.release()
	k.loop.Defer(func() {
		k.deliverUnread()
		k.notifyClosed(err)
	})
}

// isWriteError reports whether gnet closed a connection because a write failed. Input that the peer sent before that is
// still unread, since gnet reads no more.
func isWriteError(err error) bool {
	var call *os.SyscallError
	return errors.As(err, &call) && (call.Syscall == "write" || call.Syscall == "writev")
}

// readUnread reads the input that the kernel has buffered, bypassing gnet, and keeps it for the handler.
func (k *Conn) readUnread() {
	for total := 0; total < readUnreadMax; {
		n, err := unix.Read(k.conn.Fd(), k.loop.scratch[:])
		if n <= 0 || err != nil {
			return
		}
		k.inbuf = append(k.inbuf, k.loop.scratch[:n]...)
		total += n
	}
}

// hasUnread reports whether the kernel has buffered input, without reading it.
func (k *Conn) hasUnread() bool {
	if k.conn == nil {
		return false
	}
	n, err := unix.IoctlGetInt(k.conn.Fd(), unix.TIOCINQ)
	return err == nil && n > 0
}

// receiveUnread passes input that the kernel has buffered to the handler, ahead of gnet, which reads what is left.
func (k *Conn) receiveUnread() {
	if k.closed || k.noCallbacks || k.conn == nil {
		return
	}
	n, err := unix.Read(k.conn.Fd(), k.loop.scratch[:])
	if n <= 0 || err != nil {
		return
	}
	k.inbuf = append(k.inbuf, k.loop.scratch[:n]...)
	k.receive()
}

// deliverUnread calls the handler for the input that arrived before the connection ended.
func (k *Conn) deliverUnread() {
	if len(k.inbuf) > k.consumed && !k.noCallbacks {
		k.delivering = true
		k.handler.Received()
		k.delivering = false
	}
	k.inbuf, k.consumed = nil, 0
}

// ClosedCleanly reports whether the error of Handler.Closed is that of a peer that closed without a reset.
func ClosedCleanly(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET)
}
