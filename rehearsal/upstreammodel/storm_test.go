package upstreammodel

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReconnectStormIsServedInTurns runs 12 sites with 200 writes each. The full size, 35 sites with 10,000 writes:
//
//	UPSTREAM_STORM=35x10000 go test -run Storm -v -timeout 30m ./rehearsal/upstreammodel
func TestReconnectStormIsServedInTurns(t *testing.T) {
	s := ReconnectStorm{Sites: 12, Writes: 200, Seed: 1}
	if size := os.Getenv("UPSTREAM_STORM"); size != "" {
		_, err := fmt.Sscanf(size, "%dx%d", &s.Sites, &s.Writes)
		require.NoError(t, err)
	}
	got, err := s.Replay()
	require.NoError(t, err)
	t.Logf("with credits: %v", got)
	plain, err := s.Plain()
	require.NoError(t, err)
	t.Logf("plain: %v", plain)
	assert.True(t, got.Converged)
	assert.Less(t, got.LoadedP99, 2*got.UsualP99)
	assert.Equal(t, got.Written-got.Merged, got.Applied)
	assert.Equal(t, got.Applied, got.Receipts)
	assert.Zero(t, got.OutOfOrder+got.AppliedTwice+got.WronglyOverwritten+got.DroppedSilently)
	assert.NotZero(t, plain.OutOfOrder, "the plain protocol shows no fault to compare with")
	assert.NotZero(t, plain.AppliedTwice)
	assert.NotZero(t, plain.DroppedSilently)
	assert.Greater(t, plain.LoadedP99, 2*plain.UsualP99)
}
