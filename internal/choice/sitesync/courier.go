package sitesync

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pace is how calls between sites are timed.
type Pace struct {
	Poll     time.Duration // between two calls when there is nothing to send
	Retry    time.Duration // after a call that failed; doubled each time, with jitter
	Longest  time.Duration // bound of that
	Failures int           // calls in a row that fail, or bring nothing on, before the next site above is tried
	Back     time.Duration // between two tries of a nearer site while a farther one is used
	Least    time.Duration // the shortest that a call is waited for, however quick the answers were
	First    time.Duration // how long one is waited for before any was answered
	Most     time.Duration // the longest that one is waited for
}

// trips is how long answers take: the mean, and how far they stray from it, as TCP has it (RFC 6298).
type trips struct{ mean, stray time.Duration }

func (t *trips) add(took time.Duration) {
	if t.mean == 0 {
		t.mean, t.stray = max(took, 1), took/2
		return
	}
	t.stray += ((took - t.mean).Abs() - t.stray) / 4
	t.mean += (took - t.mean) / 8
}

// within returns how long an answer is waited for.
func (t *trips) within(p Pace) time.Duration {
	if t.mean == 0 {
		return min(p.First, p.Most)
	}
	return min(max(t.mean+4*t.stray, p.Least), p.Most)
}

// Jitter spreads a wait between half of it and the whole, by a hash of the site and the attempt: the same at each run,
// and different from site to site.
func Jitter(wait time.Duration, site string, attempt uint64) time.Duration {
	h := xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(site), attempt))
	return wait/2 + time.Duration(float64(wait/2)*float64(h>>11)/(1<<53))
}

// route is what a site's leader knows of a site above.
type route struct {
	life   uint64
	known  vector // how far writes are known there
	stage  *Down  // pieces of its state that are not joined yet
	credit int
	next   time.Duration // no call before
	bad    int           // calls in a row that failed or brought nothing on
	tried  time.Duration // when it was last called
	probe  bool          // a call was not answered: a question comes before the next one
	lost   bool          // it was not a question
	slow   int           // whole calls in a row that were lost though questions were answered: each doubles the wait for them
	mute   int           // questions in a row that were not answered
	sent   bool          // the last call went to a seat that named another one
	whole  trips         // of calls
	quick  trips         // of questions
}

// Courier decides for a site's leader what to send next to whom. It is soft: a new leader begins with a new one.
type Courier struct {
	site    func() *Site
	pace    Pace
	above   []string
	routes  map[string]*route
	at      int // the site above that is used
	out     string
	asked   bool // what is out is a question
	sent    int
	attempt uint64
	up      bool // the last call was answered
}

// NewCourier returns a courier for a site's state, which is read anew at each call.
func NewCourier(site func() *Site, pace Pace) *Courier {
	return NewCourierTo(site, pace, site().self.Above...)
}

// NewCourierTo returns a courier that uses some of the sites above only.
func NewCourierTo(site func() *Site, pace Pace, above ...string) *Courier {
	c := &Courier{site: site, pace: pace, above: above, routes: map[string]*route{}}
	for _, a := range c.above {
		c.routes[a] = &route{known: vector{}}
	}
	return c
}

// Offer returns what has to be committed before the next call, or nil. While no call is answered nothing is offered, so
// that evidence can still be merged.
func (c *Courier) Offer() *Command {
	if !c.up {
		return nil
	}
	return c.site().Unoffered()
}

// Next returns the next call, or how long to wait before asking again; one call is out at a time.
func (c *Courier) Next(now time.Duration) (to string, b *Batch, wait time.Duration) {
	if len(c.above) == 0 || c.out != "" {
		return "", nil, c.pace.Poll
	}
	to = c.above[c.at]
	for i, name := range c.above { // a nearer one now and then, and a farther one that waits for it
		if r := c.routes[name]; now-r.tried >= c.pace.Back && now >= r.next && (i < c.at || i > c.at && c.site().awaited(name)) {
			to = name
			break
		}
	}
	r := c.routes[to]
	if now < r.next {
		return "", nil, r.next - now
	}
	if b = c.batch(to); r.probe {
		b.Seen, b.Judged, b.Lives = nil, nil, nil // it has no writes: the credit is gone
		b.Probe = true
	}
	c.out, c.sent, c.asked = to, len(b.Writes), b.Probe
	r.tried = now
	c.attempt++
	return to, b, 0
}

// Patience returns how long the call that is out is to be waited for. A cut link is not told from one that is slow by waiting
// longer, but by a question (Batch.Probe), which is light both ways and takes no commit: it is waited for as long as
// questions took, and the call that comes next as long as calls took, doubled each time that one was lost all the same.
func (c *Courier) Patience() time.Duration {
	r := c.routes[c.out]
	switch {
	case r == nil:
		return 0
	case c.asked:
		return r.asking(c.pace)
	}
	return min(r.whole.within(c.pace)<<r.slow, c.pace.Most)
}

// asking returns how long a question is waited for. Answers may take longer than they did, and a question that is given up each
// time would never show it; so each fourth is waited for as if nothing was measured, and one for the longest each time that
// twice as many were not answered.
func (r *route) asking(p Pace) time.Duration {
	usual := r.quick.within(p)
	if r.quick.mean == 0 { // it takes no longer than a call
		usual = min(r.whole.within(p), p.First)
	}
	switch n := r.mute + 1; {
	case n >= 64 && n&(n-1) == 0:
		return p.Most
	case n%4 == 0:
		return max(usual, p.First)
	}
	return usual
}

// batch makes a call: as many writes as there is credit for and as fit, urgent ones with what they depend on first, evidence last.
func (c *Courier) batch(to string) *Batch {
	s, r := c.site(), c.routes[to]
	b := &Batch{From: s.self, Seen: s.seen.list(), Cursor: s.cursors[to]}
	b.From.Above = nil
	if r.stage != nil {
		b.Cursor = Cursor{r.life, r.stage.Until}
	}
	for lane := range s.number {
		if o := s.origin(lane); s.judged[o] > 0 {
			b.Judged = append(b.Judged, Mark{o, s.judged[o]})
		}
	}
	for _, site := range sorted(s.homes) {
		if h := s.homes[site]; site != s.self.Site {
			b.Lives = append(b.Lives, Home{site, h.Life, h.Born})
		}
	}
	lists := map[Origin][]*item{}
	todo := 0
	for o, q := range s.log {
		b.Asks = append(b.Asks, o)
		if q = q[s.log.upTo(o, r.known[o]):s.log.upTo(o, s.leaves(o))]; len(q) > 0 {
			lists[o] = q
			todo += len(q)
		}
	}
	slices.SortFunc(b.Asks, Origin.Compare)
	most, room, urgent := min(r.credit, s.limits.Batch), callBytes, 0
	full := most == 0
	take := func(w *Write) {
		if room -= len(encoded(w)); room < 0 && len(b.Writes) > 0 {
			full = true
			return
		}
		b.Writes = append(b.Writes, *w)
		full = len(b.Writes) == most
	}
	p := &picker{todo: lists, tangled: s.tangled, seen: s.seen, doubt: map[Origin]uint64{}}
	p.pick(func(o Origin) bool { return o.Urgent }, func(w *Write) bool {
		urgent++ // all of them are counted, with what they depend on
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
	b.Waiting = todo - len(b.Writes)
	b.Urgent = max(0, urgent-len(b.Writes))
	return b
}

// leaves returns up to which number an origin's writes may leave.
func (s *Site) leaves(o Origin) uint64 {
	if s.top() || !s.mine(o) {
		return math.MaxUint64
	}
	return s.offered[o.lane()]
}

// picker picks writes in an order in which they may be applied, each with what it depends on before it. Those that wait for what
// is not known here come last.
type picker struct {
	todo    map[Origin][]*item // the rest; not changed
	tangled bool
	seen    vector
	doubt   map[Origin]uint64 // from which number on an origin's writes are unsure
	unsure  []*Write
}

// pick hands the writes of some origins over by their places, until it is told that it is enough.
func (p *picker) pick(of func(Origin) bool, take func(*Write) bool) {
	for _, sure := range [2]bool{true, false} {
		for {
			o, second, any := p.first(func(o Origin) bool { return of(o) && !(sure && p.doubt[o] > 0) })
			if !any {
				break
			}
			for q := p.todo[o]; len(q) > 0 && q[0].Seq < second && !(sure && p.doubt[o] > 0); q = p.todo[o] {
				if !p.put(o, q[0].Write.ID.Number, take) || !sure && !p.waited(take) {
					return
				}
			}
		}
		if !p.waited(take) {
			return
		}
	}
}

// first returns the origin, of some, whose next write has the first place, and the place of the first one of another.
func (p *picker) first(of func(Origin) bool) (first Origin, second uint64, any bool) {
	least := uint64(math.MaxUint64)
	second = least
	for o, q := range p.todo {
		switch at := q[0].Seq; {
		case !of(o):
		case at < least:
			first, least, second = o, at, least
		default:
			second = min(second, at)
		}
	}
	return first, second, least < math.MaxUint64
}

// waited hands over what is unsure.
func (p *picker) waited(take func(*Write) bool) bool {
	list := p.unsure
	p.unsure = nil
	for _, w := range list {
		if !take(w) {
			return false
		}
	}
	return true
}

// put hands an origin's writes up to a number over, each after what it depends on, and says whether more is wanted. Those that are
// unsure wait.
func (p *picker) put(o Origin, upTo uint64, take func(*Write) bool) bool {
	for len(p.todo[o]) > 0 && p.todo[o][0].Write.ID.Number <= upTo {
		w := p.todo[o][0].Write
		if p.todo[o] = p.todo[o][1:]; len(p.todo[o]) == 0 {
			delete(p.todo, o)
		}
		unknown := p.doubt[o] > 0
		for _, m := range w.After {
			if !p.put(m.Origin, m.Number, take) {
				return false
			}
			unknown = unknown || p.tangled && (m.Number > p.seen[m.Origin] || p.doubt[m.Origin] > 0 && m.Number >= p.doubt[m.Origin])
		}
		if !unknown {
			if !take(w) {
				return false
			}
			continue
		}
		if p.doubt[o] == 0 {
			p.doubt[o] = w.ID.Number
		}
		p.unsure = append(p.unsure, w)
	}
	return true
}

// Answered takes the answer to the call that is out in, and returns what to commit, or nil.
func (c *Courier) Answered(now time.Duration, a *Answer) *Command {
	to := c.out
	c.out = ""
	r := c.routes[to]
	if r == nil || a.From != to {
		return nil
	}
	c.up = true
	if r.life != a.Life {
		*r = route{life: a.Life, known: vector{}, tried: r.tried, lost: r.lost, slow: r.slow, whole: r.whole, quick: r.quick}
	}
	probe := c.asked
	r.sent = false
	switch took := now - r.tried; {
	case !probe:
		r.whole.add(took)
		r.lost, r.slow = false, 0
	case a.Working: // the call came, and its writes are being agreed on: to send them again would only add to that
		r.quick.add(took)
		r.mute, r.next = 0, now+c.later(0)
		return nil
	default:
		r.quick.add(took)
		if r.lost {
			r.lost, r.slow = false, min(r.slow+1, 16)
		}
	}
	r.probe, r.mute = false, 0
	on := false
	for _, m := range a.Seen {
		on = r.known.raise(m.Origin, m.Number) || on
	}
	cmd := c.stage(r, a.Down)
	r.credit = a.Credit
	r.next = now + a.Wait
	switch idle := c.nothingLeft(r); {
	case on || idle || c.sent == 0 && a.Credit > 0:
		if on || idle {
			r.bad = 0
		}
		c.prefer(to)
	case c.sent > 0: // what was sent waits there for something, or finds no room
		c.worse(to)
		r.next = max(r.next, now+c.later(r.bad))
	}
	if !probe && r.stage == nil && (a.Credit == 0 || c.nothingLeft(r)) {
		r.next = max(r.next, now+Jitter(c.pace.Poll, c.site().self.Site, c.attempt))
	}
	return cmd
}

func (c *Courier) nothingLeft(r *route) bool {
	if r.stage != nil {
		return false
	}
	for _, q := range c.site().log {
		if !r.known.has(q[len(q)-1].Write.ID) {
			return false
		}
	}
	return true
}

// stage collects the pieces of a state. The word on this site's own writes goes on at once, the rest with the last piece.
func (c *Courier) stage(r *route, d *Down) *Command {
	if d == nil {
		return nil
	}
	if r.stage != nil && (d.After != r.stage.Until || d.Life != r.stage.Life) {
		r.stage = nil
	}
	if r.stage == nil && !d.Last {
		cur := c.site().cursors[d.From]
		if d.After != at(cur, d.Life) {
			return nil // a piece without those before it
		}
	}
	if r.stage != nil {
		d.After = r.stage.After
		d.Things = append(r.stage.Things, d.Things...)
		d.Writes = append(r.stage.Writes, d.Writes...)
		d.Refused = append(r.stage.Refused, d.Refused...)
		r.stage = nil
	}
	switch {
	case d.Last && !c.site().brings(d):
		return nil // an entry each time that a site asks would be most of what an idle one commits
	case d.Last:
		return &Command{Down: d}
	}
	r.stage = d
	if len(d.Judged) == 0 {
		return nil
	}
	return &Command{Down: &Down{From: d.From, Life: d.Life, To: d.To, Judged: d.Judged, Refused: d.Refused}}
}

// Failed takes in that the call that is out brought no answer, or a refusal.
func (c *Courier) Failed(now time.Duration) {
	to := c.out
	c.out = ""
	r := c.routes[to]
	if r == nil {
		return
	}
	c.up = false
	r.credit = 0 // it may have been used
	r.probe, r.lost, r.sent = true, r.lost || !c.asked, false
	if c.asked {
		r.mute++
	}
	r.next = now + c.later(r.bad)
	c.worse(to)
}

// Elsewhere takes in that the seat that was called names another one, which can be called at once; if that one does the same, it
// is a failure like others.
func (c *Courier) Elsewhere(now time.Duration) {
	r := c.routes[c.out]
	if r == nil || r.sent {
		c.Failed(now)
		return
	}
	c.out, r.sent, r.credit, r.next = "", true, 0, now
}

// later returns how long to wait after so many calls that brought nothing.
func (c *Courier) later(bad int) time.Duration {
	return Jitter(min(c.pace.Longest, c.pace.Retry<<min(bad, 16)), c.site().self.Site, c.attempt)
}

// worse counts a call that brought nothing on; after enough of them the next site above is used.
func (c *Courier) worse(to string) {
	r := c.routes[to]
	r.bad++
	if c.above[c.at] == to && r.bad >= c.pace.Failures {
		r.bad = 0
		c.at = (c.at + 1) % len(c.above)
	}
}

// prefer goes back to a nearer site that answers again.
func (c *Courier) prefer(to string) {
	if i := slices.Index(c.above, to); i < c.at {
		c.at = i
	}
}

// Budget bounds what a site takes from below.
type Budget struct {
	Rate   float64       // writes a second, over all sites below
	Batch  int           // writes that one call may bring
	Most   time.Duration // the farthest ahead that a turn is given; who would come later asks again
	Urgent int           // writes given at once to whom urgent ones wait at, out of turn
	Live   int           // how many writes of others a write of this site's own counts for
}

// Teller gives credit to the sites below, for a site's leader. Turns are given one after the other, each as long as its
// writes take at the budget's rate, so that sites that come back at once are served one after the other. It is soft: a new
// leader's teller knows of no credit and gives it anew.
type Teller struct {
	budget Budget
	next   time.Duration // the end of the last turn given
	given  map[string]int
	calls  map[string]uint64
}

// NewTeller returns a teller that has given nothing.
func NewTeller(b Budget) *Teller {
	return &Teller{budget: b, given: map[string]int{}, calls: map[string]uint64{}}
}

// Admit says whether a call keeps to its credit, which it uses up.
func (t *Teller) Admit(b *Batch) error {
	given := t.given[b.From.Site]
	delete(t.given, b.From.Site)
	if len(b.Writes) > given {
		return &CreditError{b.From.Site, len(b.Writes), given}
	}
	return nil
}

// Live takes in that this site commits a write of its own: turns given from now on come later by it.
func (t *Teller) Live(now time.Duration) { t.take(now, t.budget.Live) }

func (t *Teller) take(now time.Duration, n int) {
	t.next = max(t.next, now) + time.Duration(float64(n)/t.budget.Rate*float64(time.Second))
}

// Grant returns the credit for a site's next call and how long it is to wait before it, given how many writes this site has
// room for.
func (t *Teller) Grant(now time.Duration, b *Batch, room int) (credit int, wait time.Duration) {
	site := b.From.Site
	t.calls[site]++
	want := min(b.Waiting, t.budget.Batch, room)
	ahead := max(0, t.next-now)
	switch {
	case want <= 0 && b.Waiting > 0: // no room
		return 0, Jitter(t.budget.Most, site, t.calls[site])
	case want <= 0: // something may be written before the next call
		credit = min(t.budget.Urgent, room)
	case b.Urgent > 0 && ahead > 0:
		credit = min(want, b.Urgent, t.budget.Urgent)
		t.take(now, credit)
	case ahead > t.budget.Most:
		return 0, Jitter(t.budget.Most, site, t.calls[site])
	default:
		credit, wait = want, ahead
		t.take(now, credit)
	}
	t.given[site] = credit
	return credit, wait
}
