package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/peer/peerpb/peerpbconnect"
)

// ClientLimits limits a Client. A zero field takes its default.
type ClientLimits struct {
	QueueLength  int           // queued calls in each lane; default 64
	CallTimeout  time.Duration // from the call to its reply; default 6 s, a little more than a Server's CallTimeout
	ShortTimeout time.Duration // the same for Renew and Raft, whose results soon become useless; default 1 s
	MaxBody      int           // of a reply, in bytes; default 1 MiB
	MaxBackoff   time.Duration // longest delay between two attempts to reach an unreachable peer; default 1 s
}

func (l ClientLimits) orDefaults() ClientLimits {
	return ClientLimits{
		QueueLength: cmp.Or(l.QueueLength, 64), CallTimeout: cmp.Or(l.CallTimeout, 6*time.Second), ShortTimeout: cmp.Or(l.ShortTimeout, time.Second),
		MaxBody: cmp.Or(l.MaxBody, 1<<20), MaxBackoff: cmp.Or(l.MaxBackoff, time.Second),
	}
}

// ClientConns is the maximum number of connections of a Client: one for each lane.
const ClientConns = 3

// minBackoff is the upper bound of the first backoff after a failure; the bound doubles with each further failure.
const minBackoff = 20 * time.Millisecond

// Client calls one peer. It implements Node: each method returns at once, and done is called once, on another goroutine, with
// the reply or an *Error. Calls are queued in three lanes with one worker and one connection each: a reply to Renew may require
// Raft messages to get through first, and neither may wait for an operator's call.
type Client struct {
	peer          string
	limits        ClientLimits
	ctx           context.Context
	cancel        context.CancelFunc
	http          *http.Transport
	councilClient peerpbconnect.CouncilClient
	deskClient    peerpbconnect.DeskClient
	raft          *lane
	renew         *lane
	general       *lane
	workers       sync.WaitGroup

	mu       sync.Mutex
	failures int       // consecutive attempts that did not reach the peer
	nextTry  time.Time // earliest time of the next attempt
}

// NewClient returns a client of the peer with the given name and address, which accepts calls until Close. It dials on the
// first call.
func NewClient(node, addr string, limits ClientLimits) *Client {
	c := &Client{peer: node + " (" + addr + ")", limits: limits.orDefaults(), raft: newLane(), renew: newLane(), general: newLane()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	var protocols http.Protocols
	protocols.SetHTTP1(true) // cancelling a call closes its connection; an HTTP/2 connection would stay open
	c.http = &http.Transport{
		DialContext: (&net.Dialer{Timeout: c.limits.ShortTimeout}).DialContext, Protocols: &protocols, DisableCompression: true,
		MaxConnsPerHost: ClientConns, MaxIdleConnsPerHost: ClientConns, IdleConnTimeout: 30 * time.Second, // less than a Server's IdleTimeout
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	options := []connect.ClientOption{connect.WithReadMaxBytes(c.limits.MaxBody), connect.WithAcceptCompression("gzip", nil, nil)}
	c.councilClient = peerpbconnect.NewCouncilClient(limitedTransport{c}, "http://"+addr, options...)
	c.deskClient = peerpbconnect.NewDeskClient(limitedTransport{c}, "http://"+addr, options...)
	for _, l := range c.lanes() {
		c.workers.Add(1)
		go c.runLane(l)
	}
	return c
}

func (c *Client) lanes() [ClientConns]*lane { return [ClientConns]*lane{c.raft, c.renew, c.general} }

// Close cancels pending and queued calls. It returns within a second, even if a done callback does not return.
func (c *Client) Close() {
	c.cancel()
	finished := make(chan struct{})
	go func() { c.workers.Wait(); close(finished) }()
	timer := time.NewTimer(closeGrace)
	defer timer.Stop()
	select {
	case <-finished:
	case <-timer.C:
	}
	c.http.CloseIdleConnections()
}

// limitedTransport is the HTTP transport with a limited size of replies, error replies included, and without redirects.
type limitedTransport struct{ *Client }

func (b limitedTransport) Do(r *http.Request) (*http.Response, error) {
	reply, err := b.http.RoundTrip(r)
	if err == nil {
		reply.Body = http.MaxBytesReader(nil, reply.Body, int64(b.limits.MaxBody)+maxHeaderBytes)
	}
	return reply, err
}

// send queues a call in a lane. If the lane is full, it drops the oldest queued call if dropOldest is set, and fails the new
// call otherwise.
func send[Q, A any](c *Client, l *lane, name string, timeout time.Duration, dropOldest bool, request *Q, done func(*A, error),
	call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) {
	c.enqueue(l, dropOldest, &queuedCall{
		name: name, deadline: time.Now().Add(timeout), timeout: timeout, skipsBackoff: name == "Replay",
		run: func(ctx context.Context) error {
			reply, err := call(ctx, connect.NewRequest(request))
			if err == nil {
				done(reply.Msg, nil)
			}
			return err
		},
		fail: func(e *Error) { e.Call, e.Peer = name, c.peer; done(nil, e) },
	})
}

// enqueue queues a call in a lane. A call whose deadline passes while it is queued fails at that time, even if the worker is
// busy.
func (c *Client) enqueue(l *lane, dropOldest bool, w *queuedCall) {
	if c.ctx.Err() != nil {
		go w.fail(closedError(w.name))
		return
	}
	l.enqueue(w, c.limits.QueueLength, dropOldest, func() {
		if l.cancel(w) {
			w.fail(clientError(w.name, c.peer, w.timeout, context.DeadlineExceeded))
		}
	})
}

// runLane makes the calls of a lane one at a time until Close.
func (c *Client) runLane(l *lane) {
	defer c.workers.Done()
	for c.ctx.Err() == nil {
		backoff := c.backoffLeft()
		if w := l.dequeue(backoff > 0); w != nil {
			c.call(w)
			continue
		}
		c.await(l, backoff)
	}
	for _, w := range l.close() {
		w.fail(closedError(w.name))
	}
}

// await returns when a call is queued, the peer becomes reachable, the backoff (if any) ends, or the client is closed.
func (c *Client) await(l *lane, backoff time.Duration) {
	var elapsed <-chan time.Time
	if backoff > 0 {
		timer := time.NewTimer(backoff)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-l.wake:
	case <-elapsed:
	case <-c.ctx.Done():
	}
}

func (c *Client) call(w *queuedCall) {
	ctx, cancel := context.WithDeadline(c.ctx, w.deadline)
	defer cancel()
	err := ctx.Err()
	if err == nil {
		err = w.run(ctx)
		c.recordReachable(err == nil || connect.IsWireError(err))
	}
	if err != nil {
		w.fail(clientError(w.name, c.peer, w.timeout, err))
	}
}

// recordReachable records whether the peer gave a protocol response. While it does not, the backoff grows; it is drawn at
// random, so that the clients of a peer that returns do not all call it at once.
func (c *Client) recordReachable(reachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reachable && c.failures == 0 {
		return
	}
	if reachable {
		c.failures, c.nextTry = 0, time.Time{}
		for _, l := range c.lanes() {
			l.notify() // the backoff ends for all lanes
		}
		return
	}
	longest := min(c.limits.MaxBackoff, minBackoff<<min(c.failures, 16))
	c.failures++
	c.nextTry = time.Now().Add(longest/4 + rand.N(max(longest*3/4, 1)))
}

// backoffLeft returns the time until the next attempt is allowed; 0 or less if it is allowed now.
func (c *Client) backoffLeft() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(c.nextTry)
}

// Renew implements Node.
func (c *Client) Renew(q *peerpb.RenewRequest, done func(*peerpb.RenewReply, error)) {
	send(c, c.renew, "Renew", c.limits.ShortTimeout, true, q, done, c.councilClient.Renew)
}

// Raft implements Node. If the queue is full, the oldest batch is dropped, and its done callback gets an error of kind Dropped.
func (c *Client) Raft(q *peerpb.RaftRequest, done func(*peerpb.RaftReply, error)) {
	send(c, c.raft, "Raft", c.limits.ShortTimeout, true, q, done, c.councilClient.Raft)
}

// Replay implements Node.
func (c *Client) Replay(q *peerpb.ReplayRequest, done func(*peerpb.ReplayReply, error)) {
	c.ReplayWithTimeout(c.limits.CallTimeout, q, done)
}

// ReplayWithTimeout is Replay with a timeout. The caller does its own backoff: the call does not wait for the client's.
func (c *Client) ReplayWithTimeout(timeout time.Duration, q *peerpb.ReplayRequest, done func(*peerpb.ReplayReply, error)) {
	send(c, c.general, "Replay", min(timeout, c.limits.CallTimeout), false, q, done, c.councilClient.Replay)
}

// Ask implements Node.
func (c *Client) Ask(q *peerpb.AskRequest, done func(*peerpb.TurnReply, error)) {
	send(c, c.general, "Ask", c.limits.CallTimeout, false, q, done, c.deskClient.Ask)
}

// Begin implements Node.
func (c *Client) Begin(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	send(c, c.general, "Begin", c.limits.CallTimeout, false, q, done, c.deskClient.Begin)
}

// Done implements Node.
func (c *Client) Done(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	send(c, c.general, "Done", c.limits.CallTimeout, false, q, done, c.deskClient.Done)
}

// Withdraw implements Node.
func (c *Client) Withdraw(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	send(c, c.general, "Withdraw", c.limits.CallTimeout, false, q, done, c.deskClient.Withdraw)
}

// Turns implements Node.
func (c *Client) Turns(q *peerpb.TurnsRequest, done func(*peerpb.TurnsReply, error)) {
	send(c, c.general, "Turns", c.limits.CallTimeout, false, q, done, c.deskClient.Turns)
}

// Write implements Node.
func (c *Client) Write(q *peerpb.WriteRequest, done func(*peerpb.WriteReply, error)) {
	send(c, c.general, "Write", c.limits.CallTimeout, false, q, done, c.deskClient.Write)
}

// Read implements Node.
func (c *Client) Read(q *peerpb.ReadRequest, done func(*peerpb.ReadReply, error)) {
	send(c, c.general, "Read", c.limits.CallTimeout, false, q, done, c.deskClient.Read)
}

// DeclareDead implements Node.
func (c *Client) DeclareDead(q *peerpb.DeclareRequest, done func(*peerpb.DeclareReply, error)) {
	send(c, c.general, "DeclareDead", c.limits.CallTimeout, false, q, done, c.deskClient.DeclareDead)
}

// TakeIn implements Node.
func (c *Client) TakeIn(q *peerpb.DeclareRequest, done func(*peerpb.DeclareReply, error)) {
	send(c, c.general, "TakeIn", c.limits.CallTimeout, false, q, done, c.deskClient.TakeIn)
}

// Vouch implements Node.
func (c *Client) Vouch(q *peerpb.VouchRequest, done func(*peerpb.SeatReply, error)) {
	send(c, c.general, "Vouch", c.limits.CallTimeout, false, q, done, c.deskClient.Vouch)
}

// FoundAnew implements Node.
func (c *Client) FoundAnew(q *peerpb.FoundRequest, done func(*peerpb.SeatReply, error)) {
	send(c, c.general, "FoundAnew", c.limits.CallTimeout, false, q, done, c.deskClient.FoundAnew)
}

// StartPolicy implements Node.
func (c *Client) StartPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	send(c, c.general, "StartPolicy", c.limits.CallTimeout, false, q, done, c.deskClient.StartPolicy)
}

// HaltPolicy implements Node.
func (c *Client) HaltPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	send(c, c.general, "HaltPolicy", c.limits.CallTimeout, false, q, done, c.deskClient.HaltPolicy)
}

// ResumePolicy implements Node.
func (c *Client) ResumePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	send(c, c.general, "ResumePolicy", c.limits.CallTimeout, false, q, done, c.deskClient.ResumePolicy)
}

// ForcePolicy implements Node.
func (c *Client) ForcePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	send(c, c.general, "ForcePolicy", c.limits.CallTimeout, false, q, done, c.deskClient.ForcePolicy)
}

// Policies implements Node.
func (c *Client) Policies(q *peerpb.PoliciesRequest, done func(*peerpb.PoliciesReply, error)) {
	send(c, c.general, "Policies", c.limits.CallTimeout, false, q, done, c.deskClient.Policies)
}

var _ Node = (*Client)(nil)
