package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lichenhitch/internal/boottime"
)

// TestAStoredLeaseIsTakenUpOnlyWhereItsEndIsSure: else it counts as over.
func TestAStoredLeaseIsTakenUpOnlyWhereItsEndIsSure(t *testing.T) {
	const lease = time.Minute
	now, boot := 1000*time.Hour, boottime.Moment{Boot: "b", At: 7 * time.Hour}
	stored := leaseEndToStore(now+lease/2, now, boot)
	for name, test := range map[string]struct {
		stored, boot boottime.Moment
		want         time.Duration
	}{
		"at once":                      {stored, boot, now + lease/2},
		"20 s later":                   {stored, boot.Add(20 * time.Second), now + lease/2 - 20*time.Second},
		"once it is over":              {stored, boot.Add(lease), now - lease/2},
		"after another boot":           {stored, boottime.Moment{Boot: "c", At: time.Minute}, 0},
		"a clock that cannot be read":  {stored, boottime.Moment{}, 0},
		"stored without a clock":       {leaseEndToStore(now+lease/2, now, boottime.Moment{}), boot, 0},
		"stored by an earlier version": {boottime.Moment{}, boot, 0},
		"further off than a lease":     {stored, boot.Add(-lease), 0},
		"no lease":                     {leaseEndToStore(0, now, boot), boot, 0},
	} {
		assert.Equal(t, test.want, leaseEndFromStore(test.stored, lease, now, test.boot), name)
	}
}

// TestNoStepOfTheSystemsTimeMakesALeaseLonger: the node's time begins at the system's time of each start, which may have been set back.
func TestNoStepOfTheSystemsTimeMakesALeaseLonger(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	any := func() time.Duration { return time.Duration(r.Int64N(int64(time.Hour))) }
	for range 1000 {
		lease, boot, now := time.Minute, boottime.Moment{Boot: "b", At: any()}, 100*time.Hour+any()
		left := any() % lease
		stored := leaseEndToStore(now+left, now, boot)
		down, step := any()/30, any()-30*time.Minute
		end := leaseEndFromStore(stored, lease, now+down+step, boot.Add(down))
		assert.Equal(t, left-down, end-(now+down+step))
	}
}

func TestTheClockOfTheBootGoesOn(t *testing.T) {
	first, err := boottime.Now()
	assert.NoError(t, err)
	second, err := boottime.Now()
	assert.NoError(t, err)
	passed, same := first.Until(second)
	assert.True(t, same)
	assert.GreaterOrEqual(t, passed, time.Duration(0))
}
