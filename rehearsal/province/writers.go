package province

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/control"
)

// subject is something that is written about.
type subject struct {
	kind sitesync.Kind
	name string
}

// write is one write as its writer sees it.
type write struct {
	number int // in this world, from 1; it stands at the end of the value
	site   *siteState
	subject
	localWrite     sitesync.LocalWrite
	overwrote      *write // what held of its thing there when it was written
	dependencies   []*write
	committed      bool // its writer was told so
	committedAt    time.Duration
	id             sitesync.ID
	lostWithStores bool   // its site's stores were lost since
	outcome        string // what the top said of it, read at the end
}

// subjects are few, so that writes meet.
func (w *World) addSubjects() {
	for i := range w.SharedHosts {
		w.subjects = append(w.subjects, subject{sitesync.Safety, fmt.Sprintf("host/hand-g%02d", i)})
	}
	if w.Writes == 0 {
		return
	}
	for i := range 3 {
		w.subjects = append(w.subjects, subject{sitesync.Work, fmt.Sprintf("work/%d", i)},
			subject{sitesync.Policy, fmt.Sprintf("policy/%d", i)}, subject{sitesync.Note, fmt.Sprintf("policy/%d", i)})
	}
}

// writers has every site write at random times, and looks at what holds.
func (w *World) scheduleWriters() {
	for _, site := range w.sites {
		for range w.Writes {
			w.after(5*time.Second+randomUpTo(w.planRNG, w.FaultPhase-5*time.Second), w.randomWrite(site))
		}
		if site.parent == nil && w.Writes > 0 { // one thing is closed for good, whatever is written below
			w.after(w.FaultPhase/2+randomUpTo(w.planRNG, w.FaultPhase/2), func() { w.closeSubject(site) })
		}
	}
	if len(w.subjects) > 0 {
		w.after(time.Second, w.pollSites)
	}
}

// writer draws one write.
func (w *World) randomWrite(site *siteState) func() {
	subject, node := w.subjects[w.planRNG.IntN(len(w.subjects))], site.nodes[w.planRNG.IntN(len(site.nodes))]
	verbs := sitesync.Rules[subject.kind].Words
	verb := "seen"
	if len(verbs) > 0 {
		verb = verbs[w.planRNG.IntN(len(verbs))]
	}
	urgent, token, withNeeds := w.planRNG.IntN(4) == 0, w.planRNG.IntN(3) == 0, w.planRNG.IntN(6) == 0
	from := w.sites[w.planRNG.IntN(len(w.sites))]
	return func() {
		if !token || from == site || w.reader(from) == nil || site.parent == nil && w.Seed%2 == 0 {
			from = nil // at a top in every other world only: what is below it may then hold what it names too early
		}
		w.write(site, node, subject, sitesync.LocalWrite{Value: []byte(verb), Urgent: urgent}, from, withNeeds)
	}
}

// closing ends a thing for good, until the top has agreed to it.
func (w *World) closeSubject(site *siteState) {
	node := site.nodes[w.rng.IntN(len(site.nodes))]
	subject := subject{sitesync.Policy, "policy/0"}
	write := w.write(site, node, subject, sitesync.LocalWrite{Value: []byte("halt"), Closes: true}, nil, false)
	w.after(6*time.Second, func() {
		if !write.committed && w.now < w.FaultPhase+w.QuietPhase/2 {
			w.closeSubject(site)
		}
	})
}

// write hands a write in at a node, which passes it on to the leader it knows, once, as the desk does.
func (w *World) write(site *siteState, n *node, subject subject, localWrite sitesync.LocalWrite, from *siteState, withNeeds bool) *write {
	w.readSite(site)
	write := &write{number: len(w.writes) + 1, site: site, subject: subject, overwrote: site.current[subject]}
	w.writes = append(w.writes, write)
	localWrite.Kind, localWrite.Subject, localWrite.By = subject.kind, subject.name, "staff"
	localWrite.Value = fmt.Appendf(localWrite.Value, " w%d", write.number)
	if !localWrite.Urgent {
		write.addDependencies(w, site)
	} else if write.overwrote != nil {
		write.dependencies = append(write.dependencies, write.overwrote)
	}
	if from != nil {
		w.readSite(from)
		subject := w.reader(from)
		if r, err := subject.core.Read(sitesync.Note, "", ""); err == nil && subject.core.AppliedIndex() == from.readIndex { // else its log is behind
			localWrite.Token = r.Token
			write.addDependencies(w, from)
			for _, q := range w.sites {
				q.tokenUsed = q.tokenUsed || q == site || isBelow(q, site)
			}
		}
	}
	if last := w.lastCommitted(site); withNeeds && last != nil && w.isCurrent(site, last) {
		localWrite.Needs = []sitesync.ID{last.id}
	}
	write.localWrite = localWrite
	w.log(fmt.Sprintf("%s writes %s of %s at %s; urgent %v, token %v", site.name, localWrite.Value, localWrite.Subject, n.name, localWrite.Urgent, from != nil))
	w.submitWrite(write, n, false)
	return write
}

func (x *write) addDependencies(w *World, site *siteState) {
	for _, s := range w.subjects {
		if y := site.current[s]; y != nil {
			x.dependencies = append(x.dependencies, y)
		}
	}
}

// lastOf returns the last write that a site's writers were told of.
func (w *World) lastCommitted(site *siteState) *write {
	for _, write := range slices.Backward(w.writes) {
		if write.site == site && write.committed && !write.lostWithStores {
			return write
		}
	}
	return nil
}

// seen says whether a write is known to be applied at a site.
func (w *World) isCurrent(site *siteState, x *write) bool {
	return slices.ContainsFunc(w.subjects, func(s subject) bool { return site.current[s] == x })
}

func (w *World) submitWrite(write *write, n *node, forwarded bool) {
	if !n.up || n.paused || n.core == nil {
		return
	}
	n.core.Write(n.clock(), write.localWrite, func(reply control.Reply, err error) {
		var notLeader *control.NotLeaderError
		var unknown *control.OutcomeUnknownError
		switch {
		case errors.As(err, &notLeader) && !forwarded:
			w.after(2*time.Millisecond, func() { w.submitWrite(write, w.byName[notLeader.Leader], true) })
		case errors.As(err, &unknown):
			w.log(fmt.Sprintf("w%d: %v", write.number, err))
		case err != nil:
			w.tally.Refused++
			w.log(fmt.Sprintf("w%d is not taken: %v", write.number, err))
		default:
			w.markCommitted(write, reply)
		}
	})
}

// agreed notes that a writer was told that its write is agreed on.
func (w *World) markCommitted(write *write, reply control.Reply) {
	for _, effect := range reply.Effects {
		if effect.Write != nil && effect.Kind == sitesync.EffectApplied && effect.Write.Subject == write.name && writeNumber(string(effect.Write.Value)) == write.number {
			write.committed, write.committedAt, write.id = true, w.now, effect.Write.ID
		}
	}
	if !write.committed {
		w.violation(fmt.Sprintf("w%d: agreed, and no name came with it", write.number))
		return
	}
	w.log(fmt.Sprintf("w%d is %s", write.number, write.id))
	w.tally.Committed++
}

// below says whether a site is below another.
func isBelow(site, q *siteState) bool {
	for a := site.parent; a != nil; a = a.parent {
		if a == q {
			return true
		}
	}
	return false
}

// numbered reads a write's number off its value; 0: there is none.
func writeNumber(value string) int {
	n, _ := strconv.Atoi(value[strings.LastIndex(value, " w")+2:])
	return n
}

// polls looks at all sites once a second, and once all is whole has what is out by hand written back at the top, so that
// turns find their allowance.
func (w *World) pollSites() {
	w.after(time.Second, w.pollSites)
	for _, site := range w.sites {
		w.readSite(site)
		w.sampleReceipts(site)
		if site.parent != nil || !w.quiet || w.now < w.healedAt+recoveryTime/2 || w.now > w.FaultPhase+w.QuietPhase*3/4 || int(w.now/time.Second)%5 != 0 {
			continue
		}
		for _, s := range w.subjects[:w.SharedHosts] {
			if _, isOut := site.outSince[s.name]; isOut {
				w.write(site, site.nodes[w.rng.IntN(len(site.nodes))], s, sitesync.LocalWrite{Value: []byte("back")}, nil, false)
			}
		}
	}
}
