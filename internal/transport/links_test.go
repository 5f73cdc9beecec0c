package transport

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// maximumLinkHeapBytes bounds the heap that an idle link to one peer and the connection from it may
// use, both ends together. So 1,000 of them use less than 40 MB of the 112 MB of an entry
// node.
const maximumLinkHeapBytes = 40 << 10

// heapOfIdleLinks returns the bytes of heap that idle links to a number of peers use, with both
// ends in this process.
func heapOfIdleLinks(tb testing.TB, peers int) uint64 {
	tb.Helper()
	before := heapInUse()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	arrived := make(chan struct{}, peers)
	receiver := NewMesh(Options{
		Self: listener.Addr().String(), OpenMembership: true, Key: sharedKey, Listener: listener, Logger: zerolog.Nop(),
		Handle: func(string, []byte) { arrived <- struct{}{} },
	})
	ended := make(chan struct{}, peers+1)
	run := func(mesh *Mesh) {
		mesh.Run(ctx)
		ended <- struct{}{}
	}
	go run(receiver)
	for number := range peers {
		own, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		sender := NewMesh(Options{Self: fmt.Sprint("sender ", number), OpenMembership: true, Key: sharedKey, Listener: own, Logger: zerolog.Nop()})
		go run(sender)
		sender.Send(receiver.options.Self, []byte("hello"))
		select {
		case <-arrived:
		case <-time.After(10 * time.Second):
			tb.Fatalf("the frame of sender %d did not arrive", number)
		}
	}
	taken := heapInUse() - before
	cancel()
	for range peers + 1 {
		<-ended
	}
	return taken
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards the memory of idle links: a node has a link to each of hundreds of others, and nearly all
// are idle.
func TestIdleLinksUseLittleMemory(t *testing.T) {
	const peers = 50
	each := heapOfIdleLinks(t, peers) / peers
	t.Logf("%d bytes of heap a link", each)
	assert.Assert(t, each < maximumLinkHeapBytes, "%d bytes of heap a link, at most %d", each, maximumLinkHeapBytes)
}
