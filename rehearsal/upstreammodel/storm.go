package upstreammodel

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"lichenhitch/internal/choice/sitesync"
)

// ReconnectStorm is a load test: many sites that were cut off from one province reconnect at once, in virtual time.
type ReconnectStorm struct {
	Sites  int
	Writes int // of each site, while it was cut off
	Seed   uint64
}

// Results holds the measurements of a reconnect storm.
type Results struct {
	AllApplied         time.Duration // from the return of the links until the province has all writes
	AllCurrent         time.Duration // until every site has the state of the province and its own receipts
	WallTime           time.Duration
	MaxHeap            uint64 // maximum of bytes in use, as counted by the runtime
	Calls              int
	UsualP99           time.Duration // p99 latency of the province's own writes without the storm
	LoadedP99          time.Duration // p99 latency of the province's own writes during the storm
	Applied            int           // writes of the sites that the province applied
	Receipts           int           // that reached the sites
	Written            int           // by the sites
	Merged             int           // evidence merged into earlier writes
	Converged          bool          // all sites held the same content in the end
	OutOfOrder         int           // writes applied before one that they depend on
	AppliedTwice       int           // writes applied more than once
	WronglyOverwritten int           // writes replaced by an earlier one that their writer had observed
	DroppedSilently    int           // writes dropped without a report to any site
}

// The timing of the province's consensus group and of the network.
const (
	commitTime         = 2 * time.Millisecond  // for one log entry
	commitTimePerWrite = 20 * time.Microsecond // in addition, for each write in the entry
	oneWayDelay        = 5 * time.Millisecond
	localWriteInterval = 25 * time.Millisecond // between two of the province's own writes, on average
	callTimeout        = 500 * time.Millisecond
	lossOneIn          = 20 // one answer of this many is lost
	batchSize          = 32 // writes in one call
	plainBatchSize     = 32 // writes in one call of the plain protocol
)

// event is an action scheduled for a time.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// eventQueue is a priority queue of events, earliest first.
type eventQueue struct {
	list []event
	seq  int
	now  time.Duration
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q.list[i].at, q.list[j].at), cmp.Compare(q.list[i].seq, q.list[j].seq)) < 0
}
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *eventQueue) Pop() any {
	e := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return e
}

func (q *eventQueue) schedule(d time.Duration, action func()) {
	q.seq++
	heap.Push(q, event{q.now + max(0, d), q.seq, action})
}

// run executes events until done returns true or no event is left.
func (q *eventQueue) run(done func() bool) {
	for len(q.list) > 0 && !done() {
		e := heap.Pop(q).(event)
		q.now = e.at
		e.action()
	}
}

// entry is a log entry that the province's consensus group is to commit.
type entry struct {
	cost time.Duration
	done func()
}

// raftLog commits one entry after the other, optionally the province's own writes first.
type raftLog struct {
	events        *eventQueue
	local, others []entry
	busy          bool
	localFirst    bool
}

func (l *raftLog) propose(local bool, e entry) {
	if local && l.localFirst {
		l.local = append(l.local, e)
	} else {
		l.others = append(l.others, e)
	}
	l.next()
}

func (l *raftLog) next() {
	if l.busy || len(l.local)+len(l.others) == 0 {
		return
	}
	queue := &l.others
	if len(l.local) > 0 {
		queue = &l.local
	}
	e := (*queue)[0]
	*queue = (*queue)[1:]
	l.busy = true
	l.events.schedule(e.cost, func() {
		l.busy = false
		e.done()
		l.next()
	})
}

// world is the sites and the province.
type world struct {
	ReconnectStorm
	events         eventQueue
	rand           *rand.Rand
	province       *sitesync.Site
	sites          []*sitesync.Site
	queues         [][]*sitesync.Write // the writes of each site, in their order
	results        Results
	localLatencies []time.Duration
	log            raftLog
}

var stormLimits = sitesync.Limits{Bytes: 64 << 20, Number: 40000, Age: 1000 * time.Hour, Batch: batchSize, Held: 256}

// newWorld makes the province and the sites with their queues. Tokens that move between sites add dependencies.
func newWorld(s ReconnectStorm) (*world, error) {
	w := &world{ReconnectStorm: s, rand: rand.New(rand.NewPCG(s.Seed, 7))}
	w.log.events = &w.events
	w.province = sitesync.New(sitesync.Place{Site: "province", Incarnation: 1, StoreCreated: 1}, stormLimits).WithMerge(addEvidence)
	for i := range s.Sites {
		p := sitesync.Place{Site: fmt.Sprintf("site-%02d", i), Level: 1, Incarnation: uint64(i) + 1, StoreCreated: 1,
			Ancestors: []string{"province"}}
		w.sites = append(w.sites, sitesync.New(p, stormLimits).WithMerge(addEvidence))
	}
	w.queues = make([][]*sitesync.Write, s.Sites)
	skew := make([]time.Duration, s.Sites)
	for i := range skew {
		skew[i] = time.Duration(w.rand.IntN(30000)) * time.Millisecond
	}
	for n := range s.Writes {
		for i, site := range w.sites {
			if err := w.makeWrite(i, site, n, skew[i]); err != nil {
				return nil, err
			}
		}
	}
	return w, nil
}

// makeWrite makes one write at a site: half on subjects of its own, some on subjects shared by all, one in a hundred urgent.
func (w *world) makeWrite(i int, site *sitesync.Site, n int, skew time.Duration) error {
	l := &sitesync.LocalWrite{}
	switch r := w.rand.IntN(100); {
	case r < 30:
		l.Kind, l.Subject, l.Value = sitesync.Evidence, fmt.Sprint("policy/", w.rand.IntN(4)), []byte{1}
	case r < 50:
		l.Kind, l.Subject, l.Value = sitesync.Note, fmt.Sprintf("policy/%d", w.rand.IntN(20)), []byte("seen at "+site.Self().Site)
	case r < 75:
		l.Kind, l.Subject = sitesync.Work, fmt.Sprintf("host/%d-%d", i, w.rand.IntN(20))
		l.Value = []byte([]string{"asked", "begun", "done", "withdrawn"}[w.rand.IntN(4)])
	case r < 80:
		l.Kind, l.Subject, l.Value = sitesync.Policy, fmt.Sprint("policy/", w.rand.IntN(4)),
			[]byte([]string{"begin", "halt", "resume"}[w.rand.IntN(3)])
	default:
		l.Kind, l.Subject, l.Value = sitesync.Safety, fmt.Sprintf("host/%d-%d", i, w.rand.IntN(20)),
			[]byte([]string{"out", "back"}[w.rand.IntN(2)])
		l.Urgent = r >= 99
	}
	if l.Kind != sitesync.Evidence && w.rand.IntN(100) == 0 {
		l.Token = w.sites[w.rand.IntN(len(w.sites))].Token()
	}
	for _, e := range site.Apply(time.Duration(n)*time.Second+skew, sitesync.Command{Write: l}) {
		switch e.Kind {
		case sitesync.EffectApplied:
			w.queues[i] = append(w.queues[i], e.Write)
		case sitesync.EffectMerged:
			w.results.Merged++
			w.queues[i][len(w.queues[i])-1] = w.replaceMerged(i, e.Write)
		case sitesync.EffectRefused:
			return e.Err
		}
	}
	w.results.Written++
	if n%50 == 49 { // so that the evidence is not all merged into one write
		if u := site.Unoffered(); u != nil {
			site.Apply(0, *u)
		}
	}
	return nil
}

// replaceMerged replaces the earlier version of a merged write, and returns the last write of the queue.
func (w *world) replaceMerged(i int, m *sitesync.Write) *sitesync.Write {
	q := w.queues[i]
	for j := len(q) - 1; j >= 0; j-- {
		if q[j].ID == m.ID {
			q[j] = m
			break
		}
	}
	return q[len(q)-1]
}

// writeAtProvince makes the province's own writes at random intervals.
func (w *world) writeAtProvince(done func() bool, commitOne func(n int, cost time.Duration, committed func())) {
	n := 0
	var next func()
	next = func() {
		if done() {
			return
		}
		n++
		started := w.events.now
		commitOne(n, commitTime+commitTimePerWrite, func() { w.localLatencies = append(w.localLatencies, w.events.now-started) })
		w.events.schedule(time.Duration(w.rand.ExpFloat64()*float64(localWriteInterval)), next)
	}
	w.events.schedule(0, next)
}

func p99(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)*99/100]
}

// usualP99 returns the p99 latency of the province's own writes without other load.
func usualP99(seed uint64) time.Duration {
	w := &world{rand: rand.New(rand.NewPCG(seed, 8))}
	w.log = raftLog{events: &w.events, localFirst: true}
	w.writeAtProvince(func() bool { return len(w.localLatencies) >= 2000 }, func(_ int, cost time.Duration, committed func()) {
		w.log.propose(true, entry{cost, committed})
	})
	w.events.run(func() bool { return len(w.localLatencies) >= 2000 })
	return p99(w.localLatencies)
}

// Replay lets the sites reconnect with credits, jitter and priority for the province's own writes.
func (s ReconnectStorm) Replay() (*Results, error) {
	started := time.Now()
	w, err := newWorld(s)
	if err != nil {
		return nil, err
	}
	w.log.localFirst = true
	budget := sitesync.Budget{Rate: 8000, Batch: batchSize, MaxAhead: time.Second, UrgentBatch: 8, LocalCost: batchSize}
	scheduler := sitesync.NewCreditScheduler(budget)
	timing := sitesync.Timing{PollInterval: time.Second, RetryDelay: 100 * time.Millisecond, MaxRetryDelay: 5 * time.Second,
		MaxFailures: 5, ReturnInterval: time.Minute}
	applied := map[sitesync.ID]bool{}
	appliedUpTo := map[sitesync.Origin]uint64{}
	current := make([]bool, s.Sites)
	remaining := s.Sites
	total := 0
	for i := range w.queues {
		total += len(w.queues[i])
	}
	allCurrent := func() bool { return remaining == 0 }
	w.writeAtProvince(allCurrent, func(n int, cost time.Duration, committed func()) {
		scheduler.CountLocalWrite(w.events.now)
		w.log.propose(true, entry{cost, func() {
			l := &sitesync.LocalWrite{Kind: sitesync.Safety, Subject: fmt.Sprint("host/p-", n%50), Value: []byte("out")}
			w.province.Apply(w.events.now, sitesync.Command{Write: l})
			committed()
		}})
	})
	for i := range w.sites {
		forwarder := sitesync.NewForwarder(func() *sitesync.Site { return w.sites[i] }, timing)
		var callNext func()
		callNext = func() {
			if allCurrent() {
				return
			}
			if offer := forwarder.Offer(); offer != nil {
				w.sites[i].Apply(w.events.now, *offer)
			}
			_, b, wait := forwarder.Next(w.events.now)
			if b == nil {
				w.events.schedule(max(wait, time.Millisecond), callNext)
				return
			}
			w.results.Calls++
			data := b.Bytes()
			lost := w.rand.IntN(lossOneIn) == 0
			w.events.schedule(oneWayDelay, func() {
				b, err := sitesync.ParseBatch(data)
				if err != nil {
					panic(err)
				}
				admitted := scheduler.Admit(b) == nil
				if !admitted {
					b.Writes = nil
				}
				answer := func() {
					credit, wait := scheduler.Grant(w.events.now, b, w.province.Room())
					data := w.province.Answer(b, credit, wait).Bytes()
					if lost {
						w.events.schedule(callTimeout-oneWayDelay, func() { forwarder.Failed(w.events.now); callNext() })
						return
					}
					w.events.schedule(oneWayDelay, func() {
						a, err := sitesync.ParseAnswer(data)
						if err != nil {
							panic(err)
						}
						if cmd := forwarder.Answered(w.events.now, a); cmd != nil {
							for _, e := range w.sites[i].Apply(w.events.now, *cmd) {
								if e.Kind == sitesync.EffectReceipt {
									w.results.Receipts++
								}
							}
						}
						if own, _ := w.sites[i].Waiting(); own == 0 && !current[i] && w.results.Applied == total && a.Down != nil && a.Down.Last {
							current[i] = true
							remaining--
						}
						callNext()
					})
				}
				if len(b.Writes) == 0 {
					answer()
					return
				}
				w.log.propose(false, entry{commitTime + time.Duration(len(b.Writes))*commitTimePerWrite, func() {
					for _, e := range w.province.Apply(w.events.now, sitesync.Command{Batch: b}) {
						if e.Kind == sitesync.EffectApplied {
							w.recordApplied(e.Write, applied, appliedUpTo)
						}
					}
					if w.results.Applied == total && w.results.AllApplied == 0 {
						w.results.AllApplied = w.events.now
					}
					answer()
				}})
			})
		}
		w.events.schedule(time.Duration(w.rand.IntN(100))*time.Millisecond, callNext)
		if i == 0 {
			w.sampleHeap()
		}
	}
	samples := 0
	w.events.run(func() bool {
		if samples++; samples%20000 == 0 {
			w.sampleHeap()
		}
		return allCurrent() || w.events.now > time.Hour
	})
	w.sampleHeap()
	w.results.AllCurrent, w.results.UsualP99, w.results.LoadedP99 = w.events.now, usualP99(s.Seed), p99(w.localLatencies)
	w.results.Converged = w.converged(allCurrent())
	w.results.WallTime = time.Since(started)
	return &w.results, nil
}

// recordApplied compares a write applied at the province with its dependencies.
func (w *world) recordApplied(write *sitesync.Write, applied map[sitesync.ID]bool, appliedUpTo map[sitesync.Origin]uint64) {
	if applied[write.ID] {
		w.results.AppliedTwice++
	}
	applied[write.ID] = true
	if write.ID.Number != appliedUpTo[write.ID.Origin]+1 || slices.ContainsFunc(write.Dependencies, func(m sitesync.VectorEntry) bool {
		return m.Origin.Site != "province" && m.Number > appliedUpTo[m.Origin]
	}) {
		w.results.OutOfOrder++
	}
	appliedUpTo[write.ID.Origin] = max(appliedUpTo[write.ID.Origin], write.ID.Number)
	w.results.Applied++
}

func (w *world) sampleHeap() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	w.results.MaxHeap = max(w.results.MaxHeap, m.HeapInuse)
}

// converged reports whether every site has the content of the province, after fetching what the province wrote since the last
// call.
func (w *world) converged(ended bool) bool {
	if !ended {
		return false
	}
	for _, site := range w.sites {
		forwarder := sitesync.NewForwarder(func() *sitesync.Site { return site }, sitesync.Timing{MaxFailures: 1})
		for range 4 + len(w.province.Subjects(sitesync.Safety))*w.Sites/batchSize {
			_, b, _ := forwarder.Next(w.events.now + 100*time.Hour)
			if b == nil {
				return false
			}
			a := w.province.Answer(b, 0, 0)
			if cmd := forwarder.Answered(0, a); cmd != nil {
				site.Apply(w.events.now, *cmd)
			}
			if a.Down.Last {
				break
			}
		}
		if !slices.Equal(site.Seen(), w.province.Seen()) {
			return false
		}
		for _, name := range w.province.Subjects(sitesync.Evidence) { // the province has the evidence of each site
			all, _ := w.province.Value(sitesync.Evidence, name)
			own, found := site.Value(sitesync.Evidence, name)
			if found && !slices.ContainsFunc(append(all.Concurrent, all.Write), func(x sitesync.Write) bool {
				return x.ID == own.Write.ID && string(x.Value) == string(own.Value)
			}) {
				return false
			}
		}
		for k := sitesync.Note; int(k) < sitesync.Kinds; k++ {
			for _, name := range w.province.Subjects(k) {
				a, _ := w.province.Value(k, name)
				b, _ := site.Value(k, name)
				if a.Write.ID != b.Write.ID || string(a.Value) != string(b.Value) {
					return false
				}
			}
		}
	}
	return true
}

// Plain lets the same sites reconnect with a plain protocol: each sends its queue as fast as it is answered, and resends from the
// last answer when an answer is late. Of two writes on a subject, the one with the later time is kept.
func (s ReconnectStorm) Plain() (*Results, error) {
	started := time.Now()
	w, err := newWorld(s)
	if err != nil {
		return nil, err
	}
	type subjectKey struct {
		kind    sitesync.Kind
		subject string
	}
	current := map[subjectKey]*sitesync.Write{}
	applied := map[sitesync.ID]bool{}
	appliedUpTo := map[sitesync.Origin]uint64{}
	remaining := s.Sites
	w.writeAtProvince(func() bool { return remaining == 0 }, func(_ int, cost time.Duration, committed func()) {
		w.log.propose(true, entry{cost, committed})
	})
	receive := func(write *sitesync.Write) {
		w.recordApplied(write, applied, appliedUpTo)
		k := subjectKey{write.Kind, write.Subject}
		previous := current[k]
		if previous == nil || write.Kind == sitesync.Evidence || previous.ID == write.ID {
			current[k] = write
			return
		}
		kept, dropped := previous, write
		if write.At >= previous.At {
			kept, dropped = write, previous
			current[k] = write
		}
		switch {
		case overwrites(dropped, kept): // the dropped write had overwritten the kept one
			w.results.WronglyOverwritten++
		case !overwrites(kept, dropped):
			w.results.DroppedSilently++
		}
	}
	for i := range w.sites {
		sent := 0
		var call func()
		call = func() {
			q := w.queues[i]
			if sent >= len(q) {
				remaining--
				return
			}
			batch := q[sent:min(len(q), sent+plainBatchSize)]
			w.results.Calls++
			late := false
			lost := w.rand.IntN(lossOneIn) == 0
			answered := false
			w.events.schedule(callTimeout, func() {
				if !answered {
					late = true
					call()
				}
			})
			w.events.schedule(oneWayDelay, func() {
				w.log.propose(false, entry{commitTime + time.Duration(len(batch))*commitTimePerWrite, func() {
					for _, write := range batch {
						receive(write)
					}
					w.events.schedule(oneWayDelay, func() {
						if late || lost {
							return
						}
						answered = true
						sent += len(batch)
						call()
					})
				}})
			})
		}
		w.events.schedule(time.Duration(w.rand.IntN(100))*time.Millisecond, call)
	}
	samples := 0
	w.events.run(func() bool {
		if samples++; samples%20000 == 0 {
			w.sampleHeap()
		}
		return remaining == 0 || w.events.now > 10*time.Minute
	})
	w.sampleHeap()
	w.results.AllApplied, w.results.AllCurrent, w.results.UsualP99, w.results.LoadedP99 =
		w.events.now, w.events.now, usualP99(s.Seed), p99(w.localLatencies)
	w.results.WallTime = time.Since(started)
	return &w.results, nil
}

// overwrites reports whether a write overwrites another one.
func overwrites(by, x *sitesync.Write) bool {
	return by.ID.Origin == x.ID.Origin && by.ID.Number > x.ID.Number || by.Overwrites.Has(x.ID)
}

func (r *Results) String() string {
	return fmt.Sprintf("%d writes (%d merged) at the province after %v, all sites current after %v, %d calls, %.1f s of computing, %d MiB; "+
		"p99 of the province's own writes %v (usual %v); %d applied, %d receipts; converged %v, out of order %d, "+
		"applied twice %d, wrongly overwritten %d, dropped silently %d",
		r.Written, r.Merged, r.AllApplied.Round(time.Millisecond), r.AllCurrent.Round(time.Millisecond), r.Calls, r.WallTime.Seconds(),
		r.MaxHeap>>20, r.LoadedP99.Round(10*time.Microsecond), r.UsualP99.Round(10*time.Microsecond), r.Applied, r.Receipts, r.Converged,
		r.OutOfOrder, r.AppliedTwice, r.WronglyOverwritten, r.DroppedSilently)
}
