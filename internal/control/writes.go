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
	book, err := c.book.Encode()
	if err != nil {
		return nil, err
	}
	s := snapshot{Book: book, Seats: c.seating}
	if c.writes != nil {
		s.Writes = c.writes.Encode()
	}
	if c.policies.top != nil {
		s.Policies = c.policies.top.Encode()
	}
	return json.Marshal(s)
}

func (c *Core) decode(raw []byte) error {
	c.book, c.writes, c.policies.top, c.policies.told = turns.New(), nil, nil, map[string]uint64{}
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
		c.book, err = turns.Decode(s.Book)
	}
	if err == nil && s.Writes != nil {
		if c.writes, err = sitesync.Decode(s.Writes, MergeEvidence); err == nil {
			c.writes.WithRetention(rollout.StripEvidence)
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
	c.stamp = max(c.stamp, e.At)
	if e.Place != nil {
		if c.writes == nil {
			c.writes = sitesync.New(*e.Place, e.Limits).WithMerge(MergeEvidence).WithRetention(rollout.StripEvidence)
			c.crown()
		}
		return nil, nil
	}
	if c.writes == nil || e.Command == nil {
		return nil, nil
	}
	effects = c.writes.Apply(e.At, *e.Command)
	c.planned(index, e.At, effects)
	for _, f := range effects {
		switch f.Kind {
		case sitesync.EffectApplied:
			if f.Write.Kind == sitesync.Safety {
				c.hosts.at = 0 // a leader looks at once
			}
		case sitesync.EffectRefused:
			err = f.Err
		case sitesync.EffectReceipt:
			if r := f.Receipt; c.leading && r.Outcome != sitesync.Applied {
				c.env.Tell("a write of this site was not simply taken", "write", r.ID.String(), "outcome", r.Outcome.String(),
					"why", r.Why, "by", r.Site)
			}
		case sitesync.EffectIncarnationEnded:
			c.env.Tell("a site has lost its store; what it wrote and did not send is lost", "last known write", f.ID.String())
		case sitesync.EffectStaleStore:
			c.env.Tell("this site's writes are older than what it told before: an old store was put back", "known above", f.ID.String())
		}
	}
	return effects, err
}

// proposeWrite brings a command about writes before the council; done is called with what it brought, or why nothing.
func (c *Core) proposeWrite(now time.Duration, w written, done func(Reply, error)) {
	w.At = c.stamped(now)
	seq := c.put(entry{Writes: &w})
	switch {
	case seq == 0 && done != nil:
		done(Reply{}, &NoLeaderError{Site: c.Site.Own.Name})
	case done != nil:
		c.waiters[seq] = waiter{id: "write", until: now + callWithin, done: done}
	}
}

// Write commits a write of this site. done is called once, with an *ElsewhereError where another node leads.
func (c *Core) Write(now time.Duration, l sitesync.LocalWrite, done func(Reply, error)) {
	switch {
	case c.stop != nil:
		done(Reply{}, c.stop)
	case c.leading && c.writes != nil:
		cmd := sitesync.Command{Write: &l}
		if err := c.writes.Check(cmd); err != nil {
			done(Reply{}, err)
			return
		}
		c.tell().CountLocalWrite(now)
		c.proposeWrite(now, written{Command: &cmd}, done)
		c.drive(now)
	default:
		done(Reply{}, c.elsewhere())
	}
}

// elsewhere says who leads, if that is known.
func (c *Core) elsewhere() error {
	if c.leader == "" || c.leader == c.Site.Node {
		return &NoLeaderError{Site: c.Site.Own.Name}
	}
	return &ElsewhereError{Leader: c.leader}
}

// tell returns the leader's teller.
func (c *Core) tell() *sitesync.CreditScheduler {
	if c.teller == nil {
		c.teller, c.callers, c.taking = sitesync.NewCreditScheduler(budget), map[sitesync.SiteIncarnation]bool{}, map[string]int{}
	}
	return c.teller
}

// Replay takes a call of a site below in; done is called with the answer, or with why there is none.
func (c *Core) Replay(now time.Duration, q *peerpb.ReplayRequest, done func(*peerpb.ReplayReply)) {
	refuse := func(err error) {
		r := &peerpb.ReplayReply{Refused: err.Error()}
		var told Actioner
		if errors.As(err, &told) {
			r.Action = told.Action()
		}
		var other *ElsewhereError
		if errors.As(err, &other) {
			r.Leader = other.Leader
		}
		done(r)
	}
	if c.stop != nil || !c.leading || c.writes == nil {
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
		a := c.writes.Answer(b, 0, 0)
		if a.Working = c.taking[b.From.Site] > 0; !a.Working {
			a.Credit, a.Wait = c.tell().Grant(now, b, c.writes.Room())
		}
		done(&peerpb.ReplayReply{Answer: a.Bytes()})
		return
	}
	answer := func() {
		credit, wait := c.tell().Grant(now, b, c.writes.Room())
		r := &peerpb.ReplayReply{Answer: c.writes.Answer(b, credit, wait).Bytes()}
		if age, heard := c.topAge(now); heard { // by when the call came: the answer may wait for a commit
			us := uint64(age / time.Microsecond)
			r.AgeUs = &us
		}
		done(r)
	}
	if own := c.writes.Unoffered(); own != nil {
		c.proposeWrite(now, written{Command: own}, nil)
	}
	caller := sitesync.SiteIncarnation{Site: b.From.Site, Incarnation: b.From.Incarnation}
	if len(b.Writes) == 0 && c.callers[caller] && !c.writes.HasNews(b) {
		answer()
		return
	}
	c.callers[caller] = true
	taking := c.taking
	taking[caller.Site]++
	c.proposeWrite(now, written{Command: &sitesync.Command{Batch: b}}, func(_ Reply, err error) {
		taking[caller.Site]--
		if err != nil {
			refuse(err)
			return
		}
		answer()
	})
	c.drive(now)
}

// carry has the leader's courier make its next call.
func (c *Core) carry(now time.Duration) {
	if c.writes == nil || len(c.Site.Ancestors) == 0 {
		return
	}
	if c.courier == nil {
		p := pace
		p.MinTimeout = leastTicks * c.Site.Tick
		c.courier = sitesync.NewForwarder(func() *sitesync.Site { return c.writes }, p)
		c.upAt = map[string]int{}
	}
	if c.calling != "" && now >= c.callUntil {
		c.callFailed(now)
	}
	if offer := c.courier.Offer(); offer != nil && now >= c.offerAt {
		c.offerAt = now + proposeWithin
		c.proposeWrite(now, written{Command: offer}, func(Reply, error) { c.offerAt = 0 })
	}
	to, b, _ := c.courier.Next(now)
	if b == nil {
		return
	}
	for _, g := range c.Site.Ancestors {
		if g.Name != to {
			continue
		}
		c.calls++
		within := c.courier.CallTimeout()
		c.calling, c.calledAt, c.callUntil = to, now, now+within
		c.env.SendReplay(g.Voters[c.upAt[to]%len(g.Voters)], c.calls, within, &peerpb.ReplayRequest{Site: c.Site.Own.Name, Batch: b.Bytes()})
		return
	}
}

// Replayed takes what became of a call upwards over; r is nil where there was no answer.
func (c *Core) Replayed(now time.Duration, call uint64, r *peerpb.ReplayReply) {
	if c.stop != nil || c.courier == nil || call != c.calls || c.calling == "" {
		return // of another leader's time, or given up
	}
	if r == nil || r.Refused != "" {
		to := c.calling
		if r != nil && r.Action != "" && r.Leader == "" && r.Refused != c.refused {
			c.refused = r.Refused
			c.env.Tell("a site above refuses what this one sends", "site", to, "why", r.Refused, "action", r.Action)
		}
		if i := seatOf(c.Site.Ancestors, to, r.GetLeader()); i >= 0 {
			c.upAt[to], c.calling = i, ""
			c.courier.Redirected(now)
			c.drive(now)
			return
		}
		c.callFailed(now)
		return
	}
	a, err := sitesync.ParseAnswer(r.Answer)
	if err != nil {
		c.env.Tell("what a site above answers cannot be read", "site", c.calling, "error", err)
		c.callFailed(now)
		return
	}
	c.calling = ""
	heard := func() {}
	if r.AgeUs != nil && a.Down != nil && a.Down.Last {
		at := c.calledAt - time.Duration(*r.AgeUs)*time.Microsecond
		heard = func() { c.heardTop(at) }
	}
	if cmd := c.courier.Answered(now, a); cmd != nil {
		c.proposeWrite(now, written{Command: cmd}, func(_ Reply, err error) {
			if err == nil && c.leading { // now it holds here
				heard()
			}
		})
	} else {
		heard()
	}
	c.drive(now)
}

// callFailed goes on to the next seat of the site that was called.
func (c *Core) callFailed(now time.Duration) {
	c.upAt[c.calling]++
	c.calling = ""
	c.courier.Failed(now)
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
	born := max(c.stamp, now)
	p := &sitesync.Place{Site: c.Site.Own.Name, Level: c.Site.Own.Level, StoreCreated: born,
		Incarnation: uint64(born/time.Microsecond)<<8 | c.Run&0xff | 1} // rises, and no two are alike
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
	if c.writes == nil {
		return false
	}
	v, any := c.writes.Value(sitesync.Safety, "host/"+host)
	return any && strings.HasPrefix(string(v.Value), "out")
}

// Read tells what holds here of a thing, and what became of a write.
func (c *Core) Read(kind sitesync.Kind, thing, id string) (*peerpb.ReadReply, error) {
	if !c.follows() || c.writes == nil {
		return nil, c.elsewhere()
	}
	r := &peerpb.ReadReply{Token: c.writes.Token()}
	own, others := c.writes.Waiting()
	r.Waiting = int32(own + others)
	if thing != "" {
		if v, any := c.writes.Value(kind, thing); any {
			r.Found, r.Value, r.By, r.Origin = true, string(v.Value), v.Write.By, v.Write.ID.Origin.Site
		}
	}
	if id != "" {
		d, err := parseID(id)
		if err != nil {
			return nil, err
		}
		if c.writes.Judged().Has(d) {
			r.Receipt = sitesync.Applied.String()
			if v, not := c.writes.Refusal(d); not {
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
		return d, &NameError{What: "id", Name: text, Want: "as the answer to Write gave it"}
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
	return 0, &NameError{What: "kind", Name: name, Want: "safety, policy, work or note"}
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
