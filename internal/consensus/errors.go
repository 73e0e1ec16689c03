package consensus

import "fmt"

// NotLeaderError says that this replica is not the leader, or has not applied all entries of earlier terms yet.
type NotLeaderError struct{ Leader ReplicaID } // 0: none known

func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "consensus: no leader is known"
	}
	return fmt.Sprintf("consensus: replica %x is the leader", uint64(e.Leader))
}

// Action says what an operator can do.
func (e *NotLeaderError) Action() string {
	return "ask the leader; while none is known, check that a majority of the site's nodes with a replica run and reach each other"
}

// BusyError says that raft accepts no more for now: too much is uncommitted, or another configuration change is in
// progress.
type BusyError struct{}

func (e *BusyError) Error() string { return "consensus: raft accepts no more proposals for now" }

// Action says what an operator can do.
func (e *BusyError) Action() string {
	return "try again when the entries and changes in progress are committed"
}

// MessageError says that a received message is not one that replicas send to each other.
type MessageError struct{ Why string }

func (e *MessageError) Error() string { return "consensus: invalid message: " + e.Why }

// Action says what an operator can do.
func (e *MessageError) Action() string {
	return "check that only nodes of this site call the peer address, and that all run the same release"
}

// InvalidStateError says that raft found its own state to be inconsistent. The replica stops for good.
type InvalidStateError struct{ What string }

func (e *InvalidStateError) Error() string { return "consensus: raft state is inconsistent: " + e.What }

// Action says what an operator can do.
func (e *InvalidStateError) Action() string {
	return "stop the node, put its store aside, start it with an empty one and take its new replica in; keep the old store for analysis"
}

// NotMemberError says that a replica is not a member of the group: its store is new, or it was removed.
type NotMemberError struct{ Replica ReplicaID }

func (e *NotMemberError) Error() string {
	return fmt.Sprintf("consensus: replica %x is not a member of the group", uint64(e.Replica))
}

// Action says what an operator can do.
func (e *NotMemberError) Action() string {
	return "if the node is new or lost its store, take its replica in, and take the replica of its former store out"
}

// StaleStoreError says that a replica's store is behind what the replica reported before: it was restored from a copy.
type StaleStoreError struct {
	Replica ReplicaID
	Why     string
}

func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("consensus: the store of replica %x is an older one, restored from a copy: %s", uint64(e.Replica), e.Why)
}

// Action says what an operator can do.
func (e *StaleStoreError) Action() string {
	return "stop the node, put its store aside, start it with an empty one and take its new replica in"
}

// CopiedStoreError says that two processes run with copies of the same store.
type CopiedStoreError struct {
	Replica ReplicaID
	RunIDs  [2]uint64
}

func (e *CopiedStoreError) Error() string {
	return fmt.Sprintf("consensus: two processes run with the store of replica %x: run IDs %x and %x", uint64(e.Replica), e.RunIDs[0], e.RunIDs[1])
}

// Action says what an operator can do.
func (e *CopiedStoreError) Action() string {
	return "stop both nodes; put both stores aside, start each node with an empty one and take their new replicas in"
}

// RefusedError says that the other replicas refused this replica's store. The refusal survives restarts.
type RefusedError struct{ Why string }

func (e *RefusedError) Error() string {
	return "consensus: the other replicas refused this store: " + e.Why
}

// Action says what an operator can do.
func (e *RefusedError) Action() string {
	return "stop the node, put its store aside, start it with an empty one and take its new replica in"
}

// LateMessageError says that a message comes from the process that ran before the replica's current one.
type LateMessageError struct{ Replica ReplicaID }

func (e *LateMessageError) Error() string {
	return fmt.Sprintf("consensus: late message of replica %x, sent before it restarted", uint64(e.Replica))
}

// Action says what an operator can do.
func (e *LateMessageError) Action() string { return "nothing: the message is dropped" }
