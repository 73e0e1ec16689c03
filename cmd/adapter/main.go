// Command adapter hosts balancers for a proxy host that speaks the wire on standard input and output.
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
