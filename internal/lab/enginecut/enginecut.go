// Package enginecut partitions a real daemon from engines. Loopback connections can't be lost on their
// way, so the lab build of the daemon dials engines through this package, which reads from a file what
// happens to the connections.
package enginecut

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Variable is the environment variable that names the file with the mode.
const Variable = "RAVENWAY_LAB_ENGINE_CUT"

// Mode is what happens to connections to engines.
type Mode string

// Modes.
const (
	// Open: nothing.
	Open Mode = ""
	// Silent: connections and attempts to connect hang, and time out.
	Silent Mode = "silent"
	// Reset: connections are reset, and attempts to connect hang.
	Reset Mode = "reset"
	// ResetAndRefused: connections are reset, and attempts to connect are refused.
	ResetAndRefused Mode = "reset_and_refused"
	// Refused: connections live on, and attempts to connect are refused.
	Refused Mode = "refused"
)

// Modes are all modes of a partition.
var Modes = []Mode{Silent, Reset, ResetAndRefused, Refused}

const (
	pollInterval = 10 * time.Millisecond
	// silentTimeout is when a connection fails that has been silent: TCP_USER_TIMEOUT and keep-alive
	// probes do so on a real network.
	silentTimeout = 2200 * time.Millisecond
)

// MaximumSilence is how long a silence may last that no connection notices as its end.
const MaximumSilence = silentTimeout - 300*time.Millisecond

// SetMode writes the mode to a file, at once.
func SetMode(path string, mode Mode) error {
	if err := os.WriteFile(path+".new", []byte(mode), 0o600); err != nil {
		return fmt.Errorf("setting the mode of connections to engines: %w", err)
	}
	return os.Rename(path+".new", path)
}

// Cutter opens connections and cuts them.
type Cutter struct {
	dialer net.Dialer
	mutex  sync.Mutex
	mode   Mode
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
	open    map[*connection]struct{}
}

// New returns a cutter that follows the mode in a file until the context ends.
func New(ctx context.Context, path string) *Cutter {
	cutter := &Cutter{changed: make(chan struct{}), open: map[*connection]struct{}{}}
	cutter.follow(path)
	go func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				cutter.follow(path)
			}
		}
	}()
	return cutter
}

// follow applies the mode in the file; a file that does not exist means Open.
func (c *Cutter) follow(path string) {
	content, _ := os.ReadFile(path)
	mode := Mode(strings.TrimSpace(string(content)))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if mode == c.mode {
		return
	}
	c.mode = mode
	close(c.changed)
	c.changed = make(chan struct{})
	switch mode {
	case Reset, ResetAndRefused:
		c.failAll(syscall.ECONNRESET)
	case Silent:
		changed := c.changed
		time.AfterFunc(silentTimeout, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			if c.changed == changed {
				c.failAll(syscall.ETIMEDOUT)
			}
		})
	}
}

func (c *Cutter) failAll(failure error) {
	for one := range c.open {
		one.fail(failure)
	}
	clear(c.open)
}

// current returns the mode, and a channel that is closed when it changes.
func (c *Cutter) current() (Mode, <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.mode, c.changed
}

// Dial opens a connection to an engine.
func (c *Cutter) Dial(ctx context.Context, address string) (net.Conn, error) {
	for {
		mode, changed := c.current()
		switch mode {
		case Refused, ResetAndRefused:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		case Silent, Reset:
			select {
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
			case <-changed:
				continue
			}
		}
		opened, err := c.dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		wrapped := &connection{Conn: opened, cutter: c, closed: make(chan struct{})}
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.open[wrapped] = struct{}{}
		return wrapped, nil
	}
}

// connection is a connection that hangs while the mode is Silent.
type connection struct {
	net.Conn
	cutter *Cutter
	closed chan struct{}

	mutex    sync.Mutex
	failure  error
	isClosed bool
	// readDeadline and writeDeadline apply while the connection hangs.
	readDeadline, writeDeadline time.Time
	// held are the bytes that arrived while the connection hung.
	held []byte
}

// fail ends the connection with an error.
func (c *connection) fail(failure error) {
	c.mutex.Lock()
	c.failure = failure
	c.mutex.Unlock()
	_ = c.shut()
}

func (c *connection) shut() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isClosed {
		c.isClosed = true
		close(c.closed)
	}
	return c.Conn.Close()
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.cutter.mutex.Lock()
	delete(c.cutter.open, c)
	c.cutter.mutex.Unlock()
	return c.shut()
}

// wait waits while the connection hangs.
func (c *connection) wait(deadline func() time.Time) error {
	for {
		mode, changed := c.cutter.current()
		if mode != Silent {
			return nil
		}
		var expired <-chan time.Time
		if until := deadline(); !until.IsZero() {
			timer := time.NewTimer(time.Until(until))
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-changed:
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-c.closed:
			return c.explain(net.ErrClosed)
		}
	}
}

// explain returns the error with which the connection was failed, if it was.
func (c *connection) explain(err error) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure != nil {
		return &net.OpError{Op: "read", Net: "tcp", Err: c.failure}
	}
	return err
}

// Read implements net.Conn.
func (c *connection) Read(into []byte) (int, error) {
	if len(c.held) == 0 {
		buffer := make([]byte, len(into))
		read, err := c.Conn.Read(buffer)
		if err != nil {
			return 0, c.explain(err)
		}
		c.held = buffer[:read]
	}
	if err := c.wait(func() time.Time { return c.deadline(&c.readDeadline) }); err != nil {
		return 0, err
	}
	read := copy(into, c.held)
	c.held = c.held[read:]
	return read, nil
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	if err := c.wait(func() time.Time { return c.deadline(&c.writeDeadline) }); err != nil {
		return 0, err
	}
	written, err := c.Conn.Write(data)
	if err != nil {
		return written, c.explain(err)
	}
	return written, nil
}

func (c *connection) deadline(of *time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return *of
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error {
	c.mutex.Lock()
	c.readDeadline, c.writeDeadline = deadline, deadline
	c.mutex.Unlock()
	return c.Conn.SetDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	c.readDeadline = deadline
	c.mutex.Unlock()
	return c.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline implements net.Conn.
func (c *connection) SetWriteDeadline(deadline time.Time) error {
	c.mutex.Lock()
	c.writeDeadline = deadline
	c.mutex.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}
