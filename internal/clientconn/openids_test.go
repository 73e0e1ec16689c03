package clientconn

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/handover"
)

// process holds the open ids of one of several processes of a node, which share a directory.
type process struct {
	openIDs
	store *handover.Store
}

func startProcess(t *testing.T, dir string) *process {
	t.Helper()
	store, _, err := handover.Join(slog.New(slog.DiscardHandler), dir, "n", func(handover.State) {})
	require.NoError(t, err)
	t.Cleanup(store.Leave)
	return &process{openIDs{counts: map[string]int{}, locks: store.IDLocks()}, store}
}

// A new process served a request under the id of one that waited in the old process, since each knew its own ids alone.
func TestAnIDIsOpenInAllProcessesOfANode(t *testing.T) {
	const id = "9b1f"
	for name, play := range map[string]func(t *testing.T, old, next, third *process){
		"it waits in the old process": func(t *testing.T, old, next, third *process) {
			require.True(t, old.claim(id))
			assert.False(t, old.claim(id))
			assert.False(t, next.claim(id))
			assert.False(t, third.claim(id))
			assert.True(t, next.claim("7f3a"), "another id is free")
			old.release(id)
			assert.True(t, next.claim(id))
		},
		"it waits in the new process": func(t *testing.T, old, next, _ *process) {
			require.True(t, next.claim(id))
			assert.False(t, old.claim(id))
			next.release(id)
			assert.True(t, old.claim(id))
		},
		"its connection is handed over": func(t *testing.T, old, next, third *process) {
			require.True(t, old.claim(id))
			assert.False(t, next.claim(id), "on its way")
			next.adopt(id)
			old.release(id)
			assert.False(t, old.claim(id))
			assert.False(t, next.claim(id))
			third.adopt(id)
			next.release(id)
			assert.False(t, next.claim(id), "it was handed over twice")
			third.release(id)
			assert.True(t, old.claim(id))
		},
		"it is handed over by a version that does not lock ids, and open here": func(t *testing.T, old, next, _ *process) {
			require.True(t, next.claim(id))
			next.adopt(id)
			next.release(id)
			assert.False(t, next.claim(id), "the other connection goes on")
			assert.False(t, old.claim(id))
			next.release(id)
			assert.True(t, old.claim(id))
		},
		"the old process ends": func(t *testing.T, old, next, _ *process) {
			require.True(t, old.claim(id))
			old.store.Leave()
			assert.True(t, next.claim(id))
		},
		"it was used up": func(t *testing.T, old, next, _ *process) {
			require.True(t, old.claim(id))
			old.retire(id)
			assert.False(t, next.claim(id))
			for i := range maxRetiredIDs {
				require.True(t, old.claim(fmt.Sprint(i)))
				old.retire(fmt.Sprint(i))
			}
			assert.True(t, next.claim(id), "the shared state has told it meanwhile")
			assert.False(t, next.claim("0"))
		},
		"the upgrade is aborted": func(t *testing.T, old, next, _ *process) {
			require.True(t, old.claim(id))
			next.adopt(id)
			next.store.Leave()
			assert.False(t, old.claim(id))
			old.release(id)
			assert.True(t, old.claim(id))
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			play(t, startProcess(t, dir), startProcess(t, dir), startProcess(t, dir))
		})
	}
}
