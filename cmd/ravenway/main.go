// Command ravenway is the operators' command line: a thin client of the API in api/ravenway/v1.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/ravenway/ravenway/internal/operatorcli"
)

func main() {
	if err := operatorcli.Command(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(operatorcli.ExitCode(err))
	}
}
