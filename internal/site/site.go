// Package site reads the operator's site file (deploy/site.example.txtpb). It defines the sites, the nodes that vote in each
// site's consensus group (in the file: that have a seat in its council), the addresses of this node's peers, the limits, and
// the location of the store. The file is in protobuf text format. The whole file is checked; each fault has its line, its
// column and a remedy.
package site

import (
	"errors"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/site/sitepb"
)

// maxFile is the maximum size of the site file, in bytes.
const maxFile = 4 << 20

// Site is the content of the site file from the point of view of one node.
type Site struct {
	Node          string
	Own           Definition
	Ancestors     []Definition // from the parent up to the province
	Descendants   []Definition // all sites below, in the order of the file
	Listen        string
	Store         string
	Witness       string            // path of the witness file, which verifies that the store was not restored from a copy; "" for none
	Voters        []string          // nodes of the own site that vote in its consensus group, sorted
	Members       []string          // all nodes of the own site, sorted
	IsVoter       bool              // this node is one of Voters
	Peers         map[string]string // addresses by node, without this node
	SendLease     sendlease.Terms
	Turns         turns.Limits
	SiteSync      sitesync.Limits
	Rollout       rollout.Limits
	Tick          time.Duration // of the consensus group's Raft clock
	SnapshotEvery uint64        // Raft log entries between two snapshots
}

// Definition is one site as defined in the file.
type Definition struct {
	Name   string
	Level  int // 0 is the province, 1 a regency, 2 a building
	Parent string
	Nodes  []string          // sorted
	Voters []string          // sorted
	Zones  map[string]string // by node; nodes without a zone are absent
}

// Load reads the file at path for the node with the given name. The error is a *FileError or Faults.
func Load(path, node string) (*Site, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	if !info.Mode().IsRegular() || info.Size() > maxFile {
		return nil, &FileError{Path: path, Err: errors.New("not a regular file of at most " + strconv.Itoa(maxFile) + " bytes")}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return parse(raw, path, node, true)
}

// Parse reads the content of a file. path is used in messages only. The error is Faults: all faults found, ordered by line.
func Parse(raw []byte, path, node string) (*Site, error) { return parse(raw, path, node, false) }

func parse(raw []byte, path, node string, checkDisk bool) (*Site, error) {
	t := scan(raw)
	var file sitepb.File
	if err := prototext.Unmarshal(raw, &file); err != nil {
		return nil, t.syntaxFaults(err).in(path)
	}
	c := checker{file: &file, source: t, node: node, checkDisk: checkDisk}
	s := c.validate()
	if len(c.faults) > 0 {
		return nil, c.faults.in(path)
	}
	return s, nil
}

// CheckChange checks whether a running node with configuration s can adopt next. If not, it returns a *ChangeError with all the
// reasons, and the caller must adopt nothing of next.
func (s *Site) CheckChange(next *Site) error {
	var e ChangeError
	for _, f := range []struct {
		name string
		same bool
	}{
		{"the node's name", s.Node == next.Node},
		{"listen", s.Listen == next.Listen},
		{"store", s.Store == next.Store},
		{"witness", s.Witness == next.Witness},
		{"the own site", s.Own.Name == next.Own.Name && s.Own.Level == next.Own.Level},
		{"the sites above", slices.Equal(siteNames(s.Ancestors), siteNames(next.Ancestors))},
		{"rights", s.SendLease == next.SendLease},
		{"council.tick_ms", s.Tick == next.Tick},
	} {
		if !f.same {
			e.Restart = append(e.Restart, f.name)
		}
	}
	if changes := PlanVoterChanges(s.Voters, next.Voters); s.Own.Name == next.Own.Name &&
		slices.ContainsFunc(changes, func(t VoterChange) bool { return t.Add }) {
		// If all voters of the file are new, they bootstrap a new consensus group. They do not as long as one of the remaining
		// voters has its store. So more than half of the present voters must remain.
		staying := 0
		for _, n := range s.Voters {
			if slices.Contains(next.Voters, n) {
				staying++
			}
		}
		if 2*staying <= len(s.Voters) {
			e.VoterChanges = changes
		}
	}
	if len(e.Restart) == 0 && len(e.VoterChanges) == 0 {
		return nil
	}
	return &e
}

// PlanVoterChanges returns the changes that lead from one set of voters to another, one voter at a time. At no point are there
// fewer voters than in the smaller of the two sets.
func PlanVoterChanges(now, next []string) (changes []VoterChange) {
	var added, removed []string
	for _, n := range next {
		if !slices.Contains(now, n) {
			added = append(added, n)
		}
	}
	for _, n := range now {
		if !slices.Contains(next, n) {
			removed = append(removed, n)
		}
	}
	for i := range max(len(added), len(removed)) {
		if i < len(added) {
			changes = append(changes, VoterChange{Node: added[i], Add: true})
		}
		if i < len(removed) {
			changes = append(changes, VoterChange{Node: removed[i]})
		}
	}
	return changes
}

func siteNames(gs []Definition) (list []string) {
	for _, g := range gs {
		list = append(list, g.Name)
	}
	return list
}

// quote quotes a text of the file, truncated if it is long.
func quote(s string) string {
	if len(s) > 80 {
		s = strings.ToValidUTF8(s[:80], "") + "…"
	}
	return strconv.Quote(s)
}
