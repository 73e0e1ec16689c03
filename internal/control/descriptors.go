package control

import (
	"fmt"

	"lichenhitch/internal/peer"
	"lichenhitch/internal/site"
)

const (
	// storeSockets are descriptors that the store may hold: the log, its lock, its folder's note, and two while it is written anew.
	storeSockets = 5
	// doorSockets are the peers' listener, and a connection there that is one too many until it is closed.
	doorSockets = 2
	// handSockets are kept for operators at the peers' address, where room is tight.
	handSockets = 8
)

// Sockets are descriptors that control may hold.
type Sockets struct {
	Links int // connections to the peers' address
	All   int // with these
}

// SocketsOf returns how many descriptors the control of a site's node may hold where there is room for so many, which traffic
// does without. Where room is tight the peers' address takes fewer connections, but not fewer than its peers make and some
// operators; with less room than that it returns a *SocketsError besides.
func SocketsOf(s *site.Site, room int) (Sockets, error) {
	rest := storeSockets + doorSockets + peer.ClientConns*len(s.Peers)
	least := min(peer.ServerConns, peer.ClientConns*len(s.Peers)+handSockets)
	links := min(max(room-rest, least), peer.ServerConns)
	out := Sockets{Links: links, All: rest + links}
	if out.All > room {
		return out, &SocketsError{Lacks: out.All - room}
	}
	return out, nil
}

// SocketsError says that a node's limit of descriptors leaves too few for traffic beside the affairs of its site.
type SocketsError struct{ Lacks int }

func (e *SocketsError) Error() string {
	return fmt.Sprintf("limits.sockets, or what the system allows, is %d too low for traffic beside the affairs of the site", e.Lacks)
}

// Action implements Actioner.
func (e *SocketsError) Action() string {
	return fmt.Sprintf("raise limits.sockets, and the system's limit of open files, by %d at least", e.Lacks)
}
