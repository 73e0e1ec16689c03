package processes

import (
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// attempts holds, for each request that no host has answered yet, the connection on which its latest attempt arrived.
type attempts struct {
	mu      sync.Mutex
	pending map[string]*net.TCPConn
}

// begin records an attempt and reports whether an earlier one was still pending: not answered, and its connection not
// closed by the node according to the host's kernel.
func (a *attempts) begin(id string, c *net.TCPConn) (earlier bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = make(map[string]*net.TCPConn)
	}
	if previous := a.pending[id]; previous != nil {
		earlier = established(previous)
	}
	a.pending[id] = c
	return earlier
}

func (a *attempts) end(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, id)
}

// established reports whether neither side has closed a connection.
func established(c *net.TCPConn) (open bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return open
}
