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

// kept is what a node's store has that others may have heard of: its seat's state, and its right as it was told last.
type kept struct {
	hard  *raftpb.HardState
	last  uint64 // the index of the log's last entry
	right []byte
}

// voted is the vote with its term.
func (k kept) voted() [2]uint64 { return [2]uint64{k.hard.GetTerm(), k.hard.GetVote()} }

func (k kept) String() string {
	return fmt.Sprintf("term %d, vote %x, agreed on %d, log to %d", k.hard.GetTerm(), k.hard.GetVote(), k.hard.GetCommit(), k.last)
}

// read reads a store of this node without a change to it: from a copy.
func (n *Node) read(folder string) kept {
	n.t.Helper()
	const file = "council.db"
	copied := n.t.TempDir()
	require.NoError(n.t, os.CopyFS(copied, os.DirFS(folder)))
	s, d, err := store.Open(filepath.Join(copied, file), store.Identity{Site: n.w.siteOf[n.Name].Name, Node: n.Name})
	require.NoError(n.t, err)
	defer s.Close()
	right, err := s.Get("right", "saved")
	require.NoError(n.t, err)
	last := d.Applied
	if n := len(d.Entries); n > 0 {
		last = d.Entries[n-1].GetIndex()
	}
	return kept{d.HardState, last, right}
}

// gap is what a copy of a store lacks.
type gap uint8

const (
	lacksNothing gap = iota // it is the store
	// lacksWord: a word on the node's right, that an entry it has is agreed on, or a term in which it voted for nobody. It may have told
	// nobody, so that a refusal is not owed; its leader makes it good with its first answer.
	lacksWord
	lacksPromise // a vote, or a part of the log: the other seats refuse it
)

func (g gap) String() string {
	return [...]string{"nothing", "a word that was given to it", "a promise"}[g]
}

// lacks returns what a copy of the store lacks that the store has.
func (n *Node) lacks(copied string) (g gap) {
	older, newer := n.read(copied), n.read(n.StoreDir())
	switch {
	case older.last != newer.last || newer.hard.GetVote() != 0 && older.voted() != newer.voted():
		g = lacksPromise
	case !proto.Equal(older.hard, newer.hard) || !bytes.Equal(older.right, newer.right):
		g = lacksWord
	}
	n.w.t.Logf("the copy of the store of %s had %v; the store has %v; the copy lacks %v", n.Name, older, newer, g)
	return g
}

// hasRight says whether the present process has a right to send: its leader has answered it, and told what is out.
func (n *Node) hasRight() bool {
	ctx, cancel := context.WithTimeout(n.w.ctx, statusTimeout)
	defer cancel()
	var turns peerpb.TurnsReply
	return n.Desk() != "" && n.callLocal(ctx, "Turns", &turns) == nil && turns.GetSeat().GetRightMs() > 0
}
