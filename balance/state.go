package balance

// This file holds what a balancer remembers and the book-keeping of it. Nothing is decided here.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Timer tokens carry the request's number above these kinds.
const (
	wakeHold      = 1 // an arrival has waited long enough for probes, or its deadline is near
	wakeSubscribe = 2 // the subscription is to be checked
	wakeLook      = 3 // servers with connections are to be looked at
	wakeBits      = 2
)

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	set      *Settings // never changed, only replaced
	classes  map[string]Class
	tenants  map[string]*tenant
	quotas   float64 // sum of the tenants' quotas
	rng      *rand.Rand
	now      time.Duration
	started  bool
	out      []Action
	fellows  int       // other processes that decide for this proxy
	servers  []*server // listed, in the order of their first listing
	byID     map[ServerID]*server
	bans     map[ServerID]time.Duration // servers out by hand, since when
	back     map[ServerID]time.Duration // servers that were, and when they came back
	requests map[RequestID]*request
	waiting  []*request // arrivals held, oldest first
	fit      []*server  // scratch of choose

	surveyAt    time.Duration // when all estimates were last computed
	ready       int           // servers that are ready, and those of them set aside
	sick        int
	room        float64 // connections that fit below the ceiling
	mean        float64 // mean ratio of the ready servers
	meanCap     float64 // mean capacity in connections
	meanWeight  float64 // mean listed weight
	meanLoad    float64 // mean expected load of arrivals
	loadsSeen   float64
	told        map[string]load // of the connections of each class
	recent      rate            // all arrivals, over the life of a report
	open        float64         // connections of our own
	failed      rate            // attempts that ended with an error or no answer
	stood       rate            // attempts whose connection stood
	setUp       rate            // how long the latest connections took to stand, in nanoseconds
	probeTokens float64
	turnedAway  int           // arrivals that were since the last attempt
	triedAt     time.Duration // when that was
	subscribed  bool
	askFails    int
	looking     bool
	noted       bool          // notes tell how long messages take
	setUpAim    time.Duration // the shortest aim of a class
	aim         time.Duration // the shortest in which messages are wanted; 0: not told
}

type server struct {
	Listing           // as it counts
	told      Listing // as the lists have it
	listed    bool
	hash      uint64 // of the name
	reported  bool
	report    Report
	ratio     float64
	takenAt   time.Duration // when the report was taken, as far as known
	heardAt   time.Duration // when it was last confirmed
	probing   bool
	probedAt  time.Duration
	capacity  float64 // connections of mean load that fill it; 0: unknown
	changes   []change
	own       float64    // sum of changes
	estimate  float64    // of the ratio of load to capacity
	rank      float64    // estimate plus the cost of crossing to another zone, as a ratio
	conns     []*request // our own open connections there, in the order of their standing
	strikes   int
	asideTo   time.Duration
	unproven  bool          // after a strike: no probe was answered yet
	silent    bool          // after a strike: it did not even answer
	erring    float64       // the part of the latest attempts that it answered with an error
	slowFrom  time.Duration // messages take too long since then; 0: they do not
	slowAt    time.Duration // when that was last told
	delay     time.Duration // how long a message took then
	drainFrom time.Duration // when it was told to drain
	eased     time.Duration // when connections were last moved off
	settingUp int           // attempts of ours that are not up yet
	pace      time.Duration // how long it takes to set one up; 0: unknown
	budget    float64       // connections that it may be sent while it is cold, by this balancer
	fedAt     time.Duration // when that was last added to
	admitted  float64       // the part of balancers that may send it one at a time, at most 1
}

// load sums up what servers told of connections, each counted once.
type load struct {
	count float64
	sum   float64 // microseconds of work a second
}

// rate is a count that fades.
type rate struct {
	count float64
	at    time.Duration
}

// add counts n at now; per is the time over which the count fades.
func (r *rate) add(n float64, now, per time.Duration) { r.count, r.at = r.over(now, per)+n, now }

// over returns how many were counted in the last stretch of length per.
func (r *rate) over(now, per time.Duration) float64 {
	return r.count * math.Exp(-float64(now-r.at)/float64(per))
}

// change is a connection of our own placed on a server (positive) or lost from it.
type change struct {
	at     time.Duration
	weight float64
}

type attempt struct {
	server      *server
	sentAt      time.Duration
	ahead       int // connections that the server was setting up then
	pending     bool
	established bool
}

// tenant counts the open connections of one tenant.
type tenant struct {
	quota float64
	open  int
}

type request struct {
	Arrival
	set      *Settings // that it came under
	class    Class
	tenant   *tenant // nil where there are no shares
	weight   float64
	deadline time.Duration
	holdTo   time.Duration
	homes    []*server // where connections of its group gather, the first choice first
	asked    []*server
	attempts []attempt
	erred    bool // a server answered it with an error
	mayRun   int  // first attempt that may have run, or -1
	over     bool // answered or told to be over
	held     bool
	told     bool // what load it brings
}

// Aside returns the listed servers that are set aside for their failures now, in the order in which they were first listed.
func (b *Balancer) Aside() (all []ServerID) {
	for _, s := range b.servers {
		if s.listed && b.aside(s) {
			all = append(all, s.Server)
		}
	}
	return all
}

func (b *Balancer) act(a Action) { b.out = append(b.out, a) }

func (b *Balancer) wake(after time.Duration, id RequestID, kind uint64) {
	b.act(Wake{After: max(after, 0), Token: uint64(id)<<wakeBits | kind})
}

// look begins to look after the servers at a steady pace.
func (b *Balancer) look() {
	if !b.looking {
		b.looking = true
		b.wake(reportLife/2, 0, wakeLook)
	}
}

// jitter returns a random time below d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

// note records a connection of our own placed or lost.
func (b *Balancer) note(s *server, weight float64) {
	b.forget(s, b.now-b.settle())
	s.changes = append(s.changes, change{b.now, weight})
	s.own += weight
	b.assess(s)
}

// forget drops the changes up to a time: a later report holds them.
func (b *Balancer) forget(s *server, upTo time.Duration) {
	n := 0
	for n < len(s.changes) && s.changes[n].at <= upTo {
		s.own -= s.changes[n].weight
		n++
	}
	if s.changes = append(s.changes[:0], s.changes[n:]...); len(s.changes) == 0 {
		s.own = 0
	}
}

// repeatUntil returns until when a request may be sent once more, or 0 where no time tells: what may have run of a keyed class
// is dropped by the servers within a window that counts from the first such attempt.
func (r *request) repeatUntil() time.Duration {
	if r.mayRun < 0 || r.class.Effect != Keyed {
		return 0
	}
	return r.attempts[r.mayRun].sentAt + r.class.Window
}

// release takes a request off the waiting list.
func (b *Balancer) release(r *request) {
	if !r.held {
		return
	}
	r.held = false
	for i, w := range b.waiting {
		if w == r {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
}

// close marks a request as over and frees it once no attempt is pending.
func (b *Balancer) close(r *request) {
	r.over = true
	b.release(r)
	for i := range r.attempts {
		if r.attempts[i].pending {
			return
		}
	}
	delete(b.requests, r.Request)
}

// lookup returns a pending attempt, or nil for news of what is not held.
func (b *Balancer) lookup(id RequestID, n int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].pending {
		return nil, nil
	}
	return r, &r.attempts[n]
}

// enlist and delist keep the list of open connections of a server.
func (s *server) enlist(r *request) { s.conns = append(s.conns, r) }

func (s *server) delist(r *request) {
	if i := slices.Index(s.conns, r); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
}

// opened and closed count a connection of our own.
func (b *Balancer) opened(r *request) {
	b.open += r.weight
	if r.tenant != nil {
		r.tenant.open++
	}
}

func (b *Balancer) closed(r *request) {
	b.open -= r.weight
	if r.tenant != nil {
		r.tenant.open--
	}
}

// hashOf is FNV-1a, the same in every balancer.
func hashOf(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// mix scrambles a number so that sums of hashes order servers differently for each group (splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// onInherited takes on a connection that stands already.
func (b *Balancer) onInherited(e Inherited) {
	s := b.byID[e.Server]
	if s == nil {
		s = &server{Listing: Listing{Server: e.Server, State: Gone}}
	}
	r := &request{Arrival: e.Arrival, set: b.set, class: b.classes[e.Class], mayRun: 0, weight: b.weigh(e.Load)}
	r.tenant = b.tenants[e.Tenant]
	r.attempts = []attempt{{server: s, sentAt: b.now, pending: true, established: true}}
	b.requests[e.Request] = r
	s.enlist(r)
	b.opened(r)
}

// weigh turns an expected load into a multiple of the mean load of arrivals.
func (b *Balancer) weigh(load float64) float64 {
	if !(load > 0) || math.IsInf(load, 0) {
		return 1
	}
	b.loadsSeen++
	b.meanLoad += (load - b.meanLoad) / b.loadsSeen
	return load / b.meanLoad
}

// pick returns the server with the lowest value among those that are fit, ties at random.
func (b *Balancer) pick(from []*server, value func(*server) (float64, bool)) *server {
	var best *server
	lowest, ties := math.Inf(1), 0
	for _, s := range from {
		v, fit := value(s)
		if !fit || v > lowest {
			continue
		}
		if v < lowest {
			lowest, ties = v, 0
		}
		if ties++; ties == 1 || b.rng.IntN(ties) == 0 {
			best = s
		}
	}
	return best
}

// draw picks a server by chance, in proportion to its weight.
func (b *Balancer) draw(from []*server, weight func(*server) float64) (drawn *server) {
	total := 0.0
	for _, s := range from {
		if w := weight(s); w > 0 {
			if total += w; b.rng.Float64()*total < w {
				drawn = s
			}
		}
	}
	return drawn
}

// likely returns up to n servers with the lowest estimates among those worth a probe, for a group with such homes. A
// cold server that may be sent nothing now is not.
func (b *Balancer) likely(n int, homes []*server) []*server {
	if n < 1 || len(b.servers) == 0 {
		return nil
	}
	lowest := make([]*server, 0, n+1)
	rank := func(s *server) float64 { return s.rank - b.homeStep(homes, s) }
	from := b.rng.IntN(len(b.servers)) // so that equal ones take turns
	for i := range b.servers {
		s := b.servers[(from+i)%len(b.servers)]
		if !b.stale(s) || b.aside(s) || len(lowest) == n && rank(s) >= rank(lowest[n-1]) || !b.coldRoom(s, 0) {
			continue
		}
		at := len(lowest)
		for at > 0 && rank(lowest[at-1]) > rank(s) {
			at--
		}
		lowest = slices.Insert(lowest, at, s)
		lowest = lowest[:min(len(lowest), n)]
	}
	return lowest
}

// wasSetUp takes note that an attempt no longer waits to be set up, and of how long each one before it took, where
// that can be told.
func (b *Balancer) wasSetUp(a *attempt, told bool) {
	s := a.server
	s.settingUp = max(0, s.settingUp-1)
	if !told {
		return
	}
	took := (b.now - a.sentAt) / time.Duration(a.ahead+1)
	if s.pace == 0 {
		s.pace = took
	}
	s.pace = max(s.pace+(took-s.pace)/4, time.Microsecond)
}

// standsWithin is how long an attempt takes to stand, as the latest that stand tell. It fades, so that it is tried again.
func (b *Balancer) standsWithin() time.Duration {
	return time.Duration(b.setUp.over(b.now, throttleFor))
}

// Operators want no node to turn away all that it gets for mostFor, mostOf arrivals or more.
const (
	mostOf  = 15
	mostFor = 4 * time.Second
)

// turnAway counts an arrival that is answered with no attempt.
func (b *Balancer) turnAway(r *request) {
	if len(r.attempts) == 0 {
		b.turnedAway++
	}
}

// starves says whether the next arrival has to be sent on, since too many have been turned away on end otherwise. What comes
// within the life of a report is left for it to come in.
func (b *Balancer) starves() bool {
	return b.turnedAway >= mostOf-1 && b.now-b.triedAt >= mostFor-reportLife
}

// queueTime is how long an arrival that is held now would wait for its turn.
func (b *Balancer) queueTime() time.Duration {
	perSecond := 0.0
	for _, s := range b.servers {
		if s.State == Ready && s.pace > 0 && !b.aside(s) {
			perSecond += float64(time.Second) / float64(s.pace)
		}
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(len(b.waiting)) / perSecond * float64(time.Second))
}

// span is over what time arrivals are counted: the life of a report, or several where so many balancers
// share the traffic that one of them sees few in that time: the one just being placed would count for all.
func (b *Balancer) span() time.Duration {
	return reportLife * time.Duration(min(max(1, b.set.Balancers/8), 4))
}

// coming is how many arrivals come to the other balancers over the life of a report.
func (b *Balancer) coming() float64 {
	own := b.recent.over(b.now, b.span()) * float64(reportLife) / float64(b.span())
	return own * float64(b.set.Balancers-1)
}

// retryWaiting places held requests whose wait is over.
func (b *Balancer) retryWaiting() {
	for _, r := range append([]*request(nil), b.waiting...) {
		if r.held && !b.awaitsProbes(r) {
			b.place(r)
		}
	}
}

func (b *Balancer) awaitsProbes(r *request) bool {
	if b.now >= r.holdTo {
		return false
	}
	for _, s := range r.asked {
		if s.probing && s.listed {
			return true
		}
	}
	return false
}

// admit places what waits, the oldest first, as long as there is room.
func (b *Balancer) admit() {
	for len(b.waiting) > 0 {
		r := b.waiting[0]
		if b.awaitsProbes(r) {
			return
		}
		if b.place(r); r.held {
			return
		}
	}
}

// reportedRatio reads load over capacity out of a report, from the best value that it holds.
func (b *Balancer) reportedRatio(s *server, rep Report) (float64, bool) {
	ratio := -1.0
	switch {
	case rep.Known&HasRatio != 0:
		ratio = rep.Ratio
	case rep.Known&HasBusy != 0:
		ratio = rep.Busy
	case rep.Known&HasHeld != 0:
		ratio = rep.Held / b.capacityOf(s)
	}
	return ratio, ratio >= 0 && !math.IsInf(ratio, 0)
}

// settle is the time over which a server's load can change wholly: that of several reports, or the warm-up time
// that the settings give where it is longer. Where servers warm up within a second, what they hold does not turn
// over any faster.
func (b *Balancer) settle() time.Duration { return max(b.set.Safety.ColdFor, 8*reportLife) }

func (b *Balancer) decay(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(b.settle()))
}

// expectedCapacity is how many connections fill one of n servers before reports tell: what the tenants' quotas,
// which share out the fleet, come to, or a few dozen.
func (b *Balancer) expectedCapacity(n float64) float64 {
	if b.quotas > 0 {
		return b.quotas / n
	}
	return neutralCapacity
}

// capacityOf returns how many connections of mean load fill a server.
func (b *Balancer) capacityOf(s *server) float64 {
	switch {
	case s.capacity > 0:
		return s.capacity
	case b.meanCap == 0:
		return neutralCapacity
	case b.set.WeightsNominal && b.meanWeight > 0:
		return b.meanCap * s.Weight / b.meanWeight
	}
	return b.meanCap
}

func (b *Balancer) stale(s *server) bool {
	return s.State == Ready && !s.probing && (!s.reported || b.now-s.heardAt >= reportLife/2)
}

func (b *Balancer) fresh(s *server) bool { return s.reported && b.now-s.heardAt < 2*reportLife }

// sweep frees the servers that are no longer listed.
func (b *Balancer) sweep() {
	kept := b.servers[:0]
	for _, s := range b.servers {
		if s.listed {
			kept = append(kept, s)
		} else {
			s.State = Gone
			delete(b.byID, s.Server)
		}
	}
	clear(b.servers[len(kept):])
	b.servers = kept
}

// fewTold is how many connections of a class tell nothing of the class yet: loads differ several-fold from one to the
// next.
const fewTold = 8

// onLoadChanged takes note of the load that the connections of a class bring. What they bring later on is not counted:
// it tells of those that last.
func (b *Balancer) onLoadChanged(e LoadChanged) {
	r := b.requests[e.Request]
	if r == nil || r.told || !(e.Load > 0) || math.IsInf(e.Load, 0) {
		return
	}
	r.told = true
	of := b.told[r.Class]
	b.told[r.Class] = load{of.count + 1, of.sum + e.Load}
}

// yield is the worth that connections of a class bring for their load, as a multiple of what all together bring for
// theirs; 1 where that is not known.
func (b *Balancer) yield(c Class) float64 {
	var worth, sum float64
	for _, each := range b.set.Classes {
		of := b.told[each.Name]
		worth, sum = worth+of.count*each.Worth, sum+of.sum
	}
	of := b.told[c.Name]
	if of.count < fewTold || worth == 0 {
		return 1
	}
	return of.count * c.Worth / of.sum * sum / worth
}
