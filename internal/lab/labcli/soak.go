package labcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ravenway/ravenway/internal/lab/soak"
	"github.com/ravenway/ravenway/internal/lab/standin"
)

// soakCommand runs the real daemons while faults are injected from outside.
func soakCommand(out io.Writer, wire standin.Wire) *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run the real daemons as processes, inject faults from outside, and check the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Value: "bin/ravenwayd-lab", Usage: "the daemon's program; only its lab build can be partitioned from engines"},
			&cli.StringFlag{Name: "earlier", Usage: "the daemon of an earlier build: the fleet starts on it and is upgraded to --daemon, one machine after the other"},
			&cli.BoolFlag{Name: "earlier-has-quarantine", Usage: "the earlier build quarantines requests that crash their engines"},
			&cli.BoolFlag{Name: "going-back", Usage: "half of the machines return to the earlier build before the upgrade continues"},
			&cli.StringFlag{Name: "order", Value: "all", Usage: "order of the upgrade: control (first), entry (first), mixed, or all (one after the other by seed)"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.Uint64Flag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.IntFlag{Name: "entries", Value: 4, Usage: "entry nodes; there are always three control nodes"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "how long faults are injected; 0s for none"},
			&cli.IntFlag{Name: "lanes", Value: 1, Usage: "number of concurrent runs"},
			&cli.IntFlag{Name: "first-lane", Usage: "number of the first lane: concurrent commands need different lanes, each a range of loopback addresses"},
			&cli.StringFlag{Name: "keep", Usage: "folder that keeps the report and the logs of each seed"},
		},
		Action: func(ctx context.Context, command *cli.Command) error { return runSoak(ctx, out, wire, command) },
	}
}

func runSoak(ctx context.Context, out io.Writer, wire standin.Wire, command *cli.Command) error {
	seeds := make(chan uint64)
	var lanes sync.WaitGroup
	var mutex sync.Mutex
	var failed []error
	for lane := range command.Int("lanes") {
		lanes.Go(func() {
			for seed := range seeds {
				summary, err := soakSeed(ctx, wire, command, seed, command.Int("first-lane")+lane)
				mutex.Lock()
				fmt.Fprintf(out, "seed %d: %d calls %v, %d faults, %d cut by planned stops, charged without delivery at most %.4f of a limit, prompts reserved %v, streams %v of %d versions, error %v\n",
					seed, summary.Calls, summary.Outcomes, summary.Faults, summary.CutByStops, summary.LedgerOvercharge, summary.Reservations, summary.Streams, summary.StreamVersions, err)
				if err != nil {
					failed = append(failed, fmt.Errorf("seed %d: %w", seed, err))
				}
				mutex.Unlock()
			}
		})
	}
	for number := range command.Uint64("seeds") {
		seeds <- command.Uint64("first") + number
	}
	close(seeds)
	lanes.Wait()
	fmt.Fprintf(out, "%d of %d seeds failed\n", len(failed), command.Uint64("seeds"))
	return errors.Join(failed...)
}

func soakSeed(ctx context.Context, wire standin.Wire, command *cli.Command, seed uint64, lane int) (soak.Summary, error) {
	order, err := upgradeOrder(command.String("order"), seed)
	if err != nil {
		return soak.Summary{}, err
	}
	folder, err := soakFolder(command.String("keep"), seed)
	if err != nil {
		return soak.Summary{}, err
	}
	if command.String("keep") == "" {
		defer os.RemoveAll(folder)
	}
	report, err := os.Create(filepath.Join(folder, "report.txt"))
	if err != nil {
		return soak.Summary{}, err
	}
	defer report.Close()
	return soak.Run(ctx, soak.Options{
		Daemon: command.String("daemon"), EarlierDaemon: command.String("earlier"), EarlierHasQuarantine: command.Bool("earlier-has-quarantine"), ReturnsToEarlier: command.Bool("going-back"), Order: order, Wire: wire, Seed: seed, Entries: command.Int("entries"), FaultDuration: command.Duration("length"),
		Folder: folder, Lane: lane, Report: report,
	})
}

// upgradeOrder returns the order of a seed's upgrade.
func upgradeOrder(name string, seed uint64) (soak.Order, error) {
	if name == "all" {
		orders := soak.Orders()
		return orders[seed%uint64(len(orders))], nil
	}
	return soak.ParseOrder(name)
}

func soakFolder(keep string, seed uint64) (string, error) {
	if keep == "" {
		return os.MkdirTemp("", "ravenway-soak-")
	}
	folder, err := filepath.Abs(filepath.Join(keep, fmt.Sprintf("seed-%d", seed)))
	if err != nil {
		return "", err
	}
	if err := os.RemoveAll(folder); err != nil {
		return "", err
	}
	return folder, os.MkdirAll(folder, 0o700)
}
