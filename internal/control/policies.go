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

// This file rolls policies out to the sites in stages, based on evidence. The consensus group of the root site holds
// the plan (rollout.RootState). Documents travel down, one per site, as decisions that the root site writes; a site's
// leader answers its nodes from its own document, with the time since the root site was last heard from, which counts
// against a trial's lease. Records travel up, one per node, as evidence that the node's site writes. An operator's
// halt takes effect at the operator's own site at once, and travels up as a write.

// Traffic is the traffic loop as the control plane uses it. Unless stated otherwise, its methods are called on the
// loop.
type Traffic interface {
	// ApplyRestrictions applies the group's latest restrictions on hosts.
	ApplyRestrictions(sendlease.Restrictions)
	// ApplyPolicy overlays the node's settings with a policy and applies them from now on; what was counted before is
	// reported under the previous policy. A policy that does not fit the settings (any more) changes nothing, and the
	// next report names the policy that the node applies. From LeaseEnd on the loop applies the good policy by itself,
	// since the control thread may be blocked in its store.
	ApplyPolicy(Policy)
	// Check returns nil if a policy fits the node's current settings, or else a *rollout.Fault. Any thread may call
	// it.
	Check(Policy) error
}

// Policy is a policy with its canonical text. The zero value stands for the settings without a policy.
type Policy struct {
	Hash     rollout.Hash
	Text     []byte
	LeaseEnd time.Duration // of a trial: the end of its lease in the node's time; 0: it has none
	Good     *Policy       // to apply from then on
}

// PolicyCounts is what the loop has counted under one policy since the last report that the control thread accepted.
type PolicyCounts struct {
	Policy rollout.Hash
	Counts []rollout.Counts // one for each class (and tenant); the histogram of set-up times is with the class that has no tenant
	Guards []string         // guards that fired
}

// PolicyState is what a node stores about policies across restarts.
type PolicyState struct {
	Stored     rollout.Stored                   `json:"stored"`
	Texts      map[rollout.Hash]json.RawMessage `json:"texts"`             // of the policies that Stored names
	MaxCrashes int                              `json:"crashes,omitempty"` // limit of the trial, and its lease, as the root site has them
	TrialLease time.Duration                    `json:"lease,omitempty"`
	// LeaseEnd is the end of the trial's lease in the node's time, or up to half a lease before it. The store holds it
	// on a clock that continues across restarts.
	LeaseEnd time.Duration `json:"-"`
}

const (
	documentPrefix     = "begin " // begins a document's value, and the next one a halt's; see sitesync.Rules
	haltPrefix         = "halt "
	resumePrefix       = "resume "
	reasonLeaseExpired = "the root site was not heard from for the length of the trial's lease"
	// maxPendingRequests is how many lease requests may wait for an answer that assigns a policy.
	maxPendingRequests = 16
)

// emptyPolicy changes no setting.
var emptyPolicy = rollout.EmptyPolicy()

// policyControl is a Core's state about policies.
type policyControl struct {
	root            *rollout.RootState       // on a replica of the root site, once the site's place is committed
	recordSeq       map[string]uint64        // rollout.Record.Sequence of the newest record in the log, by node, for nodes that were looked up
	proposedRecords map[string]bool          // nodes whose record this leader has proposed
	sitePolicies    rollout.SitePolicies     // what the nodes of this site are to apply, as last read
	sitePoliciesID  sitesync.ID              // the write that it was read from
	rootHeardAt     time.Duration            // a moment as of which the root site's decisions are applied here: see rootAge; 0: never
	readRounds      map[uint64]time.Duration // at the root site: when reads began that a quorum has not confirmed
	nodePolicy      *rollout.NodePolicy      // of this node, as are the fields below
	texts           map[rollout.Hash][]byte  // policy texts that the node has
	reporter        *rollout.Reporter
	sentAt          map[uint64]time.Duration // when lease requests were sent
	slice           time.Duration            // time slice by which evidence is counted; 0: not known yet
	requested       rollout.Hash             // the policy last passed to the loop, and until when it applies
	requestedUntil  time.Duration
	settingsChanged bool // the settings as read have changed since the last tick
}

// RootState returns the state of policies as applied here, which only a replica of the root site has. The caller must
// not modify it.
func (c *Core) RootState() *rollout.RootState { return c.policies.root }

// isRootSite reports whether this node's site is the root site, as far as its log says.
func (c *Core) isRootSite() bool { return c.siteSync != nil && len(c.siteSync.Self().Ancestors) == 0 }

// initPolicies loads what the node has stored. If a trial is in effect, one more start is counted and stored before
// anything is served.
func (c *Core) initPolicies(now time.Duration) error {
	if c.KeptPolicies.Stored.Good == "" {
		c.KeptPolicies.Stored.Good = emptyPolicy.Hash()
	}
	if c.KeptPolicies.MaxCrashes == 0 || c.KeptPolicies.TrialLease == 0 {
		c.KeptPolicies.MaxCrashes, c.KeptPolicies.TrialLease = c.Site.Rollout.MaxCrashes, c.Site.Rollout.TrialLease
	}
	p := policyControl{recordSeq: map[string]uint64{}, proposedRecords: map[string]bool{},
		texts:  map[rollout.Hash][]byte{emptyPolicy.Hash(): emptyPolicy.Text()},
		sentAt: map[uint64]time.Duration{}, readRounds: map[uint64]time.Duration{}, reporter: rollout.NewReporter(c.Site.Node, c.zone())}
	for h, text := range c.KeptPolicies.Texts {
		p.texts[h] = text
	}
	p.nodePolicy = rollout.NewNodePolicy(c.KeptPolicies.Stored, c.KeptPolicies.MaxCrashes, c.KeptPolicies.LeaseEnd, now)
	p.requested = emptyPolicy.Hash() // the loop applies it from its start
	c.policies = p
	if t := p.nodePolicy.Stored().Trial; t != "" && c.checkFits(t) != nil {
		p.nodePolicy.DropTrial()
	}
	if c.KeptPolicies.Stored.Trial != "" {
		return c.storeAndApplyPolicy()
	}
	c.applyPolicy()
	return nil
}

// storeAndApplyPolicy stores what the node applies, and then has the loop apply it.
func (c *Core) storeAndApplyPolicy() error {
	stored := c.policies.nodePolicy.Stored()
	state := PolicyState{Stored: stored, MaxCrashes: c.KeptPolicies.MaxCrashes, TrialLease: c.KeptPolicies.TrialLease,
		LeaseEnd: c.policies.nodePolicy.StoredLeaseEnd(),
		Texts:    map[rollout.Hash]json.RawMessage{}}
	for _, h := range []rollout.Hash{stored.Good, stored.Trial, stored.RejectedTrial} {
		if text := c.policies.texts[h]; text != nil {
			state.Texts[h] = text
		}
	}
	maps.DeleteFunc(c.policies.texts, func(h rollout.Hash, _ []byte) bool { return state.Texts[h] == nil })
	if err := c.env.SavePolicies(state); err != nil {
		return err
	}
	c.KeptPolicies = state
	c.applyPolicy()
	return nil
}

// applyPolicy passes the policy to apply, and until when, to the loop, unless they are the ones passed last.
func (c *Core) applyPolicy() {
	p := &c.policies
	stored, until := p.nodePolicy.Stored(), p.nodePolicy.LeaseEnd()
	hash := p.nodePolicy.Policy()
	if hash == p.requested && until == p.requestedUntil {
		return
	}
	p.requested, p.requestedUntil = hash, until
	policy := Policy{Hash: hash, Text: p.texts[hash], LeaseEnd: until}
	if stored.Trial != "" {
		policy.Good = &Policy{Hash: stored.Good, Text: p.texts[stored.Good]}
	}
	c.env.ApplyPolicy(policy)
}

// policyChanged handles a change of the policy that the node is to apply.
func (c *Core) policyChanged(why string) {
	before := c.KeptPolicies.Stored
	if err := c.storeAndApplyPolicy(); err != nil {
		c.fail(err)
		return
	}
	stored := c.policies.nodePolicy.Stored()
	if stored == before {
		return // only the lease was renewed
	}
	c.env.Log("the policy to apply has changed", "policy", c.policies.nodePolicy.Policy(), "trial", stored.Trial != "",
		"round", stored.Round, "why", why)
}

// tickPolicies ends a trial whose lease has expired, and closes time slices of evidence.
func (c *Core) tickPolicies(now time.Duration) {
	p := &c.policies
	if expired, _ := p.nodePolicy.CheckLease(now); expired {
		c.policyChanged(reasonLeaseExpired)
	}
	p.reporter.Tick(now, p.slice, p.nodePolicy.Status(c.Site.Node), p.nodePolicy.Starts(), len(c.loopReport.Restrictions.ExcludedHosts),
		c.disrupted() || p.settingsChanged)
	p.settingsChanged = false
}

// disrupted reports whether a host that this node would use is out of service: a host of its own zone, or of any zone
// if the zone of either is not known.
func (c *Core) disrupted() bool {
	ownZone, zones := c.zone(), c.hostView.zones
	return slices.ContainsFunc(c.loopReport.Restrictions.ExcludedHosts, func(excluded sendlease.ExcludedHost) bool {
		return ownZone == "" || zones[excluded.Host] == "" || zones[excluded.Host] == ownZone
	})
}

// zone returns this node's zone, as the site file has it.
func (c *Core) zone() string { return c.Site.Own.Zones[c.Site.Node] }

// recordCounts records what the loop has counted, and under which policy it runs.
func (c *Core) recordCounts(now time.Duration, r Report) {
	p := &c.policies
	for _, counts := range r.Counted {
		p.reporter.Count(now, canonical(counts.Policy), counts.Counts, counts.Guards)
	}
	p.reporter.Count(now, canonical(r.Policy), nil, nil) // a node without traffic reports as well
	p.settingsChanged = p.settingsChanged || r.SettingsChanges != c.loopReport.SettingsChanges
	if canonical(r.RequestedPolicy) != p.requested || canonical(r.Policy) == p.requested {
		return
	}
	if expired, _ := p.nodePolicy.CheckLease(now); expired { // the loop has applied the good policy by itself
		c.policyChanged(reasonLeaseExpired)
	} else if p.nodePolicy.DropTrial() { // the settings have changed under the trial
		c.policyChanged("the trial does not fit the node's settings any more")
	}
}

func canonical(h rollout.Hash) rollout.Hash {
	if h == "" {
		return emptyPolicy.Hash()
	}
	return h
}

// addPolicyRequest adds what the node has counted, and which policy texts it has, to a lease request.
func (c *Core) addPolicyRequest(now time.Duration, request *peerpb.RenewRequest) {
	p := &c.policies
	request.Record = p.reporter.Pending()
	for _, h := range slices.Sorted(maps.Keys(p.texts)) {
		request.Texts = append(request.Texts, string(h))
	}
	p.sentAt[request.Seq] = now
	if request.Seq > maxPendingRequests {
		delete(p.sentAt, request.Seq-maxPendingRequests)
	}
}

// handlePolicyReply handles what a lease reply says of the node's record, and of the policy to apply.
func (c *Core) handlePolicyReply(r *peerpb.RenewReply) {
	p := &c.policies
	p.reporter.Acknowledge(r.Told)
	sentAt, known := p.sentAt[r.Seq]
	delete(p.sentAt, r.Seq)
	assignment := r.Policy
	if assignment == nil || !known {
		return
	}
	if p.slice != 0 && p.slice != time.Duration(assignment.SliceUs)*time.Microsecond {
		c.env.Log("the time slice of evidence has changed", "slice", time.Duration(assignment.SliceUs)*time.Microsecond)
	}
	p.slice = time.Duration(assignment.SliceUs) * time.Microsecond
	c.KeptPolicies.MaxCrashes = max(1, int(assignment.Crashes))
	if assignment.Trial {
		c.KeptPolicies.TrialLease = time.Duration(assignment.LeaseUs) * time.Microsecond
	}
	for h, text := range assignment.Texts {
		if policy, err := rollout.Parse(text); err == nil && policy.Hash() == rollout.Hash(h) {
			p.texts[rollout.Hash(h)] = policy.Text()
		}
	}
	if assignment.Trial { // an old decision must not keep a trial alive; for a return to the good policy any age will do
		sentAt -= time.Duration(assignment.AgeUs) * time.Microsecond
	}
	changed := p.nodePolicy.HandleAssignment(rollout.Assignment{Round: assignment.Round,
		Policy: rollout.Hash(assignment.Policy), Good: rollout.Hash(assignment.Good), Trial: assignment.Trial,
		Lease: time.Duration(assignment.LeaseUs) * time.Microsecond}, sentAt, c.checkFits)
	if changed {
		c.policyChanged("assigned by the site's consensus group")
	} else {
		c.applyPolicy() // only the lease was renewed
	}
}

// checkFits returns nil if a policy fits this node's settings, or else the reason.
func (c *Core) checkFits(h rollout.Hash) error {
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

// recordEvidence proposes a node's record, if it is newer than the committed one, and returns the sequence number up
// to which the node's records are committed.
func (c *Core) recordEvidence(now time.Duration, node string, record []byte) uint64 {
	if c.siteSync == nil {
		return 0
	}
	p := &c.policies
	sequence, known := p.recordSeq[node]
	if !known {
		if v, found := c.siteSync.Value(sitesync.Evidence, rollout.NodeKey(node)); found {
			if decoded, err := rollout.ParseRecord(v.Value); err == nil {
				sequence = decoded.Sequence
			}
		}
		p.recordSeq[node] = sequence
	}
	if len(record) == 0 || p.proposedRecords[node] {
		return sequence
	}
	decoded, err := rollout.ParseRecord(record)
	if err != nil || decoded.Node != node || decoded.Sequence <= sequence {
		return sequence
	}
	command := sitesync.Command{Write: &sitesync.LocalWrite{Kind: sitesync.Evidence, Subject: rollout.NodeKey(node), Value: record, By: node}}
	if c.siteSync.Check(command) == nil { // a full queue accepts no evidence: it is missing then, and does not count as health
		p.proposedRecords[node] = true
		c.proposeWrite(now, writeEntry{Command: &command}, func(Reply, error) { delete(p.proposedRecords, node) })
	}
	return sequence
}

// sitePolicies returns what the nodes of this site are to apply; false if the site has no document.
func (c *Core) sitePolicies() (rollout.SitePolicies, bool) {
	if c.isRootSite() {
		if c.policies.root == nil {
			return rollout.SitePolicies{}, false
		}
		return c.policies.root.SitePolicies(c.Site.Own.Name), true
	}
	if c.siteSync == nil {
		return rollout.SitePolicies{}, false
	}
	v, found := c.siteSync.Value(sitesync.Policy, rollout.SitePoliciesKey(c.Site.Own.Name))
	if !found {
		return rollout.SitePolicies{}, false
	}
	if p := &c.policies; v.Write.ID != p.sitePoliciesID {
		decoded, err := rollout.ParseSitePolicies([]byte(strings.TrimPrefix(string(v.Value), documentPrefix)))
		if err != nil {
			c.env.Log("the policy document of the root site cannot be decoded", "error", err)
			return rollout.SitePolicies{}, false
		}
		p.sitePolicies, p.sitePoliciesID = decoded, v.Write.ID
	}
	return c.policies.sitePolicies, true
}

// isHalted reports whether a rollout is halted at this site, by a write that is in effect here.
func (c *Core) isHalted(id string) bool {
	v, found := c.siteSync.Value(sitesync.Policy, rollout.HaltKey(id))
	return found && strings.HasPrefix(string(v.Value), haltPrefix)
}

// assignment returns what a node of this site is to apply, nil if that is not known. A site that has not heard from
// the root site while this node leads keeps no trial alive.
func (c *Core) assignment(now time.Duration, node string, texts []string) *peerpb.Assignment {
	policies, found := c.sitePolicies()
	if !found {
		return nil
	}
	assigned := policies.Assigned(node, c.isHalted)
	age, known := c.rootAge(now)
	if assigned.Trial && !known {
		return nil
	}
	reply := &peerpb.Assignment{Round: assigned.Round, Policy: string(assigned.Policy), Good: string(assigned.Good),
		Trial: assigned.Trial, LeaseUs: uint64(assigned.Lease / time.Microsecond), AgeUs: uint64(age / time.Microsecond),
		SliceUs: uint64(policies.Slice / time.Microsecond), Crashes: uint32(policies.MaxCrashes), Texts: map[string][]byte{}}
	for _, h := range []rollout.Hash{assigned.Policy, assigned.Good} {
		if !slices.Contains(texts, string(h)) {
			reply.Texts[string(h)] = policies.Text(h)
		}
	}
	return reply
}

// rootAge returns for how long, at most, the root site's decisions applied here may have been out of date; false if
// the root site was not heard from while this node leads.
func (c *Core) rootAge(now time.Duration) (age time.Duration, heard bool) {
	switch {
	case c.policies.rootHeardAt == 0:
		return 0, false
	}
	return max(0, now-c.policies.rootHeardAt), true
}

// beginRead records when a read begins that a quorum is asked to confirm; readConfirmed, that it was confirmed. The
// root site's own decisions are as recent as the last read that a quorum has confirmed: a leader that was paused and
// resumes does not know of later ones.
func (c *Core) beginRead(now time.Duration, ctx uint64) {
	if c.isRootSite() {
		c.policies.readRounds[ctx] = now
	}
}

func (c *Core) readConfirmed(ctx uint64) {
	if began, found := c.policies.readRounds[ctx]; found {
		c.noteRootHeard(began)
		delete(c.policies.readRounds, ctx)
	}
}

// noteRootHeard records that the root site's decisions as of a moment, or later, are applied here.
func (c *Core) noteRootHeard(asOf time.Duration) {
	c.policies.rootHeardAt = max(c.policies.rootHeardAt, asOf)
}

// ---- The root site ----

// applyPlan applies a log entry about policies, and returns the reason if it was refused.
func (c *Core) applyPlan(index uint64, cmd rollout.Command) error {
	c.lastStamp = max(c.lastStamp, cmd.At)
	root := c.policies.root
	if root == nil {
		return nil
	}
	refused := c.reportEffects(root.Apply(index, cmd))
	if resume := cmd.Resume; resume != nil && refused == nil && c.isHalted(resume.ID) { // if sites below had halted it
		c.siteSync.Apply(cmd.At, sitesync.Command{Write: &sitesync.LocalWrite{Kind: sitesync.Policy, Subject: rollout.HaltKey(resume.ID),
			Value: []byte(resumePrefix + resume.Why), By: resume.By}})
	}
	if cmd.Evidence == nil && cmd.Status == nil && cmd.Close == nil && cmd.Unreachable == nil && cmd.Reachable == nil {
		c.publish(cmd.At)
	}
	return refused
}

// applyWritesToPlan passes applied writes to the plan: records of nodes, and halts of sites below.
func (c *Core) applyWritesToPlan(index uint64, at time.Duration, effects []sitesync.Effect) {
	for _, effect := range effects {
		if effect.Write == nil || effect.Kind != sitesync.EffectApplied && effect.Kind != sitesync.EffectMerged {
			continue
		}
		write := effect.Write
		if node, match := strings.CutPrefix(write.Subject, rollout.NodeKey("")); match && write.Kind == sitesync.Evidence {
			record, err := rollout.ParseRecord(write.Value)
			if err != nil || record.Node != node {
				continue
			}
			c.policies.recordSeq[node] = max(c.policies.recordSeq[node], record.Sequence)
			if c.policies.root != nil {
				c.reportEffects(c.policies.root.Record(index, at, record))
			}
		}
		id, match := strings.CutPrefix(write.Subject, rollout.HaltKey(""))
		if why, halts := strings.CutPrefix(string(write.Value), haltPrefix); match && halts && write.Kind == sitesync.Policy &&
			c.policies.root != nil && write.ID.Origin.Site != c.Site.Own.Name {
			c.reportEffects(c.policies.root.Apply(index, rollout.Command{At: at, Halt: &rollout.Halt{ID: id, Cause: rollout.Operator,
				By: write.By + " at " + write.ID.Origin.Site, Why: why}}))
		}
	}
}

// reportEffects logs the effects of a command for operators, and returns the reason if it was refused.
func (c *Core) reportEffects(effects []rollout.Effect) (refused error) {
	for _, effect := range effects {
		switch effect.Kind {
		case rollout.Refused:
			refused = effect.Err
		case rollout.Notify:
			if c.leading {
				c.env.Log("policies", "rollout", effect.ID, "what", effect.Why, "cause", effect.Cause.String())
			}
		}
	}
	return refused
}

// publish writes the document of each site below whose document has changed: a write of the root site's own, which
// every replica derives from the same log.
func (c *Core) publish(at time.Duration) {
	for _, name := range c.policies.root.Sites() {
		if name == c.Site.Own.Name {
			continue
		}
		policies := c.policies.root.SitePolicies(name)
		key, value := rollout.SitePoliciesKey(name), append([]byte(documentPrefix), policies.Bytes()...)
		if v, found := c.siteSync.Value(sitesync.Policy, key); found && string(v.Value) == string(value) {
			continue
		}
		for _, effect := range c.siteSync.Apply(at, sitesync.Command{Write: &sitesync.LocalWrite{Kind: sitesync.Policy, Subject: key, Value: value,
			By: "the plan"}}) {
			if effect.Kind == sitesync.EffectRefused && c.leading {
				c.env.Log("the policy document of a site cannot be written", "site", name, "error", effect.Err)
			}
		}
	}
}

// siteTree returns the sites that policies are rolled out to, as this node's site file has them.
func (c *Core) siteTree() rollout.Tree {
	var tree rollout.Tree
	for _, definition := range slices.Concat([]site.Definition{c.Site.Own}, c.Site.Descendants) {
		treeSite := rollout.Site{Name: definition.Name, Parent: definition.Parent}
		if definition.Name == c.Site.Own.Name {
			treeSite.Parent = ""
		}
		for _, n := range definition.Nodes {
			treeSite.Nodes = append(treeSite.Nodes, rollout.TreeNode{Name: n, Zone: definition.Zones[n]})
		}
		tree.Sites = append(tree.Sites, treeSite)
	}
	slices.SortFunc(tree.Sites, func(a, b rollout.Site) int { return strings.Compare(a.Name, b.Name) })
	return tree
}

// nextPolicyCommand returns what the root site's leader proposes next about policies.
func (c *Core) nextPolicyCommand(now time.Duration) (rollout.Command, bool) {
	if c.policies.root == nil {
		return rollout.Command{}, false
	}
	return c.policies.root.NextWithLocalCount(max(c.lastStamp, now), c.Site.Rollout, c.siteTree(), c.Site.Own.Name, len(c.schedule.ExcludedHosts()))
}

// proposePolicy proposes a command about policies and returns its number, 0 if this replica does not lead.
func (c *Core) proposePolicy(now time.Duration, cmd rollout.Command) uint64 {
	cmd.At = c.nextStamp(now)
	return c.proposeTracked(now, entry{Policies: &cmd})
}

// withinDisruptionLimit reports whether a command would keep the disruption at this site within the limit for
// rollouts and maintenance together.
func (c *Core) withinDisruptionLimit(now time.Duration, cmd turns.Command) bool {
	limit := c.Site.Rollout.MaxDisrupted
	if cmd.Prepare == nil || limit == 0 {
		return true
	}
	policies, found := c.sitePolicies()
	return !found || len(c.schedule.ExcludedHosts())+policies.Disrupted(max(c.lastStamp, now)) < limit
}

// ---- Calls ----

// Plan proposes an operator's command about a rollout at the root site. done is called once, with a *NotLeaderError
// if another node leads.
func (c *Core) Plan(now time.Duration, id string, cmd rollout.Command, done func(Reply, error)) {
	switch {
	case c.stopCause != nil:
		done(Reply{}, c.stopCause)
	case c.siteSync != nil && !c.isRootSite():
		done(Reply{}, &NotRootSiteError{Site: c.Site.Own.Name, Root: c.rootSite()})
	case c.leading && c.policies.root != nil:
		if err := c.policies.root.Check(cmd); err != nil {
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
		done(Reply{}, c.notLeaderError())
	}
}

// rootSite returns the name of the root site.
func (c *Core) rootSite() string {
	if levels := len(c.Site.Ancestors); levels > 0 {
		return c.Site.Ancestors[levels-1].Name
	}
	return c.Site.Own.Name
}

// Halt halts a rollout: at the root site through its consensus group, elsewhere by a write that takes effect at this
// site at once and travels up.
func (c *Core) Halt(now time.Duration, id, by, why string, done func(Reply, error)) {
	if c.stopCause != nil || c.isRootSite() {
		c.Plan(now, id, rollout.Command{Halt: &rollout.Halt{ID: id, Cause: rollout.Operator, By: by, Why: why}}, done)
		return
	}
	if !c.leading || c.siteSync == nil {
		done(Reply{}, c.notLeaderError())
		return
	}
	policies, _ := c.sitePolicies()
	if !slices.ContainsFunc(slices.Collect(maps.Values(policies.Nodes)), func(g rollout.NodeEntry) bool { return g.Rollout == id && id != "" }) {
		done(Reply{}, &NoTrialError{ID: id, Site: c.Site.Own.Name, Root: c.rootSite()})
		return
	}
	if by == "" || why == "" {
		done(Reply{}, &rollout.Refusal{Why: "the operator and a reason for the halt are required", Do: "give both"})
		return
	}
	c.Write(now, sitesync.LocalWrite{Kind: sitesync.Policy, Subject: rollout.HaltKey(id), Value: []byte(haltPrefix + why),
		By: by, Urgent: true}, done)
}

// Policies returns what this site's nodes apply, and at the root site the state of rollouts. A node without an
// up-to-date replica returns a *NotLeaderError, so that the call is forwarded to the leader.
func (c *Core) Policies(now time.Duration) (*peerpb.PoliciesReply, error) {
	if !c.followsLog() || c.siteSync == nil {
		return nil, c.notLeaderError()
	}
	reply := &peerpb.PoliciesReply{Site: c.Site.Own.Name, Leader: c.leader, Top: c.rootSite()}
	if age, known := c.rootAge(now); known {
		ms := uint64(age / time.Millisecond)
		reply.AgeMs = &ms
	}
	policies, found := c.sitePolicies()
	if !found {
		return reply, nil
	}
	reply.Good = string(policies.Good)
	for _, node := range c.schedule.Members() {
		assigned := policies.Assigned(node, c.isHalted)
		listed := &peerpb.GoesBy{Node: node, Policy: string(assigned.Policy), Trial: assigned.Trial}
		if assigned.Trial {
			listed.Rollout = policies.Nodes[node].Rollout
		}
		if v, found := c.siteSync.Value(sitesync.Evidence, rollout.NodeKey(node)); found {
			if record, err := rollout.ParseRecord(v.Value); err == nil {
				listed.Seen = string(record.Status.Policy)
				if record.Status.Fallback != rollout.NoFallback {
					listed.Fell = record.Status.Fallback.String()
				}
			}
		}
		reply.Nodes = append(reply.Nodes, listed)
	}
	if c.policies.root != nil {
		for _, current := range c.policies.root.Plan().Rollouts() {
			reply.Rollouts = append(reply.Rollouts, rolloutReply(current))
		}
	}
	return reply, nil
}

// rolloutReply returns a rollout as the operator API reports it.
func rolloutReply(source *rollout.Rollout) *peerpb.Rollout {
	r := &peerpb.Rollout{Id: source.ID, Policy: string(source.Policy), Phase: source.Phase.String(),
		Stage: source.Stage.String(), Attempt: uint32(source.Attempt),
		BegunMs: int64(source.StageBegan / time.Millisecond)}
	if source.Phase == rollout.Running {
		r.Missing = source.Missing
	}
	if source.Cause != rollout.None {
		r.Cause = source.Cause.String()
	}
	for _, t := range source.Treated {
		if !t.RolledBack {
			r.Treated = append(r.Treated, t.Node)
		}
	}
	for _, e := range source.Log {
		r.Log = append(r.Log, &peerpb.PolicyNote{AtMs: int64(e.At / time.Millisecond), What: e.Event, Stage: e.Stage.String(), By: e.By, Why: e.Why})
	}
	return r
}

// policyCall carries out an operator's call, here or through the node that leads.
func (d operatorAPI) policyCall(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error), call func(func(Reply, error)),
	forward func(*peer.Client, *peerpb.PolicyRequest, func(*peerpb.PolicyReply, error))) {
	if !d.Do(func() {
		call(func(r Reply, err error) {
			if leader := d.leaderClient(err, q.Forwarded); leader != nil {
				q.Forwarded = true
				forward(leader, q, done)
				return
			}
			if err != nil {
				done(nil, err)
				return
			}
			reply := &peerpb.PolicyReply{Write: writtenID(r.Effects)}
			if root := d.core.policies.root; root != nil {
				if current := root.Plan().Rollout(q.Id); current != nil {
					reply.Rollout = rolloutReply(current)
				}
			}
			done(reply, nil)
		})
	}) {
		done(nil, &BusyError{})
	}
}

// planCall proposes an operator's command at the root site.
func (d operatorAPI) planCall(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error), cmd rollout.Command,
	forward func(*peer.Client, *peerpb.PolicyRequest, func(*peerpb.PolicyReply, error))) {
	d.policyCall(q, done, func(finish func(Reply, error)) { d.core.Plan(d.loop.Now(), q.Id, cmd, finish) }, forward)
}

// StartPolicy implements peer.Node.
func (d operatorAPI) StartPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	if !json.Valid([]byte(q.Policy)) { // invalid JSON could not be written to the log as raw text
		done(nil, &rollout.Fault{Fault: "not valid JSON"})
		return
	}
	d.planCall(q, done, rollout.Command{Start: &rollout.Start{ID: q.Id, Policy: json.RawMessage(q.Policy), By: q.By, Why: q.Why}},
		(*peer.Client).StartPolicy)
}

// HaltPolicy implements peer.Node.
func (d operatorAPI) HaltPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	d.policyCall(q, done, func(finish func(Reply, error)) { d.core.Halt(d.loop.Now(), q.Id, q.By, q.Why, finish) }, (*peer.Client).HaltPolicy)
}

// ResumePolicy implements peer.Node.
func (d operatorAPI) ResumePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	d.planCall(q, done, rollout.Command{Resume: &rollout.OperatorAction{ID: q.Id, By: q.By, Why: q.Why}}, (*peer.Client).ResumePolicy)
}

// ForcePolicy implements peer.Node.
func (d operatorAPI) ForcePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	stage, known := rollout.StageOf(q.Stage)
	if !known {
		done(nil, &UnknownNameError{Kind: "stage", Name: q.Stage, Expected: "the stage that Policies reports: one-node, building, regency, part or all"})
		return
	}
	d.planCall(q, done, rollout.Command{Force: &rollout.OperatorAction{ID: q.Id, Stage: stage, By: q.By, Why: q.Why}}, (*peer.Client).ForcePolicy)
}

// Policies implements peer.Node. The leader knows most; if no leader is known, this node answers from its own
// replica.
func (d operatorAPI) Policies(q *peerpb.PoliciesRequest, done func(*peerpb.PoliciesReply, error)) {
	if !d.Do(func() {
		if p := d.peers[d.core.Leader()]; p != nil && !d.core.Leading() && !q.Forwarded {
			q.Forwarded = true
			p.Policies(q, done)
			return
		}
		reply, err := d.core.Policies(d.loop.Now())
		done(reply, err)
	}) {
		done(nil, &BusyError{})
	}
}

// NotRootSiteError reports that policies are started, resumed and forced at the root site only.
type NotRootSiteError struct{ Site, Root string }

func (e *NotRootSiteError) Error() string {
	return fmt.Sprintf("%s is not the root site: policies are managed at %s", e.Site, e.Root)
}

// Action implements Actioner.
func (e *NotRootSiteError) Action() string {
	return "call a node of " + e.Root + "; here a policy can only be halted, with HaltPolicy"
}

// NoTrialError reports that no node of a site is assigned the policy of a rollout.
type NoTrialError struct{ ID, Site, Root string }

func (e *NoTrialError) Error() string {
	return fmt.Sprintf("no node of %s is assigned the policy of a rollout %.80q", e.Site, e.ID)
}

// Action implements Actioner.
func (e *NoTrialError) Action() string {
	return "see Policies for the policies of the nodes here; a rollout that has not reached this site is halted at " + e.Root
}

// ReservedKeyError reports that only the nodes themselves write about a key.
type ReservedKeyError struct{ Key string }

func (e *ReservedKeyError) Error() string {
	return fmt.Sprintf("%.80q is written only by the nodes themselves", e.Key)
}

// Action implements Actioner.
func (*ReservedKeyError) Action() string {
	return "start, halt, resume and force policies with StartPolicy, HaltPolicy, ResumePolicy and ForcePolicy"
}

// isReservedKey reports whether only the nodes themselves write about a key.
func isReservedKey(key string) bool {
	return slices.ContainsFunc([]string{rollout.SitePoliciesKey(""), rollout.HaltKey(""), rollout.NodeKey("")},
		func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}
