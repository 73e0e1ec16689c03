package balance

// This file holds the state of a balancer and its bookkeeping. It makes no decisions.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of timers, in the lowest bits of a timer token. The request ID is in the bits above.
const (
	timerHold        = 1 // time to place a held arrival: its wait for probes or for room is over
	timerSubscribe   = 2 // time to subscribe to the server list, unless subscribed
	timerServerCheck = 3 // time for checkServers
	timerKindBits    = 2
)

// Balancer makes the decisions for one proxy. It is not safe for concurrent use.
type Balancer struct {
	settings  *Settings // never modified, only replaced
	classes   map[string]Class
	tenants   map[string]*tenant
	quotaSum  float64 // sum of the tenants' quotas
	rng       *rand.Rand
	now       time.Duration
	started   bool
	out       []Action
	siblings  int       // number of sibling processes of the same proxy
	servers   []*server // listed, in the order of their first listing
	byID      map[ServerID]*server
	bans      map[ServerID]time.Duration // servers banned by operators, and the time of the ban
	resumedAt map[ServerID]time.Duration // servers whose ban was lifted, and the time of that
	requests  map[RequestID]*request
	waiting   []*request // requests held, oldest first
	fit       []*server  // scratch of choose

	fleetStatsAt          time.Duration // when all estimates were last computed
	ready                 int           // number of ready servers
	ejectedServers        int           // ready servers that are ejected
	spareCapacity         float64       // connections that fit below the target on all ready servers that are not ejected
	meanRatio             float64       // mean ratio of the ready servers
	meanCapacity          float64       // mean capacity in connections
	meanWeight            float64       // mean listed weight
	meanLoad              float64       // mean expected load of arrivals
	loadsSeen             float64
	classLoads            map[string]loadSum // reported loads of the connections of each class
	recentArrivals        decayingSum        // all arrivals, over arrivalWindow
	openWeight            float64            // summed weight of our own connections
	failedAttempts        decayingSum        // attempts that ended with an error or no answer
	establishedAttempts   decayingSum        // attempts whose connection was established
	recentSetUpTime       decayingSum        // how long the latest connections took to be established, in nanoseconds
	probeTokens           float64
	rejectedInRow         int           // arrivals rejected since the last attempt
	lastAttemptAt         time.Duration // time of the last attempt
	subscribed            bool
	subscribeFailures     int
	checkingServers       bool
	messagesReported      bool          // MessageLatency events report the latency of messages
	shortestLatencyTarget time.Duration // shortest latency target of all classes
	shortestMessageTarget time.Duration // shortest message latency target of all classes; 0: unknown
}

type server struct {
	Listing                 // the effective listing, with bans applied
	asListed        Listing // the entry of the server list
	listed          bool
	hash            uint64 // of the server ID
	reported        bool
	report          Report
	ratio           float64
	takenAt         time.Duration // estimated time at which the report was taken
	confirmedAt     time.Duration // when the report was last received, changed or not
	probing         bool
	probedAt        time.Duration
	capacity        float64 // connections of mean load that fill it; 0: unknown
	changes         []change
	ownChange       float64    // sum of changes
	estimate        float64    // estimated ratio of load to capacity
	rank            float64    // estimate plus the penalty for crossing to another zone, as a ratio
	conns           []*request // our own open connections, in the order of their establishment
	ejections       int
	ejectedUntil    time.Duration
	unverified      bool          // after an ejection: no probe was answered yet
	unresponsive    bool          // after an ejection: it did not respond at all
	errorRate       float64       // the moving average of errors among its attempts
	slowSince       time.Duration // since when messages take too long; 0: they do not
	slowReportedAt  time.Duration // when that was last reported
	messageDelay    time.Duration // how long a message took then
	drainingSince   time.Duration // since when it is draining
	movedOffAt      time.Duration // when connections were last moved off
	settingUp       int           // our own attempts that are not established yet
	setUpTime       time.Duration // how long the set-up of one connection takes; 0: unknown
	budget          float64       // connections that this balancer may send while the server is cold
	budgetUpdatedAt time.Duration // when the budget was last updated
	senderFraction  float64       // the fraction of balancers that may send one connection at a time, at most 1
}

// loadSum sums up the reported loads of connections, each counted once.
type loadSum struct {
	count float64
	sum   float64 // microseconds of work per second
}

// decayingSum is a sum that decays exponentially.
type decayingSum struct {
	count float64
	at    time.Duration
}

// add adds n at now; per is the time constant of the decay.
func (r *decayingSum) add(n float64, now, per time.Duration) {
	r.count, r.at = r.value(now, per)+n, now
}

// value returns the sum over about the last per.
func (r *decayingSum) value(now, per time.Duration) float64 {
	return r.count * math.Exp(-float64(now-r.at)/float64(per))
}

// change is a connection of our own, placed on a server (positive weight) or ended (negative).
type change struct {
	at     time.Duration
	weight float64
}

type attempt struct {
	server          *server
	sentAt          time.Duration
	settingUpBefore int // connections that were being set up on the server at that time
	pending         bool
	established     bool
}

// tenant counts the open connections of one tenant.
type tenant struct {
	quota float64
	open  int
}

type request struct {
	Arrival
	settings        *Settings // in force at its arrival
	class           Class
	tenant          *tenant // nil if the tenant has no quota
	weight          float64
	deadline        time.Duration
	probeWaitUntil  time.Duration
	preferred       []*server // servers preferred by its group, the first choice first
	probed          []*server
	attempts        []attempt
	errorCounted    bool // an error was counted against a server
	firstMayHaveRun int  // first attempt that may have run, or -1
	over            bool // answered, or reported as over
	held            bool
	loadCounted     bool // its reported load is counted in its class
}

// Ejected returns the listed servers that are ejected for their failures now, in the order of their first listing.
func (b *Balancer) Ejected() (all []ServerID) {
	for _, s := range b.servers {
		if s.listed && b.isEjected(s) {
			all = append(all, s.Server)
		}
	}
	return all
}

func (b *Balancer) act(a Action) { b.out = append(b.out, a) }

func (b *Balancer) setTimer(after time.Duration, id RequestID, kind uint64) {
	b.act(SetTimer{After: max(after, 0), Token: uint64(id)<<timerKindBits | kind})
}

// startServerChecks starts the periodic checks of servers, unless they are running.
func (b *Balancer) startServerChecks() {
	if !b.checkingServers {
		b.checkingServers = true
		b.setTimer(reportTTL/2, 0, timerServerCheck)
	}
}

// jitter returns a random duration below d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

// recordChange records a connection of our own that was placed or ended.
func (b *Balancer) recordChange(s *server, weight float64) {
	b.dropChanges(s, b.now-b.turnoverTime())
	s.changes = append(s.changes, change{b.now, weight})
	s.ownChange += weight
	b.updateEstimate(s)
}

// dropChanges drops the changes up to a time: the report taken then contains them.
func (b *Balancer) dropChanges(s *server, upTo time.Duration) {
	n := 0
	for n < len(s.changes) && s.changes[n].at <= upTo {
		s.ownChange -= s.changes[n].weight
		n++
	}
	if s.changes = append(s.changes[:0], s.changes[n:]...); len(s.changes) == 0 {
		s.ownChange = 0
	}
}

// repeatUntil returns the time until which a request may be repeated, or 0 if there is no limit: servers drop repeats
// of a keyed request only within a window that starts with the first attempt that may have run.
func (r *request) repeatUntil() time.Duration {
	if r.firstMayHaveRun < 0 || r.class.Effect != Keyed {
		return 0
	}
	return r.attempts[r.firstMayHaveRun].sentAt + r.class.Window
}

// release removes a request from the waiting list.
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

// close marks a request as over and drops it once no attempt is pending.
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

// lookup returns a pending attempt, or nil if an event names an attempt that is unknown or not pending.
func (b *Balancer) lookup(id RequestID, n int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].pending {
		return nil, nil
	}
	return r, &r.attempts[n]
}

// addConn and removeConn maintain the list of open connections of a server.
func (s *server) addConn(r *request) { s.conns = append(s.conns, r) }

func (s *server) removeConn(r *request) {
	if i := slices.Index(s.conns, r); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
}

// countOpened and countClosed count a connection of our own.
func (b *Balancer) countOpened(r *request) {
	b.openWeight += r.weight
	if r.tenant != nil {
		r.tenant.open++
	}
}

func (b *Balancer) countClosed(r *request) {
	b.openWeight -= r.weight
	if r.tenant != nil {
		r.tenant.open--
	}
}

// recountTenants counts the open connections of all tenants anew. Requests of a tenant that has no quota any more keep
// the one under which they arrived.
func (b *Balancer) recountTenants() {
	for _, r := range b.requests {
		t := b.tenants[r.Tenant]
		if t == nil {
			continue
		}
		if r.tenant = t; r.hasAttempt() {
			t.open++
		}
	}
}

// hasAttempt reports whether an attempt is in progress or established.
func (r *request) hasAttempt() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].pending
}

// hashOf computes FNV-1a, the same in every balancer.
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

// onInherited registers a connection that is already established.
func (b *Balancer) onInherited(e Inherited) {
	s := b.byID[e.Server]
	if s == nil {
		s = &server{Listing: Listing{Server: e.Server, State: Gone}}
	}
	r := &request{Arrival: e.Arrival, settings: b.settings, class: b.classes[e.Class], firstMayHaveRun: 0,
		weight: b.relativeLoad(e.Load)}
	r.tenant = b.tenants[e.Tenant]
	r.attempts = []attempt{{server: s, sentAt: b.now, pending: true, established: true}}
	b.requests[e.Request] = r
	s.addConn(r)
	b.countOpened(r)
}

// relativeLoad converts an expected load into a multiple of the mean load of arrivals.
func (b *Balancer) relativeLoad(load float64) float64 {
	if !(load > 0) || math.IsInf(load, 0) {
		return 1
	}
	b.loadsSeen++
	b.meanLoad += (load - b.meanLoad) / b.loadsSeen
	return load / b.meanLoad
}

// pickMin returns the server with the lowest value among those for which value returns true, ties at random.
func (b *Balancer) pickMin(from []*server, value func(*server) (float64, bool)) *server {
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

// pickWeighted picks a server at random, in proportion to its weight.
func (b *Balancer) pickWeighted(from []*server, weight func(*server) float64) (picked *server) {
	total := 0.0
	for _, s := range from {
		if w := weight(s); w > 0 {
			if total += w; b.rng.Float64()*total < w {
				picked = s
			}
		}
	}
	return picked
}

// probeCandidates returns up to n servers with the lowest ranks among those with stale reports, for a group with the
// given preferred servers. It leaves out cold servers that may get no connection now.
func (b *Balancer) probeCandidates(n int, preferred []*server) []*server {
	if n < 1 || len(b.servers) == 0 {
		return nil
	}
	lowest := make([]*server, 0, n+1)
	rank := func(s *server) float64 { return s.rank - b.preferenceBonus(preferred, s) }
	from := b.rng.IntN(len(b.servers)) // so that equal ones take turns
	for i := range b.servers {
		s := b.servers[(from+i)%len(b.servers)]
		if !b.stale(s) || b.isEjected(s) || len(lowest) == n && rank(s) >= rank(lowest[n-1]) || !b.coldServerAdmits(s, 0) {
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

// countSetUp records that an attempt no longer waits for its set-up, and, if timed, updates the set-up time of one
// connection: the attempt also waited for those that were being set up before it.
func (b *Balancer) countSetUp(a *attempt, timed bool) {
	s := a.server
	s.settingUp = max(0, s.settingUp-1)
	if !timed {
		return
	}
	took := (b.now - a.sentAt) / time.Duration(a.settingUpBefore+1)
	if s.setUpTime == 0 {
		s.setUpTime = took
	}
	s.setUpTime = max(s.setUpTime+(took-s.setUpTime)/4, time.Microsecond)
}

// expectedSetUpTime is the moving average of recent set-up times. It decays, so that attempts are made again after a
// while without any.
func (b *Balancer) expectedSetUpTime() time.Duration {
	return time.Duration(b.recentSetUpTime.value(b.now, throttleWindow))
}

// Operators require that no node rejects all its arrivals for maxRejectionTime, if these are maxRejectedInRow or more.
const (
	maxRejectedInRow = 15
	maxRejectionTime = 4 * time.Second
)

// countRejection counts an arrival that is answered without any attempt.
func (b *Balancer) countRejection(r *request) {
	if len(r.attempts) == 0 {
		b.rejectedInRow++
	}
}

// mustAdmitNext reports whether the next arrival has to be admitted because too many in a row were rejected. It does so
// one reportTTL early, to leave time for that arrival to come.
func (b *Balancer) mustAdmitNext() bool {
	return b.rejectedInRow >= maxRejectedInRow-1 && b.now-b.lastAttemptAt >= maxRejectionTime-reportTTL
}

// queueTime is how long an arrival that is held now would wait for its turn.
func (b *Balancer) queueTime() time.Duration {
	perSecond := 0.0
	for _, s := range b.servers {
		if s.State == Ready && s.setUpTime > 0 && !b.isEjected(s) {
			perSecond += float64(time.Second) / float64(s.setUpTime)
		}
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(len(b.waiting)) / perSecond * float64(time.Second))
}

// arrivalWindow is the time over which arrivals are counted: reportTTL, or a few times that if so many balancers share
// the traffic that one of them sees few arrivals in that time, and the one being placed would dominate the count.
func (b *Balancer) arrivalWindow() time.Duration {
	return reportTTL * time.Duration(min(max(1, b.settings.Balancers/8), 4))
}

// othersArrivals is the expected number of arrivals at the other balancers within reportTTL.
func (b *Balancer) othersArrivals() float64 {
	own := b.recentArrivals.value(b.now, b.arrivalWindow()) * float64(reportTTL) / float64(b.arrivalWindow())
	return own * float64(b.settings.Balancers-1)
}

// retryWaiting places held requests that no longer wait for probes.
func (b *Balancer) retryWaiting() {
	for _, r := range append([]*request(nil), b.waiting...) {
		if r.held && !b.awaitsProbes(r) {
			b.place(r)
		}
	}
}

func (b *Balancer) awaitsProbes(r *request) bool {
	if b.now >= r.probeWaitUntil {
		return false
	}
	for _, s := range r.probed {
		if s.probing && s.listed {
			return true
		}
	}
	return false
}

// placeWaiting places held requests, the oldest first, as long as there is room.
func (b *Balancer) placeWaiting() {
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

// reportedRatio derives the ratio of load to capacity from a report, using the most direct metric that it holds.
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

// turnoverTime is the time within which a server's load can change completely: the time of several reports, or the
// warm-up time of the settings if that is longer. A warm-up of less than a second does not mean a faster
// turnover of connections.
func (b *Balancer) turnoverTime() time.Duration { return max(b.settings.Safety.WarmUp, 8*reportTTL) }

func (b *Balancer) decay(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(b.turnoverTime()))
}

// expectedCapacity is how many connections fill one of n servers before reports are known: its part of the tenants'
// quotas, which add up to the fleet's capacity, or defaultCapacity without quotas.
func (b *Balancer) expectedCapacity(n float64) float64 {
	if b.quotaSum > 0 {
		return b.quotaSum / n
	}
	return defaultCapacity
}

// capacityOf returns how many connections of mean load fill a server.
func (b *Balancer) capacityOf(s *server) float64 {
	switch {
	case s.capacity > 0:
		return s.capacity
	case b.meanCapacity == 0:
		return defaultCapacity
	case b.settings.WeightsNominal && b.meanWeight > 0:
		return b.meanCapacity * s.Weight / b.meanWeight
	}
	return b.meanCapacity
}

func (b *Balancer) stale(s *server) bool {
	return s.State == Ready && !s.probing && (!s.reported || b.now-s.confirmedAt >= reportTTL/2)
}

func (b *Balancer) fresh(s *server) bool { return s.reported && b.now-s.confirmedAt < 2*reportTTL }

// removeUnlisted drops the servers that are no longer listed.
func (b *Balancer) removeUnlisted() {
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

// minLoadSamples is the number of connections of a class below which their loads are not representative of the class:
// loads differ several-fold between connections.
const minLoadSamples = 8

// onLoadChanged counts the first reported load of a connection for its class. Later reports are not counted: they would
// bias the mean towards long connections.
func (b *Balancer) onLoadChanged(e LoadChanged) {
	r := b.requests[e.Request]
	if r == nil || r.loadCounted || !(e.Load > 0) || math.IsInf(e.Load, 0) {
		return
	}
	r.loadCounted = true
	loads := b.classLoads[r.Class]
	b.classLoads[r.Class] = loadSum{loads.count + 1, loads.sum + e.Load}
}

// valuePerLoad is the value of a class's connections relative to their load, as a multiple of the same for all classes
// together; 1 if unknown.
func (b *Balancer) valuePerLoad(c Class) float64 {
	var value, sum float64
	for _, each := range b.settings.Classes {
		loads := b.classLoads[each.Name]
		value, sum = value+loads.count*each.Value, sum+loads.sum
	}
	loads := b.classLoads[c.Name]
	if loads.count < minLoadSamples || value == 0 {
		return 1
	}
	return loads.count * c.Value / loads.sum * sum / value
}
