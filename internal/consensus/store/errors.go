package store

import "fmt"

// WriteError says that the store could not be read from or written to: the disk is full or failing. Nothing of the
// failed write is kept. The control plane stops, since nothing may be promised that is not durable. Client connections
// are not affected.
type WriteError struct {
	Path string
	Err  error
}

func (e *WriteError) Error() string { return fmt.Sprintf("consensus store %s: %v", e.Path, e.Err) }
func (e *WriteError) Unwrap() error { return e.Err }

// Action says what an operator can do.
func (e *WriteError) Action() string {
	return "check that the disk has free space and that the file is writable, then restart the node; its replica rejoins by itself"
}

// DamagedError says that the file is not a store as it was left: it is truncated or has pages of another time.
type DamagedError struct{ Path, Why string }

func (e *DamagedError) Error() string {
	return fmt.Sprintf("consensus store %s is damaged: %s", e.Path, e.Why)
}

// Action says what an operator can do.
func (e *DamagedError) Action() string {
	return "stop the node, put the file aside (do not put an older copy in its place), start the node and take its new replica in"
}

// InUseError says that another process has the store open.
type InUseError struct{ Path string }

func (e *InUseError) Error() string {
	return fmt.Sprintf("consensus store %s: another process has it open", e.Path)
}

// Action says what an operator can do.
func (e *InUseError) Action() string {
	return "stop the other process, or configure another folder: two nodes cannot share a store"
}

// WrongStoreError says that the store belongs to another node.
type WrongStoreError struct {
	Path      string
	Has, Want Identity
}

func (e *WrongStoreError) Error() string {
	return fmt.Sprintf("consensus store %s belongs to node %s/%s, not to %s/%s", e.Path, e.Has.Site, e.Has.Node, e.Want.Site, e.Want.Node)
}

// Action says what an operator can do.
func (e *WrongStoreError) Action() string {
	return "configure the folder of this node's own store; a renamed node starts with an empty store"
}

// WitnessError says that the witness file is not on an in-memory file system: restoring a copy of the disk would
// restore the witness too.
type WitnessError struct{ Path string }

func (e *WitnessError) Error() string {
	return fmt.Sprintf("consensus store: the witness %s is not on a file system in memory (tmpfs)", e.Path)
}

// Action says what an operator can do.
func (e *WitnessError) Action() string { return "configure a file under /run or /dev/shm, or none" }
