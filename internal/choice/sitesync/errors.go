package sitesync

import "fmt"

// FullError says that the queue has no room for a kind of write.
type QueueFullError struct {
	Kind                Kind
	Number              int // writes of this site that wait for the top's word
	Bytes               int
	MaxNumber, MaxBytes int // of the kind: number and bytes
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d writes of %d bytes wait for the word from above; a write of kind %s is taken up to %d and %d bytes",
		e.Number, e.Bytes, e.Kind, e.MaxNumber, e.MaxBytes)
}

// Action implements what operators can do.
func (e *QueueFullError) Action() string {
	return "restore the link to a site above, or raise the site's limits; hosts can be put out and back the longest"
}

// WriteError says that a write makes no sense.
type WriteError struct{ Field, Why string }

func (e *WriteError) Error() string { return fmt.Sprintf("the write's %s: %s", e.Field, e.Why) }

// Action implements what operators can do.
func (e *WriteError) Action() string {
	return "correct the write and hand it in again; nothing was changed"
}

// ClosedError says that a thing was ended for good.
type ClosedError struct {
	Subject string
	By      ID
	Why     string
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("%s was closed by %s: %s", e.Subject, e.By, e.Why)
}

// Action implements what operators can do.
func (e *ClosedError) Action() string { return "write about what took its place" }

// TokenError says that a token cannot be read.
type TokenError struct{ Why string }

func (e *TokenError) Error() string { return "the token cannot be read: " + e.Why }

// Action implements what operators can do.
func (e *TokenError) Action() string {
	return "fetch the token again at the site that it comes from, or write without one"
}

// BatchError says that bytes from another site make no sense. Nothing was applied, and the sender still has all.
type BatchError struct{ Why string }

func (e *BatchError) Error() string { return "the call cannot be taken: " + e.Why }

// Action implements what operators can do.
func (e *BatchError) Action() string {
	return "compare the versions and the site files of both nodes; nothing is lost, the call is made again"
}

// CreditError says that more writes came than there was credit for.
type CreditError struct {
	Site        string
	Sent, Given int
}

func (e *CreditError) Error() string {
	return fmt.Sprintf("%s sent %d writes with credit for %d", e.Site, e.Sent, e.Given)
}

// Action implements what operators can do.
func (e *CreditError) Action() string {
	return "none: the answer gives credit anew, and the site sends them again"
}

// StateError says that a state cannot be read.
type StateError struct{ Why string }

func (e *StateError) Error() string { return "the state of writes cannot be read: " + e.Why }

// Action implements what operators can do.
func (e *StateError) Action() string {
	return "let the seat take its council's snapshot; if no seat can read it, begin a new life of the site"
}
