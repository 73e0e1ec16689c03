// Package discovery keeps discovery's list of hosts: it watches for changes over HTTP, tells the core of them and
// knows each host's address. Package watch decides when to call; a Client carries that out on a connection.
package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/watch"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/http1"
	"lichenhitch/internal/query"
)

// dialTimeout is when a connection that does not come up is given up: half of what a call may take, for the answer needs
// time too.
const dialTimeout = watch.CallWithin / 2

// The ends of a call that are no fault of the connection.
var (
	errTimeout   = errors.New("no answer in time")
	errOutdated  = errors.New("the answer tells changes to a list that is older than the one that is held")
	errNoList    = errors.New("the answer tells changes where the whole list was asked for")
	errCallEnded = errors.New("the connection has ended")
)

// Client calls discovery and keeps what it told.
type Client struct {
	log         *slog.Logger
	loop        *evloop.Loop
	core        *query.Core
	random      *rand.Rand
	address     string // of discovery
	rev         int64
	hasList     bool // there is or was a list
	answered    bool // discovery has told one
	failing     bool // the last call failed, or discovery has moved and has not answered yet
	hosts       map[balance.ServerID]string
	watch       watch.Watch
	timer       *evloop.Timer // of the watch
	conn        *evloop.Conn
	open        bool
	onFirstList func() // to be called once discovery has told a list
}

// New returns a client that asks discovery at an address, once it is started. The seed is for the spread of its calls.
func New(log *slog.Logger, loop *evloop.Loop, core *query.Core, address string, set balance.Settings, seed uint64) *Client {
	return &Client{log: log, loop: loop, core: core, address: address, hosts: make(map[balance.ServerID]string),
		watch: watch.Watch{Terms: termsOf(set)}, random: rand.New(rand.NewPCG(seed, uint64(set.Self)))}
}

func termsOf(set balance.Settings) watch.Terms {
	return watch.Terms{Push: !set.ListOnRequest, AskWithin: set.Safety.ListRefreshInterval, Grace: set.Safety.DrainGrace}
}

// Retune takes new settings up, from the next call on.
func (c *Client) ApplySettings(set balance.Settings) { c.watch.Terms = termsOf(set) }

// Endpoint returns a host's address, or "" for one that is not listed.
func (c *Client) Endpoint(server balance.ServerID) string { return c.hosts[server] }

// Known says whether there is a list of hosts, be it an old one.
func (c *Client) HasList() bool { return c.hasList }

// Answered says whether discovery has answered since the start.
func (c *Client) Answered() bool { return c.answered }

// Stale says whether the list may be an old one: discovery does not answer, or has not yet. A watch that is lost without a
// word is noticed within watch.Hold and watch.Overdue.
func (c *Client) Stale() bool { return !c.answered || c.failing }

// Restore takes the list as this node last had it.
func (c *Client) Restore(list List) {
	c.applyList(list, balance.ListSaved)
	c.watch.Listed = true
}

// Start begins to watch, for as long as the loop runs.
func (c *Client) Start() { c.step(watch.Start) }

// AfterFirst calls f once discovery has told a list, or after a time if that is earlier.
func (c *Client) OnFirstList(timeout time.Duration, f func()) {
	if c.answered {
		f()
		return
	}
	c.onFirstList = f
	c.loop.After(timeout, c.runOnFirstList)
}

func (c *Client) runOnFirstList() {
	if f := c.onFirstList; f != nil {
		c.onFirstList = nil
		f()
	}
}

// Subscribe implements query.Group. The watch goes on by itself, whatever the balancer thinks of it.
func (c *Client) Subscribe() {}

// Relocate goes over to another discovery and asks it for the whole list at once: its versions may count
// differently. The hosts known so far stay until it answers. With the address unchanged nothing is disturbed.
func (c *Client) Relocate(address string) {
	if address != c.address {
		c.address, c.failing = address, true
		c.step(watch.Moved)
	}
}

// step brings an event to the watch and carries its order out.
func (c *Client) step(kind watch.Kind) {
	var order watch.Order
	c.watch, order = c.watch.Step(watch.Event{Kind: kind, Now: c.loop.Now(), Chance: c.random.Float64()})
	if order.Drop {
		c.drop()
	}
	if order.Wake > 0 {
		c.timer.Stop()
		c.timer = c.loop.After(order.Wake-c.loop.Now(), c.timerFired)
	}
	if order.Call {
		c.call()
	}
}

// due is the time that the watch named: that of the next call, or the end of one that was not answered.
func (c *Client) timerFired() {
	if c.watch.Phase == watch.Calling {
		c.fail(watch.Due, errTimeout)
		return
	}
	c.step(watch.Due)
}

// call asks on the connection that there is, or on a new one.
func (c *Client) call() {
	if c.conn == nil {
		c.open = false
		c.conn = c.loop.Dial(c.address, dialTimeout, c)
	} else if c.open {
		c.sendCall()
	}
}

func (c *Client) sendCall() {
	path := "/v1/servers"
	switch c.watch.Form {
	case watch.Held:
		path = fmt.Sprintf("/v1/servers?from=%d&hold_ms=%d", c.rev, watch.Hold.Milliseconds())
	case watch.Changes:
		path = fmt.Sprintf("/v1/servers?from=%d&hold_ms=%d", c.rev, watch.Brief.Milliseconds())
	}
	c.conn.Write(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, c.address))
}

// Opened implements evloop.Handler.
func (c *Client) Opened() {
	c.open = true
	c.sendCall()
}

// Received implements evloop.Handler. The time of a call is that of its whole answer: bytes do not renew it.
func (c *Client) Received() {
	response, err := http1.ParseResponse(c.conn.Peek())
	if err != nil {
		c.fail(watch.Refused, err)
		return
	}
	if response.Size == 0 {
		return
	}
	if response.Status != 200 {
		c.fail(watch.Refused, fmt.Errorf("status %d", response.Status))
		return
	}
	list, err := ParseList(response.Body)
	if err == nil && !list.All && !c.watch.Listed {
		err = errNoList
	}
	if err != nil {
		c.fail(watch.Refused, err)
		return
	}
	if !list.All && list.Rev < c.rev {
		c.fail(watch.Outdated, errOutdated)
		return
	}
	c.answer(list, response)
}

// answer takes a list that discovery has told, and goes on watching at once: a watch lasts only as long as the next call
// follows.
func (c *Client) answer(list List, response http1.Response) {
	if c.conn.Discard(response.Size); response.Close || len(c.conn.Peek()) > 0 {
		c.drop() // what came unasked would be taken for the next answer
	}
	if c.failing && c.watch.Failures > 0 {
		c.log.Info("discovery answers again", "failed calls", c.watch.Failures)
	}
	c.answered, c.failing = true, false
	kind := balance.ListChanges
	if list.All {
		kind = balance.ListFull
	}
	c.applyList(list, kind)
	c.runOnFirstList()
	c.step(watch.Answered)
}

// take notes where hosts are and tells the core.
func (c *Client) applyList(list List, kind balance.ListKind) {
	c.rev, c.hasList = list.Rev, true
	if list.All {
		clear(c.hosts)
	}
	for i, h := range list.Hosts {
		if h.State == balance.Gone {
			delete(c.hosts, h.Server)
		} else {
			c.hosts[h.Server] = list.endpoints[i]
		}
	}
	c.core.List(kind, list.Hosts)
}

// fail ends a call. The list that is held stays.
func (c *Client) fail(kind watch.Kind, err error) {
	if c.watch.Failures == 0 { // an agent is called many times a second
		c.log.Warn("discovery did not answer", "error", err)
	}
	c.failing = true
	c.step(kind)
}

func (c *Client) drop() {
	c.conn.Close()
	c.conn, c.open = nil, false
}

// Closed implements evloop.Handler.
func (c *Client) Closed(err error) {
	c.conn, c.open = nil, false
	c.fail(watch.Broken, fmt.Errorf("%w: %w", errCallEnded, err))
}
