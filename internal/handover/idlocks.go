package handover

import (
	"errors"
	"log/slog"

	"golang.org/x/sys/unix"

	"lichenhitch/internal/line"
)

const (
	// firstIDByte is the offset in the lock file from which on a byte stands for the id of a request. It is above the slots of
	// all processes.
	firstIDByte = 1 << 20
	// idHashBits is the length of the hash that selects the byte of an id. The largest offset must fit an int64.
	idHashBits = 62
)

// IDLocks marks the ids of open requests for all processes of a node: each is a locked byte of the lock file. The kernel
// decides which of two processes has an id, and releases the ids of a process that ends in any way. A version that does not
// lock ids is not seen.
type IDLocks struct {
	store  *Store
	log    *slog.Logger
	failed bool // a failure was logged
}

// IDLocks returns the locks of this process.
func (s *Store) IDLocks() *IDLocks { return &IDLocks{store: s, log: s.log} }

// Claim locks an id that no other process holds, and reports whether it could. An id of this process is locked anew. If the
// system cannot lock at all, the id counts as claimed, and the failure is logged once.
func (l *IDLocks) Claim(id string) bool {
	err := l.set(unix.F_WRLCK, id)
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EACCES):
		return false
	case err == nil:
		l.Share(id) // so that a process that takes the connection over can lock it as well
	default:
		l.report(err)
	}
	return true
}

// Share locks an id that another process may hold too: that of a connection which it hands over.
func (l *IDLocks) Share(id string) {
	if err := l.set(unix.F_RDLCK, id); err != nil {
		l.report(err)
	}
}

// Release unlocks an id for this process.
func (l *IDLocks) Release(id string) {
	if err := l.set(unix.F_UNLCK, id); err != nil {
		l.report(err)
	}
}

func (l *IDLocks) set(kind int16, id string) error { return l.store.setLock(kind, idByte(id)) }

func (l *IDLocks) report(err error) {
	if !l.failed {
		l.failed = true
		l.log.Warn("ids of open requests cannot be locked; other processes of the node may not see them", "error", err)
	}
}

// idByte returns the offset of an id in the lock file.
func idByte(id string) int { return firstIDByte + int(line.HashID(id)>>(64-idHashBits)) }
