package balance

// This file holds every decision; the interface (settings, events, actions) is in api.go.
//
// What a balancer remembers, and the book-keeping of it, is in state.go.
//
// The ordinary path is least ratio routing: place ranks all ready servers by the estimate of load over
// capacity and takes the lowest, ties at random; a placed connection stays put; after a refusal the next
// lowest is tried. The parts, in order: entry, membership, ratio estimate, probes, ranking, attempts and
// answers, health, moves, cold servers, discovery, admission.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// neutralCapacity is how many connections fill a server until reports tell: a few dozen, as
	// for most servers of long-lived connections. It matters for the first moments only.
	neutralCapacity = 20
	// probeSpend bounds what probes may cost, as a part of the value of the service: a percent or two is
	// worth a choice made on fresh reports, whatever the fleet.
	probeSpend = 0.01
	// maxProbes bounds the probes for one arrival: beyond some eight candidates the lowest of a random
	// handful hardly gets any lower.
	maxProbes = 8
	// reportLife is how old a report may be taken for until the balancer knows better: load reports are
	// commonly refreshed about once a second.
	reportLife = time.Second
	// holdPart is the part of a class's aim for which an arrival may wait for probes. Small, so that most of
	// the aim is left for a second attempt.
	holdPart = 8
	// ceiling is the ratio up to which servers are filled. Load is uneven and changes, and reports are late
	// and noisy, so a server filled to 1 is beyond it half of the time, and then serves nobody.
	ceiling = 0.8
	// crossingRatio turns the price of crossing zones into a ratio, in units of the room that the fleet has:
	// a price of a few hundredths is a modest step while there is room, and nothing near the ceiling.
	crossingRatio = 6
	// groupRatio is what sharing a server with its group is worth to a connection, as a ratio, in units of
	// the room that the fleet has; groupHomes, or one server in groupPart where that is more, is over how
	// many of a zone a group spreads first: what all send to one unseen grows with the fleet.
	groupRatio = 1.0
	groupHomes = 3
	groupPart  = 7
	dozen      = 12
	// moveLeast is the part of its connections that a balancer moves off a slow server at a time when no
	// report tells the excess.
	moveLeast = 0.2
	// spacious is the mean ratio up to which room is made for what has piled up on a server: in a fuller
	// fleet, what moves only jams the next server.
	spacious = 0.6
	// throttleFor is over what time failed attempts are weighed against those that stand: a few rounds of
	// attempts, so that a single burst does not decide.
	throttleFor = 3 * reportLife
	// fewSetUps is how many connections may wait to be set up at a server in any case.
	fewSetUps = 8
	// erringMost is the part of its attempts that a server may answer with an error before it is set aside,
	// and erringStep how much each one counts: half a dozen in a row.
	erringMost = 0.75
	erringStep = 0.2
	// overShare is the part of the ceiling up to which traffic beyond a tenant's share is let in, or what
	// brings hardly any worth for its load: the rest is kept for what is worth more.
	overShare = 0.75
	// coldCaution is the part of a cold server's budget that is used. The other half covers what is
	// estimated: how many connections fill the server, how heavy they are, the spread of machines.
	coldCaution = 0.5
)

// New returns a balancer with the given settings. All its chance comes from seed.
func New(set Settings, seed uint64) *Balancer {
	b := &Balancer{
		rng:      rand.New(rand.NewPCG(seed, seed)),
		byID:     make(map[ServerID]*server),
		bans:     make(map[ServerID]time.Duration),
		back:     make(map[ServerID]time.Duration),
		requests: make(map[RequestID]*request),
		tenants:  make(map[string]*tenant),
		told:     make(map[string]load),
	}
	b.adopt(set)
	return b
}

// adopt takes settings up for all that comes from now on. What a tenant has open stays counted.
func (b *Balancer) adopt(set Settings) {
	set.Balancers = max(1, set.Balancers)
	set.MaxAttempts = max(1, set.MaxAttempts)
	b.set, b.classes = &set, make(map[string]Class, len(set.Classes))
	b.quotas, b.setUpAim, b.aim = 0, 0, 0
	before := b.tenants
	b.tenants = make(map[string]*tenant)
	for _, t := range set.Tenants {
		if b.quotas += max(0, t.Quota); t.Quota > 0 {
			b.tenants[t.Name] = &tenant{}
			if before[t.Name] != nil {
				b.tenants[t.Name] = before[t.Name]
			}
			b.tenants[t.Name].quota = t.Quota
		}
	}
	for _, c := range set.Classes {
		b.classes[c.Name] = c
		if b.setUpAim == 0 || c.Aim > 0 && c.Aim < b.setUpAim {
			b.setUpAim = c.Aim
		}
		if c.MessageAim > 0 && (b.aim == 0 || c.MessageAim < b.aim) {
			b.aim = c.MessageAim
		}
	}
	if b.started && set.Probes {
		b.look()
	}
}

// Handle takes one event that happened at now and returns the actions that answer it. The slice is valid
// until the next call.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now = max(b.now, now)
	b.out = b.out[:0]
	if !b.started {
		b.start()
	}
	switch e := ev.(type) {
	case ServerList:
		b.onList(e)
	case Suspend:
		b.onSuspend(e.Server)
	case Resume:
		b.onResume(e.Server)
	case Retuned:
		b.adopt(e.Settings)
	case Fellows:
		b.fellows = max(0, e.Processes)
	case Arrival:
		b.onArrival(e)
	case Inherited:
		b.onInherited(e)
	case Established:
		b.onEstablished(e)
	case Ended:
		b.onEnded(e)
	case Departed:
		if r := b.requests[e.Request]; r != nil {
			b.close(r)
		}
	case Woken:
		b.onWoken(e)
	case Probed:
		b.onProbed(e)
	case MessagesSlow:
		b.onMessagesSlow(e)
	case LoadChanged:
		b.onLoadChanged(e)
	}
	return b.out
}

func (b *Balancer) start() {
	b.started = true
	if b.set.Probes {
		b.look()
	}
	if b.set.ListOnRequest {
		b.wake(b.jitter(b.set.Safety.AskWithin/32), 0, wakeSubscribe)
	}
}

func (b *Balancer) onWoken(e Woken) {
	switch e.Token & (1<<wakeBits - 1) {
	case wakeHold:
		if r := b.requests[RequestID(e.Token>>wakeBits)]; r != nil && r.held {
			b.place(r)
		}
	case wakeSubscribe:
		b.checkSubscription()
	case wakeLook:
		b.lookAfter()
	}
}

// ---- Membership ----

func (b *Balancer) onList(e ServerList) {
	b.onDiscovery(e.Kind)
	if e.Kind == ListFailed {
		return
	}
	if e.Kind != ListChanges {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	for _, entry := range e.Entries {
		b.learn(entry)
	}
	b.sweep()
	b.surveyAt = 0
	b.retryWaiting()
}

// learn takes one entry of a list. A server that started again is a new one under the old name: what was
// known of its load, health and capacity is forgotten.
func (b *Balancer) learn(entry Listing) {
	if !(entry.Weight > 0) || math.IsInf(entry.Weight, 0) {
		entry.Weight = 1
	}
	s := b.byID[entry.Server]
	switch {
	case entry.State == Gone:
		if s != nil {
			s.listed = false
		}
		return
	case s == nil:
		s = &server{hash: hashOf(string(entry.Server)), fedAt: b.now}
		b.byID[entry.Server] = s
		b.servers = append(b.servers, s)
	case s.told.Started != entry.Started:
		*s = server{probing: s.probing, hash: s.hash, fedAt: b.now}
	}
	s.told, s.listed = entry, true
	b.present(s)
}

// present has a server count as what the list says, less what operators say by hand: one that is out drains,
// and one that came back is cold from then on.
func (b *Balancer) present(s *server) {
	was := s.State
	s.Listing = s.told
	if _, out := b.bans[s.Server]; out && s.State == Ready {
		s.State = Draining
	}
	s.Started = max(s.Started, b.back[s.Server])
	if s.State == Draining && was != Draining {
		s.drainFrom = b.now
		b.look()
	}
}

// onSuspend takes a server out by hand. The ban is kept apart from the list, which may drop the server and
// name it again meanwhile.
func (b *Balancer) onSuspend(id ServerID) {
	if _, out := b.bans[id]; out {
		return
	}
	b.bans[id] = b.now
	delete(b.back, id)
	if s := b.byID[id]; s != nil {
		b.present(s)
		b.surveyAt = 0
	}
}

// onResume takes a ban back. The server was most likely started anew while it was out, so that nothing known
// of it holds any more; if it may be used, it is probed at once.
func (b *Balancer) onResume(id ServerID) {
	since, out := b.bans[id]
	if !out {
		return
	}
	delete(b.bans, id)
	s := b.byID[id]
	if s == nil || s.told.Started <= since {
		b.back[id] = b.now
	}
	if s == nil {
		return
	}
	*s = server{told: s.told, listed: true, probing: s.probing, hash: s.hash, conns: s.conns, fedAt: b.now}
	if b.present(s); b.set.Probes && s.State == Ready && !s.probing {
		b.probe(s)
	}
	b.surveyAt = 0
	b.retryWaiting()
}

// ---- Ratio estimate ----

// survey computes the figures of the whole fleet and every estimate, unless that was done a moment ago: what
// changes in between is kept up to date server by server.
func (b *Balancer) survey() {
	if b.surveyAt > 0 && b.now-b.surveyAt < reportLife/50 {
		return
	}
	b.surveyAt = b.now
	var ratio, fresh, capacity, known, weight float64
	b.ready, b.sick = 0, 0
	for _, s := range b.servers {
		if s.State != Ready {
			continue
		}
		b.ready++
		weight += s.Weight
		if b.aside(s) {
			b.sick++
		}
		if s.reported {
			w := b.decay(b.now - s.takenAt)
			ratio += w * s.ratio
			fresh += w
		}
		if s.capacity > 0 {
			capacity += s.capacity
			known++
		}
	}
	n := float64(max(1, b.ready))
	b.meanWeight, b.meanCap = weight/n, b.expectedCapacity(n)
	if fresh > 0 {
		b.mean = ratio / fresh
	}
	if known > 0 {
		b.meanCap = capacity / known
	} else if b.mean > 0 && b.quotas == 0 {
		// Reports without a count: the tier's connections, taken as ours times the balancers, make the ratio.
		// A balancer that has just started holds few of many.
		b.meanCap = max(b.meanCap/2, b.open*float64(b.set.Balancers)/(n*b.mean))
	}
	b.room = 0
	for _, s := range b.servers {
		b.assess(s)
		if s.State == Ready && !b.aside(s) {
			b.room += max(0, ceiling-s.estimate) * b.capacityOf(s)
		}
	}
}

// assess estimates the ratio of load to capacity that a server has now: its last report, which counts for
// less the older it is, plus what this balancer placed and lost since the report was taken. A server without
// a report is not empty: it counts as the mean of its peers, up to which one that has just started fills.
func (b *Balancer) assess(s *server) {
	ratio := b.mean
	if age := b.now - s.Started; s.Started > 0 && age < b.settle() {
		ratio *= max(0, float64(age)/float64(b.settle()))
	}
	if s.reported {
		ratio += (s.ratio - ratio) * b.decay(b.now-s.takenAt)
	}
	s.estimate = max(0, ratio+s.own/b.capacityOf(s))
	if s.slowFrom > 0 && b.now-s.slowAt < 2*reportLife {
		s.estimate = max(s.estimate, ceiling) // its messages say that it is full, whatever an old report says
	}
	s.rank = s.estimate
	if s.Zone != b.set.Zone {
		s.rank += crossingRatio * b.set.Prices.CrossZone * max(0, ceiling-b.mean)
	}
}

// onReport takes a load report. An unchanged report is the old one seen again: it was not taken anew.
func (b *Balancer) onReport(s *server, rep Report) {
	ratio, ok := b.reportedRatio(s, rep)
	if !ok {
		return
	}
	last := s.heardAt
	s.heardAt = b.now
	if s.reported && rep == s.report {
		return
	}
	taken := b.now - reportLife
	if s.reported && last > taken {
		taken = last - reportLife/2 // it was not there yet when last asked
	}
	s.takenAt = max(s.takenAt, taken, 0)
	s.reported, s.report, s.ratio = true, rep, ratio
	b.forget(s, s.takenAt)
	if rep.Known&HasHeld != 0 && rep.Known&HasRatio != 0 && rep.Held >= 3 && rep.Ratio > 0 {
		seen := rep.Held / rep.Ratio
		if s.capacity == 0 {
			s.capacity = seen
		}
		s.capacity += (seen - s.capacity) / 4
	}
	b.assess(s)
	if rep.Known&HasLatency != 0 && b.aim > 0 && !b.noted {
		if s.slowFrom == 0 && ratio >= ceiling {
			s.slowFrom = b.now - reportLife // it is full as well: no pause that passes by itself
		}
		b.onDelay(s, time.Duration(rep.Latency*float64(time.Millisecond)), b.aim)
	}
}

// ---- Probes ----

// probesPerArrival is the probe budget: it follows the instance's own traffic, so that the tier's probes
// do not grow with balancers times servers.
func (b *Balancer) probesPerArrival() float64 {
	if !b.set.Probes {
		return 0
	}
	return min(maxProbes, max(1, probeSpend/max(0, b.set.Prices.Probe))) // where they are free, infinite
}

// refresh probes the servers most likely to be chosen whose reports are old, and the one that was not
// probed for longest, so that none is stale for ever. It returns the servers that the arrival waits for.
// Only these probes are paid from arrivals: looking after what is open would overdraw their budget.
func (b *Balancer) refresh(homes []*server, firstTry bool) []*server {
	per := b.probesPerArrival()
	income := per
	if !firstTry && !b.starves() {
		income = min(per, 1) // clients that come again and again must not drive up the cost
	}
	b.probeTokens = min(b.probeTokens+income, 2*per)
	n := int(b.probeTokens)
	if n > 1 {
		n--
	}
	asked := b.likely(n, homes)
	for _, s := range asked {
		b.probe(s)
	}
	if b.probeTokens -= float64(len(asked)); b.probeTokens >= 1 {
		since := func(s *server) (float64, bool) { return float64(s.probedAt), b.stale(s) }
		if oldest := b.pick(b.servers, since); oldest != nil {
			b.probe(oldest)
			b.probeTokens--
		}
	}
	return asked
}

func (b *Balancer) probe(s *server) {
	s.probing, s.probedAt = true, b.now
	b.act(Probe{Server: s.Server})
}

// lookAfter probes the servers that hold connections of ours and were not asked for some time, unless notes
// tell how long messages take, and empties those that drain. It guards against a server that slows down while
// no arrivals have it probed.
func (b *Balancer) lookAfter() {
	b.wake(reportLife/2, 0, wakeLook)
	for _, s := range b.servers {
		switch {
		case s.State == Draining:
			b.empty(s)
		case s.unproven && s.State == Ready && b.now >= s.asideTo && !s.probing:
			b.probe(s) // with little traffic its turn would be long in coming
		case !b.set.Probes || b.noted || b.aim == 0 || len(s.conns) == 0 || s.probing:
		case b.now-s.probedAt >= reportLife:
			b.probe(s)
		}
	}
}

func (b *Balancer) onProbed(e Probed) {
	s := b.byID[e.Server]
	if s == nil {
		return
	}
	s.probing = false
	switch e.Outcome {
	case OK:
		s.unproven, s.silent = false, false
		b.onReport(s, e.Report)
	case Full, Cancelled, Unsent:
	default:
		b.strike(s, e.Outcome == Errored)
	}
	b.retryWaiting()
}

// ---- Ranking ----

// choose ranks all ready servers for a request and returns the one with the lowest ratio, or nil.
func (b *Balancer) choose(r *request) *server {
	b.survey()
	trust := 4*b.sick <= 3*b.ready // when nearly all look sick, the verdict is doubted, not the fleet
	b.fit = b.fit[:0]
	for _, s := range b.servers {
		sound := !(trust && b.aside(s)) && !s.probing
		if b.permitted(r, s) && sound && b.setUpRoom(s) && b.coldRoom(s, r.weight) {
			b.fit = append(b.fit, s)
		}
	}
	if len(b.fit) == 0 {
		return b.pick(b.servers, func(s *server) (float64, bool) {
			return s.rank, b.permitted(r, s) && b.setUpRoom(s) && b.coldRoom(s, r.weight)
		})
	}
	return b.lowest(b.fit, r.homes)
}

// homesOf returns the servers of our zone where connections of a group gather, the same at every balancer of
// the zone: those with the lowest hash of group and server. It guards against a group spread over the whole
// fleet, where every server that holds any of it pays for it.
func (b *Balancer) homesOf(group string) (homes []*server) {
	if group == "" {
		return nil
	}
	for _, s := range b.servers {
		if s.State == Ready && s.Zone == b.set.Zone {
			homes = append(homes, s)
		}
	}
	key := hashOf(group)
	slices.SortFunc(homes, func(s, t *server) int { return cmp.Compare(mix(key+s.hash), mix(key+t.hash)) })
	return homes[:min(len(homes), max(groupHomes, len(homes)/groupPart))]
}

// homeStep is how much fuller than the rest a home of a group may be, the first the most. As the cost of
// crossing, it fades as the fleet fills, so that a truly lower server still wins.
func (b *Balancer) homeStep(homes []*server, s *server) float64 {
	if i, n := slices.Index(homes, s), len(homes); i >= 0 {
		return groupRatio * float64(n-i) / float64(n) * max(0, ceiling-b.mean)
	}
	return 0
}

// lowest returns the server with the lowest estimate, where servers count as tied when they differ by less
// than what the other balancers place on them before reports can show it. The tied are drawn in proportion to
// what each takes until all stand at one level, as water fills a basin. It guards against many balancers that
// read one late report and flood the same server. A group's homes are lower by their step. Among many tied
// they would lose to the number, and a group be spread over the fleet: their odds stay those among a dozen. A
// cold server that few balancers may use at a time has the odds that it lacks at the others. Those of which
// only old reports tell are left out where there are probes: the lowest of many has changed the most. What is
// sent on whatever room there is goes to the lowest, and is paid as many probes as a first try.
func (b *Balancer) lowest(fit, homes []*server) *server {
	for _, s := range homes {
		s.rank -= b.homeStep(homes, s)
	}
	level, odds := b.level(fit), max(1, float64(len(fit))/dozen)
	best := b.draw(fit, func(s *server) float64 {
		w := max(0, level-s.rank) * b.capacityOf(s) / s.admitted
		switch {
		case b.set.Probes && !b.fresh(s) && s.admitted == 1:
			return 0
		case slices.Contains(homes, s):
			return w * odds
		}
		return w
	})
	if best == nil || b.starves() {
		rank := func(s *server) (float64, bool) { return s.rank, best == nil || s == best || b.fresh(s) }
		best = b.pick(fit, rank)
	}
	for _, s := range homes {
		s.rank += b.homeStep(homes, s)
	}
	return best
}

// level is the common ratio to which the others' coming arrivals fill the servers. Only servers with a fresh
// report set it, with the part of the arrivals that falls to them: of the others nobody knows that they are
// low.
func (b *Balancer) level(fit []*server) float64 {
	var fresh, all float64
	for _, s := range fit {
		c := b.capacityOf(s)
		all += c
		if b.fresh(s) {
			fresh += c
		}
	}
	coming := b.coming() * fresh / max(all, 1)
	level := math.Inf(1)
	for n := len(fit) + 1; ; {
		below, room, water := 0, 0.0, coming
		for _, s := range fit {
			if b.fresh(s) && s.rank < level {
				c := b.capacityOf(s)
				below++
				room += c
				water += c * s.rank
			}
		}
		switch below {
		case 0:
			return 0
		case n:
			return level
		}
		n, level = below, water/room
	}
}

// permitted says whether a request may go to a server at all: it is ready, was not tried, and a repeat of
// what may have run is dropped there.
func (b *Balancer) permitted(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	if r.mayRun < 0 || r.class.Effect == Safe {
		return true
	}
	if r.class.Effect == Unsafe || b.now >= r.repeatUntil() {
		return false
	}
	first := r.attempts[r.mayRun].server
	switch r.class.Group {
	case GroupZone:
		return s.Zone == first.Zone
	case GroupCell:
		return s.Cell == first.Cell
	}
	return true
}

// ---- Attempts and answers ----

func (b *Balancer) onArrival(e Arrival) {
	class := b.classes[e.Class]
	r := &request{Arrival: e, set: b.set, class: class, deadline: b.now + e.TimeLeft, mayRun: -1}
	r.weight = b.weigh(e.Load)
	r.tenant = b.tenants[e.Tenant]
	b.requests[e.Request] = r
	b.recent.add(1, b.now, b.span())
	firstTry := !e.MidFlow && !e.Returning && !e.Repeat
	b.survey()
	r.homes = b.homesOf(e.Group)
	r.asked = b.refresh(r.homes, firstTry)
	if len(r.asked) > 0 {
		r.holdTo = b.now + min(class.Aim, e.TimeLeft)/holdPart
		b.hold(r, r.holdTo)
		return
	}
	b.place(r)
}

// hold keeps a request until a time at the latest.
func (b *Balancer) hold(r *request, until time.Duration) {
	if !r.held {
		r.held = true
		b.waiting = append(b.waiting, r)
	}
	b.wake(until-b.now, r.Request, wakeHold)
}

// place sends a request to the best server, holds it while there is none, or answers it.
func (b *Balancer) place(r *request) {
	left := r.deadline - b.now
	if left <= b.set.Tick || len(r.attempts) >= r.set.MaxAttempts {
		b.answer(r)
		return
	}
	s := b.choose(r)
	if s != nil && s.estimate >= ceiling && b.roomLater(r) {
		s = nil
	}
	if s != nil && (b.crowdedOut(r, s) && !b.starves() || b.throttled() || left < b.standsWithin()) {
		b.answer(r)
		return
	}
	if s == nil {
		more := slices.ContainsFunc(b.servers, func(s *server) bool { return b.permitted(r, s) })
		if len(r.attempts) > 0 && !more || b.queueTime() > left/2 {
			b.answer(r)
			return
		}
		b.hold(r, min(left-b.set.Tick, reportLife/4)+b.now)
		return
	}
	b.release(r)
	timeout := left // cut so that another attempt has time, unless it would be the last
	if len(r.attempts)+1 < r.set.MaxAttempts && r.class.Effect != Unsafe {
		timeout = min(left, max(r.class.Aim, min(left/2, 2*r.class.Aim), 2*b.standsWithin()))
	}
	b.turnedAway, b.triedAt = 0, b.now
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, ahead: s.settingUp, pending: true})
	s.budget -= max(1, r.weight)
	s.settingUp++
	b.opened(r)
	b.note(s, r.weight)
	b.act(Place{Request: r.Request, Server: s.Server, Timeout: timeout, SendBy: r.repeatUntil()})
}

// answer ends a request unserved: a refusal where that is harmless, else a failure.
func (b *Balancer) answer(r *request) {
	b.turnAway(r)
	if b.mayRefuse(r) {
		b.act(Refuse{Request: r.Request, RetryAfter: r.set.MaxRetryAfter/2 + b.jitter(r.set.MaxRetryAfter/2)})
	} else {
		b.act(Fail{Request: r.Request})
	}
	b.close(r)
}

func (b *Balancer) mayRefuse(r *request) bool {
	switch {
	case r.mayRun < 0 || r.class.Effect == Safe:
		return true
	case r.class.Effect == Keyed:
		return r.class.Group == GroupAll
	}
	return false
}

func (b *Balancer) onEstablished(e Established) {
	if r, a := b.lookup(e.Request, e.Attempt); a != nil {
		b.wasSetUp(a, true)
		b.setUp.add(float64(b.now-a.sentAt-b.standsWithin())/4, b.now, throttleFor)
		a.established = true
		b.stood.add(1, b.now, throttleFor)
		a.server.enlist(r)
		a.server.strikes /= 2
		a.server.erring -= a.server.erring * erringStep
		a.server.unproven, a.server.silent = false, false
		b.admit()
	}
}

func (b *Balancer) onEnded(e Ended) {
	r, a := b.lookup(e.Request, e.Attempt)
	if r == nil {
		return
	}
	if a.pending = false; !a.established {
		b.wasSetUp(a, e.Outcome == TimedOut)
		defer b.admit()
	}
	a.server.delist(r)
	b.closed(r)
	b.note(a.server, -r.weight)
	b.onReport(a.server, e.Report)
	b.judge(r, a, e.Outcome)
	switch e.Outcome {
	case Full, Unreachable, Unsent:
	default:
		if r.mayRun < 0 || e.Attempt < r.mayRun {
			r.mayRun = e.Attempt
		}
	}
	switch {
	case e.Final || r.over:
		b.close(r)
	case r.mayRun >= 0 && r.class.Effect == Unsafe:
		b.answer(r)
	default:
		b.place(r)
	}
}

// ---- Health ----

// judge draws evidence on a server's health from how an attempt ended.
func (b *Balancer) judge(r *request, a *attempt, o Outcome) {
	if !a.established && (o == TimedOut || o == Errored && !r.erred) {
		b.failed.add(1, b.now, throttleFor)
	}
	switch o {
	case Errored:
		b.blame(r, a.server)
	case Unreachable, Reset:
		b.strike(a.server, false)
	case TimedOut:
		if !a.established {
			b.strike(a.server, false)
		}
	case Full:
		b.setAside(a.server, reportLife/2)
	}
}

// blame takes the first error that a request meets as evidence against the server, which is set aside once
// nearly all end so. One that errs now and then costs a moment and an attempt, and its room is needed; and a
// bad request, which every server answers with an error, must not set aside one after the other.
func (b *Balancer) blame(r *request, s *server) {
	if r.erred {
		return
	}
	r.erred = true
	if s.erring += (1 - s.erring) * erringStep; s.erring > erringMost {
		b.strike(s, true)
	}
}

// strike sets a server aside for longer each time. It guards against a server that fails fast: its ratio
// stays low and it would swallow every arrival. Further failures while it is aside are the same event. One
// that does not answer, while notes tell that its messages stay out, serves nobody: it is emptied at once.
func (b *Balancer) strike(s *server, answers bool) {
	if b.now < s.asideTo {
		return
	}
	s.strikes = min(s.strikes+1, 8)
	s.unproven, s.silent = b.set.Probes, !answers && b.noted
	b.setAside(s, min(reportLife<<(s.strikes-1), b.settle()))
	if s.silent && s.slowFrom > 0 {
		b.relieve(s)
	}
}

func (b *Balancer) setAside(s *server, d time.Duration) {
	s.asideTo = max(s.asideTo, b.now+d*3/4+b.jitter(d/2))
}

// aside says whether a server is not to be chosen: for the time set, and then until it answers a probe, so
// that a server that is dead but listed costs probes and no attempts.
func (b *Balancer) aside(s *server) bool { return b.now < s.asideTo || s.unproven }

// ---- Moves ----

// onMessagesSlow takes note of a server whose messages take long.
func (b *Balancer) onMessagesSlow(e MessagesSlow) {
	r := b.requests[e.Request]
	if r == nil || len(r.attempts) == 0 {
		return
	}
	b.noted = true
	b.onDelay(r.attempts[len(r.attempts)-1].server, e.Took, r.class.MessageAim)
}

// onDelay takes how long a message takes at a server.
func (b *Balancer) onDelay(s *server, took, aim time.Duration) {
	if took < aim {
		s.slowFrom = 0
		b.assess(s)
		return
	}
	s.delay = took
	if s.slowAt = b.now; s.slowFrom == 0 {
		s.slowFrom = b.now
	}
	b.assess(s)
	if took >= reportLife && b.set.Probes && s.State == Ready && !s.probing &&
		b.now-s.probedAt >= reportLife/2 {
		b.probe(s) // it may be slow, or answer nothing at all
	}
	if (s.silent || b.now-s.slowFrom >= reportLife) && b.now-s.eased >= reportLife {
		s.eased = b.now
		b.relieve(s)
	}
}

// relieve moves some of our connections off a server whose messages stay beyond their aim while others have
// room. It guards against a server that lost capacity, or whose connections grew: it serves nobody until they
// leave by themselves, which may take minutes. What has piled up, as the delay of its messages tells, is to
// drain within about a second, so that much room is made besides. Every balancer moves its part of the excess
// and then waits to see the effect.
func (b *Balancer) relieve(s *server) {
	b.survey()
	own := 0.0
	for _, r := range s.conns {
		own += r.weight
	}
	excess := moveLeast
	if b.fresh(s) && s.estimate > ceiling {
		excess = max(excess, (s.estimate-ceiling)/s.estimate)
	}
	if piledUp := max(ceiling/3, ceiling-s.delay.Seconds()); b.fresh(s) && b.mean < spacious {
		excess = max(excess, (s.estimate-piledUp)/s.estimate)
	}
	if s.silent {
		excess = 1 // whatever room there is: nobody is served where they are
	}
	want := excess * own
	if !s.silent && b.room < 2*excess*min(own*float64(b.set.Balancers), s.estimate*b.capacityOf(s)) {
		return
	}
	for _, i := range b.rng.Perm(len(s.conns)) {
		r := s.conns[i]
		if b.rng.Float64()*r.weight < want {
			b.act(Move{Request: r.Request})
		}
		if want -= r.weight; want <= 0 {
			return
		}
	}
}

// empty moves our connections off a draining server, evenly over the time that a server takes to warm up. It
// guards against being cut off there when the server stops, and against all coming again at once; by chance
// where each of many balancers holds but one.
func (b *Balancer) empty(s *server) {
	rounds := max(1, float64(s.drainFrom+b.settle()-b.now)/float64(reportLife/2))
	n := int(float64(len(s.conns))/rounds + b.rng.Float64())
	for _, r := range s.conns[:min(n, len(s.conns))] {
		b.act(Move{Request: r.Request})
	}
}

// ---- Setting up ----

// setUpRoom says whether a server may be sent one more connection to set up: as many wait there as it sets
// up within twice the shortest aim. It guards against clients that come all at once, as after a restart: what
// waits for longer times out and is sent to the next server, and the work of the first is lost, until none
// comes up at all.
func (b *Balancer) setUpRoom(s *server) bool {
	if s.pace == 0 {
		return s.settingUp < fewSetUps
	}
	return s.settingUp < max(2, int(2*b.setUpAim/s.pace))
}

// roomLater says whether a server that is not full only lacks the answer to a probe or room to set up.
func (b *Balancer) roomLater(r *request) bool {
	return slices.ContainsFunc(b.servers, func(s *server) bool {
		return b.permitted(r, s) && !b.aside(s) && s.estimate < ceiling && (s.probing || !b.setUpRoom(s))
	})
}

// ---- Cold servers ----

// coldRoom says whether a server that has just started may take one more connection of such weight from this
// balancer. It guards against all balancers together pushing it over: each keeps to its share of a cautious
// budget. It is saved up from the moment of being told, with nothing for before, and from a start by chance
// until it holds a connection, so that the sum over balancers is right however many come to each; one that
// was not used for a window lapses. One that is heavier than what all may send goes elsewhere.
func (b *Balancer) coldRoom(s *server, weight float64) bool {
	age, first := b.now-s.Started, s.admitted == 0
	if s.admitted = 1; s.Started <= 0 || age >= b.set.Safety.ColdFor {
		return true
	}
	all, window := float64(b.set.Balancers*(1+b.fellows)), b.coldBudget(s, age)
	if first {
		s.budget = b.rng.Float64() + 1/all
	}
	s.budget += window / all * float64(b.now-s.fedAt) / float64(max(b.set.Safety.TipAfter, 1))
	s.budget -= math.Ceil(max(0, s.budget-window/all-1))
	s.admitted, s.fedAt = min(1, window/all), b.now
	return s.budget >= 1 && weight <= max(1, window)
}

// coldBudget is what all together may send a cold server in one window, in connections: a cautious part of
// what the rule allows on the pace that would just fill it over its warm-up. Of the climb only the slowest is
// certain.
func (b *Balancer) coldBudget(s *server, age time.Duration) float64 {
	safe := b.set.Safety
	warm := safe.ColdFrom + (1-safe.ColdFrom)*float64(max(age, 0))/float64(safe.ColdFor)
	pace := b.capacityOf(s) / max(safe.ColdFor, reportLife).Seconds()
	return coldCaution * safe.OverloadFactor * warm * pace * safe.TipAfter.Seconds()
}

// ---- Discovery ----

// onDiscovery follows the state of the subscription.
func (b *Balancer) onDiscovery(kind ListKind) {
	if !b.set.ListOnRequest || kind == ListSaved {
		return
	}
	b.subscribed = kind != ListFailed
	if b.subscribed {
		b.askFails = 0
		return
	}
	b.askFails++
	b.wake(b.askAgain()/2+b.jitter(b.askAgain()/2), 0, wakeSubscribe)
}

// askAgain is the back-off after failed calls, always well within the time in which the list must be asked
// for. It grows so that many balancers do not keep a weak list service down.
func (b *Balancer) askAgain() time.Duration {
	return min(b.set.Safety.AskWithin/16<<min(b.askFails, 3), b.set.Safety.AskWithin/2)
}

func (b *Balancer) checkSubscription() {
	if !b.subscribed {
		b.act(Subscribe{})
	}
}

// ---- Admission ----

// crowdedOut says whether a request that would go to s must be refused: s is full, or the other balancers
// place more, before reports can show it, than fits below the ceiling; as much as fits is let in by chance.
// What this one placed is in its estimates.
// It guards against a jam that feeds itself: full servers serve nobody, drop their clients, and these come
// again. Where room is short, what a tenant sends beyond its share is the first to go, and so is a class that
// brings less worth for its load than all do: one heavy connection takes the room of many.
// A balancer that has turned away too many on end sends the next one on all the same (starves): it sees few
// of many servers, and that none of these has room may be chance.
func (b *Balancer) crowdedOut(r *request, s *server) bool {
	coming := b.coming()
	limit := ceiling
	if t := r.tenant; t != nil && t.beyondShare(b.set.Balancers) {
		coming, limit = 2*coming, overShare*ceiling
	}
	limit *= overShare + (1-overShare)*min(1, b.yield(r.class))
	if s.estimate >= limit {
		return true
	}
	return len(r.attempts) == 0 && b.room < coming && b.rng.Float64()*coming > b.room
}

// throttled turns away, by chance, part of the attempts while more of them fail slowly than stand, so that at
// most about twice as many are made as succeed. It guards against something behind all servers that is
// overloaded: setting aside one server after the other does not help there, and every further attempt adds to
// the load that makes the others fail.
func (b *Balancer) throttled() bool {
	failed, stood := b.failed.over(b.now, throttleFor), b.stood.over(b.now, throttleFor)
	return b.rng.Float64()*(failed+stood+1) < failed-stood
}

// beyondShare judges by this balancer's part of the tenant's connections, less what chance adds to the part.
func (t *tenant) beyondShare(balancers int) bool {
	n, part := float64(t.open), 1/float64(balancers)
	return n-math.Sqrt(n*(1-part)) >= t.quota*part
}
