package consensus

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// When the processes of the other replicas stop and restart, between the copy of a store and its return.
const (
	atCopy       = "after the copy"
	atNewEntries = "after more entries were committed"
	atKill       = "after the replica's process was killed"
	atElection   = "after the next election"
)

// Which of the other replicas restart.
const (
	noReplica   = "none"
	nextReplica = "the next replica"
	lastReplica = "the last replica"
	oneByOne    = "both, one after the other"
	allAtOnce   = "both at once"
)

// staleStoreScenario is a stale store that returns to a group of three, whose other replicas restart meanwhile.
type staleStoreScenario struct {
	wasLeader, verified  bool // the replica with the stale store was the leader; restarting processes need no confirmation
	restartAt, restarted string
}

// run runs the scenario and returns the cluster and the process with the stale store.
func (f staleStoreScenario) run(t *testing.T, seed uint64) (*cluster, *process) {
	const settle = 60 // ticks
	cl := newCluster(t, seed, 3)
	cl.commitEntry()
	cl.awaitConverged()
	id := cl.leader().id
	if !f.wasLeader {
		id = id%3 + 1
	}
	others := map[string][]ReplicaID{noReplica: nil, nextReplica: {id%3 + 1}, lastReplica: {(id+1)%3 + 1},
		oneByOne: {id%3 + 1, (id+1)%3 + 1}, allAtOnce: {id%3 + 1, (id+1)%3 + 1}}
	restart := func(when string) {
		if f.restartAt != when {
			return
		}
		if f.restarted == allAtOnce {
			for _, other := range others[f.restarted] {
				cl.kill(cl.processOf(other))
			}
			cl.queue = nil
		}
		for _, other := range others[f.restarted] {
			if f.restarted != allAtOnce {
				cl.ticks(settle)
				cl.kill(cl.processOf(other))
			}
			cl.start(other, cl.stores[other], nil, f.verified)
		}
		cl.ticks(settle)
	}
	oldStore := cl.stores[id].copy()
	restart(atCopy)
	cl.commitEntry()
	cl.awaitConverged()
	restart(atNewEntries)
	cl.ticks(settle) // heartbeats
	cl.kill(cl.processOf(id))
	cl.queue = nil // its last messages are lost
	restart(atKill)
	if f.restartAt == atElection {
		cl.ticks(settle)
		restart(atElection)
	}
	p := cl.restart(id, &oldStore)
	cl.ticks(2 * settle)
	return cl, p
}

// What only the leader had observed was lost with its process, so that a stale store was accepted: observations must be
// relayed to the other replicas.
func TestAStaleStoreIsRefusedWhileAnyReplicaRunsThatKnowsOfIt(t *testing.T) {
	forEachSeed(t, 10, func(t *testing.T, seed uint64) {
		for _, restartAt := range []string{atCopy, atNewEntries, atKill, atElection} {
			for _, restarted := range []string{noReplica, nextReplica, lastReplica, oneByOne, allAtOnce} {
				for _, wasLeader := range []bool{false, true} {
					for _, verified := range []bool{false, true} {
						f := staleStoreScenario{wasLeader, verified, restartAt, restarted}
						cl, p := f.run(t, seed)
						if restarted == allAtOnce && (restartAt == atKill || restartAt == atElection) {
							assert.NoError(t, p.refused, "%+v: no replica is left that knows of it", f)
							cl.commitEntry() // and no committed entry is lost: see cluster.drive
							cl.awaitConverged()
							continue
						}
						require.Error(t, p.refused, "%+v", f)
						assert.ErrorAs(t, p.refused, new(*StaleStoreError), "%+v", f)
					}
				}
			}
		}
	})
}
