package consensus

import "fmt"

// NotLeaderError says that this seat does not lead, or has not applied yet all that was agreed on before.
type NotLeaderError struct{ Leader ReplicaID } // 0: none known

func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "council: no leader is known"
	}
	return fmt.Sprintf("council: seat %x leads", uint64(e.Leader))
}

// Action says what an operator can do.
func (e *NotLeaderError) Action() string {
	return "ask the leader; while none is known, see that a majority of the council's nodes run and reach each other"
}

// BusyError says that raft takes no more for now: too much waits for agreement, or another change of seats does.
type BusyError struct{}

func (e *BusyError) Error() string { return "council: it takes no more for now" }

// Action says what an operator can do.
func (e *BusyError) Action() string { return "try again when what is under way is agreed on" }

// MessageError says that a message is none that seats send.
type MessageError struct{ Why string }

func (e *MessageError) Error() string { return "council: a message that is none: " + e.Why }

// Action says what an operator can do.
func (e *MessageError) Action() string {
	return "see that only nodes of this site call the peer address, all of one release"
}

// BrokenError says that raft found its own state to be impossible. The seat takes no part any more.
type InvalidStateError struct{ What string }

func (e *InvalidStateError) Error() string { return "council: the seat is broken: " + e.What }

// Action says what an operator can do.
func (e *InvalidStateError) Action() string {
	return "stop the node, put its store aside, start it with an empty one and take its new seat in; keep the old store for a look"
}

// StrangerError says that a seat is not one of the council's: its store is new, or it was taken out.
type NotMemberError struct{ Replica ReplicaID }

func (e *NotMemberError) Error() string {
	return fmt.Sprintf("council: seat %x is not one of the council's", uint64(e.Replica))
}

// Action says what an operator can do.
func (e *NotMemberError) Action() string {
	return "if the node lost its store or is a new one, take its seat in, and take the seat of its former store out"
}

// OldStoreError says that a seat's store is behind what the seat has said before: it was restored from a copy.
type StaleStoreError struct {
	Replica ReplicaID
	Why     string
}

func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("council: the store of seat %x is an older one: %s", uint64(e.Replica), e.Why)
}

// Action says what an operator can do.
func (e *StaleStoreError) Action() string {
	return "stop the node, put its store aside, start it with an empty one and take its new seat in"
}

// CopiedStoreError says that two processes run with copies of one store.
type CopiedStoreError struct {
	Replica ReplicaID
	RunIDs  [2]uint64
}

func (e *CopiedStoreError) Error() string {
	return fmt.Sprintf("council: two processes run with the store of seat %x: runs %x and %x", uint64(e.Replica), e.RunIDs[0], e.RunIDs[1])
}

// Action says what an operator can do.
func (e *CopiedStoreError) Action() string {
	return "stop both nodes; put both stores aside, start each node with an empty one and take their new seats in"
}

// RefusedError says that the others refused this seat's store. It stays refused, also when the node starts anew.
type RefusedError struct{ Why string }

func (e *RefusedError) Error() string { return "council: the others refused this store: " + e.Why }

// Action says what an operator can do.
func (e *RefusedError) Action() string {
	return "stop the node, put its store aside, start it with an empty one and take its new seat in"
}

// LateError says that a message is from the process before the one that a seat runs in now.
type LateMessageError struct{ Replica ReplicaID }

func (e *LateMessageError) Error() string {
	return fmt.Sprintf("council: a late message of seat %x, from before it was started anew", uint64(e.Replica))
}

// Action says what an operator can do.
func (e *LateMessageError) Action() string { return "nothing: it is dropped" }
