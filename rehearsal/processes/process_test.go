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
func TestAddressesOfTheFormerProcessSurviveTheEndOfTheLaterOne(t *testing.T) {
	opens := func(at string) string { return `level=INFO msg="open to peers" node=n2 listen=` + at + ` site=b` }
	serves := func(at string) string { return `level=INFO msg=serving node=n2 listen=` + at + ` discovery=d` }
	former, later := &process{}, &process{}
	n := &Node{Name: "n2", present: former}
	assert.True(t, former.readLine(opens("a:1")))
	assert.True(t, former.readLine(serves("a:2")))
	assert.False(t, former.readLine(`level=INFO msg="another process has the address" node=n2`))

	n.present, n.formers = later, []*process{former}
	assert.Equal(t, "a:1", n.currentAddress(apiAddrOf), "the later one has told nothing yet")
	assert.True(t, later.readLine(opens("a:3")))
	assert.Equal(t, "a:3", n.currentAddress(apiAddrOf))
	assert.Equal(t, "a:2", n.currentAddress(clientAddrOf))

	assert.True(t, former.readLine(opens("a:4"))) // it has seen the later one's end before this test has
	assert.Equal(t, "a:3", n.currentAddress(apiAddrOf))
	n.processExited(later)
	assert.Equal(t, "a:4", n.currentAddress(apiAddrOf))
	assert.Equal(t, "a:2", n.currentAddress(clientAddrOf))

	n.processExited(former)
	assert.Empty(t, n.currentAddress(apiAddrOf)+n.currentAddress(clientAddrOf))
	assert.False(t, n.Runs())
}
