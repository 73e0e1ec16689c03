package rollout

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// SitePolicies is the complete set of policies that a site's nodes have to apply. The root site sends it down to the site as
// a decision.
type SitePolicies struct {
	Site         string                   `json:"site"`
	Good         Hash                     `json:"good"`
	Texts        map[Hash]json.RawMessage `json:"texts"` // the good policy and the trials of the site's nodes
	Nodes        map[string]NodeEntry     `json:"nodes"` // only nodes whose policy has ever changed; all others apply the good policy
	Slice        time.Duration            `json:"slice"`
	TrialLease   time.Duration            `json:"lease"`
	Settle       time.Duration            `json:"settle"`
	MaxCrashes   int                      `json:"crashes"`
	MaxDisrupted int                      `json:"disturb,omitempty"`
}

// NodeEntry is the policy that one node has to apply.
type NodeEntry struct {
	Round   uint64        `json:"round"`
	Policy  Hash          `json:"policy"`
	Rollout string        `json:"rollout,omitempty"` // set if the policy is a trial: the rollout that it belongs to
	Changed time.Duration `json:"changed,omitempty"` // time of the last change of policy, by the clock of the consensus group
}

// SitePolicies returns the policies that the nodes of a site have to apply now.
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

// encodedSitePolicies is the encoded form of SitePolicies. It is compact because a site may have 300 nodes and the value of
// one write is limited to 60 KiB: nodes whose policy changed together are grouped, and the hash of a trial policy is stored
// once per rollout.
type encodedSitePolicies struct {
	SitePolicies
	Nodes  *struct{}       `json:"nodes,omitempty"` // hides the Nodes of the embedded SitePolicies
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

// Bytes returns the canonical encoding.
func (d SitePolicies) Bytes() []byte {
	form := encodedSitePolicies{SitePolicies: d, Trials: map[string]Hash{}, Groups: []nodeGroup{}}
	groupOf := map[NodeEntry]int{}
	for _, name := range slices.Sorted(maps.Keys(d.Nodes)) {
		g := d.Nodes[name]
		i, found := groupOf[g]
		if !found {
			i = len(form.Groups)
			groupOf[g] = i
			form.Groups = append(form.Groups, nodeGroup{Round: g.Round, Rollout: g.Rollout, Changed: g.Changed})
			if g.Rollout != "" {
				form.Trials[g.Rollout] = g.Policy
			}
		}
		form.Groups[i].Names = append(form.Groups[i].Names, name)
	}
	return slices.Concat([]byte(sitePoliciesHead), asJSON(form), []byte(recordEnd))
}

// ParseSitePolicies decodes the output of Bytes. An error is a *DecodeError.
func ParseSitePolicies(raw []byte) (SitePolicies, error) {
	text, hasHead := bytes.CutPrefix(raw, []byte(sitePoliciesHead))
	text, hasEnd := bytes.CutSuffix(text, []byte(recordEnd))
	var form encodedSitePolicies
	if !hasHead || !hasEnd {
		return SitePolicies{}, &DecodeError{"not an encoded set of site policies"}
	}
	if err := json.Unmarshal(text, &form); err != nil {
		return SitePolicies{}, &DecodeError{err.Error()}
	}
	d := form.SitePolicies
	d.Nodes = map[string]NodeEntry{}
	valid := d.Texts[d.Good] != nil && d.Site != "" && d.Slice > 0 && d.TrialLease > 0 && d.MaxCrashes > 0
	for _, g := range form.Groups {
		entry := NodeEntry{Round: g.Round, Policy: d.Good, Rollout: g.Rollout, Changed: g.Changed}
		if g.Rollout != "" {
			entry.Policy = form.Trials[g.Rollout]
		}
		valid = valid && d.Texts[entry.Policy] != nil && g.Round > 0
		for _, name := range g.Names {
			d.Nodes[name] = entry
		}
	}
	for h, text := range d.Texts {
		p, err := Parse(text)
		valid = valid && err == nil && p.Hash() == h
	}
	if !valid || !bytes.Equal(d.Bytes(), raw) {
		return SitePolicies{}, &DecodeError{"the site policies are incomplete or not in canonical form"}
	}
	return d, nil
}

// Assigned returns the assignment of a node. If halted reports that the node's rollout is halted at this site, the node gets
// the good policy instead of the trial, in the same round.
func (d SitePolicies) Assigned(node string, halted func(rollout string) bool) Assignment {
	g := d.Nodes[node]
	a := Assignment{Round: g.Round, Policy: d.Good, Good: d.Good}
	if g.Rollout != "" && (halted == nil || !halted(g.Rollout)) {
		a.Policy, a.Trial, a.Lease = g.Policy, true, d.TrialLease
	}
	return a
}

// Disrupted returns how many nodes of the site are disrupted at a time by a recent change of policy.
func (d SitePolicies) Disrupted(at time.Duration) (n int) {
	for _, g := range d.Nodes {
		if g.Changed > 0 && at-g.Changed < d.Settle {
			n++
		}
	}
	return n
}

// Text returns the canonical text of a policy that the set contains, or nil.
func (d SitePolicies) Text(h Hash) []byte { return slices.Clone(d.Texts[h]) }

// SitePoliciesKey returns the key under which the policies of a site are written.
func SitePoliciesKey(site string) string { return "policy/at/" + site }

// HaltKey returns the key under which a site below the root writes a halt. The root site overwrites it when the rollout is
// resumed.
func HaltKey(id string) string { return "rollout/" + id }
