package verdict

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// outputMarkers are the prefixes of the lines by which the testing package marks whose output follows. They are omitted
// where the output is sorted by test.
var outputMarkers = []string{"=== RUN ", "=== PAUSE ", "=== CONT ", "=== NAME "}

// Text returns what go test would print about a package that has ended, with the full output of failed tests. If
// anything other than its tests ended the package, it returns all output in its original order.
func (p *Package) Text() string {
	anyFailed := slices.ContainsFunc(p.tests, func(t *Test) bool { return t.State > Skipped })
	switch {
	case p.State != Failed && !anyFailed:
		return p.headline()
	case p.FailedBuild != "":
		return p.buildOutput + p.allOutput.String()
	case !anyFailed || p.raced() || !p.endedByTests():
		return p.allOutput.String()
	}
	var b strings.Builder
	for _, t := range p.tests {
		if t.topLevel == t && t.State > Skipped {
			p.writeFailed(&b, t)
		}
	}
	for _, line := range p.packageOutput {
		b.WriteString(line)
	}
	return b.String()
}

// headline returns the line that go test prints for a package that passed or has no tests.
func (p *Package) headline() string {
	for _, line := range p.packageOutput {
		if strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "?   \t") {
			return line
		}
	}
	return ""
}

// writeFailed writes the output of a failed top-level test and of its subtests that did not pass.
func (p *Package) writeFailed(b *strings.Builder, top *Test) {
	for _, t := range p.tests {
		if t.topLevel != top || t.State == Passed {
			continue
		}
		for line := range strings.Lines(t.output.String()) {
			if !slices.ContainsFunc(outputMarkers, func(f string) bool { return strings.HasPrefix(line, f) }) {
				b.WriteString(line)
			}
		}
	}
}

// Remainder returns the output that is not printed yet when go test has ended: that of successful builds, lines that
// are no events, and the output of packages whose end was not reported.
func (s *Suite) Remainder() string {
	var b strings.Builder
	for _, path := range slices.Sorted(maps.Keys(s.builds)) {
		b.WriteString(s.builds[path])
	}
	for _, line := range s.invalidLines {
		b.WriteString(line + "\n")
	}
	for _, p := range s.Packages {
		if p.State == Unfinished {
			b.WriteString(p.allOutput.String())
		}
	}
	return b.String()
}

// advice is added to a listed test that passed.
const advice = " (no longer red: remove its line)"

// String returns the outcome in one line.
func (o Outcome) String() string {
	line := fmt.Sprintf("%s %s: %s", o.Package, o.Test, o.State)
	if o.State == Passed {
		line += advice
	}
	return fmt.Sprintf("%s | %s | seed %s | %s | %s", line, o.Command, o.Seed, o.Observed, o.Issue)
}

// Text returns the summary: the listed tests and how each ended, the faults, and the closing line.
func (v Verdict) Text() string {
	var b strings.Builder
	if len(v.Outcomes) > 0 {
		fmt.Fprintf(&b, "\nKnown red, by %s:\n", KnownFile)
	}
	for _, o := range v.Outcomes {
		fmt.Fprintf(&b, "    %s\n", o)
	}
	if len(v.Faults) > 0 {
		b.WriteString("\nAt fault:\n")
	}
	for _, f := range v.Faults {
		fmt.Fprintf(&b, "    %s\n", f)
	}
	fmt.Fprintf(&b, "\n%d passed, %d failed, %d skipped\n", v.Passed, v.Failed, v.Skipped)
	return b.String()
}
