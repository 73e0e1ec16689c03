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
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/site/sitepb"
)

// maxName is the longest name of a site or node, in bytes.
const maxName = 128

// check judges what a file means.
type checker struct {
	file      *sitepb.File
	source    *scanner
	node      string
	checkDisk bool // what the file names is looked at on this machine too
	faults    Faults
}

func (c *checker) report(path, what, do string) {
	c.faults = append(c.faults, c.source.fault(path, what, do))
}

func (c *checker) validate() *Site {
	s := &Site{Node: c.node, Listen: c.file.GetListen(), Store: c.file.GetStore(), Witness: c.file.GetWitness(), Peers: map[string]string{}}
	c.readLimits(s)
	groups := c.readSites()
	c.checkTree(groups)
	own := slices.IndexFunc(groups, func(g Definition) bool { return slices.Contains(g.Nodes, c.node) })
	c.checkAddresses(s)
	switch {
	case c.node == "":
		c.report("", "this node has no name", "set GW_NAME to the name of a node of this file")
		return nil
	case own < 0:
		c.report("sites", "no site has the node "+quote(c.node)+", which is this one",
			"add nodes { name: "+strconv.Quote(c.node)+" } to its site, or set GW_NAME to a node of this file")
		return nil
	}
	s.Own = groups[own]
	s.Voters, s.Members = s.Own.Voters, s.Own.Nodes
	s.IsVoter = slices.Contains(s.Voters, c.node)
	for i := parentOf(groups, own); i >= 0 && len(s.Ancestors) < len(groups); i = parentOf(groups, i) {
		s.Ancestors = append(s.Ancestors, groups[i])
	}
	for i := range groups {
		for j, n := parentOf(groups, i), 0; j >= 0 && n < len(groups); j, n = parentOf(groups, j), n+1 {
			if j == own {
				s.Descendants = append(s.Descendants, groups[i])
				break
			}
		}
	}
	c.checkReachability(s, groups)
	return s
}

// parentOf returns the index of the site above, or -1.
func parentOf(groups []Definition, i int) int {
	if groups[i].Parent == "" {
		return -1
	}
	return slices.IndexFunc(groups, func(g Definition) bool { return g.Name == groups[i].Parent })
}

// name judges a name, and whether it is the first of its kind.
func (c *checker) checkName(path, name string, seen map[string]string) {
	first, duplicate := seen[name]
	switch {
	case name == "":
		c.report(path, "missing", "give it a name")
	case !c.checkNameChars(path, name):
	case duplicate:
		at := c.source.fault(first, "", "")
		c.report(path, fmt.Sprintf("%s is in use already, at %d:%d", quote(name), at.Line, at.Column),
			"give each a name of its own, or take one of the two out")
	default:
		seen[name] = path
	}
}

// word judges what a name is written with.
func (c *checker) checkNameChars(path, name string) bool {
	if len(name) <= maxName && !strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) || r == ' ' }) {
		return true
	}
	c.report(path, quote(name)+" is not a name", fmt.Sprintf("give at most %d bytes, without blanks", maxName))
	return false
}

// groups reads the sites and judges each by itself.
func (c *checker) readSites() []Definition {
	if len(c.file.GetSites()) == 0 {
		c.report("sites", "missing", "name the sites, the one of this node among them: sites { name: ... level: ... nodes { ... } }")
	}
	var groups []Definition
	sites, nodes := map[string]string{}, map[string]string{}
	for i, s := range c.file.GetSites() {
		path := fmt.Sprintf("sites[%d]", i)
		c.checkName(path+".name", s.GetName(), sites)
		if s.GetLevel() < sitepb.Level_PROVINCE || s.GetLevel() > sitepb.Level_BUILDING {
			c.report(path+".level", "missing, or none that there is", "give PROVINCE, REGENCY or BUILDING")
		}
		g := Definition{Name: s.GetName(), Level: int(s.GetLevel()) - 1, Parent: s.GetParent(), Zones: map[string]string{}}
		for j, n := range s.GetNodes() {
			at := fmt.Sprintf("%s.nodes[%d]", path, j)
			c.checkName(at+".name", n.GetName(), nodes)
			g.Nodes = append(g.Nodes, n.GetName())
			if zone := n.GetZone(); zone != "" && c.checkNameChars(at+".zone", zone) {
				g.Zones[n.GetName()] = zone
			}
			if n.GetSeat() {
				g.Voters = append(g.Voters, n.GetName())
			}
		}
		slices.Sort(g.Nodes)
		slices.Sort(g.Voters)
		switch n := len(g.Voters); {
		case len(g.Nodes) == 0:
		case n == 0:
			c.report(path, "no node has a seat in the council", "set seat: true at 1, 3 or 5 nodes")
		case n > 5 || n%2 == 0:
			c.report(path, fmt.Sprintf("%d nodes have a seat in the council", n), "set seat: true at 1, 3 or 5 nodes: "+
				"an even number outlives no more failures than one less, and more than five slow each decision down")
		}
		groups = append(groups, g)
	}
	return groups
}

// tree judges how the sites stand to each other.
func (c *checker) checkTree(groups []Definition) {
	province := -1
	for i, g := range groups {
		path := fmt.Sprintf("sites[%d]", i)
		parent := parentOf(groups, i)
		if g.Level == 0 {
			if province >= 0 {
				c.report(path+".level", "a second province, besides "+quote(groups[province].Name),
					"leave one province; a file has the sites of one line")
			} else {
				province = i
			}
		}
		switch {
		case g.Level == 0 && g.Parent != "":
			c.report(path+".parent", "a province has no parent", "take the parent out, or correct the level")
		case g.Level == 0:
		case g.Parent == "":
			c.report(path+".parent", "missing", "name the site above; only the province has none")
		case parent < 0:
			c.report(path+".parent", quote(g.Parent)+" is no site of this file", "correct the name, or add that site")
		default:
			if loop := cycle(groups, i); loop != nil {
				if slices.Min(loop) == i {
					var of []string
					for _, j := range loop {
						of = append(of, groups[j].Name)
					}
					c.report(path+".parent", "the sites are above themselves: "+strings.Join(append(of, g.Name), " under "),
						"correct the parents, so that each line ends at the province")
				}
			} else if groups[parent].Level >= g.Level && g.Level > 0 && groups[parent].Level >= 0 {
				c.report(path+".parent", quote(g.Parent)+" is not of a level above", "order them PROVINCE, REGENCY, BUILDING")
			}
		}
	}
}

// cycle returns the sites on the way up from i back to itself, or nil.
func cycle(groups []Definition, i int) []int {
	path := []int{i}
	for j := parentOf(groups, i); j >= 0 && len(path) <= len(groups); j = parentOf(groups, j) {
		if j == i {
			return path
		}
		path = append(path, j)
	}
	return nil
}

// addresses judges where this node and its peers are reached.
func (c *checker) checkAddresses(s *Site) {
	listen, ok := c.parseAddress("listen", s.Listen)
	switch {
	case s.Store == "":
		c.report("store", "missing", "name a folder of this node's own that outlives the process, as /var/lib/lichenhitch/"+
			cmp.Or(c.node, "NODE"))
	case !filepath.IsAbs(s.Store):
		c.report("store", quote(s.Store)+" is not an absolute path", "begin it with /, so that it is the same folder at each start")
	case filepath.Clean(s.Store) == "/":
		c.report("store", "is the root folder", "name a folder of this node's own")
	}
	c.checkWitness(s)
	known := map[string]bool{}
	for _, site := range c.file.GetSites() {
		for _, n := range site.GetNodes() {
			known[n.GetName()] = true
		}
	}
	seen, taken := map[string]string{}, map[netip.AddrPort]string{}
	for i, p := range c.file.GetPeers() {
		path := fmt.Sprintf("peers[%d]", i)
		c.checkName(path+".node", p.GetNode(), seen)
		if p.GetNode() != "" && !known[p.GetNode()] {
			c.report(path+".node", quote(p.GetNode())+" is no node of any site", "correct the name, or add the node to its site")
		}
		a, valid := c.parseAddress(path+".address", p.GetAddress())
		if !valid {
			continue
		}
		if a.Addr().IsUnspecified() {
			c.report(path+".address", quote(p.GetAddress())+" can only be listened at", "give the address that this node reaches it at")
		}
		switch {
		case p.GetNode() == c.node:
			continue
		case ok && a == listen:
			c.report(path+".address", quote(p.GetAddress())+" is where this node listens itself", "give the peer's own address, or correct listen")
		case taken[a] != "":
			c.report(path+".address", quote(p.GetAddress())+" is the address of "+quote(taken[a])+" too", "give each peer its own")
		default:
			taken[a] = p.GetNode()
		}
		s.Peers[p.GetNode()] = p.GetAddress()
	}
}

// address reads an address and says whether it is one.
func (c *checker) parseAddress(path, value string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
		c.report(path, "missing", "give an address and a port, as 10.0.0.1:7400")
	case err != nil:
		c.report(path, quote(value)+" is not an address and a port", "give it as 10.0.0.1:7400 or [fd00::1]:7400, without a name to look up")
	case a.Port() == 0 && path != "listen": // there it is any port, which the log tells
		c.report(path, "port 0 is any port", "give the port that peers and operators are to call")
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), err == nil && (a.Port() != 0 || path == "listen")
}

// witness judges the file that is to prove that the store was not put back from a copy.
func (c *checker) checkWitness(s *Site) {
	const orOmit = ", or leave it out: then a seat that starts again waits for the word of others"
	relative, err := filepath.Rel(s.Store, s.Witness)
	switch {
	case s.Witness == "" && !c.source.isPresent("witness"):
	case !filepath.IsAbs(s.Witness):
		c.report("witness", quote(s.Witness)+" is not an absolute path", "name a file under /run or /dev/shm"+orOmit)
	case strings.HasSuffix(s.Witness, "/"):
		c.report("witness", quote(s.Witness)+" names a folder", "name a file in it"+orOmit)
	case err == nil && (relative == "." || filepath.IsLocal(relative)):
		c.report("witness", quote(s.Witness)+" is in the store's folder: a copy that is put back has it too",
			"name a file under /run or /dev/shm"+orOmit)
	case c.checkDisk:
		var fs unix.Statfs_t
		if err := unix.Statfs(filepath.Dir(s.Witness), &fs); err != nil {
			c.report("witness", fmt.Sprintf("its folder %s: %v", filepath.Dir(s.Witness), err), "make the folder at each start of the machine"+orOmit)
		} else if fs.Type != unix.TMPFS_MAGIC {
			c.report("witness", quote(s.Witness)+" is not on a file system in memory (tmpfs): a copy of the disk brings it back too",
				"name a file under /run or /dev/shm"+orOmit)
		}
	}
}

// reach judges whether this node can call whom it has to: the seats of its own site, and as a seat those of the parent.
func (c *checker) checkReachability(s *Site, groups []Definition) {
	requireAddresses := func(site int, reason string) {
		for j, n := range c.file.GetSites()[site].GetNodes() {
			if name := n.GetName(); n.GetSeat() && name != c.node && name != "" && s.Peers[name] == "" && !c.hasPeer(name) {
				c.report(fmt.Sprintf("sites[%d].nodes[%d]", site, j), fmt.Sprintf("%s has no address, and this node %s", quote(name), reason),
					"add peers { node: "+strconv.Quote(name)+" address: \"...\" } with its address and port")
			}
		}
	}
	for i, g := range groups {
		switch {
		case g.Name == s.Own.Name:
			requireAddresses(i, "asks it for its right to send")
		case g.Name == s.Own.Parent && s.IsVoter && len(g.Voters) == 0 && len(g.Nodes) == 0:
			c.report(fmt.Sprintf("sites[%d]", i), "no nodes, and it is the parent of this node's site",
				"name at least the nodes that have a seat there: writes travel to them")
		case g.Name == s.Own.Parent && s.IsVoter:
			requireAddresses(i, "has a seat and sends writes up to it")
		}
	}
}

// listed says whether a peer is there, with whatever address.
func (c *checker) hasPeer(node string) bool {
	return slices.ContainsFunc(c.file.GetPeers(), func(p *sitepb.Peer) bool { return p.GetNode() == node })
}

// whole returns a whole number, or its default where it is not told.
func (c *checker) intOption(path string, value uint32, defaultValue, minimum, maximum int) int {
	if !c.source.isPresent(path) && value == 0 {
		return defaultValue
	}
	if int64(value) < int64(minimum) || int64(value) > int64(maximum) {
		c.report(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("give %d to %d, or leave it out for %d", minimum, maximum, defaultValue))
	}
	return int(value)
}

// ends are which ends of a range are in it.
type inclusive struct{ lower, upper bool }

// part returns a part, or its default where it is not told.
func (c *checker) fractionOption(path string, value, defaultValue, maximum float64, including inclusive) float64 {
	if !c.source.isPresent(path) && value == 0 {
		return defaultValue
	}
	if !(value > 0 && value < maximum || including.lower && value == 0 || including.upper && value == maximum) {
		least, most := "more than 0", "less than"
		if including.lower {
			least = "0 or more"
		}
		if including.upper {
			most = "at most"
		}
		c.report(path, fmt.Sprintf("%g is out of range", value),
			fmt.Sprintf("give %s and %s %g, or leave it out for %g", least, most, maximum, defaultValue))
	}
	return value
}

const (
	weekSeconds = 7 * 24 * 3600 // seconds
	million     = 1_000_000
)

// limits reads the allowances and the times.
func (c *checker) readLimits(s *Site) {
	f := c.file
	s.SendLease = rights.Terms{
		Lasts: time.Duration(c.intOption("rights.lasts_ms", f.GetRights().GetLastsMs(), 3000, 300, 60000)) * time.Millisecond,
		Drift: c.fractionOption("rights.drift", f.GetRights().GetDrift(), 0.01, 0.2, inclusive{true, true}),
	}
	s.Tick = time.Duration(c.intOption("council.tick_ms", f.GetCouncil().GetTickMs(), 100, 10, 5000)) * time.Millisecond
	s.SnapshotEvery = uint64(c.intOption("council.snapshot_every", f.GetCouncil().GetSnapshotEvery(), 4096, 16, million))

	t := f.GetTurns()
	s.Turns = turns.Limits{
		Site:    c.intOption("turns.site", t.GetSite(), 1, 1, million),
		Failed:  c.intOption("turns.failed", t.GetFailed(), 0, 0, million),
		Horizon: c.intOption("turns.horizon", t.GetHorizon(), 2, 1, 64),
		Age:     time.Duration(c.intOption("turns.age_s", t.GetAgeS(), 600, 1, weekSeconds)) * time.Second,
	}
	s.Turns.Zone = c.allowanceOption("turns.zone", t.GetZone(), s.Turns.Site)
	s.Turns.Kind = c.allowanceOption("turns.kind", t.GetKind(), s.Turns.Site)

	u := f.GetUpstream()
	s.SiteSync = sitesync.Limits{
		Bytes:  c.intOption("upstream.bytes", u.GetBytes(), 16<<20, 64<<10, 1<<30),
		Number: c.intOption("upstream.number", u.GetNumber(), 50000, 16, 10*million),
		Age:    time.Duration(c.intOption("upstream.evidence_s", u.GetEvidenceS(), 3600, 10, weekSeconds)) * time.Second,
		Batch:  c.intOption("upstream.batch", u.GetBatch(), 256, 1, 4096),
	}
	if s.SiteSync.Batch > s.SiteSync.Number {
		c.report("upstream.batch", fmt.Sprintf("%d writes in one call, of a queue of %d", s.SiteSync.Batch, s.SiteSync.Number),
			"give batch at most number")
	}

	c.readRollout(s, f.GetRollout())
}

// rollout reads the limits of policies in stages. What it takes, rollout.Limits.Check takes too.
func (c *checker) readRollout(s *Site, r *sitepb.Rollout) {
	exclusive := inclusive{}
	seconds := func(field string, value uint32, defaultValue, minimum int) time.Duration {
		return time.Duration(c.intOption("rollout."+field, value, defaultValue, minimum, weekSeconds)) * time.Second
	}
	s.Rollout = rollout.Limits{
		Alpha:   c.fractionOption("rollout.alpha", r.GetAlpha(), 0.01, 0.5, exclusive),
		Beta:    c.fractionOption("rollout.beta", r.GetBeta(), 0.05, 0.5, exclusive),
		Margin:  c.fractionOption("rollout.margin", r.GetMargin(), 0.02, 0.5, exclusive),
		Slow:    c.fractionOption("rollout.slow", r.GetSlow(), 0.05, 0.5, exclusive),
		Cover:   c.fractionOption("rollout.cover", r.GetCover(), 0.9, 1, inclusive{upper: true}),
		Least:   uint64(c.intOption("rollout.least", r.GetLeast(), 100, 1, 1000*million)),
		Crashes: c.intOption("rollout.crashes", r.GetCrashes(), 3, 1, 100),
		Disturb: c.intOption("rollout.disturb", r.GetDisturb(), 0, 0, million),
		Spell:   c.intOption("rollout.spell", r.GetSpell(), 6, 1, 64),
		Watch:   c.intOption("rollout.watch", r.GetWatch(), 12, 1, 1000),
		Hold:    seconds("hold_s", r.GetHoldS(), 7200, 1),
		Lease:   seconds("lease_s", r.GetLeaseS(), 300, 1),
		Slice:   seconds("slice_s", r.GetSliceS(), 300, 1),
		Settle:  seconds("settle_s", r.GetSettleS(), 60, 0),
		Longest: seconds("longest_s", r.GetLongestS(), 259200, 0),
	}
	// A change settles, the next whole spell is the first that counts, and it is judged a slice after its end: with a shorter
	// hold a stage may be given up before anything was compared.
	l := s.Rollout
	if firstEvidence := l.Settle + l.Slice*time.Duration(2*l.Spell+1); l.Hold < firstEvidence {
		c.report("rollout.hold_s", fmt.Sprintf("%v, and the first evidence of a stage may take %v", l.Hold, firstEvidence),
			"give a longer hold, or shorten slice_s, spell or settle_s")
	}
}

// within reads an allowance that may not be more than that of the site.
func (c *checker) allowanceOption(path string, value uint32, site int) int {
	if int64(value) > int64(site) {
		c.report(path, fmt.Sprintf("%d, of %d for the whole site", value, site),
			fmt.Sprintf("give 0 to %d (0: as many as of the site), or raise turns.site", site))
	}
	return int(value)
}
