package forward

import (
	"bytes"
	"errors"
	"io"
)

// maximumEventBytes bounds one event of a stream, in bytes.
const maximumEventBytes = 1 << 20

// errEventTooLong means that an engine sent an event of more than maximumEventBytes.
var errEventTooLong = errors.New("forward: an event of the stream is too long")

// errPartialEvent means that a stream ended in the middle of an event.
var errPartialEvent = errors.New("forward: the stream ended in the middle of an event")

// event is one event of a stream with its closing blank line.
type event struct {
	raw []byte
	// id is the event's id, or "".
	id string
}

// eventReader splits a stream (text/event-stream) into events.
type eventReader struct {
	source io.Reader
	buffer []byte
	// start is the index of the first unread byte.
	start   int
	readErr error
	chunk   []byte
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, chunk: make([]byte, readBufferBytes)}
}

// next returns the next complete event. The error is io.EOF if the stream ended after a complete
// event.
func (r *eventReader) next() (event, error) {
	for {
		if length := eventLength(r.buffer[r.start:]); length > 0 {
			raw := r.buffer[r.start : r.start+length]
			r.start += length
			return event{raw: raw, id: eventID(raw)}, nil
		}
		if r.readErr != nil {
			if errors.Is(r.readErr, io.EOF) && len(r.buffer) > r.start {
				return event{}, errPartialEvent
			}
			return event{}, r.readErr
		}
		if len(r.buffer)-r.start > maximumEventBytes {
			return event{}, errEventTooLong
		}
		r.fill()
	}
}

// hasBuffered reports whether another complete event is available without reading from the source.
func (r *eventReader) hasBuffered() bool { return eventLength(r.buffer[r.start:]) > 0 }

func (r *eventReader) fill() {
	// The buffer of previously returned events is reused here: the caller is done with them.
	r.buffer = append(r.buffer[:0], r.buffer[r.start:]...)
	r.start = 0
	read, err := r.source.Read(r.chunk)
	r.buffer = append(r.buffer, r.chunk[:read]...)
	r.readErr = err
}

// eventLength returns the length of the first complete event, or 0.
func eventLength(data []byte) int {
	for offset := 0; offset < len(data); {
		end := bytes.IndexByte(data[offset:], '\n')
		if end < 0 {
			return 0
		}
		line := bytes.TrimSuffix(data[offset:offset+end], []byte("\r"))
		offset += end + 1
		if len(line) == 0 {
			return offset
		}
	}
	return 0
}

func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return ""
}
