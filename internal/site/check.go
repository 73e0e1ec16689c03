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

	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/site/sitepb"
)

// maxName is the maximum length of the name of a site, node or zone, in bytes.
const maxName = 128

// checker validates the content of a file.
type checker struct {
	file      *sitepb.File
	source    *scanner
	node      string
	checkDisk bool // also check the file system of this machine
	faults    Faults
}

func (c *checker) report(path, message, remedy string) {
	c.faults = append(c.faults, c.source.fault(path, message, remedy))
}

func (c *checker) validate() *Site {
	s := &Site{Node: c.node, Listen: c.file.GetListen(), Store: c.file.GetStore(), Witness: c.file.GetWitness(), Peers: map[string]string{}}
	c.readLimits(s)
	definitions := c.readSites()
	c.checkTree(definitions)
	own := slices.IndexFunc(definitions, func(g Definition) bool { return slices.Contains(g.Nodes, c.node) })
	c.checkAddresses(s)
	switch {
	case c.node == "":
		c.report("", "this node has no name", "set GW_NAME to the name of a node of this file")
		return nil
	case own < 0:
		c.report("sites", "no site has the node "+quote(c.node)+", which is this node",
			"add nodes { name: "+strconv.Quote(c.node)+" } to its site, or set GW_NAME to a node of this file")
		return nil
	}
	s.Own = definitions[own]
	s.Voters, s.Members = s.Own.Voters, s.Own.Nodes
	s.IsVoter = slices.Contains(s.Voters, c.node)
	for i := parentOf(definitions, own); i >= 0 && len(s.Ancestors) < len(definitions); i = parentOf(definitions, i) {
		s.Ancestors = append(s.Ancestors, definitions[i])
	}
	for i := range definitions {
		for j, n := parentOf(definitions, i), 0; j >= 0 && n < len(definitions); j, n = parentOf(definitions, j), n+1 {
			if j == own {
				s.Descendants = append(s.Descendants, definitions[i])
				break
			}
		}
	}
	c.checkReachability(s, definitions)
	return s
}

// parentOf returns the index of the parent of site i, or -1.
func parentOf(definitions []Definition, i int) int {
	if definitions[i].Parent == "" {
		return -1
	}
	return slices.IndexFunc(definitions, func(g Definition) bool { return g.Name == definitions[i].Parent })
}

// checkName checks that a name is valid and not used before.
func (c *checker) checkName(path, name string, seen map[string]string) {
	first, duplicate := seen[name]
	switch {
	case name == "":
		c.report(path, "missing", "give it a name")
	case !c.checkNameChars(path, name):
	case duplicate:
		position := c.source.fault(first, "", "")
		c.report(path, fmt.Sprintf("%s is in use already, at %d:%d", quote(name), position.Line, position.Column),
			"give each a unique name, or remove one of the two")
	default:
		seen[name] = path
	}
}

// checkNameChars checks the length and the characters of a name.
func (c *checker) checkNameChars(path, name string) bool {
	if len(name) <= maxName && !strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) || r == ' ' }) {
		return true
	}
	c.report(path, quote(name)+" is not a valid name", fmt.Sprintf("use at most %d bytes, without blanks", maxName))
	return false
}

// readSites reads the sites and checks each of them separately.
func (c *checker) readSites() []Definition {
	if len(c.file.GetSites()) == 0 {
		c.report("sites", "missing", "list the sites, including the one of this node: sites { name: ... level: ... nodes { ... } }")
	}
	var definitions []Definition
	sites, nodes := map[string]string{}, map[string]string{}
	for i, s := range c.file.GetSites() {
		path := fmt.Sprintf("sites[%d]", i)
		c.checkName(path+".name", s.GetName(), sites)
		if s.GetLevel() < sitepb.Level_PROVINCE || s.GetLevel() > sitepb.Level_BUILDING {
			c.report(path+".level", "missing or unknown", "set PROVINCE, REGENCY or BUILDING")
		}
		g := Definition{Name: s.GetName(), Level: int(s.GetLevel()) - 1, Parent: s.GetParent(), Zones: map[string]string{}}
		for j, n := range s.GetNodes() {
			nodePath := fmt.Sprintf("%s.nodes[%d]", path, j)
			c.checkName(nodePath+".name", n.GetName(), nodes)
			g.Nodes = append(g.Nodes, n.GetName())
			if zone := n.GetZone(); zone != "" && c.checkNameChars(nodePath+".zone", zone) {
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
			c.report(path, "no node has a seat in the council", "set seat: true for 1, 3 or 5 nodes")
		case n > 5 || n%2 == 0:
			c.report(path, fmt.Sprintf("%d nodes have a seat in the council", n), "set seat: true for 1, 3 or 5 nodes: "+
				"an even number tolerates no more failures than one node less, and more than five slow down each decision")
		}
		definitions = append(definitions, g)
	}
	return definitions
}

// checkTree checks that the sites form a tree under one province, with levels in order.
func (c *checker) checkTree(definitions []Definition) {
	province := -1
	for i, g := range definitions {
		path := fmt.Sprintf("sites[%d]", i)
		parent := parentOf(definitions, i)
		if g.Level == 0 {
			if province >= 0 {
				c.report(path+".level", "a second province besides "+quote(definitions[province].Name),
					"keep one province; a file holds one site with those above and below it")
			} else {
				province = i
			}
		}
		switch {
		case g.Level == 0 && g.Parent != "":
			c.report(path+".parent", "a province has no parent", "remove the parent, or correct the level")
		case g.Level == 0:
		case g.Parent == "":
			c.report(path+".parent", "missing", "name the site above; only the province has none")
		case parent < 0:
			c.report(path+".parent", quote(g.Parent)+" is not a site of this file", "correct the name, or add that site")
		default:
			if loop := cycle(definitions, i); loop != nil {
				if slices.Min(loop) == i {
					var names []string
					for _, j := range loop {
						names = append(names, definitions[j].Name)
					}
					c.report(path+".parent", "the parents form a cycle: "+strings.Join(append(names, g.Name), " under "),
						"correct the parents, so that each line ends at the province")
				}
			} else if definitions[parent].Level >= g.Level && g.Level > 0 && definitions[parent].Level >= 0 {
				c.report(path+".parent", quote(g.Parent)+" does not have a higher level", "order them PROVINCE, REGENCY, BUILDING")
			}
		}
	}
}

// cycle returns the sites on the path from i through its ancestors back to i, or nil if there is no such path.
func cycle(definitions []Definition, i int) []int {
	path := []int{i}
	for j := parentOf(definitions, i); j >= 0 && len(path) <= len(definitions); j = parentOf(definitions, j) {
		if j == i {
			return path
		}
		path = append(path, j)
	}
	return nil
}

// checkAddresses checks the addresses of this node and its peers, and the locations of the store and the witness.
func (c *checker) checkAddresses(s *Site) {
	listen, listenValid := c.parseAddress("listen", s.Listen)
	switch {
	case s.Store == "":
		c.report("store", "missing", "name a directory used only by this node that persists across restarts, such as /var/lib/lichenhitch/"+
			cmp.Or(c.node, "NODE"))
	case !filepath.IsAbs(s.Store):
		c.report("store", quote(s.Store)+" is not an absolute path", "start it with /, so that it is the same directory at each start")
	case filepath.Clean(s.Store) == "/":
		c.report("store", "is the root directory", "name a directory used only by this node")
	}
	c.checkWitness(s)
	known := map[string]bool{}
	for _, site := range c.file.GetSites() {
		for _, n := range site.GetNodes() {
			known[n.GetName()] = true
		}
	}
	seen, usedBy := map[string]string{}, map[netip.AddrPort]string{}
	for i, p := range c.file.GetPeers() {
		path := fmt.Sprintf("peers[%d]", i)
		c.checkName(path+".node", p.GetNode(), seen)
		if p.GetNode() != "" && !known[p.GetNode()] {
			c.report(path+".node", quote(p.GetNode())+" is not a node of any site", "correct the name, or add the node to its site")
		}
		a, valid := c.parseAddress(path+".address", p.GetAddress())
		if !valid {
			continue
		}
		if a.Addr().IsUnspecified() {
			c.report(path+".address", quote(p.GetAddress())+" is an unspecified address, which cannot be dialled",
				"give the address at which this node reaches the peer")
		}
		switch {
		case p.GetNode() == c.node:
			continue
		case listenValid && a == listen:
			c.report(path+".address", quote(p.GetAddress())+" is the listen address of this node",
				"give the peer's own address, or correct listen")
		case usedBy[a] != "":
			c.report(path+".address", quote(p.GetAddress())+" is the address of "+quote(usedBy[a])+" as well",
				"give each peer its own")
		default:
			usedBy[a] = p.GetNode()
		}
		s.Peers[p.GetNode()] = p.GetAddress()
	}
}

// parseAddress parses an address and reports whether it is valid.
func (c *checker) parseAddress(path, value string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
		c.report(path, "missing", "give an address and a port, such as 10.0.0.1:7400")
	case err != nil:
		c.report(path, quote(value)+" is not an address and a port", "give it as 10.0.0.1:7400 or [fd00::1]:7400, not with a host name")
	case a.Port() == 0 && path != "listen": // for listen it means any free port, which the log shows
		c.report(path, "port 0 means any free port", "give the port that peers and operators call")
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), err == nil && (a.Port() != 0 || path == "listen")
}

// checkWitness checks the path of the witness file, which verifies that the store was not restored from a copy.
func (c *checker) checkWitness(s *Site) {
	const orOmit = ", or omit it: then a voter that restarts waits for confirmation by other voters"
	relative, err := filepath.Rel(s.Store, s.Witness)
	switch {
	case s.Witness == "" && !c.source.isPresent("witness"):
	case !filepath.IsAbs(s.Witness):
		c.report("witness", quote(s.Witness)+" is not an absolute path", "name a file under /run or /dev/shm"+orOmit)
	case strings.HasSuffix(s.Witness, "/"):
		c.report("witness", quote(s.Witness)+" names a directory", "name a file in it"+orOmit)
	case err == nil && (relative == "." || filepath.IsLocal(relative)):
		c.report("witness", quote(s.Witness)+" is in the store's directory: a restored copy would contain it too",
			"name a file under /run or /dev/shm"+orOmit)
	case c.checkDisk:
		var fs unix.Statfs_t
		if err := unix.Statfs(filepath.Dir(s.Witness), &fs); err != nil {
			c.report("witness", fmt.Sprintf("its directory %s: %v", filepath.Dir(s.Witness), err),
				"create the directory at each boot of the machine"+orOmit)
		} else if fs.Type != unix.TMPFS_MAGIC {
			c.report("witness", quote(s.Witness)+" is not on an in-memory file system (tmpfs): a restored copy of the disk would contain it too",
				"name a file under /run or /dev/shm"+orOmit)
		}
	}
}

// checkReachability checks that this node has the addresses of the nodes that it must call: the voters of its own site and, if
// it is a voter itself, those of the parent site.
func (c *checker) checkReachability(s *Site, definitions []Definition) {
	requireAddresses := func(site int, reason string) {
		for j, n := range c.file.GetSites()[site].GetNodes() {
			if name := n.GetName(); n.GetSeat() && name != c.node && name != "" && s.Peers[name] == "" && !c.hasPeer(name) {
				c.report(fmt.Sprintf("sites[%d].nodes[%d]", site, j), fmt.Sprintf("%s has no address, and this node %s", quote(name), reason),
					"add peers { node: "+strconv.Quote(name)+" address: \"...\" } with its address and port")
			}
		}
	}
	for i, g := range definitions {
		switch {
		case g.Name == s.Own.Name:
			requireAddresses(i, "requests its send lease from it")
		case g.Name == s.Own.Parent && s.IsVoter && len(g.Voters) == 0 && len(g.Nodes) == 0:
			c.report(fmt.Sprintf("sites[%d]", i), "has no nodes, but is the parent of this node's site",
				"name at least the nodes that have a seat there: writes are forwarded to them")
		case g.Name == s.Own.Parent && s.IsVoter:
			requireAddresses(i, "has a seat and forwards writes to it")
		}
	}
}

// hasPeer reports whether the file lists a peer, with any address.
func (c *checker) hasPeer(node string) bool {
	return slices.ContainsFunc(c.file.GetPeers(), func(p *sitepb.Peer) bool { return p.GetNode() == node })
}

// intOption returns an integer option, or its default if it is not set.
func (c *checker) intOption(path string, value uint32, defaultValue, minimum, maximum int) int {
	if !c.source.isPresent(path) && value == 0 {
		return defaultValue
	}
	if int64(value) < int64(minimum) || int64(value) > int64(maximum) {
		c.report(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("give %d to %d, or leave it out for %d", minimum, maximum, defaultValue))
	}
	return int(value)
}

// inclusive says which bounds of a range belong to it.
type inclusive struct{ lower, upper bool }

// fractionOption returns an option that is a fraction, or its default if it is not set.
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
	weekSeconds = 7 * 24 * 3600
	million     = 1_000_000
)

// readLimits reads the limits and the times.
func (c *checker) readLimits(s *Site) {
	f := c.file
	s.SendLease = sendlease.Terms{
		Duration: time.Duration(c.intOption("rights.lasts_ms", f.GetRights().GetLastsMs(), 3000, 300, 60000)) * time.Millisecond,
		Drift:    c.fractionOption("rights.drift", f.GetRights().GetDrift(), 0.01, 0.2, inclusive{true, true}),
	}
	s.Tick = time.Duration(c.intOption("council.tick_ms", f.GetCouncil().GetTickMs(), 100, 10, 5000)) * time.Millisecond
	s.SnapshotEvery = uint64(c.intOption("council.snapshot_every", f.GetCouncil().GetSnapshotEvery(), 4096, 16, million))

	t := f.GetTurns()
	s.Turns = turns.Limits{
		Site:      c.intOption("turns.site", t.GetSite(), 1, 1, million),
		Failed:    c.intOption("turns.failed", t.GetFailed(), 0, 0, million),
		Lookahead: c.intOption("turns.horizon", t.GetHorizon(), 2, 1, 64),
		AgeStep:   time.Duration(c.intOption("turns.age_s", t.GetAgeS(), 600, 1, weekSeconds)) * time.Second,
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
		c.report("upstream.batch", fmt.Sprintf("%d writes in one call, but the queue holds only %d", s.SiteSync.Batch, s.SiteSync.Number),
			"set batch to at most number")
	}

	c.readRollout(s, f.GetRollout())
}

// readRollout reads the limits of policy rollouts. It accepts no limits that rollout.Limits.Check rejects.
func (c *checker) readRollout(s *Site, r *sitepb.Rollout) {
	exclusive := inclusive{}
	seconds := func(field string, value uint32, defaultValue, minimum int) time.Duration {
		return time.Duration(c.intOption("rollout."+field, value, defaultValue, minimum, weekSeconds)) * time.Second
	}
	s.Rollout = rollout.Limits{
		Alpha:           c.fractionOption("rollout.alpha", r.GetAlpha(), 0.01, 0.5, exclusive),
		Beta:            c.fractionOption("rollout.beta", r.GetBeta(), 0.05, 0.5, exclusive),
		Margin:          c.fractionOption("rollout.margin", r.GetMargin(), 0.02, 0.5, exclusive),
		SlowMargin:      c.fractionOption("rollout.slow", r.GetSlow(), 0.05, 0.5, exclusive),
		Coverage:        c.fractionOption("rollout.cover", r.GetCover(), 0.9, 1, inclusive{upper: true}),
		MinRequests:     uint64(c.intOption("rollout.least", r.GetLeast(), 100, 1, 1000*million)),
		MaxCrashes:      c.intOption("rollout.crashes", r.GetCrashes(), 3, 1, 100),
		MaxDisrupted:    c.intOption("rollout.disturb", r.GetDisturb(), 0, 0, million),
		WindowSlices:    c.intOption("rollout.spell", r.GetSpell(), 6, 1, 64),
		BaselineWindows: c.intOption("rollout.watch", r.GetWatch(), 12, 1, 1000),
		MaxHold:         seconds("hold_s", r.GetHoldS(), 7200, 1),
		TrialLease:      seconds("lease_s", r.GetLeaseS(), 300, 1),
		Slice:           seconds("slice_s", r.GetSliceS(), 300, 1),
		Settle:          seconds("settle_s", r.GetSettleS(), 60, 0),
		MaxStageTime:    seconds("longest_s", r.GetLongestS(), 259200, 0),
	}
	// After a change settles, the next complete observation window is the first that counts, and it is evaluated one time slice
	// after its end. With a shorter hold, a stage could be given up before anything was compared.
	l := s.Rollout
	if firstEvidence := l.Settle + l.Slice*time.Duration(2*l.WindowSlices+1); l.MaxHold < firstEvidence {
		c.report("rollout.hold_s", fmt.Sprintf("%v, but the first evidence of a stage may take %v", l.MaxHold, firstEvidence),
			"give a longer hold, or shorten slice_s, spell or settle_s")
	}
}

// allowanceOption reads an allowance that must not exceed that of the site.
func (c *checker) allowanceOption(path string, value uint32, site int) int {
	if int64(value) > int64(site) {
		c.report(path, fmt.Sprintf("%d, but only %d for the whole site", value, site),
			fmt.Sprintf("give 0 to %d (0: the same as for the site), or raise turns.site", site))
	}
	return int(value)
}
