package sitesync

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing sets the timing of calls between sites.
type Timing struct {
	PollInterval   time.Duration // between two calls when there is nothing to send
	RetryDelay     time.Duration // after a failed call; doubled each time, with jitter
	MaxRetryDelay  time.Duration // upper bound of the retry delay
	MaxFailures    int           // consecutive calls that fail, or make no progress, before the next site above is tried
	ReturnInterval time.Duration // between two attempts at a nearer site while a farther one is used
	MinTimeout     time.Duration // lower bound of the call timeout, however quick the answers were
	InitialTimeout time.Duration // timeout before any call was answered
	MaxTimeout     time.Duration // upper bound of the timeout
}

// rttEstimate estimates answer times by their smoothed mean and deviation, as TCP does (RFC 6298).
type rttEstimate struct{ mean, deviation time.Duration }

func (t *rttEstimate) add(elapsed time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = max(elapsed, 1), elapsed/2
		return
	}
	t.deviation += ((elapsed - t.mean).Abs() - t.deviation) / 4
	t.mean += (elapsed - t.mean) / 8
}

// timeout returns how long to wait for an answer.
func (t *rttEstimate) timeout(p Timing) time.Duration {
	if t.mean == 0 {
		return min(p.InitialTimeout, p.MaxTimeout)
	}
	return min(max(t.mean+4*t.deviation, p.MinTimeout), p.MaxTimeout)
}

// Jitter returns a wait between half of the given one and all of it, by a hash of the site and the attempt:
// reproducible, and different from site to site.
func Jitter(wait time.Duration, site string, attempt uint64) time.Duration {
	h := xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(site), attempt))
	return wait/2 + time.Duration(float64(wait/2)*float64(h>>11)/(1<<53))
}

// route is what a site's leader knows of a site above.
type route struct {
	incarnation uint64
	known       vector       // writes known there
	pieces      *StateUpdate // pieces of its state that are not joined yet
	credit      int
	notBefore   time.Duration // earliest time of the next call
	failures    int           // consecutive calls that failed or made no progress
	lastCall    time.Duration // time of the last call
	probeNext   bool          // a call was not answered: the next one is a probe
	callLost    bool          // the unanswered call was not a probe
	slowCalls   int           // consecutive calls lost although probes were answered; each doubles the call timeout
	lostProbes  int           // consecutive probes that were not answered
	redirected  bool          // the last call reached a replica that named another one
	callTime    rttEstimate   // of calls
	probeTime   rttEstimate   // of probes
}

// Forwarder decides for a site's leader what to send next to which site above. Its state is not replicated: a new
// leader starts with a new one.
type Forwarder struct {
	site       func() *Site
	timing     Timing
	ancestors  []string
	routes     map[string]*route
	current    int // index of the site above in use
	callee     string
	probing    bool // the call in progress is a probe
	sentWrites int
	attempt    uint64
	reachable  bool // the last call was answered
}

// NewForwarder returns a forwarder for a site's state, which is read again at each call.
func NewForwarder(site func() *Site, timing Timing) *Forwarder {
	return NewForwarderTo(site, timing, site().self.Ancestors...)
}

// NewForwarderTo returns a forwarder that uses only the given sites above.
func NewForwarderTo(site func() *Site, timing Timing, ancestors ...string) *Forwarder {
	c := &Forwarder{site: site, timing: timing, ancestors: ancestors, routes: map[string]*route{}}
	for _, a := range c.ancestors {
		c.routes[a] = &route{known: vector{}}
	}
	return c
}

// Offer returns the command to commit before the next call, or nil. Nothing is offered while calls go unanswered, so
// that evidence can still be merged.
func (c *Forwarder) Offer() *Command {
	if !c.reachable {
		return nil
	}
	return c.site().Unoffered()
}

// Next returns the next call, or how long to wait before trying again. Only one call is in progress at a time.
func (c *Forwarder) Next(now time.Duration) (to string, b *Batch, wait time.Duration) {
	if len(c.ancestors) == 0 || c.callee != "" {
		return "", nil, c.timing.PollInterval
	}
	to = c.ancestors[c.current]
	for i, name := range c.ancestors { // at intervals a nearer one, or a farther one that waits for this site's call
		if r := c.routes[name]; now-r.lastCall >= c.timing.ReturnInterval && now >= r.notBefore &&
			(i < c.current || i > c.current && c.site().awaitedBy(name)) {
			to = name
			break
		}
	}
	r := c.routes[to]
	if now < r.notBefore {
		return "", nil, r.notBefore - now
	}
	if b = c.batch(to); r.probeNext {
		b.Seen, b.Judged, b.Incarnations = nil, nil, nil // no writes either: the credit is used up
		b.Probe = true
	}
	c.callee, c.sentWrites, c.probing = to, len(b.Writes), b.Probe
	r.lastCall = now
	c.attempt++
	return to, b, 0
}

// CallTimeout returns how long to wait for the answer to the call in progress. A cut link is distinguished from a
// slow one not by waiting longer but by a probe (Batch.Probe), which is small in both directions and needs no commit.
// The timeout of a probe is based on the answer times of probes, that of a call on those of calls, doubled for each call
// that was lost although probes were answered.
func (c *Forwarder) CallTimeout() time.Duration {
	r := c.routes[c.callee]
	switch {
	case r == nil:
		return 0
	case c.probing:
		return r.probeTimeout(c.timing)
	}
	return min(r.callTime.timeout(c.timing)<<r.slowCalls, c.timing.MaxTimeout)
}

// probeTimeout returns how long to wait for the answer to a probe. Answers may have become slower, which would never
// show if every probe were given up too early. So every fourth one is waited for as if nothing had been measured, and
// from the 64th on, each time the number of unanswered ones has doubled, one is waited for as long as possible.
func (r *route) probeTimeout(p Timing) time.Duration {
	typical := r.probeTime.timeout(p)
	if r.probeTime.mean == 0 { // a probe takes no longer than a call
		typical = min(r.callTime.timeout(p), p.InitialTimeout)
	}
	switch n := r.lostProbes + 1; {
	case n >= 64 && n&(n-1) == 0:
		return p.MaxTimeout
	case n%4 == 0:
		return max(typical, p.InitialTimeout)
	}
	return typical
}

// batch builds a call: as many writes as credit and size allow, urgent ones and their dependencies first, evidence
// last.
func (c *Forwarder) batch(to string) *Batch {
	s, r := c.site(), c.routes[to]
	b := &Batch{From: s.self, Seen: s.seen.list(), Cursor: s.cursors[to]}
	b.From.Ancestors = nil
	if r.pieces != nil {
		b.Cursor = Cursor{r.incarnation, r.pieces.Until}
	}
	for lane := range s.number {
		if o := s.ownOrigin(lane); s.judged[o] > 0 {
			b.Judged = append(b.Judged, VectorEntry{o, s.judged[o]})
		}
	}
	for _, site := range sorted(s.incarnations) {
		if h := s.incarnations[site]; site != s.self.Site {
			b.Incarnations = append(b.Incarnations, SiteIncarnation{site, h.Incarnation, h.StoreCreated})
		}
	}
	lists := map[Origin][]*item{}
	total := 0
	for o, q := range s.log {
		b.Queries = append(b.Queries, o)
		if q = q[s.log.countUpTo(o, r.known[o]):s.log.countUpTo(o, s.sendableUpTo(o))]; len(q) > 0 {
			lists[o] = q
			total += len(q)
		}
	}
	slices.SortFunc(b.Queries, Origin.Compare)
	maxWrites, bytesLeft, urgent := min(r.credit, s.limits.Batch), callBytes, 0
	full := maxWrites == 0
	take := func(w *Write) {
		if bytesLeft -= len(encoded(w)); bytesLeft < 0 && len(b.Writes) > 0 {
			full = true
			return
		}
		b.Writes = append(b.Writes, *w)
		full = len(b.Writes) == maxWrites
	}
	p := &picker{pending: lists, outOfOrder: s.outOfOrder, seen: s.seen, uncertainFrom: map[Origin]uint64{}}
	p.pick(func(o Origin) bool { return o.Urgent }, func(w *Write) bool {
		urgent++ // all of them are counted, with their dependencies
		if !full {
			take(w)
		}
		return true
	})
	for _, evidence := range [2]bool{false, true} {
		p.pick(func(o Origin) bool { return o.Evidence == evidence }, func(w *Write) bool {
			if !full {
				take(w)
			}
			return !full
		})
	}
	b.Waiting = total - len(b.Writes)
	b.Urgent = max(0, urgent-len(b.Writes))
	return b
}

// sendableUpTo returns the number up to which an origin's writes may be sent.
func (s *Site) sendableUpTo(o Origin) uint64 {
	if s.isRoot() || !s.isOwn(o) {
		return math.MaxUint64
	}
	return s.offered[o.lane()]
}

// picker selects writes in an order in which they can be applied, each after its dependencies. Writes that wait for a
// write unknown here come last.
type picker struct {
	pending       map[Origin][]*item // the writes left, by origin; the slices are not modified
	outOfOrder    bool
	seen          vector
	uncertainFrom map[Origin]uint64 // the number from which on an origin's writes depend on unknown ones
	deferred      []*Write
}

// pick passes the writes of some origins to take in sequence order, until take returns false.
func (p *picker) pick(selected func(Origin) bool, take func(*Write) bool) {
	for _, sure := range [2]bool{true, false} {
		for {
			o, second, found := p.next(func(o Origin) bool { return selected(o) && !(sure && p.uncertainFrom[o] > 0) })
			if !found {
				break
			}
			for q := p.pending[o]; len(q) > 0 && q[0].Seq < second && !(sure && p.uncertainFrom[o] > 0); q = p.pending[o] {
				if !p.emit(o, q[0].Write.ID.Number, take) || !sure && !p.flushDeferred(take) {
					return
				}
			}
		}
		if !p.flushDeferred(take) {
			return
		}
	}
}

// next returns the origin, among those selected, whose next write comes first in sequence order, and the sequence
// number at which another origin takes over.
func (p *picker) next(selected func(Origin) bool) (first Origin, second uint64, found bool) {
	least := uint64(math.MaxUint64)
	second = least
	for o, q := range p.pending {
		switch at := q[0].Seq; {
		case !selected(o):
		case at < least:
			first, least, second = o, at, least
		default:
			second = min(second, at)
		}
	}
	return first, second, least < math.MaxUint64
}

// flushDeferred passes on the deferred writes.
func (p *picker) flushDeferred(take func(*Write) bool) bool {
	list := p.deferred
	p.deferred = nil
	for _, w := range list {
		if !take(w) {
			return false
		}
	}
	return true
}

// emit passes on an origin's writes up to a number, each after its dependencies, and reports whether more are wanted.
// Writes that depend on unknown ones are deferred.
func (p *picker) emit(o Origin, upTo uint64, take func(*Write) bool) bool {
	for len(p.pending[o]) > 0 && p.pending[o][0].Write.ID.Number <= upTo {
		w := p.pending[o][0].Write
		if p.pending[o] = p.pending[o][1:]; len(p.pending[o]) == 0 {
			delete(p.pending, o)
		}
		unknown := p.uncertainFrom[o] > 0
		for _, m := range w.Dependencies {
			if !p.emit(m.Origin, m.Number, take) {
				return false
			}
			unknown = unknown || p.outOfOrder && (m.Number > p.seen[m.Origin] ||
				p.uncertainFrom[m.Origin] > 0 && m.Number >= p.uncertainFrom[m.Origin])
		}
		if !unknown {
			if !take(w) {
				return false
			}
			continue
		}
		if p.uncertainFrom[o] == 0 {
			p.uncertainFrom[o] = w.ID.Number
		}
		p.deferred = append(p.deferred, w)
	}
	return true
}

// Answered processes the answer to the call in progress, and returns a command to commit, or nil.
func (c *Forwarder) Answered(now time.Duration, a *Answer) *Command {
	to := c.callee
	c.callee = ""
	r := c.routes[to]
	if r == nil || a.From != to {
		return nil
	}
	c.reachable = true
	if r.incarnation != a.Incarnation {
		*r = route{incarnation: a.Incarnation, known: vector{}, lastCall: r.lastCall, callLost: r.callLost, slowCalls: r.slowCalls,
			callTime: r.callTime, probeTime: r.probeTime}
	}
	probe := c.probing
	r.redirected = false
	switch elapsed := now - r.lastCall; {
	case !probe:
		r.callTime.add(elapsed)
		r.callLost, r.slowCalls = false, 0
	case a.Working: // the earlier call arrived and its writes are being committed: sending them again would only add load
		r.probeTime.add(elapsed)
		r.lostProbes, r.notBefore = 0, now+c.backoff(0)
		return nil
	default:
		r.probeTime.add(elapsed)
		if r.callLost {
			r.callLost, r.slowCalls = false, min(r.slowCalls+1, 16)
		}
	}
	r.probeNext, r.lostProbes = false, 0
	progress := false
	for _, m := range a.Seen {
		progress = r.known.raise(m.Origin, m.Number) || progress
	}
	cmd := c.collectPieces(r, a.Down)
	r.credit = a.Credit
	r.notBefore = now + a.Wait
	switch idle := c.caughtUp(r); {
	case progress || idle || c.sentWrites == 0 && a.Credit > 0:
		if progress || idle {
			r.failures = 0
		}
		c.preferNearer(to)
	case c.sentWrites > 0: // the writes sent wait there for a dependency, or found no room
		c.countFailure(to)
		r.notBefore = max(r.notBefore, now+c.backoff(r.failures))
	}
	if !probe && r.pieces == nil && (a.Credit == 0 || c.caughtUp(r)) {
		r.notBefore = max(r.notBefore, now+Jitter(c.timing.PollInterval, c.site().self.Site, c.attempt))
	}
	return cmd
}

func (c *Forwarder) caughtUp(r *route) bool {
	if r.pieces != nil {
		return false
	}
	for _, q := range c.site().log {
		if !r.known.has(q[len(q)-1].Write.ID) {
			return false
		}
	}
	return true
}

// collectPieces collects the pieces of a state. The receipts for this site's own writes are passed on at once, the rest
// with the last piece.
func (c *Forwarder) collectPieces(r *route, update *StateUpdate) *Command {
	if update == nil {
		return nil
	}
	if r.pieces != nil && (update.After != r.pieces.Until || update.Incarnation != r.pieces.Incarnation) {
		r.pieces = nil
	}
	if r.pieces == nil && !update.Last {
		cursor := c.site().cursors[update.From]
		if update.After != cursorPosition(cursor, update.Incarnation) {
			return nil // a piece whose predecessors are missing
		}
	}
	if r.pieces != nil {
		update.After = r.pieces.After
		update.Subjects = append(r.pieces.Subjects, update.Subjects...)
		update.Writes = append(r.pieces.Writes, update.Writes...)
		update.Refused = append(r.pieces.Refused, update.Refused...)
		r.pieces = nil
	}
	switch {
	case update.Last && !c.site().wouldChange(update):
		return nil // one log entry per poll would be most of what an idle site commits
	case update.Last:
		return &Command{Down: update}
	}
	r.pieces = update
	if len(update.Judged) == 0 {
		return nil
	}
	return &Command{Down: &StateUpdate{From: update.From, Incarnation: update.Incarnation, To: update.To, Judged: update.Judged,
		Refused: update.Refused}}
}

// Failed records that the call in progress brought no answer, or a refusal.
func (c *Forwarder) Failed(now time.Duration) {
	to := c.callee
	c.callee = ""
	r := c.routes[to]
	if r == nil {
		return
	}
	c.reachable = false
	r.credit = 0 // it may have been used
	r.probeNext, r.callLost, r.redirected = true, r.callLost || !c.probing, false
	if c.probing {
		r.lostProbes++
	}
	r.notBefore = now + c.backoff(r.failures)
	c.countFailure(to)
}

// Redirected records that the called replica named another one, which can be called at once. A second redirection in a
// row counts as a failure.
func (c *Forwarder) Redirected(now time.Duration) {
	r := c.routes[c.callee]
	if r == nil || r.redirected {
		c.Failed(now)
		return
	}
	c.callee, r.redirected, r.credit, r.notBefore = "", true, 0, now
}

// backoff returns how long to wait after the given number of calls without progress.
func (c *Forwarder) backoff(failures int) time.Duration {
	return Jitter(min(c.timing.MaxRetryDelay, c.timing.RetryDelay<<min(failures, 16)), c.site().self.Site, c.attempt)
}

// countFailure counts a call without progress; after MaxFailures of them the next site above is used.
func (c *Forwarder) countFailure(to string) {
	r := c.routes[to]
	r.failures++
	if c.ancestors[c.current] == to && r.failures >= c.timing.MaxFailures {
		r.failures = 0
		c.current = (c.current + 1) % len(c.ancestors)
	}
}

// preferNearer switches back to a nearer site that answers again.
func (c *Forwarder) preferNearer(to string) {
	if i := slices.Index(c.ancestors, to); i < c.current {
		c.current = i
	}
}

// Budget limits what a site accepts from the sites below.
type Budget struct {
	Rate        float64       // writes per second, over all sites below
	Batch       int           // writes in one call
	MaxAhead    time.Duration // how far ahead time slots are given; a site that would come later asks again
	UrgentBatch int           // writes granted out of turn to a site with urgent ones
	LocalCost   int           // how many writes of other sites one of this site's own counts for
}

// CreditScheduler grants credit to the sites below, for a site's leader. Time slots are given one after the other, each
// as long as its writes take at the budget's rate, so that sites that come back at the same moment are served in
// sequence. Its state is not replicated: a new leader's scheduler knows of no credit and grants it again.
type CreditScheduler struct {
	budget   Budget
	slotsEnd time.Duration // end of the last slot given
	granted  map[string]int
	calls    map[string]uint64
}

// NewCreditScheduler returns a scheduler that has granted nothing.
func NewCreditScheduler(b Budget) *CreditScheduler {
	return &CreditScheduler{budget: b, granted: map[string]int{}, calls: map[string]uint64{}}
}

// Admit checks that a call keeps within its credit, and uses the credit up.
func (t *CreditScheduler) Admit(b *Batch) error {
	given := t.granted[b.From.Site]
	delete(t.granted, b.From.Site)
	if len(b.Writes) > given {
		return &CreditError{b.From.Site, len(b.Writes), given}
	}
	return nil
}

// CountLocalWrite records that this site commits a write of its own: slots given from now on start later by its cost.
func (t *CreditScheduler) CountLocalWrite(now time.Duration) { t.reserve(now, t.budget.LocalCost) }

func (t *CreditScheduler) reserve(now time.Duration, n int) {
	t.slotsEnd = max(t.slotsEnd, now) + time.Duration(float64(n)/t.budget.Rate*float64(time.Second))
}

// Grant returns the credit for a site's next call and how long the site must wait before it. Room is the number of
// writes that this site has room for.
func (t *CreditScheduler) Grant(now time.Duration, b *Batch, room int) (credit int, wait time.Duration) {
	site := b.From.Site
	t.calls[site]++
	wanted := min(b.Waiting, t.budget.Batch, room)
	ahead := max(0, t.slotsEnd-now)
	switch {
	case wanted <= 0 && b.Waiting > 0: // no room
		return 0, Jitter(t.budget.MaxAhead, site, t.calls[site])
	case wanted <= 0: // a write may be made before the next call
		credit = min(t.budget.UrgentBatch, room)
	case b.Urgent > 0 && ahead > 0:
		credit = min(wanted, b.Urgent, t.budget.UrgentBatch)
		t.reserve(now, credit)
	case ahead > t.budget.MaxAhead:
		return 0, Jitter(t.budget.MaxAhead, site, t.calls[site])
	default:
		credit, wait = wanted, ahead
		t.reserve(now, credit)
	}
	t.granted[site] = credit
	return credit, wait
}
