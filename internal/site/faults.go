package site

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a file, where it is wrong, and what an operator can do about it.
type Fault struct {
	Path    string // of the file
	Line    int    // from 1
	Column  int    // from 1, in characters
	Field   string // as sites[1].nodes[2].seat; "" where it is none of a field
	Message string
	Remedy  string
}

// Error names the place, the fault and what to do.
func (f *Fault) Error() string {
	field := f.Field
	if field != "" {
		field += ": "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s; what to do: %s", f.Path, f.Line, f.Column, field, f.Message, f.Remedy)
}

// Action says what an operator can do.
func (f *Fault) Action() string { return f.Remedy }

// Faults are all that is wrong with a file, by line and column. Never empty where it is an error.
type Faults []*Fault

// Error has a line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Action has a line for each fault.
func (fs Faults) Action() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", f.Path, f.Line, f.Column, f.Remedy)
	}
	return strings.Join(lines, "\n")
}

// Unwrap gives errors.As each fault.
func (fs Faults) Unwrap() []error {
	errs := make([]error, len(fs))
	for i, f := range fs {
		errs[i] = f
	}
	return errs
}

// in puts the faults in order and names their file.
func (fs Faults) in(path string) Faults {
	for _, f := range fs {
		f.Path = path
	}
	slices.SortStableFunc(fs, func(a, b *Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return fs
}

// FileError says that the file cannot be read.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("the file of sites %s cannot be read: %v; what to do: %s", e.Path, e.Err, e.Action())
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Action says what an operator can do.
func (e *FileError) Action() string {
	return "name a readable file in protobuf text format, such as deploy/site.example.txtpb"
}

// SeatStep is one change of a council's seats.
type VoterChange struct {
	Node string
	Add  bool // or else it leaves
}

func (s VoterChange) String() string {
	if s.Add {
		return "add " + s.Node
	}
	return "remove " + s.Node
}

// ChangeError says why a file cannot be taken by a node that runs: nothing of it was taken.
type ChangeError struct {
	Restart      []string      // what only a start takes over
	VoterChanges []VoterChange // of the own council's seats, where too few of the present ones stay
}

func (e *ChangeError) Error() string {
	var parts []string
	if len(e.Restart) > 0 {
		parts = append(parts, strings.Join(e.Restart, ", ")+": taken over only at a start")
	}
	if len(e.VoterChanges) > 0 {
		parts = append(parts, "seats: new ones come, and no majority of the present ones stays: "+e.voterChangeList())
	}
	return "nothing of the changed file of sites was taken: " + strings.Join(parts, "; ") + "; what to do: " + e.Action()
}

func (e *ChangeError) voterChangeList() string {
	list := make([]string, len(e.VoterChanges))
	for i, s := range e.VoterChanges {
		list[i] = s.String()
	}
	return strings.Join(list, ", then ")
}

// Action says what an operator can do.
func (e *ChangeError) Action() string {
	var parts []string
	if len(e.Restart) > 0 {
		parts = append(parts, "put "+strings.Join(e.Restart, ", ")+" back and reload, or restart this node")
	}
	if slices.Contains(e.Restart, "rights") {
		parts = append(parts, "longer rights or more drift go to all seats before any other node, shorter ones the other way round")
	}
	if len(e.VoterChanges) > 0 {
		parts = append(parts, "take the seats in parts ("+e.voterChangeList()+"): a file in which more than half of the present seats stay, and the next one once Turns names its seats")
	}
	return strings.Join(parts, "; ")
}
