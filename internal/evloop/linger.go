package evloop

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout limits the time for which a peer may still send after LingeringClose, and lingerMaxBytes what it may send
	// before it has read all output. The peer may have 60 MB in transit, and a reset would destroy an answer that it has not
	// read yet.
	lingerTimeout  = 3 * time.Second
	lingerMaxBytes = 64 << 20
	// flushPollInterval is how often LingeringClose checks whether the peer has taken all output.
	flushPollInterval = 20 * time.Millisecond
)

// lingerState is the state of a connection after LingeringClose.
type lingerState struct {
	timer       *Timer // nil before LingeringClose
	dropped     int    // bytes discarded before draining
	outputEnded bool   // all output is sent, and the sending side is shut down
	draining    bool   // taken over by the loop's drainer; Conn.conn is nil then
	fd          int    // descriptor of the connection while draining
}

func (k *Conn) isLingering() bool { return k.linger.timer != nil }

// LingeringClose shuts down the sending side once all output is sent, discards further input, and closes when the peer
// closes or after lingerTimeout. Closing at once with unread input would send a reset, which can destroy the last output
// before the peer has read it. The handler is not called back any more.
func (k *Conn) LingeringClose() {
	if k == nil || k.isLingering() {
		return
	}
	if k.closed || k.conn == nil {
		k.Close()
		return
	}
	k.noCallbacks, k.inbuf, k.consumed = true, nil, 0
	k.SetEvictable(true)
	if k.accept != nil {
		k.loop.lingering++
	}
	until := k.loop.Now() + lingerTimeout
	var checkFlushed func()
	checkFlushed = func() {
		switch left := until - k.loop.Now(); {
		case left <= 0:
			k.closeNow()
		case k.conn.OutboundBuffered() > 0:
			k.linger.timer = k.loop.After(min(left, flushPollInterval), checkFlushed)
		default:
			_ = unix.Shutdown(k.conn.Fd(), unix.SHUT_WR)
			k.linger.outputEnded = true
			k.linger.timer = k.loop.After(left, k.closeNow)
		}
	}
	checkFlushed()
}

// discardLingering handles n bytes of input after LingeringClose. They are dropped; of a peer that sends many, the loop's drainer
// reads the rest.
func (k *Conn) discardLingering(n int) {
	k.linger.dropped += n
	switch {
	case k.closed:
	case k.linger.outputEnded && k.linger.dropped > drainAfter:
		k.loop.drainer.add(k)
	case k.linger.dropped > lingerMaxBytes:
		k.closeNow()
	}
}
