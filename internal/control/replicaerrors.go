package control

import (
	"fmt"
	"strings"
)

// SupersededGroupError reports that a node uses a group that was replaced by a re-bootstrapped one, since most of
// its stores were lost.
type SupersededGroupError struct{ Node, Site string }

func (e *SupersededGroupError) Error() string {
	return fmt.Sprintf("%s uses the consensus group of site %s from before it was founded anew", e.Node, e.Site)
}

// Action implements Actioner.
func (e *SupersededGroupError) Action() string {
	return "stop " + e.Node + ", put its store aside and start it with an empty one; the group adds its replica as the site file names it"
}

// ForeignGroupError reports that a node's store belongs to a group unrelated to this one.
type ForeignGroupError struct{ Node, Site string }

func (e *ForeignGroupError) Error() string {
	return fmt.Sprintf("the store of %s belongs to another consensus group than that of site %s here", e.Node, e.Site)
}

// Action implements Actioner.
func (e *ForeignGroupError) Action() string {
	return "find out which of the two groups is the site's; if it is this one, stop " + e.Node + ", put its store aside and start it with an empty one"
}

// NoAnswerError reports that a node that is to get a replica does not respond.
type NoAnswerError struct{ Node string }

func (e *NoAnswerError) Error() string { return e.Node + " is to get a seat and does not answer" }

// Action implements Actioner.
func (e *NoAnswerError) Action() string {
	return "start it with the site file that names it, and check that it has the replicas' addresses and they have its own"
}

// SiteFileMismatchError reports that a node that is to get a replica has a different site file.
type SiteFileMismatchError struct{ Node string }

func (e *SiteFileMismatchError) Error() string {
	return e.Node + " is to get a seat, and its site file names other seats"
}

// Action implements Actioner.
func (e *SiteFileMismatchError) Action() string {
	return "give it the site file of the others and have it reload; if that does not help and its store is of a replica that was removed, " +
		"start it with an empty one"
}

// ReplicaRiskError reports the risk of an operator's command about replicas that came without accepting it.
type ReplicaRiskError struct{ Node, Risk, Confirmation string }

func (e *ReplicaRiskError) Error() string { return e.Risk }

// Action implements Actioner.
func (e *ReplicaRiskError) Action() string {
	return "make sure that this is not the case, then call again with " + e.Confirmation + " true"
}

// MissingReasonError reports that an operator's command about replicas came without the operator's name or a reason.
type MissingReasonError struct{}

func (*MissingReasonError) Error() string {
	return "the operator and a reason are required, for the log"
}

// Action implements Actioner.
func (*MissingReasonError) Action() string { return "give by and why" }

// TooEarlyError reports that a node has not listened for others for long enough.
type TooEarlyError struct{ Node string }

func (e *TooEarlyError) Error() string {
	return e.Node + " was started just now, and others may still respond to it"
}

// Action implements Actioner.
func (*TooEarlyError) Action() string {
	return "call again in some seconds, if it is still waiting then"
}

// NotNeededError reports that an operator's command about replicas is refused because it is not needed.
type NotNeededError struct{ Node, Why string }

func (e *NotNeededError) Error() string { return "it is not needed: " + e.Why }

// Action implements Actioner.
func (e *NotNeededError) Action() string {
	return "start the replicas whose stores are intact, check that they reach each other, and see the log of " + e.Node + " for what it waits for"
}

// LongerLogError reports that another replica has more of the log.
type LongerLogError struct{ Node string }

func (e *LongerLogError) Error() string {
	return "the store of " + e.Node + " has more of the group's log"
}

// Action implements Actioner.
func (e *LongerLogError) Action() string { return "call with node " + e.Node }

// UnaccountedReplicasError reports that some replicas neither respond nor are named as lost.
type UnaccountedReplicasError struct{ Nodes []string }

func (e *UnaccountedReplicasError) Error() string {
	return "neither heard from nor named as lost: " + strings.Join(e.Nodes, " ")
}

// Action implements Actioner.
func (e *UnaccountedReplicasError) Action() string {
	return "start them and check that they reach this node, or, if their stores are lost for good, name them in lost"
}
