// Package management implements the operator API on the management address: HTTP/1.1 with one call per connection. It only
// translates calls; the Node executes or refuses them.
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
	// maxConns is the number of operator connections above which the oldest one without a pending call is closed.
	maxConns = 16
	// requestTimeout is how long a request may take to arrive.
	requestTimeout = 2 * time.Second
	// answerTimeout is how long the node may take to execute a call; an answer is due within 1 s.
	answerTimeout = 900 * time.Millisecond
)

// ErrUnknown means that no host with the given id is known. Implementations of Node wrap it.
var ErrUnknown = errors.New("no host with this id is known")

// errTimeout means that a call has not taken effect yet; it may still do so.
var errTimeout = errors.New("the call has not taken effect in time; call again to see whether it has")

// Node executes calls. It calls done once, immediately or later, on the event loop: with nil as soon as the call has taken
// effect.
type Node interface {
	// Ready returns nil if the node is ready to serve, or the reason why it is not.
	Ready() error
	// Suspend stops the node from sending new work to a host, until Resume.
	Suspend(host string, done func(error))
	Resume(host string, done func(error))
	// Drain drains the node of connections, until Activate.
	Drain(done func(error))
	Activate(done func(error))
}

// API handles the connections of operators.
type API struct {
	log   *slog.Logger
	loop  *evloop.Loop
	node  Node
	conns []*caller // the most recent connections, oldest first
}

// New returns an API that hands calls to a node.
func New(log *slog.Logger, loop *evloop.Loop, node Node) *API {
	return &API{log: log, loop: loop, node: node}
}

// Accept returns the handler of a new connection. The connection is evictable until it has made a call, like client connections
// without a request: it is closed first when the loop has too many connections.
func (d *API) Accept(conn *evloop.Conn) evloop.Handler {
	c := &caller{api: d, conn: conn}
	c.timer = d.loop.After(requestTimeout, func() { c.fail(408, errors.New("no complete call received in time")) })
	conn.SetEvictable(true)
	if d.conns = append(d.conns, c); len(d.conns) > maxConns {
		d.evictOldest()
	}
	return c
}

// evictOldest closes the oldest connection without a pending call. Connections with a pending call are kept; each of them waits
// for less than a second.
func (d *API) evictOldest() {
	for i, c := range d.conns {
		if !c.pending {
			c.timer.Stop()
			c.conn.Close() // has no effect on a closed connection
			d.conns = append(d.conns[:i], d.conns[i+1:]...)
			return
		}
	}
}

// caller is the connection of one caller.
type caller struct {
	api      *API
	conn     *evloop.Conn
	timer    *evloop.Timer // time limit of the request, then of the answer
	pending  bool          // the node is executing its call
	answered bool          // answered or closed
}

// Opened implements evloop.Handler. It does nothing: the caller sends first.
func (c *caller) Opened() {}

// Received implements evloop.Handler. Data after the first call is discarded: a connection carries one call.
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

// Closed implements evloop.Handler. A call is executed even if its caller disconnects before the answer.
func (c *caller) Closed(error) {
	c.answered = true
	c.timer.Stop()
}

// route executes the call that the path names.
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

// splitLast splits a path before its last element.
func splitLast(path string) (before, last string) {
	i := strings.LastIndexByte(path, '/')
	return path[:max(i, 0)], path[i+1:]
}

// requireMethod reports whether the call uses the method that its path requires, and answers with an error if not.
func (c *caller) requireMethod(call http1.Request, method string) bool {
	if call.Method == method {
		return true
	}
	c.answer(405, method, jsonBody("error", "this path takes "+method))
	return false
}

// post has the node execute a call and answers when it has taken effect.
func (c *caller) post(call http1.Request, execute func(done func(error))) {
	if !c.requireMethod(call, "POST") {
		return
	}
	c.pending = true
	c.conn.SetEvictable(false)
	c.timer.Stop()
	c.timer = c.api.loop.After(answerTimeout, func() { c.done(call, errTimeout) })
	execute(func(err error) { c.done(call, err) })
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
	c.api.log.Info("operator call", "path", call.Path, "error", err)
}

func (c *caller) answerReady(err error) {
	if err != nil {
		c.answer(503, "", jsonBody("error", "not ready: "+err.Error()))
		return
	}
	c.answer(200, "", jsonBody("done", "ready"))
}

func (c *caller) fail(status int, err error) { c.answer(status, "", jsonBody("error", err.Error())) }

// answer sends the response and closes the connection after it.
func (c *caller) answer(status int, allow string, content []byte) {
	c.pending, c.answered = false, true
	c.timer.Stop()
	c.conn.Write(http1.AppendResponse(nil, status, allow, content))
	c.conn.LingeringClose()
}

// jsonBody returns a JSON object with one key.
func jsonBody(key, text string) []byte {
	object := append([]byte(`{"`+key+`":`), gjson.AppendJSONString(nil, text)...)
	return append(object, "}\n"...)
}
