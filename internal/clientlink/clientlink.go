// Package clientlink speaks the platform's lines with clients: one object for each connection that the front
// brings.
package clientlink

import (
	"log/slog"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/line"
	"lichenhitch/internal/query"
)

// Door makes client links of accepted connections.
type Door struct {
	log      *slog.Logger
	loop     *evloop.Loop
	core     *query.Core
	classes  map[string]balance.Class
	maxLinks int
}

// New returns a door. Above maxLinks connections, queries are throttled.
func New(log *slog.Logger, loop *evloop.Loop, core *query.Core, set balance.Settings, maxLinks int) *Door {
	d := &Door{log: log, loop: loop, core: core, classes: map[string]balance.Class{}, maxLinks: maxLinks}
	for _, c := range set.Classes {
		d.classes[c.Name] = c
	}
	return d
}

// Accept gives a connection its handler.
func (d *Door) Accept(link *evloop.Link) evloop.Handler { return &Client{door: d, link: link} }

// Client is a client link.
type Client struct {
	door  *Door
	link  *evloop.Link
	open  line.Open
	query *query.Query // once a first line has come
	up    bool
	over  bool
}

// Opened implements evloop.Handler. The client speaks first.
func (c *Client) Opened() {}

// Received implements evloop.Handler.
func (c *Client) Received() {
	for !c.over && c.query == nil {
		text, n, err := line.Next(c.link.Peek())
		if err != nil {
			c.reject(err)
			return
		}
		if n == 0 {
			return
		}
		c.first(text)
		if !c.over {
			c.link.Discard(n)
		}
	}
	if c.over {
		return
	}
	c.pass()
}

// first takes a line on a connection that has no query yet.
func (c *Client) first(text []byte) {
	if string(text) == "PING" {
		c.link.Write([]byte("PONG\r\n"))
		return
	}
	open, err := line.ParseOpen(text)
	if err != nil {
		c.reject(err)
		return
	}
	class, ok := c.door.classes[open.Class]
	if !ok {
		c.door.log.Warn("a query of an unknown class", "class", open.Class, "id", open.ID)
		c.finish([]byte("ERR unknown class\r\n"))
		return
	}
	if c.door.loop.Links() >= c.door.maxLinks {
		c.door.log.Warn("a query is throttled: the node holds as many connections as it may")
		c.Throttle(time.Second)
		return
	}
	if open.Wait == 0 {
		open.Wait = class.Deadline
	}
	c.open = open
	c.query = c.door.core.Arrive(c, balance.Arrival{Class: open.Class, Tenant: open.Tenant, Key: open.Key,
		Group: open.Group, Load: open.Load, MidFlow: open.MidFlow, Returning: open.Again, Repeat: open.Retry},
		open.At, open.Wait)
}

// earlyMax is how much a client may send before its connection stands. It should wait.
const earlyMax = 16 << 10

// pass hands complete lines to the host. What comes before there is one stays in the buffer.
func (c *Client) pass() {
	data := c.link.Peek()
	if !c.up && len(data) <= earlyMax {
		return
	}
	n, err := line.Complete(data)
	if !c.up {
		n, err = 0, line.ErrTooLong
	}
	if n > 0 {
		c.query.ClientLines(data[:n])
		c.link.Discard(n)
	}
	if err != nil {
		c.door.log.Warn("a client's line cannot be passed on", "error", err)
		if c.up {
			c.Move() // its host still answers: it is not merely cut off
		} else {
			c.reject(err)
		}
		c.query.ClientGone(true)
	}
}

// flush passes on what came early.
func (c *Client) flush() {
	if !c.over {
		c.pass()
	}
}

// reject answers a first line that cannot be served.
func (c *Client) reject(err error) {
	c.door.log.Warn("a first line is rejected", "error", err)
	c.finish([]byte("ERR " + err.Error() + "\r\n"))
}

// finish says a last line, unless there is none, and closes.
func (c *Client) finish(last []byte) {
	c.over = true
	c.link.Write(last)
	c.link.Close()
}

// Closed implements evloop.Handler.
func (c *Client) Closed(err error) {
	c.over = true
	if c.query != nil {
		c.query.ClientGone(evloop.Clean(err))
	}
}

// OpenLine appends the query's first line for a host that is to answer within a time.
func (c *Client) OpenLine(to []byte, within time.Duration) []byte { return c.open.Append(to, within) }

// Up implements query.Client.
func (c *Client) Up(answer []byte) {
	c.up = true
	c.link.Write(answer)
	c.door.loop.Defer(c.flush)
}

// Pass implements query.Client.
func (c *Client) Pass(lines []byte) { c.link.Write(lines) }

// Throttle implements query.Client.
func (c *Client) Throttle(after time.Duration) { c.finish(line.AppendBusy(nil, after)) }

// Fail implements query.Client.
func (c *Client) Fail() { c.finish([]byte("FAIL\r\n")) }

// Move implements query.Client. Only whole lines were passed on, so that MOVE stands between two.
func (c *Client) Move() { c.finish([]byte("MOVE\r\n")) }

// End implements query.Client.
func (c *Client) End(clean bool) {
	c.over = true
	if clean {
		c.link.Close()
	} else {
		c.link.Abort()
	}
}
