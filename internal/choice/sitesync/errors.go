package sitesync

import "fmt"

// QueueFullError reports that the queue has no room for a write of this kind.
type QueueFullError struct {
	Kind                Kind
	Number              int // writes of this site that the root site has not judged yet
	Bytes               int
	MaxNumber, MaxBytes int // limits for the kind
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d writes of %d bytes are not yet judged by the root site; the limit for a write of kind %s is %d writes and %d bytes",
		e.Number, e.Bytes, e.Kind, e.MaxNumber, e.MaxBytes)
}

// Action returns what an operator can do.
func (e *QueueFullError) Action() string {
	return "restore the link to a site above, or raise the site's limits; writes that take hosts out of service or back are refused last"
}

// WriteError reports that a write is invalid.
type WriteError struct{ Field, Why string }

func (e *WriteError) Error() string {
	return fmt.Sprintf("invalid write: %s: %s", e.Field, e.Why)
}

// Action returns what an operator can do.
func (e *WriteError) Action() string {
	return "correct the write and submit it again; nothing was changed"
}

// ClosedError reports that the subject was closed for good.
type ClosedError struct {
	Subject string
	By      ID
	Why     string
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("%s was closed by %s: %s", e.Subject, e.By, e.Why)
}

// Action returns what an operator can do.
func (e *ClosedError) Action() string { return "write to the subject that replaced it" }

// TokenError reports that a token cannot be parsed.
type TokenError struct{ Why string }

func (e *TokenError) Error() string { return "invalid token: " + e.Why }

// Action returns what an operator can do.
func (e *TokenError) Action() string {
	return "get the token again from the site that issued it, or write without a token"
}

// BatchError reports that a message from another site is invalid. Nothing was applied, and the sender still has all of
// its writes.
type BatchError struct{ Why string }

func (e *BatchError) Error() string { return "invalid message from another site: " + e.Why }

// Action returns what an operator can do.
func (e *BatchError) Action() string {
	return "compare the versions and the site files of both nodes; nothing is lost, the call is repeated"
}

// CreditError reports that a call brought more writes than the site had credit for.
type CreditError struct {
	Site        string
	Sent, Given int
}

func (e *CreditError) Error() string {
	return fmt.Sprintf("%s sent %d writes with credit for %d", e.Site, e.Sent, e.Given)
}

// Action returns what an operator can do.
func (e *CreditError) Action() string {
	return "none: the answer grants new credit, and the site sends the writes again"
}

// StateError reports that a stored state cannot be decoded.
type StateError struct{ Why string }

func (e *StateError) Error() string {
	return "cannot decode the stored state of the site's writes: " + e.Why
}

// Action returns what an operator can do.
func (e *StateError) Action() string {
	return "let the replica load a snapshot from its consensus group; if no replica can decode the state, start a new incarnation of the site"
}
