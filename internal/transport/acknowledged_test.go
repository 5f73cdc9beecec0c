package transport

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a path that counts as lost because the receiver does not read.
func TestBytesThatWaitForASlowReceiverAreNotUnacknowledged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	connection, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer connection.Close()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	_ = connection.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
	_, err = connection.Write(make([]byte, 64<<20))
	assert.Assert(t, err != nil, "the receiver took everything")
	bytes, isKnown := Unacknowledged(connection)
	assert.Assert(t, isKnown)
	assert.Equal(t, bytes, 0)
	local, _ := net.Pipe()
	defer local.Close()
	_, isKnown = Unacknowledged(local)
	assert.Assert(t, !isKnown)
}
