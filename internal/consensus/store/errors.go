package store

import "fmt"

// WriteError says that the store could not be read from or written to: the disk is full, or fails. Nothing of what was
// to be written stands. Control stops: what is not durable must not be promised. Connections are not affected.
type WriteError struct {
	Path string
	Err  error
}

func (e *WriteError) Error() string { return fmt.Sprintf("council store %s: %v", e.Path, e.Err) }
func (e *WriteError) Unwrap() error { return e.Err }

// Action says what an operator can do.
func (e *WriteError) Action() string {
	return "see that the disk has room and the file may be written, then start the node anew; its seat comes back by itself"
}

// DamagedError says that the file is no store as it was left: cut off, or with pages of another time.
type DamagedError struct{ Path, Why string }

func (e *DamagedError) Error() string {
	return fmt.Sprintf("council store %s is damaged: %s", e.Path, e.Why)
}

// Action says what an operator can do.
func (e *DamagedError) Action() string {
	return "stop the node, put the file aside (do not put an older copy in its place), start the node and take its new seat in"
}

// InUseError says that another process has the store open.
type InUseError struct{ Path string }

func (e *InUseError) Error() string {
	return fmt.Sprintf("council store %s: another process has it open", e.Path)
}

// Action says what an operator can do.
func (e *InUseError) Action() string {
	return "stop the other process, or name another folder: no two nodes share a store"
}

// WrongStoreError says that the store is another node's.
type WrongStoreError struct {
	Path      string
	Has, Want Identity
}

func (e *WrongStoreError) Error() string {
	return fmt.Sprintf("council store %s is of node %s/%s, not of %s/%s", e.Path, e.Has.Site, e.Has.Node, e.Want.Site, e.Want.Node)
}

// Action says what an operator can do.
func (e *WrongStoreError) Action() string {
	return "name the folder of this node's own store; a node that gets another name starts with an empty one"
}

// WitnessError says that the witness is not on a file system in memory: a copy put back would bring it back too.
type WitnessError struct{ Path string }

func (e *WitnessError) Error() string {
	return fmt.Sprintf("council store: the witness %s is not on a file system in memory (tmpfs)", e.Path)
}

// Action says what an operator can do.
func (e *WitnessError) Action() string { return "name a file under /run or /dev/shm, or none" }
