package balance_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"lichenhitch/balance"
)

// TestAHomeThatIsOutIsOneStill, and no other server becomes one because of it; one that leaves the list is none.
func TestAHomeThatIsOutIsOneStill(t *testing.T) {
	set := settings()
	set.Zone = "here"
	d := drive(t, set, 1)
	var entries []balance.Listing
	for i := range 8 {
		entries = append(entries, listing(fmt.Sprint("h", i), "here", i), listing(fmt.Sprint("far", i), "there", i))
	}
	d.list(entries...)
	homes := d.b.PreferredServers("g")
	assert.Len(t, homes, 3)
	assert.NotEqual(t, homes, d.b.PreferredServers("another"))
	d.do(balance.Suspend{Server: homes[0]})
	assert.Equal(t, homes, d.b.PreferredServers("g"))
	d.do(balance.ServerList{Entries: []balance.Listing{{Server: homes[0], State: balance.Gone}}})
	assert.Equal(t, homes[1:], d.b.PreferredServers("g")[:2])

	placed := map[balance.ServerID]bool{} // an empty fleet keeps to them
	for i := range 2 {
		for _, a := range d.do(balance.Arrival{Request: balance.RequestID(i + 1), Class: "safe", Group: "g", TimeLeft: 2 * sec}) {
			if p, is := a.(balance.Place); is {
				placed[p.Server] = true
			}
		}
	}
	for server := range placed {
		assert.Contains(t, d.b.PreferredServers("g"), server)
	}
	assert.NotEmpty(t, placed)
}
