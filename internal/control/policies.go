package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/peer"
	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/site"
)

// This file takes policies down the sites in stages, on evidence. The council of the top site has the plan (rollout.RootState).
// Down come documents, one a site, as decisions that the top writes; a site's leader answers its nodes out of its own, with how
// long ago the top was heard, which counts against a trial's lease. Up go records, one a node, as evidence that the node's site
// writes. A halt by an operator holds at his own site at once, and travels up as a write.

// Traffic is what control has the loop do, and asks of the node. Where nothing else is said, it is called on the loop.
type Traffic interface {
	// Bind takes the council's latest word over.
	Bind(sendlease.Restrictions)
	// GoBy lays a policy over the node's settings and goes by them from now on; what was counted before is told as counted
	// under the policy before. A policy that does not fit the settings (any more) changes nothing, and the next report says
	// under which policy the node goes. From Until on the loop goes by the good policy by itself, whatever control does: it may
	// be stuck in its store.
	GoBy(Policy)
	// Check says whether a policy fits the node's settings as they are now: nil, or a *rollout.Fault. From any thread.
	Check(Policy) error
}

// Policy is a policy with its canonical text. The zero value is the settings as they are.
type Policy struct {
	Hash  rollout.Hash
	Text  []byte
	Until time.Duration // of a trial: the end of its lease by the node's time; 0: it has none
	Good  *Policy       // that holds then
}

// Counted is what the loop has counted under one policy since the last report that control took.
type Counted struct {
	Under  rollout.Hash
	Counts []rollout.Counts // a class (and tenant) each; the histogram of set-ups stands with the class that has no tenant
	Guards []string         // that fired
}

// Kept is what a node keeps of policies over its starts.
type Kept struct {
	Stored  rollout.Stored                   `json:"stored"`
	Texts   map[rollout.Hash]json.RawMessage `json:"texts"`             // of those that Stored names
	Crashes int                              `json:"crashes,omitempty"` // of the trial, and its lease, as the top has them
	Lease   time.Duration                    `json:"lease,omitempty"`
	// LeaseEnd is the end of the trial's lease by the node's time, or up to half a lease before it. The store has it on a clock that goes
	// on over starts.
	LeaseEnd time.Duration `json:"-"`
}

const (
	docWord  = "begin " // a document's value begins with it, and a halt's with the next; see sitesync.Rules
	haltWord = "halt "
	backWord = "resume "
	unheard  = "the top was not heard for as long as the trial's lease"
	// mostSent is how many questions may wait for an answer that tells a policy.
	mostSent = 16
)

// asIs is the policy that changes nothing.
var asIs = rollout.EmptyPolicy()

// policies is what a Core has of them.
type policies struct {
	top     *rollout.RootState       // at a seat of the top site, once its place is agreed on
	told    map[string]uint64        // rollout.Record.Sequence of the newest record in the log, by node; those that were looked up
	writes  map[string]bool          // nodes whose record this leader has proposed
	doc     rollout.SitePolicies     // what this site's nodes are to go by, as it was read last
	docOf   sitesync.ID              // the write that it was read from
	heard   time.Duration            // a moment whose word of the top holds here: see topAge; 0: never
	rounds  map[uint64]time.Duration // a top's: when reads began that a quorum has not answered
	holder  *rollout.NodePolicy      // of this node, as is what follows
	texts   map[rollout.Hash][]byte  // that the node has
	teller  *rollout.Reporter
	sent    map[uint64]time.Duration // when questions for the right were sent
	slice   time.Duration            // what evidence is counted by; 0: not known yet
	wanted  rollout.Hash             // that the loop was told to go by, and until when
	until   time.Duration
	retuned bool // the settings as read have changed since the last tick
}

// Top returns the plan of policies as it is applied here, which only a seat of the top site has; not to be changed.
func (c *Core) Top() *rollout.RootState { return c.policies.top }

// isTop says whether this node's site is the top of the line, as far as its log says.
func (c *Core) isTop() bool { return c.siteSync != nil && len(c.siteSync.Self().Ancestors) == 0 }

// holdPolicies begins with what the node kept: one more start is counted under a trial, durably, before anything is served.
func (c *Core) holdPolicies(now time.Duration) error {
	if c.KeptPolicies.Stored.Good == "" {
		c.KeptPolicies.Stored.Good = asIs.Hash()
	}
	if c.KeptPolicies.Crashes == 0 || c.KeptPolicies.Lease == 0 {
		c.KeptPolicies.Crashes, c.KeptPolicies.Lease = c.Site.Rollout.MaxCrashes, c.Site.Rollout.TrialLease
	}
	p := policies{told: map[string]uint64{}, writes: map[string]bool{}, texts: map[rollout.Hash][]byte{asIs.Hash(): asIs.Text()},
		sent: map[uint64]time.Duration{}, rounds: map[uint64]time.Duration{}, teller: rollout.NewReporter(c.Site.Node, c.zone())}
	for h, text := range c.KeptPolicies.Texts {
		p.texts[h] = text
	}
	p.holder = rollout.NewNodePolicy(c.KeptPolicies.Stored, c.KeptPolicies.Crashes, c.KeptPolicies.LeaseEnd, now)
	p.wanted = asIs.Hash() // which the loop goes by from its start
	c.policies = p
	if t := p.holder.Stored().Trial; t != "" && c.fits(t) != nil {
		p.holder.DropTrial()
	}
	if c.KeptPolicies.Stored.Trial != "" {
		return c.goBy()
	}
	c.lay()
	return nil
}

// goBy makes durable what the node goes by, and then has the loop go by it.
func (c *Core) goBy() error {
	s := c.policies.holder.Stored()
	k := Kept{Stored: s, Crashes: c.KeptPolicies.Crashes, Lease: c.KeptPolicies.Lease, LeaseEnd: c.policies.holder.StoredLeaseEnd(),
		Texts: map[rollout.Hash]json.RawMessage{}}
	for _, h := range []rollout.Hash{s.Good, s.Trial, s.RejectedTrial} {
		if text := c.policies.texts[h]; text != nil {
			k.Texts[h] = text
		}
	}
	maps.DeleteFunc(c.policies.texts, func(h rollout.Hash, _ []byte) bool { return k.Texts[h] == nil })
	if err := c.env.SavePolicies(k); err != nil {
		return err
	}
	c.KeptPolicies = k
	c.lay()
	return nil
}

// lay tells the loop which policy to go by and until when, unless it was told.
func (c *Core) lay() {
	p := &c.policies
	s, until := p.holder.Stored(), p.holder.LeaseEnd()
	h := p.holder.Policy()
	if h == p.wanted && until == p.until {
		return
	}
	p.wanted, p.until = h, until
	by := Policy{Hash: h, Text: p.texts[h], Until: until}
	if s.Trial != "" {
		by.Good = &Policy{Hash: s.Good, Text: p.texts[s.Good]}
	}
	c.env.ApplyPolicy(by)
}

// changed takes a change of what the node is to go by over.
func (c *Core) changed(why string) {
	before := c.KeptPolicies.Stored
	if err := c.goBy(); err != nil {
		c.fail(err)
		return
	}
	s := c.policies.holder.Stored()
	if s == before {
		return // a lease that goes on
	}
	c.env.Log("is to go by a policy", "policy", c.policies.holder.Policy(), "trial", s.Trial != "", "round", s.Round, "why", why)
}

// tickPolicies lets a trial lapse and closes slices of evidence.
func (c *Core) tickPolicies(now time.Duration) {
	p := &c.policies
	if lapsed, _ := p.holder.CheckLease(now); lapsed {
		c.changed(unheard)
	}
	p.teller.Tick(now, p.slice, p.holder.Status(c.Site.Node), p.holder.Starts(), len(c.loopReport.Restrictions.ExcludedHosts),
		c.disturbed() || p.retuned)
	p.retuned = false
}

// disturbed says whether a host that this node would use is out for work: of its own zone, or of any where it has none.
func (c *Core) disturbed() bool {
	own, zone := c.zone(), c.hostView.zones
	return slices.ContainsFunc(c.loopReport.Restrictions.ExcludedHosts, func(o sendlease.ExcludedHost) bool {
		return own == "" || zone[o.Host] == "" || zone[o.Host] == own
	})
}

// zone is the one that this node stands in, as the site file has it.
func (c *Core) zone() string { return c.Site.Own.Zones[c.Site.Node] }

// counted takes over what the loop has counted, and under which policy it goes.
func (c *Core) counted(now time.Duration, r Report) {
	p := &c.policies
	for _, n := range r.Counted {
		p.teller.Count(now, canonical(n.Under), n.Counts, n.Guards)
	}
	p.teller.Count(now, canonical(r.Policy), nil, nil) // a quiet node speaks too
	p.retuned = p.retuned || r.SettingsChanges != c.loopReport.SettingsChanges
	if canonical(r.RequestedPolicy) != p.wanted || canonical(r.Policy) == p.wanted {
		return
	}
	if lapsed, _ := p.holder.CheckLease(now); lapsed { // the loop has seen to it
		c.changed(unheard)
	} else if p.holder.DropTrial() { // the settings have changed under it
		c.changed("the trial does not fit the node's settings any more")
	}
}

func canonical(h rollout.Hash) rollout.Hash {
	if h == "" {
		return asIs.Hash()
	}
	return h
}

// askPolicy adds to a question for the right what the node has counted, and which texts it has.
func (c *Core) askPolicy(now time.Duration, q *peerpb.RenewRequest) {
	p := &c.policies
	q.Record = p.teller.Pending()
	for _, h := range slices.Sorted(maps.Keys(p.texts)) {
		q.Texts = append(q.Texts, string(h))
	}
	p.sent[q.Seq] = now
	if q.Seq > mostSent {
		delete(p.sent, q.Seq-mostSent)
	}
}

// answered takes over what an answer says of the node's record, and of what it is to go by.
func (c *Core) answered(r *peerpb.RenewReply) {
	p := &c.policies
	p.teller.Acknowledge(r.Told)
	asked, known := p.sent[r.Seq]
	delete(p.sent, r.Seq)
	a := r.Policy
	if a == nil || !known {
		return
	}
	if p.slice != 0 && p.slice != time.Duration(a.SliceUs)*time.Microsecond {
		c.env.Log("evidence is counted by another slice", "slice", time.Duration(a.SliceUs)*time.Microsecond)
	}
	p.slice = time.Duration(a.SliceUs) * time.Microsecond
	c.KeptPolicies.Crashes = max(1, int(a.Crashes))
	if a.Trial {
		c.KeptPolicies.Lease = time.Duration(a.LeaseUs) * time.Microsecond
	}
	for h, text := range a.Texts {
		if policy, err := rollout.Parse(text); err == nil && policy.Hash() == rollout.Hash(h) {
			p.texts[rollout.Hash(h)] = policy.Text()
		}
	}
	if a.Trial { // what the site heard long ago keeps no trial alive; back to the good policy any word leads
		asked -= time.Duration(a.AgeUs) * time.Microsecond
	}
	changed := p.holder.HandleAssignment(rollout.Assignment{Round: a.Round, Policy: rollout.Hash(a.Policy), Good: rollout.Hash(a.Good), Trial: a.Trial,
		Lease: time.Duration(a.LeaseUs) * time.Microsecond}, asked, c.fits)
	if changed {
		c.changed("the council says so")
	} else {
		c.lay() // a lease goes on
	}
}

// fits is the node's own check of a policy.
func (c *Core) fits(h rollout.Hash) error {
	text := c.policies.texts[h]
	if text == nil {
		return &UnknownNameError{Kind: "policy", Name: string(h), Expected: "its text with its hash"}
	}
	err := c.CheckPolicy(Policy{Hash: h, Text: text})
	if err != nil {
		c.env.Log("a policy does not fit this node's settings", "policy", h, "error", err)
	}
	return err
}

// ---- A site's leader ----

// recorded brings a node's record before the council, if it says more than what stands there, and returns up to where the
// node's records stand there.
func (c *Core) recorded(now time.Duration, node string, record []byte) uint64 {
	if c.siteSync == nil {
		return 0
	}
	p := &c.policies
	told, known := p.told[node]
	if !known {
		if v, any := c.siteSync.Value(sitesync.Evidence, rollout.NodeKey(node)); any {
			if r, err := rollout.ParseRecord(v.Value); err == nil {
				told = r.Sequence
			}
		}
		p.told[node] = told
	}
	if len(record) == 0 || p.writes[node] {
		return told
	}
	r, err := rollout.ParseRecord(record)
	if err != nil || r.Node != node || r.Sequence <= told {
		return told
	}
	cmd := sitesync.Command{Write: &sitesync.LocalWrite{Kind: sitesync.Evidence, Subject: rollout.NodeKey(node), Value: record, By: node}}
	if c.siteSync.Check(cmd) == nil { // a full queue takes no evidence: it is missing, and that is no health
		p.writes[node] = true
		c.proposeWrite(now, written{Command: &cmd}, func(Reply, error) { delete(p.writes, node) })
	}
	return told
}

// document returns what this site's nodes are to go by; false where it was told nothing.
func (c *Core) document() (rollout.SitePolicies, bool) {
	if c.isTop() {
		if c.policies.top == nil {
			return rollout.SitePolicies{}, false
		}
		return c.policies.top.SitePolicies(c.Site.Own.Name), true
	}
	if c.siteSync == nil {
		return rollout.SitePolicies{}, false
	}
	v, any := c.siteSync.Value(sitesync.Policy, rollout.SitePoliciesKey(c.Site.Own.Name))
	if !any {
		return rollout.SitePolicies{}, false
	}
	if p := &c.policies; v.Write.ID != p.docOf {
		d, err := rollout.ParseSitePolicies([]byte(strings.TrimPrefix(string(v.Value), docWord)))
		if err != nil {
			c.env.Log("what the top says of policies cannot be read", "error", err)
			return rollout.SitePolicies{}, false
		}
		p.doc, p.docOf = d, v.Write.ID
	}
	return c.policies.doc, true
}

// halted says whether a rollout is halted at this site, by a write that holds here.
func (c *Core) halted(id string) bool {
	v, any := c.siteSync.Value(sitesync.Policy, rollout.HaltKey(id))
	return any && strings.HasPrefix(string(v.Value), haltWord)
}

// assignment is what a node of this site is to go by, nil where nothing can be said. A site that was never told anything by
// the top, in this leader's time, keeps no trial alive.
func (c *Core) assignment(now time.Duration, node string, has []string) *peerpb.Assignment {
	d, any := c.document()
	if !any {
		return nil
	}
	a := d.Assigned(node, c.halted)
	age, heard := c.topAge(now)
	if a.Trial && !heard {
		return nil
	}
	out := &peerpb.Assignment{Round: a.Round, Policy: string(a.Policy), Good: string(a.Good), Trial: a.Trial,
		LeaseUs: uint64(a.Lease / time.Microsecond), AgeUs: uint64(age / time.Microsecond), SliceUs: uint64(d.Slice / time.Microsecond),
		Crashes: uint32(d.MaxCrashes), Texts: map[string][]byte{}}
	for _, h := range []rollout.Hash{a.Policy, a.Good} {
		if !slices.Contains(has, string(h)) {
			out.Texts[string(h)] = d.Text(h)
		}
	}
	return out
}

// topAge says how long ago, at most, what holds here was the top's word; false: never, in this leader's time.
func (c *Core) topAge(now time.Duration) (age time.Duration, heard bool) {
	switch {
	case c.policies.heard == 0:
		return 0, false
	}
	return max(0, now-c.policies.heard), true
}

// beginRound notes that a read begins, which a quorum is asked to confirm; confirmedRound, that it has. The top's own word is
// as new as the last read that a quorum has confirmed: a leader that was stopped and goes on has no new word.
func (c *Core) beginRound(now time.Duration, ctx uint64) {
	if c.isTop() {
		c.policies.rounds[ctx] = now
	}
}

func (c *Core) confirmedRound(ctx uint64) {
	if at, any := c.policies.rounds[ctx]; any {
		c.heardTop(at)
		delete(c.policies.rounds, ctx)
	}
}

// heardTop notes that what holds here is the top's word of a moment, or later.
func (c *Core) heardTop(at time.Duration) { c.policies.heard = max(c.policies.heard, at) }

// ---- The top ----

// plan takes an entry about policies over, and returns why it was refused.
func (c *Core) plan(index uint64, cmd rollout.Command) error {
	c.lastStamp = max(c.lastStamp, cmd.At)
	top := c.policies.top
	if top == nil {
		return nil
	}
	refused := c.tellAll(top.Apply(index, cmd))
	if r := cmd.Resume; r != nil && refused == nil && c.halted(r.ID) { // where it was halted by sites below
		c.siteSync.Apply(cmd.At, sitesync.Command{Write: &sitesync.LocalWrite{Kind: sitesync.Policy, Subject: rollout.HaltKey(r.ID),
			Value: []byte(backWord + r.Why), By: r.By}})
	}
	if cmd.Evidence == nil && cmd.Status == nil && cmd.Close == nil && cmd.Unreachable == nil && cmd.Reachable == nil {
		c.publish(cmd.At)
	}
	return refused
}

// planned takes writes that the top has applied into the plan: records of nodes, and halts of sites below.
func (c *Core) planned(index uint64, at time.Duration, effects []sitesync.Effect) {
	for _, f := range effects {
		if f.Write == nil || f.Kind != sitesync.EffectApplied && f.Kind != sitesync.EffectMerged {
			continue
		}
		w := f.Write
		if node, is := strings.CutPrefix(w.Subject, rollout.NodeKey("")); is && w.Kind == sitesync.Evidence {
			r, err := rollout.ParseRecord(w.Value)
			if err != nil || r.Node != node {
				continue
			}
			c.policies.told[node] = max(c.policies.told[node], r.Sequence)
			if c.policies.top != nil {
				c.tellAll(c.policies.top.Record(index, at, r))
			}
		}
		id, is := strings.CutPrefix(w.Subject, rollout.HaltKey(""))
		if why, halts := strings.CutPrefix(string(w.Value), haltWord); is && halts && w.Kind == sitesync.Policy && c.policies.top != nil &&
			w.ID.Origin.Site != c.Site.Own.Name {
			c.tellAll(c.policies.top.Apply(index, rollout.Command{At: at, Halt: &rollout.Halt{ID: id, Cause: rollout.Operator,
				By: w.By + " at " + w.ID.Origin.Site, Why: why}}))
		}
	}
}

// tellAll has operators told of what a command brought, and returns why it was refused.
func (c *Core) tellAll(effects []rollout.Effect) (refused error) {
	for _, f := range effects {
		switch f.Kind {
		case rollout.Refused:
			refused = f.Err
		case rollout.Notify:
			if c.leading {
				c.env.Log("policies", "rollout", f.ID, "what", f.Why, "cause", f.Cause.String())
			}
		}
	}
	return refused
}

// publish has each site below told what its nodes are to go by, where that has changed: a write of the top's own, which every
// seat makes by itself out of the same log.
func (c *Core) publish(at time.Duration) {
	for _, s := range c.policies.top.Sites() {
		if s == c.Site.Own.Name {
			continue
		}
		d := c.policies.top.SitePolicies(s)
		thing, value := rollout.SitePoliciesKey(s), append([]byte(docWord), d.Bytes()...)
		if v, any := c.siteSync.Value(sitesync.Policy, thing); any && string(v.Value) == string(value) {
			continue
		}
		for _, f := range c.siteSync.Apply(at, sitesync.Command{Write: &sitesync.LocalWrite{Kind: sitesync.Policy, Subject: thing, Value: value,
			By: "the plan"}}) {
			if f.Kind == sitesync.EffectRefused && c.leading {
				c.env.Log("a site cannot be told what its nodes are to go by", "site", s, "error", f.Err)
			}
		}
	}
}

// tree is the sites that policies go down, as this node's site file has them.
func (c *Core) tree() rollout.Tree {
	var t rollout.Tree
	for _, g := range slices.Concat([]site.Definition{c.Site.Own}, c.Site.Descendants) {
		s := rollout.Site{Name: g.Name, Parent: g.Parent}
		if g.Name == c.Site.Own.Name {
			s.Parent = ""
		}
		for _, n := range g.Nodes {
			s.Nodes = append(s.Nodes, rollout.TreeNode{Name: n, Zone: g.Zones[n]})
		}
		t.Sites = append(t.Sites, s)
	}
	slices.SortFunc(t.Sites, func(a, b rollout.Site) int { return strings.Compare(a.Name, b.Name) })
	return t
}

// nextPolicy returns what the top's leader proposes next about policies.
func (c *Core) nextPolicy(now time.Duration) (rollout.Command, bool) {
	if c.policies.top == nil {
		return rollout.Command{}, false
	}
	return c.policies.top.NextWithLocalCount(max(c.lastStamp, now), c.Site.Rollout, c.tree(), c.Site.Own.Name, len(c.schedule.ExcludedHosts()))
}

// proposePolicy brings a command about policies before the council and returns its number, 0 where this seat does not lead.
func (c *Core) proposePolicy(now time.Duration, cmd rollout.Command) uint64 {
	cmd.At = c.nextStamp(now)
	return c.proposeTracked(now, entry{Policies: &cmd})
}

// keepsRoom says whether a command would disturb more at this site than rollouts and work may together.
func (c *Core) keepsRoom(now time.Duration, cmd turns.Command) bool {
	most := c.Site.Rollout.MaxDisrupted
	if cmd.Prepare == nil || most == 0 {
		return true
	}
	d, any := c.document()
	return !any || len(c.schedule.ExcludedHosts())+d.Disrupted(max(c.lastStamp, now)) < most
}

// ---- Calls ----

// Plan brings an operator's command about a rollout before the council of the top site. done is called once, with an
// *ElsewhereError where another node leads.
func (c *Core) Plan(now time.Duration, id string, cmd rollout.Command, done func(Reply, error)) {
	switch {
	case c.stopCause != nil:
		done(Reply{}, c.stopCause)
	case c.siteSync != nil && !c.isTop():
		done(Reply{}, &NotTopError{Site: c.Site.Own.Name, Top: c.topName()})
	case c.leading && c.policies.top != nil:
		if err := c.policies.top.Check(cmd); err != nil {
			done(Reply{}, err)
			return
		}
		seq := c.proposePolicy(now, cmd)
		if seq == 0 {
			done(Reply{}, &NoLeaderError{Site: c.Site.Own.Name})
			return
		}
		c.pendingCalls[seq] = pendingCall{id: id, deadline: now + callTimeout, done: done}
		c.processReady(now)
	default:
		done(Reply{}, c.elsewhere())
	}
}

// topName is the site at the top of the line.
func (c *Core) topName() string {
	if n := len(c.Site.Ancestors); n > 0 {
		return c.Site.Ancestors[n-1].Name
	}
	return c.Site.Own.Name
}

// Halt has a rollout halted: at the top by its council, elsewhere by a write that holds at this site at once and travels up.
func (c *Core) Halt(now time.Duration, id, by, why string, done func(Reply, error)) {
	if c.stopCause != nil || c.isTop() {
		c.Plan(now, id, rollout.Command{Halt: &rollout.Halt{ID: id, Cause: rollout.Operator, By: by, Why: why}}, done)
		return
	}
	if !c.leading || c.siteSync == nil {
		done(Reply{}, c.elsewhere())
		return
	}
	d, _ := c.document()
	if !slices.ContainsFunc(slices.Collect(maps.Values(d.Nodes)), func(g rollout.NodeEntry) bool { return g.Rollout == id && id != "" }) {
		done(Reply{}, &NoTrialError{ID: id, Site: c.Site.Own.Name, Top: c.topName()})
		return
	}
	if by == "" || why == "" {
		done(Reply{}, &rollout.Refusal{Why: "who halts it and why are wanted", Do: "tell both"})
		return
	}
	c.Write(now, sitesync.LocalWrite{Kind: sitesync.Policy, Subject: rollout.HaltKey(id), Value: []byte(haltWord + why), By: by, Urgent: true}, done)
}

// Policies tells what this site's nodes go by, and at the top how rollouts stand. Another node than a seat asks the leader.
func (c *Core) Policies(now time.Duration) (*peerpb.PoliciesReply, error) {
	if !c.follows() || c.siteSync == nil {
		return nil, c.elsewhere()
	}
	r := &peerpb.PoliciesReply{Site: c.Site.Own.Name, Leader: c.leader, Top: c.topName()}
	if age, heard := c.topAge(now); heard {
		ms := uint64(age / time.Millisecond)
		r.AgeMs = &ms
	}
	d, any := c.document()
	if !any {
		return r, nil
	}
	r.Good = string(d.Good)
	for _, node := range c.schedule.Members() {
		a := d.Assigned(node, c.halted)
		g := &peerpb.GoesBy{Node: node, Policy: string(a.Policy), Trial: a.Trial}
		if a.Trial {
			g.Rollout = d.Nodes[node].Rollout
		}
		if v, any := c.siteSync.Value(sitesync.Evidence, rollout.NodeKey(node)); any {
			if record, err := rollout.ParseRecord(v.Value); err == nil {
				g.Seen = string(record.Status.Policy)
				if record.Status.Fallback != rollout.NoFallback {
					g.Fell = record.Status.Fallback.String()
				}
			}
		}
		r.Nodes = append(r.Nodes, g)
	}
	if c.policies.top != nil {
		for _, o := range c.policies.top.Plan().Rollouts() {
			r.Rollouts = append(r.Rollouts, rolloutOf(o))
		}
	}
	return r, nil
}

// rolloutOf is a rollout as operators are told of it.
func rolloutOf(o *rollout.Rollout) *peerpb.Rollout {
	r := &peerpb.Rollout{Id: o.ID, Policy: string(o.Policy), Phase: o.Phase.String(), Stage: o.Stage.String(), Attempt: uint32(o.Attempt),
		BegunMs: int64(o.StageBegan / time.Millisecond)}
	if o.Phase == rollout.Running {
		r.Missing = o.Missing
	}
	if o.Cause != rollout.None {
		r.Cause = o.Cause.String()
	}
	for _, t := range o.Treated {
		if !t.RolledBack {
			r.Treated = append(r.Treated, t.Node)
		}
	}
	for _, e := range o.Log {
		r.Log = append(r.Log, &peerpb.PolicyNote{AtMs: int64(e.At / time.Millisecond), What: e.Event, Stage: e.Stage.String(), By: e.By, Why: e.Why})
	}
	return r
}

// policy brings an operator's call before the council, here or through the node that leads it.
func (d operatorAPI) policy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error), do func(func(Reply, error)),
	pass func(*peer.Client, *peerpb.PolicyRequest, func(*peerpb.PolicyReply, error))) {
	if !d.Do(func() {
		do(func(r Reply, err error) {
			if p := d.leaderClient(err, q.Forwarded); p != nil {
				q.Forwarded = true
				pass(p, q, done)
				return
			}
			if err != nil {
				done(nil, err)
				return
			}
			reply := &peerpb.PolicyReply{Write: writtenID(r.Effects)}
			if top := d.core.policies.top; top != nil {
				if o := top.Plan().Rollout(q.Id); o != nil {
					reply.Rollout = rolloutOf(o)
				}
			}
			done(reply, nil)
		})
	}) {
		done(nil, &BusyError{})
	}
}

// plan brings a command of an operator's before the top's council.
func (d operatorAPI) plan(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error), cmd rollout.Command,
	pass func(*peer.Client, *peerpb.PolicyRequest, func(*peerpb.PolicyReply, error))) {
	d.policy(q, done, func(then func(Reply, error)) { d.core.Plan(d.loop.Now(), q.Id, cmd, then) }, pass)
}

// StartPolicy implements peer.Node.
func (d operatorAPI) StartPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	if !json.Valid([]byte(q.Policy)) { // it would not stand in the log as it is
		done(nil, &rollout.Fault{Fault: "not valid JSON"})
		return
	}
	d.plan(q, done, rollout.Command{Start: &rollout.Start{ID: q.Id, Policy: json.RawMessage(q.Policy), By: q.By, Why: q.Why}},
		(*peer.Client).StartPolicy)
}

// HaltPolicy implements peer.Node.
func (d operatorAPI) HaltPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	d.policy(q, done, func(then func(Reply, error)) { d.core.Halt(d.loop.Now(), q.Id, q.By, q.Why, then) }, (*peer.Client).HaltPolicy)
}

// ResumePolicy implements peer.Node.
func (d operatorAPI) ResumePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	d.plan(q, done, rollout.Command{Resume: &rollout.OperatorAction{ID: q.Id, By: q.By, Why: q.Why}}, (*peer.Client).ResumePolicy)
}

// ForcePolicy implements peer.Node.
func (d operatorAPI) ForcePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	stage, any := rollout.StageOf(q.Stage)
	if !any {
		done(nil, &UnknownNameError{Kind: "stage", Name: q.Stage, Expected: "the stage that Policies tells: one-node, building, regency, part or all"})
		return
	}
	d.plan(q, done, rollout.Command{Force: &rollout.OperatorAction{ID: q.Id, Stage: stage, By: q.By, Why: q.Why}}, (*peer.Client).ForcePolicy)
}

// Policies implements peer.Node. The leader tells most; where it is not reached, a seat's own log serves.
func (d operatorAPI) Policies(q *peerpb.PoliciesRequest, done func(*peerpb.PoliciesReply, error)) {
	if !d.Do(func() {
		if p := d.peers[d.core.Leader()]; p != nil && !d.core.Leading() && !q.Forwarded {
			q.Forwarded = true
			p.Policies(q, done)
			return
		}
		r, err := d.core.Policies(d.loop.Now())
		done(r, err)
	}) {
		done(nil, &BusyError{})
	}
}

// NotTopError says that policies are started, resumed and forced at the top of the line.
type NotTopError struct{ Site, Top string }

func (e *NotTopError) Error() string {
	return fmt.Sprintf("%s is not where policies are decided on: that is %s", e.Site, e.Top)
}

// Action implements Actioner.
func (e *NotTopError) Action() string {
	return "call a node of " + e.Top + "; what can be done here is to halt a policy, with HaltPolicy"
}

// NoTrialError says that no node of a site is to go by a rollout's policy.
type NoTrialError struct{ ID, Site, Top string }

func (e *NoTrialError) Error() string {
	return fmt.Sprintf("no node of %s is to go by the policy of a rollout %.80q", e.Site, e.ID)
}

// Action implements Actioner.
func (e *NoTrialError) Action() string {
	return "see Policies for what the nodes here go by; a rollout that has not come here is halted at " + e.Top
}

// OwnError says that a thing is written about by the nodes themselves only.
type OwnError struct{ Thing string }

func (e *OwnError) Error() string {
	return fmt.Sprintf("%.80q is written about by the nodes themselves", e.Thing)
}

// Action implements Actioner.
func (*OwnError) Action() string {
	return "start, halt, resume and force policies with StartPolicy, HaltPolicy, ResumePolicy and ForcePolicy"
}

// owned says whether only nodes themselves write about a thing.
func owned(thing string) bool {
	return slices.ContainsFunc([]string{rollout.SitePoliciesKey(""), rollout.HaltKey(""), rollout.NodeKey("")},
		func(head string) bool { return strings.HasPrefix(thing, head) })
}
