package evloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// drainAfter is how many bytes of a lingering connection the event loop discards as they come. Few peers send more.
	drainAfter = 64 << 10
	// drainInterval is the interval of the rounds in which the drainer discards input.
	drainInterval = 5 * time.Millisecond
	// drainReads and drainReadSize limit a round to 2 MiB, over all connections.
	drainReads    = 64
	drainReadSize = 32 << 10
	// drainTimeout is how long a connection is drained. A peer that only writes sees the close within 3 s of connecting.
	drainTimeout = 2500 * time.Millisecond
)

// drainer discards what the peers of lingering connections go on sending, so much at a time that other connections do not wait
// for it. gnet would read all of it as fast as it comes. What is not read yet waits in the kernel, which stops the sender.
type drainer struct {
	loop      *Loop
	queue     []*Conn // the first one is read next
	scheduled bool
	discarded int // bytes in all rounds
}

// add takes a lingering connection, whose output is sent, out of gnet and drains it.
func (d *drainer) add(k *Conn) {
	fd, err := unix.FcntlInt(uintptr(k.conn.Fd()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		k.closeNow()
		return
	}
	conn := k.conn
	k.conn, k.linger.draining, k.linger.fd = nil, true, fd
	_ = d.loop.el.Close(conn) // the duplicate descriptor keeps the connection open
	left := min(k.linger.timer.at-d.loop.Now(), drainTimeout)
	k.linger.timer.Stop()
	k.linger.timer = d.loop.After(left, k.closeNow)
	d.queue = append(d.queue, k)
	d.schedule()
}

func (d *drainer) schedule() {
	if !d.scheduled && len(d.queue) > 0 {
		d.scheduled = true
		d.loop.After(drainInterval, d.round)
	}
}

// round reads from the connections in turn. Those that have sent nothing more are left out until the next round.
func (d *drainer) round() {
	d.scheduled = false
	var idle []*Conn
	for reads := 0; reads < drainReads && len(d.queue) > 0; reads++ {
		k := d.queue[0]
		d.queue = d.queue[1:]
		if k.closed {
			continue
		}
		n, err := d.discard(k.linger.fd)
		switch {
		case n > 0:
			d.queue = append(d.queue, k)
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
			idle = append(idle, k)
		default:
			k.closeNow()
		}
	}
	d.queue = append(d.queue, idle...)
	d.schedule()
}

// discard reads some input without copying it out of the kernel; see MSG_TRUNC in tcp(7).
func (d *drainer) discard(fd int) (int, error) {
	n, _, err := unix.Recvfrom(fd, d.loop.scratch[:drainReadSize], unix.MSG_TRUNC)
	d.discarded += max(n, 0)
	return n, err
}

// closeAll closes the connections when the loop has stopped.
func (d *drainer) closeAll() {
	for _, k := range d.queue {
		if !k.closed {
			_ = unix.Close(k.linger.fd)
		}
	}
	d.queue = nil
}
