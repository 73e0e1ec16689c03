package processes

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lichenhitch/internal/consensus/store"
	"lichenhitch/internal/peer/peerpb"
)

// storedState is the part of a node's store that other nodes may know of: its replica's Raft state, and its send lease as
// last received.
type storedState struct {
	hardState *raftpb.HardState
	lastIndex uint64 // index of the last entry of the log
	sendLease []byte
}

// termAndVote returns the term and the vote in it.
func (k storedState) termAndVote() [2]uint64 {
	return [2]uint64{k.hardState.GetTerm(), k.hardState.GetVote()}
}

func (k storedState) String() string {
	return fmt.Sprintf("term %d, vote %x, committed %d, last index %d",
		k.hardState.GetTerm(), k.hardState.GetVote(), k.hardState.GetCommit(), k.lastIndex)
}

// readStore reads a store of this node from a copy, so that the store itself does not change.
func (n *Node) readStore(folder string) storedState {
	n.t.Helper()
	const file = "council.db"
	copied := n.t.TempDir()
	require.NoError(n.t, os.CopyFS(copied, os.DirFS(folder)))
	s, stored, err := store.Open(filepath.Join(copied, file), store.Identity{Site: n.w.siteOf[n.Name].Name, Node: n.Name})
	require.NoError(n.t, err)
	defer s.Close()
	sendLease, err := s.Get("right", "saved")
	require.NoError(n.t, err)
	lastIndex := stored.Applied
	if n := len(stored.Entries); n > 0 {
		lastIndex = stored.Entries[n-1].GetIndex()
	}
	return storedState{stored.HardState, lastIndex, sendLease}
}

// storeGap is what a copy of a store lacks.
type storeGap uint8

const (
	missingNothing storeGap = iota // the copy equals the store in all that storedState holds
	// missingConfirmation: the copy lacks a newer state of the node's send lease, a newer commit index, or a term in which
	// it did not vote. The node may not have reported any of these to others, so that they need not refuse the copy; the
	// leader's first response makes the node current again.
	missingConfirmation
	missingPromise // a vote or a part of the log: the other replicas refuse the copy
)

func (g storeGap) String() string {
	return [...]string{"nothing", "a confirmation that it received", "a promise"}[g]
}

// missingInCopy returns what a copy of the store lacks.
func (n *Node) missingInCopy(copied string) (missing storeGap) {
	older, newer := n.readStore(copied), n.readStore(n.StoreDir())
	switch {
	case older.lastIndex != newer.lastIndex || newer.hardState.GetVote() != 0 && older.termAndVote() != newer.termAndVote():
		missing = missingPromise
	case !proto.Equal(older.hardState, newer.hardState) || !bytes.Equal(older.sendLease, newer.sendLease):
		missing = missingConfirmation
	}
	n.w.t.Logf("the copy of the store of %s had %v; the store has %v; the copy lacks %v", n.Name, older, newer, missing)
	return missing
}

// hasSendLease reports whether the current process has a send lease: its leader has answered it and sent it the excluded
// hosts.
func (n *Node) hasSendLease() bool {
	ctx, cancel := context.WithTimeout(n.w.ctx, statusTimeout)
	defer cancel()
	var turns peerpb.TurnsReply
	return n.OperatorAddr() != "" && n.callLocal(ctx, "Turns", &turns) == nil && turns.GetSeat().GetRightMs() > 0
}
