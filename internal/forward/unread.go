package forward

import (
	"errors"
	"io"
)

const (
	// responseMemoryShare is the share of the memory left for bodies and responses that one
	// buffered response may take, so that callers that don't read can't take all of it. Longer
	// responses are relayed as they arrive, at the pace at which the caller reads.
	responseMemoryShare = 1.0 / 8
	// minimumBufferedResponse is buffered of each response regardless of the memory left, so that a
	// short one that is interrupted can be requested again.
	minimumBufferedResponse = 4 << 10
)

// bufferedResponse is a response that is read completely before it is relayed, with its share of
// the memory for bodies and responses.
type bufferedResponse struct {
	pipeline *Pipeline
	bytes    []byte
}

// readResponse reads a response up to the size that may be buffered; isWhole indicates that this
// is all of it. Memory is reserved piece by piece before each is read, so that simultaneous
// responses respect the bound; beyond the bound each has minimumBufferedResponse. release returns
// the memory.
func (p *Pipeline) readResponse(body io.Reader) (response *bufferedResponse, isWhole bool, err error) {
	response = &bufferedResponse{pipeline: p, bytes: make([]byte, 0, minimumBufferedResponse)}
	p.buffered.Add(minimumBufferedResponse)
	for {
		if len(response.bytes) == cap(response.bytes) && !response.grow() {
			return response, false, nil
		}
		read, err := body.Read(response.bytes[len(response.bytes):cap(response.bytes)])
		response.bytes = response.bytes[:len(response.bytes)+read]
		if errors.Is(err, io.EOF) {
			return response, true, nil
		}
		if err != nil {
			return response, false, err
		}
	}
}

// grow doubles the capacity of the response within its share of the memory. It returns false if
// none is left.
func (b *bufferedResponse) grow() bool {
	capacity := cap(b.bytes)
	others := b.pipeline.buffered.Load() - int64(capacity)
	limit := min(maximumBufferedResponse, int(responseMemoryShare*float64(b.pipeline.options.BufferedBytes-others)))
	more := min(capacity, limit-capacity)
	if more <= 0 {
		return false
	}
	if b.pipeline.buffered.Add(int64(more)) > b.pipeline.options.BufferedBytes {
		b.pipeline.buffered.Add(-int64(more))
		return false
	}
	grown := make([]byte, len(b.bytes), capacity+more)
	copy(grown, b.bytes)
	b.bytes = grown
	return true
}

// release returns the memory.
func (b *bufferedResponse) release() { b.pipeline.buffered.Add(-int64(cap(b.bytes))) }
