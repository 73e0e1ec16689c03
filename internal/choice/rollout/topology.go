package rollout

import (
	"cmp"
	"crypto/sha256"
	"slices"
)

// topology indexes the site tree by node.
type topology struct {
	zone         map[string]string // zone of a node
	site         map[string]string // building of a node
	regency      map[string]string // regency of a node: the site above its building, or the building itself if there is none
	siteNodes    map[string][]string
	zoneNodes    map[string][]string // nodes by building and zone
	regencyNodes map[string][]string // nodes by regency
	allNodes     []string
}

func newTopology(tree Tree) topology {
	t := topology{zone: map[string]string{}, site: map[string]string{}, regency: map[string]string{}, siteNodes: map[string][]string{},
		zoneNodes: map[string][]string{}, regencyNodes: map[string][]string{}}
	for _, s := range tree.Sites {
		regency := s.Parent
		if regency == "" {
			regency = s.Name
		}
		for _, n := range s.Nodes {
			t.zone[n.Name], t.site[n.Name], t.regency[n.Name] = n.Zone, s.Name, regency
			t.siteNodes[s.Name] = append(t.siteNodes[s.Name], n.Name)
			t.zoneNodes[s.Name+sep+n.Zone] = append(t.zoneNodes[s.Name+sep+n.Zone], n.Name)
			t.regencyNodes[regency] = append(t.regencyNodes[regency], n.Name)
			t.allNodes = append(t.allNodes, n.Name)
		}
	}
	slices.Sort(t.allNodes)
	return t
}

// nearest returns the nodes around a node, nearest first: those of its building and zone, its building, its regency, all.
func (ix topology) nearest(name string) [4][]string {
	return [4][]string{ix.zoneNodes[ix.site[name]+sep+ix.zone[name]], ix.siteNodes[ix.site[name]],
		ix.regencyNodes[ix.regency[name]], ix.allNodes}
}

// shuffled returns the names in a pseudo-random order that depends only on the rollout's ID.
func shuffled(id string, names []string) []string {
	type hashedName struct{ hash, name string }
	var hashed []hashedName
	for _, n := range names {
		sum := sha256.Sum256([]byte(id + sep + n))
		hashed = append(hashed, hashedName{string(sum[:]), n})
	}
	slices.SortFunc(hashed, func(a, b hashedName) int { return cmp.Compare(a.hash, b.hash) })
	result := make([]string, 0, len(names))
	for _, l := range hashed {
		result = append(result, l.name)
	}
	return result
}

// firstCandidates is how many of the best-ranked nodes are considered as the first node of a rollout.
const firstCandidates = 8

// chooseFirst returns the first node of a rollout. It considers some random nodes among those that have the most cells with
// enough requests and two other nodes in their building, and returns the one whose smallest cell is the largest, since its
// evidence is the most informative.
func (p *Plan) chooseFirst(order []string) (name string) {
	best, remaining, largest := -1, 0, -1.0
	for _, n := range order {
		score, smallest := 0, -1.0
		for _, b := range p.s.Nodes[n].Baselines {
			if b.MeanRequests >= float64(p.s.Limits.MinRequests) {
				score += 4
				if smallest < 0 || b.MeanRequests < smallest {
					smallest = b.MeanRequests
				}
			}
		}
		switch score += min(len(p.topology.siteNodes[p.topology.site[n]]), 3); {
		case score > best:
			best, remaining, largest, name = score, firstCandidates-1, smallest, n
		case score == best && remaining > 0:
			if remaining--; smallest > largest {
				largest, name = smallest, n
			}
		}
	}
	return name
}

// targets returns the nodes that each stage adds and, as the last element, the nodes held back as controls until the end:
// one of each building with more than one node, and one of a regency or of the whole tree if none is held back there
// otherwise. The first stage has the node from chooseFirst.
func (p *Plan) targets(id string) [][]string {
	stages := make([][]string, Stages+1)
	order := shuffled(id, p.topology.allNodes)
	first := p.chooseFirst(order)
	heldBack := map[string]bool{}
	holdBack := func(list []string) {
		for i := len(list) - 1; i >= 0 && len(list) > 1; i-- {
			if heldBack[list[i]] {
				return
			}
		}
		for i := len(list) - 1; i >= 0 && len(list) > 1; i-- {
			if list[i] != first {
				heldBack[list[i]] = true
				return
			}
		}
	}
	for _, s := range p.s.Tree.Sites {
		holdBack(inOrder(order, p.topology.siteNodes[s.Name]))
	}
	for _, s := range p.s.Tree.Sites {
		holdBack(inOrder(order, p.topology.regencyNodes[s.Name]))
	}
	holdBack(order)
	regencies := shuffled(id, slices.Sorted(keysOf(p.topology.regencyNodes)))
	firstHalf := map[string]bool{p.topology.regency[first]: true}
	for _, r := range regencies {
		if 2*len(firstHalf) < len(regencies) {
			firstHalf[r] = true
		}
	}
	for _, name := range order {
		switch {
		case name == first:
			stages[OneNode] = append(stages[OneNode], name)
		case heldBack[name]:
			stages[Stages] = append(stages[Stages], name)
		case p.topology.site[name] == p.topology.site[first]:
			stages[OneBuilding] = append(stages[OneBuilding], name)
		case p.topology.regency[name] == p.topology.regency[first]:
			stages[OneRegency] = append(stages[OneRegency], name)
		case firstHalf[p.topology.regency[name]]:
			stages[PartOfProvince] = append(stages[PartOfProvince], name)
		default:
			stages[All] = append(stages[All], name)
		}
	}
	return stages
}

func inOrder(order, members []string) (list []string) {
	for _, name := range order {
		if slices.Contains(members, name) {
			list = append(list, name)
		}
	}
	return list
}

func keysOf(m map[string][]string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}
