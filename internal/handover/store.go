package handover

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pollInterval is how often a process checks whether another one has changed the file or exited.
	pollInterval = 20 * time.Millisecond
	// lockTimeout is how long a change waits for the lock, which is held for less than a millisecond at a time.
	lockTimeout       = 500 * time.Millisecond
	lockRetryInterval = time.Millisecond
	// maxProcesses is the maximum number of processes of one node at the same time.
	maxProcesses = 16
	// maxQueuedChanges limits the queued changes. Callers do not block on them.
	maxQueuedChanges = 64
)

// Offsets of the locked bytes in the lock file. The first byte is locked while the state file is read and written. Each of the
// others is locked by one process for as long as it runs.
const (
	mutexByte = 0
	firstSlot = 1
)

var (
	errLocked = errors.New("another process holds the lock of the shared state file")
	errBusy   = errors.New("too many changes of the shared state file are queued")
)

// Store gives a process access to the shared state file. Its methods may be called from any goroutine.
type Store struct {
	log      *slog.Logger
	path     string
	lock     *os.File
	number   int
	slot     int
	changes  chan change
	notify   func(State)
	stop     chan struct{}
	stopped  chan struct{}
	once     sync.Once
	watching bool

	lastChange func(*State) // set before stop is closed
	// The fields below are used only by the store's goroutine once Watch has started it.
	last     State
	lastInfo fs.FileInfo // of the state file when it was last read or written
}

type change struct {
	apply func(*State)
	done  func(State, error)
}

// Join opens or creates the state file of a node in a directory and adds this process to it. After Watch, the store's own
// goroutine calls notify with every state that differs from the one before. A file that cannot be read is replaced, with a
// warning in the log. An error means that state cannot be shared in this directory.
func Join(log *slog.Logger, dir, node string, notify func(State)) (*Store, State, error) {
	s := &Store{log: log, path: filepath.Join(dir, "lichenhitch-"+url.PathEscape(node)+".state"), notify: notify,
		changes: make(chan change, maxQueuedChanges), stop: make(chan struct{}), stopped: make(chan struct{})}
	var err error
	if s.lock, err = os.OpenFile(s.path+".lock", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, State{}, err
	}
	err = s.update(func(st *State) error {
		for _, p := range st.Processes {
			s.number = max(s.number, p.Number)
		}
		s.number++
		for s.slot = range maxProcesses {
			if s.lockByte(firstSlot+s.slot) == nil {
				st.Processes = append(st.Processes, Process{Number: s.number, Slot: s.slot, PID: os.Getpid()})
				return nil
			}
		}
		return fmt.Errorf("%d processes of this node are running already", maxProcesses)
	})
	if err != nil {
		s.lock.Close()
		return nil, State{}, err
	}
	return s, s.last.Clone(), nil
}

// Number returns the number of this process.
func (s *Store) Number() int { return s.number }

// Watch starts the goroutine that applies queued changes and polls for those of other processes.
func (s *Store) Watch() {
	s.watching = true
	go s.run()
}

// Change queues a change of the state. The store's goroutine calls done with the new state once it is written to the file, or
// with an error and the unchanged state. Change never blocks. If the queue is full, it calls done with an error at once. After
// Leave, queued changes are discarded without a call of done.
func (s *Store) Change(apply func(*State), done func(State, error)) {
	select {
	case s.changes <- change{apply, done}:
	default:
		done(State{}, errBusy)
	}
}

// ChangeOwn queues a change of this process's entry.
func (s *Store) ChangeOwn(apply func(*Process), done func(State, error)) {
	s.Change(func(st *State) {
		if p := st.process(s.number); p != nil {
			apply(p)
		}
	}, done)
}

// Leave removes this process from the file and stops the store's goroutine.
func (s *Store) Leave() { s.LeaveAfter(func(*State) {}) }

// LeaveAfter is like Leave, and applies a last change of the state.
func (s *Store) LeaveAfter(last func(*State)) {
	s.once.Do(func() {
		s.lastChange = last
		if close(s.stop); s.watching {
			<-s.stopped
		} else {
			s.run()
		}
		s.lock.Close() // also releases all locks
	})
}

func (s *Store) run() {
	defer close(s.stopped)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			_ = s.update(func(st *State) error {
				s.lastChange(st)
				st.Processes = slices.DeleteFunc(st.Processes, func(p Process) bool { return p.Number == s.number })
				return nil
			})
			return
		case c := <-s.changes:
			before := s.last.Clone()
			err := s.update(func(st *State) error {
				c.apply(st)
				return nil
			})
			if err != nil {
				s.log.Error("could not change the shared state file", "error", err)
			}
			c.done(s.last.Clone(), err)
			s.notifyIfChanged(before) // the update may also have read changes that other processes made since the last poll
		case <-ticker.C:
			before := s.last.Clone()
			s.poll()
			s.notifyIfChanged(before)
		}
	}
}

// notifyIfChanged calls notify if the state differs from before.
func (s *Store) notifyIfChanged(before State) {
	if !reflect.DeepEqual(before, s.last.Clone()) {
		s.notify(s.last.Clone())
	}
}

// poll reads the file if it was replaced, and removes processes that have exited from the state in memory.
func (s *Store) poll() {
	if info, err := os.Stat(s.path); err == nil && s.lastInfo != nil && os.SameFile(info, s.lastInfo) &&
		info.ModTime().Equal(s.lastInfo.ModTime()) {
		s.last.Processes = s.alive(s.last.Processes)
		return
	}
	if st, err := s.read(); err == nil { // other processes replace the file atomically
		s.last = st
	}
}

// read reads the state file and leaves out processes that have exited.
func (s *Store) read() (State, error) {
	info, err := os.Stat(s.path)
	if err != nil {
		return State{}, err
	}
	raw, err := os.ReadFile(s.path)
	if err != nil {
		return State{}, err
	}
	st, err := decode(raw)
	if err != nil {
		return State{}, fmt.Errorf("%s: %w", s.path, err)
	}
	s.lastInfo = info
	st.Processes = s.alive(st.Processes)
	return st, nil
}

// update changes the state file under the lock: it reads the state, applies the change, writes a temporary file and renames it.
func (s *Store) update(apply func(*State) error) error {
	if err := s.acquireMutex(); err != nil {
		return err
	}
	defer s.setLock(unix.F_UNLCK, mutexByte)
	st, err := s.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		st = s.last.Clone() // empty at the start; later, the file was removed
	case err != nil:
		s.log.Warn("could not read the shared state file; replacing it", "error", err)
		st = s.last.Clone()
	}
	if err := apply(&st); err != nil {
		return err
	}
	raw, err := encode(st)
	if err != nil {
		return err
	}
	temporary := fmt.Sprintf("%s.%d", s.path, s.slot)
	if err := os.WriteFile(temporary, raw, 0o600); err != nil {
		return err
	}
	if err := os.Rename(temporary, s.path); err != nil {
		return err
	}
	s.last = st
	s.lastInfo, _ = os.Stat(s.path)
	return nil
}

// alive returns the processes that have not exited.
func (s *Store) alive(all []Process) []Process {
	return slices.DeleteFunc(slices.Clone(all), func(p Process) bool {
		return p.Number != s.number && !s.isLocked(firstSlot+p.Slot)
	})
}

// acquireMutex waits for the lock of the state file, up to lockTimeout.
func (s *Store) acquireMutex() error {
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err := s.lockByte(mutexByte)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Join(errLocked, err)
		}
	}
}

// lockByte locks one byte, or returns an error if another store has locked it. The locks belong to the open file description
// (OFD locks): they end with the process, and two stores in one process exclude each other.
func (s *Store) lockByte(offset int) error { return s.setLock(unix.F_WRLCK, offset) }

func (s *Store) setLock(kind int16, offset int) error {
	lock := unix.Flock_t{Type: kind, Start: int64(offset), Len: 1}
	return unix.FcntlFlock(s.lock.Fd(), unix.F_OFD_SETLK, &lock)
}

// isLocked reports whether another open file description holds the lock of a byte.
func (s *Store) isLocked(offset int) bool {
	lock := unix.Flock_t{Type: unix.F_WRLCK, Start: int64(offset), Len: 1}
	return unix.FcntlFlock(s.lock.Fd(), unix.F_OFD_GETLK, &lock) == nil && lock.Type != unix.F_UNLCK
}
