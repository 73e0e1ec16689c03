package control

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lichenhitch/internal/consensus"
	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/site"
)

// This file is how the seats of a council change: by the site file, by an operator's word for a seat whose store is new (TakeIn),
// for one that waits (Vouch), and for a council most of whose stores are lost (FoundAnew). docs/design/affairs.md has the options.
//
// The leader carries a change of the file out, one step at a time, and only while more than half of the present seats name the
// same seats in their files as its own does: two such majorities have a seat in common, so that no two files are carried out at
// once, and a file that only some nodes have does nothing. Nothing of it is remembered but what raft agreed on: whoever leads next
// looks at what there is and goes on from there.
//
// A seat that comes learns first, without a vote, and counts once its store has all. A seat that goes and answers goes last; one
// that does not answer goes before the new one counts. No step is taken that would leave less than a majority that answers. A
// leader that goes itself hands over first.

const (
	// freshTicks is for how long what a seat said of itself counts, in ticks: a leader is replaced after ten that are silent.
	freshTicks = 30
	// stepTicks is the pause between two looks at the seats by the leader.
	stepTicks = 5
	// hearTicks is how long a node listens for others before an operator's word may rest on their silence.
	hearTicks = 40
)

// seating is what the council has agreed on of its seats, besides raft's own word on who they are.
type seating struct {
	// Foundings are drawn at random: by the first leader, and by each FoundAnew. A council whose list is longer than another's that
	// it begins with has come after it, and the seats of that one are refused.
	Foundings []uint64                       `json:"foundings,omitempty"`
	Names     map[consensus.ReplicaID]string `json:"names,omitempty"` // the nodes of the seats
	By        string                         `json:"by,omitempty"`    // who had it founded anew, and why
	Why       string                         `json:"why,omitempty"`
}

// seats is what a node knows of its council's seats, besides seat and others.
type seats struct {
	hinted  map[consensus.ReplicaID]string // names of seats, as the store has them before it is applied
	seating seating
	circle  []string              // nodes that have a seat by the file or by the council, sorted: those that this seat talks to
	were    []consensus.ReplicaID // the seats at the last look
	gone    bool                  // the seat was taken out while it was away
	out     uint64                // it was taken out, as is known at this place of the log; 0: it was not

	entering consensus.ReplicaID // that an operator has taken in; 0: none
	noteAt   time.Duration       // when to have the seats' names agreed on again
	steerAt  time.Duration       // when to look at the seats again
	steered  string              // why they are not as they should be, as told last
	handed   int                 // how often this seat has handed over

	council []uint64 // foundings of the council that this node has its right of
	warned  bool     // that another council's right was not taken
}

// seated is an entry about seats.
type seated struct {
	Founding uint64                         `json:"founding,omitempty"` // the first one, where there is none yet
	Names    map[consensus.ReplicaID]string `json:"names"`              // whole
}

// reseat takes an entry about seats over.
func (c *Core) reseat(e seated) {
	if len(c.seating.Foundings) == 0 && e.Founding != 0 {
		c.seating.Foundings = []uint64{e.Founding}
	}
	c.seating.Names = e.Names
	c.known()
}

// known makes the circle anew.
func (c *Core) known() {
	c.circle = slices.Concat(c.Site.Voters, slices.Collect(maps.Values(c.seating.Names)))
	for name, o := range c.peers {
		if c.counts(name, o) {
			c.circle = append(c.circle, name)
		}
	}
	slices.Sort(c.circle)
	c.circle = slices.Compact(c.circle)
}

// sits says whether this node has a seat: by its file, or still.
func (c *Core) sits() bool { return c.Site.IsVoter || c.replica != nil }

// follows says whether this node's own state goes on with the council's log: whether its seat counts, as far as it knows. The state of a
// seat which was taken out stays as it was then. One that waits may have been, and one that learns may have been taken out again without
// a word: who takes a seat out stops telling it what is agreed on.
func (c *Core) follows() bool {
	if c.replica == nil || c.out != 0 {
		return false
	}
	st := c.replica.Status()
	return !st.Unconfirmed && slices.Contains(st.Voters, c.replicaID)
}

// called returns the node of a seat, "" where it is not known.
func (c *Core) called(id consensus.ReplicaID) string {
	if name := c.seating.Names[id]; name != "" {
		return name
	}
	return cmp.Or(c.nameOf(id), c.hinted[id])
}

// answers says whether a seat was heard lately, with this store.
func (c *Core) answers(id consensus.ReplicaID) bool {
	if id == c.replicaID {
		return true
	}
	o := c.peers[c.nameOf(id)]
	return o != nil && o.id == id && c.ticks-o.at < freshTicks
}

// Seats returns the nodes that have a seat in the council now, as far as this seat knows, sorted.
func (c *Core) Seats() (names []string) {
	if c.replica == nil {
		return nil
	}
	for _, id := range c.replica.Status().Voters {
		name := c.called(id)
		if name == "" {
			name = fmt.Sprintf("%016x", uint64(id))
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ---- One council and another ----

// kin is how one council's foundings stand to another's.
type kin uint8

const (
	same    kin = iota // or not known
	older              // the other one was founded before this one, and this one in its place
	newer              // the other way round
	foreign            // neither
)

// kinOf says what a council is to another one, with lists of their foundings.
func kinOf(own, others []uint64) kin {
	n := min(len(own), len(others))
	switch {
	case !slices.Equal(own[:n], others[:n]):
		return foreign
	case n == 0 && max(len(own), len(others)) < 2 || len(own) == len(others): // one that knows of none may be young
		return same
	case len(own) > len(others):
		return older
	}
	return newer
}

// related says whether what a seat says may be used: it is of this council, or has nothing yet.
func (c *Core) related(h *peerpb.Hello) error {
	own, theirs := c.replica != nil && c.hasLog(), h.Founded && h.Claim.GetLast() > 0
	if !own || !theirs {
		return nil
	}
	switch kinOf(c.seating.Foundings, h.Foundings) {
	case older:
		return &OldCouncilError{Node: h.Node, Site: c.Site.Own.Name}
	case newer:
		err := &OldCouncilError{Node: c.Site.Node, Site: c.Site.Own.Name}
		if err := c.env.MarkRefused(err.Error()); err != nil {
			c.fail(err)
			return err
		}
		c.replica.MarkRefused(err.Error())
		return err
	case foreign:
		return &OtherCouncilError{Node: h.Node, Site: c.Site.Own.Name}
	}
	return nil
}

// hasLog says whether this seat's store has anything of a council.
func (c *Core) hasLog() bool {
	st := c.replica.Status()
	return st.Committed > 0 || st.Applied > 0
}

// foretold reads the council's foundings from a store before anything of it is applied. Those after the first one stand in a
// snapshot.
func (c *Core) foretold() {
	var s snapshot
	if raw := c.StoredState.Snapshot.GetData(); len(raw) > 0 && json.Unmarshal(raw, &s) == nil {
		c.seating = s.Seats
	}
	// The names of the seats are of use also where it is not known whether they were agreed on.
	for _, e := range c.StoredState.Entries {
		var what entry
		if json.Unmarshal(e.GetData(), &what) == nil && what.Replicas != nil {
			c.hinted = what.Replicas.Names
		}
	}
	c.known()
}

// answeredBy says whether an answer to a node may be used: not that of a council in whose place another was founded.
func (c *Core) answeredBy(r *peerpb.RenewReply) bool {
	switch kinOf(c.council, r.Foundings) {
	case older:
		if !c.warned {
			c.warned = true
			err := &OldCouncilError{Node: r.Leader, Site: c.Site.Own.Name}
			c.env.Log("a right is not taken", "why", err.Error(), "action", err.Action())
		}
		return false
	case same:
	default:
		c.warned = false
	}
	if len(r.Foundings) > 0 {
		c.council = r.Foundings
	}
	return true
}

// ---- Steps of the leader ----

// steer takes the next step towards the seats of the site file, or of an operator's word. It says why there is none, once.
func (c *Core) steer(now time.Duration, st consensus.Status) {
	if now < c.steerAt {
		return
	}
	c.steerAt = now + stepTicks*c.Site.Tick
	if c.noteSeats(now, st) {
		return
	}
	why, action := c.step(st)
	if why != c.steered && why != "" {
		c.env.Log("the seats are not as the site file has them yet", "why", why, "action", action)
	}
	c.steered = why
}

// noteSeats has the council agree on the names of its seats, and says whether it has to.
func (c *Core) noteSeats(now time.Duration, st consensus.Status) bool {
	names := map[consensus.ReplicaID]string{}
	for _, id := range slices.Concat(st.Voters, st.Learners) {
		if name := c.called(id); name != "" {
			names[id] = name
		}
	}
	if maps.Equal(names, c.seating.Names) && len(c.seating.Foundings) > 0 || now < c.noteAt {
		return false
	}
	if c.proposeTracked(now, entry{Replicas: &seated{Founding: drawn(c.RunID, st.Term), Names: names}}) != 0 {
		c.noteAt = now + proposalTimeout
	}
	return true
}

// drawn is a number that no other founding has.
func drawn(run, term uint64) uint64 {
	return max(1, xxhash.Sum64String(fmt.Sprintf("%x %x", run, term)))
}

// step takes a step, or says why the seats stay other ones than they should be, and what can be done.
func (c *Core) step(st consensus.Status) (why, action string) {
	comes, goes, why, action := c.wanted(st)
	for _, id := range st.Learners { // one whose store is a new one by now, or that is not wanted any more
		if id != comes && (comes != 0 || c.stale(id) || len(goes) == 0 && why == "") {
			return c.change(0, id)
		}
	}
	fit := func(add bool, but consensus.ReplicaID) bool { // a majority answers after the step
		n, answer := 0, 0
		for _, id := range st.Voters {
			if id != but {
				n++
				if c.answers(id) {
					answer++
				}
			}
		}
		if add {
			n, answer = n+1, answer+1
		}
		return answer > n/2
	}
	const few = "see that the nodes of the seats run and reach each other"
	silent := slices.IndexFunc(goes, func(id consensus.ReplicaID) bool { return !c.answers(id) })
	switch {
	case comes != 0 && !slices.Contains(st.Learners, comes):
		if err := c.replica.AddLearner(comes); err != nil {
			return err.Error(), "nothing: it is tried again"
		}
		c.env.Log("a seat learns what was agreed on, and counts once it has it", "seat", c.called(comes))
		return "", ""
	case comes != 0 && (!c.answers(comes) || !c.replica.CaughtUp(comes) || c.seating.Names[comes] == ""):
		return c.called(comes) + " has not all yet that was agreed on", "see that it runs and that the seats reach it"
	case silent >= 0 && len(st.Voters) > 1:
		if !fit(false, goes[silent]) {
			return "without " + c.called(goes[silent]) + " no majority of the seats would answer", few
		}
		return c.change(0, goes[silent])
	case comes != 0:
		if !fit(true, 0) {
			return "with " + c.called(comes) + " no majority of the seats would answer", few
		}
		return c.change(comes, 0)
	case len(goes) == 0:
		return why, action
	case goes[0] != c.replicaID:
		if !fit(false, goes[0]) {
			return "without " + c.called(goes[0]) + " no majority of the seats would answer", few
		}
		return c.change(0, goes[0])
	}
	if !fit(false, c.replicaID) {
		return "without this one no majority of the seats would answer", few
	}
	var heirs []consensus.ReplicaID
	for _, id := range st.Voters {
		if id != c.replicaID && c.answers(id) && c.replica.CaughtUp(id) {
			heirs = append(heirs, id)
		}
	}
	if len(heirs) == 0 {
		return "this seat goes, and no other one has all yet that was agreed on", few
	}
	c.handed++
	heir := heirs[c.handed%len(heirs)]
	c.env.Log("this seat goes, and hands over before", "to", c.called(heir))
	if err := c.replica.TransferLeadershipTo(heir); err != nil {
		return err.Error(), "nothing: it is tried again"
	}
	return "", ""
}

// change has raft take a seat in or out.
func (c *Core) change(add, remove consensus.ReplicaID) (why, action string) {
	if err := c.replica.ChangeVoters(add, remove); err != nil {
		return err.Error(), "nothing: it is tried again"
	}
	return "", ""
}

// stale says whether the node of a seat has another store by now.
func (c *Core) stale(id consensus.ReplicaID) bool {
	o := c.peers[c.called(id)]
	return o != nil && o.id != id
}

// wanted returns the seat that comes next and all that go, those that are not this one first; or why none does.
func (c *Core) wanted(st consensus.Status) (comes consensus.ReplicaID, goes []consensus.ReplicaID, why, action string) {
	if e := c.entering; e != 0 { // an operator's word
		name := c.nameOf(e)
		if slices.Contains(st.Voters, e) || name == "" {
			c.entering = 0
		} else {
			return e, c.former(st, name), "", ""
		}
	}
	has := map[string]bool{}
	for _, id := range st.Voters {
		has[c.called(id)] = true
	}
	var missing []string
	for _, name := range c.Site.Voters {
		if !has[name] {
			missing = append(missing, name)
		}
	}
	for _, id := range st.Voters {
		if name := c.called(id); name != "" && !slices.Contains(c.Site.Voters, name) {
			goes = append(goes, id)
		}
	}
	slices.SortFunc(goes, func(a, b consensus.ReplicaID) int { // this one last
		return strings.Compare(c.last(a), c.last(b))
	})
	if others := c.otherFiles(st); others != nil {
		if len(goes) == 0 && len(missing) == 0 && 2*len(others) < len(st.Voters) {
			return 0, nil, "", ""
		}
		if 2*len(others) >= len(st.Voters) {
			return 0, nil, "no majority of the seats has a site file that names the same seats as that of " + c.Site.Node + ": " +
				strings.Join(others, " ") + " differ, or do not answer", "give all nodes of the site the same seats, and have them reload"
		}
	}
	for _, name := range missing {
		o := c.peers[name]
		var err Actioner
		switch {
		case o == nil || c.ticks-o.at >= freshTicks:
			err = &NoAnswerError{Node: name}
		case !o.founded || !slices.Equal(o.names, c.Site.Voters):
			err = &OtherFileError{Node: name}
		case o.last > 0 && kinOf(c.seating.Foundings, o.foundings) != same:
			err = &OtherCouncilError{Node: name, Site: c.Site.Own.Name}
		default:
			return o.id, goes, "", ""
		}
		why, action = err.Error(), err.Action()
	}
	if len(missing) > 0 { // whoever goes stays until who comes is there
		goes = nil
	}
	return 0, goes, why, action
}

func (c *Core) last(id consensus.ReplicaID) string {
	if id == c.replicaID {
		return "~"
	}
	return fmt.Sprintf("%016x", uint64(id))
}

// former are the seats that a node had before with another store; where the council does not know names, one that nobody has.
func (c *Core) former(st consensus.Status, name string) (ids []consensus.ReplicaID) {
	for _, id := range st.Voters {
		if c.seating.Names[id] == name {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 && len(st.Voters) >= len(c.Site.Voters) {
		for _, id := range st.Voters {
			if c.called(id) == "" {
				return []consensus.ReplicaID{id}
			}
		}
	}
	return ids
}

// otherFiles are the present seats whose files name other seats than this one's, or are not known.
func (c *Core) otherFiles(st consensus.Status) (names []string) {
	for _, id := range st.Voters {
		o := c.peers[c.nameOf(id)]
		if id != c.replicaID && (!c.answers(id) || !slices.Equal(o.names, c.Site.Voters)) {
			names = append(names, c.called(id))
		}
	}
	slices.Sort(names)
	return names
}

// ---- A seat that was taken out ----

// heardOut takes note of a seat's word that this one is none of the council's any more. Whoever takes a seat out stops telling it
// what is agreed on, this included.
func (c *Core) heardOut(claim consensus.SelfReport) {
	st := c.replica.Status()
	if claim.Commit > st.Committed && len(claim.Voters) > 0 && slices.Contains(st.Voters, c.replicaID) && c.out < claim.Commit &&
		!slices.Contains(claim.Voters, c.replicaID) && slices.Contains(st.Voters, claim.Replica) {
		c.leave(claim.Commit)
	}
}

// parted has this node go on without a seat where that was taken out while it was away.
func (c *Core) parted(err error) bool {
	var stranger *consensus.NotMemberError
	if !errors.As(err, &stranger) {
		return false
	}
	if c.leading {
		c.leaseTable.Resign()
		c.leading = false
		c.refuseLeaseRequests()
	}
	c.replica, c.gone = nil, true
	c.tellGone()
	return true
}

// tellGone logs that the store's seat is none of the council's any more, and what to do where the site file names this node's.
func (c *Core) tellGone() {
	action := "nothing: its site file does not name it either"
	if c.Site.IsVoter {
		action = "if it is to have a seat, stop it, put its store aside and start it with an empty one"
	}
	c.env.Log("the council has taken this node's seat out while it was away", "seat", c.Site.Node, "action", action)
}

// notice takes note of what this seat's own log says of the seats, this one among them.
func (c *Core) notice(st consensus.Status) {
	if !slices.Equal(st.Voters, c.were) {
		for _, id := range st.Voters {
			if len(c.were) > 0 && !slices.Contains(c.were, id) {
				c.env.Log("a seat is taken in", "seat", c.called(id), "seats", strings.Join(c.Seats(), " "))
			}
		}
		for _, id := range c.were {
			if !slices.Contains(st.Voters, id) {
				c.env.Log("a seat is taken out", "seat", c.called(id), "seats", strings.Join(c.Seats(), " "))
			}
		}
		c.were = st.Voters
		c.known()
	}
	in := slices.Contains(st.Voters, c.replicaID) || slices.Contains(st.Learners, c.replicaID)
	switch {
	case c.out != 0 && in && st.Applied >= c.out:
		c.out = 0
	case c.out == 0 && !in && len(st.Voters) > 0:
		c.leave(st.Applied)
	}
}

// leave has this seat fall silent. It keeps its store, and comes back if it is taken in again.
func (c *Core) leave(at uint64) {
	if c.out == 0 {
		action := "nothing: its site file does not name it either"
		if c.Site.IsVoter {
			action = "compare the site files: those of most seats do not name it"
		}
		c.env.Log("the council has taken this node's seat out", "seat", c.Site.Node, "action", action)
	}
	c.out = max(at, 1)
}

// ---- The file ----

// Retune takes a changed site file over that Site.Change has nothing against.
func (c *Core) Retune(s *site.Site) {
	steps := site.PlanVoterChanges(c.Site.Voters, s.Voters)
	c.Site = s
	c.known()
	if len(steps) > 0 {
		var say []string
		for _, t := range steps {
			say = append(say, t.String())
		}
		c.env.Log("the site file names other seats", "steps", strings.Join(say, ", then "),
			"action", "give the file to all nodes of the site; the council changes its seats once most of its seats have it")
	}
	switch {
	case c.stopCause != nil || c.replica != nil:
	case c.gone:
		if s.IsVoter && len(steps) > 0 {
			c.tellGone()
		}
	default:
		if err := c.sit(); err != nil {
			c.fail(err)
		}
	}
}

// ---- Operators' words ----

// settled says why no word on seats is taken as things are, nil where one is.
func (c *Core) settled(node, by, why string, risk bool, name, is string) error {
	switch {
	case c.stopCause != nil:
		return c.stopCause
	case c.replica == nil || !c.hasLog():
		return &NoReplicaError{Node: c.Site.Node}
	case !risk:
		return &SeatRiskError{Node: node, Risk: is, Word: name}
	case strings.TrimSpace(by) == "" || strings.TrimSpace(why) == "":
		return &ReasonError{}
	case c.ticks < hearTicks:
		return &NotYetError{Node: node}
	}
	return nil
}

// Vouch is an operator's word that the store of this node's seat, which waits for others, is the one that it left.
func (c *Core) Vouch(now time.Duration, q *peerpb.VouchRequest) error {
	err := c.settled(q.Node, q.By, q.Why, q.IKnowThatAnOlderStoreUndoesWhatWasAgreedOn,
		"i_know_that_an_older_store_undoes_what_was_agreed_on", "if the store of "+q.Node+
			" is an older one, put back from a copy, it votes as if it had not voted, and what was agreed on since is lost")
	if err != nil {
		return err
	}
	if st := c.replica.Status(); !st.Unconfirmed && !st.Behind {
		return &NotNeededError{Node: q.Node, Why: "its seat does not wait"}
	}
	if err := c.replica.ConfirmStore(); err != nil {
		return err
	}
	c.env.Log("an operator vouches for the store of this seat; it waits for nobody", "seat", q.Node, "by", q.By, "why", q.Why)
	c.processReady(now)
	return nil
}

// FoundAnew is an operator's word that the stores of so many seats are lost for good that no majority of them is left. This node's
// seat founds the council anew, alone, with all that its store has; the others come with new stores, by the site file.
func (c *Core) FoundAnew(now time.Duration, q *peerpb.FoundRequest) error {
	err := c.settled(q.Node, q.By, q.Why, q.IKnowThatTheLostStoresMustNeverRunAgain,
		"i_know_that_the_lost_stores_must_never_run_again", "if most of the old seats run on, or run again with their stores where they do not "+
			"reach "+q.Node+", there are two councils, and two hand hosts over; and what only the lost stores knew is lost, turns that were granted too")
	if err != nil {
		return err
	}
	c.processReady(now) // what the store has is applied, as far as it is known to be agreed on
	if c.stopCause != nil {
		return c.stopCause
	}
	st := c.replica.Status()
	if !slices.Contains(st.Voters, c.replicaID) {
		return &NoReplicaError{Node: c.Site.Node}
	}
	if st.Leader != 0 && c.answers(st.Leader) {
		return &NotNeededError{Node: q.Node, Why: c.called(st.Leader) + " leads the council"}
	}
	own := c.replica.SelfReport(0)
	var lost, silent []string
	for _, id := range st.Voters {
		name := c.called(id)
		if name == "" {
			name = fmt.Sprintf("%016x", uint64(id))
		}
		o := c.peers[c.nameOf(id)]
		switch {
		case id == c.replicaID:
		case slices.Contains(q.Lost, name) && c.answers(id):
			return &NotNeededError{Node: q.Node, Why: name + " answers, with the store that is said to be lost"}
		case slices.Contains(q.Lost, name):
			lost = append(lost, name)
		case !c.answers(id):
			silent = append(silent, name)
		case o.lastTerm > own.LastTerm || o.lastTerm == own.LastTerm && o.last > own.LastIndex:
			return &FurtherError{Node: name}
		}
	}
	switch {
	case len(silent) > 0:
		return &SilentError{Nodes: silent}
	case 2*(len(st.Voters)-len(lost)) > len(st.Voters):
		return &NotNeededError{Node: q.Node, Why: fmt.Sprintf("the stores of %d of %d seats are not named as lost", len(st.Voters)-len(lost), len(st.Voters))}
	}
	slices.Sort(lost)
	rest, err := c.replica.UnappliedEntries()
	if err != nil {
		return err
	}
	for _, e := range rest {
		c.applyEntry(now, e)
	}
	if len(c.seating.Foundings) == 0 {
		c.seating.Foundings = []uint64{1}
	}
	c.seating = seating{Foundings: append(slices.Clone(c.seating.Foundings), drawn(c.RunID, st.Term)),
		Names: map[consensus.ReplicaID]string{c.replicaID: c.Site.Node}, By: q.By, Why: q.Why}
	c.peers, c.entering, c.were, c.out = map[string]*other{}, 0, []consensus.ReplicaID{c.replicaID}, 0
	c.known()
	raw, err := c.encode()
	if err != nil {
		c.fail(err)
		return c.stopCause
	}
	save, err := c.replica.Rebootstrap(raw)
	if err == nil {
		err = c.env.Save(save)
	}
	if err != nil {
		c.fail(err)
		return c.stopCause
	}
	c.appliedIndex = c.replica.Status().Applied
	c.env.Log("this seat has founded the council anew, alone", "site", c.Site.Own.Name, "lost", strings.Join(lost, " "), "by", q.By,
		"why", q.Why, "action", "start the other seats with empty stores: they are taken in as the site file names them")
	c.processReady(now)
	return nil
}
