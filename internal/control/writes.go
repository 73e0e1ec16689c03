package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/site"
)

// This file carries what is written at this site to the sites above, takes in what comes from below, and has a host that
// was written out be out at all nodes of the site.

var (
	// pace is how a site's leader calls those above: a poll is how late a decision of theirs comes at most, and a nearer
	// site is tried again as often as a far one is bothered in its place. Before any answer was measured one is waited for as long
	// as TCP does (RFC 6298). The most is more than a peer takes to answer at all (peer.Limits.Within) and its client waits.
	pace = sitesync.Timing{PollInterval: time.Second, RetryDelay: 200 * time.Millisecond, MaxRetryDelay: 5 * time.Second, MaxFailures: 3,
		ReturnInterval: 2 * time.Second, InitialTimeout: time.Second, MaxTimeout: 8 * time.Second}
	// budget is what a leader takes from below; see docs/design/upstream.md for the storm that it was measured with.
	budget = sitesync.Budget{Rate: 8000, Batch: 256, MaxAhead: time.Second, UrgentBatch: 8, LocalCost: 256}
)

const (
	// leastTicks is the shortest that a call upwards is waited for, in ticks: the council above works by ticks as well, and what
	// is shorter is not told here.
	leastTicks = 2
	// ageEvery is the pause between two entries that let time pass for writes that wait.
	ageEvery = time.Minute
	// heldWrites may wait for what they depend on.
	heldWrites = 1024
)

// written is what the council's log says of writes: the site's place once, then commands.
type written struct {
	At      time.Duration     `json:"at"`
	Place   *sitesync.Place   `json:"place,omitempty"` // begins with them, with Limits
	Limits  sitesync.Limits   `json:"limits,omitzero"`
	Command *sitesync.Command `json:"command,omitempty"`
}

// snapshot is a seat's whole state.
type snapshot struct {
	Book     json.RawMessage `json:"book"`
	Writes   []byte          `json:"writes,omitempty"`
	Policies []byte          `json:"policies,omitempty"`
	Seats    seating         `json:"seats,omitzero"`
}

func (c *Core) encode() ([]byte, error) {
	book, err := c.schedule.Encode()
	if err != nil {
		return nil, err
	}
	s := snapshot{Book: book, Seats: c.seating}
	if c.siteSync != nil {
		s.Writes = c.siteSync.Encode()
	}
	if c.policies.top != nil {
		s.Policies = c.policies.top.Encode()
	}
	return json.Marshal(s)
}

func (c *Core) decode(raw []byte) error {
	c.schedule, c.siteSync, c.policies.top, c.policies.told = turns.New(), nil, nil, map[string]uint64{}
	c.seating = seating{}
	c.known()
	if len(raw) == 0 {
		return nil
	}
	var s snapshot
	err := json.Unmarshal(raw, &s)
	c.seating = s.Seats
	c.known()
	if err == nil {
		c.schedule, err = turns.Decode(s.Book)
	}
	if err == nil && s.Writes != nil {
		if c.siteSync, err = sitesync.Decode(s.Writes, MergeEvidence); err == nil {
			c.siteSync.WithRetention(rollout.StripEvidence)
		}
	}
	if err == nil && s.Policies != nil {
		c.policies.top, err = rollout.DecodeRootState(s.Policies)
	}
	c.crown()
	return err
}

// crown gives the top site its plan.
func (c *Core) crown() {
	if c.isTop() && c.policies.top == nil {
		c.policies.top = rollout.NewRootState()
	}
}

// recordHead is what the record of a node begins with; see rollout.Record.Bytes.
const recordHead = "rollout record "

// MergeEvidence merges evidence by its head: records of nodes, or else histograms. The same at all sites: see sitesync.Merge.
func MergeEvidence(a, b []byte) ([]byte, error) {
	if bytes.HasPrefix(a, []byte(recordHead)) {
		return rollout.MergeRecords(a, b)
	}
	return sitesync.MergeSketches(a, b)
}

// write takes an entry about writes over.
func (c *Core) write(index uint64, e written) (effects []sitesync.Effect, err error) {
	c.lastStamp = max(c.lastStamp, e.At)
	if e.Place != nil {
		if c.siteSync == nil {
			c.siteSync = sitesync.New(*e.Place, e.Limits).WithMerge(MergeEvidence).WithRetention(rollout.StripEvidence)
			c.crown()
		}
		return nil, nil
	}
	if c.siteSync == nil || e.Command == nil {
		return nil, nil
	}
	effects = c.siteSync.Apply(e.At, *e.Command)
	c.planned(index, e.At, effects)
	for _, f := range effects {
		switch f.Kind {
		case sitesync.EffectApplied:
			if f.Write.Kind == sitesync.Safety {
				c.hostView.nextMergeAt = 0 // a leader looks at once
			}
		case sitesync.EffectRefused:
			err = f.Err
		case sitesync.EffectReceipt:
			if r := f.Receipt; c.leading && r.Outcome != sitesync.Applied {
				c.env.Log("a write of this site was not simply taken", "write", r.ID.String(), "outcome", r.Outcome.String(),
					"why", r.Why, "by", r.Site)
			}
		case sitesync.EffectIncarnationEnded:
			c.env.Log("a site has lost its store; what it wrote and did not send is lost", "last known write", f.ID.String())
		case sitesync.EffectStaleStore:
			c.env.Log("this site's writes are older than what it told before: an old store was put back", "known above", f.ID.String())
		}
	}
	return effects, err
}

// proposeWrite brings a command about writes before the council; done is called with what it brought, or why nothing.
func (c *Core) proposeWrite(now time.Duration, w written, done func(Reply, error)) {
	w.At = c.nextStamp(now)
	seq := c.proposeEntry(entry{Writes: &w})
	switch {
	case seq == 0 && done != nil:
		done(Reply{}, &NoLeaderError{Site: c.Site.Own.Name})
	case done != nil:
		c.pendingCalls[seq] = pendingCall{id: "write", deadline: now + callTimeout, done: done}
	}
}

// Write commits a write of this site. done is called once, with an *ElsewhereError where another node leads.
func (c *Core) Write(now time.Duration, l sitesync.LocalWrite, done func(Reply, error)) {
	switch {
	case c.stopCause != nil:
		done(Reply{}, c.stopCause)
	case c.leading && c.siteSync != nil:
		cmd := sitesync.Command{Write: &l}
		if err := c.siteSync.Check(cmd); err != nil {
			done(Reply{}, err)
			return
		}
		c.tell().CountLocalWrite(now)
		c.proposeWrite(now, written{Command: &cmd}, done)
		c.processReady(now)
	default:
		done(Reply{}, c.elsewhere())
	}
}

// elsewhere says who leads, if that is known.
func (c *Core) elsewhere() error {
	if c.leader == "" || c.leader == c.Site.Node {
		return &NoLeaderError{Site: c.Site.Own.Name}
	}
	return &NotLeaderError{Leader: c.leader}
}

// tell returns the leader's teller.
func (c *Core) tell() *sitesync.CreditScheduler {
	if c.creditScheduler == nil {
		c.creditScheduler, c.knownCallers, c.pendingBatches = sitesync.NewCreditScheduler(budget), map[sitesync.SiteIncarnation]bool{}, map[string]int{}
	}
	return c.creditScheduler
}

// Replay takes a call of a site below in; done is called with the answer, or with why there is none.
func (c *Core) Replay(now time.Duration, q *peerpb.ReplayRequest, done func(*peerpb.ReplayReply)) {
	refuse := func(err error) {
		r := &peerpb.ReplayReply{Refused: err.Error()}
		var told Actioner
		if errors.As(err, &told) {
			r.Action = told.Action()
		}
		var other *NotLeaderError
		if errors.As(err, &other) {
			r.Leader = other.Leader
		}
		done(r)
	}
	if c.stopCause != nil || !c.leading || c.siteSync == nil {
		refuse(c.elsewhere())
		return
	}
	b, err := sitesync.ParseBatch(q.Batch)
	if err != nil {
		refuse(err)
		return
	}
	if c.tell().Admit(b) != nil {
		b.Writes = nil // its credit is another leader's: it is answered, and sends them once more
	}
	if b.Probe {
		a := c.siteSync.Answer(b, 0, 0)
		if a.Working = c.pendingBatches[b.From.Site] > 0; !a.Working {
			a.Credit, a.Wait = c.tell().Grant(now, b, c.siteSync.Room())
		}
		done(&peerpb.ReplayReply{Answer: a.Bytes()})
		return
	}
	answer := func() {
		credit, wait := c.tell().Grant(now, b, c.siteSync.Room())
		r := &peerpb.ReplayReply{Answer: c.siteSync.Answer(b, credit, wait).Bytes()}
		if age, heard := c.topAge(now); heard { // by when the call came: the answer may wait for a commit
			us := uint64(age / time.Microsecond)
			r.AgeUs = &us
		}
		done(r)
	}
	if own := c.siteSync.Unoffered(); own != nil {
		c.proposeWrite(now, written{Command: own}, nil)
	}
	caller := sitesync.SiteIncarnation{Site: b.From.Site, Incarnation: b.From.Incarnation}
	if len(b.Writes) == 0 && c.knownCallers[caller] && !c.siteSync.HasNews(b) {
		answer()
		return
	}
	c.knownCallers[caller] = true
	taking := c.pendingBatches
	taking[caller.Site]++
	c.proposeWrite(now, written{Command: &sitesync.Command{Batch: b}}, func(_ Reply, err error) {
		taking[caller.Site]--
		if err != nil {
			refuse(err)
			return
		}
		answer()
	})
	c.processReady(now)
}

// carry has the leader's courier make its next call.
func (c *Core) carry(now time.Duration) {
	if c.siteSync == nil || len(c.Site.Ancestors) == 0 {
		return
	}
	if c.forwarder == nil {
		p := pace
		p.MinTimeout = leastTicks * c.Site.Tick
		c.forwarder = sitesync.NewForwarder(func() *sitesync.Site { return c.siteSync }, p)
		c.ancestorReplica = map[string]int{}
	}
	if c.callTarget != "" && now >= c.callDeadline {
		c.callFailed(now)
	}
	if offer := c.forwarder.Offer(); offer != nil && now >= c.nextOfferAt {
		c.nextOfferAt = now + proposalTimeout
		c.proposeWrite(now, written{Command: offer}, func(Reply, error) { c.nextOfferAt = 0 })
	}
	to, b, _ := c.forwarder.Next(now)
	if b == nil {
		return
	}
	for _, g := range c.Site.Ancestors {
		if g.Name != to {
			continue
		}
		c.callNumber++
		within := c.forwarder.CallTimeout()
		c.callTarget, c.callStartedAt, c.callDeadline = to, now, now+within
		c.env.SendReplay(g.Voters[c.ancestorReplica[to]%len(g.Voters)], c.callNumber, within, &peerpb.ReplayRequest{Site: c.Site.Own.Name, Batch: b.Bytes()})
		return
	}
}

// Replayed takes what became of a call upwards over; r is nil where there was no answer.
func (c *Core) Replayed(now time.Duration, call uint64, r *peerpb.ReplayReply) {
	if c.stopCause != nil || c.forwarder == nil || call != c.callNumber || c.callTarget == "" {
		return // of another leader's time, or given up
	}
	if r == nil || r.Refused != "" {
		to := c.callTarget
		if r != nil && r.Action != "" && r.Leader == "" && r.Refused != c.lastRefusal {
			c.lastRefusal = r.Refused
			c.env.Log("a site above refuses what this one sends", "site", to, "why", r.Refused, "action", r.Action)
		}
		if i := seatOf(c.Site.Ancestors, to, r.GetLeader()); i >= 0 {
			c.ancestorReplica[to], c.callTarget = i, ""
			c.forwarder.Redirected(now)
			c.processReady(now)
			return
		}
		c.callFailed(now)
		return
	}
	a, err := sitesync.ParseAnswer(r.Answer)
	if err != nil {
		c.env.Log("what a site above answers cannot be read", "site", c.callTarget, "error", err)
		c.callFailed(now)
		return
	}
	c.callTarget = ""
	heard := func() {}
	if r.AgeUs != nil && a.Down != nil && a.Down.Last {
		at := c.callStartedAt - time.Duration(*r.AgeUs)*time.Microsecond
		heard = func() { c.heardTop(at) }
	}
	if cmd := c.forwarder.Answered(now, a); cmd != nil {
		c.proposeWrite(now, written{Command: cmd}, func(_ Reply, err error) {
			if err == nil && c.leading { // now it holds here
				heard()
			}
		})
	} else {
		heard()
	}
	c.processReady(now)
}

// callFailed goes on to the next seat of the site that was called.
func (c *Core) callFailed(now time.Duration) {
	c.ancestorReplica[c.callTarget]++
	c.callTarget = ""
	c.forwarder.Failed(now)
}

// seatOf returns the place of a node among the seats of a site above, or -1.
func seatOf(above []site.Definition, name, node string) int {
	for _, g := range above {
		for i, s := range g.Voters {
			if g.Name == name && s == node {
				return i
			}
		}
	}
	return -1
}

// begin returns the entry that a site's writes begin with. It may be the first that is stamped.
func (c *Core) begin(now time.Duration) written {
	born := max(c.lastStamp, now)
	p := &sitesync.Place{Site: c.Site.Own.Name, Level: c.Site.Own.Level, StoreCreated: born,
		Incarnation: uint64(born/time.Microsecond)<<8 | c.RunID&0xff | 1} // rises, and no two are alike
	for _, g := range c.Site.Ancestors {
		p.Ancestors = append(p.Ancestors, g.Name)
	}
	limits := c.Site.SiteSync
	if limits.Held == 0 {
		limits.Held = heldWrites
	}
	return written{Place: p, Limits: limits}
}

// banned says whether a host was written out at this site, or above or below it.
func (c *Core) banned(host string) bool {
	if c.siteSync == nil {
		return false
	}
	v, any := c.siteSync.Value(sitesync.Safety, "host/"+host)
	return any && strings.HasPrefix(string(v.Value), "out")
}

// Read tells what holds here of a thing, and what became of a write.
func (c *Core) Read(kind sitesync.Kind, thing, id string) (*peerpb.ReadReply, error) {
	if !c.follows() || c.siteSync == nil {
		return nil, c.elsewhere()
	}
	r := &peerpb.ReadReply{Token: c.siteSync.Token()}
	own, others := c.siteSync.Waiting()
	r.Waiting = int32(own + others)
	if thing != "" {
		if v, any := c.siteSync.Value(kind, thing); any {
			r.Found, r.Value, r.By, r.Origin = true, string(v.Value), v.Write.By, v.Write.ID.Origin.Site
		}
	}
	if id != "" {
		d, err := parseID(id)
		if err != nil {
			return nil, err
		}
		if c.siteSync.Judged().Has(d) {
			r.Receipt = sitesync.Applied.String()
			if v, not := c.siteSync.Refusal(d); not {
				r.Receipt, r.Why = v.Outcome.String(), v.Why
			}
		}
	}
	return r, nil
}

// parseID reads a write's name as sitesync.ID.String writes it: site.life/number, with ! behind the life of an urgent one, ~ of
// evidence.
func parseID(text string) (d sitesync.ID, err error) {
	head, number, ok := strings.Cut(text, "/")
	dot := strings.LastIndexByte(head, '.')
	if ok && dot > 0 {
		life := head[dot+1:]
		d.Origin.Site, d.Origin.Urgent, d.Origin.Evidence = head[:dot], strings.HasSuffix(life, "!"), strings.HasSuffix(life, "~")
		if d.Origin.Incarnation, err = strconv.ParseUint(strings.TrimRight(life, "!~"), 16, 64); err == nil {
			d.Number, err = strconv.ParseUint(number, 10, 64)
		}
	}
	if !ok || dot <= 0 || err != nil {
		return d, &UnknownNameError{Kind: "id", Name: text, Expected: "as the answer to Write gave it"}
	}
	return d, nil
}

// kindOf returns the kind of a name that operators may write.
func kindOf(name string) (sitesync.Kind, error) {
	for k := sitesync.Note; int(k) < sitesync.Kinds; k++ {
		if k.String() == name {
			return k, nil
		}
	}
	return 0, &UnknownNameError{Kind: "kind", Name: name, Expected: "safety, policy, work or note"}
}

// writtenID is the name of the write that a commit brought.
func writtenID(effects []sitesync.Effect) string {
	for _, f := range effects {
		if f.Write != nil && (f.Kind == sitesync.EffectApplied || f.Kind == sitesync.EffectMerged) {
			return fmt.Sprint(f.Write.ID)
		}
	}
	return ""
}
