package rollout

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Doc is what a site's nodes are to go by, whole. It comes down to the site as a decision of the top.
type SitePolicies struct {
	Site         string                   `json:"site"`
	Good         Hash                     `json:"good"`
	Texts        map[Hash]json.RawMessage `json:"texts"` // of the good policy and of the trials of its nodes
	Nodes        map[string]NodeEntry     `json:"nodes"` // those whose policy ever changed; the others go by the good one
	Slice        time.Duration            `json:"slice"`
	TrialLease   time.Duration            `json:"lease"`
	Settle       time.Duration            `json:"settle"`
	MaxCrashes   int                      `json:"crashes"`
	MaxDisrupted int                      `json:"disturb,omitempty"`
}

// Given is what one node is to go by.
type NodeEntry struct {
	Round   uint64        `json:"round"`
	Policy  Hash          `json:"policy"`
	Rollout string        `json:"rollout,omitempty"` // that treats it: its policy is a trial
	Changed time.Duration `json:"changed,omitempty"` // of its policy, by the council's time
}

// Doc is what the nodes of a site are to go by now.
func (t *RootState) SitePolicies(site string) SitePolicies {
	s, l := &t.plan.s, t.plan.s.Limits
	d := SitePolicies{Site: site, Good: s.Good, Texts: map[Hash]json.RawMessage{s.Good: s.Texts[s.Good]}, Nodes: map[string]NodeEntry{},
		Slice: l.Slice, TrialLease: l.TrialLease, Settle: l.Settle, MaxCrashes: l.MaxCrashes, MaxDisrupted: l.MaxDisrupted}
	for _, name := range t.plan.topology.siteNodes[site] {
		n, a := s.Nodes[name], t.plan.Assigned(name)
		if a.Round == 0 {
			continue
		}
		g := NodeEntry{Round: a.Round, Policy: a.Policy, Changed: n.Changed}
		if a.Trial {
			g.Rollout = n.Rollout
			d.Texts[a.Policy] = s.Texts[a.Policy]
		}
		d.Nodes[name] = g
	}
	return d
}

// docForm is the form of a Doc in bytes: a site may have 300 nodes, and the value of one write has 60 KiB. Nodes whose policy
// changed in one go stand together, and a policy stands there once for its rollout.
type encodedSitePolicies struct {
	SitePolicies
	Nodes  *struct{}       `json:"nodes,omitempty"` // in place of the Doc's
	Trials map[string]Hash `json:"trials"`
	Groups []nodeGroup     `json:"groups"`
}

type nodeGroup struct {
	Round   uint64        `json:"round"`
	Rollout string        `json:"rollout,omitempty"`
	Changed time.Duration `json:"changed,omitempty"`
	Names   []string      `json:"names"`
}

const sitePoliciesHead = "rollout policies 1 "

// Bytes returns the document in its one form.
func (d SitePolicies) Bytes() []byte {
	form := encodedSitePolicies{SitePolicies: d, Trials: map[string]Hash{}, Groups: []nodeGroup{}}
	by := map[NodeEntry]int{}
	for _, name := range slices.Sorted(maps.Keys(d.Nodes)) {
		g := d.Nodes[name]
		i, there := by[g]
		if !there {
			i = len(form.Groups)
			by[g] = i
			form.Groups = append(form.Groups, nodeGroup{Round: g.Round, Rollout: g.Rollout, Changed: g.Changed})
			if g.Rollout != "" {
				form.Trials[g.Rollout] = g.Policy
			}
		}
		form.Groups[i].Names = append(form.Groups[i].Names, name)
	}
	return slices.Concat([]byte(sitePoliciesHead), asJSON(form), []byte(recordEnd))
}

// ParseDoc reads what Bytes wrote. An error is an *Unread.
func ParseSitePolicies(raw []byte) (SitePolicies, error) {
	text, head := bytes.CutPrefix(raw, []byte(sitePoliciesHead))
	text, end := bytes.CutSuffix(text, []byte(recordEnd))
	var form encodedSitePolicies
	if !head || !end {
		return SitePolicies{}, &DecodeError{"no document of a site's policies"}
	}
	if err := json.Unmarshal(text, &form); err != nil {
		return SitePolicies{}, &DecodeError{err.Error()}
	}
	d := form.SitePolicies
	d.Nodes = map[string]NodeEntry{}
	whole := d.Texts[d.Good] != nil && d.Site != "" && d.Slice > 0 && d.TrialLease > 0 && d.MaxCrashes > 0
	for _, g := range form.Groups {
		given := NodeEntry{Round: g.Round, Policy: d.Good, Rollout: g.Rollout, Changed: g.Changed}
		if g.Rollout != "" {
			given.Policy = form.Trials[g.Rollout]
		}
		whole = whole && d.Texts[given.Policy] != nil && g.Round > 0
		for _, name := range g.Names {
			d.Nodes[name] = given
		}
	}
	for h, text := range d.Texts {
		p, err := Parse(text)
		whole = whole && err == nil && p.Hash() == h
	}
	if !whole || !bytes.Equal(d.Bytes(), raw) {
		return SitePolicies{}, &DecodeError{"the document of a site's policies is not whole, or not in its one form"}
	}
	return d, nil
}

// Assigned is what a node is to go by. The trial of a rollout that is halted at this site is withheld, in the same round.
func (d SitePolicies) Assigned(node string, halted func(rollout string) bool) Assignment {
	g := d.Nodes[node]
	a := Assignment{Round: g.Round, Policy: d.Good, Good: d.Good}
	if g.Rollout != "" && (halted == nil || !halted(g.Rollout)) {
		a.Policy, a.Trial, a.Lease = g.Policy, true, d.TrialLease
	}
	return a
}

// Disturbed is how many nodes of the site a change of policy disturbs at a time.
func (d SitePolicies) Disrupted(at time.Duration) (n int) {
	for _, g := range d.Nodes {
		if g.Changed > 0 && at-g.Changed < d.Settle {
			n++
		}
	}
	return n
}

// Text is the canonical text of a policy that the document has; nil for others.
func (d SitePolicies) Text(h Hash) []byte { return slices.Clone(d.Texts[h]) }

// DocThing is what a site's documents are written about.
func SitePoliciesKey(site string) string { return "policy/at/" + site }

// HaltThing is what a halt at a site below the top is written about, and the resume at the top that is written over it.
func HaltKey(id string) string { return "rollout/" + id }
