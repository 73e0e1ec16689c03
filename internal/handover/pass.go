package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"lichenhitch/balance"
)

// passWithin is how long the other process may take to take a connection.
const sendTimeout = 500 * time.Millisecond

// queuedWithin is how long a retired receiver waits at most for its goroutine to take a call that is queued.
const acceptTimeout = time.Second

// packetMax is how large a packet may be: two lines that were not complete, and what is told of the connection.
const maxPacket = 32 << 10

// Passed is a connection on its way from one process to another. Its descriptors belong to whoever holds it.
type Passed struct {
	ID           string // that its client gave
	Arrival      balance.Arrival
	Server       balance.ServerID
	ClientUnread []byte // received and not passed on
	HostUnread   []byte
	Client       int `json:"-"` // descriptors
	Host         int `json:"-"`
}

// Close closes the descriptors.
func (p Passed) Close() {
	_ = unix.Close(p.Client)
	_ = unix.Close(p.Host)
}

// Sender hands connections to a later process.
type Sender struct{ conn *net.UnixConn }

// Call connects to a process of the node.
func (s *Store) Dial(number int) (*Sender, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: s.socket(number), Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	return &Sender{conn}, nil
}

// Send hands one connection over. The descriptors stay the caller's, to be closed in either case. It waits for the other
// process, for half a second at most.
func (s *Sender) Send(p Passed) error {
	head, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if len(head) > maxPacket {
		return fmt.Errorf("a packet of %d bytes", len(head))
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	_, _, err = s.conn.WriteMsgUnix(head, unix.UnixRights(p.Client, p.Host), nil)
	return err
}

// Close ends the connection to the other process.
func (s *Sender) Close() { _ = s.conn.Close() }

// Receiver takes connections from earlier processes.
type Receiver struct{ ln *net.UnixListener }

// Receive takes what earlier processes hand over until the receiver is closed. take is called from goroutines of the
// receiver's own, one for each of these processes, and owns the descriptors.
func (s *Store) Receive(take func(Passed)) (*Receiver, error) {
	name := s.socket(s.number)
	_ = os.Remove(name) // of a process that was killed and had the same number in an earlier file
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

// accept takes calls until the receiver is closed, or is retired and has taken what was queued.
func (r *Receiver) accept(take func(*net.UnixConn)) {
	for draining := false; ; {
		conn, err := r.ln.AcceptUnix()
		switch {
		case err == nil:
			take(conn)
		case errors.Is(err, os.ErrDeadlineExceeded) && !draining:
			// The deadline is looked at before the queue: only a later one lets what is queued be taken.
			draining = true
			_ = r.ln.SetDeadline(time.Now().Add(acceptTimeout))
		default:
			_ = r.ln.Close()
			return
		}
	}
}

func (s *Store) socket(number int) string { return fmt.Sprintf("%s.%d.sock", s.path, number) }

// Retire ends receiving once the calls that have come are taken: no earlier process is there that could make another one.
func (r *Receiver) DrainAndClose() { _ = r.ln.SetDeadline(time.Now()) }

// Close ends receiving from processes that have not called yet.
func (r *Receiver) Close() { _ = r.ln.Close() }

func (s *Store) receive(conn *net.UnixConn, take func(Passed)) {
	defer conn.Close()
	head, rights := make([]byte, maxPacket), make([]byte, unix.CmsgSpace(2*4))
	for {
		n, nr, _, _, err := conn.ReadMsgUnix(head, rights)
		if err != nil || n == 0 {
			return
		}
		p, err := parsePassed(head[:n], rights[:nr])
		if err != nil {
			s.log.Warn("a connection that was handed over cannot be taken", "error", err)
			continue
		}
		take(p)
	}
}

func parsePassed(head, rights []byte) (Passed, error) {
	var fds []int
	messages, err := unix.ParseSocketControlMessage(rights)
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
		err = errors.New("it has not two descriptors")
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
