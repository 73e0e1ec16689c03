// Command rehearse checks models of the node and replays counterexamples on the running code.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// The exit codes.
const (
	exitHolds    = 0
	exitViolated = 1 // a property is violated, or a replay shows a violation
	exitUsage    = 2
	exitPartial  = 3 // not complete: a bound was reached
)

// exitCode is an error that sets the exit code of the command and prints no message.
type exitCode int

func (v exitCode) Error() string { return fmt.Sprintf("exit %d", int(v)) }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs the command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "rehearse",
		Short:         "Check models of the node and replay counterexamples",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(modelCommand())
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	var v exitCode
	switch {
	case err == nil:
		return exitHolds
	case errors.As(err, &v):
		return int(v)
	}
	fmt.Fprintln(stderr, "rehearse:", err)
	return exitUsage
}
