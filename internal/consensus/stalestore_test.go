package consensus

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// When the processes of the other seats end and start again: between the copy of a store and its return.
const (
	atCopy       = "after the copy"
	atNewEntries = "after more was agreed on"
	atKill       = "after the seat's end"
	atElection   = "after the next election"
)

// Which of them do.
const (
	noReplica   = "nobody"
	nextReplica = "the next seat"
	lastReplica = "the last seat"
	oneByOne    = "both, one after the other"
	allAtOnce   = "both at once"
)

// forgetting is an older store that comes back to a council of three, whose other seats start anew meanwhile.
type staleStoreScenario struct {
	wasLeader, verified  bool // the seat with the older store led; processes that start anew need no others' word
	restartAt, restarted string
}

// play plays one and returns the process with the older store.
func (f staleStoreScenario) run(t *testing.T, seed uint64) (*cluster, *process) {
	const settle = 60 // ticks
	cl := newNet(t, seed, 3)
	cl.commitEntry()
	cl.awaitConverged()
	id := cl.leader().id
	if !f.wasLeader {
		id = id%3 + 1
	}
	others := map[string][]ReplicaID{noReplica: nil, nextReplica: {id%3 + 1}, lastReplica: {(id+1)%3 + 1}, oneByOne: {id%3 + 1, (id+1)%3 + 1}, allAtOnce: {id%3 + 1, (id+1)%3 + 1}}
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
	cl.queue = nil // what it said last reaches nobody
	restart(atKill)
	if f.restartAt == atElection {
		cl.ticks(settle)
		restart(atElection)
	}
	p := cl.restart(id, &oldStore)
	cl.ticks(2 * settle)
	return cl, p
}

// TestAnOlderStoreIsRefusedWhileAnySeatRunsOnThatHeardOfIt: what the leader alone had heard went with its process.
func TestAnOlderStoreIsRefusedWhileAnySeatRunsOnThatHeardOfIt(t *testing.T) {
	forEachSeed(t, 10, func(t *testing.T, seed uint64) {
		for _, restartAt := range []string{atCopy, atNewEntries, atKill, atElection} {
			for _, restarted := range []string{noReplica, nextReplica, lastReplica, oneByOne, allAtOnce} {
				for _, wasLeader := range []bool{false, true} {
					for _, verified := range []bool{false, true} {
						f := staleStoreScenario{wasLeader, verified, restartAt, restarted}
						cl, p := f.run(t, seed)
						if restarted == allAtOnce && (restartAt == atKill || restartAt == atElection) {
							assert.NoError(t, p.refused, "%+v: nobody is left who heard of it", f)
							cl.commitEntry() // and nothing that was agreed on is lost: see net.drive
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
