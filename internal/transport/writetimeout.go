package transport

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// timedWriteBytes is the most that one write deadline covers: a peer that reads slowly has the whole
// timeout for each of these pieces.
const timedWriteBytes = 64 << 10

// errNoDescriptor means that a connection has no file descriptor.
var errNoDescriptor = errors.New("transport: the connection has no file descriptor")

// WithWriteTimeout returns a connection whose peer has to accept each written piece of up to
// timedWriteBytes within a timeout. The deadline is set by the write itself, so that it applies to all
// writes, whoever makes them, and none is subject to the deadline of an earlier one. timeout is called
// before each piece.
func WithWriteTimeout(connection net.Conn, timeout func() time.Duration) net.Conn {
	return &timedConnection{Conn: connection, timeout: timeout}
}

type timedConnection struct {
	net.Conn
	timeout func() time.Duration
}

// Write implements net.Conn.
func (c *timedConnection) Write(from []byte) (int, error) {
	written := 0
	for {
		piece := from[written:min(len(from), written+timedWriteBytes)]
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeout())); err != nil {
			return written, err
		}
		count, err := c.Conn.Write(piece)
		written += count
		if err != nil || written >= len(from) {
			return written, err
		}
	}
}

// SyscallConn implements syscall.Conn.
func (c *timedConnection) SyscallConn() (syscall.RawConn, error) {
	if system, isSystem := c.Conn.(syscall.Conn); isSystem {
		return system.SyscallConn()
	}
	return nil, errNoDescriptor
}

// CloseWrite closes the outgoing direction. It does nothing if the connection can't.
func (c *timedConnection) CloseWrite() error {
	if one, isOne := c.Conn.(closeWriter); isOne {
		return one.CloseWrite()
	}
	return nil
}
