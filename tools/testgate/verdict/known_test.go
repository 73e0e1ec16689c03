package verdict

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const lines = `m/a TestA | waits for nobody, or for both | #29
m/a TestB | x | #1
m/b/c Test | two words | #30
`

func TestTheListIsRead(t *testing.T) {
	want := []Known{
		{Package: "m/a", Test: "TestA", Cause: "waits for nobody, or for both", Issue: "#29"},
		{Package: "m/a", Test: "TestB", Cause: "x", Issue: "#1"},
		{Package: "m/b/c", Test: "Test", Cause: "two words", Issue: "#30"},
	}
	list, err := ParseKnown(lines)
	require.NoError(t, err)
	assert.Equal(t, want, list)
	assert.Equal(t, "m/a TestB | x | #1", list[1].String())
}

func TestAnEmptyListIsRead(t *testing.T) {
	list, err := ParseKnown("")
	require.NoError(t, err)
	assert.Empty(t, list)
}

func TestTheLastLineMayLackItsEnd(t *testing.T) {
	list, err := ParseKnown("m/a TestA | x | #1")
	require.NoError(t, err)
	assert.Len(t, list, 1)
}

func TestAFaultyLineIsRefused(t *testing.T) {
	for name, line := range map[string]string{
		"blank":              "",
		"spaces":             "  ",
		"comment":            "# nothing here",
		"no package":         "TestA | x | #1",
		"relative path":      "./a TestA | x | #1",
		"no test":            "m/a | x | #1",
		"not a test":         "m/a BenchmarkA | x | #1",
		"subtest":            "m/a TestA/sub | x | #1",
		"pattern":            "m/a TestA|TestB | x | #1",
		"no cause":           "m/a TestA | #1",
		"empty cause":        "m/a TestA |  | #1",
		"blank cause":        "m/a TestA |   | #1",
		"no issue":           "m/a TestA | x",
		"empty issue":        "m/a TestA | x | ",
		"issue without #":    "m/a TestA | x | 29",
		"issue in words":     "m/a TestA | x | #soon",
		"issue zero":         "m/a TestA | x | #0",
		"a field more":       "m/a TestA | x | y | #1",
		"space before":       " m/a TestA | x | #1",
		"space after":        "m/a TestA | x | #1 ",
		"two spaces":         "m/a  TestA | x | #1",
		"carriage return":    "m/a TestA | x | #1\r",
		"bars without space": "m/a TestA|x|#1",
	} {
		t.Run(name, func(t *testing.T) {
			list, err := ParseKnown("m/z TestZ | z | #9\n" + line + "\n")
			assert.Nil(t, list)
			require.Error(t, err)
			assert.Contains(t, err.Error(), `KNOWN-RED.txt:2: want "import/path TestName | cause | #issue"`)
		})
	}
}

func TestAFourthLineIsRefused(t *testing.T) {
	_, err := ParseKnown(lines + "m/d TestD | x | #4\n")
	assert.EqualError(t, err, "KNOWN-RED.txt:4: 3 tests may be listed at most; mend one of them first")
}

func TestATestListedTwiceIsRefused(t *testing.T) {
	_, err := ParseKnown("m/a TestA | x | #1\nm/b TestA | x | #1\nm/a TestA | y | #2\n")
	assert.EqualError(t, err, "KNOWN-RED.txt:3: m/a TestA is listed twice")
}

func TestEveryFaultyLineIsTold(t *testing.T) {
	_, err := ParseKnown("# one\nm/a TestA | x | #1\n\n")
	require.Error(t, err)
	assert.Contains(t, err.Error(), "KNOWN-RED.txt:1: ")
	assert.NotContains(t, err.Error(), "KNOWN-RED.txt:2: ")
	assert.Contains(t, err.Error(), "KNOWN-RED.txt:3: ")
}
