package daemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/gateway"
	"github.com/ravenway/ravenway/internal/settings"
	"github.com/ravenway/ravenway/internal/state/disk"
)

const (
	// settingsPollInterval is the interval at which the settings file is checked for changes: it can
	// change without a signal.
	settingsPollInterval = 2 * time.Second
	// stopMargin is the part of the stop grace period, after which the process is killed, that must
	// be left when a graceful stop ends.
	stopMargin = 500 * time.Millisecond
)

// Dialects maps names in the settings to wire interfaces.
type Dialects map[string]gateway.Dialect

// DialEngine opens connections to engines; nil means TCP. Only the lab build of the daemon sets it.
var DialEngine func(ctx context.Context, address string) (net.Conn, error)

// runWithDiscovery runs a node that discovers the others from seeds.
func runWithDiscovery(ctx context.Context, path string, loaded *settings.Settings, dialects Dialects) error {
	dialect, found := dialects[loaded.Fleet.Dialect]
	if !found {
		return settings.Findings{{File: path, Key: "fleet.dialect", Problem: fmt.Sprintf("%q is not known", loaded.Fleet.Dialect)}}
	}
	limitMemory(loaded.Limits.MemoryMB)
	logger, closeLog := newLogger(loaded)
	defer closeLog()
	build := ReadBuild()
	logger.Info().Str("event", "build").Str("commit", build.Commit).Bool("modified", build.IsModified).Str("go", build.Go).
		Uint8("dialect", uint8(build.Protocol)).Send()
	options := gateway.Options{Settings: loaded, Dialect: dialect, Logger: logger, Build: build.ShortCommit(), DialEngine: DialEngine, FileDescriptors: fileDescriptors(logger)}
	var err error
	if options.PeerKey, err = settings.ReadSecret(loaded.Security.PeerKeyFile); err != nil {
		return err
	}
	if file := loaded.Security.OperatorTokenFile; file != "" {
		if options.OperatorToken, err = settings.ReadSecret(file); err != nil {
			return err
		}
	}
	if loaded.HasRole(settings.RoleControl) {
		folder, err := disk.NewOS(loaded.Control.DataDir)
		if err != nil {
			return fmt.Errorf("opening the data folder: %w", err)
		}
		options.FileSystem = folder
	}
	if options.Listeners, err = openDiscoveryListeners(loaded); err != nil {
		return err
	}
	runningNode, err := gateway.New(options)
	if err != nil {
		return fmt.Errorf("starting node %s: %w", loaded.Node.Name, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		watchSettings(ctx, path, runningNode, signals)
		stopContext, cancelStop := context.WithTimeout(ctx, loaded.Bounds.StopGrace-stopMargin)
		defer cancelStop()
		runningNode.Stop(stopContext)
		cancel()
	}()
	return runningNode.Run(ctx)
}

const (
	// heapFraction is the fraction of the memory that the heap can use before the garbage collector
	// runs continuously. The remainder is for stacks, kernel buffers, and garbage that the
	// collector has not freed yet.
	heapFraction = 0.7
	bytesPerMB   = 1 << 20
)

// limitMemory sets the heap limit well below the memory that the process can use, given in MiB; 0
// sets no limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(megabytes) * bytesPerMB))
	}
}

// watchSettings applies changed settings until a signal requests a stop. SIGHUP reloads them.
func watchSettings(ctx context.Context, path string, node *gateway.Node, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	loadedTime := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-signals:
			if received != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
			if modificationTime(path) == loadedTime {
				continue
			}
		}
		loadedTime = modificationTime(path)
		changed, err := settings.Load(path)
		if err != nil {
			// The active settings stay in effect; a half-written file is read again once it changes.
			node.ReloadRefused(err)
			continue
		}
		node.Reload(changed)
	}
}

func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func openDiscoveryListeners(loaded *settings.Settings) (gateway.Listeners, error) {
	var opened gateway.Listeners
	peers := loaded.Listen.Peers
	if loaded.Listen.PeersBind != "" {
		peers = loaded.Listen.PeersBind
	}
	for key, endpoint := range map[string]struct {
		address  string
		listener *net.Listener
	}{
		"listen.callers":   {loaded.Listen.Callers, &opened.Callers},
		"listen.ready":     {loaded.Listen.Ready, &opened.Ready},
		"listen.control":   {loaded.Listen.Control, &opened.Control},
		"listen.peers":     {peers, &opened.Peers},
		"listen.health":    {loaded.Listen.Health, &opened.Health},
		"listen.operators": {loaded.Listen.Operators, &opened.Operators},
		"listen.debug":     {loaded.Listen.Debug, &opened.Debug},
	} {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return opened, fmt.Errorf("%s: %w", key, err)
		}
		*endpoint.listener = listener
	}
	return opened, nil
}

// fileDescriptors returns the number of file descriptors that the process may open, 0 if it can't be read.
func fileDescriptors(logger zerolog.Logger) uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		logger.Warn().Str("event", "file_descriptors_unknown").Err(err).Send()
		return 0
	}
	return limit.Cur
}
