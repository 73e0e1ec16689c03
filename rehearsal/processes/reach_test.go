package processes

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The calls of a follower reach its leader, but those of the leader do not reach the follower. The replica
// falls behind, and unless the leader logs this, it looks as if the replica itself were waiting. The leader
// logs which replica does not answer, and when it answers again.
func TestLeaderLogsWhichReplicasItDoesNotReach(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	// On a machine that stalls for ten ticks another replica becomes leader, and its log says nothing about a
	// link that was the former leader's.
	for reported := false; !reported; {
		leading, unreached := awaitLeader(w, "n3"), follower(w)
		if leading == unreached {
			continue
		}
		mark := w.Node(leading).Mark()
		loggedWhileLeading := func(texts ...string) (line string) {
			w.Await(leading+" logs its link, or is no longer the leader", func() bool {
				line = w.Node(leading).lineSince(mark, texts...)
				return line != "" || w.Node(leading).HasLogged(mark, "leads the council no more")
			})
			return line
		}
		link := w.Link(leading, unreached)
		link.Refuse()
		link.Reset()
		line := loggedWhileLeading("does not answer its leader's calls", "seat="+unreached)
		if line != "" {
			assert.Equal(t, "yes", field(line, `calls come"`), line)
		}
		link.Heal()
		reported = line != "" && loggedWhileLeading("seats answer their leader's calls again", "seats="+unreached) != ""
	}
	workOn(w, c, "t1", "h1", w.Names()...)
	w.RequireNoViolations(twoPerSite)
}
