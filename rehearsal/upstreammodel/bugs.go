package upstreammodel

import (
	"slices"

	"lichenhitch/internal/choice/sitesync"
)

// injectedBug changes the messages between the sites and the real code. The daemon has none of these bugs.
type injectedBug struct {
	Name, About       string
	Scenario          string // that finds it
	sameIncarnation   bool
	noCreationTime    bool
	noOffer           bool
	discardOnSend     bool
	anyIncarnation    bool
	lastChunkRefusals bool
	changeWrite       func(*sitesync.LocalWrite)
	changeBatch       func(*sitesync.Batch)      // as it is sent
	changeReceived    func(int, *sitesync.Batch) // as it is applied
	changeAnswer      func(*State, int, *sitesync.Answer)
	changeState       func(int, *sitesync.StateUpdate) // as it is joined
}

// BugInfo describes an injected bug and names the scenario that finds it.
type BugInfo struct{ Name, About, Scenario string }

// InjectedBugs lists the bugs that can be injected.
func InjectedBugs() []BugInfo {
	var list []BugInfo
	for _, p := range injectedBugs {
		list = append(list, BugInfo{p.Name, p.About, p.Scenario})
	}
	return list
}

// eachWrite changes every write of a batch.
func eachWrite(f func(*sitesync.Write)) func(*sitesync.Batch) {
	return func(b *sitesync.Batch) {
		b.Writes = slices.Clone(b.Writes)
		for i := range b.Writes {
			f(&b.Writes[i])
		}
	}
}

var injectedBugs = []injectedBug{
	{Name: "causes-forgotten", Scenario: "token", About: "writes are sent without their dependencies",
		changeBatch: eachWrite(func(w *sitesync.Write) { w.Dependencies = nil })},
	{Name: "urgent-overtakes", Scenario: "two-routes",
		About: "an urgent write does not wait for earlier writes on its subject, and is taken for an ordinary one",
		changeBatch: eachWrite(func(w *sitesync.Write) {
			if w.ID.Origin.Urgent {
				w.Dependencies, w.ID.Origin.Urgent = nil, false
			}
		})},
	{Name: "token-ignored", Scenario: "token", About: "a token is accepted and ignored",
		changeWrite: func(l *sitesync.LocalWrite) { l.Token = "" }},
	{Name: "told-apart-by-route", Scenario: "two-routes", About: "a write that arrives by another route is taken for another write",
		changeReceived: func(at int, b *sitesync.Batch) {
			b.Writes = slices.Clone(b.Writes)
			for i := range b.Writes {
				if w := &b.Writes[i]; at == province && b.From.Site != w.ID.Origin.Site {
					w.ID.Origin.Incarnation += 10
				}
			}
		}},
	{Name: "cut-on-send", Scenario: "two-routes", About: "a write is removed from the store once it is sent", discardOnSend: true},
	{Name: "parent-judges", Scenario: "closed", About: "a parent passes off its own judgement as that of the root site",
		changeAnswer: func(s *State, at int, a *sitesync.Answer) {
			a.Down.Judged = s.nodes[at].site.Seen()
		}},
	{Name: "refusals-lost", Scenario: "closed", About: "refusals are not sent down",
		changeAnswer: func(_ *State, _ int, a *sitesync.Answer) { a.Down.Refused = nil }},
	{Name: "needs-forgotten", Scenario: "closed", About: "the list of writes that a write needs is not sent",
		changeBatch: eachWrite(func(w *sitesync.Write) { w.Needs = nil })},
	{Name: "over-forgotten", Scenario: "two-routes", About: "the list of writes that a write overwrites is not sent",
		changeBatch: eachWrite(func(w *sitesync.Write) { w.Overwrites = nil })},
	{Name: "level-forgotten", Scenario: "concurrent", About: "every write is sent up as one of the root site's level",
		changeBatch: eachWrite(func(w *sitesync.Write) { w.Level = 0 })},
	{Name: "state-without-writes", Scenario: "concurrent", About: "a state is sent down with its version vector but without its writes",
		changeAnswer: func(_ *State, _ int, a *sitesync.Answer) { a.Down.Writes, a.Down.Subjects = nil, nil }},
	{Name: "state-goes-on", Scenario: "concurrent",
		About: "a state that continues another one is taken for a complete one, and its end for the end of all",
		changeAnswer: func(_ *State, _ int, a *sitesync.Answer) {
			a.Down.After = 0
			a.Down.Subjects = a.Down.Subjects[max(0, len(a.Down.Subjects)-1):]
			a.Down.Last, a.Down.Until = true, a.Down.Until+2
		}},
	{Name: "same-life", Scenario: "lost-store", About: "a site that lost its store keeps its old incarnation", sameIncarnation: true},
	{Name: "lost-life-not-told", Scenario: "lost-store", About: "a new incarnation does not say that it is the later one",
		noCreationTime: true, changeBatch: func(b *sitesync.Batch) { b.Incarnations = nil }},
	{Name: "answer-to-a-lost-life", Scenario: "lost-store",
		About: "a state that was made for the incarnation before the loss of the store is accepted", anyIncarnation: true},
	{Name: "refusals-of-one-piece", Scenario: "pieces",
		About: "of a state in chunks, the refusals in the last one are taken for all", lastChunkRefusals: true},
	{Name: "evidence-comes-down", Scenario: "evidence", About: "an answer contains the evidence that its site holds",
		changeAnswer: func(s *State, at int, a *sitesync.Answer) {
			for _, name := range s.nodes[at].site.Subjects(sitesync.Evidence) {
				v, _ := s.nodes[at].site.Value(sitesync.Evidence, name)
				h := sitesync.SubjectWrites{Kind: sitesync.Evidence, Subject: name}
				for _, w := range append(v.Concurrent, v.Write) {
					h.IDs = append(h.IDs, w.ID)
					a.Down.Writes = append(a.Down.Writes, sitesync.SequencedWrite{Write: w})
				}
				a.Down.Subjects = append(a.Down.Subjects, h)
			}
		}},
	{Name: "evidence-emptied-early", Scenario: "evidence", About: "an intermediate site empties evidence that no later write includes",
		changeReceived: func(at int, b *sitesync.Batch) {
			b.Writes = slices.Clone(b.Writes)
			for i := range b.Writes {
				if w := &b.Writes[i]; at == regency && w.Kind == sitesync.Evidence {
					w.Subject, w.Value, w.MergedInto = "", nil, w.ID.Number+1
				}
			}
		}},
	{Name: "evidence-judged-early", Scenario: "evidence",
		About: "an intermediate site passes off its own judgement of evidence as that of the root site",
		changeAnswer: func(s *State, at int, a *sitesync.Answer) {
			all := slices.DeleteFunc(s.nodes[at].site.Seen(), func(k sitesync.VectorEntry) bool { return !k.Origin.Evidence })
			a.Down.Judged = joinVectors(a.Down.Judged, all)
		}},
	{Name: "evidence-kept", Scenario: "evidence", About: "an intermediate site is not informed that the root site has judged evidence",
		changeState: func(at int, d *sitesync.StateUpdate) {
			d.Judged = slices.DeleteFunc(slices.Clone(d.Judged), func(k sitesync.VectorEntry) bool {
				return at == regency && k.Origin.Evidence && k.Origin.Site != siteNames[at]
			})
		}},
	{Name: "merged-after-sending", Scenario: "evidence", About: "evidence is merged into a write that was already sent", noOffer: true},
	{Name: "evidence-twice", Scenario: "evidence", About: "evidence counts once more for each site that relays it",
		changeReceived: func(at int, b *sitesync.Batch) {
			b.Writes = slices.Clone(b.Writes)
			for i := range b.Writes {
				if w := &b.Writes[i]; at == province && b.From.Site != w.ID.Origin.Site && w.Kind == sitesync.Evidence {
					w.ID.Origin.Site += "'"
				}
			}
		}},
}
