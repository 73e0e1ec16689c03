package verdict

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// textOf returns what is printed of m/a.
func textOf(parts ...[]Event) string {
	return told(0, parts...).Packages[0].Text()
}

func TestAPackageThatPassesIsOneLine(t *testing.T) {
	assert.Equal(t, "ok  \tm/a\t0.1s\n", textOf(played("TestA", Pass), passed()))
}

func TestAPackageWithoutTestsIsOneLine(t *testing.T) {
	assert.Equal(t, "?   \tm/a\t[no test files]\n", textOf([]Event{says("", "?   \tm/a\t[no test files]\n"), of("", Skip)}))
}

func TestOnlyFailedTestsArePrinted(t *testing.T) {
	text := textOf(played("TestB", Pass), []Event{of("TestA", Run)}, played("TestA/x", Fail), played("TestA/y", Pass),
		[]Event{says("TestA", "--- FAIL: TestA\n"), of("TestA", Fail)}, ended())
	assert.Equal(t, "--- FAIL: TestA\nsaid by TestA/x\nFAIL\nFAIL\tm/a\t0.1s\n", text)
}

func TestAllIsPrintedOfAPackageThatEndsEarly(t *testing.T) {
	text := textOf(played("TestB", Pass), []Event{of("TestA", Run), says("TestA", "panic: no\n"), says("", "FAIL\tm/a\t0.1s\n"), of("", Fail)})
	assert.Equal(t, "=== RUN   TestB\nsaid by TestB\npanic: no\nFAIL\tm/a\t0.1s\n", text)
}

func TestWhatABuildSaidIsPrintedOnce(t *testing.T) {
	s := told(1, []Event{{Action: BuildOutput, ImportPath: "m/c", Output: "c.go:1: "}, {Action: BuildOutput, ImportPath: "m/c", Output: "no\n"},
		{Action: BuildOutput, ImportPath: "m/d", Output: "a warning\n"}, {Action: BuildFail, ImportPath: "m/c"},
		{Action: Output, Package: "m/a", Output: "FAIL\tm/a [build failed]\n"}, {Action: Fail, Package: "m/a", FailedBuild: "m/c"},
		{Action: Output, Package: "m/b", Output: "FAIL\tm/b [build failed]\n"}, {Action: Fail, Package: "m/b", FailedBuild: "m/c"}})
	assert.Equal(t, "c.go:1: no\nFAIL\tm/a [build failed]\n", s.Packages[0].Text())
	assert.Equal(t, "FAIL\tm/b [build failed]\n", s.Packages[1].Text())
	assert.Equal(t, "a warning\n", s.Rest())
}

func TestAPackageWithoutAnEndIsPrintedAtLast(t *testing.T) {
	s := told(1, []Event{of("TestA", Run), says("TestA", "so far\n")})
	assert.Equal(t, "so far\n", s.Rest())
}
