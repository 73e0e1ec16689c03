package site

import (
	"cmp"
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"golang.org/x/sys/unix"

	"lichenhitch/internal/choice/rights"
	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/choice/upstream"
	"lichenhitch/internal/site/sitepb"
)

// maxName is the longest name of a site or node, in bytes.
const maxName = 128

// check judges what a file means.
type check struct {
	file   *sitepb.File
	text   *text
	node   string
	disk   bool // what the file names is looked at on this machine too
	faults Faults
}

func (c *check) tell(path, what, do string) {
	c.faults = append(c.faults, c.text.fault(path, what, do))
}

func (c *check) all() *Site {
	s := &Site{Node: c.node, Listen: c.file.GetListen(), Store: c.file.GetStore(), Witness: c.file.GetWitness(), Peers: map[string]string{}}
	c.limits(s)
	groups := c.groups()
	c.tree(groups)
	own := slices.IndexFunc(groups, func(g Group) bool { return slices.Contains(g.Nodes, c.node) })
	c.addresses(s)
	switch {
	case c.node == "":
		c.tell("", "this node has no name", "set GW_NAME to the name of a node of this file")
		return nil
	case own < 0:
		c.tell("sites", "no site has the node "+quote(c.node)+", which is this one",
			"add nodes { name: "+strconv.Quote(c.node)+" } to its site, or set GW_NAME to a node of this file")
		return nil
	}
	s.Own = groups[own]
	s.Seats, s.Members = s.Own.Seats, s.Own.Nodes
	s.Seat = slices.Contains(s.Seats, c.node)
	for i := parentOf(groups, own); i >= 0 && len(s.Above) < len(groups); i = parentOf(groups, i) {
		s.Above = append(s.Above, groups[i])
	}
	for i := range groups {
		for j, n := parentOf(groups, i), 0; j >= 0 && n < len(groups); j, n = parentOf(groups, j), n+1 {
			if j == own {
				s.Below = append(s.Below, groups[i])
				break
			}
		}
	}
	c.reach(s, groups)
	return s
}

// parentOf returns the index of the site above, or -1.
func parentOf(groups []Group, i int) int {
	if groups[i].Parent == "" {
		return -1
	}
	return slices.IndexFunc(groups, func(g Group) bool { return g.Name == groups[i].Parent })
}

// name judges a name, and whether it is the first of its kind.
func (c *check) name(path, name string, seen map[string]string) {
	first, twice := seen[name]
	switch {
	case name == "":
		c.tell(path, "missing", "give it a name")
	case !c.word(path, name):
	case twice:
		at := c.text.fault(first, "", "")
		c.tell(path, fmt.Sprintf("%s is in use already, at %d:%d", quote(name), at.Line, at.Column),
			"give each a name of its own, or take one of the two out")
	default:
		seen[name] = path
	}
}

// word judges what a name is written with.
func (c *check) word(path, name string) bool {
	if len(name) <= maxName && !strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) || r == ' ' }) {
		return true
	}
	c.tell(path, quote(name)+" is not a name", fmt.Sprintf("give at most %d bytes, without blanks", maxName))
	return false
}

// groups reads the sites and judges each by itself.
func (c *check) groups() []Group {
	if len(c.file.GetSites()) == 0 {
		c.tell("sites", "missing", "name the sites, the one of this node among them: sites { name: ... level: ... nodes { ... } }")
	}
	var groups []Group
	sites, nodes := map[string]string{}, map[string]string{}
	for i, s := range c.file.GetSites() {
		path := fmt.Sprintf("sites[%d]", i)
		c.name(path+".name", s.GetName(), sites)
		if s.GetLevel() < sitepb.Level_PROVINCE || s.GetLevel() > sitepb.Level_BUILDING {
			c.tell(path+".level", "missing, or none that there is", "give PROVINCE, REGENCY or BUILDING")
		}
		g := Group{Name: s.GetName(), Level: int(s.GetLevel()) - 1, Parent: s.GetParent(), Zones: map[string]string{}}
		for j, n := range s.GetNodes() {
			at := fmt.Sprintf("%s.nodes[%d]", path, j)
			c.name(at+".name", n.GetName(), nodes)
			g.Nodes = append(g.Nodes, n.GetName())
			if zone := n.GetZone(); zone != "" && c.word(at+".zone", zone) {
				g.Zones[n.GetName()] = zone
			}
			if n.GetSeat() {
				g.Seats = append(g.Seats, n.GetName())
			}
		}
		slices.Sort(g.Nodes)
		slices.Sort(g.Seats)
		switch n := len(g.Seats); {
		case len(g.Nodes) == 0:
		case n == 0:
			c.tell(path, "no node has a seat in the council", "set seat: true at 1, 3 or 5 nodes")
		case n > 5 || n%2 == 0:
			c.tell(path, fmt.Sprintf("%d nodes have a seat in the council", n), "set seat: true at 1, 3 or 5 nodes: "+
				"an even number outlives no more failures than one less, and more than five slow each decision down")
		}
		groups = append(groups, g)
	}
	return groups
}

// tree judges how the sites stand to each other.
func (c *check) tree(groups []Group) {
	province := -1
	for i, g := range groups {
		path := fmt.Sprintf("sites[%d]", i)
		up := parentOf(groups, i)
		if g.Level == 0 {
			if province >= 0 {
				c.tell(path+".level", "a second province, besides "+quote(groups[province].Name),
					"leave one province; a file has the sites of one line")
			} else {
				province = i
			}
		}
		switch {
		case g.Level == 0 && g.Parent != "":
			c.tell(path+".parent", "a province has no parent", "take the parent out, or correct the level")
		case g.Level == 0:
		case g.Parent == "":
			c.tell(path+".parent", "missing", "name the site above; only the province has none")
		case up < 0:
			c.tell(path+".parent", quote(g.Parent)+" is no site of this file", "correct the name, or add that site")
		default:
			if loop := cycle(groups, i); loop != nil {
				if slices.Min(loop) == i {
					var of []string
					for _, j := range loop {
						of = append(of, groups[j].Name)
					}
					c.tell(path+".parent", "the sites are above themselves: "+strings.Join(append(of, g.Name), " under "),
						"correct the parents, so that each line ends at the province")
				}
			} else if groups[up].Level >= g.Level && g.Level > 0 && groups[up].Level >= 0 {
				c.tell(path+".parent", quote(g.Parent)+" is not of a level above", "order them PROVINCE, REGENCY, BUILDING")
			}
		}
	}
}

// cycle returns the sites on the way up from i back to itself, or nil.
func cycle(groups []Group, i int) []int {
	way := []int{i}
	for j := parentOf(groups, i); j >= 0 && len(way) <= len(groups); j = parentOf(groups, j) {
		if j == i {
			return way
		}
		way = append(way, j)
	}
	return nil
}

// addresses judges where this node and its peers are reached.
func (c *check) addresses(s *Site) {
	listen, ok := c.address("listen", s.Listen)
	switch {
	case s.Store == "":
		c.tell("store", "missing", "name a folder of this node's own that outlives the process, as /var/lib/lichenhitch/"+
			cmp.Or(c.node, "NODE"))
	case !filepath.IsAbs(s.Store):
		c.tell("store", quote(s.Store)+" is not an absolute path", "begin it with /, so that it is the same folder at each start")
	case filepath.Clean(s.Store) == "/":
		c.tell("store", "is the root folder", "name a folder of this node's own")
	}
	c.witness(s)
	known := map[string]bool{}
	for _, site := range c.file.GetSites() {
		for _, n := range site.GetNodes() {
			known[n.GetName()] = true
		}
	}
	seen, taken := map[string]string{}, map[netip.AddrPort]string{}
	for i, p := range c.file.GetPeers() {
		path := fmt.Sprintf("peers[%d]", i)
		c.name(path+".node", p.GetNode(), seen)
		if p.GetNode() != "" && !known[p.GetNode()] {
			c.tell(path+".node", quote(p.GetNode())+" is no node of any site", "correct the name, or add the node to its site")
		}
		a, fine := c.address(path+".address", p.GetAddress())
		if !fine {
			continue
		}
		if a.Addr().IsUnspecified() {
			c.tell(path+".address", quote(p.GetAddress())+" can only be listened at", "give the address that this node reaches it at")
		}
		switch {
		case p.GetNode() == c.node:
			continue
		case ok && a == listen:
			c.tell(path+".address", quote(p.GetAddress())+" is where this node listens itself", "give the peer's own address, or correct listen")
		case taken[a] != "":
			c.tell(path+".address", quote(p.GetAddress())+" is the address of "+quote(taken[a])+" too", "give each peer its own")
		default:
			taken[a] = p.GetNode()
		}
		s.Peers[p.GetNode()] = p.GetAddress()
	}
}

// address reads an address and says whether it is one.
func (c *check) address(path, value string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
		c.tell(path, "missing", "give an address and a port, as 10.0.0.1:7400")
	case err != nil:
		c.tell(path, quote(value)+" is not an address and a port", "give it as 10.0.0.1:7400 or [fd00::1]:7400, without a name to look up")
	case a.Port() == 0 && path != "listen": // there it is any port, which the log tells
		c.tell(path, "port 0 is any port", "give the port that peers and operators are to call")
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), err == nil && (a.Port() != 0 || path == "listen")
}

// witness judges the file that is to prove that the store was not put back from a copy.
func (c *check) witness(s *Site) {
	const otherwise = ", or leave it out: then a seat that starts again waits for the word of others"
	within, err := filepath.Rel(s.Store, s.Witness)
	switch {
	case s.Witness == "" && !c.text.has("witness"):
	case !filepath.IsAbs(s.Witness):
		c.tell("witness", quote(s.Witness)+" is not an absolute path", "name a file under /run or /dev/shm"+otherwise)
	case strings.HasSuffix(s.Witness, "/"):
		c.tell("witness", quote(s.Witness)+" names a folder", "name a file in it"+otherwise)
	case err == nil && (within == "." || filepath.IsLocal(within)):
		c.tell("witness", quote(s.Witness)+" is in the store's folder: a copy that is put back has it too",
			"name a file under /run or /dev/shm"+otherwise)
	case c.disk:
		var fs unix.Statfs_t
		if err := unix.Statfs(filepath.Dir(s.Witness), &fs); err != nil {
			c.tell("witness", fmt.Sprintf("its folder %s: %v", filepath.Dir(s.Witness), err), "make the folder at each start of the machine"+otherwise)
		} else if fs.Type != unix.TMPFS_MAGIC {
			c.tell("witness", quote(s.Witness)+" is not on a file system in memory (tmpfs): a copy of the disk brings it back too",
				"name a file under /run or /dev/shm"+otherwise)
		}
	}
}

// reach judges whether this node can call whom it has to: the seats of its own site, and as a seat those of the parent.
func (c *check) reach(s *Site, groups []Group) {
	need := func(site int, why string) {
		for j, n := range c.file.GetSites()[site].GetNodes() {
			if name := n.GetName(); n.GetSeat() && name != c.node && name != "" && s.Peers[name] == "" && !c.listed(name) {
				c.tell(fmt.Sprintf("sites[%d].nodes[%d]", site, j), fmt.Sprintf("%s has no address, and this node %s", quote(name), why),
					"add peers { node: "+strconv.Quote(name)+" address: \"...\" } with its address and port")
			}
		}
	}
	for i, g := range groups {
		switch {
		case g.Name == s.Own.Name:
			need(i, "asks it for its right to send")
		case g.Name == s.Own.Parent && s.Seat && len(g.Seats) == 0 && len(g.Nodes) == 0:
			c.tell(fmt.Sprintf("sites[%d]", i), "no nodes, and it is the parent of this node's site",
				"name at least the nodes that have a seat there: writes travel to them")
		case g.Name == s.Own.Parent && s.Seat:
			need(i, "has a seat and sends writes up to it")
		}
	}
}

// listed says whether a peer is there, with whatever address.
func (c *check) listed(node string) bool {
	return slices.ContainsFunc(c.file.GetPeers(), func(p *sitepb.Peer) bool { return p.GetNode() == node })
}

// whole returns a whole number, or its default where it is not told.
func (c *check) whole(path string, value uint32, otherwise, from, to int) int {
	if !c.text.has(path) && value == 0 {
		return otherwise
	}
	if int64(value) < int64(from) || int64(value) > int64(to) {
		c.tell(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("give %d to %d, or leave it out for %d", from, to, otherwise))
	}
	return int(value)
}

// ends are which ends of a range are in it.
type ends struct{ from, to bool }

// part returns a part, or its default where it is not told.
func (c *check) part(path string, value, otherwise, to float64, in ends) float64 {
	if !c.text.has(path) && value == 0 {
		return otherwise
	}
	if !(value > 0 && value < to || in.from && value == 0 || in.to && value == to) {
		least, most := "more than 0", "less than"
		if in.from {
			least = "0 or more"
		}
		if in.to {
			most = "at most"
		}
		c.tell(path, fmt.Sprintf("%g is out of range", value),
			fmt.Sprintf("give %s and %s %g, or leave it out for %g", least, most, to, otherwise))
	}
	return value
}

const (
	week = 7 * 24 * 3600 // seconds
	many = 1_000_000
)

// limits reads the allowances and the times.
func (c *check) limits(s *Site) {
	f := c.file
	s.Rights = rights.Terms{
		Lasts: time.Duration(c.whole("rights.lasts_ms", f.GetRights().GetLastsMs(), 3000, 300, 60000)) * time.Millisecond,
		Drift: c.part("rights.drift", f.GetRights().GetDrift(), 0.01, 0.2, ends{true, true}),
	}
	s.Tick = time.Duration(c.whole("council.tick_ms", f.GetCouncil().GetTickMs(), 100, 10, 5000)) * time.Millisecond
	s.SnapshotEvery = uint64(c.whole("council.snapshot_every", f.GetCouncil().GetSnapshotEvery(), 4096, 16, many))

	t := f.GetTurns()
	s.Turns = turns.Limits{
		Site:    c.whole("turns.site", t.GetSite(), 1, 1, many),
		Failed:  c.whole("turns.failed", t.GetFailed(), 0, 0, many),
		Horizon: c.whole("turns.horizon", t.GetHorizon(), 2, 1, 64),
		Age:     time.Duration(c.whole("turns.age_s", t.GetAgeS(), 600, 1, week)) * time.Second,
	}
	s.Turns.Zone = c.within("turns.zone", t.GetZone(), s.Turns.Site)
	s.Turns.Kind = c.within("turns.kind", t.GetKind(), s.Turns.Site)

	u := f.GetUpstream()
	s.Upstream = upstream.Limits{
		Bytes:  c.whole("upstream.bytes", u.GetBytes(), 16<<20, 64<<10, 1<<30),
		Number: c.whole("upstream.number", u.GetNumber(), 50000, 16, 10*many),
		Age:    time.Duration(c.whole("upstream.evidence_s", u.GetEvidenceS(), 3600, 10, week)) * time.Second,
		Batch:  c.whole("upstream.batch", u.GetBatch(), 256, 1, 4096),
	}
	if s.Upstream.Batch > s.Upstream.Number {
		c.tell("upstream.batch", fmt.Sprintf("%d writes in one call, of a queue of %d", s.Upstream.Batch, s.Upstream.Number),
			"give batch at most number")
	}

	c.rollout(s, f.GetRollout())
}

// rollout reads the limits of policies in stages. What it takes, rollout.Limits.Check takes too.
func (c *check) rollout(s *Site, r *sitepb.Rollout) {
	inside := ends{}
	seconds := func(field string, value uint32, otherwise, from int) time.Duration {
		return time.Duration(c.whole("rollout."+field, value, otherwise, from, week)) * time.Second
	}
	s.Rollout = rollout.Limits{
		Alpha:           c.part("rollout.alpha", r.GetAlpha(), 0.01, 0.5, inside),
		Beta:            c.part("rollout.beta", r.GetBeta(), 0.05, 0.5, inside),
		Margin:          c.part("rollout.margin", r.GetMargin(), 0.02, 0.5, inside),
		SlowMargin:      c.part("rollout.slow", r.GetSlow(), 0.05, 0.5, inside),
		Coverage:        c.part("rollout.cover", r.GetCover(), 0.9, 1, ends{to: true}),
		MinRequests:     uint64(c.whole("rollout.least", r.GetLeast(), 100, 1, 1000*many)),
		MaxCrashes:      c.whole("rollout.crashes", r.GetCrashes(), 3, 1, 100),
		MaxDisrupted:    c.whole("rollout.disturb", r.GetDisturb(), 0, 0, many),
		WindowSlices:    c.whole("rollout.spell", r.GetSpell(), 6, 1, 64),
		BaselineWindows: c.whole("rollout.watch", r.GetWatch(), 12, 1, 1000),
		MaxHold:         seconds("hold_s", r.GetHoldS(), 7200, 1),
		TrialLease:      seconds("lease_s", r.GetLeaseS(), 300, 1),
		Slice:           seconds("slice_s", r.GetSliceS(), 300, 1),
		Settle:          seconds("settle_s", r.GetSettleS(), 60, 0),
		MaxStageTime:    seconds("longest_s", r.GetLongestS(), 259200, 0),
	}
	// A change settles, the next whole spell is the first that counts, and it is judged a slice after its end: with a shorter
	// hold a stage may be given up before anything was compared.
	l := s.Rollout
	if first := l.Settle + l.Slice*time.Duration(2*l.WindowSlices+1); l.MaxHold < first {
		c.tell("rollout.hold_s", fmt.Sprintf("%v, and the first evidence of a stage may take %v", l.MaxHold, first),
			"give a longer hold, or shorten slice_s, spell or settle_s")
	}
}

// within reads an allowance that may not be more than that of the site.
func (c *check) within(path string, value uint32, site int) int {
	if int64(value) > int64(site) {
		c.tell(path, fmt.Sprintf("%d, of %d for the whole site", value, site),
			fmt.Sprintf("give 0 to %d (0: as many as of the site), or raise turns.site", site))
	}
	return int(value)
}
