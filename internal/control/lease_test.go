package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lichenhitch/internal/boottime"
)

// If the end of a stored lease is not certain, the lease counts as expired.
func TestStoredLeaseIsRestoredOnlyIfItsEndIsCertain(t *testing.T) {
	const lease = time.Minute
	now, boot := 1000*time.Hour, boottime.Moment{Boot: "b", At: 7 * time.Hour}
	stored := leaseEndToStore(now+lease/2, now, boot)
	for name, test := range map[string]struct {
		stored, boot boottime.Moment
		want         time.Duration
	}{
		"at once":                      {stored, boot, now + lease/2},
		"20 s later":                   {stored, boot.Add(20 * time.Second), now + lease/2 - 20*time.Second},
		"after it has expired":         {stored, boot.Add(lease), now - lease/2},
		"after another boot":           {stored, boottime.Moment{Boot: "c", At: time.Minute}, 0},
		"boot clock not readable":      {stored, boottime.Moment{}, 0},
		"stored without boot clock":    {leaseEndToStore(now+lease/2, now, boottime.Moment{}), boot, 0},
		"stored by an earlier version": {boottime.Moment{}, boot, 0},
		"more than a lease remains":    {stored, boot.Add(-lease), 0},
		"no lease":                     {leaseEndToStore(0, now, boot), boot, 0},
	} {
		assert.Equal(t, test.want, leaseEndFromStore(test.stored, lease, now, test.boot), name)
	}
}

// The node's time starts at the system time of each start of the process, which may have been set back or forward in between.
// The remaining time of a stored lease must not depend on that.
func TestSystemClockStepDoesNotExtendLease(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	randomDuration := func() time.Duration { return time.Duration(r.Int64N(int64(time.Hour))) }
	for range 1000 {
		lease, boot, now := time.Minute, boottime.Moment{Boot: "b", At: randomDuration()}, 100*time.Hour+randomDuration()
		left := randomDuration() % lease
		stored := leaseEndToStore(now+left, now, boot)
		downtime, clockStep := randomDuration()/30, randomDuration()-30*time.Minute
		end := leaseEndFromStore(stored, lease, now+downtime+clockStep, boot.Add(downtime))
		assert.Equal(t, left-downtime, end-(now+downtime+clockStep))
	}
}

func TestBootClockAdvances(t *testing.T) {
	first, err := boottime.Now()
	assert.NoError(t, err)
	second, err := boottime.Now()
	assert.NoError(t, err)
	passed, same := first.Until(second)
	assert.True(t, same)
	assert.GreaterOrEqual(t, passed, time.Duration(0))
}
