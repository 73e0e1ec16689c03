package handover

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func joinProcess(t *testing.T, dir string) (*Store, State, chan State) {
	t.Helper()
	states := make(chan State, 100)
	s, st, err := Join(slog.New(slog.NewTextHandler(io.Discard, nil)), dir, "a/node", func(st State) { states <- st })
	require.NoError(t, err)
	s.Watch()
	t.Cleanup(s.Leave)
	return s, st, states
}

// changeState changes the state and waits until the change is written.
func changeState(t *testing.T, s *Store, apply func(*State)) State {
	t.Helper()
	done := make(chan State)
	s.Change(apply, func(st State, err error) {
		assert.NoError(t, err)
		done <- st
	})
	return <-done
}

// waitFor waits for a notification of a state that satisfies ok.
func waitFor(states chan State, ok func(State) bool) State {
	for st := range states {
		if ok(st) {
			return st
		}
	}
	return State{}
}

// A process goes by the shortest deadline of those that replace it; one that is not ready, is earlier or does not report
// a deadline does not count.
func TestLaterDeadline(t *testing.T) {
	st := State{Processes: []Process{{Number: 1, Ready: true, LongestDeadline: 1}, {Number: 2, Ready: true, LongestDeadline: 9},
		{Number: 3, Ready: true}, {Number: 4, Ready: true, LongestDeadline: 5}, {Number: 5, LongestDeadline: 2}}}
	assert.Equal(t, time.Duration(5), st.LaterDeadline(1))
	assert.Equal(t, time.Duration(5), st.LaterDeadline(2))
	assert.Zero(t, st.LaterDeadline(4))
	assert.Zero(t, State{}.LaterDeadline(1))
}

// A drain counts from its first call, whichever process asks; a time that is missing or in the future is the present.
func TestDrainBegan(t *testing.T) {
	var st State
	st.Drain(3 * time.Second)
	st.Drain(5 * time.Second)
	assert.Equal(t, 3*time.Second, st.DrainBegan(9*time.Second))
	assert.Equal(t, 2*time.Second, st.DrainBegan(2*time.Second), "the system's time was set")
	st.Activate()
	assert.False(t, st.Draining)
	st.Drain(7 * time.Second)
	assert.Equal(t, 7*time.Second, st.DrainBegan(9*time.Second))
	assert.Equal(t, 9*time.Second, State{Draining: true}.DrainBegan(9*time.Second), "an earlier version")
}

// Used ids of all processes are kept once each, the latest of them. A process that leaves may add its last ones.
func TestUsedIDsAreSharedUpToALimit(t *testing.T) {
	dir := t.TempDir()
	first, _, states := joinProcess(t, dir)
	second, _, _ := joinProcess(t, dir)
	changeState(t, first, func(st *State) { st.AddUsedIDs([]uint64{1, 2, 1 << 63}) })
	second.LeaveAfter(func(st *State) { st.AddUsedIDs([]uint64{2, 3}) })
	st := waitFor(states, func(st State) bool { return len(st.Processes) == 1 && len(st.UsedIDs) == 4 })
	assert.Equal(t, []uint64{1, 2, 1 << 63, 3}, st.UsedIDs)
	for id := range uint64(MaxUsedIDs) {
		st.AddUsedIDs([]uint64{100 + id})
	}
	assert.Len(t, st.UsedIDs, MaxUsedIDs)
	assert.Equal(t, uint64(100), st.UsedIDs[0])
}

func TestTwoProcessesShareOneState(t *testing.T) {
	dir := t.TempDir()
	first, st, firstStates := joinProcess(t, dir)
	assert.Empty(t, st.Bans)
	changeState(t, first, func(st *State) { st.Bans["s-1"] = 5 * time.Second })

	second, st, secondStates := joinProcess(t, dir)
	assert.Equal(t, map[string]time.Duration{"s-1": 5 * time.Second}, st.Bans)
	assert.True(t, st.HasEarlier(second.Number()))
	assert.False(t, st.Superseded(first.Number()), "the second process is not ready")
	second.ChangeOwn(func(p *Process) { p.Ready, p.Descriptors = true, 7 }, func(State, error) {})
	st = waitFor(firstStates, func(st State) bool { return st.Superseded(first.Number()) })
	processes, descriptors := st.Others(first.Number())
	assert.Equal(t, [2]int{1, 7}, [2]int{processes, descriptors})
	assert.False(t, st.Superseded(second.Number()))

	changeState(t, first, func(st *State) {
		delete(st.Bans, "s-1")
		st.Draining = true
	})
	st = waitFor(secondStates, func(st State) bool { return st.Draining })
	assert.Empty(t, st.Bans)

	second.Leave()
	st = waitFor(firstStates, func(st State) bool { return !st.Superseded(first.Number()) })
	assert.Len(t, st.Processes, 1)
	assert.True(t, st.Draining)
}

// A process may first read another process's change while it writes its own. It must be notified of that change all the same.
func TestChangesOfOthersReadDuringAnOwnChangeAreNotified(t *testing.T) {
	dir := t.TempDir()
	first, _, states := joinProcess(t, dir)
	second, _, err := Join(first.log, dir, "a/node", nil)
	require.NoError(t, err)
	for i := range 20 {
		host := string(rune('a' + i))
		require.NoError(t, second.update(func(st *State) error {
			st.Bans[host] = 1
			return nil
		}))
		first.ChangeOwn(func(p *Process) { p.Descriptors = i + 1 }, func(State, error) {})
		waitFor(states, func(st State) bool { return st.Bans[host] == 1 })
	}
}

// Two processes that change the file concurrently must not overwrite each other's changes.
func TestConcurrentChangesAreKept(t *testing.T) {
	dir := t.TempDir()
	first, _, _ := joinProcess(t, dir)
	second, _, _ := joinProcess(t, dir)
	finished := make(chan bool)
	for i, s := range []*Store{first, second} {
		go func() {
			for n := range 50 {
				changeState(t, s, func(st *State) { st.Bans[string(rune('a'+i))+string(rune('0'+n))] = 1 })
			}
			finished <- true
		}()
	}
	<-finished
	<-finished
	assert.Len(t, changeState(t, first, func(*State) {}).Bans, 100)
}

// A killed process leaves its entry in the file but releases its lock, so it must not be counted as running.
func TestKilledProcessIsRemoved(t *testing.T) {
	dir := t.TempDir()
	first, _, states := joinProcess(t, dir)
	second, _, err := Join(first.log, dir, "a/node", nil)
	require.NoError(t, err)
	require.NoError(t, second.update(func(st *State) error {
		st.process(second.Number()).Ready = true
		return nil
	}))
	waitFor(states, func(st State) bool { return st.Superseded(first.Number()) })
	require.NoError(t, second.lock.Close()) // as the kernel does when the process exits
	waitFor(states, func(st State) bool { return !st.Superseded(first.Number()) })
	third, st, _ := joinProcess(t, dir)
	assert.True(t, st.HasEarlier(third.Number()))
	assert.False(t, st.Superseded(first.Number()))
}

// A file that is truncated at any byte, or has another version, must be rejected.
func TestTruncatedFileIsRejected(t *testing.T) {
	raw, err := encode(State{Bans: map[string]time.Duration{"s": 1}, Draining: true, Processes: []Process{{Number: 3}}})
	require.NoError(t, err)
	for i := range len(raw) - 2 {
		_, err := decode(raw[:i])
		require.Error(t, err, "truncated at byte %d", i)
	}
	st, err := decode(raw)
	require.NoError(t, err)
	assert.Equal(t, 3, st.Processes[0].Number)
	_, err = decode([]byte(`{"Version":2,"End":true}`))
	assert.ErrorContains(t, err, "has version 2, not 1")
	_, err = decode([]byte(`{"Version":1}`))
	assert.ErrorContains(t, err, "its end is missing")
}

// A change that cannot be written must return an error and leave the state unchanged.
func TestFailedWriteRejectsTheChange(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := joinProcess(t, dir)
	require.NoError(t, os.Mkdir(filepath.Join(dir, "lichenhitch-a%2Fnode.state.0"), 0o700)) // takes the name of the temporary file
	failed := make(chan error)
	s.Change(func(st *State) { st.Draining = true }, func(st State, err error) {
		assert.False(t, st.Draining)
		failed <- err
	})
	require.Error(t, <-failed)
	require.NoError(t, os.Remove(filepath.Join(dir, "lichenhitch-a%2Fnode.state.0")))
	assert.True(t, changeState(t, s, func(st *State) { st.Draining = true }).Draining)
}
