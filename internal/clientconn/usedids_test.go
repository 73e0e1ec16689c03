package clientconn

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The ids that came last are remembered, in their order, and no more than a limited number.
func TestUsedIDsAreRememberedUpToALimit(t *testing.T) {
	var u usedIDs
	assert.Empty(t, u.latest(3))
	for id := range uint64(maxUsedIDs) {
		u.add(id)
	}
	assert.True(t, u.contains(0))
	assert.Equal(t, []uint64{maxUsedIDs - 2, maxUsedIDs - 1}, u.latest(2))
	u.add(maxUsedIDs)
	u.add(maxUsedIDs) // again
	assert.False(t, u.contains(0), "the oldest is forgotten")
	assert.True(t, u.contains(1))
	assert.Equal(t, []uint64{maxUsedIDs - 1, maxUsedIDs}, u.latest(2))
	assert.Len(t, u.latest(2*maxUsedIDs), maxUsedIDs)
	assert.Equal(t, uint64(1), u.latest(2 * maxUsedIDs)[0])
	assert.Len(t, u.set, maxUsedIDs)
}
