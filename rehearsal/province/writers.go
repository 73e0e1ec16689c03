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

// subject is what a write is about, such as a host.
type subject struct {
	kind sitesync.Kind
	name string
}

// write is one write as its writer knows it.
type write struct {
	number int // from 1, unique in the world; the value ends with it
	site   *siteState
	subject
	localWrite     sitesync.LocalWrite
	overwrote      *write   // current value of its subject at the site when it was written
	dependencies   []*write // what its writer had read, as far as it depends on it
	committed      bool     // as reported to its writer
	committedAt    time.Duration
	id             sitesync.ID
	lostWithStores bool   // its site's stores were lost afterwards
	outcome        string // the root site's receipt, read at the end
}

// addSubjects adds the subjects of writes: few, so that concurrent writes concern the same ones.
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

// scheduleWriters schedules writes at random times at every site, and polls of the values.
func (w *World) scheduleWriters() {
	for _, site := range w.sites {
		for range w.Writes {
			w.after(5*time.Second+randomUpTo(w.planRNG, w.FaultPhase-5*time.Second), w.randomWrite(site))
		}
		if site.parent == nil && w.Writes > 0 { // one subject is closed for good, whatever is written below
			w.after(w.FaultPhase/2+randomUpTo(w.planRNG, w.FaultPhase/2), func() { w.closeSubject(site) })
		}
	}
	if len(w.subjects) > 0 {
		w.after(time.Second, w.pollSites)
	}
}

// randomWrite draws one write and returns the function that submits it.
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
			from = nil // a root site uses tokens only in every other world: sites below may then apply the write before those that its token names
		}
		w.write(site, node, subject, sitesync.LocalWrite{Value: []byte(verb), Urgent: urgent}, from, withNeeds)
	}
}

// closeSubject writes that a subject is closed for good, repeatedly until the write is committed at the root site.
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

// write submits a write at a node, which forwards it once to the leader that it knows, as the operator API does.
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
		reader := w.reader(from)
		if r, err := reader.core.Read(sitesync.Note, "", ""); err == nil && reader.core.AppliedIndex() == from.readIndex { // otherwise its log is behind what was read
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
	w.log(fmt.Sprintf("%s writes %s to %s at %s; urgent %v, token %v", site.name, localWrite.Value, localWrite.Subject, n.name, localWrite.Urgent, from != nil))
	w.submitWrite(write, n, false)
	return write
}

// addDependencies makes a write depend on the current values of all subjects at a site.
func (x *write) addDependencies(w *World, site *siteState) {
	for _, s := range w.subjects {
		if y := site.current[s]; y != nil {
			x.dependencies = append(x.dependencies, y)
		}
	}
}

// lastCommitted returns the last write of a site that was reported to its writer as committed, nil if there is none.
func (w *World) lastCommitted(site *siteState) *write {
	for _, write := range slices.Backward(w.writes) {
		if write.site == site && write.committed && !write.lostWithStores {
			return write
		}
	}
	return nil
}

// isCurrent reports whether a write holds the value of its subject at a site, as last read.
func (w *World) isCurrent(site *siteState, x *write) bool {
	return slices.ContainsFunc(w.subjects, func(s subject) bool { return site.current[s] == x })
}

// submitWrite submits a write at a node and follows a redirect to the leader once.
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
			w.log(fmt.Sprintf("w%d is refused: %v", write.number, err))
		default:
			w.markCommitted(write, reply)
		}
	})
}

// markCommitted records that a write was reported to its writer as committed, with its ID.
func (w *World) markCommitted(write *write, reply control.Reply) {
	for _, effect := range reply.Effects {
		if effect.Write != nil && effect.Kind == sitesync.EffectApplied && effect.Write.Subject == write.name && writeNumber(string(effect.Write.Value)) == write.number {
			write.committed, write.committedAt, write.id = true, w.now, effect.Write.ID
		}
	}
	if !write.committed {
		w.violation(fmt.Sprintf("w%d: committed, but the reply has no ID of the write", write.number))
		return
	}
	w.log(fmt.Sprintf("w%d has the ID %s", write.number, write.id))
	w.tally.Committed++
}

// isBelow reports whether a site is below another, at any distance.
func isBelow(site, other *siteState) bool {
	for a := site.parent; a != nil; a = a.parent {
		if a == other {
			return true
		}
	}
	return false
}

// writeNumber returns the number of a write from its value, 0 if there is none.
func writeNumber(value string) int {
	n, _ := strconv.Atoi(value[strings.LastIndex(value, " w")+2:])
	return n
}

// pollSites reads all sites once a second. After the fault phase it also writes shared hosts that operators took out of service
// back at the root sites, so that turns are not blocked by the limit of hosts out of service.
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
