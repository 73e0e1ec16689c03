package main

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// files are the files of a small module, by path. The module is named m.
type files map[string]string

// all runs the tests of the whole module.
var all = []string{"./..."}

// Tests of the small modules, each in a file of package a.
const (
	good   = "package a\nimport \"testing\"\nfunc TestGood(t *testing.T) { t.Log(\"not to be seen\") }\n"
	skips  = "package a\nimport \"testing\"\nfunc TestSkips(t *testing.T) { t.Skip(\"why\") }\n"
	red    = "package a\nimport \"testing\"\nfunc TestRed(t *testing.T) { t.Run(\"sub\", func(t *testing.T) { t.Error(\"to be seen\") }) }\n"
	panics = "package a\nimport \"testing\"\nfunc TestRed(t *testing.T) { panic(\"overboard\") }\n"
	hangs  = "package a\nimport \"testing\"\nfunc TestRed(t *testing.T) { select {} }\n"
	exits  = "package a\nimport (\"os\"; \"testing\")\nfunc TestRed(t *testing.T) { os.Exit(1) }\n"
	unused = "package a\nimport \"testing\"\nfunc TestGood(t *testing.T) { unused := 1 }\n"
	vetted = "package a\nimport (\"fmt\"; \"testing\")\nfunc TestGood(t *testing.T) { _ = fmt.Sprintf(\"%d\", \"one\") }\n"

	mainExits  = "package a\nimport (\"os\"; \"testing\")\nfunc TestMain(m *testing.M) { m.Run(); os.Exit(1) }\n"
	mainPrints = "package a\nimport (\"fmt\"; \"os\"; \"testing\")\n" +
		"func TestMain(m *testing.M) { m.Run(); fmt.Println(\"left over\"); os.Exit(1) }\n"

	// races accesses n so often from both goroutines that the race detector reports it in any schedule.
	races = `package a
import "testing"
func TestRed(t *testing.T) {
	n, done := 0, make(chan struct{})
	count := func() { for range 10000 { n++ } }
	go func() { count(); close(done) }()
	count()
	<-done
	t.Error("red in any case")
}
`
)

// listed is a KNOWN-RED.txt that lists TestRed.
const listed = "m/a TestRed | go test ./a -run TestRed | seed none | a known cause | #29\n"

// runGate writes the module and runs the gate in it, without network access and with only the standard library.
func runGate(t *testing.T, moduleFiles files, args []string) (ok bool, out string) {
	t.Helper()
	t.Setenv("GOFLAGS", "-mod=mod")
	t.Setenv("GOPROXY", "off")
	t.Setenv("GOWORK", "off")
	dir := t.TempDir()
	moduleFiles["go.mod"] = "module m\n\ngo 1.26.0\n"
	for path, text := range moduleFiles {
		path = filepath.Join(dir, path)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	var output, errOut bytes.Buffer
	ok, err := gate{dir: dir, out: &output, errOut: &errOut}.run(args)
	require.NoError(t, err)
	t.Logf("standard error: %s", &errOut)
	return ok, output.String()
}

func lastLine(out string) string {
	lines := strings.Split(strings.TrimSuffix(out, "\n"), "\n")
	return lines[len(lines)-1]
}

func TestAModuleWithoutFailuresPasses(t *testing.T) {
	ok, out := runGate(t, files{"a/a_test.go": good, "a/b_test.go": skips, "b/b.go": "package b\n"}, all)
	assert.True(t, ok)
	lines := strings.Split(out, "\n")
	slices.Sort(lines[:2]) // packages are printed as they end
	assert.Equal(t, "?   \tm/b\t[no test files]", lines[0])
	assert.Regexp(t, `^ok  \tm/a\t[0-9.]+s$`, lines[1])
	assert.Equal(t, []string{"", "1 passed, 0 failed, 1 skipped", ""}, lines[2:])
}

func TestAFailureFails(t *testing.T) {
	ok, out := runGate(t, files{"a/a_test.go": good, "a/b_test.go": red}, all)
	assert.False(t, ok)
	assert.Contains(t, out, "--- FAIL: TestRed")
	assert.Contains(t, out, "to be seen\n")
	assert.NotContains(t, out, "not to be seen")
	assert.NotContains(t, out, "=== RUN")
	assert.Regexp(t, `\nFAIL\nFAIL\tm/a\t[0-9.]+s\n`, out)
	assert.Contains(t, out, "m/a TestRed: failed\n")
	assert.Equal(t, "1 passed, 1 failed, 0 skipped", lastLine(out))
}

func TestListedFailureIsTolerated(t *testing.T) {
	ok, out := runGate(t, files{"KNOWN-RED.txt": listed, "a/a_test.go": good, "a/b_test.go": red}, all)
	assert.True(t, ok)
	assert.Contains(t, out, "--- FAIL: TestRed")
	assert.Contains(t, out, "m/a TestRed: failed | go test ./a -run TestRed | seed none | a known cause | #29\n")
	assert.Equal(t, "1 passed, 1 failed, 0 skipped", lastLine(out))
}

func TestListedTestThatPassesIsReported(t *testing.T) {
	ok, out := runGate(t, files{"KNOWN-RED.txt": strings.ReplaceAll(listed, "Red", "Good"), "a/a_test.go": good}, all)
	assert.True(t, ok)
	assert.Contains(t, out, "m/a TestGood: passed (no longer red: remove its line) | go test ./a -run TestGood | seed none | a known cause | #29\n")
}

// TestFailuresThatTheListDoesNotExcuse checks what makes the gate fail although TestRed is listed.
func TestFailuresThatTheListDoesNotExcuse(t *testing.T) {
	const early = "m/a: the test binary was ended by something other than its tests"
	for name, c := range map[string]struct {
		files    files
		args     []string
		output   []string // of the compiler, vet, the race detector or the testing package, then of the gate
		lastLine string
	}{
		"race": {files{"a/a_test.go": races}, []string{"-race", "./..."},
			[]string{"WARNING: DATA RACE", "m/a: a data race was reported"}, "0 passed, 1 failed, 0 skipped"},
		"panic": {files{"a/a_test.go": panics, "a/b_test.go": good}, all,
			[]string{"panic: overboard", early}, "0 passed, 1 failed, 0 skipped"},
		"time-out": {files{"a/a_test.go": good, "a/b_test.go": hangs}, []string{"-timeout", "200ms", "./..."},
			[]string{"panic: test timed out after 200ms", "m/a TestRed: started and did not end", early}, "1 passed, 1 failed, 0 skipped"},
		"os.Exit": {files{"a/a_test.go": exits, "a/b_test.go": good}, all,
			[]string{"m/a TestRed: started and did not end", early}, "0 passed, 1 failed, 0 skipped"},
		"TestMain": {files{"a/a_test.go": red, "a/b_test.go": mainPrints}, all,
			[]string{"left over\n", early}, "0 passed, 1 failed, 0 skipped"},
		"build": {files{"a/a_test.go": red, "b/b_test.go": unused}, all,
			[]string{"declared and not used: unused", "FAIL\tm/b [build failed]", "m/b: build or vet failed"}, "0 passed, 2 failed, 0 skipped"},
		"build of what is imported": {files{"a/a_test.go": red, "c/c.go": "package c\nvar C int = \"\"\n",
			"b/b_test.go": "package b\nimport (_ \"m/c\"; \"testing\")\nfunc TestGood(t *testing.T) {}\n"}, []string{"./a", "./b"},
			[]string{"c.go:2:13", "m/b: build or vet failed"}, "0 passed, 2 failed, 0 skipped"},
		"vet": {files{"a/a_test.go": red, "b/b_test.go": vetted}, all,
			[]string{"fmt.Sprintf format %d has arg", "m/b: build or vet failed"}, "0 passed, 2 failed, 0 skipped"},
		"a package that is not there": {files{"a/a_test.go": red}, []string{"./a", "./nowhere"},
			[]string{"./nowhere: build or vet failed"}, "0 passed, 2 failed, 0 skipped"},
		"a listed test that is not there": {files{"a/a_test.go": good}, all,
			[]string{"m/a TestRed: listed in KNOWN-RED.txt and did not run"}, "1 passed, 1 failed, 0 skipped"},
		"a listed test that is skipped": {files{"a/a_test.go": strings.ReplaceAll(skips, "Skips", "Red")}, all,
			[]string{"m/a TestRed: listed in KNOWN-RED.txt and skipped"}, "0 passed, 1 failed, 1 skipped"},
		"a flag that go test refuses": {files{"a/a_test.go": red}, []string{"./a", "--", "-timeout", "soon", "./a"},
			[]string{"go test itself failed: exit status 2"}, "0 passed, 3 failed, 0 skipped"},
	} {
		t.Run(name, func(t *testing.T) {
			c.files["KNOWN-RED.txt"] = listed
			ok, out := runGate(t, c.files, c.args)
			assert.False(t, ok)
			for _, s := range c.output {
				assert.Contains(t, out, s)
			}
			assert.Equal(t, c.lastLine, lastLine(out))
		})
	}
}

func TestAPackageThatFailsWithoutATestFails(t *testing.T) {
	ok, out := runGate(t, files{"a/a_test.go": good, "a/b_test.go": mainExits}, all)
	assert.False(t, ok)
	assert.Contains(t, out, "m/a: the package failed, but none of its tests did\n")
	assert.Equal(t, "1 passed, 1 failed, 0 skipped", lastLine(out))
}

func TestAllSuitesAreRun(t *testing.T) {
	ok, out := runGate(t, files{"a/a_test.go": red, "b/b_test.go": strings.ReplaceAll(good, "package a", "package b")},
		[]string{"./a", "--", "-timeout", "1m", "./b"})
	assert.False(t, ok)
	assert.Contains(t, out, "ok  \tm/b\t")
	assert.Equal(t, "1 passed, 1 failed, 0 skipped", lastLine(out))
}

func TestAFaultyListFailsBeforeAnyTest(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "KNOWN-RED.txt"), []byte("TestRed\n"), 0o644))
	var out bytes.Buffer
	ok, err := gate{dir: dir, out: &out, errOut: &out}.run(all)
	assert.False(t, ok)
	assert.ErrorContains(t, err, `KNOWN-RED.txt:1: want "import/path TestName | go test or make ... | seed N, or seed none | what was seen | #issue"`)
	assert.Empty(t, out.String())
}

func TestSuitesAreSplit(t *testing.T) {
	commands, err := split([]string{"-race", "./a", "--", "./b"})
	require.NoError(t, err)
	assert.Equal(t, [][]string{{"-race", "./a"}, {"./b"}}, commands)
	for _, args := range [][]string{nil, {"--"}, {"./a", "--"}, {"--", "./a"}, {"./a", "--", "--", "./b"}} {
		_, err := split(args)
		assert.ErrorContains(t, err, "usage", args)
	}
}
