package upstreammodel

import (
	"slices"

	"lichenhitch/internal/choice/sitesync"
)

// plant is a planted bug: a change of what passes between the sites and the real code. The daemon has none.
type injectedBug struct {
	Name, About       string
	Scenario          string // where it is found
	sameIncarnation   bool
	noCreationTime    bool
	noOffer           bool
	discardOnSend     bool
	anyIncarnation    bool
	lastChunkRefusals bool
	changeWrite       func(*sitesync.LocalWrite)
	changeBatch       func(*sitesync.Batch)      // a call that is sent
	changeReceived    func(int, *sitesync.Batch) // a call as it is applied
	changeAnswer      func(*State, int, *sitesync.Answer)
	changeState       func(int, *sitesync.StateUpdate) // a state as it is joined
}

// Plant tells of a planted bug.
type BugInfo struct{ Name, About, Scenario string }

// Plants lists the bugs that can be planted.
func InjectedBugs() []BugInfo {
	var list []BugInfo
	for _, p := range injectedBugs {
		list = append(list, BugInfo{p.Name, p.About, p.Scenario})
	}
	return list
}

// each changes every write of a call.
func eachWrite(f func(*sitesync.Write)) func(*sitesync.Batch) {
	return func(b *sitesync.Batch) {
		b.Writes = slices.Clone(b.Writes)
		for i := range b.Writes {
			f(&b.Writes[i])
		}
	}
}

var injectedBugs = []injectedBug{
	{Name: "causes-forgotten", Scenario: "token", About: "writes travel without what they depend on",
		changeBatch: eachWrite(func(w *sitesync.Write) { w.Dependencies = nil })},
	{Name: "urgent-overtakes", Scenario: "two-routes", About: "an urgent write does not wait for its thing, and is taken for one of the ordinary kind",
		changeBatch: eachWrite(func(w *sitesync.Write) {
			if w.ID.Origin.Urgent {
				w.Dependencies, w.ID.Origin.Urgent = nil, false
			}
		})},
	{Name: "token-ignored", Scenario: "token", About: "a token is accepted and not looked at",
		changeWrite: func(l *sitesync.LocalWrite) { l.Token = "" }},
	{Name: "told-apart-by-route", Scenario: "two-routes", About: "a write that comes by another route is taken for another write",
		changeReceived: func(at int, b *sitesync.Batch) {
			b.Writes = slices.Clone(b.Writes)
			for i := range b.Writes {
				if w := &b.Writes[i]; at == province && b.From.Site != w.ID.Origin.Site {
					w.ID.Origin.Incarnation += 10
				}
			}
		}},
	{Name: "cut-on-send", Scenario: "two-routes", About: "a write is cut from the store once it is sent", discardOnSend: true},
	{Name: "parent-judges", Scenario: "closed", About: "a parent gives its own word for the top's",
		changeAnswer: func(s *State, at int, a *sitesync.Answer) {
			a.Down.Judged = s.nodes[at].site.Seen()
		}},
	{Name: "refusals-lost", Scenario: "closed", About: "what was refused does not come down",
		changeAnswer: func(_ *State, _ int, a *sitesync.Answer) { a.Down.Refused = nil }},
	{Name: "needs-forgotten", Scenario: "closed", About: "what a write needs is not sent along",
		changeBatch: eachWrite(func(w *sitesync.Write) { w.Needs = nil })},
	{Name: "over-forgotten", Scenario: "two-routes", About: "what a write was written over is not sent along",
		changeBatch: eachWrite(func(w *sitesync.Write) { w.Overwrites = nil })},
	{Name: "level-forgotten", Scenario: "concurrent", About: "every write comes up as one of the top level",
		changeBatch: eachWrite(func(w *sitesync.Write) { w.Level = 0 })},
	{Name: "state-without-writes", Scenario: "concurrent", About: "a state comes down with its vector and without its writes",
		changeAnswer: func(_ *State, _ int, a *sitesync.Answer) { a.Down.Writes, a.Down.Subjects = nil, nil }},
	{Name: "state-goes-on", Scenario: "concurrent", About: "a state that goes on from another one is taken for a whole one, and its end for all",
		changeAnswer: func(_ *State, _ int, a *sitesync.Answer) {
			a.Down.After = 0
			a.Down.Subjects = a.Down.Subjects[max(0, len(a.Down.Subjects)-1):]
			a.Down.Last, a.Down.Until = true, a.Down.Until+2
		}},
	{Name: "same-life", Scenario: "lost-store", About: "a site that lost its store goes on with its old life's name", sameIncarnation: true},
	{Name: "lost-life-not-told", Scenario: "lost-store", About: "a new life does not say that it is the later one",
		noCreationTime: true, changeBatch: func(b *sitesync.Batch) { b.Incarnations = nil }},
	{Name: "answer-to-a-lost-life", Scenario: "lost-store", About: "a state that was made for a life before the lost store is taken in", anyIncarnation: true},
	{Name: "refusals-of-one-piece", Scenario: "pieces", About: "of a state in pieces, the last one's refusals are taken for all", lastChunkRefusals: true},
	{Name: "evidence-comes-down", Scenario: "evidence", About: "an answer brings the evidence that its site has",
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
	{Name: "evidence-emptied-early", Scenario: "evidence", About: "a site on the way empties evidence that no later one says as well",
		changeReceived: func(at int, b *sitesync.Batch) {
			b.Writes = slices.Clone(b.Writes)
			for i := range b.Writes {
				if w := &b.Writes[i]; at == regency && w.Kind == sitesync.Evidence {
					w.Subject, w.Value, w.MergedInto = "", nil, w.ID.Number+1
				}
			}
		}},
	{Name: "evidence-judged-early", Scenario: "evidence", About: "a site on the way has the word on evidence for the top's",
		changeAnswer: func(s *State, at int, a *sitesync.Answer) {
			all := slices.DeleteFunc(s.nodes[at].site.Seen(), func(k sitesync.VectorEntry) bool { return !k.Origin.Evidence })
			a.Down.Judged = joinVectors(a.Down.Judged, all)
		}},
	{Name: "evidence-kept", Scenario: "evidence", About: "a site on the way is not told that the top has judged evidence",
		changeState: func(at int, d *sitesync.StateUpdate) {
			d.Judged = slices.DeleteFunc(slices.Clone(d.Judged), func(k sitesync.VectorEntry) bool {
				return at == regency && k.Origin.Evidence && k.Origin.Site != siteNames[at]
			})
		}},
	{Name: "merged-after-sending", Scenario: "evidence", About: "evidence is merged into a write that has left", noOffer: true},
	{Name: "evidence-twice", Scenario: "evidence", About: "evidence is counted again in each life that relays it",
		changeReceived: func(at int, b *sitesync.Batch) {
			b.Writes = slices.Clone(b.Writes)
			for i := range b.Writes {
				if w := &b.Writes[i]; at == province && b.From.Site != w.ID.Origin.Site && w.Kind == sitesync.Evidence {
					w.ID.Origin.Site += "'"
				}
			}
		}},
}
