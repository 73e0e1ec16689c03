package processes

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The later one of a node's two processes is killed. The former process takes over again and logs its
// addresses, and only then does the goroutine that waits for the killed process run, as happens on a busy
// machine. The addresses that the former process logged must stay valid. When the address belonged to the
// node and was cleared by the end of the later process, all links to the node refused connections for the
// rest of the scenario while its own calls still went out: its replica stayed at index 16, and the group made
// no progress once the leader was killed as well (TestUpgradeIsAborted, with 500 ms between the end of a
// process and its handling: "turn t2 of h2: context deadline exceeded; nobody leads the council").
func TestAddressesOfTheFormerProcessSurviveTheEndOfTheLaterOne(t *testing.T) {
	opens := func(at string) string { return `level=INFO msg="open to peers" node=n2 listen=` + at + ` site=b` }
	serves := func(at string) string { return `level=INFO msg=serving node=n2 listen=` + at + ` discovery=d` }
	former, later := &process{}, &process{}
	n := &Node{Name: "n2", current: former}
	assert.True(t, former.readLine(opens("a:1")))
	assert.True(t, former.readLine(serves("a:2")))
	assert.False(t, former.readLine(`level=INFO msg="another process has the address" node=n2`))

	n.current, n.predecessors = later, []*process{former}
	assert.Equal(t, "a:1", n.currentAddress(apiAddrOf), "the later process has logged no address yet")
	assert.True(t, later.readLine(opens("a:3")))
	assert.Equal(t, "a:3", n.currentAddress(apiAddrOf))
	assert.Equal(t, "a:2", n.currentAddress(clientAddrOf))

	assert.True(t, former.readLine(opens("a:4"))) // it noticed the end of the later process before this test did
	assert.Equal(t, "a:3", n.currentAddress(apiAddrOf))
	n.processExited(later)
	assert.Equal(t, "a:4", n.currentAddress(apiAddrOf))
	assert.Equal(t, "a:2", n.currentAddress(clientAddrOf))

	n.processExited(former)
	assert.Empty(t, n.currentAddress(apiAddrOf)+n.currentAddress(clientAddrOf))
	assert.False(t, n.Runs())
}
