package processes

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A follower's calls reach its leader and the leader's do not reach the follower: the seat stays behind, and without a word in the
// leader's log that looked as if the seat itself waited. The leader says which seat does not answer it, and that it answers again.
func TestLeaderLogsWhichReplicasItDoesNotReach(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	// On a machine that stalls for ten ticks another seat leads: its log tells nothing of a link that was another's.
	for reported := false; !reported; {
		leading, unreached := awaitLeader(w, "n3"), follower(w)
		if leading == unreached {
			continue
		}
		mark := w.Node(leading).Mark()
		loggedWhileLeading := func(texts ...string) (line string) {
			w.Await(leading+" tells of its link, or leads no more", func() bool {
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
