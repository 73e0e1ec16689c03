// Package site reads the operator's file of sites (deploy/site.example.txtpb): which sites there are, who has a seat in
// a site's council, how this node reaches its peers, the allowances, and where the store is. The file is protobuf text
// format; it is checked whole, and each fault names its line and column and what to do.
package site

import (
	"errors"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"lichenhitch/internal/choice/rights"
	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/site/sitepb"
)

// maxFile is the longest file that is read, in bytes.
const maxFile = 4 << 20

// Site is what the file says, as one node sees it.
type Site struct {
	Node          string
	Own           Definition
	Ancestors     []Definition // the parent first, up to the province
	Descendants   []Definition // all of them, as the file orders them
	Listen        string
	Store         string
	Witness       string            // path, "" for none
	Voters        []string          // of the own site, sorted
	Members       []string          // nodes of the own site, sorted
	IsVoter       bool              // this node has one
	Peers         map[string]string // address by node; this node is none
	SendLease     rights.Terms
	Turns         turns.Limits
	SiteSync      sitesync.Limits
	Rollout       rollout.Limits
	Tick          time.Duration // of the council
	SnapshotEvery uint64        // entries of the council's log
}

// Group is one site of the file.
type Definition struct {
	Name   string
	Level  int // 0 is the province, 1 a regency, 2 a building
	Parent string
	Nodes  []string          // sorted
	Voters []string          // sorted
	Zones  map[string]string // by node; those that tell none have none
}

// Load reads the file at path for the node of a name. Its errors are a *FileError or Faults.
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

// Parse reads the text of a file. path is for messages. The error is Faults: all that were found, by line.
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

// Change says whether a node that runs by s may take next as a whole: nil, or a *ChangeError with all that is against it.
// Nothing of next is taken while it is not nil.
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
	if changes := PlanVoterChanges(s.Voters, next.Voters); s.Own.Name == next.Own.Name && slices.ContainsFunc(changes, func(t VoterChange) bool { return t.Add }) {
		// New seats found a council where all seats of the file are new. They do not while one of those that stay has its store.
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

// Steps leads from one set of seats to another, one seat at a time: never fewer seats than the smaller of the two.
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

// quote shows a text of the file, the start of it where it is long.
func quote(s string) string {
	if len(s) > 80 {
		s = strings.ToValidUTF8(s[:80], "") + "…"
	}
	return strconv.Quote(s)
}
