// Package discovery maintains the list of hosts: it watches discovery for changes over HTTP, passes them to the
// core and keeps each host's address. Package watch decides when to call discovery; a Client makes the calls on a
// connection.
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

// dialTimeout is how long connecting may take: half of the time that a call may take, since the answer needs time
// too.
const dialTimeout = watch.CallWithin / 2

// Reasons for the end of a call other than errors of the connection.
var (
	errTimeout   = errors.New("no answer in time")
	errOutdated  = errors.New("the answer has changes to an older list than the one held")
	errNoList    = errors.New("the answer has only changes, but the full list was requested")
	errCallEnded = errors.New("the connection has ended")
)

// Client calls discovery and keeps the list of hosts.
type Client struct {
	log         *slog.Logger
	loop        *evloop.Loop
	core        *query.Core
	random      *rand.Rand
	address     string // of discovery
	rev         int64
	hasList     bool                        // there is a list, or was one
	answered    bool                        // discovery has sent a list since the start
	failing     bool                        // the last call failed, or discovery's address has changed and the new one has not answered yet
	hosts       map[balance.ServerID]string // addresses
	watch       watch.Watch
	timer       *evloop.Timer // of the watch
	conn        *evloop.Conn
	open        bool
	onFirstList func() // called once discovery has sent a list
}

// New returns a client for discovery at an address. Start begins the calls. The seed is for the random spread of
// the calls.
func New(log *slog.Logger, loop *evloop.Loop, core *query.Core, address string, set balance.Settings, seed uint64) *Client {
	return &Client{log: log, loop: loop, core: core, address: address, hosts: make(map[balance.ServerID]string),
		watch: watch.Watch{Settings: watchSettings(set)}, random: rand.New(rand.NewPCG(seed, uint64(set.Self)))}
}

func watchSettings(set balance.Settings) watch.Settings {
	return watch.Settings{Push: !set.ListOnRequest, PollInterval: set.Safety.ListRefreshInterval, Grace: set.Safety.DrainGrace}
}

// ApplySettings applies new settings from the next call on.
func (c *Client) ApplySettings(set balance.Settings) { c.watch.Settings = watchSettings(set) }

// Endpoint returns a host's address, or "" if the host is not listed.
func (c *Client) Endpoint(server balance.ServerID) string { return c.hosts[server] }

// HasList reports whether there is a list of hosts, even if it is old.
func (c *Client) HasList() bool { return c.hasList }

// Answered reports whether discovery has answered since the start.
func (c *Client) Answered() bool { return c.answered }

// Stale reports whether the list may be out of date: discovery does not answer, or has not answered yet. If a
// watch is lost without an error, this is detected within watch.Hold and watch.Overdue.
func (c *Client) Stale() bool { return !c.answered || c.failing }

// Restore applies the list that this node has saved.
func (c *Client) Restore(list List) {
	c.applyList(list, balance.ListSaved)
	c.watch.HasList = true
}

// Start begins to watch discovery, for as long as the loop runs.
func (c *Client) Start() { c.step(watch.Start) }

// OnFirstList calls f once discovery has sent a list, or after the timeout if that is earlier.
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

// Subscribe implements query.Group. It does nothing, since the client watches discovery anyway.
func (c *Client) Subscribe() {}

// Relocate switches to discovery at another address and requests the full list at once, since its revisions may
// be counted differently. The known hosts stay until it answers. If the address is the same, nothing changes.
func (c *Client) Relocate(address string) {
	if address != c.address {
		c.address, c.failing = address, true
		c.step(watch.AddressChanged)
	}
}

// step applies an event to the watch and carries out its action.
func (c *Client) step(kind watch.Kind) {
	var action watch.Action
	c.watch, action = c.watch.Step(watch.Event{Kind: kind, Now: c.loop.Now(), Random: c.random.Float64()})
	if action.Drop {
		c.drop()
	}
	if action.Wake > 0 {
		c.timer.Stop()
		c.timer = c.loop.After(action.Wake-c.loop.Now(), c.timerFired)
	}
	if action.Call {
		c.call()
	}
}

// timerFired handles the timer of the watch: the time of the next call, or the time-out of a call without an
// answer.
func (c *Client) timerFired() {
	if c.watch.Phase == watch.Calling {
		c.fail(watch.TimerFired, errTimeout)
		return
	}
	c.step(watch.TimerFired)
}

// call makes a call on the present connection, or on a new one.
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
	case watch.LongPoll:
		path = fmt.Sprintf("/v1/servers?from=%d&hold_ms=%d", c.rev, watch.Hold.Milliseconds())
	case watch.Changes:
		path = fmt.Sprintf("/v1/servers?from=%d&hold_ms=%d", c.rev, watch.ShortHold.Milliseconds())
	}
	c.conn.Write(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, c.address))
}

// Opened implements evloop.Handler.
func (c *Client) Opened() {
	c.open = true
	c.sendCall()
}

// Received implements evloop.Handler. The time-out of a call covers the complete answer; partial input does not
// extend it.
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
	if err == nil && !list.All && !c.watch.HasList {
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

// answer applies a list that discovery has sent, and calls again at once: a watch lasts only if the next call
// follows directly.
func (c *Client) answer(list List, response http1.Response) {
	if c.conn.Discard(response.Size); response.Close || len(c.conn.Peek()) > 0 {
		c.drop() // unrequested input would be taken for the next answer
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

// applyList stores the hosts' addresses and passes the list to the core.
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

// fail ends a call that failed. The present list stays.
func (c *Client) fail(kind watch.Kind, err error) {
	if c.watch.Failures == 0 { // only the first in a row, since a local agent is called many times per second
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
	c.fail(watch.ConnectionLost, fmt.Errorf("%w: %w", errCallEnded, err))
}
