package verdict

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const lines = `m/a TestA | go test ./a -run TestA | seed 2 | waits for nobody, or for both | #29
m/a TestB | make soak SEEDS=1 FIRST=7 | seed 7 | x | #1
m/b/c Test | go test ./b/c | seed none | two words | #30
m/d TestD | go test ./d | seed 0 | x | #4
`

func TestTheListIsRead(t *testing.T) {
	want := []Known{
		{Package: "m/a", Test: "TestA", Command: "go test ./a -run TestA", Seed: "2", Observed: "waits for nobody, or for both", Issue: "#29"},
		{Package: "m/a", Test: "TestB", Command: "make soak SEEDS=1 FIRST=7", Seed: "7", Observed: "x", Issue: "#1"},
		{Package: "m/b/c", Test: "Test", Command: "go test ./b/c", Seed: "none", Observed: "two words", Issue: "#30"},
		{Package: "m/d", Test: "TestD", Command: "go test ./d", Seed: "0", Observed: "x", Issue: "#4"},
	}
	list, err := ParseKnown(lines)
	require.NoError(t, err)
	assert.Equal(t, want, list)
	assert.Equal(t, "m/a TestB | make soak SEEDS=1 FIRST=7 | seed 7 | x | #1", list[1].String())
}

func TestAnEmptyListIsRead(t *testing.T) {
	list, err := ParseKnown("")
	require.NoError(t, err)
	assert.Empty(t, list)
}

func TestTheLastLineMayLackItsEnd(t *testing.T) {
	list, err := ParseKnown("m/a TestA | go test ./a | seed none | x | #1")
	require.NoError(t, err)
	assert.Len(t, list, 1)
}

func TestAFaultyLineIsRefused(t *testing.T) {
	for name, line := range map[string]string{
		"blank":               "",
		"spaces":              "  ",
		"comment":             "# nothing here",
		"no package":          "TestA | go test ./a | seed none | x | #1",
		"relative path":       "./a TestA | go test ./a | seed none | x | #1",
		"no test":             "m/a | go test ./a | seed none | x | #1",
		"not a test":          "m/a BenchmarkA | go test ./a | seed none | x | #1",
		"subtest":             "m/a TestA/sub | go test ./a | seed none | x | #1",
		"pattern":             "m/a TestA|TestB | go test ./a | seed none | x | #1",
		"no cause":            "m/a TestA | go test ./a | seed none | #1",
		"empty cause":         "m/a TestA | go test ./a | seed none |  | #1",
		"blank cause":         "m/a TestA | go test ./a | seed none |   | #1",
		"no issue":            "m/a TestA | go test ./a | seed none | x",
		"empty issue":         "m/a TestA | go test ./a | seed none | x | ",
		"issue without #":     "m/a TestA | go test ./a | seed none | x | 29",
		"issue in words":      "m/a TestA | go test ./a | seed none | x | #soon",
		"issue zero":          "m/a TestA | go test ./a | seed none | x | #0",
		"an extra field":      "m/a TestA | go test ./a | seed none | x | y | #1",
		"space before":        " m/a TestA | go test ./a | seed none | x | #1",
		"space after":         "m/a TestA | go test ./a | seed none | x | #1 ",
		"two spaces":          "m/a  TestA | go test ./a | seed none | x | #1",
		"carriage return":     "m/a TestA | go test ./a | seed none | x | #1\r",
		"bars without space":  "m/a TestA|go test ./a|seed none|x|#1",
		"the old format":      "m/a TestA | x | #1",
		"no command":          "m/a TestA | seed none | x | #1",
		"another command":     "m/a TestA | ./run-it | seed none | x | #1",
		"a bare command":      "m/a TestA | go test  | seed none | x | #1",
		"no seed":             "m/a TestA | go test ./a | x | #1",
		"a seed in words":     "m/a TestA | go test ./a | seed some | x | #1",
		"a seed without seed": "m/a TestA | go test ./a | 2 | x | #1",
	} {
		t.Run(name, func(t *testing.T) {
			list, err := ParseKnown("m/z TestZ | go test ./a | seed none | z | #9\n" + line + "\n")
			assert.Nil(t, list)
			require.Error(t, err)
			assert.Contains(t, err.Error(), `KNOWN-RED.txt:2: want "import/path TestName | go test or make ... | seed N, or seed none | what was seen | #issue"`)
		})
	}
}

func TestATestListedTwiceIsRefused(t *testing.T) {
	_, err := ParseKnown("m/a TestA | go test ./a | seed none | x | #1\nm/b TestA | go test ./a | seed none | x | #1\nm/a TestA | go test ./a | seed none | y | #2\n")
	assert.EqualError(t, err, "KNOWN-RED.txt:3: m/a TestA is listed twice")
}

func TestEveryFaultyLineIsReported(t *testing.T) {
	_, err := ParseKnown("# one\nm/a TestA | go test ./a | seed none | x | #1\n\n")
	require.Error(t, err)
	assert.Contains(t, err.Error(), "KNOWN-RED.txt:1: ")
	assert.NotContains(t, err.Error(), "KNOWN-RED.txt:2: ")
	assert.Contains(t, err.Error(), "KNOWN-RED.txt:3: ")
}
