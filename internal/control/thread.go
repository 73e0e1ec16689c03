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
	// waiting is how many calls, answers and reports may wait for the control thread. Beyond it calls are refused; a peer's
	// are lost, as on a bad line.
	waiting = 256
	// stopWithin is how long Stop waits for the thread, which may be stuck in its store.
	stopWithin = 2 * time.Second
	// leaveWithin is how long Stop waits at most before that until another seat leads.
	leaveWithin = stopWithin / 2
	// noteBucket and the keys are where the node's right stands in the store.
	noteBucket = "right"
	noteSaved  = "saved"
	notePolicy = "policy"
)

// Loop is the traffic's side. Its methods are called on the control thread and return at once.
type Loop interface {
	// Now is the node's time, safe from any thread.
	Now() time.Duration
	// Do has something done on the loop soon; false where the loop has ended.
	Do(func()) bool
}

// Thread runs a Core in the process, on a thread of its own. Loop and control meet in two bounded queues: the latest
// verdict, which replaces one that was not taken yet, and reports, the latest of which are dropped while the thread is
// behind. Neither side waits for the other.
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
	core    *Core // of the thread

	verdict latest[sendlease.Restrictions]
	policy  latest[Policy]

	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

// Start opens the store, begins to listen and starts the thread. wait is how long an earlier process of this node may still
// act on its right. links is how many connections the peers' address takes.
func Start(log *slog.Logger, s *site.Site, loop Loop, traffic Traffic, wait time.Duration, links int) (*Thread, error) {
	t := &Thread{log: log, site: s, tick: s.Tick, loop: loop, traffic: traffic, peers: map[string]*peer.Client{},
		inbox: make(chan func(), waiting), stop: make(chan struct{}), stopped: make(chan struct{})}
	var durable consensus.StoredState
	var err error
	t.store, durable, err = store.Open(filepath.Join(s.Store, "council.db"), store.Identity{Site: s.Own.Name, Node: s.Node,
		Witness: s.Witness})
	if err != nil {
		return nil, err
	}
	saved, err := t.restore()
	if err != nil {
		t.store.Close()
		return nil, err
	}
	kept, err := t.kept()
	if err != nil {
		t.store.Close()
		return nil, err
	}
	who := t.store.Identity()
	t.core, err = New(loop.Now(), Options{Site: s, Life: who.ReplicaIncarnation, Boot: who.OpenCount, Run: who.RunID, Proven: who.Verified,
		Durable: durable, Saved: saved, Kept: kept, Check: traffic.Check, Wait: wait}, t)
	if err != nil {
		t.store.Close()
		return nil, err
	}
	for name, address := range s.Peers {
		t.peers[name] = peer.NewClient(name, address, peer.ClientLimits{})
	}
	if t.server, err = peer.Serve(s.Listen, desk{t}, peer.Limits{MaxConns: links}); err != nil {
		t.closePeers()
		t.store.Close()
		return nil, err
	}
	log.Info("open to peers", "listen", t.server.Addr(), "site", s.Own.Name, "seat", s.IsVoter, "store", s.Store, "boot", who.OpenCount)
	go t.run()
	return t, nil
}

// restore reads the node's right from the store; a new store gets a life that comes after that of any before it.
func (t *Thread) restore() (saved sendlease.Saved, err error) {
	raw, err := t.store.Get(noteBucket, noteSaved)
	if err != nil {
		return saved, err
	}
	if raw == nil {
		saved.Incarnation = uint64(time.Now().UnixNano())
		return saved, t.Keep(saved)
	}
	return saved, json.Unmarshal(raw, &saved)
}

// kept reads what the node kept of policies.
func (t *Thread) kept() (PolicyState, error) {
	raw, err := t.store.Get(noteBucket, notePolicy)
	if err != nil || raw == nil {
		return PolicyState{}, err
	}
	var k storedPolicies
	if err := json.Unmarshal(raw, &k); err != nil {
		return PolicyState{}, err
	}
	now := t.loop.Now()
	k.PolicyState.LeaseEnd = leaseEndFromStore(k.LeaseEnd, k.TrialLease, now, t.sinceBoot())
	return k.PolicyState, nil
}

// sinceBoot returns the present moment on the clock that goes on over restarts, none where it cannot be read.
func (t *Thread) sinceBoot() boottime.Moment {
	m, err := boottime.Now()
	if err != nil {
		t.log.Warn("a restart will take the node back to the good policy until its site is heard", "error", err)
	}
	return m
}

// Addr is where peers and operators call.
func (t *Thread) Addr() string { return t.server.Addr() }

// Stop ends the thread, the address and the store; where this node leads, another seat takes over first, if one does within an
// election's time and leaveWithin. A thread that is stuck is left behind: its store stays locked until the process ends.
func (t *Thread) Stop() {
	t.once.Do(func() {
		t.leave(min(consensus.ElectionTicks*t.tick, leaveWithin))
		t.server.Close()
		close(t.stop)
		late := time.NewTimer(stopWithin)
		defer late.Stop()
		select {
		case <-t.stopped:
		case <-late.C:
			t.log.Error("the control thread is stuck and is left behind")
		}
	})
}

// leave waits until this node leads no more, for so long at most.
func (t *Thread) leave(most time.Duration) {
	left := make(chan struct{})
	if !t.Do(func() { t.core.Leave(t.loop.Now(), func() { close(left) }) }) {
		return
	}
	late := time.NewTimer(most)
	defer late.Stop()
	select {
	case <-left:
	case <-late.C:
		t.log.Info("ends with no word that another seat leads; the others find a leader when they miss this one")
	}
}

func (t *Thread) closePeers() {
	for _, p := range t.peers {
		p.Close()
	}
}

// Report hands the loop's report over and says whether it did: not while the thread is behind. What was counted is then to
// come with a later one.
func (t *Thread) Report(r Report) bool { return t.Do(func() { t.core.Loop(t.loop.Now(), r) }) }

// Retune takes a changed site file over that Site.Change has nothing against.
func (t *Thread) Retune(s *site.Site) {
	t.Do(func() {
		for name, p := range t.peers {
			// Who is no peer any more may have a seat until the council has taken it out.
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

// Do has something done on the control thread, and says whether there is room for it. It never waits.
func (t *Thread) Do(f func()) bool {
	select {
	case t.inbox <- f:
		return true
	default:
		return false
	}
}

func (t *Thread) run() {
	runtime.LockOSThread() // a store that hangs in a system call takes no thread from anybody else
	defer close(t.stopped)
	tick := time.NewTicker(t.tick)
	defer tick.Stop()
	for {
		select {
		case <-t.stop:
			t.closePeers()
			if err := t.store.Close(); err != nil {
				t.log.Warn("the store was not closed in good order", "error", err)
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

// Keep implements Env.
func (t *Thread) Keep(s sendlease.Saved) error {
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return t.store.Put(noteBucket, noteSaved, raw)
}

// KeepPolicy implements Env.
func (t *Thread) KeepPolicy(k PolicyState) error {
	stored := storedPolicies{PolicyState: k}
	if k.LeaseEnd != 0 {
		boot := t.sinceBoot()
		stored.LeaseEnd = leaseEndToStore(k.LeaseEnd, t.loop.Now(), boot)
	}
	raw, err := json.Marshal(stored)
	if err != nil {
		return err
	}
	return t.store.Put(noteBucket, notePolicy, raw)
}

// GoBy implements Env.
func (t *Thread) GoBy(p Policy) { t.policy.hand(p, t.loop, t.traffic.ApplyPolicy) }

// Refused implements Env.
func (t *Thread) Refused(why string) error { return t.store.MarkRefused(why) }

// SendRaft implements Env.
func (t *Thread) SendRaft(seat string, q *peerpb.RaftRequest) {
	if p := t.peers[seat]; p != nil {
		p.Raft(q, func(r *peerpb.RaftReply, err error) {
			if err == nil {
				t.Do(func() { t.core.RaftReplied(t.loop.Now(), r) })
			}
		})
	}
}

// SendRenew implements Env.
func (t *Thread) SendRenew(seat string, q *peerpb.RenewRequest) {
	if p := t.peers[seat]; p != nil {
		p.Renew(q, func(r *peerpb.RenewReply, err error) {
			if err == nil {
				t.Do(func() { t.core.Renewed(t.loop.Now(), r) })
			}
		})
	}
}

// SendReplay implements Env.
func (t *Thread) SendReplay(seat string, call uint64, within time.Duration, q *peerpb.ReplayRequest) {
	p := t.peers[seat]
	if p == nil { // no address for it
		t.Do(func() { t.core.HandleReplayReply(t.loop.Now(), call, nil) })
		return
	}
	p.ReplayWithTimeout(within, q, func(r *peerpb.ReplayReply, err error) {
		if err != nil {
			r = nil
		}
		t.Do(func() { t.core.HandleReplayReply(t.loop.Now(), call, r) })
	})
}

// Bind implements Env.
func (t *Thread) Bind(v sendlease.Restrictions) {
	t.verdict.hand(v, t.loop, t.traffic.ApplyRestrictions)
}

// latest is what the loop is to take next: one that was not taken yet is replaced.
type latest[T any] struct {
	mu     sync.Mutex
	value  T
	posted bool // and the loop is going to take it
}

// hand has the loop take a value, or a later one in its place.
func (l *latest[T]) hand(v T, loop Loop, take func(T)) {
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
		take(v)
	})
}

// Tell implements Env.
func (t *Thread) Tell(event string, args ...any) { t.log.Info(event, args...) }

// ---- Calls ----

// desk carries the calls of peers and operators out on the control thread.
type desk struct{ *Thread }

var _ peer.Node = desk{}

// Renew implements peer.Node.
func (d desk) Renew(q *peerpb.RenewRequest, done func(*peerpb.RenewReply, error)) {
	if !d.Do(func() {
		d.core.Question(d.loop.Now(), q, func(r *peerpb.RenewReply) { done(r, nil) })
	}) {
		done(nil, &BusyError{})
	}
}

// Raft implements peer.Node.
func (d desk) Raft(q *peerpb.RaftRequest, done func(*peerpb.RaftReply, error)) {
	if !d.Do(func() { done(d.core.Raft(d.loop.Now(), q), nil) }) {
		done(nil, &BusyError{})
	}
}

// Replay implements peer.Node.
func (d desk) Replay(q *peerpb.ReplayRequest, done func(*peerpb.ReplayReply, error)) {
	if !d.Do(func() {
		d.core.Replay(d.loop.Now(), q, func(r *peerpb.ReplayReply) { done(r, nil) })
	}) {
		done(nil, &BusyError{})
	}
}

// Write implements peer.Node.
func (d desk) Write(q *peerpb.WriteRequest, done func(*peerpb.WriteReply, error)) {
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
			if p := d.leaderOf(err, q.Forwarded); p != nil {
				q.Forwarded = true
				p.Write(q, done)
				return
			}
			if err != nil {
				done(nil, err)
				return
			}
			done(&peerpb.WriteReply{Id: writtenID(r.Effects), Token: d.core.writes.Token()}, nil)
		})
	}) {
		done(nil, &BusyError{})
	}
}

// Read implements peer.Node. A seat answers from what is applied there; another node asks the leader.
func (d desk) Read(q *peerpb.ReadRequest, done func(*peerpb.ReadReply, error)) {
	kind, err := kindOf(q.Kind)
	if err != nil && q.Kind != "" {
		done(nil, err)
		return
	}
	if !d.Do(func() {
		r, err := d.core.Read(kind, q.Thing, q.Id)
		if p := d.leaderOf(err, q.Forwarded); p != nil {
			q.Forwarded = true
			p.Read(q, done)
			return
		}
		done(r, err)
	}) {
		done(nil, &BusyError{})
	}
}

// leaderOf returns the client of the node that a call has to go to, or nil where it is not to be passed on.
func (d desk) leaderOf(err error, forwarded bool) *peer.Client {
	var elsewhere *ElsewhereError
	if !forwarded && errors.As(err, &elsewhere) {
		return d.peers[elsewhere.Leader]
	}
	return nil
}

// Ask implements peer.Node.
func (d desk) Ask(q *peerpb.AskRequest, done func(*peerpb.TurnReply, error)) {
	if q.Id == "" {
		q.Id = fmt.Sprintf("%s-%x", q.Host, d.loop.Now()/time.Millisecond)
	}
	ask := &turns.Request{ID: q.Id, Host: q.Host, Duration: time.Duration(q.Minutes) * time.Minute,
		NotBefore: time.Duration(q.NotBeforeS) * time.Second, FinishBy: time.Duration(q.FinishByS) * time.Second,
		Urgency: int(q.Urgency), Requester: q.By}
	d.call(Call{turns.Command{Request: ask}, q.Id}, q.Forwarded, done, func(p *peer.Client) {
		q.Forwarded = true
		p.Ask(q, done)
	})
}

// Begin implements peer.Node.
func (d desk) Begin(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	d.turn(turns.Command{Begin: ref(q)}, q, done, (*peer.Client).Begin)
}

// Done implements peer.Node.
func (d desk) Done(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	d.turn(turns.Command{Done: ref(q)}, q, done, (*peer.Client).Done)
}

// Withdraw implements peer.Node.
func (d desk) Withdraw(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error)) {
	d.turn(turns.Command{Withdraw: ref(q)}, q, done, (*peer.Client).Withdraw)
}

func ref(q *peerpb.TurnRequest) *turns.Ref { return &turns.Ref{ID: q.Id, Why: q.Why} }

func (d desk) turn(cmd turns.Command, q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error),
	pass func(*peer.Client, *peerpb.TurnRequest, func(*peerpb.TurnReply, error))) {
	d.call(Call{cmd, q.Id}, q.Forwarded, done, func(p *peer.Client) {
		q.Forwarded = true
		pass(p, q, done)
	})
}

// call brings a call before the council, here or through the node that leads it.
func (d desk) call(call Call, forwarded bool, done func(*peerpb.TurnReply, error), pass func(*peer.Client)) {
	if !d.Do(func() {
		d.core.Do(d.loop.Now(), call, func(r Reply, err error) {
			if p := d.leaderOf(err, forwarded); p != nil {
				pass(p)
				return
			}
			if err != nil {
				done(nil, err)
				return
			}
			done(&peerpb.TurnReply{Turn: d.told(r.Turn)}, nil)
		})
	}) {
		done(nil, &BusyError{})
	}
}

// told is a turn as operators are told of it.
func (d desk) told(t turns.Turn) *peerpb.Turn {
	return &peerpb.Turn{Id: t.ID, Host: t.Host, Phase: t.Phase.String(), By: t.Requester, Round: t.Round,
		WaitsFor: d.core.Blockers(d.loop.Now(), t), SinceMs: int64(t.Since / time.Millisecond),
		Minutes: uint32(t.Duration / time.Minute)}
}

// Turns implements peer.Node. The leader's book tells most; where it is not reached, another seat's own serves.
func (d desk) Turns(q *peerpb.TurnsRequest, done func(*peerpb.TurnsReply, error)) {
	if !d.Do(func() {
		leader := d.core.Leader()
		if p := d.peers[leader]; p != nil && !d.core.Leading() && !q.Forwarded {
			q.Forwarded = true
			p.Turns(q, done)
			return
		}
		r := &peerpb.TurnsReply{Leader: leader, Applied: d.core.Applied(), Seats: d.core.Voters(), Seat: d.core.StatusReport(d.loop.Now())}
		for _, t := range d.core.Book().Turns() {
			r.Turns = append(r.Turns, d.told(t))
		}
		done(r, nil)
	}) {
		done(nil, &BusyError{})
	}
}

// DeclareDead implements peer.Node.
func (d desk) DeclareDead(q *peerpb.DeclareRequest, done func(*peerpb.DeclareReply, error)) {
	if !q.IKnowThatItMayStillSend {
		done(nil, &RiskError{Node: q.Node})
		return
	}
	d.declare(turns.Command{Dead: declaration(q)}, q, true, done, (*peer.Client).DeclareDead)
}

// TakeIn implements peer.Node.
func (d desk) TakeIn(q *peerpb.DeclareRequest, done func(*peerpb.DeclareReply, error)) {
	if !d.Do(func() {
		if d.core.TakeIn(q.Node) {
			done(&peerpb.DeclareReply{Node: q.Node}, nil)
			return
		}
		d.declare(turns.Command{Alive: declaration(q)}, q, false, done, (*peer.Client).TakeIn)
	}) {
		done(nil, &BusyError{})
	}
}

// Vouch implements peer.Node. It is carried out at the node that it names.
func (d desk) Vouch(q *peerpb.VouchRequest, done func(*peerpb.SeatReply, error)) {
	d.seat(q.Node, q.Forwarded, done, func() error { return d.core.ConfirmStore(d.loop.Now(), q) }, func(p *peer.Client) {
		q.Forwarded = true
		p.Vouch(q, done)
	})
}

// FoundAnew implements peer.Node. It is carried out at the node that it names.
func (d desk) FoundAnew(q *peerpb.FoundRequest, done func(*peerpb.SeatReply, error)) {
	d.seat(q.Node, q.Forwarded, done, func() error { return d.core.Rebootstrap(d.loop.Now(), q) }, func(p *peer.Client) {
		q.Forwarded = true
		p.FoundAnew(q, done)
	})
}

// seat carries a word about a node's seat out there.
func (d desk) seat(node string, forwarded bool, done func(*peerpb.SeatReply, error), do func() error, pass func(*peer.Client)) {
	if !d.Do(func() {
		switch p := d.peers[node]; {
		case node == d.site.Node:
			if err := do(); err != nil {
				done(nil, err)
				return
			}
			done(&peerpb.SeatReply{Node: node, Seats: d.core.Voters()}, nil)
		case p == nil || forwarded:
			done(nil, &NameError{What: "node", Name: node, Want: "the name of a node with a seat in this site"})
		default:
			pass(p)
		}
	}) {
		done(nil, &BusyError{})
	}
}

func declaration(q *peerpb.DeclareRequest) *turns.Declaration {
	return &turns.Declaration{Node: q.Node, By: q.By, Why: q.Why}
}

func (d desk) declare(cmd turns.Command, q *peerpb.DeclareRequest, dead bool, done func(*peerpb.DeclareReply, error),
	pass func(*peer.Client, *peerpb.DeclareRequest, func(*peerpb.DeclareReply, error))) {
	d.call(Call{Command: cmd}, q.Forwarded, func(_ *peerpb.TurnReply, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		done(&peerpb.DeclareReply{Node: q.Node, Dead: dead}, nil)
	}, func(p *peer.Client) {
		q.Forwarded = true
		pass(p, q, done)
	})
}
