package turns

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each of these covers one line of the schedule whose mutation no other test detects.

func TestLatestStartIsStillInTime(t *testing.T) {
	c := newFixture(t, Limits{Site: 1, Lookahead: 1})
	c.request("t0", "h0", func(a *Request) { a.FinishBy = c.now + a.Duration })
	c.settle()
	c.phases([]Phase{Preparing}, "t0")
	c.refused(WrongPhase, begin("t0")) // the nodes still send to the host
	c.grant("t0")
	c.do(begin("t0"))
}

func TestNoRecordedVersionAfterLeavingOrStoreLoss(t *testing.T) {
	c := newFixture(t, Limits{Site: 1, Lookahead: 1})
	c.request("t0", "h0")
	c.do(exclusionSet(1, nil))
	c.settle()
	assert.Zero(t, c.b.RecordedVersionIn("n1", 2), "of an incarnation that the schedule does not know")
	c.do(members("n1"), members("n1", "n2"))
	assert.Zero(t, c.b.RecordedVersion("n2"), "it may have another store by now")
	c.do(ack("n2", 2, 1), dead("n2")) // its exclusion set lacks h0
	c.grant("t0")
}

func TestMissingHostBlocksNothing(t *testing.T) {
	c := newFixture(t, Limits{Site: 2, Lookahead: 1})
	c.request("t0", "h0", func(a *Request) { a.FinishBy = c.now + 2*time.Hour })
	c.hosts[0].Failed, c.hosts[0].Banned = true, true
	c.fleet()
	c.hosts = c.hosts[1:]
	c.fleet()
	c.request("t1", "h1")
	c.settle()
	c.phases([]Phase{Requested, Preparing}, "t0", "t1") // a missing host has not failed
	c.now += 3 * time.Hour
	c.settle()
	require.Equal(t, Expired, c.turn("t0").End)
	require.Len(t, c.b.ExcludedHosts(), 1, "its ban is removed with it")

	c.grant("t1")
	c.do(begin("t1"), done("t1"))
	c.hosts[0].Failed = true
	c.fleet()
	c.refused(WrongPhase, withdraw("t1")) // the host is there and may come back
}

func TestRevocationFreesCapacityAndNoticesRepeat(t *testing.T) {
	c := newFixture(t, Limits{Site: 2, Lookahead: 2})
	c.request("t0", "h0")
	c.settle()
	c.grant("t0")
	idle := func() {
		c.now += time.Hour + 1
		notices := c.settle()
		require.Len(t, notices, 1)
		assert.Equal(t, NoticeIdle, notices[0].Kind)
	}
	idle()
	c.do(revoke("t0"))
	c.settle()
	c.grant("t0")
	idle()
	for i := range 3 {
		c.hosts[i].Banned = true
	}
	c.fleet()
	c.settle()
	c.phases([]Phase{Granted}, "t0") // it is banned: revoking its turn frees nothing
}

func TestRevokeBlockedWaitsForLivingNodes(t *testing.T) {
	c := newFixture(t, Limits{Site: 1, Lookahead: 1})
	c.request("t0", "h0")
	c.settle()
	c.do(withdraw("t0"))
	c.request("t1", "h1")
	c.settle("n2") // it has acknowledged h0
	c.request("t2", "h0")
	views := []NodeView{{Node: "n1"}, {Node: "n2", LeaseExpired: true}}
	_, revokes := c.b.RevokeBlocked(c.now+time.Minute, views, time.Minute)
	assert.False(t, revokes)
	_, revokes = c.b.RevokeBlocked(c.now+time.Minute+1, views, time.Minute)
	assert.True(t, revokes)
	c.do(dead("n2"))
	_, revokes = c.b.RevokeBlocked(c.now+time.Hour, views, time.Minute)
	assert.False(t, revokes, "it blocks nothing any more")
}

func TestValueLeavesItsStepByAThird(t *testing.T) {
	for value, step := range map[float64]int{5.9: 2, 6: 3, 7: 3, 10: 3, 21: 3, 21.4: 4, 0: minStep} {
		assert.Equal(t, step, moveStep(3, value), value)
	}
}
