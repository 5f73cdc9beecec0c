package forward

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func readAll(source io.Reader) ([]event, error) {
	reader := newEventReader(source)
	var read []event
	for {
		next, err := reader.next()
		if err != nil {
			return read, err
		}
		next.raw = bytes.Clone(next.raw)
		read = append(read, next)
	}
}

func TestEventsAreSplitAtBlankLines(t *testing.T) {
	read, err := readAll(bytes.NewBufferString("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\n"))
	assert.Assert(t, errors.Is(err, io.EOF))
	assert.Equal(t, len(read), 3)
	assert.Equal(t, read[0].id, "1")
	assert.Equal(t, read[1].id, "2")
	assert.Equal(t, read[2].id, "")
}

func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	_, err := readAll(bytes.NewBufferString("id: 1\ndata: a\n\nid: 2\n"))
	assert.ErrorIs(t, err, errPartialEvent)
}

// Regardless of how the bytes arrive, the same events are read and no byte is lost.
func FuzzEventsDoNotDependOnHowBytesArrive(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\n\n\nx"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, wholeErr := readAll(bytes.NewReader(data))
		single, singleErr := readAll(iotest.OneByteReader(bytes.NewReader(data)))
		assert.Equal(t, len(whole), len(single))
		assert.Equal(t, errors.Is(wholeErr, io.EOF), errors.Is(singleErr, io.EOF))
		var joined []byte
		for position := range whole {
			assert.DeepEqual(t, whole[position].raw, single[position].raw)
			assert.Equal(t, whole[position].id, single[position].id)
			joined = append(joined, whole[position].raw...)
		}
		assert.Assert(t, bytes.HasPrefix(data, joined))
		if errors.Is(wholeErr, io.EOF) {
			assert.Equal(t, len(joined), len(data))
		}
	})
}
