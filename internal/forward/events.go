package forward

import (
	"bytes"
	"errors"
	"io"
)

// errPartialEvent means that a stream ended in the middle of an event.
var errPartialEvent = errors.New("forward: the stream ended in the middle of an event")

// event is one block of a stream, with its closing blank line.
type event struct {
	raw []byte
	// id is the event's id, or "".
	id string
	// isFiller indicates that the block has no field: it is a blank line, or consists of comments.
	isFiller bool
}

// eventReader splits a stream (text/event-stream) into events. It examines each byte once, however the bytes
// arrive.
type eventReader struct {
	source io.Reader
	buffer []byte
	// start is the index of the first unread byte, lineStart that of the first line that is not complete
	// yet, and searched the end of the bytes that hold no further end of a line.
	start, lineStart, searched int
	// hasField indicates that a complete line of the block at start is a field.
	hasField bool
	// blockEnd is the end of the block at start once it is complete, otherwise 0.
	blockEnd int
	// fillerBytes is the size of the blocks without a field since the last event.
	fillerBytes int
	readErr     error
	chunk       []byte
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, chunk: make([]byte, readBufferBytes)}
}

// next returns the next complete block. The error is io.EOF if the stream ended after a complete one.
func (r *eventReader) next() (event, error) {
	for {
		if r.findBlock() {
			return r.takeBlock()
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

// takeBlock returns the complete block at start and moves on to the next one.
func (r *eventReader) takeBlock() (event, error) {
	raw := r.buffer[r.start:r.blockEnd]
	taken := event{raw: raw, isFiller: !r.hasField}
	r.start, r.lineStart, r.blockEnd, r.hasField = r.blockEnd, r.blockEnd, 0, false
	if !taken.isFiller {
		r.fillerBytes = 0
		taken.id = eventID(raw)
		return taken, nil
	}
	if r.fillerBytes += len(raw); r.fillerBytes > maximumEventBytes {
		return event{}, errTooMuchBetweenEvents
	}
	return taken, nil
}

// hasBuffered reports whether another complete block is available without reading from the source.
func (r *eventReader) hasBuffered() bool { return r.findBlock() }

func (r *eventReader) fill() {
	// The buffer of previously returned events is reused here: the caller is done with them.
	r.buffer = append(r.buffer[:0], r.buffer[r.start:]...)
	r.lineStart -= r.start
	r.searched -= r.start
	r.start = 0
	read, err := r.source.Read(r.chunk)
	r.buffer = append(r.buffer, r.chunk[:read]...)
	r.readErr = err
}

// findBlock looks for the end of the block at start in the bytes that were not searched yet, and reports
// whether the block is complete.
func (r *eventReader) findBlock() bool {
	for r.blockEnd == 0 {
		length := bytes.IndexByte(r.buffer[r.searched:], '\n')
		if length < 0 {
			r.searched = len(r.buffer)
			return false
		}
		end := r.searched + length
		line := bytes.TrimSuffix(r.buffer[r.lineStart:end], []byte("\r"))
		r.lineStart, r.searched = end+1, end+1
		switch {
		case len(line) == 0:
			r.blockEnd = end + 1
		case line[0] != ':':
			r.hasField = true
		}
	}
	return true
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
