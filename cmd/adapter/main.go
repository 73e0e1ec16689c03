// Command adapter runs balancers for a simulator, which exchanges events and actions with it as JSON on standard input and
// output (package wire).
package main

import (
	"fmt"
	"os"

	"lichenhitch/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
