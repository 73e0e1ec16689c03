// Command testgate runs the tests. It tolerates the failures that KNOWN-RED.txt lists, and no others.
//
//	testgate [flags and packages of go test] [-- flags and packages of another run]...
//
// Each run is one go test, with -json added. All runs take place, even if one has failed. The output is that of go test
// without -v, followed by the listed tests and how each ended, the faults that make the gate fail, and a line with the
// numbers of top-level tests. The exit status is 0 if nothing failed but listed tests, and 1 otherwise.
//
// KNOWN-RED.txt is in the working directory, which is the root of the module. It may be absent or empty. Otherwise each
// of its lines names a test, the command that reproduces the failure, the seed, what was observed, and an open issue.
// There are no comments and no blank lines:
//
//	import/path TestName | go test or make ... | seed N, or seed none | what was seen | #issue
//
// A listed test must run: the gate fails if it did not, or if it was skipped. If it passes, the summary asks to remove
// its line. Keep the list short.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"

	"lichenhitch/tools/testgate/verdict"
)

// runSeparator separates the runs on the command line.
const runSeparator = "--"

// gate holds the directory in which tests run, and the destinations of their output.
type gate struct {
	dir    string
	out    io.Writer
	errOut io.Writer
}

func main() {
	g := gate{dir: ".", out: os.Stdout, errOut: os.Stderr}
	ok, err := g.run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "testgate:", err)
	}
	if !ok {
		os.Exit(1)
	}
}

// run runs all suites and reports whether the gate passes.
func (g gate) run(args []string) (ok bool, err error) {
	commands, err := split(args)
	if err != nil {
		return false, err
	}
	list, err := g.readKnown()
	if err != nil {
		return false, err
	}
	var suites []*verdict.Suite
	for _, c := range commands {
		s, err := g.runSuite(c)
		if err != nil {
			return false, err
		}
		suites = append(suites, s)
	}
	v := verdict.Judge(list, suites)
	_, err = io.WriteString(g.out, v.Text())
	return v.OK() && err == nil, err
}

// split returns the arguments of each run.
func split(args []string) (commands [][]string, err error) {
	var c []string
	for _, a := range append(args[:len(args):len(args)], runSeparator) {
		if a != runSeparator {
			c = append(c, a)
			continue
		}
		if len(c) == 0 {
			return nil, errors.New("usage: testgate [arguments of go test] [-- arguments of another run]..., none of them empty")
		}
		commands = append(commands, c)
		c = nil
	}
	return commands, nil
}

// readKnown reads the list of known failures.
func (g gate) readKnown() ([]verdict.Known, error) {
	text, err := os.ReadFile(filepath.Join(g.dir, verdict.KnownFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return verdict.ParseKnown(string(text))
}

// runSuite runs go test once and prints each package as it ends.
func (g gate) runSuite(args []string) (*verdict.Suite, error) {
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Dir = g.dir
	cmd.Stderr = g.errOut
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s := &verdict.Suite{}
	readErr := g.readEvents(s, stdout)
	err = cmd.Wait()
	s.Exit = cmd.ProcessState.ExitCode()
	var status *exec.ExitError
	if errors.As(err, &status) {
		err = nil // the status is in s.Exit
	}
	_, restErr := io.WriteString(g.out, s.Remainder())
	return s, errors.Join(readErr, err, restErr)
}

// readEvents reads the output of go test to its end.
func (g gate) readEvents(s *verdict.Suite, stdout io.Reader) error {
	lines := bufio.NewReader(stdout)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			if err := g.handleLine(s, bytes.TrimSuffix(line, []byte("\n"))); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// handleLine processes one line and prints the package that ends with it, if any.
func (g gate) handleLine(s *verdict.Suite, line []byte) error {
	e, err := verdict.ParseEvent(line)
	if err != nil {
		s.AddInvalidLine(string(line))
		return nil
	}
	if p := s.Take(e); p != nil {
		_, err = io.WriteString(g.out, p.Text())
	}
	return err
}
