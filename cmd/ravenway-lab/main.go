// Command ravenway-lab holds the stand-ins and the experiments. Production
// never needs it.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/ravenway/ravenway/internal/lab/labcli"
	"github.com/ravenway/ravenway/platform"
)

func main() {
	if err := labcli.Command(os.Stdout, platform.StandIn{}).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
