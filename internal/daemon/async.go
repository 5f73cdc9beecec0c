package daemon

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/ring"
)

// logQueueCapacity is the maximum number of log lines that wait to be written.
const logQueueCapacity = 4096

// asyncWriter writes lines in a separate goroutine, so that a slow reader of the log blocks no
// caller. Lines that do not fit into the queue are dropped, and a log line reports their number.
type asyncWriter struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	done    chan struct{}
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	writer := &asyncWriter{lines: ring.New[[]byte]("log", logQueueCapacity), done: make(chan struct{})}
	go writer.run(out)
	return writer
}

// Write implements io.Writer: one call is one line. It never blocks.
func (w *asyncWriter) Write(line []byte) (int, error) {
	if !w.lines.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *asyncWriter) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines.Out() {
		if line == nil {
			return
		}
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(out, "time=%s level=warn event=log_lines_dropped count=%d\n", time.Now().Format(timeFormat), dropped)
		}
		_, _ = out.Write(line)
	}
}

// closeTimeout is the maximum time that close waits for a slow reader.
const closeTimeout = 200 * time.Millisecond

// close writes the queued lines, for at most closeTimeout.
func (w *asyncWriter) close() {
	w.lines.Offer(nil)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
