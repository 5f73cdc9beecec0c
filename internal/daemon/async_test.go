package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// slowReader blocks each write until letGo is closed.
type slowReader struct {
	letGo chan struct{}
	mutex sync.Mutex
	got   bytes.Buffer
}

func (s *slowReader) Write(line []byte) (int, error) {
	<-s.letGo
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.got.Write(line)
}

func TestSlowReaderOfTheLogHoldsNobodyUpAndIsToldWhatItMissed(t *testing.T) {
	reader := &slowReader{letGo: make(chan struct{})}
	writer := newAsyncWriter(reader)
	for number := range asyncLines + 100 {
		_, err := fmt.Fprintf(writer, "line %d\n", number)
		assert.NilError(t, err)
	}
	close(reader.letGo)
	<-drained(writer)
	writer.close()
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	assert.Assert(t, strings.Contains(reader.got.String(), "line 0\n"))
	assert.Assert(t, strings.Contains(reader.got.String(), "event=log_lines_dropped count="))
}

// drained returns a channel that is closed once the queue of lines is empty.
func drained(writer *asyncWriter) chan struct{} {
	ended := make(chan struct{})
	go func() {
		for writer.lines.Length() > 0 {
		}
		close(ended)
	}()
	return ended
}
