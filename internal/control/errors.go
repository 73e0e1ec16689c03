package control

import (
	"errors"
	"fmt"
)

// Actioner is an error that says what an operator can do.
type Actioner interface {
	error
	Action() string
}

// NoLeaderError says that the site's consensus group has no leader, as far as this node knows.
type NoLeaderError struct{ Site string }

func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("the consensus group of site %s has no leader, as far as this node knows", e.Site)
}

// Action implements Actioner.
func (e *NoLeaderError) Action() string {
	return "call again in some seconds, or call another node; if this persists, " +
		"check that more than half of the nodes with a seat run and reach each other"
}

// NotLeaderError says that another node leads the site's consensus group.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string { return e.Leader + " leads the site's consensus group" }

// Action implements Actioner.
func (e *NotLeaderError) Action() string { return "call " + e.Leader }

// NoReplicaError says that a node has no replica in its site's consensus group.
type NoReplicaError struct{ Node string }

func (e *NoReplicaError) Error() string {
	return fmt.Sprintf("%s has no seat in its site's consensus group", e.Node)
}

// Action implements Actioner.
func (e *NoReplicaError) Action() string {
	return "compare the site files: all must give the same nodes a seat"
}

// OutcomeUnknownError says that a call was proposed and its outcome is not known.
type OutcomeUnknownError struct{ ID string }

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("%s: not committed in time; it may still be", e.ID)
}

// Action implements Actioner.
func (e *OutcomeUnknownError) Action() string {
	return "repeat the call with the same id, which has no second effect, or look at Turns"
}

// RefusedError says that the site's consensus group refused a call.
type RefusedError struct{ ID, Why string }

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: %s", e.ID, e.Why) }

// Action implements Actioner.
func (e *RefusedError) Action() string {
	return "look at Turns for the present state, and request what it allows"
}

// StoppedError says that the control of a node has stopped.
type StoppedError struct{ Cause error }

func (e *StoppedError) Error() string {
	return "the control of this node has stopped: " + e.Cause.Error()
}
func (e *StoppedError) Unwrap() error { return e.Cause }

// Action implements Actioner.
func (e *StoppedError) Action() string {
	var actioner Actioner
	if errors.As(e.Cause, &actioner) {
		return actioner.Action()
	}
	return "check the store's directory (free space, permissions, the disk), then restart the node"
}

// BusyError says that the control's queue of calls is full.
type BusyError struct{}

func (*BusyError) Error() string { return "the queue of calls to this node's control is full" }

// Action implements Actioner.
func (*BusyError) Action() string { return "call again in some seconds, or call another node" }

// DeadNodeRiskError says that a node was not declared dead because the call did not accept the risk.
type DeadNodeRiskError struct{ Node string }

func (e *DeadNodeRiskError) Error() string {
	return fmt.Sprintf("a node that is declared dead but still runs continues to send to hosts that are granted for maintenance; "+
		"%s may be one", e.Node)
}

// Action implements Actioner.
func (e *DeadNodeRiskError) Action() string {
	return "make sure that it is off, then call again with i_know_that_it_may_still_send true"
}

// UnknownNameError says that a call names something that does not exist.
type UnknownNameError struct{ Kind, Name, Expected string }

func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("%s: %.80q is unknown or invalid", e.Kind, e.Name)
}

// Action implements Actioner.
func (e *UnknownNameError) Action() string { return "give " + e.Expected }
