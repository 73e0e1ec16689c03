package site

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one fault of a site file, with its position and what an operator can do about it.
type Fault struct {
	Path    string // of the file
	Line    int    // from 1
	Column  int    // from 1, in characters
	Field   string // such as sites[1].nodes[2].seat; "" if the fault is not about a field
	Message string
	Remedy  string
}

// Error returns the position, the message and the remedy.
func (f *Fault) Error() string {
	field := f.Field
	if field != "" {
		field += ": "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s; what to do: %s", f.Path, f.Line, f.Column, field, f.Message, f.Remedy)
}

// Action returns what an operator can do about it.
func (f *Fault) Action() string { return f.Remedy }

// Faults are all faults of a file, ordered by line and column. A value returned as an error is never empty.
type Faults []*Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Action returns one line for each fault.
func (fs Faults) Action() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", f.Path, f.Line, f.Column, f.Remedy)
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, for errors.As.
func (fs Faults) Unwrap() []error {
	errs := make([]error, len(fs))
	for i, f := range fs {
		errs[i] = f
	}
	return errs
}

// in sorts the faults and sets the path of their file.
func (fs Faults) in(path string) Faults {
	for _, f := range fs {
		f.Path = path
	}
	slices.SortStableFunc(fs, func(a, b *Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return fs
}

// FileError means that the site file cannot be read.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("the site file %s cannot be read: %v; what to do: %s", e.Path, e.Err, e.Action())
}

func (e *FileError) Unwrap() error { return e.Err }

// Action returns what an operator can do about it.
func (e *FileError) Action() string {
	return "name a readable file in protobuf text format, such as deploy/site.example.txtpb"
}

// VoterChange is one change of the voters of a consensus group.
type VoterChange struct {
	Node string
	Add  bool // true: added; false: removed
}

func (s VoterChange) String() string {
	if s.Add {
		return "add " + s.Node
	}
	return "remove " + s.Node
}

// ChangeError is the reason why a running node cannot adopt a changed site file. Nothing of the file was adopted.
type ChangeError struct {
	Restart      []string      // names of what takes effect only at a restart
	VoterChanges []VoterChange // changes of the own site's voters to make one at a time, if too few of the present voters remain
}

func (e *ChangeError) Error() string {
	var parts []string
	if len(e.Restart) > 0 {
		parts = append(parts, strings.Join(e.Restart, ", ")+": taken over only at a start")
	}
	if len(e.VoterChanges) > 0 {
		parts = append(parts, "seats: new ones are added, and no majority of the present ones remains: "+e.voterChangeList())
	}
	return "the changed site file was rejected as a whole: " + strings.Join(parts, "; ") + "; what to do: " + e.Action()
}

func (e *ChangeError) voterChangeList() string {
	list := make([]string, len(e.VoterChanges))
	for i, s := range e.VoterChanges {
		list[i] = s.String()
	}
	return strings.Join(list, ", then ")
}

// Action returns what an operator can do about it.
func (e *ChangeError) Action() string {
	var parts []string
	if len(e.Restart) > 0 {
		parts = append(parts, "put "+strings.Join(e.Restart, ", ")+" back and reload, or restart this node")
	}
	if slices.Contains(e.Restart, "rights") {
		parts = append(parts, "with longer rights or more drift, change all seats before any other node; with shorter ones, change all seats last")
	}
	if len(e.VoterChanges) > 0 {
		parts = append(parts, "change the seats in parts ("+e.voterChangeList()+"): first load a file in which more than half of the present "+
			"seats remain, and the next one once Turns lists its seats")
	}
	return strings.Join(parts, "; ")
}
