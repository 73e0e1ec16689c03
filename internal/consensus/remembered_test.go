package consensus

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// When the processes of the other seats end and start again: between the copy of a store and its return.
const (
	afterCopy     = "after the copy"
	afterEntries  = "after more was agreed on"
	afterKill     = "after the seat's end"
	afterElection = "after the next election"
)

// Which of them do.
const (
	nobody    = "nobody"
	next      = "the next seat"
	last      = "the last seat"
	inTurn    = "both, one after the other"
	allAtOnce = "both at once"
)

// forgetting is an older store that comes back to a council of three, whose other seats start anew meanwhile.
type forgetting struct {
	leads, proven bool // the seat with the older store led; processes that start anew need no others' word
	when, who     string
}

// play plays one and returns the process with the older store.
func (f forgetting) play(t *testing.T, seed uint64) (*net, *process) {
	const settle = 60 // ticks
	w := newNet(t, seed, 3)
	w.agree()
	w.same()
	id := w.leader().id
	if !f.leads {
		id = id%3 + 1
	}
	others := map[string][]SeatID{nobody: nil, next: {id%3 + 1}, last: {(id+1)%3 + 1}, inTurn: {id%3 + 1, (id+1)%3 + 1}, allAtOnce: {id%3 + 1, (id+1)%3 + 1}}
	at := func(when string) {
		if f.when != when {
			return
		}
		if f.who == allAtOnce {
			for _, other := range others[f.who] {
				w.kill(w.of(other))
			}
			w.queue = nil
		}
		for _, other := range others[f.who] {
			if f.who != allAtOnce {
				w.steps(settle)
				w.kill(w.of(other))
			}
			w.start(other, w.disks[other], nil, f.proven)
		}
		w.steps(settle)
	}
	older := w.disks[id].copy()
	at(afterCopy)
	w.agree()
	w.same()
	at(afterEntries)
	w.steps(settle) // heartbeats
	w.kill(w.of(id))
	w.queue = nil // what it said last reaches nobody
	at(afterKill)
	if f.when == afterElection {
		w.steps(settle)
		at(afterElection)
	}
	p := w.restart(id, &older)
	w.steps(2 * settle)
	return w, p
}

// TestAnOlderStoreIsRefusedWhileAnySeatRunsOnThatHeardOfIt: what the leader alone had heard went with its process.
func TestAnOlderStoreIsRefusedWhileAnySeatRunsOnThatHeardOfIt(t *testing.T) {
	seeded(t, 10, func(t *testing.T, seed uint64) {
		for _, when := range []string{afterCopy, afterEntries, afterKill, afterElection} {
			for _, who := range []string{nobody, next, last, inTurn, allAtOnce} {
				for _, leads := range []bool{false, true} {
					for _, proven := range []bool{false, true} {
						f := forgetting{leads, proven, when, who}
						w, p := f.play(t, seed)
						if who == allAtOnce && (when == afterKill || when == afterElection) {
							assert.NoError(t, p.refused, "%+v: nobody is left who heard of it", f)
							w.agree() // and nothing that was agreed on is lost: see net.drive
							w.same()
							continue
						}
						require.Error(t, p.refused, "%+v", f)
						assert.ErrorAs(t, p.refused, new(*OldStoreError), "%+v", f)
					}
				}
			}
		}
	})
}
