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
	maxConns = 16
	// callWithin is how long a call may take to come.
	requestTimeout = 2 * time.Second
	// answerWithin is how long the node may take over a call; an answer is due within 1 s.
	answerTimeout = 900 * time.Millisecond
)

// ErrUnknown says that no host of that id is known. Node wraps it.
var ErrUnknown = errors.New("no host of that id is known")

// errLate says that the effect of a call does not stand yet; it may still come to.
var errTimeout = errors.New("not done in time; call again to learn whether it holds")

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
type API struct {
	log   *slog.Logger
	loop  *evloop.Loop
	node  Node
	conns []*caller // the latest, the oldest first
}

// New returns a desk that hands calls on to a node.
func New(log *slog.Logger, loop *evloop.Loop, node Node) *API {
	return &API{log: log, loop: loop, node: node}
}

// Accept gives a connection its handler. It is the first to go when there are too many, as those of clients are that
// have not asked yet.
func (d *API) Accept(conn *evloop.Conn) evloop.Handler {
	c := &caller{api: d, conn: conn}
	c.timer = d.loop.After(requestTimeout, func() { c.fail(408, errors.New("no call has come")) })
	conn.SetEvictable(true)
	if d.conns = append(d.conns, c); len(d.conns) > maxConns {
		d.evictOldest()
	}
	return c
}

// makeRoom ends the oldest connection that waits for no answer. Those that do are as many as calls are under way, each
// for less than a second.
func (d *API) evictOldest() {
	for i, c := range d.conns {
		if !c.pending {
			c.timer.Stop()
			c.conn.Close() // does nothing to one that is over
			d.conns = append(d.conns[:i], d.conns[i+1:]...)
			return
		}
	}
}

// caller is one connection.
type caller struct {
	api      *API
	conn     *evloop.Conn
	timer    *evloop.Timer // of the call, then of its answer
	pending  bool          // for the node
	answered bool          // answered
}

// Opened implements evloop.Handler. The caller speaks first.
func (c *caller) Opened() {}

// Received implements evloop.Handler. What follows a call on its connection is not read: it is one call to a connection.
func (c *caller) Received() {
	if c.pending || c.answered {
		c.conn.Discard(len(c.conn.Peek()))
		return
	}
	call, err := http1.ParseRequest(c.conn.Peek())
	switch {
	case errors.Is(err, http1.ErrHeadTooLong):
		c.fail(431, err)
	case err != nil:
		c.fail(400, err)
	case call.Size > 0:
		c.conn.Discard(call.Size)
		c.route(call)
	}
}

// Closed implements evloop.Handler. What a caller asked for is done though it leaves before the answer.
func (c *caller) Closed(error) {
	c.answered = true
	c.timer.Stop()
}

// route finds what a path names.
func (c *caller) route(call http1.Request) {
	node := c.api.node
	host, isHost := strings.CutPrefix(call.Path, "/v1/hosts/")
	id, verb := splitLast(host)
	switch {
	case call.Path == "/v1/readyz":
		if c.requireMethod(call, "GET") {
			c.answerReady(node.Ready())
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
func splitLast(path string) (before, last string) {
	i := strings.LastIndexByte(path, '/')
	return path[:max(i, 0)], path[i+1:]
}

// permit says whether the call comes with the method that its path takes, and answers where it does not.
func (c *caller) requireMethod(call http1.Request, method string) bool {
	if call.Method == method {
		return true
	}
	c.answer(405, method, jsonBody("error", "this path takes "+method))
	return false
}

// post has the node do something and answers once that stands.
func (c *caller) post(call http1.Request, do func(done func(error))) {
	if !c.requireMethod(call, "POST") {
		return
	}
	c.pending = true
	c.conn.SetEvictable(false)
	c.timer.Stop()
	c.timer = c.api.loop.After(answerTimeout, func() { c.done(call, errTimeout) })
	do(func(err error) { c.done(call, err) })
}

func (c *caller) done(call http1.Request, err error) {
	switch {
	case c.answered:
		return
	case errors.Is(err, ErrUnknown):
		c.fail(404, err)
	case err != nil:
		c.fail(503, err)
	default:
		c.answer(200, "", jsonBody("done", strings.TrimPrefix(call.Path, "/v1/")))
	}
	c.api.log.Info("an operator called", "path", call.Path, "error", err)
}

func (c *caller) answerReady(err error) {
	if err != nil {
		c.answer(503, "", jsonBody("error", "not ready: "+err.Error()))
		return
	}
	c.answer(200, "", jsonBody("done", "ready"))
}

func (c *caller) fail(status int, err error) { c.answer(status, "", jsonBody("error", err.Error())) }

// answer says the last words.
func (c *caller) answer(status int, allow string, content []byte) {
	c.pending, c.answered = false, true
	c.timer.Stop()
	c.conn.Write(http1.AppendResponse(nil, status, allow, content))
	c.conn.LingeringClose()
}

// body is an object of one key.
func jsonBody(key, text string) []byte {
	object := append([]byte(`{"`+key+`":`), gjson.AppendJSONString(nil, text)...)
	return append(object, "}\n"...)
}
