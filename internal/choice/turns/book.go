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
	keptOver     = 256 // turns that are over, for whoever asks late
	keptHorizons = 16  // the last ones, for acknowledgements on their way; besides those that members have acknowledged
)

// Book is what a site's council replicates about turns. Not safe for concurrent use. What its slices of pointers and of
// hosts lead to is never changed in place, so that clones share it.
type Book struct {
	at       time.Duration // of the newest command
	limits   Limits
	hosts    []entry  // sorted by id; replaced whole
	members  []string // sorted; replaced whole
	dead     []string // sorted, of the members
	bans     []sendlease.Out
	turns    []*Turn             // not over, sorted by id
	over     []*Turn             // the last ones, in the order in which they ended
	horizons []sendlease.Horizon // by version; the last is the one committed last
	acks     []Ack               // sorted by node, of the members
}

// entry is a host and the step of its worth, which moves only when the worth has moved well beyond it.
type entry struct {
	Host
	Step int `json:"step"`
}

// New returns an empty book. It allows nothing before it has limits.
func New() *Book { return &Book{} }

// Clone returns a copy that may change apart. It costs a copy of the lists of pointers.
func (b *Book) Clone() *Book {
	c := *b
	c.dead, c.bans = slices.Clone(b.dead), slices.Clone(b.bans)
	c.turns, c.over = slices.Clone(b.turns), slices.Clone(b.over)
	c.horizons, c.acks = slices.Clone(b.horizons), slices.Clone(b.acks)
	return &c
}

// At returns the time of the newest command.
func (b *Book) At() time.Duration { return b.at }

// Limits returns the allowances.
func (b *Book) Limits() Limits { return b.limits }

// Members returns the nodes, sorted. Not to be changed.
func (b *Book) Members() []string { return b.members }

// Dead says whether a node is declared dead.
func (b *Book) Dead(node string) bool {
	_, found := slices.BinarySearch(b.dead, node)
	return found
}

// Hosts returns the hosts, sorted by id, also those that are gone and have a turn.
func (b *Book) Hosts() []Host {
	hosts := make([]Host, len(b.hosts))
	for i, e := range b.hosts {
		hosts[i] = e.Host
	}
	return hosts
}

// Horizon returns the one that was committed last.
func (b *Book) Horizon() sendlease.Horizon {
	if len(b.horizons) == 0 {
		return sendlease.Horizon{}
	}
	return b.horizons[len(b.horizons)-1]
}

// Recorded returns the newest horizon that is committed as acknowledged by a node, 0 for none.
func (b *Book) Recorded(node string) uint64 {
	a, _ := b.ack(node)
	return a.Version
}

// RecordedIn is Recorded for the node's store of one life, 0 if what is known is of another one: what to tell a node, which
// does not know what an earlier store of its had.
func (b *Book) RecordedIn(node string, life uint64) uint64 {
	if a, _ := b.ack(node); a.Life == life {
		return a.Version
	}
	return 0
}

// Outs returns the hosts that nothing new goes to, sorted: not one whose work is done and that is in service again, which
// gets warm by what it is sent, and counts until it is. The round is that of the turn, or the index of the log that
// brought the ban where no turn has taken the host out.
func (b *Book) Outs() []sendlease.Out {
	outs := slices.Clone(b.bans)
	for _, t := range b.turns {
		if !t.Phase.Out() || t.Serves {
			continue
		}
		if i, banned := searchOut(outs, t.Host); banned {
			outs[i].Round = t.Round
		} else {
			outs = slices.Insert(outs, i, sendlease.Out{Host: t.Host, Round: t.Round})
		}
	}
	return outs
}

// Turn returns a turn by its name; those over are known for a while.
func (b *Book) Turn(id string) (Turn, bool) {
	if i, found := b.search(id); found {
		return *b.turns[i], true
	}
	if i := slices.IndexFunc(b.over, func(t *Turn) bool { return t.ID == id }); i >= 0 {
		return *b.over[i], true
	}
	return Turn{}, false
}

// Turns returns all: those out by their rounds, those that wait in their order as of the newest command, those over from
// the latest on.
func (b *Book) Turns() []Turn {
	all := make([]Turn, 0, len(b.turns)+len(b.over))
	for _, t := range b.turns {
		if t.Phase.Out() {
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

// Check returns nil for a command that Apply would take, else a *RefusedError.
func (b *Book) Check(c Command) error {
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

// Apply carries a command out; index is its place in the council's log. What is told comes in a fixed order. A command
// that has no place changes nothing, and the one notice says so.
func (b *Book) Apply(index uint64, c Command) []Notice {
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
	notices = append(notices, work.carryOut(index, c)...)
	*b = *work
	return notices
}

// due says whether pass would change something.
func (b *Book) due(at time.Duration) bool {
	return slices.ContainsFunc(b.turns, func(t *Turn) bool { return t.expired(at) || t.overruns(at) })
}

// expired says whether a turn that has not begun cannot be done in time any more.
func (t *Turn) expired(at time.Duration) bool {
	return t.Phase <= Granted && t.FinishBy != 0 && at > t.FinishBy-t.Lasts
}

// overruns says whether operators are to be told that a host is handed over for longer than the work was to last.
func (t *Turn) overruns(at time.Duration) bool {
	return (t.Phase == Granted || t.Phase == Working) && !t.Overrun && at-t.Since > t.Lasts
}

// pass lets time pass: what expires and what overruns.
func (b *Book) pass(at time.Duration) (notices []Notice) {
	for _, t := range slices.Clone(b.turns) {
		switch next := *t; {
		case t.expired(at):
			why := fmt.Sprintf("it could not be done in time any more; it was %v", t.Phase)
			next.Phase, next.Since, next.End, next.Why = Over, at, Expired, why
			b.put(next)
			notices = append(notices, Notice{Turn: t.ID, Kind: NoticeExpired, Why: why})
		case t.overruns(at):
			next.Overrun = true
			b.put(next)
			n := Notice{Turn: t.ID, Kind: NoticeOverrun,
				Why: fmt.Sprintf("the work at host %q takes longer than %v; the host goes on counting as out", t.Host, t.Lasts)}
			if t.Phase == Granted {
				n.Kind, n.Why = NoticeIdle, fmt.Sprintf("host %q was handed over %v ago, and its work has not begun", t.Host, at-t.Since)
			}
			notices = append(notices, n)
		}
	}
	return notices
}

// check says why a command has no place in the book at a time up to which time has passed.
func (b *Book) check(c Command, at time.Duration) *RefusedError {
	set := 0
	for _, is := range [...]bool{c.Limits != nil, c.Fleet != nil, c.Members != nil, c.Ask != nil, c.Withdraw != nil,
		c.Prepare != nil, c.Grant != nil, c.CallBack != nil, c.Begin != nil, c.Done != nil, c.Horizon != nil,
		c.Ack != nil, c.Dead != nil, c.Alive != nil} {
		if is {
			set++
		}
	}
	switch {
	case set > 1:
		return &RefusedError{Reason: Malformed, More: "several commands in one"}
	case c.Limits != nil:
		return checkLimits(*c.Limits)
	case c.Fleet != nil:
		return checkFleet(c.Fleet.Hosts)
	case c.Members != nil:
		if len(c.Members.Nodes) == 0 || !names(c.Members.Nodes) {
			return &RefusedError{Reason: Malformed, More: "the nodes are not a sorted list of names"}
		}
	case c.Ask != nil:
		return b.checkAsk(*c.Ask, at)
	case c.Withdraw != nil:
		return b.checkWithdraw(*c.Withdraw)
	case c.Prepare != nil:
		return b.checkPrepare(*c.Prepare, at)
	case c.Grant != nil:
		return b.checkGrant(*c.Grant)
	case c.CallBack != nil:
		_, r := b.stands(*c.CallBack, Preparing, Granted)
		return r
	case c.Begin != nil:
		_, r := b.stands(*c.Begin, Granted, Working)
		return r
	case c.Done != nil:
		if t, ok := b.Turn(c.Done.ID); ok && t.End == Finished && (c.Done.Round == 0 || c.Done.Round == t.Round) {
			return nil // told once more
		}
		_, r := b.stands(*c.Done, Working, Returning)
		return r
	case c.Horizon != nil:
		return b.checkWiden(*c.Horizon)
	case c.Ack != nil:
		return b.checkAck(*c.Ack)
	case c.Dead != nil:
		return b.checkDeclare(*c.Dead)
	case c.Alive != nil:
		return b.checkDeclare(*c.Alive)
	}
	return nil
}

func checkLimits(l Limits) *RefusedError {
	if min(l.Site, l.Zone, l.Kind, l.Failed, l.Horizon) < 0 || l.Age < 0 {
		return &RefusedError{Reason: Malformed, More: "an allowance is below 0"}
	}
	return nil
}

func checkFleet(hosts []Host) *RefusedError {
	for i, h := range hosts {
		more := ""
		switch {
		case h.ID == "" || !text(h.ID) || !text(h.Zone) || !text(h.Kind) || !names(h.Groups):
			more = "a name is missing or unsound, or its groups are not sorted"
		case i > 0 && h.ID <= hosts[i-1].ID:
			more = "the hosts are not sorted, or one is there twice"
		case !(h.Worth >= 0) || math.IsInf(h.Worth, 0): // also what is no number
			more = "its worth is no number, or below 0"
		}
		if more != "" {
			return &RefusedError{Reason: Malformed, Host: h.ID, More: more}
		}
	}
	return nil
}

func (b *Book) checkAsk(a Ask, at time.Duration) *RefusedError {
	refused := func(r Reason, more string) *RefusedError {
		return &RefusedError{Reason: r, Turn: a.ID, Host: a.Host, More: more}
	}
	if a.ID == "" || !text(a.ID) || !text(a.Host) || !text(a.By) {
		return &RefusedError{Reason: Malformed, More: "a name is missing, longer than 256 bytes or not UTF-8"}
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
	case a.Lasts <= 0:
		return refused(Malformed, "the work is to last longer than no time")
	case a.Lasts > MaxLasts:
		return refused(TooLong, fmt.Sprintf("%v is over %v", a.Lasts, MaxLasts))
	case a.NotBefore < 0 || a.FinishBy < 0 || a.Urgency > MaxUrgency || a.Urgency < -MaxUrgency:
		return refused(Malformed, fmt.Sprintf("a time is below 0, or the urgency is not within %d of 0", MaxUrgency))
	case a.FinishBy != 0 && max(at, a.NotBefore) > a.FinishBy-a.Lasts:
		return refused(TooLate, "")
	case len(b.turns) >= MaxTurns:
		return refused(TooMany, "")
	}
	if t := b.ofHost(a.Host); t != nil {
		return refused(HasTurn, fmt.Sprintf("it is %q", t.ID))
	}
	return nil
}

// stands returns the turn that a reference means if it stands in one of the phases.
func (b *Book) stands(r Ref, phases ...Phase) (*Turn, *RefusedError) {
	if !text(r.Why) {
		return nil, &RefusedError{Reason: Malformed, More: "the reason is longer than 256 bytes or not UTF-8"}
	}
	i, found := b.search(r.ID)
	if !found {
		if t, over := b.Turn(r.ID); over {
			return nil, &RefusedError{Reason: WrongPhase, Turn: t.ID, Host: t.Host, More: "it is over"}
		}
		return nil, &RefusedError{Reason: UnknownTurn, Turn: text64(r.ID)}
	}
	t := b.turns[i]
	switch {
	case !slices.Contains(phases, t.Phase):
		return nil, &RefusedError{Reason: WrongPhase, Turn: t.ID, Host: t.Host, More: "it is " + t.Phase.String()}
	case r.Round != 0 && r.Round != t.Round:
		more := fmt.Sprintf("it is in %d, not %d", t.Round, r.Round)
		return nil, &RefusedError{Reason: WrongRound, Turn: t.ID, Host: t.Host, More: more}
	}
	return t, nil
}

// checkWithdraw: a turn whose work has begun is reported done instead; one that is done ends when the host is back, or
// here if the host has left the fleet for good.
func (b *Book) checkWithdraw(r Ref) *RefusedError {
	if t, known := b.Turn(r.ID); known && t.End == Withdrawn {
		return nil
	}
	t, refused := b.stands(r, Asked, Preparing, Granted, Returning)
	if refused != nil {
		return refused
	}
	if h, _ := b.host(t.Host); t.Phase == Returning && !h.Gone {
		return &RefusedError{Reason: WrongPhase, Turn: t.ID, Host: t.Host, More: "it ends by itself when the host is back and warm"}
	}
	return nil
}

func (b *Book) checkPrepare(r Ref, at time.Duration) *RefusedError {
	t, refused := b.stands(r, Asked)
	if refused != nil {
		return refused
	}
	u := b.use()
	if u.failed > b.limits.Failed {
		return &RefusedError{Reason: TooManyFailed, Turn: t.ID, More: fmt.Sprintf("%d, with %d allowed", u.failed, b.limits.Failed)}
	}
	if reason := b.fits(&u, t, at); reason != Accepted {
		return &RefusedError{Reason: reason, Turn: t.ID, Host: t.Host}
	}
	return nil
}

// checkGrant: the nodes were clear of the host in one round, which is to be said.
func (b *Book) checkGrant(r Ref) *RefusedError {
	t, refused := b.stands(r, Preparing)
	if refused != nil {
		return refused
	}
	if r.Round == 0 {
		return &RefusedError{Reason: WrongRound, Turn: t.ID, Host: t.Host, More: "a grant names its round"}
	}
	if u := b.use(); u.failed > b.limits.Failed {
		return &RefusedError{Reason: TooManyFailed, Turn: t.ID, More: fmt.Sprintf("%d, with %d allowed", u.failed, b.limits.Failed)}
	}
	for _, a := range b.acks { // what Clear saw may have changed since
		if a.Version != 0 && !b.Dead(a.Node) && !b.within(a.Version, t.Host) {
			more := fmt.Sprintf("the node has acknowledged version %d", a.Version)
			return &RefusedError{Reason: LacksOut, Turn: t.ID, Host: t.Host, Node: a.Node, More: more}
		}
	}
	return nil
}

// checkWiden: a horizon without a host that is out would let a node that acknowledges it, and is cut off, send there.
func (b *Book) checkWiden(w Widen) *RefusedError {
	if !names(w.Hosts) {
		return &RefusedError{Reason: Malformed, More: "the hosts are not a sorted list of names"}
	}
	if last := b.Horizon().Version; w.Version <= last {
		return &RefusedError{Reason: LacksOut, More: fmt.Sprintf("version %d does not follow %d", w.Version, last)}
	}
	for _, out := range b.Outs() {
		if _, found := slices.BinarySearch(w.Hosts, out.Host); !found {
			return &RefusedError{Reason: LacksOut, Host: out.Host, More: "it lacks a host that is out"}
		}
	}
	return nil
}

// checkAck: one that would be recorded, while it lacks a host that is handed over, is refused: the node asks on with what
// is newer. So each living member that has one recorded has one with every host that is handed over, but for those that
// were dead when it was.
func (b *Book) checkAck(a Ack) *RefusedError {
	if _, member := slices.BinarySearch(b.members, a.Node); !member {
		return &RefusedError{Reason: UnknownNode, Node: text64(a.Node)}
	}
	known, _ := b.ack(a.Node)
	switch {
	case b.Dead(a.Node):
		return &RefusedError{Reason: DeclaredDead, Node: a.Node}
	case a.Life < known.Life:
		return &RefusedError{Reason: OldLife, Node: a.Node}
	case a.Life == known.Life && a.Version <= known.Version:
		return nil
	}
	if a.Version == 0 {
		return nil
	}
	if _, found := b.horizon(a.Version); !found {
		return &RefusedError{Reason: UnknownHorizon, Node: a.Node, More: fmt.Sprintf("version %d", a.Version)}
	}
	for _, t := range b.turns {
		if t.Phase.Out() && t.Phase != Preparing && !t.Serves && !b.within(a.Version, t.Host) {
			more := fmt.Sprintf("version %d is from before it was handed over", a.Version)
			return &RefusedError{Reason: LacksOut, Host: t.Host, Node: a.Node, More: more}
		}
	}
	return nil
}

func (b *Book) checkDeclare(d Declare) *RefusedError {
	if !text(d.By) || !text(d.Why) {
		return &RefusedError{Reason: Malformed, More: "a text is longer than 256 bytes or not UTF-8"}
	}
	if _, member := slices.BinarySearch(b.members, d.Node); !member {
		return &RefusedError{Reason: UnknownNode, Node: text64(d.Node)}
	}
	return nil
}

// carryOut changes the book by a command that was checked.
func (b *Book) carryOut(index uint64, c Command) []Notice {
	switch {
	case c.Limits != nil:
		b.limits = *c.Limits
	case c.Fleet != nil:
		return b.takeFleet(index, *c.Fleet)
	case c.Members != nil:
		b.takeMembers(c.Members.Nodes)
	case c.Ask != nil:
		if _, known := b.Turn(c.Ask.ID); !known {
			b.put(Turn{Ask: *c.Ask, AskedAt: b.at, Since: b.at})
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
		return []Notice{{Turn: t.ID, Kind: NoticeGranted, Why: fmt.Sprintf("host %q is handed over: the work may begin", t.Host)}}
	case c.CallBack != nil:
		t, _ := b.Turn(c.CallBack.ID)
		t.Why, t.Overrun = c.CallBack.Why, false
		b.enter(t, Asked)
		return []Notice{{Turn: t.ID, Kind: NoticeCalled, Why: t.Why}}
	case c.Begin != nil:
		if t, _ := b.Turn(c.Begin.ID); t.Phase == Granted {
			t.Overrun = false
			b.enter(t, Working)
		}
	case c.Done != nil:
		if t, _ := b.Turn(c.Done.ID); t.Phase == Working {
			t.Back = index
			b.enter(t, Returning)
		}
	case c.Horizon != nil:
		b.horizons = append(b.horizons, sendlease.Horizon{Version: c.Horizon.Version, Hosts: list(c.Horizon.Hosts)})
		b.forgetHorizons()
	case c.Ack != nil:
		b.takeAck(*c.Ack)
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

// takeFleet puts the hosts in, keeps those that are missing and have a turn, and ends turns whose hosts are back.
func (b *Book) takeFleet(index uint64, f Fleet) (notices []Notice) {
	hosts := make([]entry, 0, len(f.Hosts)+4)
	for _, h := range f.Hosts {
		h.Groups, h.Gone = list(h.Groups), false
		e := entry{Host: h, Step: stepOf(h.Worth)}
		if i, known := b.searchHost(h.ID); known {
			e.Step = moveStep(b.hosts[i].Step, h.Worth)
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
			e.Gone, e.Warm, e.Failed = true, false, false // what is not there has not failed; its ban is not known to be over
			hosts = slices.Insert(hosts, i, e)
		}
	}
	b.hosts = hosts
	var bans []sendlease.Out
	for _, e := range hosts {
		if !e.Banned {
			continue
		}
		round := index
		if i, before := searchOut(b.bans, e.ID); before {
			round = b.bans[i].Round
		}
		bans = append(bans, sendlease.Out{Host: e.ID, Round: round})
	}
	b.bans = bans
	for _, t := range slices.Clone(b.turns) {
		h, _ := b.host(t.Host)
		if t.Phase != Returning || h.Gone || h.Failed || h.Banned || f.Seen < t.Back {
			continue
		}
		done := *t
		switch done.Serves = true; {
		case !h.Warm && !t.Serves:
			b.put(done)
		case h.Warm:
			done.End = Finished
			b.enter(done, Over)
			notices = append(notices, Notice{Turn: t.ID, Kind: NoticeFinished, Why: fmt.Sprintf("host %q is back and warm", t.Host)})
		}
	}
	return notices
}

// takeMembers forgets what was known of nodes that are no members any more.
func (b *Book) takeMembers(nodes []string) {
	b.members = slices.Clone(nodes)
	left := func(node string) bool {
		_, member := slices.BinarySearch(b.members, node)
		return !member
	}
	b.dead = slices.DeleteFunc(b.dead, left)
	b.acks = slices.DeleteFunc(b.acks, func(a Ack) bool { return left(a.Node) })
	b.forgetHorizons()
}

func (b *Book) takeAck(a Ack) {
	known, i := b.ack(a.Node)
	switch {
	case known.Node == "":
		b.acks = slices.Insert(b.acks, i, a)
	case a.Life > known.Life, a.Version > known.Version:
		b.acks[i] = a
	}
	b.forgetHorizons()
}

// forgetHorizons keeps the last horizons and those that a member has acknowledged.
func (b *Book) forgetHorizons() {
	late := len(b.horizons) - keptHorizons
	i := 0
	b.horizons = slices.DeleteFunc(b.horizons, func(h sendlease.Horizon) bool {
		i++
		return i <= late && !slices.ContainsFunc(b.acks, func(a Ack) bool { return a.Version == h.Version })
	})
}

// enter moves a turn to a phase.
func (b *Book) enter(t Turn, p Phase) {
	t.Phase, t.Since = p, b.at
	b.put(t)
}

// put takes a turn as it is now; one that is over goes to the others that are, with a host that only it kept.
func (b *Book) put(t Turn) {
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
			if k, banned := searchOut(b.bans, t.Host); banned {
				b.bans = slices.Delete(b.bans, k, k+1)
			}
		}
	case found:
		b.turns[i] = &t
	default:
		b.turns = slices.Insert(b.turns, i, &t)
	}
}

func (b *Book) search(id string) (int, bool) {
	return slices.BinarySearchFunc(b.turns, id, func(t *Turn, id string) int { return strings.Compare(t.ID, id) })
}

func (b *Book) searchHost(id string) (int, bool) {
	return slices.BinarySearchFunc(b.hosts, id, func(e entry, id string) int { return strings.Compare(e.ID, id) })
}

func searchOut(outs []sendlease.Out, host string) (int, bool) {
	return slices.BinarySearchFunc(outs, host, func(o sendlease.Out, host string) int { return strings.Compare(o.Host, host) })
}

// host returns a host by its id.
func (b *Book) host(id string) (entry, bool) {
	if i, found := b.searchHost(id); found {
		return b.hosts[i], true
	}
	return entry{}, false
}

// ofHost returns the turn of a host that is not over, or nil.
func (b *Book) ofHost(host string) *Turn {
	if i := slices.IndexFunc(b.turns, func(t *Turn) bool { return t.Host == host }); i >= 0 {
		return b.turns[i]
	}
	return nil
}

// ack returns the newest acknowledgement of a node and its place; one without a name if there is none.
func (b *Book) ack(node string) (Ack, int) {
	i, found := slices.BinarySearchFunc(b.acks, node, func(a Ack, node string) int { return strings.Compare(a.Node, node) })
	if !found {
		return Ack{}, i
	}
	return b.acks[i], i
}

// horizon returns one by its version.
func (b *Book) horizon(version uint64) (sendlease.Horizon, bool) {
	i, found := slices.BinarySearchFunc(b.horizons, version, func(h sendlease.Horizon, v uint64) int { return cmp.Compare(h.Version, v) })
	if !found {
		return sendlease.Horizon{}, false
	}
	return b.horizons[i], true
}

// list copies a list; one that is empty is nil, so that equal books are equal when written.
func list(l []string) []string { return append([]string(nil), l...) }

// text says whether a text can stand in the book.
func text(s string) bool { return len(s) <= MaxText && utf8.ValidString(s) }

// text64 is a name from outside for a message.
func text64(s string) string { return strings.ToValidUTF8(s[:min(len(s), 64)], "?") }

// names says whether a list is sorted, with no empty or unsound name and none twice.
func names(list []string) bool {
	for i, s := range list {
		if s == "" || !text(s) || i > 0 && s <= list[i-1] {
			return false
		}
	}
	return true
}
