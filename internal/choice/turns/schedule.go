package turns

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"lichenhitch/internal/choice/sendlease"
)

const (
	keptOver          = 256 // turns that are over, for late requests
	keptExclusionSets = 16  // the newest ones, for acknowledgements in transit; those that members have acknowledged are kept too
)

// Schedule is the replicated state of a site's turns. It is not safe for concurrent use. What its slices of pointers and of hosts
// refer to is never changed in place, so clones share it.
type Schedule struct {
	at            time.Duration // of the newest command
	limits        Limits
	hosts         []entry  // sorted by id; replaced as a whole
	members       []string // sorted; replaced as a whole
	dead          []string // sorted, a subset of members
	bans          []sendlease.ExcludedHost
	turns         []*Turn                  // not over, sorted by id
	over          []*Turn                  // the newest ones, in the order in which they ended
	exclusionSets []sendlease.ExclusionSet // by version; the last one was committed last
	acks          []Ack                    // sorted by node, members only
}

// entry is a host and the step of its value, which changes only when the value has moved well beyond it.
type entry struct {
	Host
	Step int `json:"step"`
}

// New returns an empty schedule. It permits no turn before it has limits.
func New() *Schedule { return &Schedule{} }

// Clone returns an independent copy. It costs a copy of the lists of pointers.
func (b *Schedule) Clone() *Schedule {
	c := *b
	c.dead, c.bans = slices.Clone(b.dead), slices.Clone(b.bans)
	c.turns, c.over = slices.Clone(b.turns), slices.Clone(b.over)
	c.exclusionSets, c.acks = slices.Clone(b.exclusionSets), slices.Clone(b.acks)
	return &c
}

// At returns the time of the newest command.
func (b *Schedule) At() time.Duration { return b.at }

// Limits returns the limits.
func (b *Schedule) Limits() Limits { return b.limits }

// Members returns the nodes, sorted. The caller must not change it.
func (b *Schedule) Members() []string { return b.members }

// Dead reports whether a node is declared dead.
func (b *Schedule) Dead(node string) bool {
	_, found := slices.BinarySearch(b.dead, node)
	return found
}

// Hosts returns the hosts, sorted by id, including those that are gone and have a turn.
func (b *Schedule) Hosts() []Host {
	hosts := make([]Host, len(b.hosts))
	for i, e := range b.hosts {
		hosts[i] = e.Host
	}
	return hosts
}

// ExclusionSet returns the one that was committed last.
func (b *Schedule) ExclusionSet() sendlease.ExclusionSet {
	if len(b.exclusionSets) == 0 {
		return sendlease.ExclusionSet{}
	}
	return b.exclusionSets[len(b.exclusionSets)-1]
}

// RecordedVersion returns the newest exclusion set that is committed as acknowledged by a node, 0 for none.
func (b *Schedule) RecordedVersion(node string) uint64 {
	a, _ := b.ack(node)
	return a.Version
}

// RecordedVersionIn is RecordedVersion for one incarnation of the node's store, 0 if the known acknowledgement is of another one.
// It is for answers to a node, which does not know what an earlier store held.
func (b *Schedule) RecordedVersionIn(node string, incarnation uint64) uint64 {
	if a, _ := b.ack(node); a.Incarnation == incarnation {
		return a.Version
	}
	return 0
}

// ExcludedHosts returns the hosts that get no new work, sorted. A host whose work is done and that is in service again is not
// among them: it warms up by the requests it gets, and counts as out until it is warm. The round is that of the turn, or the log
// index of the ban if no turn has taken the host out.
func (b *Schedule) ExcludedHosts() []sendlease.ExcludedHost {
	excluded := slices.Clone(b.bans)
	for _, t := range b.turns {
		if !t.Phase.OutOfService() || t.InService {
			continue
		}
		if i, banned := searchExcluded(excluded, t.Host); banned {
			excluded[i].Round = t.Round
		} else {
			excluded = slices.Insert(excluded, i, sendlease.ExcludedHost{Host: t.Host, Round: t.Round})
		}
	}
	return excluded
}

// Turn returns a turn by its ID; turns that are over are known for a while.
func (b *Schedule) Turn(id string) (Turn, bool) {
	if i, found := b.search(id); found {
		return *b.turns[i], true
	}
	if i := slices.IndexFunc(b.over, func(t *Turn) bool { return t.ID == id }); i >= 0 {
		return *b.over[i], true
	}
	return Turn{}, false
}

// Turns returns all turns: those that are out by their rounds, those that wait in their order as of the newest command, those
// that are over from the latest on.
func (b *Schedule) Turns() []Turn {
	all := make([]Turn, 0, len(b.turns)+len(b.over))
	for _, t := range b.turns {
		if t.Phase.OutOfService() {
			all = append(all, *t)
		}
	}
	slices.SortFunc(all, func(x, y Turn) int { return cmp.Compare(x.Round, y.Round) })
	for _, t := range b.waiting(b.at) {
		all = append(all, *t.Turn)
	}
	for _, t := range slices.Backward(b.over) {
		all = append(all, *t)
	}
	return all
}

// Check returns nil for a command that Apply would accept, else a *RefusedError.
func (b *Schedule) Check(c Command) error {
	at := max(b.at, c.At)
	if b.due(at) {
		b = b.Clone()
		b.pass(at)
	}
	if r := b.check(c, at); r != nil {
		return r
	}
	return nil
}

// Apply applies a command; index is its index in the Raft log. Notices come in a fixed order. A refused command changes nothing
// and yields one notice that says so.
func (b *Schedule) Apply(index uint64, c Command) []Notice {
	at := max(b.at, c.At)
	work, notices := b, []Notice(nil)
	if b.due(at) { // time changes something, which a refused command must not do
		work = b.Clone()
		notices = work.pass(at)
	}
	if r := work.check(c, at); r != nil {
		return []Notice{{Turn: r.Turn, Kind: NoticeRefused, Reason: r.Reason, Why: r.Error()}}
	}
	work.at = at
	notices = append(notices, work.execute(index, c)...)
	*b = *work
	return notices
}

// due reports whether pass would change something.
func (b *Schedule) due(at time.Duration) bool {
	return slices.ContainsFunc(b.turns, func(t *Turn) bool { return t.expired(at) || t.overruns(at) })
}

// expired reports whether a turn that has not begun cannot meet its deadline any more.
func (t *Turn) expired(at time.Duration) bool {
	return t.Phase <= Granted && t.FinishBy != 0 && at > t.FinishBy-t.Duration
}

// overruns reports whether operators are to be notified that a host has been granted for longer than the work was to last.
func (t *Turn) overruns(at time.Duration) bool {
	return (t.Phase == Granted || t.Phase == Working) && !t.Overrun && at-t.Since > t.Duration
}

// pass handles the turns that have expired or overrun at the given time. It does not set the schedule's time.
func (b *Schedule) pass(at time.Duration) (notices []Notice) {
	for _, t := range slices.Clone(b.turns) {
		switch next := *t; {
		case t.expired(at):
			why := fmt.Sprintf("it cannot be finished in time any more; its phase was %v", t.Phase)
			next.Phase, next.Since, next.End, next.Why = Over, at, Expired, why
			b.put(next)
			notices = append(notices, Notice{Turn: t.ID, Kind: NoticeExpired, Why: why})
		case t.overruns(at):
			next.Overrun = true
			b.put(next)
			n := Notice{Turn: t.ID, Kind: NoticeOverrun,
				Why: fmt.Sprintf("the work at host %q takes longer than %v; the host still counts as out", t.Host, t.Duration)}
			if t.Phase == Granted {
				n.Kind, n.Why = NoticeIdle, fmt.Sprintf("host %q was granted %v ago, and its work has not begun", t.Host, at-t.Since)
			}
			notices = append(notices, n)
		}
	}
	return notices
}

// check returns why a command is refused at a time, once pass was called for that time.
func (b *Schedule) check(c Command, at time.Duration) *RefusedError {
	set := 0
	for _, isSet := range [...]bool{c.Limits != nil, c.Fleet != nil, c.Members != nil, c.Request != nil, c.Withdraw != nil,
		c.Prepare != nil, c.Grant != nil, c.Revoke != nil, c.Begin != nil, c.Done != nil, c.ExclusionSet != nil,
		c.Ack != nil, c.Dead != nil, c.Alive != nil} {
		if isSet {
			set++
		}
	}
	switch {
	case set > 1:
		return &RefusedError{Reason: Malformed, Detail: "several commands in one"}
	case c.Limits != nil:
		return checkLimits(*c.Limits)
	case c.Fleet != nil:
		return checkFleet(c.Fleet.Hosts)
	case c.Members != nil:
		if len(c.Members.Nodes) == 0 || !validNames(c.Members.Nodes) {
			return &RefusedError{Reason: Malformed, Detail: "the nodes are not a sorted list of names"}
		}
	case c.Request != nil:
		return b.checkRequest(*c.Request, at)
	case c.Withdraw != nil:
		return b.checkWithdraw(*c.Withdraw)
	case c.Prepare != nil:
		return b.checkPrepare(*c.Prepare, at)
	case c.Grant != nil:
		return b.checkGrant(*c.Grant)
	case c.Revoke != nil:
		_, r := b.inPhase(*c.Revoke, Preparing, Granted)
		return r
	case c.Begin != nil:
		_, r := b.inPhase(*c.Begin, Granted, Working)
		return r
	case c.Done != nil:
		if t, ok := b.Turn(c.Done.ID); ok && t.End == Finished && (c.Done.Round == 0 || c.Done.Round == t.Round) {
			return nil // repeated
		}
		_, r := b.inPhase(*c.Done, Working, Returning)
		return r
	case c.ExclusionSet != nil:
		return b.checkExclusionSet(*c.ExclusionSet)
	case c.Ack != nil:
		return b.checkAck(*c.Ack)
	case c.Dead != nil:
		return b.checkDeclaration(*c.Dead)
	case c.Alive != nil:
		return b.checkDeclaration(*c.Alive)
	}
	return nil
}

func checkLimits(l Limits) *RefusedError {
	if min(l.Site, l.Zone, l.Kind, l.Failed, l.Lookahead) < 0 || l.AgeStep < 0 {
		return &RefusedError{Reason: Malformed, Detail: "a limit is negative"}
	}
	return nil
}

func checkFleet(hosts []Host) *RefusedError {
	for i, h := range hosts {
		detail := ""
		switch {
		case h.ID == "" || !validText(h.ID) || !validText(h.Zone) || !validText(h.Kind) || !validNames(h.Groups):
			detail = "a name is missing or invalid, or its groups are not sorted"
		case i > 0 && h.ID <= hosts[i-1].ID:
			detail = "the hosts are not sorted, or one is there twice"
		case !(h.Value >= 0) || math.IsInf(h.Value, 0): // also rejects NaN
			detail = "its value is not a number, or negative"
		}
		if detail != "" {
			return &RefusedError{Reason: Malformed, Host: h.ID, Detail: detail}
		}
	}
	return nil
}

func (b *Schedule) checkRequest(a Request, at time.Duration) *RefusedError {
	refused := func(r Reason, detail string) *RefusedError {
		return &RefusedError{Reason: r, Turn: a.ID, Host: a.Host, Detail: detail}
	}
	if a.ID == "" || !validText(a.ID) || !validText(a.Host) || !validText(a.Requester) {
		return &RefusedError{Reason: Malformed, Detail: "a name is missing, longer than 256 bytes or not UTF-8"}
	}
	if t, known := b.Turn(a.ID); known {
		if t.Host != a.Host {
			return refused(OtherHost, fmt.Sprintf("it is for host %q", t.Host))
		}
		return nil
	}
	h, known := b.host(a.Host)
	switch {
	case !known || h.Gone:
		return refused(UnknownHost, "")
	case a.Duration <= 0:
		return refused(Malformed, "the duration of the work must be positive")
	case a.Duration > MaxDuration:
		return refused(TooLong, fmt.Sprintf("%v exceeds %v", a.Duration, MaxDuration))
	case a.NotBefore < 0 || a.FinishBy < 0 || a.Urgency > MaxUrgency || a.Urgency < -MaxUrgency:
		return refused(Malformed, fmt.Sprintf("a time is negative, or the urgency is not within %d of 0", MaxUrgency))
	case a.FinishBy != 0 && max(at, a.NotBefore) > a.FinishBy-a.Duration:
		return refused(TooLate, "")
	case len(b.turns) >= MaxTurns:
		return refused(TooMany, "")
	}
	if t := b.ofHost(a.Host); t != nil {
		return refused(HasTurn, fmt.Sprintf("it is %q", t.ID))
	}
	return nil
}

// inPhase returns the turn that a reference names if it is in one of the phases.
func (b *Schedule) inPhase(r Ref, phases ...Phase) (*Turn, *RefusedError) {
	if !validText(r.Why) {
		return nil, &RefusedError{Reason: Malformed, Detail: "the reason is longer than 256 bytes or not UTF-8"}
	}
	i, found := b.search(r.ID)
	if !found {
		if t, over := b.Turn(r.ID); over {
			return nil, &RefusedError{Reason: WrongPhase, Turn: t.ID, Host: t.Host, Detail: "it is over"}
		}
		return nil, &RefusedError{Reason: UnknownTurn, Turn: printable(r.ID)}
	}
	t := b.turns[i]
	switch {
	case !slices.Contains(phases, t.Phase):
		return nil, &RefusedError{Reason: WrongPhase, Turn: t.ID, Host: t.Host, Detail: "it is " + t.Phase.String()}
	case r.Round != 0 && r.Round != t.Round:
		detail := fmt.Sprintf("it is in %d, not %d", t.Round, r.Round)
		return nil, &RefusedError{Reason: WrongRound, Turn: t.ID, Host: t.Host, Detail: detail}
	}
	return t, nil
}

// checkWithdraw refuses turns whose work has begun: their work is reported done instead. A turn whose work is done ends when the
// host is back, or by a withdrawal if the host is gone from the fleet.
func (b *Schedule) checkWithdraw(r Ref) *RefusedError {
	if t, known := b.Turn(r.ID); known && t.End == Withdrawn {
		return nil
	}
	t, refused := b.inPhase(r, Requested, Preparing, Granted, Returning)
	if refused != nil {
		return refused
	}
	if h, _ := b.host(t.Host); t.Phase == Returning && !h.Gone {
		return &RefusedError{Reason: WrongPhase, Turn: t.ID, Host: t.Host, Detail: "it ends by itself when the host is back and warm"}
	}
	return nil
}

func (b *Schedule) checkPrepare(r Ref, at time.Duration) *RefusedError {
	t, refused := b.inPhase(r, Requested)
	if refused != nil {
		return refused
	}
	u := b.usage()
	if u.failed > b.limits.Failed {
		return &RefusedError{Reason: TooManyFailed, Turn: t.ID, Detail: fmt.Sprintf("%d, with %d allowed", u.failed, b.limits.Failed)}
	}
	if reason := b.fits(&u, t, at); reason != Accepted {
		return &RefusedError{Reason: reason, Turn: t.ID, Host: t.Host}
	}
	return nil
}

// checkGrant requires the round in which the nodes confirmed the host.
func (b *Schedule) checkGrant(r Ref) *RefusedError {
	t, refused := b.inPhase(r, Preparing)
	if refused != nil {
		return refused
	}
	if r.Round == 0 {
		return &RefusedError{Reason: WrongRound, Turn: t.ID, Host: t.Host, Detail: "a grant must name its round"}
	}
	if u := b.usage(); u.failed > b.limits.Failed {
		return &RefusedError{Reason: TooManyFailed, Turn: t.ID, Detail: fmt.Sprintf("%d, with %d allowed", u.failed, b.limits.Failed)}
	}
	for _, a := range b.acks { // may have changed since Blockers was evaluated
		if a.Version != 0 && !b.Dead(a.Node) && !b.contains(a.Version, t.Host) {
			detail := fmt.Sprintf("the node has acknowledged version %d", a.Version)
			return &RefusedError{Reason: LacksExcludedHost, Turn: t.ID, Host: t.Host, Node: a.Node, Detail: detail}
		}
	}
	return nil
}

// checkExclusionSet refuses an exclusion set that lacks a host that is out: a node that acknowledges the set and is then cut off
// would send to that host.
func (b *Schedule) checkExclusionSet(w ExclusionSetUpdate) *RefusedError {
	if !validNames(w.Hosts) {
		return &RefusedError{Reason: Malformed, Detail: "the hosts are not a sorted list of names"}
	}
	if last := b.ExclusionSet().Version; w.Version <= last {
		return &RefusedError{Reason: LacksExcludedHost, Detail: fmt.Sprintf("version %d does not follow %d", w.Version, last)}
	}
	for _, out := range b.ExcludedHosts() {
		if _, found := slices.BinarySearch(w.Hosts, out.Host); !found {
			return &RefusedError{Reason: LacksExcludedHost, Host: out.Host, Detail: "it lacks a host that is out"}
		}
	}
	return nil
}

// checkAck refuses an acknowledgement that would be recorded while the set lacks a granted host: the node retries with a newer
// one. So each living member that has a recorded set has one with every granted host, except members that were dead when it was
// granted.
func (b *Schedule) checkAck(a Ack) *RefusedError {
	if _, member := slices.BinarySearch(b.members, a.Node); !member {
		return &RefusedError{Reason: UnknownNode, Node: printable(a.Node)}
	}
	known, _ := b.ack(a.Node)
	switch {
	case b.Dead(a.Node):
		return &RefusedError{Reason: DeclaredDead, Node: a.Node}
	case a.Incarnation < known.Incarnation:
		return &RefusedError{Reason: OldIncarnation, Node: a.Node}
	case a.Incarnation == known.Incarnation && a.Version <= known.Version:
		return nil
	}
	if a.Version == 0 {
		return nil
	}
	if _, found := b.exclusionSet(a.Version); !found {
		return &RefusedError{Reason: UnknownExclusionSet, Node: a.Node, Detail: fmt.Sprintf("version %d", a.Version)}
	}
	for _, t := range b.turns {
		if t.Phase.OutOfService() && t.Phase != Preparing && !t.InService && !b.contains(a.Version, t.Host) {
			detail := fmt.Sprintf("version %d is from before the host was granted", a.Version)
			return &RefusedError{Reason: LacksExcludedHost, Host: t.Host, Node: a.Node, Detail: detail}
		}
	}
	return nil
}

func (b *Schedule) checkDeclaration(d Declaration) *RefusedError {
	if !validText(d.By) || !validText(d.Why) {
		return &RefusedError{Reason: Malformed, Detail: "a text is longer than 256 bytes or not UTF-8"}
	}
	if _, member := slices.BinarySearch(b.members, d.Node); !member {
		return &RefusedError{Reason: UnknownNode, Node: printable(d.Node)}
	}
	return nil
}

// execute changes the schedule by a command that was checked.
func (b *Schedule) execute(index uint64, c Command) []Notice {
	switch {
	case c.Limits != nil:
		b.limits = *c.Limits
	case c.Fleet != nil:
		return b.setFleet(index, *c.Fleet)
	case c.Members != nil:
		b.setMembers(c.Members.Nodes)
	case c.Request != nil:
		if _, known := b.Turn(c.Request.ID); !known {
			b.put(Turn{Request: *c.Request, RequestedAt: b.at, Since: b.at})
		}
	case c.Withdraw != nil:
		if t, _ := b.Turn(c.Withdraw.ID); t.Phase != Over {
			t.End, t.Why = Withdrawn, c.Withdraw.Why
			b.enter(t, Over)
		}
	case c.Prepare != nil:
		t, _ := b.Turn(c.Prepare.ID)
		t.Round = index
		b.enter(t, Preparing)
	case c.Grant != nil:
		t, _ := b.Turn(c.Grant.ID)
		b.enter(t, Granted)
		return []Notice{{Turn: t.ID, Kind: NoticeGranted, Why: fmt.Sprintf("host %q is granted: the work may begin", t.Host)}}
	case c.Revoke != nil:
		t, _ := b.Turn(c.Revoke.ID)
		t.Why, t.Overrun = c.Revoke.Why, false
		b.enter(t, Requested)
		return []Notice{{Turn: t.ID, Kind: NoticeRevoked, Why: t.Why}}
	case c.Begin != nil:
		if t, _ := b.Turn(c.Begin.ID); t.Phase == Granted {
			t.Overrun = false
			b.enter(t, Working)
		}
	case c.Done != nil:
		if t, _ := b.Turn(c.Done.ID); t.Phase == Working {
			t.DoneIndex = index
			b.enter(t, Returning)
		}
	case c.ExclusionSet != nil:
		b.exclusionSets = append(b.exclusionSets,
			sendlease.ExclusionSet{Version: c.ExclusionSet.Version, Hosts: list(c.ExclusionSet.Hosts)})
		b.pruneExclusionSets()
	case c.Ack != nil:
		b.setAck(*c.Ack)
	case c.Dead != nil:
		if i, found := slices.BinarySearch(b.dead, c.Dead.Node); !found {
			b.dead = slices.Insert(b.dead, i, c.Dead.Node)
		}
	case c.Alive != nil:
		if i, found := slices.BinarySearch(b.dead, c.Alive.Node); found {
			b.dead = slices.Delete(b.dead, i, i+1)
		}
	}
	return nil
}

// setFleet replaces the hosts, keeps missing ones that have a turn, and ends turns whose hosts are back.
func (b *Schedule) setFleet(index uint64, f Fleet) (notices []Notice) {
	hosts := make([]entry, 0, len(f.Hosts)+4)
	for _, h := range f.Hosts {
		h.Groups, h.Gone = list(h.Groups), false
		e := entry{Host: h, Step: stepOf(h.Value)}
		if i, known := b.searchHost(h.ID); known {
			e.Step = moveStep(b.hosts[i].Step, h.Value)
		}
		hosts = append(hosts, e)
	}
	for _, t := range b.turns {
		i, there := slices.BinarySearchFunc(hosts, t.Host, func(e entry, id string) int { return strings.Compare(e.ID, id) })
		if there {
			continue
		}
		if old, known := b.searchHost(t.Host); known {
			e := b.hosts[old]
			e.Gone, e.Warm, e.Failed = true, false, false // a missing host has not failed; its ban is not known to be over
			hosts = slices.Insert(hosts, i, e)
		}
	}
	b.hosts = hosts
	var bans []sendlease.ExcludedHost
	for _, e := range hosts {
		if !e.Banned {
			continue
		}
		round := index
		if i, before := searchExcluded(b.bans, e.ID); before {
			round = b.bans[i].Round
		}
		bans = append(bans, sendlease.ExcludedHost{Host: e.ID, Round: round})
	}
	b.bans = bans
	for _, t := range slices.Clone(b.turns) {
		h, _ := b.host(t.Host)
		if t.Phase != Returning || h.Gone || h.Failed || h.Banned || f.AppliedIndex < t.DoneIndex {
			continue
		}
		done := *t
		switch done.InService = true; {
		case !h.Warm && !t.InService:
			b.put(done)
		case h.Warm:
			done.End = Finished
			b.enter(done, Over)
			notices = append(notices, Notice{Turn: t.ID, Kind: NoticeFinished, Why: fmt.Sprintf("host %q is back and warm", t.Host)})
		}
	}
	return notices
}

// setMembers replaces the members and forgets what was known of nodes that are not among them.
func (b *Schedule) setMembers(nodes []string) {
	b.members = slices.Clone(nodes)
	left := func(node string) bool {
		_, member := slices.BinarySearch(b.members, node)
		return !member
	}
	b.dead = slices.DeleteFunc(b.dead, left)
	b.acks = slices.DeleteFunc(b.acks, func(a Ack) bool { return left(a.Node) })
	b.pruneExclusionSets()
}

func (b *Schedule) setAck(a Ack) {
	known, i := b.ack(a.Node)
	switch {
	case known.Node == "":
		b.acks = slices.Insert(b.acks, i, a)
	case a.Incarnation > known.Incarnation, a.Version > known.Version:
		b.acks[i] = a
	}
	b.pruneExclusionSets()
}

// pruneExclusionSets keeps the newest exclusion sets and those that a member has acknowledged.
func (b *Schedule) pruneExclusionSets() {
	late := len(b.exclusionSets) - keptExclusionSets
	i := 0
	b.exclusionSets = slices.DeleteFunc(b.exclusionSets, func(h sendlease.ExclusionSet) bool {
		i++
		return i <= late && !slices.ContainsFunc(b.acks, func(a Ack) bool { return a.Version == h.Version })
	})
}

// enter moves a turn to a phase.
func (b *Schedule) enter(t Turn, p Phase) {
	t.Phase, t.Since = p, b.at
	b.put(t)
}

// put stores a turn. One that is over moves to the list of those, and a host that was kept only for it is removed.
func (b *Schedule) put(t Turn) {
	i, found := b.search(t.ID)
	switch {
	case t.Phase == Over:
		b.turns = slices.Delete(b.turns, i, i+1)
		b.over = append(b.over, &t)
		if n := len(b.over) - keptOver; n > 0 {
			b.over = slices.Delete(b.over, 0, n)
		}
		if j, _ := b.searchHost(t.Host); b.hosts[j].Gone {
			b.hosts = slices.Delete(slices.Clone(b.hosts), j, j+1)
			if k, banned := searchExcluded(b.bans, t.Host); banned {
				b.bans = slices.Delete(b.bans, k, k+1)
			}
		}
	case found:
		b.turns[i] = &t
	default:
		b.turns = slices.Insert(b.turns, i, &t)
	}
}

func (b *Schedule) search(id string) (int, bool) {
	return slices.BinarySearchFunc(b.turns, id, func(t *Turn, id string) int { return strings.Compare(t.ID, id) })
}

func (b *Schedule) searchHost(id string) (int, bool) {
	return slices.BinarySearchFunc(b.hosts, id, func(e entry, id string) int { return strings.Compare(e.ID, id) })
}

func searchExcluded(excluded []sendlease.ExcludedHost, host string) (int, bool) {
	return slices.BinarySearchFunc(excluded, host,
		func(o sendlease.ExcludedHost, host string) int { return strings.Compare(o.Host, host) })
}

// host returns a host by its id.
func (b *Schedule) host(id string) (entry, bool) {
	if i, found := b.searchHost(id); found {
		return b.hosts[i], true
	}
	return entry{}, false
}

// ofHost returns the turn of a host that is not over, or nil.
func (b *Schedule) ofHost(host string) *Turn {
	if i := slices.IndexFunc(b.turns, func(t *Turn) bool { return t.Host == host }); i >= 0 {
		return b.turns[i]
	}
	return nil
}

// ack returns the newest acknowledgement of a node and its position; one without a name if there is none.
func (b *Schedule) ack(node string) (Ack, int) {
	i, found := slices.BinarySearchFunc(b.acks, node, func(a Ack, node string) int { return strings.Compare(a.Node, node) })
	if !found {
		return Ack{}, i
	}
	return b.acks[i], i
}

// exclusionSet returns one by its version.
func (b *Schedule) exclusionSet(version uint64) (sendlease.ExclusionSet, bool) {
	i, found := slices.BinarySearchFunc(b.exclusionSets, version,
		func(h sendlease.ExclusionSet, v uint64) int { return cmp.Compare(h.Version, v) })
	if !found {
		return sendlease.ExclusionSet{}, false
	}
	return b.exclusionSets[i], true
}

// list copies a list; an empty one becomes nil, so that equal schedules are encoded alike.
func list(l []string) []string { return append([]string(nil), l...) }

// validText reports whether a text may be stored in the schedule.
func validText(s string) bool { return len(s) <= MaxText && utf8.ValidString(s) }

// printable returns at most 64 bytes of a name from outside for a message.
func printable(s string) string { return strings.ToValidUTF8(s[:min(len(s), 64)], "?") }

// validNames reports whether a list is sorted, without duplicates and without empty or invalid names.
func validNames(list []string) bool {
	for i, s := range list {
		if s == "" || !validText(s) || i > 0 && s <= list[i-1] {
			return false
		}
	}
	return true
}
