package control

import (
	"fmt"

	"lichenhitch/internal/peer"
	"lichenhitch/internal/site"
)

const (
	// storeDescriptors is how many descriptors the store may hold: the log, its lock, the witness file, and two while it is
	// rewritten.
	storeDescriptors = 5
	// listenerDescriptors is how many the peer listener needs: itself, and an accepted connection over the limit until it is
	// closed.
	listenerDescriptors = 2
	// operatorConns is how many connections to the peer address are reserved for operators if descriptors are scarce.
	operatorConns = 8
)

// Descriptors is how many file descriptors control may hold.
type Descriptors struct {
	PeerConns int // accepted connections to the peer address
	Total     int // in total, including PeerConns
}

// DescriptorsFor returns how many descriptors the control of a site's node may hold, out of those available; traffic does
// without them. If descriptors are scarce, the peer address accepts fewer connections, but at least those that the peers make
// and operatorConns. If not even those are available, it also returns a *TooFewDescriptorsError.
func DescriptorsFor(s *site.Site, available int) (Descriptors, error) {
	fixed := storeDescriptors + listenerDescriptors + peer.ClientConns*len(s.Peers)
	minConns := min(peer.ServerConns, peer.ClientConns*len(s.Peers)+operatorConns)
	conns := min(max(available-fixed, minConns), peer.ServerConns)
	out := Descriptors{PeerConns: conns, Total: fixed + conns}
	if out.Total > available {
		return out, &TooFewDescriptorsError{Missing: out.Total - available}
	}
	return out, nil
}

// TooFewDescriptorsError says that a node's limit of descriptors leaves too few for traffic beside the control plane.
type TooFewDescriptorsError struct{ Missing int }

func (e *TooFewDescriptorsError) Error() string {
	return fmt.Sprintf("limits.sockets, or what the system allows, is %d too low for traffic beside the site's control plane", e.Missing)
}

// Action implements Actioner.
func (e *TooFewDescriptorsError) Action() string {
	return fmt.Sprintf("raise limits.sockets, and the system's limit of open files, by %d or more", e.Missing)
}
