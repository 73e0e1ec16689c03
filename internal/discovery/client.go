// Package discovery keeps discovery's list of hosts: it watches for changes over HTTP, tells the core of them and
// knows each host's address.
package discovery

import (
	"fmt"
	"log/slog"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/http1"
	"lichenhitch/internal/query"
)

const (
	// hold is how long a watch may wait for news. Short, so that a watch that was lost without a word is noticed.
	hold = 4 * time.Second
	// callTimeout is how long an answer may take beyond the hold.
	callTimeout = 2 * time.Second
	dialTimeout = time.Second
	// relocateWithin is how long the first call at a new address may take, from one try to the next: what
	// discovery tells there counts as told 4 s after the change.
	relocateWithin = 4 * time.Second
	// relocateTry is how long one of these tries may take; a call waits its turn at discovery for up to 2 s.
	relocateTry = 2 * time.Second
	// relocatePause is the pause after a try that failed.
	relocatePause = 100 * time.Millisecond
)

// Client calls discovery and keeps what it told.
type Client struct {
	log      *slog.Logger
	loop     *evloop.Loop
	core     *query.Core
	address  string // of discovery
	rev      int64
	known    bool // there is a list to watch from
	listed   bool // there is or was one
	answered bool // discovery has told one
	silent   bool // the last call failed, or discovery has moved and has not answered yet
	hosts    map[balance.ServerID]string
	link     *evloop.Link
	open     bool
	watching bool // a call is out
	reused   bool // the connection has answered before
	timer    *evloop.Timer
	urgentTo time.Duration // a failed call is tried again until then: discovery has moved
}

// New returns a client that asks discovery at an address.
func New(log *slog.Logger, loop *evloop.Loop, core *query.Core, address string) *Client {
	return &Client{log: log, loop: loop, core: core, address: address, hosts: make(map[balance.ServerID]string)}
}

// Endpoint returns a host's address, or "" for one that is not listed.
func (c *Client) Endpoint(server balance.ServerID) string { return c.hosts[server] }

// Known says whether there is a list of hosts, be it an old one.
func (c *Client) Known() bool { return c.listed }

// Answered says whether discovery has answered since the start.
func (c *Client) Answered() bool { return c.answered }

// Stale says whether the list may be an old one: discovery does not answer, or has not yet. A watch that is lost is noticed
// within hold and callTimeout.
func (c *Client) Stale() bool { return !c.answered || c.silent }

// Restore takes the list as this node last had it.
func (c *Client) Restore(l List) { c.take(l, balance.ListSaved) }

// Subscribe implements query.Group: it begins to watch, unless a watch is on.
func (c *Client) Subscribe() {
	if !c.watching {
		c.call()
	}
}

// Relocate goes over to another discovery and asks it for the whole list at once: its versions may count
// differently. The hosts known so far stay until it answers. With the address unchanged nothing is disturbed.
func (c *Client) Relocate(address string) {
	if address == c.address {
		return
	}
	c.address, c.known, c.silent = address, false, true
	c.urgentTo = c.loop.Now() + relocateWithin
	c.timer.Stop()
	c.drop()
	c.call()
}

// call asks for what has changed.
func (c *Client) call() {
	c.watching = true
	within := hold + callTimeout
	if left := c.urgentTo - c.loop.Now(); left > 0 {
		within = min(left, relocateTry)
	}
	c.timer = c.loop.After(within, func() { c.fail(fmt.Errorf("no answer in time")) })
	switch {
	case c.link == nil:
		c.open, c.reused = false, false
		c.link = c.loop.Dial(c.address, dialTimeout, c)
	case c.open:
		c.ask()
	}
}

func (c *Client) ask() {
	path := "/v1/servers"
	if c.known {
		path = fmt.Sprintf("/v1/servers?from=%d&hold_ms=%d", c.rev, hold.Milliseconds())
	}
	c.link.Write(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, c.address))
}

// Opened implements evloop.Handler.
func (c *Client) Opened() {
	c.open = true
	c.ask()
}

// Received implements evloop.Handler.
func (c *Client) Received() {
	a, err := http1.ParseAnswer(c.link.Peek())
	if err != nil {
		c.fail(err)
		return
	}
	if a.Size == 0 {
		return
	}
	if !c.watching {
		c.drop()
		return
	}
	if a.Status != 200 {
		c.fail(fmt.Errorf("status %d", a.Status))
		return
	}
	list, err := ParseList(a.Body)
	if err != nil {
		c.fail(err)
		return
	}
	c.timer.Stop()
	c.watching = false
	c.reused, c.answered, c.silent = true, true, false
	c.urgentTo = 0
	c.link.Discard(a.Size)
	if a.Close {
		c.drop()
	}
	kind := balance.ListChanges
	if list.All {
		kind = balance.ListWhole
	}
	c.take(list, kind)
	c.call() // at once: a watch lasts only as long as the next call follows
}

// take notes where hosts are and tells the core.
func (c *Client) take(l List, kind balance.ListKind) {
	c.rev, c.known, c.listed = l.Rev, true, true
	if l.All {
		clear(c.hosts)
	}
	for i, h := range l.Hosts {
		if h.State == balance.Gone {
			delete(c.hosts, h.Server)
		} else {
			c.hosts[h.Server] = l.address[i]
		}
	}
	c.core.List(kind, l.Hosts)
}

// fail ends a watch. The balancer decides when to ask again, but for a discovery that has just moved.
func (c *Client) fail(err error) {
	c.timer.Stop()
	c.drop()
	c.silent = true
	c.log.Warn("discovery did not answer", "error", err)
	if c.watching && c.loop.Now()+relocatePause < c.urgentTo {
		c.timer = c.loop.After(relocatePause, c.call)
		return
	}
	if c.watching {
		c.watching = false
		c.core.List(balance.ListFailed, nil)
	}
}

func (c *Client) drop() {
	c.link.Close()
	c.link, c.open = nil, false
}

// Closed implements evloop.Handler. A connection that discovery closed just as it was asked again gets a new
// one; the call counts from its beginning all the same.
func (c *Client) Closed(err error) {
	ended, reused := c.open, c.reused
	c.link, c.open = nil, false
	switch {
	case !c.watching:
	case ended && reused:
		c.reused = false
		c.link = c.loop.Dial(c.address, dialTimeout, c)
	default:
		c.fail(err)
	}
}
