// Package daemon runs a node as a process. It reads the settings and secrets, opens the listeners
// and the data folder, and translates signals into a graceful stop.
package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/node"
	"github.com/ravenway/ravenway/internal/settings"
	"github.com/ravenway/ravenway/internal/state/disk"
)

// Run runs the daemon until a graceful stop is complete or the node fails. path is that of the
// settings file.
func Run(ctx context.Context, path string, dialects Dialects) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	if loaded.UsesDiscovery() {
		return runWithDiscovery(ctx, path, loaded, dialects)
	}
	logger, closeLog := newLogger(loaded)
	defer closeLog()
	options, err := nodeOptions(loaded, logger)
	if err != nil {
		return err
	}
	runningNode, err := node.New(options)
	if err != nil {
		return fmt.Errorf("starting node %s: %w", loaded.Node.Name, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stopGracefully(ctx, runningNode, loaded, signals)
		cancel()
	}()
	return runningNode.Run(ctx)
}

// stopGracefully stops the node: it waits for all streams, for at most Limits.StopTimeout. A second
// signal prints how many requests would be aborted; a third one aborts them.
func stopGracefully(ctx context.Context, stoppingNode *node.Node, loaded *settings.Settings, signals <-chan os.Signal) {
	ctx, cancel := context.WithTimeout(ctx, loaded.Limits.StopTimeout)
	defer cancel()
	go func() {
		<-signals
		fmt.Fprintf(os.Stderr, "ravenwayd: %d requests are in progress and would be aborted; signal once more to abort them\n", stoppingNode.ActiveStreams())
		<-signals
		cancel()
	}()
	if aborted := stoppingNode.Stop(ctx); aborted > 0 {
		fmt.Fprintf(os.Stderr, "ravenwayd: %d requests were aborted\n", aborted)
	}
}

func nodeOptions(loaded *settings.Settings, logger zerolog.Logger) (node.Options, error) {
	options := node.Options{Settings: loaded, Logger: logger}
	var err error
	if options.PeerKey, err = settings.ReadSecret(loaded.Security.PeerKeyFile); err != nil {
		return options, err
	}
	if file := loaded.Security.OperatorTokenFile; file != "" {
		if options.OperatorToken, err = settings.ReadSecret(file); err != nil {
			return options, err
		}
	}
	if options.PeerTLS, options.OperatorTLS, err = loadTLS(loaded.Security); err != nil {
		return options, err
	}
	if loaded.HasRole(settings.RoleControl) {
		folder, err := disk.NewOS(loaded.Control.DataDir)
		if err != nil {
			return options, fmt.Errorf("opening the data folder: %w", err)
		}
		options.FileSystem = folder
	}
	options.Listeners, err = openListeners(loaded)
	return options, err
}

// openListeners opens all listeners. The error names every listener that can't be opened.
func openListeners(loaded *settings.Settings) (node.Listeners, error) {
	var problems []error
	open := func(key, address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", key, err))
			return nil
		}
		return listener
	}
	var opened node.Listeners
	if loaded.HasRole(settings.RoleEntry) {
		opened.Callers = open("listen.callers", loaded.Listen.Callers)
	}
	opened.Operators = open("listen.operators", loaded.Listen.Operators)
	opened.Peers = open("listen.peers", loaded.Listen.Peers)
	opened.Health = open("listen.health", loaded.Listen.Health)
	return opened, errors.Join(problems...)
}

// loadTLS returns the TLS configurations of the peer and operator listeners, or nil if no
// certificate is configured. Peers authenticate with client certificates, operators with their
// token.
func loadTLS(security settings.Security) (peer, operators *tls.Config, err error) {
	if security.TLSCertificateFile == "" {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(security.TLSCertificateFile, security.TLSKeyFile)
	if err != nil {
		return nil, nil, fmt.Errorf("loading the TLS certificate: %w", err)
	}
	authority, err := os.ReadFile(security.TLSAuthorityFile)
	if err != nil {
		return nil, nil, fmt.Errorf("loading the TLS authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, nil, fmt.Errorf("loading the TLS authority: %s holds no certificate", security.TLSAuthorityFile)
	}
	peer = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
	operators = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, NextProtos: []string{"h2", "http/1.1"},
	}
	return peer, operators, nil
}

// timeFormat includes milliseconds, so that events of several nodes can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// newLogger returns a logger that writes one line of key=value pairs per event to the standard
// output. It never waits for the reader; closeLog writes the lines that are still queued.
func newLogger(loaded *settings.Settings) (logger zerolog.Logger, closeLog func()) {
	level, err := zerolog.ParseLevel(loaded.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = timeFormat
	writer := newAsyncWriter(os.Stdout)
	logger = zerolog.New(newKeyValueWriter(writer)).Level(level).With().Timestamp().Str("node", loaded.Node.Name).Logger()
	return logger, writer.close
}
