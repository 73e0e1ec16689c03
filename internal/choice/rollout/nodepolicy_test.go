package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func acceptAny(Hash) error { return nil }

func TestATrialLeaseExpires(t *testing.T) {
	h := NewNodePolicy(Stored{Good: "g"}, 3, time.Minute, 0)
	trial := Assignment{Round: 4, Policy: "t", Good: "g", Trial: true, Lease: time.Minute}
	require.True(t, h.HandleAssignment(trial, 10*time.Second, acceptAny))
	assert.Equal(t, Hash("t"), h.Policy())
	assert.False(t, h.HandleAssignment(trial, 40*time.Second, acceptAny), "a renewal changes nothing that is applied or persisted")
	assert.False(t, h.HandleAssignment(trial, 20*time.Second, acceptAny), "a late answer does not shorten the lease")
	changed, next := h.CheckLease(99 * time.Second)
	assert.False(t, changed)
	assert.Equal(t, 100*time.Second, next, "the lease starts when the request was sent")
	changed, _ = h.CheckLease(100 * time.Second)
	assert.True(t, changed)
	assert.Equal(t, Hash("g"), h.Policy())
	assert.Equal(t, NodeStatus{Node: "n", Round: 4, Policy: "g", Fallback: LeaseExpired}, h.Status("n"))
	assert.False(t, h.HandleAssignment(trial, 40*time.Second, acceptAny), "the same assignment again, from a site that is cut off")
	assert.False(t, h.HandleAssignment(Assignment{Round: 3, Policy: "old", Good: "g", Trial: true}, 101*time.Second, acceptAny))
	assert.True(t, h.HandleAssignment(trial, 102*time.Second, acceptAny), "the root site is reachable again: the trial continues")
	assert.Equal(t, NodeStatus{Node: "n", Round: 4, Policy: "t"}, h.Status("n"))
	assert.True(t, h.HandleAssignment(Assignment{Round: 5, Policy: "g", Good: "g"}, 103*time.Second, acceptAny), "rolled back")
	assert.Equal(t, Hash("g"), h.Policy())
}

func TestANodeFallsBackFromATrialThatCrashesItOrIsInvalid(t *testing.T) {
	stored := Stored{Good: "g", Trial: "t", Round: 4}
	for start := 1; start <= 3; start++ {
		h := NewNodePolicy(stored, 3, time.Hour+time.Minute, time.Hour)
		raw := h.Stored().Encode()
		var err error
		stored, err = ReadStored(raw)
		require.NoError(t, err)
		require.Equal(t, h.Stored(), stored)
		assert.Equal(t, start < 3, h.Policy() == "t", start)
	}
	h := NewNodePolicy(stored, 3, time.Minute, 0)
	trial := Assignment{Round: 4, Policy: "t", Good: "g", Trial: true, Lease: time.Minute}
	h.HandleAssignment(trial, time.Second, acceptAny)
	assert.Equal(t, NodeStatus{Node: "n", Round: 4, Policy: "g", Fallback: TooManyCrashes}, h.Status("n"),
		"the same round is not tried again")
	trial.Round = 9
	h.HandleAssignment(trial, 2*time.Second, func(Hash) error { return errors.New("faulty") })
	assert.Equal(t, NodeStatus{Node: "n", Round: 9, Policy: "g", Fallback: InvalidTrial}, h.Status("n"))
	h.HandleAssignment(Assignment{Round: 10, Policy: "b", Good: "b"}, 3*time.Second, func(Hash) error { return errors.New("faulty") })
	assert.Equal(t, Hash("g"), h.Policy(), "a good policy that the node's check rejects is not applied")
	for _, bad := range []string{"", "x", string(stored.Encode()[:40]), storedHead + `{"good":"g","more":1}` + endMark} {
		_, err := ReadStored([]byte(bad))
		var u *DecodeError
		require.ErrorAs(t, err, &u, bad)
		assert.NotEmpty(t, u.Action())
	}
}

// A process that starts after the end of the trial lease must apply the good policy from its first moment. When the root site
// is reachable again it applies the trial again, and starts continue to be counted.
func TestAStartAfterTheLeaseAppliesTheGoodPolicy(t *testing.T) {
	trial := Assignment{Round: 4, Policy: "t", Good: "g", Trial: true, Lease: time.Minute}
	h := NewNodePolicy(Stored{Good: "g"}, 3, 0, 0)
	require.True(t, h.HandleAssignment(trial, time.Second, acceptAny))
	stored, until := h.Stored(), h.StoredLeaseEnd()
	require.Equal(t, 61*time.Second, until)

	h = NewNodePolicy(stored, 3, until, 60*time.Second)
	assert.Equal(t, Hash("t"), h.Policy())
	changed, _ := h.CheckLease(61 * time.Second)
	assert.True(t, changed, "a start does not begin a new lease")

	h = NewNodePolicy(stored, 3, until, 61*time.Second)
	assert.Equal(t, NodeStatus{Node: "n", Round: 4, Policy: "g", Fallback: LeaseExpired}, h.Status("n"))
	assert.Zero(t, h.Starts(), "the good policy has no starts")
	require.True(t, h.HandleAssignment(trial, 62*time.Second, acceptAny))
	assert.Equal(t, NodeStatus{Node: "n", Round: 4, Policy: "t"}, h.Status("n"))
	assert.Equal(t, 1, h.Starts())
	assert.Equal(t, TooManyCrashes, NewNodePolicy(h.Stored(), 2, h.StoredLeaseEnd(), 63*time.Second).Status("n").Fallback)
}

// The persisted lease end must never be later than the true one and at most half a lease earlier, with few writes.
func TestTheStoredLeaseEndIsNeverLate(t *testing.T) {
	trial := Assignment{Round: 4, Policy: "t", Good: "g", Trial: true, Lease: time.Minute}
	h := NewNodePolicy(Stored{Good: "g"}, 3, 0, 0)
	writes := 0
	for asked := time.Duration(0); asked < 10*time.Minute; asked += time.Second {
		if h.HandleAssignment(trial, asked, acceptAny) {
			writes++
		}
		assert.LessOrEqual(t, h.StoredLeaseEnd(), h.LeaseEnd())
		assert.GreaterOrEqual(t, h.StoredLeaseEnd(), h.LeaseEnd()-30*time.Second)
	}
	assert.Equal(t, 20, writes, "one per half lease, and the first")
	trial.Lease = time.Second
	require.True(t, h.HandleAssignment(trial, 10*time.Minute, acceptAny))
	assert.Equal(t, 601*time.Second, h.StoredLeaseEnd(), "a shorter lease is persisted at once")
}

// trialOutlivesLease runs a random sequence, from a seed, of restarts, assignments of various ages, and losses of contact. It
// returns a message if the node applied a trial after the lease of the newest assignment had expired, or fell back at a
// start although less than half of that lease had passed; "" otherwise. injectedBug selects a bug to inject into the caller.
func trialOutlivesLease(seed uint64, injectedBug string) string {
	r := rand.New(rand.NewPCG(seed, 7))
	ms := func(n int) time.Duration { return time.Duration(r.IntN(n)) * time.Millisecond }
	now, confirmedAt, lease := time.Hour, time.Duration(0), time.Duration(0) // confirmedAt: time of the newest accepted assignment
	h := NewNodePolicy(Stored{Good: "g"}, 1<<30, 0, now)
	stored, until := h.Stored(), h.StoredLeaseEnd()
	for i := range 3000 {
		now += ms(400)
		switch k := r.IntN(10); {
		case k == 0: // the process is down for a while and restarts
			now += ms([]int{1, 500, 3000}[r.IntN(3)])
			if injectedBug == "start" {
				until = now + lease
			}
			h = NewNodePolicy(stored, 1<<30, until, now)
			stored, until = h.Stored(), h.StoredLeaseEnd()
			if early := stored.Trial == "" && now < confirmedAt+lease/2; early && stored.Fallback == LeaseExpired {
				return fmt.Sprintf("step %d: fell back %v after the assignment, with a lease of %v", i, now-confirmedAt, lease)
			}
		case k < 5: // an answer that arrives late, with an assignment that is older still
			a := Assignment{Round: 4, Policy: "t", Good: "g", Trial: true, Lease: time.Duration(1+r.IntN(2)) * time.Second}
			answered := now - ms(900)
			before := h.newestAsked
			if h.HandleAssignment(a, answered, acceptAny) {
				stored, until = h.Stored(), h.StoredLeaseEnd()
			}
			if h.newestAsked != before || answered == before {
				confirmedAt, lease = answered, a.Lease
			}
		default:
			if changed, _ := h.CheckLease(now); changed {
				stored, until = h.Stored(), h.StoredLeaseEnd()
			}
		}
		h.CheckLease(now) // the caller's loop checks the lease on its own
		if h.Policy() == "t" && now >= confirmedAt+lease {
			return fmt.Sprintf("step %d: applies a trial %v after the assignment, with a lease of %v", i, now-confirmedAt, lease)
		}
	}
	return ""
}

func TestNoSequenceOfRestartsLetsATrialOutliveItsLease(t *testing.T) {
	for seed := range uint64(300) {
		require.Empty(t, trialOutlivesLease(seed, ""), "seed %d", seed)
	}
	found := false
	for seed := uint64(0); seed < 300 && !found; seed++ {
		found = trialOutlivesLease(seed, "start") != ""
	}
	assert.True(t, found, "the injected bug, a lease that begins at a start, is detected")
}
