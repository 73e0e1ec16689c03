// Command rehearse is the kit beside the daemon: it checks models of the node, and shows what breaks them.
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
	exitViolated = 1 // a property is violated, or a replay shows the break
	exitUsage    = 2
	exitPartial  = 3 // not complete: a bound was reached
)

// verdict is an outcome that is no error of usage but ends with a code of its own.
type verdict int

func (v verdict) Error() string { return fmt.Sprintf("exit %d", int(v)) }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs the command line and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:           "rehearse",
		Short:         "Check models of the node, and show what breaks them",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(modelCommand())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	var v verdict
	switch {
	case err == nil:
		return exitHolds
	case errors.As(err, &v):
		return int(v)
	}
	fmt.Fprintln(errs, "rehearse:", err)
	return exitUsage
}
