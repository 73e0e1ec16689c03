package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"
)

// Kind classifies the failure of a call.
type Kind uint8

// The kinds of failures. Several map to the same code on the wire, see codes.
const (
	Internal    Kind = iota // an internal fault of the node or the peer
	Invalid                 // the request is invalid, whatever the state of the node
	Unknown                 // the request names something unknown
	Refused                 // the current state does not allow it
	Busy                    // too many calls, at this node or at the peer
	TimedOut                // no reply in time; the call may have taken effect
	Unreachable             // the peer could not be reached, or the connection broke
	Dropped                 // dropped from a full queue in favour of a newer call
	Closed                  // this node or the peer is stopping
)

var codes = [...]connect.Code{connect.CodeInternal, connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeFailedPrecondition,
	connect.CodeResourceExhausted, connect.CodeUnavailable, connect.CodeUnavailable, connect.CodeAborted, connect.CodeUnavailable}

// Error is the failure of a call and its remedy. A Node may pass one to done; an error from a Client is passed on unchanged.
type Error struct {
	Kind    Kind
	Call    string // the name of the call, such as Ask; "" in errors made by the Node
	Peer    string // the peer's name and address, in errors of a Client
	Message string
	Remedy  string
	Err     error // the cause, or nil
}

const remedyMarker = "; what to do: "

// Error returns the call, the peer, the message and the remedy.
func (e *Error) Error() string {
	text := e.Message + remedyMarker + e.Remedy
	if e.Peer != "" {
		text = "at " + e.Peer + ": " + text
	}
	if e.Call != "" {
		text = e.Call + ": " + text
	}
	return text
}

// Action returns the remedy.
func (e *Error) Action() string { return e.Remedy }

func (e *Error) Unwrap() error { return e.Err }

// Remedies shared by several errors.
const (
	remedyRetry     = "call again shortly, with the same id if it has one; the call may have taken effect, which Turns shows"
	remedyOtherNode = "call another node of the site"
	remedyCheckNode = "check that node: is it running, reachable at this address, and not overloaded?"
	remedyReport    = "look at the log of that node and report this as a bug"
)

func timeoutError(call string, timeout time.Duration) *Error {
	return &Error{Kind: TimedOut, Call: call, Message: fmt.Sprintf("no answer within %v", timeout), Remedy: remedyRetry}
}

func closedError(call string) *Error {
	return &Error{Kind: Closed, Call: call, Message: "this node is stopping", Remedy: remedyOtherNode}
}

// wireError converts an error of a Node or of this package to the form sent over a connection.
func wireError(call string, err error) *connect.Error {
	var own *Error
	var actionable interface {
		error
		Action() string
	}
	switch {
	case errors.As(err, &own):
		if own.Call != "" {
			call = "" // the text of own already names it
		}
	case errors.As(err, &actionable):
		own = &Error{Kind: Refused, Message: actionable.Error(), Remedy: actionable.Action()}
		if message, remedy, cut := splitRemedy(own.Message); cut && remedy == own.Remedy {
			own.Message = message
		}
	default:
		own = &Error{Kind: Internal, Message: err.Error(), Remedy: remedyReport}
	}
	text := own.Error()
	if call != "" {
		text = call + ": " + text
	}
	return connect.NewError(codes[own.Kind], errors.New(text))
}

// clientError converts the failure of a call, or an error received from the peer, to an *Error.
func clientError(call, peer string, timeout time.Duration, err error) *Error {
	e := &Error{Call: call, Peer: peer, Err: err}
	var wire *connect.Error
	if errors.As(err, &wire) {
		e.Message = wire.Message()
	} else {
		e.Message = err.Error()
	}
	if message, remedy, cut := splitRemedy(e.Message); cut && connect.IsWireError(err) {
		e.Message, e.Remedy = strings.TrimPrefix(message, call+": "), remedy
	}
	if len(e.Message) > maxText {
		e.Message = strings.ToValidUTF8(e.Message[:maxText], "") + "…"
	}
	if len(e.Remedy) > maxText {
		e.Remedy = strings.ToValidUTF8(e.Remedy[:maxText], "") + "…"
	}
	code := connect.CodeOf(err)
	switch {
	case errors.Is(err, context.DeadlineExceeded) || code == connect.CodeDeadlineExceeded:
		e.Kind, e.Message, e.Remedy = TimedOut, fmt.Sprintf("no answer within %v", timeout), remedyCheckNode
	case errors.Is(err, context.Canceled):
		e.Kind, e.Message, e.Remedy = Closed, "this node cancelled the call", remedyOtherNode
	case connect.IsWireError(err):
		for kind, c := range codes {
			if c == code {
				e.Kind = Kind(kind)
				break
			}
		}
	case code == connect.CodeUnavailable || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET):
		e.Kind = Unreachable
	}
	if e.Remedy == "" {
		e.Remedy = remedyReport
		if e.Kind == Unreachable || e.Kind == TimedOut {
			e.Remedy = remedyCheckNode
		}
	}
	return e
}

// maxText is the maximum length of a peer's message or remedy that is passed on, in bytes.
const maxText = 2000

func splitRemedy(text string) (message, remedy string, cut bool) {
	i := strings.LastIndex(text, remedyMarker)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+len(remedyMarker):], true
}
