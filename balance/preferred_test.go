package balance_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"lichenhitch/balance"
)

// A suspended server remains preferred, and no other server replaces it; one that leaves the list is not preferred any
// more.
func TestASuspendedServerRemainsPreferred(t *testing.T) {
	set := settings()
	set.Zone = "here"
	d := drive(t, set, 1)
	var entries []balance.Listing
	for i := range 8 {
		entries = append(entries, listing(fmt.Sprint("h", i), "here", i), listing(fmt.Sprint("far", i), "there", i))
	}
	d.list(entries...)
	preferred := d.b.PreferredServers("g")
	assert.Len(t, preferred, 3)
	assert.NotEqual(t, preferred, d.b.PreferredServers("another"))
	d.do(balance.Suspend{Server: preferred[0]})
	assert.Equal(t, preferred, d.b.PreferredServers("g"))
	d.do(balance.ServerList{Entries: []balance.Listing{{Server: preferred[0], State: balance.Gone}}})
	assert.Equal(t, preferred[1:], d.b.PreferredServers("g")[:2])

	placed := map[balance.ServerID]bool{} // in an empty fleet, the group is placed on them
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
