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

// ClientLimits bound a Client. What is 0 has its default.
type ClientLimits struct {
	Queue  int           // calls that wait, in each lane; 64
	Within time.Duration // from the call to its answer; 6 s, a little more than a Server takes
	Quick  time.Duration // the same of Renew and Raft, which are soon worth nothing; 1 s
	Body   int           // of a reply, in bytes; 1 MiB
	Pause  time.Duration // the longest between two tries at a peer that is not reached; 1 s
}

func (l ClientLimits) orDefaults() ClientLimits {
	return ClientLimits{
		Queue: cmp.Or(l.Queue, 64), Within: cmp.Or(l.Within, 6*time.Second), Quick: cmp.Or(l.Quick, time.Second),
		Body: cmp.Or(l.Body, 1<<20), Pause: cmp.Or(l.Pause, time.Second),
	}
}

// ClientLinks is how many connections a Client makes: one for each lane.
const ClientLinks = 3

// leastPause is the first one between two tries; each further one is up to twice as long.
const leastPause = 20 * time.Millisecond

// Client calls one peer. It is a Node: each method returns at once, and done is called once, on another goroutine, with the
// reply or an *Error. Calls wait in three lanes of one worker and one connection each: an answer to Renew may need messages
// of Raft to come through first, and neither may wait for an operator's call.
type Client struct {
	peer    string
	limits  ClientLimits
	ctx     context.Context
	cancel  context.CancelFunc
	http    *http.Transport
	council peerpbconnect.CouncilClient
	desk    peerpbconnect.DeskClient
	raft    *lane
	renew   *lane
	rest    *lane
	workers sync.WaitGroup

	mu     sync.Mutex
	failed int       // tries in a row that did not reach the peer
	next   time.Time // not before then
}

// NewClient returns a client of the peer of a name at an address, for calls until Close. Nothing is dialled before the first.
func NewClient(node, addr string, limits ClientLimits) *Client {
	c := &Client{peer: node + " (" + addr + ")", limits: limits.orDefaults(), raft: newLane(), renew: newLane(), rest: newLane()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	var protocols http.Protocols
	protocols.SetHTTP1(true) // a call that is given up takes its connection with it; in HTTP/2 that would stay
	c.http = &http.Transport{
		DialContext: (&net.Dialer{Timeout: c.limits.Quick}).DialContext, Protocols: &protocols, DisableCompression: true,
		MaxConnsPerHost: ClientLinks, MaxIdleConnsPerHost: ClientLinks, IdleConnTimeout: 30 * time.Second, // less than a Server's Idle
		MaxResponseHeaderBytes: maxHead,
	}
	options := []connect.ClientOption{connect.WithReadMaxBytes(c.limits.Body), connect.WithAcceptCompression("gzip", nil, nil)}
	c.council = peerpbconnect.NewCouncilClient(boundClient{c}, "http://"+addr, options...)
	c.desk = peerpbconnect.NewDeskClient(boundClient{c}, "http://"+addr, options...)
	for _, l := range c.lanes() {
		c.workers.Add(1)
		go c.work(l)
	}
	return c
}

func (c *Client) lanes() [ClientLinks]*lane { return [ClientLinks]*lane{c.raft, c.renew, c.rest} }

// Close gives up the calls under way and those that wait, and ends within a second, even if a done does not return.
func (c *Client) Close() {
	c.cancel()
	over := make(chan struct{})
	go func() { c.workers.Wait(); close(over) }()
	timer := time.NewTimer(closeGrace)
	defer timer.Stop()
	select {
	case <-over:
	case <-timer.C:
	}
	c.http.CloseIdleConnections()
}

// boundClient is the transport, with replies of a bounded size, those that tell errors too, and no redirects.
type boundClient struct{ *Client }

func (b boundClient) Do(r *http.Request) (*http.Response, error) {
	reply, err := b.http.RoundTrip(r)
	if err == nil {
		reply.Body = http.MaxBytesReader(nil, reply.Body, int64(b.limits.Body)+maxHead)
	}
	return reply, err
}

// send puts a call into a lane; where that is full, the oldest makes way, or the call comes to nothing.
func send[Q, A any](c *Client, l *lane, name string, within time.Duration, oldestGoes bool, q *Q, done func(*A, error),
	call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) {
	c.put(l, oldestGoes, &waiting{
		name: name, by: time.Now().Add(within), within: within, ownPauses: name == "Replay",
		run: func(ctx context.Context) error {
			reply, err := call(ctx, connect.NewRequest(q))
			if err == nil {
				done(reply.Msg, nil)
			}
			return err
		},
		fail: func(e *Error) { e.Call, e.Peer = name, c.peer; done(nil, e) },
	})
}

// put puts a call into a lane, and tells it when its time is over there, whatever the worker does meanwhile.
func (c *Client) put(l *lane, oldestGoes bool, w *waiting) {
	if c.ctx.Err() != nil {
		go w.fail(closed(w.name))
		return
	}
	l.put(w, c.limits.Queue, oldestGoes, func() {
		if l.drop(w) {
			w.fail(told(w.name, c.peer, w.within, context.DeadlineExceeded))
		}
	})
}

// work calls the peer, one call after the other, until Close.
func (c *Client) work(l *lane) {
	defer c.workers.Done()
	for c.ctx.Err() == nil {
		pause := c.pauseLeft()
		if w := l.take(pause > 0); w != nil {
			c.call(w)
			continue
		}
		c.await(l, pause)
	}
	for _, w := range l.close() {
		w.fail(closed(w.name))
	}
}

// await returns once a call has come, the peer was reached, the pause is over, if there is one, or at Close.
func (c *Client) await(l *lane, pause time.Duration) {
	var over <-chan time.Time
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		over = timer.C
	}
	select {
	case <-l.wake:
	case <-over:
	case <-c.ctx.Done():
	}
}

func (c *Client) call(w *waiting) {
	ctx, cancel := context.WithDeadline(c.ctx, w.by)
	defer cancel()
	err := ctx.Err()
	if err == nil {
		err = w.run(ctx)
		c.reached(err == nil || connect.IsWireError(err))
	}
	if err != nil {
		w.fail(told(w.name, c.peer, w.within, err))
	}
}

// reached notes whether a peer spoke as a peer does. While it does not, the time to the next try grows, and is drawn at
// random, so that all who wait for it do not come at once.
func (c *Client) reached(it bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if it && c.failed == 0 {
		return
	}
	if it {
		c.failed, c.next = 0, time.Time{}
		for _, l := range c.lanes() {
			l.notify() // the pause is over for all
		}
		return
	}
	most := min(c.limits.Pause, leastPause<<min(c.failed, 16))
	c.failed++
	c.next = time.Now().Add(most/4 + rand.N(max(most*3/4, 1)))
}

// pauseLeft returns how long it is until the peer may be tried again; 0 or less: it may.
func (c *Client) pauseLeft() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(c.next)
}

// Renew implements Node, as the others do.
func (c *Client) Renew(q *peerpb.RenewRequest, done func(*peerpb.RenewReply, error)) {
	send(c, c.renew, "Renew", c.limits.Quick, true, q, done, c.council.Renew)
}

// Raft implements Node. Where the queue is full, its oldest batch is dropped, and its done is told.
func (c *Client) Raft(q *peerpb.RaftRequest, done func(*peerpb.RaftReply, error)) {
	send(c, c.raft, "Raft", c.limits.Quick, true, q, done, c.council.Raft)
}

// Replay implements Node.
func (c *Client) Replay(q *peerpb.ReplayRequest, done func(*peerpb.ReplayReply, error)) {
	c.ReplayWithin(c.limits.Within, q, done)
}

// ReplayWithin is Replay, given up after a time. The caller makes its own pauses: the call waits for none of the client's.
func (c *Client) ReplayWithin(within time.Duration, q *peerpb.ReplayRequest, done func(*peerpb.ReplayReply, error)) {
	send(c, c.rest, "Replay", min(within, c.limits.Within), false, q, done, c.council.Replay)
}

// Ask implements Node.
func (c *Client) Ask(q *peerpb.AskRequest, done func(*peerpb.TurnReply, error)) {
	send(c, c.rest, "Ask", c.limits.Within, false, q, done, c.desk.Ask)
}

// Begin implements Node.
func (c *Client) Begin(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	send(c, c.rest, "Begin", c.limits.Within, false, q, done, c.desk.Begin)
}

// Done implements Node.
func (c *Client) Done(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	send(c, c.rest, "Done", c.limits.Within, false, q, done, c.desk.Done)
}

// Withdraw implements Node.
func (c *Client) Withdraw(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	send(c, c.rest, "Withdraw", c.limits.Within, false, q, done, c.desk.Withdraw)
}

// Turns implements Node.
func (c *Client) Turns(q *peerpb.TurnsRequest, done func(*peerpb.TurnsReply, error)) {
	send(c, c.rest, "Turns", c.limits.Within, false, q, done, c.desk.Turns)
}

// Write implements Node.
func (c *Client) Write(q *peerpb.WriteRequest, done func(*peerpb.WriteReply, error)) {
	send(c, c.rest, "Write", c.limits.Within, false, q, done, c.desk.Write)
}

// Read implements Node.
func (c *Client) Read(q *peerpb.ReadRequest, done func(*peerpb.ReadReply, error)) {
	send(c, c.rest, "Read", c.limits.Within, false, q, done, c.desk.Read)
}

// DeclareDead implements Node.
func (c *Client) DeclareDead(q *peerpb.DeclareRequest, done func(*peerpb.DeclareReply, error)) {
	send(c, c.rest, "DeclareDead", c.limits.Within, false, q, done, c.desk.DeclareDead)
}

// TakeIn implements Node.
func (c *Client) TakeIn(q *peerpb.DeclareRequest, done func(*peerpb.DeclareReply, error)) {
	send(c, c.rest, "TakeIn", c.limits.Within, false, q, done, c.desk.TakeIn)
}

// Vouch implements Node.
func (c *Client) Vouch(q *peerpb.VouchRequest, done func(*peerpb.SeatReply, error)) {
	send(c, c.rest, "Vouch", c.limits.Within, false, q, done, c.desk.Vouch)
}

// FoundAnew implements Node.
func (c *Client) FoundAnew(q *peerpb.FoundRequest, done func(*peerpb.SeatReply, error)) {
	send(c, c.rest, "FoundAnew", c.limits.Within, false, q, done, c.desk.FoundAnew)
}

// StartPolicy implements Node.
func (c *Client) StartPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	send(c, c.rest, "StartPolicy", c.limits.Within, false, q, done, c.desk.StartPolicy)
}

// HaltPolicy implements Node.
func (c *Client) HaltPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	send(c, c.rest, "HaltPolicy", c.limits.Within, false, q, done, c.desk.HaltPolicy)
}

// ResumePolicy implements Node.
func (c *Client) ResumePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	send(c, c.rest, "ResumePolicy", c.limits.Within, false, q, done, c.desk.ResumePolicy)
}

// ForcePolicy implements Node.
func (c *Client) ForcePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	send(c, c.rest, "ForcePolicy", c.limits.Within, false, q, done, c.desk.ForcePolicy)
}

// Policies implements Node.
func (c *Client) Policies(q *peerpb.PoliciesRequest, done func(*peerpb.PoliciesReply, error)) {
	send(c, c.rest, "Policies", c.limits.Within, false, q, done, c.desk.Policies)
}

var _ Node = (*Client)(nil)
