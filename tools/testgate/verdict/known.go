package verdict

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

const (
	// KnownFile is the name of the list, at the root of the module.
	KnownFile = "KNOWN-RED.txt"
	// lineFormat describes the format of a line of the list.
	lineFormat = "import/path TestName | go test or make ... | seed N, or seed none | what was seen | #issue"
)

// knownLine matches a line of the list. Fields are separated by " | " and contain no bar.
var knownLine = regexp.MustCompile(`^([^\s|./][^\s|]*) (Test[^\s|/]*)` + // package and test
	` \| ((?:go test|make) [^|]*[^\s|])` + // command
	` \| seed (none|[0-9]+)` +
	` \| ([^\s|](?:[^|]*[^\s|])?)` + // what was observed
	` \| (#[1-9][0-9]*)$`)

// Known is a test that is listed as failing for a known cause.
type Known struct {
	Package  string // the import path, as go test prints it
	Test     string // a top-level test; its subtests are listed with it
	Command  string // that reproduces the failure
	Seed     string // a number; "none" if the test uses no random numbers
	Observed string // what the failure looks like, and what is known of its cause
	Issue    string // the number of an open issue, such as #29
}

// String returns the line of the list.
func (k Known) String() string {
	return fmt.Sprintf("%s %s | %s | seed %s | %s | %s", k.Package, k.Test, k.Command, k.Seed, k.Observed, k.Issue)
}

// ParseKnown parses the list. Each line names a test; there are no comments and no blank lines. An empty text is an
// empty list. The error names every faulty line.
func ParseKnown(text string) ([]Known, error) {
	if text == "" {
		return nil, nil
	}
	var list []Known
	var faults []error
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		k, err := parseLine(line, list)
		if err != nil {
			faults = append(faults, fmt.Errorf("%s:%d: %w", KnownFile, i+1, err))
			continue
		}
		list = append(list, k)
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return list, nil
}

// parseLine parses one line; before are the tests listed above it.
func parseLine(line string, before []Known) (Known, error) {
	m := knownLine.FindStringSubmatch(line)
	if m == nil {
		return Known{}, fmt.Errorf("want %q, no comments, no blank lines, no subtests; got %q", lineFormat, line)
	}
	k := Known{Package: m[1], Test: m[2], Command: m[3], Seed: m[4], Observed: m[5], Issue: m[6]}
	for _, b := range before {
		if b.Package == k.Package && b.Test == k.Test {
			return Known{}, fmt.Errorf("%s %s is listed twice", k.Package, k.Test)
		}
	}
	return k, nil
}
