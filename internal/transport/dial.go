package transport

import (
	"context"
	"net"
	"time"
)

// dialStaggered opens a connection with several tries side by side: a try that
// has no answer goes on while the next one begins. The packets that open a
// connection may be lost in a cut, and are then sent again only after seconds;
// over a link that is full they may take over a second. The first connection
// that comes up is taken, the others are closed. The context bounds all tries.
// The pause before the next try doubles from the first one.
func dialStaggered(ctx context.Context, pause time.Duration, dial func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		connection net.Conn
		err        error
	}
	results := make(chan result)
	running := 0
	try := func() {
		running++
		go func() {
			connection, err := dial(ctx)
			select {
			case results <- result{connection: connection, err: err}:
			case <-ctx.Done():
				if err == nil {
					_ = connection.Close()
				}
			}
		}()
	}
	try()
	next := time.NewTimer(pause)
	defer next.Stop()
	for {
		select {
		case ended := <-results:
			// A try that fails says that the other side is there and refuses, or that
			// it can't be reached at all: the caller waits before it tries again.
			return ended.connection, ended.err
		case <-next.C:
			pause *= 2
			next.Reset(pause)
			try()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
