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

// This file changes the replicas of a consensus group: by the site file, and by an operator's command to add a
// replica whose store is new (TakeIn), to confirm the store of one that waits (ConfirmStore), and to bootstrap a
// group again that has lost most of its stores (Rebootstrap). docs/design/affairs.md has the options.
//
// The leader carries out a change of the file one step at a time, and only while more than half of the present
// replicas name the same replicas in their site files as its own does. Two such majorities overlap, so that no two
// files are carried out at once, and a file that only some nodes have does nothing. Nothing of it is remembered
// except what raft has committed: the next leader looks at the present state and continues from there.
//
// A new replica starts as a learner, without a vote, and becomes a voter once its store has the whole log. A replica
// that is to be removed and responds is removed last; one that does not respond is removed before the new one becomes
// a voter. No step is taken after which less than a majority would respond. A leader that is to be removed transfers
// its leadership first.

const (
	// reportTTLTicks is for how long a replica's hello counts, in ticks. It exceeds the ten ticks after which an
	// unresponsive leader is replaced.
	reportTTLTicks = 30
	// membershipCheckTicks is the time between two checks of the replicas by the leader, in ticks.
	membershipCheckTicks = 5
	// listenTicks is how long a node listens for others, in ticks, before an operator's command may rely on their not
	// responding.
	listenTicks = 40
)

// membership is what the group has committed about its replicas, besides raft's own configuration.
type membership struct {
	// BootstrapIDs are random: one of the first leader, and one of each Rebootstrap. A group whose list extends that
	// of another group has replaced it, and the replicas of the replaced one are refused.
	BootstrapIDs []uint64                       `json:"foundings,omitempty"`
	Names        map[consensus.ReplicaID]string `json:"names,omitempty"` // nodes of the replicas
	By           string                         `json:"by,omitempty"`    // operator of the latest Rebootstrap, and the reason
	Why          string                         `json:"why,omitempty"`
}

// membershipState is what a node knows of its group's replicas, besides its own replica and Core.peers.
type membershipState struct {
	unappliedNames   map[consensus.ReplicaID]string // names of replicas in stored entries that are not applied yet
	membership       membership
	contacts         []string              // nodes with a replica per the site file or the group, sorted: the peers of this replica
	lastVoters       []consensus.ReplicaID // the voters at the last check
	removedWhileAway bool                  // the replica was removed while the node was away
	removedAt        uint64                // log index at which its removal is known; 0: not removed

	admitted            consensus.ReplicaID // replica that an operator has added; 0: none
	nextNamesProposal   time.Duration       // when the names may be proposed again
	nextMembershipCheck time.Duration       // when to check the replicas again
	reportedObstacle    string              // why they differ from the site file, as last logged
	transfers           int                 // how often this replica has transferred leadership, to vary the successor

	leaseBootstrapIDs []uint64 // of the group that granted this node's send lease
	staleLeaseLogged  bool     // a send lease of a superseded group was logged
}

// membershipEntry is a log entry about replicas.
type membershipEntry struct {
	BootstrapID uint64                         `json:"founding,omitempty"` // the first one, if there is none yet
	Names       map[consensus.ReplicaID]string `json:"names"`              // of all replicas
}

// applyMembership applies a log entry about replicas.
func (c *Core) applyMembership(change membershipEntry) {
	if len(c.membership.BootstrapIDs) == 0 && change.BootstrapID != 0 {
		c.membership.BootstrapIDs = []uint64{change.BootstrapID}
	}
	c.membership.Names = change.Names
	c.updateContacts()
}

// updateContacts recomputes the contacts.
func (c *Core) updateContacts() {
	c.contacts = slices.Concat(c.Site.Voters, slices.Collect(maps.Values(c.membership.Names)))
	for name, other := range c.peers {
		if c.isUnlistedReplica(name, other) {
			c.contacts = append(c.contacts, name)
		}
	}
	slices.Sort(c.contacts)
	c.contacts = slices.Compact(c.contacts)
}

// hasReplica reports whether this node has a replica: per its site file, or still.
func (c *Core) hasReplica() bool { return c.Site.IsVoter || c.replica != nil }

// followsLog reports whether this node's state advances with the group's log: whether its replica votes, as far as it
// knows. The state of a replica that was removed stays as it was then. An unconfirmed one may have been removed, and
// a learner may have been removed again without learning of it: a removed replica is not sent the later log.
func (c *Core) followsLog() bool {
	if c.replica == nil || c.removedAt != 0 {
		return false
	}
	st := c.replica.Status()
	return !st.Unconfirmed && slices.Contains(st.Voters, c.replicaID)
}

// replicaName returns the node of a replica, "" if it is not known.
func (c *Core) replicaName(id consensus.ReplicaID) string {
	if name := c.membership.Names[id]; name != "" {
		return name
	}
	return cmp.Or(c.nodeOf(id), c.unappliedNames[id])
}

// heardRecently reports whether a hello came from a replica with this store lately.
func (c *Core) heardRecently(id consensus.ReplicaID) bool {
	if id == c.replicaID {
		return true
	}
	other := c.peers[c.nodeOf(id)]
	return other != nil && other.id == id && c.ticks-other.heardAt < reportTTLTicks
}

// Voters returns the nodes of the group's voters, as far as this replica knows, sorted.
func (c *Core) Voters() (names []string) {
	if c.replica == nil {
		return nil
	}
	for _, id := range c.replica.Status().Voters {
		name := c.replicaName(id)
		if name == "" {
			name = fmt.Sprintf("%016x", uint64(id))
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ---- Relations between groups ----

// lineage is the relation of one group's bootstrap IDs to another's.
type lineage uint8

const (
	sameLineage    lineage = iota // or not known
	olderLineage                  // the other group was replaced by this one
	newerLineage                  // this group was replaced by the other one
	foreignLineage                // neither group replaced the other
)

// compareLineage returns the relation between two groups, given their bootstrap IDs.
func compareLineage(own, others []uint64) lineage {
	n := min(len(own), len(others))
	switch {
	case !slices.Equal(own[:n], others[:n]):
		return foreignLineage
	case n == 0 && max(len(own), len(others)) < 2 || len(own) == len(others): // a replica without any may not have received the first one yet
		return sameLineage
	case len(own) > len(others):
		return olderLineage
	}
	return newerLineage
}

// checkLineage returns an error if what a replica reports must not be used: both replicas have a log, and the other one's
// is of another group. If that group has replaced this one, this replica is refused for good.
func (c *Core) checkLineage(h *peerpb.Hello) error {
	own, theirs := c.replica != nil && c.hasLog(), h.Founded && h.Claim.GetLast() > 0
	if !own || !theirs {
		return nil
	}
	switch compareLineage(c.membership.BootstrapIDs, h.Foundings) {
	case olderLineage:
		return &SupersededGroupError{Node: h.Node, Site: c.Site.Own.Name}
	case newerLineage:
		err := &SupersededGroupError{Node: c.Site.Node, Site: c.Site.Own.Name}
		if err := c.env.MarkRefused(err.Error()); err != nil {
			c.fail(err)
			return err
		}
		c.replica.MarkRefused(err.Error())
		return err
	case foreignLineage:
		return &ForeignGroupError{Node: h.Node, Site: c.Site.Own.Name}
	}
	return nil
}

// hasLog reports whether this replica's store holds anything of a group.
func (c *Core) hasLog() bool {
	st := c.replica.Status()
	return st.Committed > 0 || st.Applied > 0
}

// preloadMembership reads the group's bootstrap IDs from the store before anything of it is applied. Those after the
// first one are in a snapshot.
func (c *Core) preloadMembership() {
	var s snapshot
	if raw := c.StoredState.Snapshot.GetData(); len(raw) > 0 && json.Unmarshal(raw, &s) == nil {
		c.membership = s.Membership
	}
	// The names of the replicas are useful even if it is not known whether they were committed.
	for _, e := range c.StoredState.Entries {
		var decoded entry
		if json.Unmarshal(e.GetData(), &decoded) == nil && decoded.Replicas != nil {
			c.unappliedNames = decoded.Replicas.Names
		}
	}
	c.updateContacts()
}

// acceptsLeaseFrom reports whether a reply to a lease request may be used: not if it comes from a group that was
// replaced.
func (c *Core) acceptsLeaseFrom(r *peerpb.RenewReply) bool {
	switch compareLineage(c.leaseBootstrapIDs, r.Foundings) {
	case olderLineage:
		if !c.staleLeaseLogged {
			c.staleLeaseLogged = true
			err := &SupersededGroupError{Node: r.Leader, Site: c.Site.Own.Name}
			c.env.Log("a send lease of a superseded consensus group is not accepted", "why", err.Error(), "action", err.Action())
		}
		return false
	case sameLineage:
	default:
		c.staleLeaseLogged = false
	}
	if len(r.Foundings) > 0 {
		c.leaseBootstrapIDs = r.Foundings
	}
	return true
}

// ---- Steps of the leader ----

// reconcileVoters takes the next step towards the replicas of the site file, or of an operator's command. If there is
// an obstacle, it is logged once.
func (c *Core) reconcileVoters(now time.Duration, st consensus.Status) {
	if now < c.nextMembershipCheck {
		return
	}
	c.nextMembershipCheck = now + membershipCheckTicks*c.Site.Tick
	if c.proposeNames(now, st) {
		return
	}
	why, action := c.nextVoterChange(st)
	if why != c.reportedObstacle && why != "" {
		c.env.Log("the seats are not as the site file has them yet", "why", why, "action", action)
	}
	c.reportedObstacle = why
}

// proposeNames proposes the names of the replicas, and reports whether it has to.
func (c *Core) proposeNames(now time.Duration, st consensus.Status) bool {
	names := map[consensus.ReplicaID]string{}
	for _, id := range slices.Concat(st.Voters, st.Learners) {
		if name := c.replicaName(id); name != "" {
			names[id] = name
		}
	}
	if maps.Equal(names, c.membership.Names) && len(c.membership.BootstrapIDs) > 0 || now < c.nextNamesProposal {
		return false
	}
	if c.proposeTracked(now, entry{Replicas: &membershipEntry{BootstrapID: newBootstrapID(c.RunID, st.Term), Names: names}}) != 0 {
		c.nextNamesProposal = now + proposalTimeout
	}
	return true
}

// newBootstrapID returns an ID that no other bootstrap has.
func newBootstrapID(run, term uint64) uint64 {
	return max(1, xxhash.Sum64String(fmt.Sprintf("%x %x", run, term)))
}

// nextVoterChange takes a step, or returns why the replicas stay other than they should be, and what an operator can
// do.
func (c *Core) nextVoterChange(st consensus.Status) (why, action string) {
	add, remove, why, action := c.planVoterChange(st)
	for _, id := range st.Learners { // its store was replaced since, or it is not wanted any more
		if id != add && (add != 0 || c.hasNewStore(id) || len(remove) == 0 && why == "") {
			return c.changeVoters(0, id)
		}
	}
	keepsMajority := func(adding bool, except consensus.ReplicaID) bool { // a majority responds after the step
		total, answering := 0, 0
		for _, id := range st.Voters {
			if id != except {
				total++
				if c.heardRecently(id) {
					answering++
				}
			}
		}
		if adding {
			total, answering = total+1, answering+1
		}
		return answering > total/2
	}
	const startReplicas = "check that the nodes of the replicas run and reach each other"
	unresponsive := slices.IndexFunc(remove, func(id consensus.ReplicaID) bool { return !c.heardRecently(id) })
	switch {
	case add != 0 && !slices.Contains(st.Learners, add):
		if err := c.replica.AddLearner(add); err != nil {
			return err.Error(), "nothing: it is retried"
		}
		c.env.Log("a seat learns what was agreed on, and counts once it has it", "seat", c.replicaName(add))
		return "", ""
	case add != 0 && (!c.heardRecently(add) || !c.replica.CaughtUp(add) || c.membership.Names[add] == ""):
		return c.replicaName(add) + " does not have the whole committed log yet", "check that it runs and that the replicas reach it"
	case unresponsive >= 0 && len(st.Voters) > 1:
		if !keepsMajority(false, remove[unresponsive]) {
			return "without " + c.replicaName(remove[unresponsive]) + " no majority of the replicas would respond", startReplicas
		}
		return c.changeVoters(0, remove[unresponsive])
	case add != 0:
		if !keepsMajority(true, 0) {
			return "with " + c.replicaName(add) + " no majority of the replicas would respond", startReplicas
		}
		return c.changeVoters(add, 0)
	case len(remove) == 0:
		return why, action
	case remove[0] != c.replicaID:
		if !keepsMajority(false, remove[0]) {
			return "without " + c.replicaName(remove[0]) + " no majority of the replicas would respond", startReplicas
		}
		return c.changeVoters(0, remove[0])
	}
	if !keepsMajority(false, c.replicaID) {
		return "without this one no majority of the replicas would respond", startReplicas
	}
	var successors []consensus.ReplicaID
	for _, id := range st.Voters {
		if id != c.replicaID && c.heardRecently(id) && c.replica.CaughtUp(id) {
			successors = append(successors, id)
		}
	}
	if len(successors) == 0 {
		return "this replica is to be removed, and no other one has the whole committed log yet", startReplicas
	}
	c.transfers++
	successor := successors[c.transfers%len(successors)]
	c.env.Log("this seat goes, and hands over before", "to", c.replicaName(successor))
	if err := c.replica.TransferLeadershipTo(successor); err != nil {
		return err.Error(), "nothing: it is retried"
	}
	return "", ""
}

// changeVoters has raft add or remove a voter.
func (c *Core) changeVoters(add, remove consensus.ReplicaID) (why, action string) {
	if err := c.replica.ChangeVoters(add, remove); err != nil {
		return err.Error(), "nothing: it is retried"
	}
	return "", ""
}

// hasNewStore reports whether the node of a replica has another store by now.
func (c *Core) hasNewStore(id consensus.ReplicaID) bool {
	other := c.peers[c.replicaName(id)]
	return other != nil && other.id != id
}

// planVoterChange returns the replica to add next and all to remove, the local one last; or why none can be added.
func (c *Core) planVoterChange(st consensus.Status) (add consensus.ReplicaID, remove []consensus.ReplicaID, why, action string) {
	if admitted := c.admitted; admitted != 0 { // added by an operator
		name := c.nodeOf(admitted)
		if slices.Contains(st.Voters, admitted) || name == "" {
			c.admitted = 0
		} else {
			return admitted, c.replacedReplicas(st, name), "", ""
		}
	}
	present := map[string]bool{}
	for _, id := range st.Voters {
		present[c.replicaName(id)] = true
	}
	var missing []string
	for _, name := range c.Site.Voters {
		if !present[name] {
			missing = append(missing, name)
		}
	}
	for _, id := range st.Voters {
		if name := c.replicaName(id); name != "" && !slices.Contains(c.Site.Voters, name) {
			remove = append(remove, id)
		}
	}
	slices.SortFunc(remove, func(a, b consensus.ReplicaID) int { // the local replica last
		return strings.Compare(c.removalOrder(a), c.removalOrder(b))
	})
	if differing := c.differingSiteFiles(st); differing != nil {
		if len(remove) == 0 && len(missing) == 0 && 2*len(differing) < len(st.Voters) {
			return 0, nil, "", ""
		}
		if 2*len(differing) >= len(st.Voters) {
			return 0, nil, "no majority of the seats has a site file that names the same seats as that of " + c.Site.Node + ": " +
				strings.Join(differing, " ") + " differ, or do not answer", "give all nodes of the site the same seats, and have them reload"
		}
	}
	for _, name := range missing {
		other := c.peers[name]
		var err Actioner
		switch {
		case other == nil || c.ticks-other.heardAt >= reportTTLTicks:
			err = &NoAnswerError{Node: name}
		case !other.bootstrapped || !slices.Equal(other.siteVoters, c.Site.Voters):
			err = &SiteFileMismatchError{Node: name}
		case other.lastIndex > 0 && compareLineage(c.membership.BootstrapIDs, other.bootstrapIDs) != sameLineage:
			err = &ForeignGroupError{Node: name, Site: c.Site.Own.Name}
		default:
			return other.id, remove, "", ""
		}
		why, action = err.Error(), err.Action()
	}
	if len(missing) > 0 { // no replica is removed before the new one is there
		remove = nil
	}
	return 0, remove, why, action
}

func (c *Core) removalOrder(id consensus.ReplicaID) string {
	if id == c.replicaID {
		return "~"
	}
	return fmt.Sprintf("%016x", uint64(id))
}

// replacedReplicas returns the replicas that a node had before with other stores; if the group knows no names, one
// replica whose node is unknown.
func (c *Core) replacedReplicas(st consensus.Status, name string) (ids []consensus.ReplicaID) {
	for _, id := range st.Voters {
		if c.membership.Names[id] == name {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 && len(st.Voters) >= len(c.Site.Voters) {
		for _, id := range st.Voters {
			if c.replicaName(id) == "" {
				return []consensus.ReplicaID{id}
			}
		}
	}
	return ids
}

// differingSiteFiles returns the present voters whose site files name other replicas than this node's, or are not
// known.
func (c *Core) differingSiteFiles(st consensus.Status) (names []string) {
	for _, id := range st.Voters {
		other := c.peers[c.nodeOf(id)]
		if id != c.replicaID && (!c.heardRecently(id) || !slices.Equal(other.siteVoters, c.Site.Voters)) {
			names = append(names, c.replicaName(id))
		}
	}
	slices.Sort(names)
	return names
}

// ---- A replica that was removed ----

// noteReportedRemoval records that another replica reports this one as removed. A removed replica is not sent the
// later log, and thus not its own removal.
func (c *Core) noteReportedRemoval(report consensus.SelfReport) {
	st := c.replica.Status()
	if report.Commit > st.Committed && len(report.Voters) > 0 && slices.Contains(st.Voters, c.replicaID) && c.removedAt < report.Commit &&
		!slices.Contains(report.Voters, c.replicaID) && slices.Contains(st.Voters, report.Replica) {
		c.deactivate(report.Commit)
	}
}

// handleNotMember lets this node continue without a replica if that was removed while the node was away.
func (c *Core) handleNotMember(err error) bool {
	var notMember *consensus.NotMemberError
	if !errors.As(err, &notMember) {
		return false
	}
	if c.leading {
		c.leaseTable.Resign()
		c.leading = false
		c.refuseLeaseRequests()
	}
	c.replica, c.removedWhileAway = nil, true
	c.logRemovedWhileAway()
	return true
}

// logRemovedWhileAway logs that the store's replica was removed, and what to do if the site file still names this
// node's.
func (c *Core) logRemovedWhileAway() {
	action := "nothing: its site file does not name it either"
	if c.Site.IsVoter {
		action = "if it is to have a seat, stop it, put its store aside and start it with an empty one"
	}
	c.env.Log("the council has taken this node's seat out while it was away", "seat", c.Site.Node, "action", action)
}

// noteVoterChanges records and logs what this replica's own log says of the voters, including itself.
func (c *Core) noteVoterChanges(st consensus.Status) {
	if !slices.Equal(st.Voters, c.lastVoters) {
		for _, id := range st.Voters {
			if len(c.lastVoters) > 0 && !slices.Contains(c.lastVoters, id) {
				c.env.Log("a seat is taken in", "seat", c.replicaName(id), "seats", strings.Join(c.Voters(), " "))
			}
		}
		for _, id := range c.lastVoters {
			if !slices.Contains(st.Voters, id) {
				c.env.Log("a seat is taken out", "seat", c.replicaName(id), "seats", strings.Join(c.Voters(), " "))
			}
		}
		c.lastVoters = st.Voters
		c.updateContacts()
	}
	isMember := slices.Contains(st.Voters, c.replicaID) || slices.Contains(st.Learners, c.replicaID)
	switch {
	case c.removedAt != 0 && isMember && st.Applied >= c.removedAt:
		c.removedAt = 0
	case c.removedAt == 0 && !isMember && len(st.Voters) > 0:
		c.deactivate(st.Applied)
	}
}

// deactivate stops this replica's messages, since it is removed as of a log index. It keeps its store, and resumes if it
// is added again.
func (c *Core) deactivate(index uint64) {
	if c.removedAt == 0 {
		action := "nothing: its site file does not name it either"
		if c.Site.IsVoter {
			action = "compare the site files: those of most seats do not name it"
		}
		c.env.Log("the council has taken this node's seat out", "seat", c.Site.Node, "action", action)
	}
	c.removedAt = max(index, 1)
}

// ---- The site file ----

// ApplySiteFile applies a changed site file that Site.CheckChange has accepted.
func (c *Core) ApplySiteFile(s *site.Site) {
	steps := site.PlanVoterChanges(c.Site.Voters, s.Voters)
	c.Site = s
	c.updateContacts()
	if len(steps) > 0 {
		var descriptions []string
		for _, step := range steps {
			descriptions = append(descriptions, step.String())
		}
		c.env.Log("the site file names other replicas", "steps", strings.Join(descriptions, ", then "),
			"action", "give the file to all nodes of the site; the group changes its replicas once most of them have it")
	}
	switch {
	case c.stopCause != nil || c.replica != nil:
	case c.removedWhileAway:
		if s.IsVoter && len(steps) > 0 {
			c.logRemovedWhileAway()
		}
	default:
		if err := c.openReplica(); err != nil {
			c.fail(err)
		}
	}
}

// ---- Operators' commands ----

// checkOperatorCommand returns why an operator's command about replicas cannot be accepted now, nil if it can.
func (c *Core) checkOperatorCommand(node, by, why string, accepted bool, confirmation, risk string) error {
	switch {
	case c.stopCause != nil:
		return c.stopCause
	case c.replica == nil || !c.hasLog():
		return &NoReplicaError{Node: c.Site.Node}
	case !accepted:
		return &ReplicaRiskError{Node: node, Risk: risk, Confirmation: confirmation}
	case strings.TrimSpace(by) == "" || strings.TrimSpace(why) == "":
		return &MissingReasonError{}
	case c.ticks < listenTicks:
		return &TooEarlyError{Node: node}
	}
	return nil
}

// ConfirmStore carries out an operator's confirmation that the store of this node's replica, which waits for others,
// is the one it left.
func (c *Core) ConfirmStore(now time.Duration, q *peerpb.VouchRequest) error {
	err := c.checkOperatorCommand(q.Node, q.By, q.Why, q.IKnowThatAnOlderStoreUndoesWhatWasAgreedOn,
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
	c.env.Log("an operator vouches for the store of this seat; it no longer waits for other seats", "seat", q.Node, "by", q.By, "why", q.Why)
	c.processReady(now)
	return nil
}

// Rebootstrap carries out an operator's command that states that so many stores are lost for good that no majority is
// left. This node's replica bootstraps the group again, alone, with all that its store has; the others join with new
// stores, per the site file.
func (c *Core) Rebootstrap(now time.Duration, q *peerpb.FoundRequest) error {
	err := c.checkOperatorCommand(q.Node, q.By, q.Why, q.IKnowThatTheLostStoresMustNeverRunAgain,
		"i_know_that_the_lost_stores_must_never_run_again",
		"if most of the old replicas still run, or run again with their stores where they do not "+
			"reach "+q.Node+", there are two groups, and both grant turns; and what only the lost stores held is lost, including turns that were granted")
	if err != nil {
		return err
	}
	c.processReady(now) // applies what the store has, as far as it is known to be committed
	if c.stopCause != nil {
		return c.stopCause
	}
	st := c.replica.Status()
	if !slices.Contains(st.Voters, c.replicaID) {
		return &NoReplicaError{Node: c.Site.Node}
	}
	if st.Leader != 0 && c.heardRecently(st.Leader) {
		return &NotNeededError{Node: q.Node, Why: c.replicaName(st.Leader) + " leads the consensus group"}
	}
	ownReport := c.replica.SelfReport(0)
	var lost, unresponsive []string
	for _, id := range st.Voters {
		name := c.replicaName(id)
		if name == "" {
			name = fmt.Sprintf("%016x", uint64(id))
		}
		other := c.peers[c.nodeOf(id)]
		switch {
		case id == c.replicaID:
		case slices.Contains(q.Lost, name) && c.heardRecently(id):
			return &NotNeededError{Node: q.Node, Why: name + " responds, with the store that is named as lost"}
		case slices.Contains(q.Lost, name):
			lost = append(lost, name)
		case !c.heardRecently(id):
			unresponsive = append(unresponsive, name)
		case other.lastTerm > ownReport.LastTerm || other.lastTerm == ownReport.LastTerm && other.lastIndex > ownReport.LastIndex:
			return &LongerLogError{Node: name}
		}
	}
	switch {
	case len(unresponsive) > 0:
		return &UnaccountedReplicasError{Nodes: unresponsive}
	case 2*(len(st.Voters)-len(lost)) > len(st.Voters):
		return &NotNeededError{Node: q.Node, Why: fmt.Sprintf("the stores of %d of %d replicas are not named as lost",
			len(st.Voters)-len(lost), len(st.Voters))}
	}
	slices.Sort(lost)
	unapplied, err := c.replica.UnappliedEntries()
	if err != nil {
		return err
	}
	for _, e := range unapplied {
		c.applyEntry(now, e)
	}
	if len(c.membership.BootstrapIDs) == 0 {
		c.membership.BootstrapIDs = []uint64{1}
	}
	c.membership = membership{BootstrapIDs: append(slices.Clone(c.membership.BootstrapIDs), newBootstrapID(c.RunID, st.Term)),
		Names: map[consensus.ReplicaID]string{c.replicaID: c.Site.Node}, By: q.By, Why: q.Why}
	c.peers, c.admitted, c.lastVoters, c.removedAt = map[string]*peerReplica{}, 0, []consensus.ReplicaID{c.replicaID}, 0
	c.updateContacts()
	raw, err := c.encode()
	if err != nil {
		c.fail(err)
		return c.stopCause
	}
	batch, err := c.replica.Rebootstrap(raw)
	if err == nil {
		err = c.env.Save(batch)
	}
	if err != nil {
		c.fail(err)
		return c.stopCause
	}
	c.appliedIndex = c.replica.Status().Applied
	c.env.Log("this seat has founded the council anew, alone", "site", c.Site.Own.Name, "lost", strings.Join(lost, " "), "by", q.By,
		"why", q.Why, "action", "start the other replicas with empty stores: they are added as the site file names them")
	c.processReady(now)
	return nil
}
