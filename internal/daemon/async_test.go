package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks each write until released is closed.
type blockedWriter struct {
	released chan struct{}
	mutex    sync.Mutex
	written  bytes.Buffer
}

func (b *blockedWriter) Write(line []byte) (int, error) {
	<-b.released
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.written.Write(line)
}

func TestSlowLogReaderDoesNotBlockAndDroppedLinesAreReported(t *testing.T) {
	output := &blockedWriter{released: make(chan struct{})}
	writer := newAsyncWriter(output)
	for number := range logQueueCapacity + 100 {
		_, err := fmt.Fprintf(writer, "line %d\n", number)
		assert.NilError(t, err)
	}
	close(output.released)
	<-drained(writer)
	writer.close()
	output.mutex.Lock()
	defer output.mutex.Unlock()
	assert.Assert(t, strings.Contains(output.written.String(), "line 0\n"))
	assert.Assert(t, strings.Contains(output.written.String(), "event=log_lines_dropped count="))
}

// drained returns a channel that is closed once the queue of lines is empty.
func drained(writer *asyncWriter) chan struct{} {
	empty := make(chan struct{})
	go func() {
		for writer.lines.Length() > 0 {
		}
		close(empty)
	}()
	return empty
}
