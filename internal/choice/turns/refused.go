package turns

import (
	"fmt"
	"time"
)

// Reason is why a command was refused.
type Reason uint8

// The reasons.
const (
	Accepted            Reason = iota
	Malformed                  // the command itself is invalid, whatever the schedule
	UnknownTurn                // no turn with this ID, or it was forgotten after its end
	UnknownHost                // no such host in the fleet
	UnknownNode                // no such node among the members
	UnknownExclusionSet        // no such version, or one that was pruned
	HasTurn                    // the host has another turn that is not over
	OtherHost                  // the ID is in use for another host
	TooLong                    // the work would last longer than MaxDuration
	TooLate                    // FinishBy cannot be met
	TooMany                    // MaxTurns turns are not over
	WrongPhase                 // the turn is in another phase
	WrongRound                 // the turn was revoked and prepared again, or not prepared yet
	TooEarly                   // NotBefore has not passed
	TooManyFailed              // T3
	NoRoom                     // T1
	PreferredHostOut           // T4: another preferred host of one of the host's groups is out
	OldIncarnation             // of a node's store that a newer one has replaced
	DeclaredDead               // the node has to be admitted again first
	LacksExcludedHost          // an exclusion set without a host that is out, or not newer than the last
)

// RefusedError is a command that was refused, and why.
type RefusedError struct {
	Reason Reason
	Turn   string // may be empty, as may Host and Node
	Host   string
	Node   string
	Detail string // more about the reason; may be empty
}

var reasonTexts = [...]string{"accepted", "the command is invalid", "no such turn", "no such host in the fleet",
	"no such node at this site", "no such exclusion set", "the host has a turn already", "the turn's ID is in use for another host",
	"the work would last too long", "it cannot be finished in time", "too many turns wait", "the turn is in another phase",
	"the turn is in another round", "it is too early", "too many hosts have failed", "no more hosts may be out",
	"another preferred host of a group is out", "the node has a newer store", "the node is declared dead",
	"the exclusion set lacks a host that is out, or is not newer than the last"}

func (r Reason) String() string { return reasonTexts[r] }

func (e *RefusedError) Error() string {
	s := e.Reason.String()
	for _, part := range [...][2]string{{"turn", e.Turn}, {"host", e.Host}, {"node", e.Node}} {
		if part[1] != "" {
			s += fmt.Sprintf(", %s %q", part[0], part[1])
		}
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}

// Action returns what an operator can do.
func (e *RefusedError) Action() string {
	switch e.Reason {
	case UnknownTurn:
		return "look up its ID in the list of turns"
	case UnknownHost:
		return "name a host that this site's nodes have in their lists"
	case UnknownNode:
		return "name a node of the site file"
	case HasTurn:
		return "use the existing turn of the host, or withdraw it first"
	case OtherHost:
		return "use another ID"
	case TooLong:
		return fmt.Sprintf("request at most %v, in several turns if necessary", MaxDuration)
	case TooLate:
		return "request it with a later deadline, or a shorter duration"
	case TooMany:
		return "withdraw turns that are not needed, or request it later"
	case WrongPhase, WrongRound:
		return "check the turn: begin only a granted one, report done only one that has begun, withdraw only one that has not"
	case TooEarly, NoRoom, PreferredHostOut:
		return "wait: the turn is prepared without further action"
	case TooManyFailed:
		return "repair the hosts that have failed, or raise the limit of failed hosts"
	case DeclaredDead:
		return "admit the node again once it is known to be healthy"
	case UnknownExclusionSet, OldIncarnation, LacksExcludedHost:
		return "none is needed: the leader retries with current data"
	}
	return "correct the request"
}

// The limits of a schedule.
const (
	MaxDuration = 7 * 24 * time.Hour // of one turn's work
	MaxUrgency  = 100                // and -MaxUrgency at least
	MaxTurns    = 4096               // turns that are not over
	MaxText     = 256                // bytes of a name or a reason
)
