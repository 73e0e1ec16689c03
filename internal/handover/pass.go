package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"lichenhitch/balance"
	"lichenhitch/internal/boottime"
)

// sendTimeout is how long the other process may take to receive a connection.
const sendTimeout = 500 * time.Millisecond

// acceptTimeout limits how long a draining receiver waits to accept connections that are already queued.
const acceptTimeout = time.Second

// maxPacket is the maximum size of a packet, in bytes: two incomplete lines and the metadata of the connection.
const maxPacket = 32 << 10

// Passed is a connection that is handed over from one process to another. Its holder owns the descriptors and must close them.
type Passed struct {
	ID           string // given by the client
	Arrival      balance.Arrival
	Server       balance.ServerID
	ClientUnread []byte // received from the client but not yet forwarded
	HostUnread   []byte
	Silence      *Silence `json:",omitempty"` // nil: not known, as from an earlier version
	Client       int      `json:"-"`          // file descriptors
	Host         int      `json:"-"`
}

// Silence is how long nothing has come back on a connection and from its host. The times are durations, as the clocks of
// the two processes may differ if the system's time was set.
type Silence struct {
	Unanswered time.Duration // since the oldest line of the client that is not answered was sent; 0: all are answered
	Host       time.Duration // since a line was last received from the host on any connection; 0: unknown
}

// SilenceError is the error of a Silence that cannot be true: it ends in the future, or began before the machine started.
type SilenceError struct {
	Field  string
	Value  time.Duration
	Uptime time.Duration // of the machine
}

func (e *SilenceError) Error() string {
	return fmt.Sprintf("%s of a connection that was handed over is %v, not between 0 and the %v since the machine started", e.Field,
		e.Value, e.Uptime)
}

// check returns a *SilenceError if the times cannot be true on a machine that started so long ago.
func (s Silence) check(uptime time.Duration) error {
	for _, field := range []SilenceError{{"the unanswered time", s.Unanswered, uptime}, {"the silence of the host", s.Host, uptime}} {
		if field.Value < 0 || field.Value > uptime {
			return &field
		}
	}
	return nil
}

// machineUptime returns how long the machine has been running, or the longest time if that is not known.
func machineUptime() time.Duration {
	now, err := boottime.Now()
	if err != nil {
		return math.MaxInt64
	}
	return now.At
}

// checked returns the silence of a connection that was received, or nil if it cannot be true.
func (s *Store) checked(silence *Silence, uptime time.Duration) *Silence {
	if silence == nil {
		return nil
	}
	if err := silence.check(uptime); err != nil {
		s.log.Warn("how long a connection was silent is not known", "error", err)
		return nil
	}
	return silence
}

func (p Passed) Close() {
	_ = unix.Close(p.Client)
	_ = unix.Close(p.Host)
}

// Sender hands connections over to a later process.
type Sender struct{ conn *net.UnixConn }

// Dial connects to the process of the node with the given number.
func (s *Store) Dial(number int) (*Sender, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: s.socket(number), Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	return &Sender{conn}, nil
}

// Send hands over one connection. The caller keeps its descriptors and must close them in either case. Send blocks for at most
// half a second (sendTimeout).
func (s *Sender) Send(p Passed) error {
	head, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if len(head) > maxPacket {
		return fmt.Errorf("the packet of the connection has %d bytes, which is too many", len(head))
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	_, _, err = s.conn.WriteMsgUnix(head, unix.UnixRights(p.Client, p.Host), nil)
	return err
}

// Close closes the connection to the other process.
func (s *Sender) Close() { _ = s.conn.Close() }

// Receiver receives connections from earlier processes.
type Receiver struct{ ln *net.UnixListener }

// Receive accepts connections from earlier processes until the receiver is closed. take is called on the receiver's goroutines,
// one for each sending process, and owns the descriptors.
func (s *Store) Receive(take func(Passed)) (*Receiver, error) {
	name := s.socket(s.number)
	_ = os.Remove(name) // left by a process that was killed and had the same number in an earlier state file
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: name, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(name, 0o600); err != nil {
		ln.Close()
		return nil, err
	}
	r := &Receiver{ln}
	go r.accept(func(conn *net.UnixConn) { go s.receive(conn, take) })
	return r, nil
}

// accept accepts senders until the receiver is closed, or until it is draining and has accepted those that were queued.
func (r *Receiver) accept(take func(*net.UnixConn)) {
	for draining := false; ; {
		conn, err := r.ln.AcceptUnix()
		switch {
		case err == nil:
			take(conn)
		case errors.Is(err, os.ErrDeadlineExceeded) && !draining:
			// An expired deadline is checked before the accept queue: queued senders can be accepted only after the deadline is
			// moved.
			draining = true
			_ = r.ln.SetDeadline(time.Now().Add(acceptTimeout))
		default:
			_ = r.ln.Close()
			return
		}
	}
}

func (s *Store) socket(number int) string { return fmt.Sprintf("%s.%d.sock", s.path, number) }

// DrainAndClose stops accepting once the queued senders are accepted. It is called when no earlier process is left that could
// connect.
func (r *Receiver) DrainAndClose() { _ = r.ln.SetDeadline(time.Now()) }

// Close stops accepting senders; those already accepted are not affected.
func (r *Receiver) Close() { _ = r.ln.Close() }

func (s *Store) receive(conn *net.UnixConn, take func(Passed)) {
	defer conn.Close()
	uptime := machineUptime() // read once: it takes a file
	head, control := make([]byte, maxPacket), make([]byte, unix.CmsgSpace(2*4))
	for {
		n, controlLen, _, _, err := conn.ReadMsgUnix(head, control)
		if err != nil || n == 0 {
			return
		}
		p, err := parsePassed(head[:n], control[:controlLen])
		if err != nil {
			s.log.Warn("could not receive a connection that was handed over", "error", err)
			continue
		}
		p.Silence = s.checked(p.Silence, uptime)
		take(p)
	}
}

func parsePassed(head, control []byte) (Passed, error) {
	var fds []int
	messages, err := unix.ParseSocketControlMessage(control)
	for _, m := range messages {
		if got, e := unix.ParseUnixRights(&m); e == nil {
			fds = append(fds, got...)
		}
	}
	var p Passed
	if err == nil {
		err = json.Unmarshal(head, &p)
	}
	if err == nil && len(fds) != 2 {
		err = errors.New("the packet does not carry two descriptors")
	}
	if err != nil {
		for _, fd := range fds {
			_ = unix.Close(fd)
		}
		return Passed{}, err
	}
	for _, fd := range fds {
		unix.CloseOnExec(fd)
	}
	p.Client, p.Host = fds[0], fds[1]
	return p, nil
}
