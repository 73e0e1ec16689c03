package verdict

import (
	"cmp"
	"fmt"
)

// Reason is the kind of a fault.
type Reason string

const (
	TestFailed        Reason = "failed"
	TestUnfinished    Reason = "started and did not end"
	DataRace          Reason = "a data race was reported"
	BuildFailed       Reason = "build or vet failed"
	EndedEarly        Reason = "the test binary was ended by something other than its tests: a panic, a time-out, os.Exit or TestMain"
	NoTestFailed      Reason = "the package failed, but none of its tests did"
	PackageUnfinished Reason = "go test did not report how the package ended"
	NothingRan        Reason = "no test ran"
	NotAnEvent        Reason = "go test printed a line that is not an event"
	ExitUnexplained   Reason = "go test itself failed"
	ListedNotRun      Reason = "listed in " + KnownFile + " and did not run"
	ListedSkipped     Reason = "listed in " + KnownFile + " and skipped: a listed test must run"
)

// Fault is one thing that makes the gate fail.
type Fault struct {
	Reason  Reason
	Package string
	Test    string
	Detail  string
}

func (f Fault) String() string {
	where := cmp.Or(f.Package, "go test")
	if f.Test != "" {
		where += " " + f.Test
	}
	if f.Detail != "" {
		return fmt.Sprintf("%s: %s: %s", where, f.Reason, f.Detail)
	}
	return fmt.Sprintf("%s: %s", where, f.Reason)
}

// Outcome is how a listed test ended.
type Outcome struct {
	Known
	State State // the worst, if it ran several times
}

// Verdict is the result for all suites.
type Verdict struct {
	Faults   []Fault
	Outcomes []Outcome

	// Numbers of top-level tests. Failed includes tests that did not end, and faults that no failed test accounts for.
	Passed, Failed, Skipped int
}

// OK reports whether the gate passes.
func (v Verdict) OK() bool {
	return len(v.Faults) == 0
}

// Judge evaluates all suites against the list of known failures.
func Judge(list []Known, suites []*Suite) Verdict {
	var v Verdict
	for _, s := range suites {
		v.judgeSuite(list, s)
	}
	for _, k := range list {
		o := Outcome{Known: k, State: worstState(k, suites)}
		v.Outcomes = append(v.Outcomes, o)
		switch o.State {
		case NotRun:
			v.addWithoutTest(Fault{Reason: ListedNotRun, Package: k.Package, Test: k.Test})
		case Skipped:
			v.addWithoutTest(Fault{Reason: ListedSkipped, Package: k.Package, Test: k.Test})
		}
	}
	return v
}

// addWithoutTest adds a fault that no failed test accounts for, and counts it as failed.
func (v *Verdict) addWithoutTest(f Fault) {
	v.Faults = append(v.Faults, f)
	v.Failed++
}

// judgeSuite adds the faults of one run of go test.
func (v *Verdict) judgeSuite(list []Known, s *Suite) {
	ran, packageFailed, buildFailed := false, false, false
	for _, p := range s.Packages {
		v.judgePackage(list, p)
		ran = ran || len(p.tests) > 0
		packageFailed = packageFailed || p.State != Passed && p.State != Skipped
		buildFailed = buildFailed || p.FailedBuild != ""
	}
	if !buildFailed {
		for _, path := range s.failedBuilds {
			v.addWithoutTest(Fault{Reason: BuildFailed, Package: path})
		}
	}
	for _, line := range s.invalidLines {
		v.addWithoutTest(Fault{Reason: NotAnEvent, Detail: fmt.Sprintf("%q", line)})
	}
	if !ran {
		v.addWithoutTest(Fault{Reason: NothingRan})
	}
	// go test exits with 1 if a package failed; any other status is an error of go test itself.
	if s.Exit != 0 && (s.Exit != 1 || !packageFailed) {
		v.addWithoutTest(Fault{Reason: ExitUnexplained, Detail: fmt.Sprint("exit status ", s.Exit)})
	}
}

// judgePackage adds the faults of a package.
func (v *Verdict) judgePackage(list []Known, p *Package) {
	failedTests := v.countTests(p)
	faults := p.testFaults(list)
	switch {
	case p.State == Unfinished:
		faults = append(faults, Fault{Reason: PackageUnfinished, Package: p.Path})
	case p.State != Failed:
	case p.FailedBuild != "":
		faults = append(faults, Fault{Reason: BuildFailed, Package: p.Path})
	case failedTests == 0:
		faults = append(faults, Fault{Reason: NoTestFailed, Package: p.Path})
	case !p.endedByTests():
		faults = append(faults, Fault{Reason: EndedEarly, Package: p.Path})
	}
	if p.raced() {
		faults = append(faults, Fault{Reason: DataRace, Package: p.Path})
	}
	v.Faults = append(v.Faults, faults...)
	if len(faults) > 0 && failedTests == 0 {
		v.Failed++
	}
}

// countTests counts the top-level tests of a package and returns how many of them failed or did not end.
func (v *Verdict) countTests(p *Package) (failed int) {
	for _, t := range p.tests {
		if t.topLevel != t {
			continue
		}
		switch t.State {
		case Passed:
			v.Passed++
		case Skipped:
			v.Skipped++
		default:
			failed++
		}
	}
	v.Failed += failed
	return failed
}

// testFaults returns the tests of a package that make the gate fail. A subtest is included only if its top-level test
// ended better than the subtest.
func (p *Package) testFaults(list []Known) (faults []Fault) {
	for _, t := range p.tests {
		coveredByTopLevel := t.topLevel != t && t.topLevel.State >= t.State
		switch {
		case coveredByTopLevel:
		case t.State == Unfinished:
			faults = append(faults, Fault{Reason: TestUnfinished, Package: p.Path, Test: t.Name})
		case t.State == Failed && !isListed(list, p.Path, t.Name):
			faults = append(faults, Fault{Reason: TestFailed, Package: p.Path, Test: t.Name})
		}
	}
	return faults
}

// isListed reports whether the list contains this top-level test.
func isListed(list []Known, path, test string) bool {
	for _, k := range list {
		if k.Package == path && k.Test == test {
			return true
		}
	}
	return false
}

// worstState returns how a listed test ended, the worst if it ran several times.
func worstState(k Known, suites []*Suite) State {
	state := NotRun
	for _, s := range suites {
		for _, p := range s.Packages {
			if p.Path != k.Package {
				continue
			}
			for _, t := range p.tests {
				if t.Name == k.Test {
					state = max(state, t.State)
				}
			}
		}
	}
	return state
}
