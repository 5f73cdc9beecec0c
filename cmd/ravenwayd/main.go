// Command ravenwayd is the daemon. It runs an entry node, a control node, or both.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/ravenway/ravenway/internal/daemon"
	"github.com/ravenway/ravenway/internal/settings"
	"github.com/ravenway/ravenway/platform"
)

// labFeatures describes what the lab build adds; "" for the product.
var labFeatures string

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "ravenwayd",
		Usage: "the ravenway daemon",
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run the daemon", ArgsUsage: "SETTINGS",
				Action: func(ctx context.Context, command *cli.Command) error {
					path, err := settingsPath(command)
					if err != nil {
						return err
					}
					return daemon.Run(ctx, path, daemon.Dialects{platform.Name: platform.New()})
				},
			},
			{
				Name: "version", Usage: "print the build's commit, Go version and protocol version",
				Action: func(context.Context, *cli.Command) error {
					fmt.Printf("%s%s\n", daemon.ReadBuild(), labFeatures)
					return nil
				},
			},
			{
				Name: "check", Usage: "check a settings file and report all errors in it", ArgsUsage: "SETTINGS",
				Action: func(_ context.Context, command *cli.Command) error {
					path, err := settingsPath(command)
					if err != nil {
						return err
					}
					if _, err := settings.Load(path); err != nil {
						return err
					}
					fmt.Printf("%s: no findings\n", path)
					return nil
				},
			},
		},
	}
}

func settingsPath(command *cli.Command) (string, error) {
	if command.Args().Len() != 1 {
		return "", fmt.Errorf("%s requires one argument: the settings file", command.Name)
	}
	return command.Args().First(), nil
}
