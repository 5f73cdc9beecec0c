package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// endCheckInterval is the time between two checks whether written bytes were acknowledged.
const endCheckInterval = 2 * time.Millisecond

// tcpClosed is TCP_CLOSE of <netinet/tcp.h>. A connection that this machine has not closed gets into this state only
// by a failure.
const tcpClosed = 7

// Errors of connections whose end is not confirmed.
var (
	// ErrReset means that the other machine has reset the connection.
	ErrReset = errors.New("transport: the connection was reset")
	// ErrUnacknowledged means that the other machine ended its data, and that it is not known whether it received all that
	// was written.
	ErrUnacknowledged = errors.New("transport: the connection ended while written bytes were not acknowledged")
)

// EndConfirmer is a connection that can tell a regular end of the other machine's data from a reset.
type EndConfirmer interface {
	net.Conn
	// ConfirmEnd returns nil if the other machine ended its data without a failure, after it had received all that
	// was written. It is called after Read has returned io.EOF, and waits until this is known.
	ConfirmEnd(ctx context.Context) error
}

// ConfirmedConnection owns the first error of a connection. A socket reports a reset only once, to the read or the
// write that comes first: after a write that failed, a read returns io.EOF. It implements EndConfirmer.
type ConfirmedConnection struct {
	net.Conn
	mutex sync.Mutex
	// writes is the number of writes in progress.
	writes int
	// failure is the first error of a write.
	failure error
}

// WithConfirmedEnd returns a connection that can confirm its end.
func WithConfirmedEnd(connection net.Conn) *ConfirmedConnection {
	return &ConfirmedConnection{Conn: connection}
}

// Write implements net.Conn.
func (c *ConfirmedConnection) Write(from []byte) (int, error) {
	c.mutex.Lock()
	c.writes++
	c.mutex.Unlock()
	written, err := c.Conn.Write(from)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writes--
	if err != nil && c.failure == nil {
		c.failure = err
	}
	return written, err
}

// NetConn returns the connection that carries the bytes.
func (c *ConfirmedConnection) NetConn() net.Conn { return c.Conn }

// ConfirmEnd implements EndConfirmer. Bytes that the connection can't tell about count as acknowledged.
func (c *ConfirmedConnection) ConfirmEnd(ctx context.Context) error {
	for {
		isWriting, err := c.writeState()
		if err != nil {
			return err
		}
		pending, err := unacknowledgedUnlessReset(c.Conn)
		if err != nil || !isWriting && pending == 0 {
			return err
		}
		select {
		case <-time.After(endCheckInterval):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnacknowledged, context.Cause(ctx))
		}
	}
}

// WithConfirmedReads returns a connection whose reads end regularly only if the end is confirmed, for readers that take
// any end for a regular one.
func WithConfirmedReads(connection net.Conn) net.Conn {
	return &confirmedReader{ConfirmedConnection: WithConfirmedEnd(connection)}
}

type confirmedReader struct{ *ConfirmedConnection }

// Read implements net.Conn.
func (c *confirmedReader) Read(into []byte) (int, error) {
	read, err := c.Conn.Read(into)
	if errors.Is(err, io.EOF) {
		// The wait ends at the latest when the connection is closed.
		if failure := c.ConfirmEnd(context.Background()); failure != nil {
			err = failure
		}
	}
	return read, err
}

// writeState returns whether a write is in progress, and the first error of a write.
func (c *ConfirmedConnection) writeState() (isWriting bool, failure error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes > 0, c.failure
}

// unacknowledgedUnlessReset returns the bytes that were written to a TCP connection and not acknowledged, also those
// that wait for the receiver to read, or ErrReset.
func unacknowledgedUnlessReset(connection net.Conn) (int, error) {
	raw, isSystem := RawConnection(connection)
	if !isSystem {
		return 0, nil
	}
	pending, isReset := 0, false
	err := raw.Control(func(descriptor uintptr) {
		information, failure := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if failure != nil {
			// It is not a TCP connection, or the system does not tell.
			return
		}
		isReset = information.State == tcpClosed
		if count, failure := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ); failure == nil {
			pending = count
		}
	})
	if err != nil {
		return 0, err
	}
	if isReset {
		return 0, ErrReset
	}
	return pending, nil
}

// RawConnection returns the file descriptor of a connection, or of the one that carries it.
func RawConnection(connection net.Conn) (raw syscall.RawConn, isSystem bool) {
	if carrier, isCarried := connection.(interface{ NetConn() net.Conn }); isCarried {
		return RawConnection(carrier.NetConn())
	}
	system, isSystem := connection.(syscall.Conn)
	if !isSystem {
		return nil, false
	}
	raw, err := system.SyscallConn()
	return raw, err == nil
}
