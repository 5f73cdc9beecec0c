package transport

import (
	"context"
	"net"
	"time"
)

// dialStaggered opens a connection with several concurrent attempts: an attempt without
// a response continues while the next one starts. The packets that open a connection
// may be lost in a partition, and are then sent again only after seconds; over a
// saturated link they may take over a second. The first connection that is opened is
// returned, the others are closed. The context bounds all attempts. The second attempt
// starts after the delay, which doubles with each further one.
func dialStaggered(ctx context.Context, delay time.Duration, dial func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		connection net.Conn
		err        error
	}
	results := make(chan result)
	running := 0
	attempt := func() {
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
	attempt()
	next := time.NewTimer(delay)
	defer next.Stop()
	for {
		select {
		case completed := <-results:
			// A failed attempt means that the other side refuses the connection or can't
			// be reached at all, so the caller backs off before it tries again.
			return completed.connection, completed.err
		case <-next.C:
			delay *= 2
			next.Reset(delay)
			attempt()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
