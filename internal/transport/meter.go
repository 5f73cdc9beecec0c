package transport

import (
	"net"
	"sync/atomic"
	"syscall"
)

// Meter counts the bytes that pass through connections, in each direction. Its zero value is ready
// for use, and it is safe for concurrent use.
type Meter struct{ received, sent atomic.Int64 }

// Received returns the number of bytes read from the connections since the start.
func (m *Meter) Received() int64 { return m.received.Load() }

// Sent returns the number of bytes written to the connections since the start.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// closeWriter is a connection whose outgoing direction can be closed alone. http.Server does so
// before it closes a connection on which bytes of a request are unread.
type closeWriter interface{ CloseWrite() error }

// Wrap returns a connection whose bytes the meter counts. The result implements syscall.Conn if the
// connection does, and can then close its outgoing direction.
func (m *Meter) Wrap(connection net.Conn) net.Conn {
	metered := meteredConnection{Conn: connection, meter: m}
	if system, isSystem := connection.(syscall.Conn); isSystem {
		return &meteredSystemConnection{meteredConnection: metered, system: system}
	}
	return &metered
}

type meteredConnection struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConnection) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	c.meter.received.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c *meteredConnection) Write(from []byte) (int, error) {
	count, err := c.Conn.Write(from)
	c.meter.sent.Add(int64(count))
	return count, err
}

// meteredSystemConnection is a metered connection with a file descriptor.
type meteredSystemConnection struct {
	meteredConnection
	system syscall.Conn
}

// SyscallConn implements syscall.Conn.
func (c *meteredSystemConnection) SyscallConn() (syscall.RawConn, error) {
	return c.system.SyscallConn()
}

// CloseWrite closes the outgoing direction. It does nothing if the connection can't.
func (c *meteredSystemConnection) CloseWrite() error {
	if one, isOne := c.Conn.(closeWriter); isOne {
		return one.CloseWrite()
	}
	return nil
}
