//go:build lab

package main

import (
	"context"
	"os"

	"github.com/ravenway/ravenway/internal/daemon"
	"github.com/ravenway/ravenway/internal/lab/enginecut"
)

// The lab build can be partitioned from engines.
func init() {
	if path := os.Getenv(enginecut.Variable); path != "" {
		daemon.DialEngine = enginecut.New(context.Background(), path).Dial
	}
	labFeatures = " lab=" + enginecut.Variable
}
