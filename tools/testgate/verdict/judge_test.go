package verdict

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// listed are known failures: TestA in package m/a, which these tests use.
var listed = []Known{{Package: "m/a", Test: "TestA", Command: "go test ./a", Seed: "none", Observed: "late", Issue: "#29"}}

// eventOf returns an event of a test of m/a, or of m/a itself.
func eventOf(test string, a Action) Event {
	return Event{Action: a, Package: "m/a", Test: test}
}

// outputOf returns an output event of a test of m/a, or of m/a itself.
func outputOf(test, output string) Event {
	return Event{Action: Output, Package: "m/a", Test: test, Output: output}
}

// testEvents returns the events of a test that starts and ends.
func testEvents(test string, end Action) []Event {
	return []Event{eventOf(test, Run), outputOf(test, "=== RUN   "+test+"\n"), outputOf(test, "said by "+test+"\n"), eventOf(test, end)}
}

// failedEnd returns the events with which m/a usually ends after a failure.
func failedEnd() []Event {
	return []Event{outputOf("", "FAIL\n"), outputOf("", "FAIL\tm/a\t0.1s\n"), eventOf("", Fail)}
}

// passedEnd returns the events with which m/a ends without a failure.
func passedEnd() []Event {
	return []Event{outputOf("", "PASS\n"), outputOf("", "ok  \tm/a\t0.1s\n"), eventOf("", Pass)}
}

// suiteOf returns a suite with these events, which ended with this status.
func suiteOf(exit int, parts ...[]Event) *Suite {
	s := &Suite{Exit: exit}
	for _, events := range parts {
		for _, e := range events {
			s.Take(e)
		}
	}
	return s
}

// judge evaluates one suite with the list.
func judge(exit int, parts ...[]Event) Verdict {
	return Judge(listed, []*Suite{suiteOf(exit, parts...)})
}

func TestAllPass(t *testing.T) {
	v := Judge(nil, []*Suite{suiteOf(0, testEvents("TestA", Pass), testEvents("TestB", Skip), passedEnd())})
	assert.Equal(t, Verdict{Passed: 1, Skipped: 1}, v)
	assert.True(t, v.OK())
	assert.Equal(t, "\n1 passed, 0 failed, 1 skipped\n", v.Text())
}

func TestListedFailureIsTolerated(t *testing.T) {
	v := judge(1, testEvents("TestA", Fail), testEvents("TestB", Pass), failedEnd())
	assert.True(t, v.OK())
	assert.Equal(t, []Outcome{{listed[0], Failed}}, v.Outcomes)
	assert.Equal(t,
		"\nKnown red, by KNOWN-RED.txt:\n    m/a TestA: failed | go test ./a | seed none | late | #29\n\n1 passed, 1 failed, 0 skipped\n",
		v.Text())
}

func TestListedFailureIsToleratedWithItsSubtests(t *testing.T) {
	v := judge(1, []Event{eventOf("TestA", Run)}, testEvents("TestA/x", Fail), testEvents("TestA/y", Pass),
		[]Event{eventOf("TestA", Fail)}, failedEnd())
	assert.True(t, v.OK())
	assert.Equal(t, 1, v.Failed)
}

func TestAListedTestThatPassesIsToBeRemoved(t *testing.T) {
	v := judge(0, testEvents("TestA", Pass), passedEnd())
	assert.True(t, v.OK())
	assert.Contains(t, v.Text(), "m/a TestA: passed (no longer red: remove its line) | go test ./a | seed none | late | #29\n")
}

func TestAListedTestThatIsSkippedIsAFault(t *testing.T) {
	v := judge(0, testEvents("TestA", Skip), passedEnd())
	assert.Equal(t, []Fault{{Reason: ListedSkipped, Package: "m/a", Test: "TestA"}}, v.Faults)
	assert.Contains(t, v.Text(), "m/a TestA: skipped | go test ./a | seed none | late | #29\n")
}

func TestListedTestThatRunsTwiceReportsTheWorst(t *testing.T) {
	v := judge(1, testEvents("TestA", Fail), testEvents("TestA", Pass), failedEnd())
	assert.True(t, v.OK())
	assert.Equal(t, Failed, v.Outcomes[0].State)
	assert.Equal(t, 1, v.Passed)
	assert.Equal(t, 1, v.Failed)
}

func TestFaults(t *testing.T) {
	race := []Event{eventOf("TestA", Run), outputOf("TestA", "WARNING: DATA RACE\n"), eventOf("TestA", Fail)}
	other := func(e Event) Event { e.Package = "m/b"; return e }
	for name, c := range map[string]struct {
		exit   int
		events [][]Event
		faults []Fault
		failed int
	}{
		"another test": {1, [][]Event{testEvents("TestA", Fail), testEvents("TestB", Fail), failedEnd()},
			[]Fault{{Reason: TestFailed, Package: "m/a", Test: "TestB"}}, 2},
		"a test whose name begins with the listed one": {1, [][]Event{testEvents("TestA", Pass), testEvents("TestAB", Fail), failedEnd()},
			[]Fault{{Reason: TestFailed, Package: "m/a", Test: "TestAB"}}, 1},
		"the same name in another package": {1, [][]Event{testEvents("TestA", Pass), passedEnd(),
			{other(eventOf("TestA", Run)), other(eventOf("TestA", Fail)), other(outputOf("", "FAIL\n")), other(eventOf("", Fail))}},
			[]Fault{{Reason: TestFailed, Package: "m/b", Test: "TestA"}}, 1},
		"a subtest alone": {1, [][]Event{{eventOf("TestA", Run)}, testEvents("TestA/x", Fail), {eventOf("TestA", Pass)}, failedEnd()},
			[]Fault{{Reason: TestFailed, Package: "m/a", Test: "TestA/x"}, {Reason: NoTestFailed, Package: "m/a"}}, 1},
		"a race in a listed test": {1, [][]Event{race, failedEnd()}, []Fault{{Reason: DataRace, Package: "m/a"}}, 1},
		"a race that the testing package reports": {1, [][]Event{{eventOf("TestA", Run),
			outputOf("TestA", "    testing.go:1712: race detected during execution of test\n"), eventOf("TestA", Fail)}, failedEnd()},
			[]Fault{{Reason: DataRace, Package: "m/a"}}, 1},
		"a race beside a listed failure, reported in pieces": {1, [][]Event{testEvents("TestA", Fail),
			{outputOf("", "WARNING: DA"), outputOf("", "TA RACE\n")}, failedEnd()}, []Fault{{Reason: DataRace, Package: "m/a"}}, 1},
		"a race after all tests": {1, [][]Event{testEvents("TestA", Pass),
			{outputOf("", "PASS\n"), outputOf("", "WARNING: DATA RACE\n"), eventOf("", Fail)}},
			[]Fault{{Reason: NoTestFailed, Package: "m/a"}, {Reason: DataRace, Package: "m/a"}}, 1},
		"a panic in a listed test": {1, [][]Event{{eventOf("TestB", Run), eventOf("TestB", "pause")}, testEvents("TestA", Fail),
			{outputOf("", "FAIL\tm/a\t0.1s\n"), eventOf("", Fail)}},
			[]Fault{{Reason: TestUnfinished, Package: "m/a", Test: "TestB"}, {Reason: EndedEarly, Package: "m/a"}}, 2},
		"a panic in a listed test, others not started": {1,
			[][]Event{testEvents("TestA", Fail), {outputOf("", "FAIL\tm/a\t0.1s\n"), eventOf("", Fail)}},
			[]Fault{{Reason: EndedEarly, Package: "m/a"}}, 1},
		"os.Exit or a time-out in a listed test": {1, [][]Event{{eventOf("TestA", Run)}, {outputOf("", "FAIL\tm/a\t0.1s\n"), eventOf("", Fail)}},
			[]Fault{{Reason: TestUnfinished, Package: "m/a", Test: "TestA"}, {Reason: EndedEarly, Package: "m/a"}}, 1},
		"output after a listed failure": {1, [][]Event{testEvents("TestA", Fail),
			{outputOf("", "FAIL\n"), outputOf("", "left over\n"), outputOf("", "FAIL\tm/a\t0.1s\n"), eventOf("", Fail)}},
			[]Fault{{Reason: EndedEarly, Package: "m/a"}}, 1},
		"a package without a failed test": {1, [][]Event{testEvents("TestA", Pass), {outputOf("", "PASS\n"), eventOf("", Fail)}},
			[]Fault{{Reason: NoTestFailed, Package: "m/a"}}, 1},
		"a build": {1, [][]Event{testEvents("TestA", Fail), failedEnd(),
			{{Action: BuildOutput, ImportPath: "m/b"}, {Action: BuildFail, ImportPath: "m/b"},
				{Action: Fail, Package: "m/b", FailedBuild: "m/b"}}}, []Fault{{Reason: BuildFailed, Package: "m/b"}}, 2},
		"a build that no package reports": {1, [][]Event{testEvents("TestA", Fail), failedEnd(), {{Action: BuildFail, ImportPath: "m/b"}}},
			[]Fault{{Reason: BuildFailed, Package: "m/b"}}, 2},
		"a package without an end": {1, [][]Event{testEvents("TestA", Pass)}, []Fault{{Reason: PackageUnfinished, Package: "m/a"}}, 1},
		"go test itself": {1, [][]Event{testEvents("TestA", Pass), passedEnd()},
			[]Fault{{Reason: ExitUnexplained, Detail: "exit status 1"}}, 1},
		"go test itself, beside a listed failure": {2, [][]Event{testEvents("TestA", Fail), failedEnd()},
			[]Fault{{Reason: ExitUnexplained, Detail: "exit status 2"}}, 2},
		"a listed test that did not run": {0, [][]Event{testEvents("TestB", Pass), passedEnd()},
			[]Fault{{Reason: ListedNotRun, Package: "m/a", Test: "TestA"}}, 1},
		"no test": {0, [][]Event{passedEnd()},
			[]Fault{{Reason: NothingRan}, {Reason: ListedNotRun, Package: "m/a", Test: "TestA"}}, 2},
		"no event": {0, nil, []Fault{{Reason: NothingRan}, {Reason: ListedNotRun, Package: "m/a", Test: "TestA"}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			v := judge(c.exit, c.events...)
			assert.False(t, v.OK())
			assert.Equal(t, c.faults, v.Faults)
			assert.Equal(t, c.failed, v.Failed)
			for _, f := range c.faults {
				assert.Contains(t, v.Text(), f.String()+"\n")
			}
		})
	}
}

func TestAFailureInAPackageThatPassesFails(t *testing.T) {
	v := Judge(nil, []*Suite{suiteOf(0, testEvents("TestA", Fail), passedEnd())})
	assert.Equal(t, []Fault{{Reason: TestFailed, Package: "m/a", Test: "TestA"}}, v.Faults)
}

func TestALineThatIsNoEventFails(t *testing.T) {
	s := suiteOf(0, testEvents("TestA", Pass), passedEnd())
	s.AddInvalidLine("stray words")
	v := Judge(listed, []*Suite{s})
	assert.Equal(t, []Fault{{Reason: NotAnEvent, Detail: `"stray words"`}}, v.Faults)
	assert.Equal(t, "stray words\n", s.Remainder())
}

func TestEverySuiteHasToRunATest(t *testing.T) {
	v := Judge(nil, []*Suite{suiteOf(0, testEvents("TestA", Pass), passedEnd()), suiteOf(0)})
	assert.Equal(t, []Fault{{Reason: NothingRan}}, v.Faults)
}

func TestAListedTestMayBeInAnySuite(t *testing.T) {
	other := suiteOf(0, []Event{{Action: Run, Package: "m/b", Test: "TestB"}, {Action: Pass, Package: "m/b", Test: "TestB"},
		{Action: Pass, Package: "m/b"}})
	v := Judge(listed, []*Suite{other, suiteOf(1, testEvents("TestA", Fail), failedEnd())})
	assert.True(t, v.OK())
	assert.Equal(t, 1, v.Passed)
	assert.Equal(t, 1, v.Failed)
}

// A package that passes may print the text of a race report, as here, without having had a race.
func TestThePhraseAloneIsNoRace(t *testing.T) {
	v := judge(0, []Event{eventOf("TestA", Run), outputOf("TestA", "WARNING: DATA RACE\n"), eventOf("TestA", Pass)}, passedEnd())
	assert.True(t, v.OK())
}

func TestEventsAreRead(t *testing.T) {
	e, err := ParseEvent([]byte(`{"Time":"2026-12-02T05:00:00Z","Action":"fail","Package":"m/a","Elapsed":1,"FailedBuild":"m/b"}`))
	require.NoError(t, err)
	assert.Equal(t, Event{Action: Fail, Package: "m/a", FailedBuild: "m/b"}, e)
	for _, line := range []string{"", "ok m/a", "{}", `{"Action":1}`, "[]"} {
		_, err := ParseEvent([]byte(line))
		assert.ErrorContains(t, err, "not an event of go test -json", line)
	}
}
