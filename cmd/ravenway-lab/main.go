// Command ravenway-lab runs the emulators of external systems and the experiments. It is not used in
// production.
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
