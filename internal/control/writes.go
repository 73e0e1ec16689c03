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

// This file forwards the writes of this site to the sites above, accepts those of the sites below, and takes a host
// that was banned by a write out of service at all nodes of the site.

var (
	// forwarderTiming times the calls of a site's leader to the sites above. PollInterval is how late a decision of
	// theirs arrives at most; a nearer site is tried again every ReturnInterval while a farther one is used in its
	// place. Before any answer was measured, the timeout is that of TCP (RFC 6298). MaxTimeout exceeds the time that a
	// peer takes to answer any call (peer.Limits.CallTimeout) and that its client waits.
	forwarderTiming = sitesync.Timing{PollInterval: time.Second, RetryDelay: 200 * time.Millisecond, MaxRetryDelay: 5 * time.Second, MaxFailures: 3,
		ReturnInterval: 2 * time.Second, InitialTimeout: time.Second, MaxTimeout: 8 * time.Second}
	// creditBudget limits what a leader accepts from the sites below. It is sized for the reconnect storm that
	// docs/design/upstream.md describes.
	creditBudget = sitesync.Budget{Rate: 8000, Batch: 256, MaxAhead: time.Second, UrgentBatch: 8, LocalCost: 256}
)

const (
	// minCallTicks is the lower bound of the timeout of a call to a site above, in ticks: the group above acts on
	// ticks as well, and shorter times cannot be told apart here.
	minCallTicks = 2
	// ageInterval is the time between two entries that advance the time for writes that wait.
	ageInterval = time.Minute
	// maxHeldWrites is how many writes may wait for what they depend on, if the site sets no limit.
	maxHeldWrites = 1024
)

// writeEntry is a log entry about writes: the site's place first, then commands.
type writeEntry struct {
	At      time.Duration     `json:"at"`
	Place   *sitesync.Place   `json:"place,omitempty"` // in the first entry, with Limits
	Limits  sitesync.Limits   `json:"limits,omitzero"`
	Command *sitesync.Command `json:"command,omitempty"`
}

// snapshot is the whole state of a replica.
type snapshot struct {
	Schedule   json.RawMessage `json:"book"`
	Writes     []byte          `json:"writes,omitempty"`
	Policies   []byte          `json:"policies,omitempty"`
	Membership membership      `json:"seats,omitzero"`
}

func (c *Core) encode() ([]byte, error) {
	schedule, err := c.schedule.Encode()
	if err != nil {
		return nil, err
	}
	s := snapshot{Schedule: schedule, Membership: c.membership}
	if c.siteSync != nil {
		s.Writes = c.siteSync.Encode()
	}
	if c.policies.root != nil {
		s.Policies = c.policies.root.Encode()
	}
	return json.Marshal(s)
}

func (c *Core) decode(raw []byte) error {
	c.schedule, c.siteSync, c.policies.root, c.policies.recordSeq = turns.New(), nil, nil, map[string]uint64{}
	c.membership = membership{}
	c.updateContacts()
	if len(raw) == 0 {
		return nil
	}
	var s snapshot
	err := json.Unmarshal(raw, &s)
	c.membership = s.Membership
	c.updateContacts()
	if err == nil {
		c.schedule, err = turns.Decode(s.Schedule)
	}
	if err == nil && s.Writes != nil {
		if c.siteSync, err = sitesync.Decode(s.Writes, MergeEvidence); err == nil {
			c.siteSync.WithRetention(rollout.StripEvidence)
		}
	}
	if err == nil && s.Policies != nil {
		c.policies.root, err = rollout.DecodeRootState(s.Policies)
	}
	c.initRootState()
	return err
}

// initRootState creates the rollout state at the root site.
func (c *Core) initRootState() {
	if c.isRootSite() && c.policies.root == nil {
		c.policies.root = rollout.NewRootState()
	}
}

// recordPrefix begins an encoded record of a node; see rollout.Record.Bytes.
const recordPrefix = "rollout record "

// MergeEvidence merges two pieces of evidence by their prefix: records of nodes, or else histograms. It is the same
// at all sites: see sitesync.Merge.
func MergeEvidence(a, b []byte) ([]byte, error) {
	if bytes.HasPrefix(a, []byte(recordPrefix)) {
		return rollout.MergeRecords(a, b)
	}
	return sitesync.MergeSketches(a, b)
}

// applyWrite applies a log entry about writes. It returns the effects, and the reason if the write was refused.
func (c *Core) applyWrite(index uint64, written writeEntry) (effects []sitesync.Effect, err error) {
	c.lastStamp = max(c.lastStamp, written.At)
	if written.Place != nil {
		if c.siteSync == nil {
			c.siteSync = sitesync.New(*written.Place, written.Limits).WithMerge(MergeEvidence).WithRetention(rollout.StripEvidence)
			c.initRootState()
		}
		return nil, nil
	}
	if c.siteSync == nil || written.Command == nil {
		return nil, nil
	}
	effects = c.siteSync.Apply(written.At, *written.Command)
	c.applyWritesToPlan(index, written.At, effects)
	for _, effect := range effects {
		switch effect.Kind {
		case sitesync.EffectApplied:
			if effect.Write.Kind == sitesync.Safety {
				c.hostView.nextMergeAt = 0 // a leader merges the host views at once
			}
		case sitesync.EffectRefused:
			err = effect.Err
		case sitesync.EffectReceipt:
			if receipt := effect.Receipt; c.leading && receipt.Outcome != sitesync.Applied {
				c.env.Log("a write of this site had another outcome than applied", "write", receipt.ID.String(),
					"outcome", receipt.Outcome.String(), "why", receipt.Why, "by", receipt.Site)
			}
		case sitesync.EffectIncarnationEnded:
			c.env.Log("a site has lost its store; writes that it had not sent are lost", "last known write", effect.ID.String())
		case sitesync.EffectStaleStore:
			c.env.Log("this site's writes are older than what it told before: its store was restored from an old copy",
				"known above", effect.ID.String())
		}
	}
	return effects, err
}

// proposeWrite proposes a command about writes; done, if any, is called with its effects, or with the reason why
// there are none.
func (c *Core) proposeWrite(now time.Duration, written writeEntry, done func(Reply, error)) {
	written.At = c.nextStamp(now)
	seq := c.proposeEntry(entry{Writes: &written})
	switch {
	case seq == 0 && done != nil:
		done(Reply{}, &NoLeaderError{Site: c.Site.Own.Name})
	case done != nil:
		c.pendingCalls[seq] = pendingCall{id: "write", deadline: now + callTimeout, done: done}
	}
}

// Write commits a write of this site. done is called once, with a *NotLeaderError if another node leads.
func (c *Core) Write(now time.Duration, write sitesync.LocalWrite, done func(Reply, error)) {
	switch {
	case c.stopCause != nil:
		done(Reply{}, c.stopCause)
	case c.leading && c.siteSync != nil:
		cmd := sitesync.Command{Write: &write}
		if err := c.siteSync.Check(cmd); err != nil {
			done(Reply{}, err)
			return
		}
		c.ensureScheduler().CountLocalWrite(now)
		c.proposeWrite(now, writeEntry{Command: &cmd}, done)
		c.processReady(now)
	default:
		done(Reply{}, c.notLeaderError())
	}
}

// notLeaderError returns an error that names the leader, if it is known.
func (c *Core) notLeaderError() error {
	if c.leader == "" || c.leader == c.Site.Node {
		return &NoLeaderError{Site: c.Site.Own.Name}
	}
	return &NotLeaderError{Leader: c.leader}
}

// ensureScheduler returns the leader's credit scheduler, which it creates if needed.
func (c *Core) ensureScheduler() *sitesync.CreditScheduler {
	if c.creditScheduler == nil {
		c.creditScheduler, c.knownCallers, c.pendingBatches = sitesync.NewCreditScheduler(creditBudget),
			map[sitesync.SiteIncarnation]bool{}, map[string]int{}
	}
	return c.creditScheduler
}

// Replay handles a call of a site below; done is called with the answer, or with the reason why there is none.
func (c *Core) Replay(now time.Duration, q *peerpb.ReplayRequest, done func(*peerpb.ReplayReply)) {
	refuse := func(err error) {
		r := &peerpb.ReplayReply{Refused: err.Error()}
		var actioner Actioner
		if errors.As(err, &actioner) {
			r.Action = actioner.Action()
		}
		var notLeader *NotLeaderError
		if errors.As(err, &notLeader) {
			r.Leader = notLeader.Leader
		}
		done(r)
	}
	if c.stopCause != nil || !c.leading || c.siteSync == nil {
		refuse(c.notLeaderError())
		return
	}
	batch, err := sitesync.ParseBatch(q.Batch)
	if err != nil {
		refuse(err)
		return
	}
	if c.ensureScheduler().Admit(batch) != nil {
		batch.Writes = nil // another leader granted the credit: the site gets an answer, and sends the writes again
	}
	if batch.Probe {
		answer := c.siteSync.Answer(batch, 0, 0)
		if answer.Working = c.pendingBatches[batch.From.Site] > 0; !answer.Working {
			answer.Credit, answer.Wait = c.ensureScheduler().Grant(now, batch, c.siteSync.Room())
		}
		done(&peerpb.ReplayReply{Answer: answer.Bytes()})
		return
	}
	answer := func() {
		credit, wait := c.ensureScheduler().Grant(now, batch, c.siteSync.Room())
		r := &peerpb.ReplayReply{Answer: c.siteSync.Answer(batch, credit, wait).Bytes()}
		if age, known := c.rootAge(now); known { // as of the call's arrival: the answer may wait for a commit
			us := uint64(age / time.Microsecond)
			r.AgeUs = &us
		}
		done(r)
	}
	if offer := c.siteSync.Unoffered(); offer != nil {
		c.proposeWrite(now, writeEntry{Command: offer}, nil)
	}
	caller := sitesync.SiteIncarnation{Site: batch.From.Site, Incarnation: batch.From.Incarnation}
	if len(batch.Writes) == 0 && c.knownCallers[caller] && !c.siteSync.HasNews(batch) {
		answer()
		return
	}
	c.knownCallers[caller] = true
	pending := c.pendingBatches
	pending[caller.Site]++
	c.proposeWrite(now, writeEntry{Command: &sitesync.Command{Batch: batch}}, func(_ Reply, err error) {
		pending[caller.Site]--
		if err != nil {
			refuse(err)
			return
		}
		answer()
	})
	c.processReady(now)
}

// forwardWrites makes the next call of the leader's forwarder.
func (c *Core) forwardWrites(now time.Duration) {
	if c.siteSync == nil || len(c.Site.Ancestors) == 0 {
		return
	}
	if c.forwarder == nil {
		timing := forwarderTiming
		timing.MinTimeout = minCallTicks * c.Site.Tick
		c.forwarder = sitesync.NewForwarder(func() *sitesync.Site { return c.siteSync }, timing)
		c.ancestorReplica = map[string]int{}
	}
	if c.callTarget != "" && now >= c.callDeadline {
		c.callFailed(now)
	}
	if offer := c.forwarder.Offer(); offer != nil && now >= c.nextOfferAt {
		c.nextOfferAt = now + proposalTimeout
		c.proposeWrite(now, writeEntry{Command: offer}, func(Reply, error) { c.nextOfferAt = 0 })
	}
	to, batch, _ := c.forwarder.Next(now)
	if batch == nil {
		return
	}
	for _, g := range c.Site.Ancestors {
		if g.Name != to {
			continue
		}
		c.callNumber++
		timeout := c.forwarder.CallTimeout()
		c.callTarget, c.callStartedAt, c.callDeadline = to, now, now+timeout
		c.env.SendReplay(g.Voters[c.ancestorReplica[to]%len(g.Voters)], c.callNumber, timeout, &peerpb.ReplayRequest{
			Site: c.Site.Own.Name, Batch: batch.Bytes()})
		return
	}
}

// HandleReplayReply handles the reply to a call to a site above; r is nil if there was none.
func (c *Core) HandleReplayReply(now time.Duration, call uint64, r *peerpb.ReplayReply) {
	if c.stopCause != nil || c.forwarder == nil || call != c.callNumber || c.callTarget == "" {
		return // of an earlier term, or timed out
	}
	if r == nil || r.Refused != "" {
		to := c.callTarget
		if r != nil && r.Action != "" && r.Leader == "" && r.Refused != c.lastRefusal {
			c.lastRefusal = r.Refused
			c.env.Log("a site above refuses the calls of this site", "site", to, "why", r.Refused, "action", r.Action)
		}
		if i := voterIndex(c.Site.Ancestors, to, r.GetLeader()); i >= 0 {
			c.ancestorReplica[to], c.callTarget = i, ""
			c.forwarder.Redirected(now)
			c.processReady(now)
			return
		}
		c.callFailed(now)
		return
	}
	answer, err := sitesync.ParseAnswer(r.Answer)
	if err != nil {
		c.env.Log("the answer of a site above cannot be decoded", "site", c.callTarget, "error", err)
		c.callFailed(now)
		return
	}
	c.callTarget = ""
	noteRoot := func() {}
	if r.AgeUs != nil && answer.Down != nil && answer.Down.Last {
		asOf := c.callStartedAt - time.Duration(*r.AgeUs)*time.Microsecond
		noteRoot = func() { c.noteRootHeard(asOf) }
	}
	if cmd := c.forwarder.Answered(now, answer); cmd != nil {
		c.proposeWrite(now, writeEntry{Command: cmd}, func(_ Reply, err error) {
			if err == nil && c.leading { // now it is applied here
				noteRoot()
			}
		})
	} else {
		noteRoot()
	}
	c.processReady(now)
}

// callFailed records a failed call and moves on to the next replica of the site that was called.
func (c *Core) callFailed(now time.Duration) {
	c.ancestorReplica[c.callTarget]++
	c.callTarget = ""
	c.forwarder.Failed(now)
}

// voterIndex returns the index of a node among the voters of a site above, or -1.
func voterIndex(ancestors []site.Definition, name, node string) int {
	for _, g := range ancestors {
		for i, s := range g.Voters {
			if g.Name == name && s == node {
				return i
			}
		}
	}
	return -1
}

// firstWriteEntry returns the entry that a site's writes begin with. It may be the first one with a time stamp.
func (c *Core) firstWriteEntry(now time.Duration) writeEntry {
	created := max(c.lastStamp, now)
	p := &sitesync.Place{Site: c.Site.Own.Name, Level: c.Site.Own.Level, StoreCreated: created,
		Incarnation: uint64(created/time.Microsecond)<<8 | c.RunID&0xff | 1} // increasing and unique
	for _, g := range c.Site.Ancestors {
		p.Ancestors = append(p.Ancestors, g.Name)
	}
	limits := c.Site.SiteSync
	if limits.Held == 0 {
		limits.Held = maxHeldWrites
	}
	return writeEntry{Place: p, Limits: limits}
}

// isBanned reports whether a host was banned by a write at this site, or at one above or below it.
func (c *Core) isBanned(host string) bool {
	if c.siteSync == nil {
		return false
	}
	v, found := c.siteSync.Value(sitesync.Safety, "host/"+host)
	return found && strings.HasPrefix(string(v.Value), "out")
}

// Read returns the value of a subject at this site, and the outcome of a write.
func (c *Core) Read(kind sitesync.Kind, subject, id string) (*peerpb.ReadReply, error) {
	if !c.followsLog() || c.siteSync == nil {
		return nil, c.notLeaderError()
	}
	r := &peerpb.ReadReply{Token: c.siteSync.Token()}
	own, others := c.siteSync.Waiting()
	r.Waiting = int32(own + others)
	if subject != "" {
		if v, found := c.siteSync.Value(kind, subject); found {
			r.Found, r.Value, r.By, r.Origin = true, string(v.Value), v.Write.By, v.Write.ID.Origin.Site
		}
	}
	if id != "" {
		writeID, err := parseID(id)
		if err != nil {
			return nil, err
		}
		if c.siteSync.Judged().Has(writeID) {
			r.Receipt = sitesync.Applied.String()
			if v, not := c.siteSync.Refusal(writeID); not {
				r.Receipt, r.Why = v.Outcome.String(), v.Why
			}
		}
	}
	return r, nil
}

// parseID parses a write's ID as sitesync.ID.String formats it: site.incarnation/number, with ! after the incarnation
// of an urgent write, and ~ after that of evidence.
func parseID(text string) (writeID sitesync.ID, err error) {
	origin, number, ok := strings.Cut(text, "/")
	separator := strings.LastIndexByte(origin, '.')
	if ok && separator > 0 {
		incarnation := origin[separator+1:]
		writeID.Origin.Site, writeID.Origin.Urgent, writeID.Origin.Evidence = origin[:separator],
			strings.HasSuffix(incarnation, "!"), strings.HasSuffix(incarnation, "~")
		if writeID.Origin.Incarnation, err = strconv.ParseUint(strings.TrimRight(incarnation, "!~"), 16, 64); err == nil {
			writeID.Number, err = strconv.ParseUint(number, 10, 64)
		}
	}
	if !ok || separator <= 0 || err != nil {
		return writeID, &UnknownNameError{Kind: "id", Name: text, Expected: "the id from the reply to Write"}
	}
	return writeID, nil
}

// kindOf returns the kind of writes with a name, of those that operators may write.
func kindOf(name string) (sitesync.Kind, error) {
	for k := sitesync.Note; int(k) < sitesync.Kinds; k++ {
		if k.String() == name {
			return k, nil
		}
	}
	return 0, &UnknownNameError{Kind: "kind", Name: name, Expected: "safety, policy, work or note"}
}

// writtenID returns the ID of the write that a commit applied or merged, "" if there is none.
func writtenID(effects []sitesync.Effect) string {
	for _, effect := range effects {
		if effect.Write != nil && (effect.Kind == sitesync.EffectApplied || effect.Kind == sitesync.EffectMerged) {
			return fmt.Sprint(effect.Write.ID)
		}
	}
	return ""
}
