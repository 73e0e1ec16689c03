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

	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/site/sitepb"
)

// maxFile is the longest file that is read, in bytes.
const maxFile = 4 << 20

// Site is what the file says, as one node sees it.
type Site struct {
	Node          string
	Own           Group
	Above         []Group // the parent first, up to the province
	Below         []Group // all of them, as the file orders them
	Listen        string
	Store         string
	Witness       string            // path, "" for none
	Seats         []string          // of the own site, sorted
	Members       []string          // nodes of the own site, sorted
	Seat          bool              // this node has one
	Peers         map[string]string // address by node; this node is none
	Rights        sendlease.Terms
	Turns         turns.Limits
	Upstream      sitesync.Limits
	Rollout       rollout.Limits
	Tick          time.Duration // of the council
	SnapshotEvery uint64        // entries of the council's log
}

// Group is one site of the file.
type Group struct {
	Name   string
	Level  int // 0 is the province, 1 a regency, 2 a building
	Parent string
	Nodes  []string          // sorted
	Seats  []string          // sorted
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

func parse(raw []byte, path, node string, disk bool) (*Site, error) {
	t := scan(raw)
	var file sitepb.File
	if err := prototext.Unmarshal(raw, &file); err != nil {
		return nil, t.structure(err).in(path)
	}
	c := check{file: &file, text: t, node: node, disk: disk}
	s := c.all()
	if len(c.faults) > 0 {
		return nil, c.faults.in(path)
	}
	return s, nil
}

// Change says whether a node that runs by s may take next as a whole: nil, or a *ChangeError with all that is against it.
// Nothing of next is taken while it is not nil.
func (s *Site) Change(next *Site) error {
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
		{"the sites above", slices.Equal(names(s.Above), names(next.Above))},
		{"rights", s.Rights == next.Rights},
		{"council.tick_ms", s.Tick == next.Tick},
	} {
		if !f.same {
			e.Restart = append(e.Restart, f.name)
		}
	}
	if to := Steps(s.Seats, next.Seats); s.Own.Name == next.Own.Name && slices.ContainsFunc(to, func(t SeatStep) bool { return t.Add }) {
		// New seats found a council where all seats of the file are new. They do not while one of those that stay has its store.
		stay := 0
		for _, n := range s.Seats {
			if slices.Contains(next.Seats, n) {
				stay++
			}
		}
		if 2*stay <= len(s.Seats) {
			e.Steps = to
		}
	}
	if len(e.Restart) == 0 && len(e.Steps) == 0 {
		return nil
	}
	return &e
}

// Steps leads from one set of seats to another, one seat at a time: never fewer seats than the smaller of the two.
func Steps(now, next []string) (to []SeatStep) {
	var in, out []string
	for _, n := range next {
		if !slices.Contains(now, n) {
			in = append(in, n)
		}
	}
	for _, n := range now {
		if !slices.Contains(next, n) {
			out = append(out, n)
		}
	}
	for i := range max(len(in), len(out)) {
		if i < len(in) {
			to = append(to, SeatStep{Node: in[i], Add: true})
		}
		if i < len(out) {
			to = append(to, SeatStep{Node: out[i]})
		}
	}
	return to
}

func names(gs []Group) (to []string) {
	for _, g := range gs {
		to = append(to, g.Name)
	}
	return to
}

// quote shows a text of the file, the start of it where it is long.
func quote(s string) string {
	if len(s) > 80 {
		s = strings.ToValidUTF8(s[:80], "") + "…"
	}
	return strconv.Quote(s)
}
