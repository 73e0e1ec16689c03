package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"lichenhitch/internal/boottime"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/consensus"
	"lichenhitch/internal/consensus/store"
	"lichenhitch/internal/peer"
	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/site"
)

const (
	// inboxSize is how many calls, answers and reports may wait for the control thread. Beyond it, calls are refused, and
	// answers of peers and reports are dropped like lost messages.
	inboxSize = 256
	// stopTimeout is how long Stop waits for the thread, which may be stuck in its store.
	stopTimeout = 2 * time.Second
	// transferTimeout is how long Stop waits at most, before that, until another replica leads.
	transferTimeout = stopTimeout / 2
	// stateBucket and its keys are where the store has the node's send lease and its policies.
	stateBucket = "right"
	leaseKey    = "saved"
	policyKey   = "policy"
)

// Loop is the traffic loop. Its methods are called on the control thread and return at once.
type Loop interface {
	// Now returns the node's time. It may be called from any thread.
	Now() time.Duration
	// Do schedules a function on the loop. It returns false if the loop has ended.
	Do(func()) bool
}

// Thread runs a Core in the process, on a thread of its own. Control passes restrictions and policies to the traffic loop,
// where a later value replaces one that was not applied yet; the loop passes reports to control through a bounded queue, and
// new ones are dropped while the thread is behind. Neither side waits for the other.
type Thread struct {
	log     *slog.Logger
	site    *site.Site
	tick    time.Duration
	loop    Loop
	traffic Traffic
	store   *store.Store
	server  *peer.Server
	peers   map[string]*peer.Client
	inbox   chan func()
	core    *Core // used only on the control thread

	restrictions latest[sendlease.Restrictions]
	policy       latest[Policy]

	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

// Start opens the store, begins to listen and starts the thread. wait is how long an earlier process of this node may still
// use its send lease. maxConns is how many connections the peer address accepts.
func Start(log *slog.Logger, s *site.Site, loop Loop, traffic Traffic, wait time.Duration, maxConns int) (*Thread, error) {
	t := &Thread{log: log, site: s, tick: s.Tick, loop: loop, traffic: traffic, peers: map[string]*peer.Client{},
		inbox: make(chan func(), inboxSize), stop: make(chan struct{}), stopped: make(chan struct{})}
	var stored consensus.StoredState
	var err error
	t.store, stored, err = store.Open(filepath.Join(s.Store, "council.db"), store.Identity{Site: s.Own.Name, Node: s.Node,
		Witness: s.Witness})
	if err != nil {
		return nil, err
	}
	saved, err := t.loadLease()
	if err != nil {
		t.store.Close()
		return nil, err
	}
	kept, err := t.loadPolicies()
	if err != nil {
		t.store.Close()
		return nil, err
	}
	identity := t.store.Identity()
	t.core, err = New(loop.Now(), Options{Site: s, StoreIncarnation: identity.ReplicaIncarnation, OpenCount: identity.OpenCount,
		RunID: identity.RunID, StoreVerified: identity.Verified, StoredState: stored, SavedLease: saved, KeptPolicies: kept,
		CheckPolicy: traffic.Check, LeaseWait: wait}, t)
	if err != nil {
		t.store.Close()
		return nil, err
	}
	for name, address := range s.Peers {
		t.peers[name] = peer.NewClient(name, address, peer.ClientLimits{})
	}
	if t.server, err = peer.Serve(s.Listen, operatorAPI{t}, peer.Limits{MaxConns: maxConns}); err != nil {
		t.closePeers()
		t.store.Close()
		return nil, err
	}
	log.Info("open to peers", "listen", t.server.Addr(), "site", s.Own.Name, "seat", s.IsVoter, "store", s.Store, "boot", identity.OpenCount)
	go t.run()
	return t, nil
}

// loadLease reads the node's send lease state from the store. A new store gets an incarnation greater than that of any store
// before it.
func (t *Thread) loadLease() (saved sendlease.Saved, err error) {
	raw, err := t.store.Get(stateBucket, leaseKey)
	if err != nil {
		return saved, err
	}
	if raw == nil {
		saved.Incarnation = uint64(time.Now().UnixNano())
		return saved, t.SaveLease(saved)
	}
	return saved, json.Unmarshal(raw, &saved)
}

// loadPolicies reads the node's policy state from the store.
func (t *Thread) loadPolicies() (PolicyState, error) {
	raw, err := t.store.Get(stateBucket, policyKey)
	if err != nil || raw == nil {
		return PolicyState{}, err
	}
	var k storedPolicies
	if err := json.Unmarshal(raw, &k); err != nil {
		return PolicyState{}, err
	}
	now := t.loop.Now()
	k.PolicyState.LeaseEnd = leaseEndFromStore(k.LeaseEnd, k.TrialLease, now, t.bootTime())
	return k.PolicyState, nil
}

// bootTime returns the present moment on the boot clock, which continues across restarts of the process; the zero moment if it
// cannot be read.
func (t *Thread) bootTime() boottime.Moment {
	m, err := boottime.Now()
	if err != nil {
		t.log.Warn("boot clock not readable: after a restart the node applies the good policy until its site answers", "error", err)
	}
	return m
}

// Addr returns the address for peers and operators.
func (t *Thread) Addr() string { return t.server.Addr() }

// Stop ends the thread, closes the listener and the store. If this node leads, it first transfers the leadership, and waits for
// that at most an election time-out and at most transferTimeout. A thread that is stuck is abandoned: its store stays locked
// until the process ends.
func (t *Thread) Stop() {
	t.once.Do(func() {
		t.transferLeadership(min(consensus.ElectionTicks*t.tick, transferTimeout))
		t.server.Close()
		close(t.stop)
		timer := time.NewTimer(stopTimeout)
		defer timer.Stop()
		select {
		case <-t.stopped:
		case <-timer.C:
			t.log.Error("the control thread is stuck and is abandoned; the store stays locked until the process ends")
		}
	})
}

// transferLeadership waits until this node no longer leads, or until the time-out.
func (t *Thread) transferLeadership(timeout time.Duration) {
	transferred := make(chan struct{})
	if !t.Do(func() { t.core.TransferLeadership(t.loop.Now(), func() { close(transferred) }) }) {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-transferred:
	case <-timer.C:
		t.log.Info("stops before another replica was seen to lead; the others elect a leader after their election time-out")
	}
}

func (t *Thread) closePeers() {
	for _, p := range t.peers {
		p.Close()
	}
}

// Report passes a report of the traffic loop to control. It returns false while the thread is behind: then a later report must
// contain what was counted.
func (t *Thread) Report(r Report) bool {
	return t.Do(func() { t.core.HandleLoopReport(t.loop.Now(), r) })
}

// ApplySiteFile applies a changed site file that Site.CheckChange has accepted.
func (t *Thread) ApplySiteFile(s *site.Site) {
	t.Do(func() {
		for name, p := range t.peers {
			// A node that is no longer in the site file keeps its client: its replica may be a voter until the group removes it.
			if s.Peers[name] != "" && s.Peers[name] != t.site.Peers[name] {
				delete(t.peers, name)
				go p.Close()
			}
		}
		for name, address := range s.Peers {
			if t.peers[name] == nil {
				t.peers[name] = peer.NewClient(name, address, peer.ClientLimits{})
			}
		}
		t.site = s
		t.core.ApplySiteFile(s)
	})
}

// Do schedules a function on the control thread, and returns false if the queue is full. It never waits.
func (t *Thread) Do(f func()) bool {
	select {
	case t.inbox <- f:
		return true
	default:
		return false
	}
}

func (t *Thread) run() {
	runtime.LockOSThread() // a store that hangs in a system call then blocks no thread of other goroutines
	defer close(t.stopped)
	tick := time.NewTicker(t.tick)
	defer tick.Stop()
	for {
		select {
		case <-t.stop:
			t.closePeers()
			if err := t.store.Close(); err != nil {
				t.log.Warn("closing the store failed", "error", err)
			}
			return
		case <-tick.C:
			t.core.Tick(t.loop.Now())
		case f := <-t.inbox:
			f()
		}
	}
}

// ---- Env ----

// Save implements Env.
func (t *Thread) Save(s consensus.WriteBatch) error { return t.store.Save(s) }

// SaveLease implements Env.
func (t *Thread) SaveLease(s sendlease.Saved) error {
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return t.store.Put(stateBucket, leaseKey, raw)
}

// SavePolicies implements Env.
func (t *Thread) SavePolicies(k PolicyState) error {
	stored := storedPolicies{PolicyState: k}
	if k.LeaseEnd != 0 {
		boot := t.bootTime()
		stored.LeaseEnd = leaseEndToStore(k.LeaseEnd, t.loop.Now(), boot)
	}
	raw, err := json.Marshal(stored)
	if err != nil {
		return err
	}
	return t.store.Put(stateBucket, policyKey, raw)
}

// ApplyPolicy implements Env.
func (t *Thread) ApplyPolicy(p Policy) { t.policy.deliver(p, t.loop, t.traffic.ApplyPolicy) }

// MarkRefused implements Env.
func (t *Thread) MarkRefused(why string) error { return t.store.MarkRefused(why) }

// SendRaft implements Env.
func (t *Thread) SendRaft(node string, q *peerpb.RaftRequest) {
	if p := t.peers[node]; p != nil {
		p.Raft(q, func(r *peerpb.RaftReply, err error) {
			if err == nil {
				t.Do(func() { t.core.HandleRaftReply(t.loop.Now(), r) })
			}
		})
	}
}

// SendRenew implements Env.
func (t *Thread) SendRenew(node string, q *peerpb.RenewRequest) {
	if p := t.peers[node]; p != nil {
		p.Renew(q, func(r *peerpb.RenewReply, err error) {
			if err == nil {
				t.Do(func() { t.core.HandleLeaseResponse(t.loop.Now(), r) })
			}
		})
	}
}

// SendReplay implements Env.
func (t *Thread) SendReplay(node string, call uint64, timeout time.Duration, q *peerpb.ReplayRequest) {
	p := t.peers[node]
	if p == nil { // its address is not known
		t.Do(func() { t.core.HandleReplayReply(t.loop.Now(), call, nil) })
		return
	}
	p.ReplayWithTimeout(timeout, q, func(r *peerpb.ReplayReply, err error) {
		if err != nil {
			r = nil
		}
		t.Do(func() { t.core.HandleReplayReply(t.loop.Now(), call, r) })
	})
}

// ApplyRestrictions implements Env.
func (t *Thread) ApplyRestrictions(v sendlease.Restrictions) {
	t.restrictions.deliver(v, t.loop, t.traffic.ApplyRestrictions)
}

// latest is the next value for the traffic loop. A later value replaces one that the loop has not taken yet.
type latest[T any] struct {
	mu     sync.Mutex
	value  T
	posted bool // the loop has a pending function that takes the value
}

// deliver passes a value, or the later one that replaced it, to apply on the loop.
func (l *latest[T]) deliver(v T, loop Loop, apply func(T)) {
	l.mu.Lock()
	l.value = v
	post := !l.posted
	l.posted = true
	l.mu.Unlock()
	if !post {
		return
	}
	loop.Do(func() {
		l.mu.Lock()
		v := l.value
		l.posted = false
		l.mu.Unlock()
		apply(v)
	})
}

// Log implements Env.
func (t *Thread) Log(message string, args ...any) { t.log.Info(message, args...) }

// ---- Calls ----

// operatorAPI carries out the calls of peers and operators on the control thread.
type operatorAPI struct{ *Thread }

var _ peer.Node = operatorAPI{}

// Renew implements peer.Node.
func (d operatorAPI) Renew(q *peerpb.RenewRequest, done func(*peerpb.RenewReply, error)) {
	if !d.Do(func() {
		d.core.HandleLeaseRequest(d.loop.Now(), q, func(r *peerpb.RenewReply) { done(r, nil) })
	}) {
		done(nil, &BusyError{})
	}
}

// Raft implements peer.Node.
func (d operatorAPI) Raft(q *peerpb.RaftRequest, done func(*peerpb.RaftReply, error)) {
	if !d.Do(func() { done(d.core.HandleRaft(d.loop.Now(), q), nil) }) {
		done(nil, &BusyError{})
	}
}

// Replay implements peer.Node.
func (d operatorAPI) Replay(q *peerpb.ReplayRequest, done func(*peerpb.ReplayReply, error)) {
	if !d.Do(func() {
		d.core.Replay(d.loop.Now(), q, func(r *peerpb.ReplayReply) { done(r, nil) })
	}) {
		done(nil, &BusyError{})
	}
}

// Write implements peer.Node.
func (d operatorAPI) Write(q *peerpb.WriteRequest, done func(*peerpb.WriteReply, error)) {
	kind, err := kindOf(q.Kind)
	if err != nil {
		done(nil, err)
		return
	}
	if isReservedKey(q.Thing) {
		done(nil, &ReservedKeyError{Key: q.Thing})
		return
	}
	local := sitesync.LocalWrite{Kind: kind, Subject: q.Thing, Value: []byte(q.Value), By: q.By, Urgent: q.Urgent, Token: q.Token}
	if !d.Do(func() {
		d.core.Write(d.loop.Now(), local, func(r Reply, err error) {
			if p := d.leaderClient(err, q.Forwarded); p != nil {
				q.Forwarded = true
				p.Write(q, done)
				return
			}
			if err != nil {
				done(nil, err)
				return
			}
			done(&peerpb.WriteReply{Id: writtenID(r.Effects), Token: d.core.siteSync.Token()}, nil)
		})
	}) {
		done(nil, &BusyError{})
	}
}

// Read implements peer.Node. A replica answers from its applied state; a node without one forwards the call to the leader.
func (d operatorAPI) Read(q *peerpb.ReadRequest, done func(*peerpb.ReadReply, error)) {
	kind, err := kindOf(q.Kind)
	if err != nil && q.Kind != "" {
		done(nil, err)
		return
	}
	if !d.Do(func() {
		r, err := d.core.Read(kind, q.Thing, q.Id)
		if p := d.leaderClient(err, q.Forwarded); p != nil {
			q.Forwarded = true
			p.Read(q, done)
			return
		}
		done(r, err)
	}) {
		done(nil, &BusyError{})
	}
}

// leaderClient returns the client of the leader to which a failed call must be forwarded, or nil if it must not be forwarded.
func (d operatorAPI) leaderClient(err error, forwarded bool) *peer.Client {
	var notLeader *NotLeaderError
	if !forwarded && errors.As(err, &notLeader) {
		return d.peers[notLeader.Leader]
	}
	return nil
}

// Ask implements peer.Node.
func (d operatorAPI) Ask(q *peerpb.AskRequest, done func(*peerpb.TurnReply, error)) {
	if q.Id == "" {
		q.Id = fmt.Sprintf("%s-%x", q.Host, d.loop.Now()/time.Millisecond)
	}
	request := &turns.Request{ID: q.Id, Host: q.Host, Duration: time.Duration(q.Minutes) * time.Minute,
		NotBefore: time.Duration(q.NotBeforeS) * time.Second, FinishBy: time.Duration(q.FinishByS) * time.Second,
		Urgency: int(q.Urgency), Requester: q.By}
	d.submit(Call{turns.Command{Request: request}, q.Id}, q.Forwarded, done, func(p *peer.Client) {
		q.Forwarded = true
		p.Ask(q, done)
	})
}

// Begin implements peer.Node.
func (d operatorAPI) Begin(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	d.changeTurn(turns.Command{Begin: ref(q)}, q, done, (*peer.Client).Begin)
}

// Done implements peer.Node.
func (d operatorAPI) Done(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	d.changeTurn(turns.Command{Done: ref(q)}, q, done, (*peer.Client).Done)
}

// Withdraw implements peer.Node.
func (d operatorAPI) Withdraw(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	d.changeTurn(turns.Command{Withdraw: ref(q)}, q, done, (*peer.Client).Withdraw)
}

func ref(q *peerpb.TurnRequest) *turns.Ref { return &turns.Ref{ID: q.Id, Why: q.Why} }

func (d operatorAPI) changeTurn(cmd turns.Command, q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error),
	forward func(*peer.Client, *peerpb.TurnRequest, func(*peerpb.TurnReply, error))) {
	d.submit(Call{cmd, q.Id}, q.Forwarded, done, func(p *peer.Client) {
		q.Forwarded = true
		forward(p, q, done)
	})
}

// submit proposes a call, here or through the node that leads.
func (d operatorAPI) submit(call Call, forwarded bool, done func(*peerpb.TurnReply, error), forward func(*peer.Client)) {
	if !d.Do(func() {
		d.core.Submit(d.loop.Now(), call, func(r Reply, err error) {
			if p := d.leaderClient(err, forwarded); p != nil {
				forward(p)
				return
			}
			if err != nil {
				done(nil, err)
				return
			}
			done(&peerpb.TurnReply{Turn: d.turnMessage(r.Turn)}, nil)
		})
	}) {
		done(nil, &BusyError{})
	}
}

// turnMessage returns a turn in the form for operators.
func (d operatorAPI) turnMessage(t turns.Turn) *peerpb.Turn {
	return &peerpb.Turn{Id: t.ID, Host: t.Host, Phase: t.Phase.String(), By: t.Requester, Round: t.Round,
		WaitsFor: d.core.BlockerTexts(d.loop.Now(), t), SinceMs: int64(t.Since / time.Millisecond),
		Minutes: uint32(t.Duration / time.Minute)}
}

// Turns implements peer.Node. The leader answers with the most detail; if it is not known here, this node's own schedule is
// returned.
func (d operatorAPI) Turns(q *peerpb.TurnsRequest, done func(*peerpb.TurnsReply, error)) {
	if !d.Do(func() {
		leader := d.core.Leader()
		if p := d.peers[leader]; p != nil && !d.core.Leading() && !q.Forwarded {
			q.Forwarded = true
			p.Turns(q, done)
			return
		}
		r := &peerpb.TurnsReply{Leader: leader, Applied: d.core.AppliedIndex(), Seats: d.core.Voters(), Seat: d.core.StatusReport(d.loop.Now())}
		for _, t := range d.core.Schedule().Turns() {
			r.Turns = append(r.Turns, d.turnMessage(t))
		}
		done(r, nil)
	}) {
		done(nil, &BusyError{})
	}
}

// DeclareDead implements peer.Node.
func (d operatorAPI) DeclareDead(q *peerpb.DeclareRequest, done func(*peerpb.DeclareReply, error)) {
	if !q.IKnowThatItMayStillSend {
		done(nil, &DeadNodeRiskError{Node: q.Node})
		return
	}
	d.declare(turns.Command{Dead: declaration(q)}, q, true, done, (*peer.Client).DeclareDead)
}

// TakeIn implements peer.Node.
func (d operatorAPI) TakeIn(q *peerpb.DeclareRequest, done func(*peerpb.DeclareReply, error)) {
	if !d.Do(func() {
		if d.core.AdmitReplica(q.Node) {
			done(&peerpb.DeclareReply{Node: q.Node}, nil)
			return
		}
		d.declare(turns.Command{Alive: declaration(q)}, q, false, done, (*peer.Client).TakeIn)
	}) {
		done(nil, &BusyError{})
	}
}

// Vouch implements peer.Node. It is carried out on the node that it names.
func (d operatorAPI) Vouch(q *peerpb.VouchRequest, done func(*peerpb.SeatReply, error)) {
	d.onNode(q.Node, q.Forwarded, done, func() error { return d.core.ConfirmStore(d.loop.Now(), q) }, func(p *peer.Client) {
		q.Forwarded = true
		p.Vouch(q, done)
	})
}

// FoundAnew implements peer.Node. It is carried out on the node that it names.
func (d operatorAPI) FoundAnew(q *peerpb.FoundRequest, done func(*peerpb.SeatReply, error)) {
	d.onNode(q.Node, q.Forwarded, done, func() error { return d.core.Rebootstrap(d.loop.Now(), q) }, func(p *peer.Client) {
		q.Forwarded = true
		p.FoundAnew(q, done)
	})
}

// onNode carries out an operator's command about a node's replica on that node.
func (d operatorAPI) onNode(node string, forwarded bool, done func(*peerpb.SeatReply, error), command func() error, forward func(*peer.Client)) {
	if !d.Do(func() {
		switch p := d.peers[node]; {
		case node == d.site.Node:
			if err := command(); err != nil {
				done(nil, err)
				return
			}
			done(&peerpb.SeatReply{Node: node, Seats: d.core.Voters()}, nil)
		case p == nil || forwarded:
			done(nil, &UnknownNameError{Kind: "node", Name: node, Expected: "the name of a node with a seat in this site"})
		default:
			forward(p)
		}
	}) {
		done(nil, &BusyError{})
	}
}

func declaration(q *peerpb.DeclareRequest) *turns.Declaration {
	return &turns.Declaration{Node: q.Node, By: q.By, Why: q.Why}
}

func (d operatorAPI) declare(cmd turns.Command, q *peerpb.DeclareRequest, dead bool, done func(*peerpb.DeclareReply, error),
	forward func(*peer.Client, *peerpb.DeclareRequest, func(*peerpb.DeclareReply, error))) {
	d.submit(Call{Command: cmd}, q.Forwarded, func(_ *peerpb.TurnReply, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		done(&peerpb.DeclareReply{Node: q.Node, Dead: dead}, nil)
	}, func(p *peer.Client) {
		q.Forwarded = true
		forward(p, q, done)
	})
}
