package verdict

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// textOf returns what is printed for m/a.
func textOf(parts ...[]Event) string {
	return suiteOf(0, parts...).Packages[0].Text()
}

func TestAPackageThatPassesIsOneLine(t *testing.T) {
	assert.Equal(t, "ok  \tm/a\t0.1s\n", textOf(testEvents("TestA", Pass), passedEnd()))
}

func TestAPackageWithoutTestsIsOneLine(t *testing.T) {
	assert.Equal(t, "?   \tm/a\t[no test files]\n", textOf([]Event{outputOf("", "?   \tm/a\t[no test files]\n"), eventOf("", Skip)}))
}

func TestOnlyFailedTestsArePrinted(t *testing.T) {
	text := textOf(testEvents("TestB", Pass), []Event{eventOf("TestA", Run)}, testEvents("TestA/x", Fail), testEvents("TestA/y", Pass),
		[]Event{outputOf("TestA", "--- FAIL: TestA\n"), eventOf("TestA", Fail)}, failedEnd())
	assert.Equal(t, "--- FAIL: TestA\nsaid by TestA/x\nFAIL\nFAIL\tm/a\t0.1s\n", text)
}

func TestAllIsPrintedOfAPackageThatEndsEarly(t *testing.T) {
	text := textOf(testEvents("TestB", Pass), []Event{eventOf("TestA", Run), outputOf("TestA", "panic: no\n"),
		outputOf("", "FAIL\tm/a\t0.1s\n"), eventOf("", Fail)})
	assert.Equal(t, "=== RUN   TestB\nsaid by TestB\npanic: no\nFAIL\tm/a\t0.1s\n", text)
}

func TestBuildOutputIsPrintedOnce(t *testing.T) {
	s := suiteOf(1, []Event{{Action: BuildOutput, ImportPath: "m/c", Output: "c.go:1: "},
		{Action: BuildOutput, ImportPath: "m/c", Output: "no\n"},
		{Action: BuildOutput, ImportPath: "m/d", Output: "a warning\n"}, {Action: BuildFail, ImportPath: "m/c"},
		{Action: Output, Package: "m/a", Output: "FAIL\tm/a [build failed]\n"}, {Action: Fail, Package: "m/a", FailedBuild: "m/c"},
		{Action: Output, Package: "m/b", Output: "FAIL\tm/b [build failed]\n"}, {Action: Fail, Package: "m/b", FailedBuild: "m/c"}})
	assert.Equal(t, "c.go:1: no\nFAIL\tm/a [build failed]\n", s.Packages[0].Text())
	assert.Equal(t, "FAIL\tm/b [build failed]\n", s.Packages[1].Text())
	assert.Equal(t, "a warning\n", s.Remainder())
}

func TestPackageWithoutAnEndIsPrintedLast(t *testing.T) {
	s := suiteOf(1, []Event{eventOf("TestA", Run), outputOf("TestA", "so far\n")})
	assert.Equal(t, "so far\n", s.Remainder())
}
