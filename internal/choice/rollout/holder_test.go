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

func sound(Hash) error { return nil }

func TestATrialLapsesInSilence(t *testing.T) {
	h := NewHolder(Stored{Good: "g"}, 3, time.Minute, 0)
	trial := Assignment{Round: 4, Policy: "t", Good: "g", Trial: true, Lease: time.Minute}
	require.True(t, h.Answer(trial, 10*time.Second, sound))
	assert.Equal(t, Hash("t"), h.Policy())
	assert.False(t, h.Answer(trial, 40*time.Second, sound), "renewed")
	assert.False(t, h.Answer(trial, 20*time.Second, sound), "a late answer shortens nothing")
	changed, next := h.Lapse(99 * time.Second)
	assert.False(t, changed)
	assert.Equal(t, 100*time.Second, next, "the lease counts from the question")
	changed, _ = h.Lapse(100 * time.Second)
	assert.True(t, changed)
	assert.Equal(t, Hash("g"), h.Policy())
	assert.Equal(t, Seen{Node: "n", Round: 4, Policy: "g", Fell: Silence}, h.Seen("n"))
	assert.False(t, h.Answer(trial, 40*time.Second, sound), "the same word once more, of a site that is cut off")
	assert.False(t, h.Answer(Assignment{Round: 3, Policy: "old", Good: "g", Trial: true}, 101*time.Second, sound))
	assert.True(t, h.Answer(trial, 102*time.Second, sound), "it is heard again: the trial goes on")
	assert.Equal(t, Seen{Node: "n", Round: 4, Policy: "t"}, h.Seen("n"))
	assert.True(t, h.Answer(Assignment{Round: 5, Policy: "g", Good: "g"}, 103*time.Second, sound), "taken back")
	assert.Equal(t, Hash("g"), h.Policy())
}

func TestANodeFallsBackFromWhatCrashesItOrIsFaulty(t *testing.T) {
	stored := Stored{Good: "g", Trial: "t", Round: 4}
	for start := 1; start <= 3; start++ {
		h := NewHolder(stored, 3, time.Hour+time.Minute, time.Hour)
		raw := h.Stored().Encode()
		var err error
		stored, err = Read(raw)
		require.NoError(t, err)
		require.Equal(t, h.Stored(), stored)
		assert.Equal(t, start < 3, h.Policy() == "t", start)
	}
	h := NewHolder(stored, 3, time.Minute, 0)
	trial := Assignment{Round: 4, Policy: "t", Good: "g", Trial: true, Lease: time.Minute}
	h.Answer(trial, time.Second, sound)
	assert.Equal(t, Seen{Node: "n", Round: 4, Policy: "g", Fell: Crashed}, h.Seen("n"), "the same round is not tried once more")
	trial.Round = 9
	h.Answer(trial, 2*time.Second, func(Hash) error { return errors.New("faulty") })
	assert.Equal(t, Seen{Node: "n", Round: 9, Policy: "g", Fell: Faulty}, h.Seen("n"))
	h.Answer(Assignment{Round: 10, Policy: "b", Good: "b"}, 3*time.Second, func(Hash) error { return errors.New("faulty") })
	assert.Equal(t, Hash("g"), h.Policy(), "a good policy that is faulty here is not taken over")
	for _, bad := range []string{"", "x", string(stored.Encode()[:40]), holderHead + `{"good":"g","more":1}` + endMark} {
		_, err := Read([]byte(bad))
		var u *Unread
		require.ErrorAs(t, err, &u, bad)
		assert.NotEmpty(t, u.Action())
	}
}

// TestAStartPastTheLeaseGoesByTheGoodPolicy from its first moment; the trial is taken again once the top is heard, and starts count on.
func TestAStartPastTheLeaseGoesByTheGoodPolicy(t *testing.T) {
	trial := Assignment{Round: 4, Policy: "t", Good: "g", Trial: true, Lease: time.Minute}
	h := NewHolder(Stored{Good: "g"}, 3, 0, 0)
	require.True(t, h.Answer(trial, time.Second, sound))
	stored, until := h.Stored(), h.StoredUntil()
	require.Equal(t, 61*time.Second, until)

	h = NewHolder(stored, 3, until, 60*time.Second)
	assert.Equal(t, Hash("t"), h.Policy())
	changed, _ := h.Lapse(61 * time.Second)
	assert.True(t, changed, "the start begins no lease of its own")

	h = NewHolder(stored, 3, until, 61*time.Second)
	assert.Equal(t, Seen{Node: "n", Round: 4, Policy: "g", Fell: Silence}, h.Seen("n"))
	assert.Zero(t, h.Starts(), "of the good policy")
	require.True(t, h.Answer(trial, 62*time.Second, sound))
	assert.Equal(t, Seen{Node: "n", Round: 4, Policy: "t"}, h.Seen("n"))
	assert.Equal(t, 1, h.Starts())
	assert.Equal(t, Crashed, NewHolder(h.Stored(), 2, h.StoredUntil(), 63*time.Second).Seen("n").Fell)
}

// TestTheStoredEndIsNeverLate and at most half a lease early, and few writes keep it so.
func TestTheStoredEndIsNeverLate(t *testing.T) {
	trial := Assignment{Round: 4, Policy: "t", Good: "g", Trial: true, Lease: time.Minute}
	h := NewHolder(Stored{Good: "g"}, 3, 0, 0)
	writes := 0
	for asked := time.Duration(0); asked < 10*time.Minute; asked += time.Second {
		if h.Answer(trial, asked, sound) {
			writes++
		}
		assert.LessOrEqual(t, h.StoredUntil(), h.Until())
		assert.GreaterOrEqual(t, h.StoredUntil(), h.Until()-30*time.Second)
	}
	assert.Equal(t, 20, writes, "one each half lease, and the first")
	trial.Lease = time.Second
	require.True(t, h.Answer(trial, 10*time.Minute, sound))
	assert.Equal(t, 601*time.Second, h.StoredUntil(), "a shorter lease is stored at once")
}

// outliving plays restarts, words of the top of any age and silence in an order from a seed. It returns when a node went by a trial once
// the lease of the newest word was over, or was back although less than half of it was; "" for neither. A plant is a fault of the caller.
func outliving(seed uint64, plant string) string {
	r := rand.New(rand.NewPCG(seed, 7))
	ms := func(n int) time.Duration { return time.Duration(r.IntN(n)) * time.Millisecond }
	now, heard, lease := time.Hour, time.Duration(0), time.Duration(0) // heard: the newest word that was taken
	h := NewHolder(Stored{Good: "g"}, 1<<30, 0, now)
	stored, until := h.Stored(), h.StoredUntil()
	for i := range 3000 {
		now += ms(400)
		switch k := r.IntN(10); {
		case k == 0: // the process is down for a while, and starts again
			now += ms([]int{1, 500, 3000}[r.IntN(3)])
			if plant == "start" {
				until = now + lease
			}
			h = NewHolder(stored, 1<<30, until, now)
			stored, until = h.Stored(), h.StoredUntil()
			if early := stored.Trial == "" && now < heard+lease/2; early && stored.Fell == Silence {
				return fmt.Sprintf("step %d: back %v after the top was heard, with a lease of %v", i, now-heard, lease)
			}
		case k < 5: // an answer, to a question of a while ago, with a word that is older than that
			a := Assignment{Round: 4, Policy: "t", Good: "g", Trial: true, Lease: time.Duration(1+r.IntN(2)) * time.Second}
			word := now - ms(900)
			was := h.asked
			if h.Answer(a, word, sound) {
				stored, until = h.Stored(), h.StoredUntil()
			}
			if h.asked != was || word == was {
				heard, lease = word, a.Lease
			}
		default:
			if changed, _ := h.Lapse(now); changed {
				stored, until = h.Stored(), h.StoredUntil()
			}
		}
		h.Lapse(now) // the loop sees to the end of the lease by itself
		if h.Policy() == "t" && now >= heard+lease {
			return fmt.Sprintf("step %d: goes by a trial %v after the top was heard, with a lease of %v", i, now-heard, lease)
		}
	}
	return ""
}

func TestUnderNoOrderOfRestartsDoesATrialOutliveItsLease(t *testing.T) {
	for seed := range uint64(300) {
		require.Empty(t, outliving(seed, ""), "seed %d", seed)
	}
	found := false
	for seed := uint64(0); seed < 300 && !found; seed++ {
		found = outliving(seed, "start") != ""
	}
	assert.True(t, found, "a lease that begins at a start is found")
}
