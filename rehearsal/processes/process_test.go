package processes

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A later process of a node is killed. The former one takes its place again and opens to peers, and only then does the goroutine that
// waits for the killed one run, as it does on a busy machine. What the former has told by then stands. Where the address belonged to the
// node and the noticed end cleared it, all links to the node refused for the rest of the story, while its own calls went out: its
// seat stayed at index 16, and the council stood still once the leader was killed too (TestAnUpgradeIsGivenUp, with 500 ms between a
// process's end and the notice of it: "turn t2 of h2: context deadline exceeded; nobody leads the council").
func TestWhatAFormerProcessHasToldOutlivesTheLaterOnesEnd(t *testing.T) {
	opens := func(at string) string { return `level=INFO msg="open to peers" node=n2 listen=` + at + ` site=b` }
	serves := func(at string) string { return `level=INFO msg=serving node=n2 listen=` + at + ` discovery=d` }
	former, later := &process{}, &process{}
	n := &Node{Name: "n2", current: former}
	assert.True(t, former.read(opens("a:1")))
	assert.True(t, former.read(serves("a:2")))
	assert.False(t, former.read(`level=INFO msg="another process has the address" node=n2`))

	n.current, n.predecessors = later, []*process{former}
	assert.Equal(t, "a:1", n.told(deskOf), "the later one has told nothing yet")
	assert.True(t, later.read(opens("a:3")))
	assert.Equal(t, "a:3", n.told(deskOf))
	assert.Equal(t, "a:2", n.told(servingOf))

	assert.True(t, former.read(opens("a:4"))) // it has seen the later one's end before this test has
	assert.Equal(t, "a:3", n.told(deskOf))
	n.gone(later)
	assert.Equal(t, "a:4", n.told(deskOf))
	assert.Equal(t, "a:2", n.told(servingOf))

	n.gone(former)
	assert.Empty(t, n.told(deskOf)+n.told(servingOf))
	assert.False(t, n.Runs())
}
