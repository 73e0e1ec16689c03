// Package verdict judges what go test -json told: which tests failed, whether all of these are listed as known, and whether anything
// else went wrong. It has no I/O.
//
// A failure is passed over only if it is that of a listed test and nothing else can be behind the failure of its package: every test that
// started has ended, the package ended by the FAIL of the testing package and said nothing afterwards, and no data race was reported.
//
// One thing cannot be told from the events: a TestMain that exits with a status of its own, without a word, after a listed test has
// failed. go test reports the package as failed in either case.
package verdict

import (
	"slices"
	"strings"
)

// State is how a test or package ended. A greater one is worse.
type State int

// The states. A test that did not run has none.
const (
	NotRun State = iota
	Passed
	Skipped
	Failed
	Unfinished // it was started and did not end
)

// String returns the state in words.
func (s State) String() string {
	return [...]string{"not run", "passed", "skipped", "failed", "did not end"}[s]
}

// ends are the states that actions lead to.
var ends = map[Action]State{Pass: Passed, Skip: Skipped, Fail: Failed}

// Test is one run of a test or subtest.
type Test struct {
	Name  string
	State State

	root   *Test // the top-level test; itself for one
	output strings.Builder
}

// Package is what was told of one package.
type Package struct {
	Path        string
	State       State
	FailedBuild string

	tests  []*Test          // in the order of their starts
	latest map[string]*Test // by name
	own    []string         // output that belongs to no test
	stream strings.Builder  // all output as it came
	build  string           // what the compiler or vet said, if that failed
}

// Suite is what one run of go test told.
type Suite struct {
	Packages []*Package
	Exit     int // the status of go test

	byPath map[string]*Package
	builds map[string]string // output by import path
	failed []string          // builds that failed
	stray  []string          // lines that are no events
}

// Take adds an event. It returns the package that ended by it, or nil.
func (s *Suite) Take(e Event) *Package {
	switch {
	case e.Action == BuildOutput:
		if s.builds == nil {
			s.builds = map[string]string{}
		}
		s.builds[e.ImportPath] += e.Output
		return nil
	case e.Action == BuildFail:
		s.failed = append(s.failed, e.ImportPath)
		return nil
	case e.Package == "":
		return nil
	}
	p := s.at(e.Package)
	if e.Test != "" {
		p.takeTest(e)
		return nil
	}
	if e.Action == Output {
		p.own = append(p.own, e.Output)
		p.stream.WriteString(e.Output)
		return nil
	}
	state, ended := ends[e.Action]
	if !ended {
		return nil
	}
	p.State, p.FailedBuild = state, e.FailedBuild
	p.build = s.builds[e.FailedBuild]
	delete(s.builds, e.FailedBuild)
	return p
}

// Stray adds a line that is no event.
func (s *Suite) Stray(line string) {
	s.stray = append(s.stray, line)
}

// at returns the package of this path.
func (s *Suite) at(path string) *Package {
	p := s.byPath[path]
	if p == nil {
		if s.byPath == nil {
			s.byPath = map[string]*Package{}
		}
		p = &Package{Path: path, State: Unfinished, latest: map[string]*Test{}}
		s.byPath[path] = p
		s.Packages = append(s.Packages, p)
	}
	return p
}

// takeTest adds an event of a test.
func (p *Package) takeTest(e Event) {
	t := p.latest[e.Test]
	if t == nil || e.Action == Run {
		t = p.started(e.Test)
	}
	switch e.Action {
	case Output:
		t.output.WriteString(e.Output)
		p.stream.WriteString(e.Output)
	case Pass, Fail, Skip:
		t.State = ends[e.Action]
	}
}

// started adds a run of a test.
func (p *Package) started(name string) *Test {
	t := &Test{Name: name, State: Unfinished}
	t.root = t
	if top, _, sub := strings.Cut(name, "/"); sub && p.latest[top] != nil {
		t.root = p.latest[top]
	}
	p.tests = append(p.tests, t)
	p.latest[name] = t
	return t
}

// exitOfTests is what go test may add to the output of a package whose tests failed.
const exitOfTests = "exit status 1\n"

// endedByTests tells whether the testing package ended this one, with its FAIL, and nothing was said afterwards but what go test adds.
// It is not so after a panic, a time-out, os.Exit, or a TestMain that goes on to complain.
func (p *Package) endedByTests() bool {
	i := slices.Index(p.own, "FAIL\n")
	if i < 0 {
		return false
	}
	for _, line := range p.own[i+1:] {
		if line != exitOfTests && !strings.HasPrefix(line, "FAIL\t"+p.Path+"\t") {
			return false
		}
	}
	return true
}

// The race detector's report, and the testing package's word for it.
const (
	raceReport = "WARNING: DATA RACE"
	raceInTest = "race detected during execution of test"
)

// raced tells whether a data race was reported. A package that passes had none: the race detector makes its test binary fail.
func (p *Package) raced() bool {
	if p.State == Passed {
		return false
	}
	said := p.stream.String()
	return strings.Contains(said, raceReport) || strings.Contains(said, raceInTest)
}
