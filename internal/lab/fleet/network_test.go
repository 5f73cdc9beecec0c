package fleet

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against delivering delayed writes in a way that crashed the race detector in virtual time when
// writes on many connections were due at the same moment.
func TestDelayedWritesDueAtTheSameTimeArriveInVirtualTime(t *testing.T) {
	const (
		connections = 200
		writes      = 200
		delay       = 300 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		network.SetDelay("b", delay)
		listener := network.Listen("b", "b:1")
		start := time.Now()
		var goroutines sync.WaitGroup
		for range connections {
			goroutines.Go(func() {
				accepted, err := listener.Accept()
				assert.Check(t, err)
				received, err := io.ReadAll(accepted)
				assert.Check(t, err)
				assert.Check(t, len(received) == writes, "received %d of %d bytes", len(received), writes)
			})
			goroutines.Go(func() {
				connection, err := network.Dialer("a")(t.Context(), "tcp", "b:1")
				assert.Check(t, err)
				for range writes {
					_, err := connection.Write([]byte{1})
					assert.Check(t, err)
				}
				time.Sleep(delay + time.Millisecond)
				assert.Check(t, connection.Close())
			})
		}
		goroutines.Wait()
		assert.Equal(t, time.Since(start), 2*delay+time.Millisecond)
	})
}

// Guards against links that carry more than their bandwidth, and against responses that are lost because their
// sender closes the connection while they are in transit.
func TestBytesWaitForTheLinkAndArriveThoughTheirSenderCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		network.SetBandwidth("a", 2000)
		network.SetBandwidth("b", 1000)
		listener := network.Listen("b", "b:1")
		start := time.Now()
		var goroutines sync.WaitGroup
		var connections []net.Conn
		for range 2 {
			goroutines.Go(func() {
				accepted, err := listener.Accept()
				assert.Check(t, err)
				received, err := io.ReadAll(accepted)
				assert.Check(t, err)
				assert.Check(t, len(received) == 500, "received %d of 500 bytes", len(received))
			})
			connection, err := network.Dialer("a")(t.Context(), "tcp", "b:1")
			assert.NilError(t, err)
			connections = append(connections, connection)
		}
		for _, connection := range connections {
			_, err := connection.Write(make([]byte, 500))
			assert.NilError(t, err)
			assert.NilError(t, connection.Close())
		}
		goroutines.Wait()
		// The first bytes leave a after 250 ms; from then on the link of b carries 1,000 bytes.
		assert.Equal(t, time.Since(start), 1250*time.Millisecond)
	})
}
