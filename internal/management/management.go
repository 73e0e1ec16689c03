// Package management answers the operators' calls: one object for each connection to the management address, HTTP/1.1,
// one call to a connection. It decides nothing: what is called for is the node's to do or to refuse.
package management

import (
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"lichenhitch/internal/evloop"
	"lichenhitch/internal/http1"
)

const (
	// maxLinks is how many connections operators may hold. Beyond it the oldest that waits for no answer goes.
	maxLinks = 16
	// callWithin is how long a call may take to come.
	callWithin = 2 * time.Second
	// answerWithin is how long the node may take over a call; an answer is due within 1 s.
	answerWithin = 900 * time.Millisecond
)

// ErrUnknown says that no host of that id is known. Node wraps it.
var ErrUnknown = errors.New("no host of that id is known")

// errLate says that the effect of a call does not stand yet; it may still come to.
var errLate = errors.New("not done in time; call again to learn whether it holds")

// Node carries calls out. done is called once, at once or later, on the loop: with nil once the effect stands.
type Node interface {
	// Ready returns nil where the node is ready to serve, or says why it is not.
	Ready() error
	// Suspend sees to it that nothing more goes to a host, until Resume.
	Suspend(host string, done func(error))
	Resume(host string, done func(error))
	// Drain empties the node, until Activate.
	Drain(done func(error))
	Activate(done func(error))
}

// Desk takes the connections of operators.
type Desk struct {
	log   *slog.Logger
	loop  *evloop.Loop
	node  Node
	links []*caller // the latest, the oldest first
}

// New returns a desk that hands calls on to a node.
func New(log *slog.Logger, loop *evloop.Loop, node Node) *Desk {
	return &Desk{log: log, loop: loop, node: node}
}

// Accept gives a connection its handler. It is the first to go when there are too many, as those of clients are that
// have not asked yet.
func (d *Desk) Accept(link *evloop.Conn) evloop.Handler {
	c := &caller{desk: d, link: link}
	c.late = d.loop.After(callWithin, func() { c.fail(408, errors.New("no call has come")) })
	link.SetEvictable(true)
	if d.links = append(d.links, c); len(d.links) > maxLinks {
		d.makeRoom()
	}
	return c
}

// makeRoom ends the oldest connection that waits for no answer. Those that do are as many as calls are under way, each
// for less than a second.
func (d *Desk) makeRoom() {
	for i, c := range d.links {
		if !c.waits {
			c.late.Stop()
			c.link.Close() // does nothing to one that is over
			d.links = append(d.links[:i], d.links[i+1:]...)
			return
		}
	}
}

// caller is one connection.
type caller struct {
	desk  *Desk
	link  *evloop.Conn
	late  *evloop.Timer // of the call, then of its answer
	waits bool          // for the node
	over  bool          // answered
}

// Opened implements evloop.Handler. The caller speaks first.
func (c *caller) Opened() {}

// Received implements evloop.Handler. What follows a call on its connection is not read: it is one call to a connection.
func (c *caller) Received() {
	if c.waits || c.over {
		c.link.Discard(len(c.link.Peek()))
		return
	}
	call, err := http1.ParseRequest(c.link.Peek())
	switch {
	case errors.Is(err, http1.ErrHeadTooLong):
		c.fail(431, err)
	case err != nil:
		c.fail(400, err)
	case call.Size > 0:
		c.link.Discard(call.Size)
		c.route(call)
	}
}

// Closed implements evloop.Handler. What a caller asked for is done though it leaves before the answer.
func (c *caller) Closed(error) {
	c.over = true
	c.late.Stop()
}

// route finds what a path names.
func (c *caller) route(call http1.Request) {
	node := c.desk.node
	host, isHost := strings.CutPrefix(call.Path, "/v1/hosts/")
	id, verb := cutLast(host)
	switch {
	case call.Path == "/v1/readyz":
		if c.permit(call, "GET") {
			c.ready(node.Ready())
		}
	case isHost && id != "" && verb == "suspend":
		c.post(call, func(done func(error)) { node.Suspend(id, done) })
	case isHost && id != "" && verb == "resume":
		c.post(call, func(done func(error)) { node.Resume(id, done) })
	case call.Path == "/v1/node/drain":
		c.post(call, node.Drain)
	case call.Path == "/v1/node/activate":
		c.post(call, node.Activate)
	default:
		c.fail(404, errors.New("no such path: "+call.Path))
	}
}

// cutLast cuts a path before its last part.
func cutLast(path string) (before, last string) {
	i := strings.LastIndexByte(path, '/')
	return path[:max(i, 0)], path[i+1:]
}

// permit says whether the call comes with the method that its path takes, and answers where it does not.
func (c *caller) permit(call http1.Request, method string) bool {
	if call.Method == method {
		return true
	}
	c.answer(405, method, body("error", "this path takes "+method))
	return false
}

// post has the node do something and answers once that stands.
func (c *caller) post(call http1.Request, do func(done func(error))) {
	if !c.permit(call, "POST") {
		return
	}
	c.waits = true
	c.link.SetEvictable(false)
	c.late.Stop()
	c.late = c.desk.loop.After(answerWithin, func() { c.done(call, errLate) })
	do(func(err error) { c.done(call, err) })
}

func (c *caller) done(call http1.Request, err error) {
	switch {
	case c.over:
		return
	case errors.Is(err, ErrUnknown):
		c.fail(404, err)
	case err != nil:
		c.fail(503, err)
	default:
		c.answer(200, "", body("done", strings.TrimPrefix(call.Path, "/v1/")))
	}
	c.desk.log.Info("an operator called", "path", call.Path, "error", err)
}

func (c *caller) ready(err error) {
	if err != nil {
		c.answer(503, "", body("error", "not ready: "+err.Error()))
		return
	}
	c.answer(200, "", body("done", "ready"))
}

func (c *caller) fail(status int, err error) { c.answer(status, "", body("error", err.Error())) }

// answer says the last words.
func (c *caller) answer(status int, allow string, text []byte) {
	c.waits, c.over = false, true
	c.late.Stop()
	c.link.Write(http1.AppendResponse(nil, status, allow, text))
	c.link.LingeringClose()
}

// body is an object of one key.
func body(key, text string) []byte {
	to := append([]byte(`{"`+key+`":`), gjson.AppendJSONString(nil, text)...)
	return append(to, "}\n"...)
}
