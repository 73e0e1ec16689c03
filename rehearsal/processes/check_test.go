package processes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// turnHistory returns the history of one turn, shifted by offset: requested at 10, observed granted at 20, begun at 30,
// done at 60 to 70 ms.
func turnHistory(id, host string, offset time.Duration) []Op {
	observed := func(phase string) []ObservedTurn { return []ObservedTurn{{ID: id, Host: host, Phase: phase, Round: 7}} }
	return []Op{
		{Kind: "Ask", ID: id, Host: host, Call: offset + 10*ms, Return: offset + 12*ms, Observed: observed("asked")},
		{Kind: "Turns", Call: offset + 18*ms, Return: offset + 20*ms, Observed: observed("granted")},
		{Kind: "Begin", ID: id, Call: offset + 28*ms, Return: offset + 30*ms, Observed: observed("working")},
		{Kind: "Done", ID: id, Call: offset + 60*ms, Return: offset + 70*ms, Observed: observed("returning")},
	}
}

func lineAt(host string, at time.Duration) FirstLine {
	return FirstLine{Host: host, Node: "n0", Line: "OPEN 1", At: at}
}

func TestAValidHistoryOfTurnsPasses(t *testing.T) {
	ops := append(turnHistory("a", "h0", 0), turnHistory("b", "h1", 50*ms)...) // b is observed at 70, after a ended
	ops = append(ops, turnHistory("c", "h0", 100*ms)...)
	lines := []FirstLine{lineAt("h0", 15*ms), lineAt("h1", 40*ms), lineAt("h0", 65*ms), lineAt("h1", 65*ms),
		lineAt("h0", 180*ms)}
	assert.Empty(t, CheckTurns(ops, lines, Fleet(2), Allowance{Site: 1, Zone: 1, Kind: 1}))
	require.Len(t, Grants(ops), 3)
	assert.Equal(t, Grant{ID: "a", Host: "h0", Round: 7, Requested: 10 * ms, Observed: 20 * ms, EndCalled: 60 * ms, EndConfirmed: 70 * ms},
		Grants(ops)[0], "granted from the first reply that shows it granted in the round in which its work began")
}

func TestAFirstLineAtAHostInWorkIsFound(t *testing.T) {
	for at, faulty := range map[time.Duration]bool{19 * ms: false, 21 * ms: true, 59 * ms: true, 61 * ms: false} {
		got := CheckTurns(turnHistory("a", "h0", 0), []FirstLine{lineAt("h0", at)}, Fleet(1), Allowance{Site: 1})
		assert.Equal(t, faulty, len(got) == 1 && assert.Contains(t, got[0].What, "n0 reached h0"), "%s: %v", at, got)
		fits := true
		for _, part := range partition(Operations(Grants(turnHistory("a", "h0", 0)), []FirstLine{lineAt("h0", at)})) {
			fits = fits && fitsModel(part)
		}
		assert.Equal(t, faulty, !fits, "the model alone detects the violation: %s", at)
	}
	unfinished := turnHistory("a", "h0", 0)[:3] // its work never ends
	assert.Len(t, CheckTurns(unfinished, []FirstLine{lineAt("h0", time.Hour)}, Fleet(1), Allowance{}), 1)
	unanswered := turnHistory("a", "h0", 0)
	unanswered[3].Return, unanswered[3].Error = 0, "no reply" // the end may take effect from its call on, but not before
	assert.Empty(t, CheckTurns(unanswered, []FirstLine{lineAt("h0", time.Hour)}, Fleet(1), Allowance{}))
	assert.Len(t, CheckTurns(unanswered, []FirstLine{lineAt("h0", 50*ms)}, Fleet(1), Allowance{}), 1)
}

// A turn that was granted, revoked and begun in a later round was not certainly granted in between.
func TestARevokedTurnWasNotGranted(t *testing.T) {
	ops := turnHistory("a", "h0", 0)
	ops[1].Observed[0].Round = 3
	assert.Empty(t, CheckTurns(ops, []FirstLine{lineAt("h0", 25*ms)}, Fleet(1), Allowance{}))
	assert.Len(t, CheckTurns(ops, []FirstLine{lineAt("h0", 35*ms)}, Fleet(1), Allowance{}), 1)
	ops[1].Observed[0].Round = 0
	assert.Empty(t, Grants(ops[:2]))
	assert.Empty(t, CheckTurns(ops[:2], []FirstLine{lineAt("h0", 25*ms)}, Fleet(1), Allowance{}), "its work never began")
}

func TestAHostGrantedToTwoTurnsIsFound(t *testing.T) {
	ops := append(turnHistory("a", "h0", 0), turnHistory("b", "h0", 20*ms)...)
	got := CheckTurns(ops, nil, Fleet(1), Allowance{})
	require.Len(t, got, 1)
	assert.Equal(t, "h0", got[0].Host)
	ops = append(turnHistory("a", "h0", 0)[:3], turnHistory("b", "h0", 20*ms)[:3]...)
	assert.Len(t, CheckTurns(ops, nil, Fleet(1), Allowance{}), 1, "neither turn has ended")
}

func TestTooManyHostsInWorkAreFound(t *testing.T) {
	hosts := []HostPlan{{ID: "h0", Zone: "z", Kind: "k"}, {ID: "h1", Zone: "z", Kind: "l"}, {ID: "h2", Zone: "y", Kind: "k"},
		{ID: "h3", Zone: "z", Kind: "k", Site: "other"}}
	ops := append(append(turnHistory("a", "h0", 0), turnHistory("b", "h1", 10*ms)...), turnHistory("c", "h2", 20*ms)...)
	ops = append(ops, turnHistory("d", "h3", 5*ms)...) // another site has a limit of its own
	for allowed, found := range map[Allowance]int{{}: 0, {Site: 3, Zone: 2, Kind: 2}: 0, {Site: 2}: 1, {Zone: 1}: 1, {Kind: 1}: 1,
		{Site: 1}: 2} {
		assert.Len(t, CheckTurns(ops, nil, hosts, allowed), found, "%+v", allowed)
	}
}

func TestAFaultSequenceIsDeterminedByItsSeed(t *testing.T) {
	nodes := []string{"n0", "n1", "n2", "n3"}
	kinds := make(map[FaultKind]bool)
	for seed := range uint64(40) {
		faults := RandomFaults(seed, nodes, 20*time.Second)
		require.Equal(t, faults, RandomFaults(seed, nodes, 20*time.Second))
		require.NotEmpty(t, faults)
		var processFreeAt time.Duration
		storeFaults := 0
		for i, f := range faults {
			kinds[f.Kind] = true
			require.LessOrEqual(t, f.At+f.Duration, 20*time.Second)
			require.True(t, i == 0 || faults[i-1].At <= f.At, "faults are sorted by time")
			require.True(t, f.Node != f.Peer || f.Kind == DiscoveryDown)
			if f.Kind >= Kill {
				require.Greater(t, f.At, processFreeAt-1, "process faults do not overlap")
				processFreeAt = f.At + f.Duration
			}
			if f.Kind == KillStaleStore || f.Kind == KillEmptyStore || f.Kind == KillTornStore {
				storeFaults++
			}
		}
		require.LessOrEqual(t, storeFaults, 1)
	}
	assert.Len(t, kinds, int(numFaultKinds), "every kind occurs with some seed")
}
