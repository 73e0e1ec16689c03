package province

import (
	"fmt"
	"strings"
	"time"

	"lichenhitch/internal/choice/sitesync"
)

// What is checked of writes. What holds at a site is what its seat with the longest log answers to a reader; which write was
// written over which, and what its writer had seen, this world knows by itself.

const (
	// settled is how long after the last fault every council has a leader and every node a right again: what was killed last
	// may be down for 14 s more, and then there is an election.
	recoveryTime = 30 * time.Second
	// known is how long after a host is out by hand at a site every answer to a node there names it: the leader looks at its
	// hosts once a second, and may have an entry under way for two.
	propagationTime = 4 * time.Second
)

// early is a write that held at a site before one that it depends on, as far as it could be seen.
type orderSuspect struct {
	site              *siteState
	write, dependency *write
	current           *write // what held instead; nil: nothing
	at                time.Duration
}

// reader returns the seat of a site with the longest log, or nil where none of them runs.
func (w *World) reader(site *siteState) (best *node) {
	for _, n := range site.nodes[:len(site.definition.Voters)] {
		if n.up && n.core != nil && n.core.AppliedIndex() > 0 && (best == nil || n.core.AppliedIndex() > best.core.AppliedIndex()) {
			best = n
		}
	}
	return best
}

// look reads what holds at a site, if more is applied there than was.
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
			w.log(fmt.Sprint(site.name, " holds ", write, " of ", subject.kind, " ", subject.name, " at ", reader.name, " from ", reader.core.AppliedIndex()))
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

// hands looks at the hosts that are written out, at a seat that answers a node.
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

// hand takes in what holds of a host that may be out by hand.
func (p *siteState) recordSharedHost(w *World, name, value string) {
	if !strings.HasPrefix(value, "out") {
		delete(p.outSince, name)
	} else if _, out := p.outSince[name]; !out {
		p.outSince[name] = w.now
	}
}

// checkHand checks that a node that sends something to a host could not know that it is out by hand.
func (w *World) checkOutOfService(n *node, host string) {
	name := "host/" + host
	since, out := n.site.outSince[name]
	overdue := w.quiet && w.now > w.healedAt+recoveryTime && w.now > since+propagationTime+w.LeaseDuration
	if !out || n.leaseRequestedAt < since+propagationTime && !overdue {
		return
	}
	w.readSite(n.site)
	if sinceNow, out := n.site.outSince[name]; out && sinceNow == since {
		w.violation(fmt.Sprintf("%s sent something new to %s, which is out by hand at %s since %v", n.name, host, n.site.name, since))
	}
}

// before says whether a write was written over, by another one or by one that that one was written over.
func overwritten(x, by *write) bool {
	for y := by.overwrote; y != nil; y = y.overwrote {
		if y == x {
			return true
		}
	}
	return false
}

// sample reads the receipts of some of a site's writes: what was said once must not change.
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

// receipt reads what a seat says became of a write; "": nothing yet.
func (w *World) readReceipt(site *siteState, replica *node, write *write) string {
	result, err := replica.core.Read(write.kind, "", write.id.String())
	if err != nil || result.Receipt == "" {
		return ""
	}
	if earlier := site.receipts[write.id]; earlier != "" && earlier != result.Receipt {
		w.violation(fmt.Sprintf("%s says of w%d %s, and said %s", replica.name, write.number, result.Receipt, earlier))
	}
	site.receipts[write.id] = result.Receipt
	return result.Receipt
}

// atEnd checks what has to hold once all is whole and nobody writes any more.
func (w *World) checkAtEnd() {
	for _, site := range w.sites {
		for _, turn := range site.turns {
			if !turn.ended {
				w.tally.Unfinished++
				w.log(site.name + ": not over: " + turn.id)
				for _, n := range site.nodes {
					if n.core == nil || !n.core.Leading() {
						continue
					}
					t, known := n.core.Schedule().Turn(turn.id)
					w.log(fmt.Sprint(n.name, " leads; known ", known, " ", t.Phase, " ", n.core.BlockerTexts(n.clock(), t)))
				}
			}
		}
	}
	if w.FixedOrder || len(w.subjects) == 0 {
		return
	}
	for _, site := range w.sites {
		if w.reader(site) == nil {
			w.violation(site.name + " has no seat that runs")
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
			w.violation(fmt.Sprintf("%v: %s had w%d of %s, and not w%d of %s that its writer had seen", suspect.at, suspect.site.name, suspect.write.number,
				suspect.write.name, suspect.dependency.number, suspect.dependency.name))
		}
	}
}

// fates reads what became of each write, at the top and at its own site.
func (w *World) checkReceipts() {
	byID := map[sitesync.ID]*write{}
	for _, x := range w.writes {
		if !x.committed {
			continue
		}
		if y := byID[x.id]; y != nil {
			w.violation(fmt.Sprintf("w%d and w%d have one name, %s", y.number, x.number, x.id))
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
				w.violation(fmt.Sprintf("w%d (%s): %s has the receipt %q, the top %q", x.number, x.id, replica.name, receipt, x.outcome))
			}
		}
		w.tally.Receipts++
		if x.outcome != "applied" {
			w.tally.Rejected++
		}
	}
}

func rootOf(site *siteState) *siteState {
	for site.parent != nil {
		site = site.parent
	}
	return site
}

// checkValues checks that all seats of a site hold what the top holds, and the top nothing that was written over.
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
				w.violation(fmt.Sprintf("%s holds w%d of %s %s, %s holds %s", n.name, got, subject.kind, subject.name, root.name, want))
			}
		}
		for _, x := range w.writes {
			if site == root && rootOf(x.site) == root && x.subject == subject && x.outcome == "applied" && (want == nil || overwritten(want, x)) {
				w.violation(fmt.Sprintf("%s holds %s of %s %s, which w%d was written over", root.name, want, subject.kind, subject.name, x.number))
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

// checkOrder checks that nothing came back at a site that had been written over by what was taken: it would have been
// applied twice, or after what depends on it.
func (w *World) checkOrder(site *siteState) {
	for _, subject := range w.subjects {
		history := site.history[subject]
		for i, x := range history {
			for _, y := range history[i+1:] {
				if x != nil && x.outcome == "applied" && (y == nil || overwritten(y, x)) {
					w.violation(fmt.Sprintf("%s held %s of %s %s again after %s, which was written over it", site.name, y, subject.kind, subject.name, x))
				}
			}
		}
	}
}
