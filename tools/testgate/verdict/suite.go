// Package verdict evaluates the output of go test -json: which tests failed, whether all of these are listed as known
// failures, and whether anything else went wrong. It does no I/O.
//
// A failure is tolerated only if it is that of a listed test and the failure of its package can have no other cause:
// every test that started has ended, the package ended with the FAIL line of the testing package and printed nothing
// afterwards, and no data race was reported.
//
// One case cannot be distinguished by the events: a TestMain that, after a listed test has failed, exits with a status
// of its own and prints nothing. go test reports the package as failed in either case.
package verdict

import (
	"slices"
	"strings"
)

// State is how a test or package ended. A greater one is worse.
type State int

const (
	NotRun State = iota
	Passed
	Skipped
	Failed
	Unfinished // started and did not end
)

func (s State) String() string {
	return [...]string{"not run", "passed", "skipped", "failed", "did not end"}[s]
}

// endStates maps the actions that end a test or package to its state.
var endStates = map[Action]State{Pass: Passed, Skip: Skipped, Fail: Failed}

// Test is one run of a test or subtest.
type Test struct {
	Name  string
	State State

	topLevel *Test // the top-level test of a subtest; otherwise the test itself
	output   strings.Builder
}

// Package is what go test reported about one package.
type Package struct {
	Path        string
	State       State
	FailedBuild string

	tests         []*Test          // in the order of their starts
	latest        map[string]*Test // by name
	packageOutput []string         // output that belongs to no test
	allOutput     strings.Builder  // all output, in its original order
	buildOutput   string           // output of the compiler or vet, if the build failed
}

// Suite is the output of one run of go test.
type Suite struct {
	Packages []*Package
	Exit     int // exit status of go test

	byPath       map[string]*Package
	builds       map[string]string // output by import path
	failedBuilds []string          // import paths of failed builds
	invalidLines []string          // lines that are no events
}

// Take adds an event. It returns the package that ends with it, or nil.
func (s *Suite) Take(e Event) *Package {
	switch {
	case e.Action == BuildOutput:
		if s.builds == nil {
			s.builds = map[string]string{}
		}
		s.builds[e.ImportPath] += e.Output
		return nil
	case e.Action == BuildFail:
		s.failedBuilds = append(s.failedBuilds, e.ImportPath)
		return nil
	case e.Package == "":
		return nil
	}
	p := s.packageOf(e.Package)
	if e.Test != "" {
		p.takeTest(e)
		return nil
	}
	if e.Action == Output {
		p.packageOutput = append(p.packageOutput, e.Output)
		p.allOutput.WriteString(e.Output)
		return nil
	}
	state, ended := endStates[e.Action]
	if !ended {
		return nil
	}
	p.State, p.FailedBuild = state, e.FailedBuild
	p.buildOutput = s.builds[e.FailedBuild]
	delete(s.builds, e.FailedBuild)
	return p
}

// AddInvalidLine adds a line that is no event.
func (s *Suite) AddInvalidLine(line string) {
	s.invalidLines = append(s.invalidLines, line)
}

// packageOf returns the package with this path, and creates it if necessary.
func (s *Suite) packageOf(path string) *Package {
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
		t = p.startTest(e.Test)
	}
	switch e.Action {
	case Output:
		t.output.WriteString(e.Output)
		p.allOutput.WriteString(e.Output)
	case Pass, Fail, Skip:
		t.State = endStates[e.Action]
	}
}

// startTest adds a run of a test.
func (p *Package) startTest(name string) *Test {
	t := &Test{Name: name, State: Unfinished}
	t.topLevel = t
	if top, _, sub := strings.Cut(name, "/"); sub && p.latest[top] != nil {
		t.topLevel = p.latest[top]
	}
	p.tests = append(p.tests, t)
	p.latest[name] = t
	return t
}

// testExitLine is a line that go test may add to the output of a package whose tests failed.
const testExitLine = "exit status 1\n"

// endedByTests reports whether the testing package ended this package with its FAIL line, and nothing was printed
// afterwards except what go test adds. That is not so after a panic, a time-out, os.Exit, or a TestMain that prints
// more.
func (p *Package) endedByTests() bool {
	i := slices.Index(p.packageOutput, "FAIL\n")
	if i < 0 {
		return false
	}
	for _, line := range p.packageOutput[i+1:] {
		if line != testExitLine && !strings.HasPrefix(line, "FAIL\t"+p.Path+"\t") {
			return false
		}
	}
	return true
}

// The race detector's report, and the corresponding message of the testing package.
const (
	raceReport = "WARNING: DATA RACE"
	raceInTest = "race detected during execution of test"
)

// raced reports whether a data race was reported. A package that passes had none, because the race detector makes its
// test binary fail.
func (p *Package) raced() bool {
	if p.State == Passed {
		return false
	}
	output := p.allOutput.String()
	return strings.Contains(output, raceReport) || strings.Contains(output, raceInTest)
}
