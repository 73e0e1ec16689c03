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
	// lookEvery is how often a process looks whether another one has changed the file or ended.
	pollInterval = 20 * time.Millisecond
	// lockWithin is how long a change waits for the lock, which is held for less than a millisecond at a time.
	lockTimeout       = 500 * time.Millisecond
	lockRetryInterval = time.Millisecond
	// slots is how many processes of one node there may be at once.
	maxProcesses = 16
	// backlog is how many changes may wait. Whoever calls does not wait for them.
	maxQueuedChanges = 64
)

// The bytes of the lock file: the first is held while the file is read and written, each of the others by one process.
const (
	mutexByte = 0
	firstSlot = 1
)

var (
	errLocked = errors.New("another process holds the lock of the shared file")
	errBusy   = errors.New("too many changes of the shared file wait already")
)

// Store is a process's hold on the shared file. Its methods may be called from any goroutine.
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

	// These belong to the goroutine of the store.
	last     State
	lastInfo fs.FileInfo // the file as last read
}

type change struct {
	apply func(*State)
	done  func(State, error)
}

// Join opens the file of a node in a folder, or makes it, and enters this process. tell is called with every state that
// differs from the last, from a goroutine of the store's own, once Watch was called. A file that cannot be read is
// replaced, and the log says so; an error says that nothing can be shared here.
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
		return fmt.Errorf("%d processes of this node are there already", maxProcesses)
	})
	if err != nil {
		s.lock.Close()
		return nil, State{}, err
	}
	return s, s.last.Clone(), nil
}

// Number returns this process's own number.
func (s *Store) Number() int { return s.number }

// Watch begins to carry changes out and to look for those of others.
func (s *Store) Watch() {
	s.watching = true
	go s.run()
}

// Change has the state changed and calls done, from the store's goroutine, with the new state once that stands in the
// file, or with an error and the state as it was. It never waits; after Leave, done is not called any more.
func (s *Store) Change(apply func(*State), done func(State, error)) {
	select {
	case s.changes <- change{apply, done}:
	default:
		done(State{}, errBusy)
	}
}

// Own changes the entry of this process.
func (s *Store) ChangeOwn(apply func(*Process), done func(State, error)) {
	s.Change(func(st *State) {
		if p := st.process(s.number); p != nil {
			apply(p)
		}
	}, done)
}

// Leave takes this process out of the file and ends the watch.
func (s *Store) Leave() {
	s.once.Do(func() {
		if close(s.stop); s.watching {
			<-s.stopped
		} else {
			s.run()
		}
		s.lock.Close() // gives up all locks too
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
				s.log.Error("the shared file could not be changed", "error", err)
			}
			c.done(s.last.Clone(), err)
			s.notifyIfChanged(before) // what others have changed since the last look came along
		case <-ticker.C:
			before := s.last.Clone()
			s.poll()
			s.notifyIfChanged(before)
		}
	}
}

// news tells the state unless it is as it was.
func (s *Store) notifyIfChanged(before State) {
	if !reflect.DeepEqual(before, s.last.Clone()) {
		s.notify(s.last.Clone())
	}
}

// look reads the file if it was replaced, and leaves out processes that have ended.
func (s *Store) poll() {
	if info, err := os.Stat(s.path); err == nil && s.lastInfo != nil && os.SameFile(info, s.lastInfo) &&
		info.ModTime().Equal(s.lastInfo.ModTime()) {
		s.last.Processes = s.alive(s.last.Processes)
		return
	}
	if st, err := s.read(); err == nil { // what another process replaces is whole
		s.last = st
	}
}

// read reads the file.
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

// update changes the file under the lock: what it holds is read, changed, written beside and renamed.
func (s *Store) update(apply func(*State) error) error {
	if err := s.acquireMutex(); err != nil {
		return err
	}
	defer s.setLock(unix.F_UNLCK, mutexByte)
	st, err := s.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		st = s.last.Clone() // at the start, nothing; later, somebody removed it
	case err != nil:
		s.log.Warn("the shared file cannot be read and is replaced", "error", err)
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

// living returns the processes that have not ended.
func (s *Store) alive(all []Process) []Process {
	return slices.DeleteFunc(slices.Clone(all), func(p Process) bool {
		return p.Number != s.number && !s.isLocked(firstSlot+p.Slot)
	})
}

// await waits for the lock.
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

// hold locks one byte, unless another process has. The locks belong to the open file, so that they end with the process
// and two stores of one process are two.
func (s *Store) lockByte(offset int) error { return s.setLock(unix.F_WRLCK, offset) }

func (s *Store) setLock(kind int16, offset int) error {
	lock := unix.Flock_t{Type: kind, Start: int64(offset), Len: 1}
	return unix.FcntlFlock(s.lock.Fd(), unix.F_OFD_SETLK, &lock)
}

// held says whether another open file has a byte locked.
func (s *Store) isLocked(offset int) bool {
	lock := unix.Flock_t{Type: unix.F_WRLCK, Start: int64(offset), Len: 1}
	return unix.FcntlFlock(s.lock.Fd(), unix.F_OFD_GETLK, &lock) == nil && lock.Type != unix.F_UNLCK
}
