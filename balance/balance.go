package balance

// This file holds all decisions. The interface (settings, events, actions) is in api.go; the state of a
// balancer and its bookkeeping are in state.go.
//
// The main path is least ratio routing: place ranks all ready servers by their estimated ratio of load to
// capacity and takes the lowest, ties at random. An established connection stays on its server; after a
// refusal, the server with the next lowest ratio is tried. The sections, in order: entry, membership,
// ratio estimate, probes, ranking, attempts and answers, health, moves, set-up, cold servers, discovery,
// admission.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// defaultCapacity is how many connections fill a server whose capacity is not known yet. Most servers
	// of long-lived connections take a few dozen. It matters only until the first reports.
	defaultCapacity = 20
	// probeCostShare limits the cost of probes to a fraction of the value of the service: one or two
	// percent is a fair price for choices made on fresh reports, whatever the size of the fleet.
	probeCostShare = 0.01
	// maxProbes limits the probes per arrival: beyond about eight candidates, the lowest of a random
	// sample hardly gets any lower.
	maxProbes = 8
	// reportTTL is the age up to which a report is considered current: servers commonly refresh their
	// load reports about once a second.
	reportTTL = time.Second
	// probeWaitDivisor sets how long an arrival may wait for probes: the latency target of its class
	// divided by this number. Most of the latency target is left for a second attempt.
	probeWaitDivisor = 8
	// targetUtilization is the ratio up to which servers are filled. Load is uneven and varies, and
	// reports are late and noisy, so a server filled to 1 is overloaded half of the time, and then serves
	// no one.
	targetUtilization = 0.8
	// zoneCrossingPenalty converts the price of crossing zones into a ratio, in units of the fleet's
	// headroom: a price of a few hundredths is a modest penalty while there is headroom, and none near
	// the target.
	zoneCrossingPenalty = 6
	// groupAffinityBonus is the advantage of sharing a server with its group, as a ratio, in units of the
	// fleet's headroom. A group first spreads over minPreferredServers of a zone, or over one server
	// in preferredServersDivisor if that is more: the number of connections that all balancers place on
	// one server before reports show them grows with the fleet. Among many tied servers, a preferred one is
	// drawn as often as among groupOddsServers.
	groupAffinityBonus      = 1.0
	minPreferredServers     = 3
	preferredServersDivisor = 7
	groupOddsServers        = 12
	// minMoveFraction is the least fraction of its connections that a balancer moves off a slow server at a
	// time: that without a report which shows the excess.
	minMoveFraction = 0.2
	// backlogMoveMaxRatio is the mean ratio of the fleet up to which more connections are moved to drain
	// a server's backlog: in a fuller fleet, they would only overload the next server.
	backlogMoveMaxRatio = 0.6
	// throttleWindow is the time over which failed and established attempts are compared: several rounds
	// of attempts, so that a single burst has little effect.
	throttleWindow = 3 * reportTTL
	// defaultSetUpLimit is how many connections may wait for their set-up at a server of unknown speed.
	defaultSetUpLimit = 8
	// ejectionErrorRate is the fraction of its attempts that a server may answer with an error before it
	// is ejected; each attempt counts for errorRateStep of it, so that seven errors in a row eject a
	// server without earlier ones.
	ejectionErrorRate = 0.75
	errorRateStep     = 0.2
	// lowPriorityFraction is the fraction of targetUtilization up to which traffic beyond a tenant's
	// share, or with hardly any value for its load, is admitted: the rest is reserved for traffic of a
	// higher value.
	lowPriorityFraction = 0.75
	// coldBudgetFraction is the fraction of a cold server's budget that is used. The other half covers
	// errors in the estimates: how many connections fill the server, their load, the variation between
	// machines.
	coldBudgetFraction = 0.5
)

// New returns a balancer with the given settings. All its randomness is derived from seed.
func New(settings Settings, seed uint64) *Balancer {
	b := &Balancer{
		rng:        rand.New(rand.NewPCG(seed, seed)),
		byID:       make(map[ServerID]*server),
		bans:       make(map[ServerID]time.Duration),
		resumedAt:  make(map[ServerID]time.Duration),
		requests:   make(map[RequestID]*request),
		tenants:    make(map[string]*tenant),
		classLoads: make(map[string]loadSum),
	}
	b.applySettings(settings)
	return b
}

// applySettings replaces the settings for all later events. The open connections of tenants stay counted.
func (b *Balancer) applySettings(settings Settings) {
	settings.Balancers = max(1, settings.Balancers)
	settings.MaxAttempts = max(1, settings.MaxAttempts)
	b.settings, b.classes = &settings, make(map[string]Class, len(settings.Classes))
	b.quotaSum, b.shortestLatencyTarget, b.shortestMessageTarget = 0, 0, 0
	b.tenants = make(map[string]*tenant)
	for _, t := range settings.Tenants {
		if b.quotaSum += max(0, t.Quota); t.Quota > 0 {
			b.tenants[t.Name] = &tenant{quota: t.Quota}
		}
	}
	b.recountTenants()
	for _, c := range settings.Classes {
		b.classes[c.Name] = c
		if b.shortestLatencyTarget == 0 || c.LatencyTarget > 0 && c.LatencyTarget < b.shortestLatencyTarget {
			b.shortestLatencyTarget = c.LatencyTarget
		}
		if c.MessageLatencyTarget > 0 &&
			(b.shortestMessageTarget == 0 || c.MessageLatencyTarget < b.shortestMessageTarget) {
			b.shortestMessageTarget = c.MessageLatencyTarget
		}
	}
	if b.started && settings.Probes {
		b.startServerChecks()
	}
}

// Handle processes an event that happened at now and returns the resulting actions. The slice is valid
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
	case SettingsChanged:
		b.applySettings(e.Settings)
	case SiblingProcesses:
		b.siblings = max(0, e.Processes)
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
	case TimerFired:
		b.onTimerFired(e)
	case Probed:
		b.onProbed(e)
	case MessageLatency:
		b.onMessageLatency(e)
	case LoadChanged:
		b.onLoadChanged(e)
	}
	return b.out
}

func (b *Balancer) start() {
	b.started = true
	if b.settings.Probes {
		b.startServerChecks()
	}
	if b.settings.ListOnRequest {
		b.setTimer(b.jitter(b.settings.Safety.ListRefreshInterval/32), 0, timerSubscribe)
	}
}

func (b *Balancer) onTimerFired(e TimerFired) {
	switch e.Token & (1<<timerKindBits - 1) {
	case timerHold:
		if r := b.requests[RequestID(e.Token>>timerKindBits)]; r != nil && r.held {
			b.place(r)
		}
	case timerSubscribe:
		b.checkSubscription()
	case timerServerCheck:
		b.checkServers()
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
		b.updateServer(entry)
	}
	b.removeUnlisted()
	b.fleetStatsAt = 0
	b.retryWaiting()
}

// updateServer applies one entry of a list. A server with a new start time is a new one under the old
// name: what was known of its load, health and capacity is dropped.
func (b *Balancer) updateServer(entry Listing) {
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
		s = &server{hash: hashOf(string(entry.Server)), budgetUpdatedAt: b.now}
		b.byID[entry.Server] = s
		b.servers = append(b.servers, s)
	case s.asListed.Started != entry.Started:
		*s = server{probing: s.probing, hash: s.hash, budgetUpdatedAt: b.now}
	}
	s.asListed, s.listed = entry, true
	b.applyListing(s)
}

// applyListing combines a server's listing with the operators' bans: a suspended server counts as
// draining, and a resumed one as started at its resumption.
func (b *Balancer) applyListing(s *server) {
	was := s.State
	s.Listing = s.asListed
	if _, out := b.bans[s.Server]; out && s.State == Ready {
		s.State = Draining
	}
	s.Started = max(s.Started, b.resumedAt[s.Server])
	if s.State == Draining && was != Draining {
		s.drainingSince = b.now
		b.startServerChecks()
	}
}

// onSuspend bans a server for an operator. The ban is stored apart from the list, which may drop the
// server and name it again in the meantime.
func (b *Balancer) onSuspend(id ServerID) {
	if _, out := b.bans[id]; out {
		return
	}
	b.bans[id] = b.now
	delete(b.resumedAt, id)
	if s := b.byID[id]; s != nil {
		b.applyListing(s)
		b.fleetStatsAt = 0
	}
}

// onResume lifts a ban. The server was most likely restarted while it was banned, so that all knowledge
// of it is dropped; if it may be used, it is probed at once.
func (b *Balancer) onResume(id ServerID) {
	since, out := b.bans[id]
	if !out {
		return
	}
	delete(b.bans, id)
	s := b.byID[id]
	if s == nil || s.asListed.Started <= since {
		b.resumedAt[id] = b.now
	}
	if s == nil {
		return
	}
	*s = server{asListed: s.asListed, listed: true, probing: s.probing, hash: s.hash, conns: s.conns,
		budgetUpdatedAt: b.now}
	if b.applyListing(s); b.settings.Probes && s.State == Ready && !s.probing {
		b.probe(s)
	}
	b.fleetStatsAt = 0
	b.retryWaiting()
}

// ---- Ratio estimate ----

// updateFleetStats computes the statistics of the whole fleet and all estimates, unless that was done less
// than reportTTL/50 ago: changes in between update the estimate of their own server.
func (b *Balancer) updateFleetStats() {
	if b.fleetStatsAt > 0 && b.now-b.fleetStatsAt < reportTTL/50 {
		return
	}
	b.fleetStatsAt = b.now
	var ratio, fresh, capacity, known, weight float64
	b.ready, b.ejectedServers = 0, 0
	for _, s := range b.servers {
		if s.State != Ready {
			continue
		}
		b.ready++
		weight += s.Weight
		if b.isEjected(s) {
			b.ejectedServers++
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
	b.meanWeight, b.meanCapacity = weight/n, b.expectedCapacity(n)
	if fresh > 0 {
		b.meanRatio = ratio / fresh
	}
	if known > 0 {
		b.meanCapacity = capacity / known
	} else if b.meanRatio > 0 && b.quotaSum == 0 {
		// The reports hold no connection counts: the fleet's connections, estimated as our own times the
		// number of balancers, account for the mean ratio. A balancer that has just started holds only a
		// few of them, hence the lower limit.
		b.meanCapacity = max(b.meanCapacity/2, b.openWeight*float64(b.settings.Balancers)/(n*b.meanRatio))
	}
	b.spareCapacity = 0
	for _, s := range b.servers {
		b.updateEstimate(s)
		if s.State == Ready && !b.isEjected(s) {
			b.spareCapacity += max(0, targetUtilization-s.estimate) * b.capacityOf(s)
		}
	}
}

// updateEstimate estimates the present ratio of load to capacity of a server: its last report, which
// counts less the older it is, plus what this balancer placed and lost since the report was taken. A
// server without a report is not assumed to be empty: it counts as the mean of its peers, and just after
// its start as a part of that mean that grows with its age.
func (b *Balancer) updateEstimate(s *server) {
	ratio := b.meanRatio
	if age := b.now - s.Started; s.Started > 0 && age < b.turnoverTime() {
		ratio *= max(0, float64(age)/float64(b.turnoverTime()))
	}
	if s.reported {
		ratio += (s.ratio - ratio) * b.decay(b.now-s.takenAt)
	}
	s.estimate = max(0, ratio+s.ownChange/b.capacityOf(s))
	if s.slowSince > 0 && b.now-s.slowReportedAt < 2*reportTTL {
		// Slow messages show that it is full, whatever an old report says.
		s.estimate = max(s.estimate, targetUtilization)
	}
	s.rank = s.estimate
	if s.Zone != b.settings.Zone {
		s.rank += zoneCrossingPenalty * b.settings.Prices.CrossZone * max(0, targetUtilization-b.meanRatio)
	}
}

// onReport applies a load report. An unchanged report is the same one, not refreshed since.
func (b *Balancer) onReport(s *server, rep Report) {
	ratio, ok := b.reportedRatio(s, rep)
	if !ok {
		return
	}
	last := s.confirmedAt
	s.confirmedAt = b.now
	if s.reported && rep == s.report {
		return
	}
	taken := b.now - reportTTL
	if s.reported && last > taken {
		taken = last - reportTTL/2 // it did not exist yet at the previous query
	}
	s.takenAt = max(s.takenAt, taken, 0)
	s.reported, s.report, s.ratio = true, rep, ratio
	b.dropChanges(s, s.takenAt)
	if rep.Known&HasHeld != 0 && rep.Known&HasRatio != 0 && rep.Held >= 3 && rep.Ratio > 0 {
		seen := rep.Held / rep.Ratio
		if s.capacity == 0 {
			s.capacity = seen
		}
		s.capacity += (seen - s.capacity) / 4
	}
	b.updateEstimate(s)
	if rep.Known&HasLatency != 0 && b.shortestMessageTarget > 0 && !b.messagesReported {
		if s.slowSince == 0 && ratio >= targetUtilization {
			s.slowSince = b.now - reportTTL // it is also full: this is no transient pause
		}
		b.onMessageDelay(s, time.Duration(rep.Latency*float64(time.Millisecond)), b.shortestMessageTarget)
	}
}

// ---- Probes ----

// probesPerArrival is the probe budget. It is proportional to the balancer's own traffic, so that the
// fleet's probes do not grow with the number of balancers times the number of servers.
func (b *Balancer) probesPerArrival() float64 {
	if !b.settings.Probes {
		return 0
	}
	// The quotient is infinite if probes are free.
	return min(maxProbes, max(1, probeCostShare/max(0, b.settings.Prices.Probe)))
}

// probeForArrival probes the servers with old reports that are most likely to be chosen, and the one
// probed longest ago, so that no report stays stale forever. It returns the servers that the arrival
// waits for. Only these probes are charged to the budget: checks of servers with open connections would
// exhaust it.
func (b *Balancer) probeForArrival(preferred []*server, firstTry bool) []*server {
	per := b.probesPerArrival()
	income := per
	if !firstTry && !b.mustAdmitNext() {
		income = min(per, 1) // clients that retry again and again must not drive up the cost
	}
	b.probeTokens = min(b.probeTokens+income, 2*per)
	n := int(b.probeTokens)
	if n > 1 {
		n--
	}
	probed := b.probeCandidates(n, preferred)
	for _, s := range probed {
		b.probe(s)
	}
	if b.probeTokens -= float64(len(probed)); b.probeTokens >= 1 {
		since := func(s *server) (float64, bool) { return float64(s.probedAt), b.stale(s) }
		if oldest := b.pickMin(b.servers, since); oldest != nil {
			b.probe(oldest)
			b.probeTokens--
		}
	}
	return probed
}

func (b *Balancer) probe(s *server) {
	s.probing, s.probedAt = true, b.now
	b.act(Probe{Server: s.Server})
}

// checkServers probes the servers that hold connections of this balancer and were not probed for
// reportTTL, unless MessageLatency events report the latency of messages or no class has a target for it.
// It probes ejected servers once their ejection time is over, and moves connections off draining ones. It
// guards against a server that slows down while no arrivals have it probed.
func (b *Balancer) checkServers() {
	b.setTimer(reportTTL/2, 0, timerServerCheck)
	for _, s := range b.servers {
		switch {
		case s.State == Draining:
			b.moveOffDraining(s)
		case s.unverified && s.State == Ready && b.now >= s.ejectedUntil && !s.probing:
			b.probe(s) // with little traffic, an arrival would probe it only much later
		case !b.settings.Probes || b.messagesReported || b.shortestMessageTarget == 0 || len(s.conns) == 0 ||
			s.probing:
		case b.now-s.probedAt >= reportTTL:
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
		s.unverified, s.unresponsive = false, false
		b.onReport(s, e.Report)
	case Full, Cancelled, Unsent:
	default:
		b.eject(s, e.Outcome == Errored)
	}
	b.retryWaiting()
}

// ---- Ranking ----

// choose returns the server with the lowest ratio among all that are eligible for a request, or nil.
func (b *Balancer) choose(r *request) *server {
	b.updateFleetStats()
	// If over 3/4 of the servers are ejected, the ejections are probably wrong, not the fleet.
	trustEjections := 4*b.ejectedServers <= 3*b.ready
	b.fit = b.fit[:0]
	for _, s := range b.servers {
		usable := !(trustEjections && b.isEjected(s)) && !s.probing
		if b.eligible(r, s) && usable && b.canSetUp(s) && b.coldServerAdmits(s, r.weight) {
			b.fit = append(b.fit, s)
		}
	}
	if len(b.fit) == 0 {
		return b.pickMin(b.servers, func(s *server) (float64, bool) {
			return s.rank, b.eligible(r, s) && b.canSetUp(s) && b.coldServerAdmits(s, r.weight)
		})
	}
	return b.chooseLowest(b.fit, r.preferred)
}

// preferredServers returns the ready servers of our zone on which connections of a group are
// concentrated, the same at every balancer of the zone: those with the lowest hash of group and server.
// It guards against a group spread over the whole fleet, where each server that holds any of it bears the
// cost of the group.
func (b *Balancer) preferredServers(group string) (preferred []*server) {
	if group == "" {
		return nil
	}
	for _, s := range b.servers {
		if s.State == Ready && s.Zone == b.settings.Zone {
			preferred = append(preferred, s)
		}
	}
	key := hashOf(group)
	slices.SortFunc(preferred, func(s, t *server) int {
		return cmp.Compare(mix(key+s.hash), mix(key+t.hash))
	})
	return preferred[:min(len(preferred), max(minPreferredServers, len(preferred)/preferredServersDivisor))]
}

// preferenceBonus is how much fuller than others a server preferred by a group may be; the first choice
// has the highest bonus. Like the zone-crossing penalty it shrinks as the fleet fills, so that a server
// with a truly lower ratio still wins.
func (b *Balancer) preferenceBonus(preferred []*server, s *server) float64 {
	if i, n := slices.Index(preferred, s), len(preferred); i >= 0 {
		return groupAffinityBonus * float64(n-i) / float64(n) * max(0, targetUtilization-b.meanRatio)
	}
	return 0
}

// chooseLowest returns the server with the lowest rank. Servers count as tied if they differ by less than
// what the other balancers place on them before reports can show it; among these, one is drawn at random
// in proportion to the load that raises each to the common level of fillLevel. It guards against many
// balancers that read the same late report and flood the same server.
//
// The ranks of servers preferred by the group are reduced by their bonus. Among many tied servers, they
// would still be drawn rarely and the group would spread over the fleet, so their odds stay those among
// groupOddsServers servers. A cold server that only a fraction of the balancers may use at a time gets
// higher odds at these. Where probes are permitted, servers with only old reports are left out: the
// lowest of many old reports is the one most likely to have changed. An arrival that must be admitted
// whether or not there is room (mustAdmitNext) goes to the lowest rank, and its probe budget is that of a
// first try.
func (b *Balancer) chooseLowest(candidates, preferred []*server) *server {
	for _, s := range preferred {
		s.rank -= b.preferenceBonus(preferred, s)
	}
	level, odds := b.fillLevel(candidates), max(1, float64(len(candidates))/groupOddsServers)
	best := b.pickWeighted(candidates, func(s *server) float64 {
		w := max(0, level-s.rank) * b.capacityOf(s) / s.senderFraction
		switch {
		case b.settings.Probes && !b.fresh(s) && s.senderFraction == 1:
			return 0
		case slices.Contains(preferred, s):
			return w * odds
		}
		return w
	})
	if best == nil || b.mustAdmitNext() {
		rank := func(s *server) (float64, bool) { return s.rank, best == nil || s == best || b.fresh(s) }
		best = b.pickMin(candidates, rank)
	}
	for _, s := range preferred {
		s.rank += b.preferenceBonus(preferred, s)
	}
	return best
}

// fillLevel is the common ratio to which the expected arrivals at other balancers fill the servers,
// computed by water-filling. Only servers with a fresh report are included, with their part of the
// arrivals by capacity: the others are not known to be low.
func (b *Balancer) fillLevel(candidates []*server) float64 {
	var fresh, all float64
	for _, s := range candidates {
		c := b.capacityOf(s)
		all += c
		if b.fresh(s) {
			fresh += c
		}
	}
	arrivals := b.othersArrivals() * fresh / max(all, 1)
	level := math.Inf(1)
	for n := len(candidates) + 1; ; {
		below, room, water := 0, 0.0, arrivals
		for _, s := range candidates {
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

// eligible reports whether a request may be sent to a server at all: the server is ready, was not tried
// yet, and drops the repeat of a request that may have run.
func (b *Balancer) eligible(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	if r.firstMayHaveRun < 0 || r.class.Effect == Safe {
		return true
	}
	if r.class.Effect == Unsafe || b.now >= r.repeatUntil() {
		return false
	}
	first := r.attempts[r.firstMayHaveRun].server
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
	r := &request{Arrival: e, settings: b.settings, class: class, deadline: b.now + e.TimeLeft,
		firstMayHaveRun: -1}
	r.weight = b.relativeLoad(e.Load)
	r.tenant = b.tenants[e.Tenant]
	b.requests[e.Request] = r
	b.recentArrivals.add(1, b.now, b.arrivalWindow())
	firstTry := !e.MidFlow && !e.Returning && !e.Repeat
	b.updateFleetStats()
	r.preferred = b.preferredServers(e.Group)
	r.probed = b.probeForArrival(r.preferred, firstTry)
	if len(r.probed) > 0 {
		r.probeWaitUntil = b.now + min(class.LatencyTarget, e.TimeLeft)/probeWaitDivisor
		b.hold(r, r.probeWaitUntil)
		return
	}
	b.place(r)
}

// hold delays a request until the given time at the latest.
func (b *Balancer) hold(r *request, until time.Duration) {
	if !r.held {
		r.held = true
		b.waiting = append(b.waiting, r)
	}
	b.setTimer(until-b.now, r.Request, timerHold)
}

// place sends a request to the best server, holds it while there is none, or rejects it.
func (b *Balancer) place(r *request) {
	left := r.deadline - b.now
	if left <= b.settings.Tick || len(r.attempts) >= r.settings.MaxAttempts {
		b.reject(r)
		return
	}
	s := b.choose(r)
	if s != nil && s.estimate >= targetUtilization && b.roomExpected(r) {
		s = nil
	}
	if s != nil &&
		(b.mustReject(r, s) && !b.mustAdmitNext() || b.throttled() || left < b.expectedSetUpTime()) {
		b.reject(r)
		return
	}
	if s == nil {
		more := slices.ContainsFunc(b.servers, func(s *server) bool { return b.eligible(r, s) })
		if len(r.attempts) > 0 && !more || b.queueTime() > left/2 {
			b.reject(r)
			return
		}
		b.hold(r, min(left-b.settings.Tick, reportTTL/4)+b.now)
		return
	}
	b.release(r)
	timeout := left // shortened to leave time for another attempt, unless this one must be the last
	if len(r.attempts)+1 < r.settings.MaxAttempts && r.class.Effect != Unsafe {
		timeout = min(left,
			max(r.class.LatencyTarget, min(left/2, 2*r.class.LatencyTarget), 2*b.expectedSetUpTime()))
	}
	b.rejectedInRow, b.lastAttemptAt = 0, b.now
	r.attempts = append(r.attempts,
		attempt{server: s, sentAt: b.now, settingUpBefore: s.settingUp, pending: true})
	s.budget -= max(1, r.weight)
	s.settingUp++
	b.countOpened(r)
	b.recordChange(s, r.weight)
	b.act(Place{Request: r.Request, Server: s.Server, Timeout: timeout, SendBy: r.repeatUntil()})
}

// reject ends a request unserved: with a refusal where a retry is harmless, else with a failure.
func (b *Balancer) reject(r *request) {
	b.countRejection(r)
	if b.mayRefuse(r) {
		b.act(Refuse{Request: r.Request,
			RetryAfter: r.settings.MaxRetryAfter/2 + b.jitter(r.settings.MaxRetryAfter/2)})
	} else {
		b.act(Fail{Request: r.Request})
	}
	b.close(r)
}

func (b *Balancer) mayRefuse(r *request) bool {
	switch {
	case r.firstMayHaveRun < 0 || r.class.Effect == Safe:
		return true
	case r.class.Effect == Keyed:
		return r.class.Group == GroupAll
	}
	return false
}

func (b *Balancer) onEstablished(e Established) {
	if r, a := b.lookup(e.Request, e.Attempt); a != nil {
		b.countSetUp(a, true)
		b.recentSetUpTime.add(float64(b.now-a.sentAt-b.expectedSetUpTime())/4, b.now, throttleWindow)
		a.established = true
		b.establishedAttempts.add(1, b.now, throttleWindow)
		a.server.addConn(r)
		a.server.ejections /= 2
		a.server.errorRate -= a.server.errorRate * errorRateStep
		a.server.unverified, a.server.unresponsive = false, false
		b.placeWaiting()
	}
}

func (b *Balancer) onEnded(e Ended) {
	r, a := b.lookup(e.Request, e.Attempt)
	if r == nil {
		return
	}
	if a.pending = false; !a.established {
		b.countSetUp(a, e.Outcome == TimedOut)
		defer b.placeWaiting()
	}
	a.server.removeConn(r)
	b.countClosed(r)
	b.recordChange(a.server, -r.weight)
	b.onReport(a.server, e.Report)
	b.recordOutcome(r, a, e.Outcome)
	if !e.Outcome.ProvesNeverRan() && (r.firstMayHaveRun < 0 || e.Attempt < r.firstMayHaveRun) {
		r.firstMayHaveRun = e.Attempt
	}
	switch {
	case e.Final || r.over:
		b.close(r)
	case r.firstMayHaveRun >= 0 && r.class.Effect == Unsafe:
		b.reject(r)
	default:
		b.place(r)
	}
}

// ---- Health ----

// recordOutcome updates a server's health by how an attempt ended.
func (b *Balancer) recordOutcome(r *request, a *attempt, o Outcome) {
	if !a.established && (o == TimedOut || o == Errored && !r.errorCounted) {
		b.failedAttempts.add(1, b.now, throttleWindow)
	}
	switch o {
	case Errored:
		b.countError(r, a.server)
	case Unreachable, Reset:
		b.eject(a.server, false)
	case TimedOut:
		if !a.established {
			b.eject(a.server, false)
		}
	case Full:
		b.ejectFor(a.server, reportTTL/2)
	}
}

// countError counts the first error that a request meets against the server, which is ejected once nearly
// all its requests end so. A server with occasional errors stays: an error costs a moment and an attempt,
// and the server's capacity is needed. Later errors do not count: a bad request, which every server
// answers with an error, must not eject one server after the other.
func (b *Balancer) countError(r *request, s *server) {
	if r.errorCounted {
		return
	}
	r.errorCounted = true
	if s.errorRate += (1 - s.errorRate) * errorRateStep; s.errorRate > ejectionErrorRate {
		b.eject(s, true)
	}
}

// eject takes a server out of the choice, longer each time. It guards against a server that fails fast:
// its ratio stays low, so that it would attract every arrival. Further failures while it is ejected count
// as the same event. A server that does not respond, while MessageLatency events show that its messages are
// overdue, serves no one: all connections are moved off at once.
func (b *Balancer) eject(s *server, responded bool) {
	if b.now < s.ejectedUntil {
		return
	}
	s.ejections = min(s.ejections+1, 8)
	s.unverified, s.unresponsive = b.settings.Probes, !responded && b.messagesReported
	b.ejectFor(s, min(reportTTL<<(s.ejections-1), b.turnoverTime()))
	if s.unresponsive && s.slowSince > 0 {
		b.moveOffSlow(s)
	}
}

func (b *Balancer) ejectFor(s *server, d time.Duration) {
	s.ejectedUntil = max(s.ejectedUntil, b.now+d*3/4+b.jitter(d/2))
}

// isEjected reports whether a server must not be chosen: for the ejection time, and then until it answers
// a probe, so that a server that is dead but listed costs probes and no attempts.
func (b *Balancer) isEjected(s *server) bool { return b.now < s.ejectedUntil || s.unverified }

// ---- Moves ----

// onMessageLatency applies the reported latency of messages at a server.
func (b *Balancer) onMessageLatency(e MessageLatency) {
	r := b.requests[e.Request]
	if r == nil || len(r.attempts) == 0 {
		return
	}
	b.messagesReported = true
	b.onMessageDelay(r.attempts[len(r.attempts)-1].server, e.Took, r.class.MessageLatencyTarget)
}

// onMessageDelay compares the time that a message takes at a server with its target.
func (b *Balancer) onMessageDelay(s *server, took, target time.Duration) {
	if took < target {
		s.slowSince = 0
		b.updateEstimate(s)
		return
	}
	s.messageDelay = took
	if s.slowReportedAt = b.now; s.slowSince == 0 {
		s.slowSince = b.now
	}
	b.updateEstimate(s)
	if took >= reportTTL && b.settings.Probes && s.State == Ready && !s.probing &&
		b.now-s.probedAt >= reportTTL/2 {
		b.probe(s) // to distinguish a slow server from one that does not respond
	}
	if (s.unresponsive || b.now-s.slowSince >= reportTTL) && b.now-s.movedOffAt >= reportTTL {
		s.movedOffAt = b.now
		b.moveOffSlow(s)
	}
}

// moveOffSlow moves some of our connections off a server whose messages stay above their latency target
// while others have room. It guards against a server that lost capacity, or whose connections grew: it
// serves no one until clients leave on their own, which may take minutes. Its backlog, estimated by the
// delay of messages, is to drain within about a second, so enough connections are moved for that. Every
// balancer moves its part of the excess and then waits to see the effect.
func (b *Balancer) moveOffSlow(s *server) {
	b.updateFleetStats()
	own := 0.0
	for _, r := range s.conns {
		own += r.weight
	}
	excess := minMoveFraction
	if b.fresh(s) && s.estimate > targetUtilization {
		excess = max(excess, (s.estimate-targetUtilization)/s.estimate)
	}
	if backlogTarget := max(targetUtilization/3, targetUtilization-s.messageDelay.Seconds()); b.fresh(s) &&
		b.meanRatio < backlogMoveMaxRatio {
		excess = max(excess, (s.estimate-backlogTarget)/s.estimate)
	}
	if s.unresponsive {
		excess = 1 // regardless of room elsewhere: this server serves no one
	}
	want := excess * own
	if !s.unresponsive &&
		b.spareCapacity < 2*excess*min(own*float64(b.settings.Balancers), s.estimate*b.capacityOf(s)) {
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

// moveOffDraining moves our connections off a draining server, evenly over turnoverTime. It guards
// against connections that break when the server stops, and against clients that reconnect all at once.
// Fractions are rounded at random, for the case of many balancers with one connection each.
func (b *Balancer) moveOffDraining(s *server) {
	rounds := max(1, float64(s.drainingSince+b.turnoverTime()-b.now)/float64(reportTTL/2))
	n := int(float64(len(s.conns))/rounds + b.rng.Float64())
	for _, r := range s.conns[:min(n, len(s.conns))] {
		b.act(Move{Request: r.Request})
	}
}

// ---- Setting up ----

// canSetUp reports whether a server may get one more connection to set up: at most as many wait there as
// it sets up within twice the shortest latency target. It guards against clients that arrive all at once,
// as after a restart: connections that wait longer time out and are sent to the next server, and the work
// of the first is lost, until no connection is established at all.
func (b *Balancer) canSetUp(s *server) bool {
	if s.setUpTime == 0 {
		return s.settingUp < defaultSetUpLimit
	}
	return s.settingUp < max(2, int(2*b.shortestLatencyTarget/s.setUpTime))
}

// roomExpected reports whether some server with room only awaits a probe's answer or cannot set up more
// yet.
func (b *Balancer) roomExpected(r *request) bool {
	return slices.ContainsFunc(b.servers, func(s *server) bool {
		return b.eligible(r, s) && !b.isEjected(s) && s.estimate < targetUtilization &&
			(s.probing || !b.canSetUp(s))
	})
}

// ---- Cold servers ----

// coldServerAdmits reports whether a server that has just started may get one more connection of the
// given weight from this balancer. It guards against all balancers together overloading it: each keeps to
// its share of a cautious budget. The budget accrues from the time the server became known, with nothing
// for the time before, and starts at a random value; a connection may be sent once the budget covers one.
// So the sum over all balancers is right, however many arrivals each has. Budget not used within a window
// expires. A connection heavier than the budget of all balancers goes elsewhere.
func (b *Balancer) coldServerAdmits(s *server, weight float64) bool {
	age, first := b.now-s.Started, s.senderFraction == 0
	if s.senderFraction = 1; s.Started <= 0 || age >= b.settings.Safety.WarmUp {
		return true
	}
	all, window := float64(b.settings.Balancers*(1+b.siblings)), b.coldBudget(s, age)
	if first {
		s.budget = b.rng.Float64() + 1/all
	}
	s.budget += window / all * float64(b.now-s.budgetUpdatedAt) /
		float64(max(b.settings.Safety.OverloadWindow, 1))
	s.budget -= math.Ceil(max(0, s.budget-window/all-1))
	s.senderFraction, s.budgetUpdatedAt = min(1, window/all), b.now
	return s.budget >= 1 && weight <= max(1, window)
}

// coldBudget is what all balancers together may send to a cold server in one window, in connections: a
// cautious fraction of the allowed multiple of the rate that would just fill the server over its warm-up.
// The slowest possible increase of its capacity is assumed.
func (b *Balancer) coldBudget(s *server, age time.Duration) float64 {
	safe := b.settings.Safety
	warm := safe.ColdCapacity + (1-safe.ColdCapacity)*float64(max(age, 0))/float64(safe.WarmUp)
	pace := b.capacityOf(s) / max(safe.WarmUp, reportTTL).Seconds()
	return coldBudgetFraction * safe.OverloadFactor * warm * pace * safe.OverloadWindow.Seconds()
}

// ---- Discovery ----

// onDiscovery tracks the state of the subscription to the server list.
func (b *Balancer) onDiscovery(kind ListKind) {
	if !b.settings.ListOnRequest || kind == ListSaved {
		return
	}
	b.subscribed = kind != ListFailed
	if b.subscribed {
		b.subscribeFailures = 0
		return
	}
	b.subscribeFailures++
	b.setTimer(b.subscribeBackoff()/2+b.jitter(b.subscribeBackoff()/2), 0, timerSubscribe)
}

// subscribeBackoff is the delay after failed calls, always well below the interval in which the list must
// be fetched. It grows so that many balancers do not keep an overloaded discovery service down.
func (b *Balancer) subscribeBackoff() time.Duration {
	return min(b.settings.Safety.ListRefreshInterval/16<<min(b.subscribeFailures, 3),
		b.settings.Safety.ListRefreshInterval/2)
}

func (b *Balancer) checkSubscription() {
	if !b.subscribed {
		b.act(Subscribe{})
	}
}

// ---- Admission ----

// mustReject reports whether a request that would go to s must be refused: s is full, or the other
// balancers place more, before reports can show it, than fits below the target; what fits is then
// admitted at random. The estimates already contain what this balancer placed.
//
// It guards against an overload that sustains itself: full servers serve no one and drop their clients,
// which come again. Where room is short, a tenant's traffic beyond its share is the first to be refused,
// and so is a class with less value for its load than the mean: one heavy connection takes the room of
// many.
//
// A balancer that has rejected too many arrivals in a row admits the next one nevertheless
// (mustAdmitNext): it sees few of many servers, and it may be chance that none of these has room.
func (b *Balancer) mustReject(r *request, s *server) bool {
	arrivals := b.othersArrivals()
	limit := targetUtilization
	if t := r.tenant; t != nil && t.beyondShare(b.settings.Balancers) {
		arrivals, limit = 2*arrivals, lowPriorityFraction*targetUtilization
	}
	limit *= lowPriorityFraction + (1-lowPriorityFraction)*min(1, b.valuePerLoad(r.class))
	if s.estimate >= limit {
		return true
	}
	return len(r.attempts) == 0 && b.spareCapacity < arrivals && b.rng.Float64()*arrivals > b.spareCapacity
}

// throttled reports whether an attempt is to be rejected: a random part of them, while more fail slowly
// than are established, so that at most about twice as many are made as succeed. It guards against the
// overload of something behind all servers: ejecting one server after the other does not help there, and
// every further attempt adds to the load that makes the others fail.
func (b *Balancer) throttled() bool {
	failed, established := b.failedAttempts.value(b.now, throttleWindow),
		b.establishedAttempts.value(b.now, throttleWindow)
	return b.rng.Float64()*(failed+established+1) < failed-established
}

// beyondShare reports whether this balancer's part of the tenant's connections, less one standard
// deviation, reaches its part of the tenant's quota.
func (t *tenant) beyondShare(balancers int) bool {
	n, part := float64(t.open), 1/float64(balancers)
	return n-math.Sqrt(n*(1-part)) >= t.quota*part
}
