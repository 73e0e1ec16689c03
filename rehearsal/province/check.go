package province

import (
	"fmt"
	"strings"
	"time"

	"lichenhitch/internal/choice/sitesync"
)

// Checks of writes. The value of a subject at a site is the one that its replica with the highest applied index answers to a
// reader. Which write overwrote which, and what its writer had read before, the simulation records by itself.

const (
	// recoveryTime is the time after the last fault within which every consensus group has a leader and every node a send lease:
	// a process that was killed last may be down for 14 s more, and an election follows.
	recoveryTime = 30 * time.Second
	// propagationTime is the time after which every lease response at a site names a host that an operator took out of service
	// there: the leader checks its hosts once a second, and may have an entry pending for two seconds.
	propagationTime = 4 * time.Second
)

// orderSuspect is a write that was current at a site which, as far as could be read, did not have one that it depends on.
type orderSuspect struct {
	site              *siteState
	write, dependency *write
	current           *write // of the dependency's subject, instead of the dependency; nil: none
	at                time.Duration
}

// reader returns the running node whose replica has the highest applied index of a site, nil if there is none.
func (w *World) reader(site *siteState) (best *node) {
	for _, n := range site.nodes[:len(site.definition.Voters)] {
		if n.up && n.core != nil && n.core.AppliedIndex() > 0 && (best == nil || n.core.AppliedIndex() > best.core.AppliedIndex()) {
			best = n
		}
	}
	return best
}

// readSite reads the values of all subjects at a site, if more entries are applied there than at the last read.
func (w *World) readSite(site *siteState) {
	reader := w.reader(site)
	if reader == nil || reader.core.AppliedIndex() <= site.readIndex {
		return
	}
	for _, subject := range w.subjects {
		result, err := reader.core.Read(subject.kind, subject.name, "")
		if err != nil {
			return
		}
		var write *write
		if result.Found {
			write = w.writes[writeNumber(result.Value)-1]
		}
		if write != site.current[subject] {
			site.current[subject] = write
			site.history[subject] = append(site.history[subject], write)
			w.log(fmt.Sprint(site.name, " has ", write, " of ", subject.kind, " ", subject.name, " at ", reader.name, ", applied index ", reader.core.AppliedIndex()))
		}
		if subject.kind == sitesync.Safety {
			site.recordSharedHost(w, subject.name, result.Value)
		}
	}
	site.readIndex = reader.core.AppliedIndex()
	if site.tokenUsed {
		return
	}
	for _, subject := range w.subjects {
		if write := site.current[subject]; write != nil {
			for _, dependency := range write.dependencies {
				if current := site.current[dependency.subject]; current == nil || overwritten(current, dependency) {
					w.suspects = append(w.suspects, orderSuspect{site, write, dependency, current, w.now})
				}
			}
		}
	}
}

// readSharedHosts reads the state of the shared hosts from a replica that answers a lease request.
func (w *World) readSharedHosts(replica *node) {
	if replica.core.AppliedIndex() < replica.site.readIndex {
		return
	}
	for _, subject := range w.subjects[:w.SharedHosts] {
		if r, err := replica.core.Read(subject.kind, subject.name, ""); err == nil {
			replica.site.recordSharedHost(w, subject.name, r.Value)
		}
	}
}

// recordSharedHost records whether an operator has a shared host out of service, by the value of its subject.
func (p *siteState) recordSharedHost(w *World, name, value string) {
	if !strings.HasPrefix(value, "out") {
		delete(p.outSince, name)
	} else if _, out := p.outSince[name]; !out {
		p.outSince[name] = w.now
	}
}

// checkOutOfService checks a node that sends new work to a host: if an operator has the host out of service, the node must not
// have been able to know.
func (w *World) checkOutOfService(n *node, host string) {
	name := "host/" + host
	since, out := n.site.outSince[name]
	overdue := w.quiet && w.now > w.healedAt+recoveryTime && w.now > since+propagationTime+w.LeaseDuration
	if !out || n.leaseRequestedAt < since+propagationTime && !overdue {
		return
	}
	w.readSite(n.site)
	if sinceNow, out := n.site.outSince[name]; out && sinceNow == since {
		w.violation(fmt.Sprintf("%s sent new work to %s, which an operator has out of service at %s since %v", n.name, host, n.site.name, since))
	}
}

// overwritten reports whether a write was overwritten by another one, or by one that this other one overwrote, directly or not.
func overwritten(x, by *write) bool {
	for y := by.overwrote; y != nil; y = y.overwrote {
		if y == x {
			return true
		}
	}
	return false
}

// sampleReceipts reads the receipts of some of a site's writes: once given, a receipt must not change.
func (w *World) sampleReceipts(site *siteState) {
	reader := w.reader(site)
	if reader == nil || len(w.writes) == 0 {
		return
	}
	for range 5 {
		if write := w.writes[w.rng.IntN(len(w.writes))]; write.site == site && write.committed {
			w.readReceipt(site, reader, write)
		}
	}
}

// readReceipt returns the receipt that a replica gives of a write, "" if there is none yet.
func (w *World) readReceipt(site *siteState, replica *node, write *write) string {
	result, err := replica.core.Read(write.kind, "", write.id.String())
	if err != nil || result.Receipt == "" {
		return ""
	}
	if earlier := site.receipts[write.id]; earlier != "" && earlier != result.Receipt {
		w.violation(fmt.Sprintf("%s gives write w%d the receipt %s; earlier receipt: %s", replica.name, write.number, result.Receipt, earlier))
	}
	site.receipts[write.id] = result.Receipt
	return result.Receipt
}

// checkAtEnd checks what has to hold once nothing is broken and nothing is written any more.
func (w *World) checkAtEnd() {
	for _, site := range w.sites {
		for _, turn := range site.turns {
			if !turn.ended {
				w.tally.Unfinished++
				w.log(site.name + ": turn not ended: " + turn.id)
				for _, n := range site.nodes {
					if n.core == nil || !n.core.Leading() {
						continue
					}
					t, known := n.core.Schedule().Turn(turn.id)
					w.log(fmt.Sprint(n.name, " leads; turn known ", known, ", phase ", t.Phase, ", blockers ", n.core.BlockerTexts(n.clock(), t)))
				}
			}
		}
	}
	if w.FixedOrder || len(w.subjects) == 0 {
		return
	}
	for _, site := range w.sites {
		if w.reader(site) == nil {
			w.violation(site.name + " has no running replica")
			return
		}
		w.readSite(site)
	}
	w.checkReceipts()
	for _, site := range w.sites {
		w.checkValues(site)
		w.checkOrder(site)
	}
	for _, suspect := range w.suspects {
		if suspect.dependency.outcome == "applied" && (suspect.current == nil || suspect.current.outcome == "applied") {
			w.violation(fmt.Sprintf("%v: %s had applied w%d of %s without its dependency w%d of %s", suspect.at, suspect.site.name, suspect.write.number,
				suspect.write.name, suspect.dependency.number, suspect.dependency.name))
		}
	}
}

// checkReceipts reads the receipt of each committed write at the root site, and checks that all replicas of its own site give the
// same one.
func (w *World) checkReceipts() {
	byID := map[sitesync.ID]*write{}
	for _, x := range w.writes {
		if !x.committed {
			continue
		}
		if y := byID[x.id]; y != nil {
			w.violation(fmt.Sprintf("w%d and w%d have the same ID %s", y.number, x.number, x.id))
		}
		byID[x.id] = x
		root := rootOf(x.site)
		x.outcome = w.readReceipt(root, w.reader(root), x)
		if x.outcome == "" && x.lostWithStores {
			w.tally.LostWrites++
			continue
		}
		for _, replica := range x.site.nodes[:len(x.site.definition.Voters)] {
			if receipt := w.readReceipt(x.site, replica, x); receipt == "" || receipt != x.outcome {
				w.violation(fmt.Sprintf("w%d (%s): %s has the receipt %q, the root site %q", x.number, x.id, replica.name, receipt, x.outcome))
			}
		}
		w.tally.Receipts++
		if x.outcome != "applied" {
			w.tally.Rejected++
		}
	}
}

// rootOf returns the root site above a site.
func rootOf(site *siteState) *siteState {
	for site.parent != nil {
		site = site.parent
	}
	return site
}

// checkValues checks that all replicas of a site have the root site's value of each subject, and that the root site has no value
// that was overwritten.
func (w *World) checkValues(site *siteState) {
	root := rootOf(site)
	for _, subject := range w.subjects {
		want := root.current[subject]
		for _, n := range site.nodes[:len(site.definition.Voters)] {
			result, err := n.core.Read(subject.kind, subject.name, "")
			got := 0
			if err == nil && result.Found {
				got = writeNumber(result.Value)
			}
			if err != nil || want == nil && got != 0 || want != nil && got != want.number {
				w.violation(fmt.Sprintf("%s has w%d of %s %s, %s has %s", n.name, got, subject.kind, subject.name, root.name, want))
			}
		}
		for _, x := range w.writes {
			if site == root && rootOf(x.site) == root && x.subject == subject && x.outcome == "applied" && (want == nil || overwritten(want, x)) {
				w.violation(fmt.Sprintf("%s has %s of %s %s, which w%d overwrote", root.name, want, subject.kind, subject.name, x.number))
			}
		}
	}
}

func (x *write) String() string {
	if x == nil {
		return "nothing"
	}
	return fmt.Sprintf("w%d", x.number)
}

// checkOrder checks that no value returned at a site after a write that was applied had overwritten it: it would have been
// applied twice, or after a write that depends on it.
func (w *World) checkOrder(site *siteState) {
	for _, subject := range w.subjects {
		history := site.history[subject]
		for i, x := range history {
			for _, y := range history[i+1:] {
				if x != nil && x.outcome == "applied" && (y == nil || overwritten(y, x)) {
					w.violation(fmt.Sprintf("%s had %s of %s %s again after %s, which overwrote it", site.name, y, subject.kind, subject.name, x))
				}
			}
		}
	}
}
