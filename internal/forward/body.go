package forward

import (
	"errors"
	"io"
	"net/http"
)

const (
	// minimumBodyBuffer is the size of the first buffer of a body whose length is not known, in bytes.
	minimumBodyBuffer = 4 << 10
	// slowGrowthBytes is the size from which a buffer grows by a quarter, and no longer by its own size, so
	// that little of the memory for bodies is reserved and empty.
	slowGrowthBytes = 256 << 10
)

// readBody reads the whole body, because it is sent again if an engine rejects the request. Memory is reserved
// before it is read into, so that bodies that arrive at the same time respect the bound together; a body for which
// none is left is refused as soon as that is known.
func (r *request) readBody() *Refusal {
	limit := r.index.Document.Limits.MaximumBodyBytes
	if limit > 0 && r.incoming.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	}
	if r.incoming.Body == nil || r.incoming.ContentLength == 0 {
		return nil
	}
	refused := r.readSizedBody
	if r.incoming.ContentLength < 0 {
		refused = r.readUnsizedBody
	}
	if refused := refused(); refused != nil {
		return refused
	}
	r.pipeline.received.Add(int64(len(r.body)))
	return nil
}

func (r *request) readSizedBody() *Refusal {
	if !r.reserveBody(r.incoming.ContentLength) {
		return refuse(http.StatusServiceUnavailable, ReasonNoMemory)
	}
	body := make([]byte, r.incoming.ContentLength)
	if _, err := io.ReadFull(r.incoming.Body, body); err != nil {
		return refuse(http.StatusBadRequest, ReasonMalformed)
	}
	r.body = body
	return nil
}

// readUnsizedBody reads a body that arrives in chunks.
func (r *request) readUnsizedBody() *Refusal {
	limit := r.index.Document.Limits.MaximumBodyBytes
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, isReserved := r.growBody(body, limit)
			if !isReserved {
				return refuse(http.StatusServiceUnavailable, ReasonNoMemory)
			}
			body = grown
		}
		read, err := r.incoming.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+read]
		if limit > 0 && int64(len(body)) > limit {
			return refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge)
		}
		if errors.Is(err, io.EOF) {
			r.body = body
			return nil
		}
		if err != nil {
			return refuse(http.StatusBadRequest, ReasonMalformed)
		}
	}
}

// growBody returns a copy of a body with a larger buffer, and reports whether there is memory for it. The earlier
// buffer is garbage at once, so that only what is added is reserved.
func (r *request) growBody(body []byte, limit int64) ([]byte, bool) {
	capacity := max(minimumBodyBuffer, 2*int64(cap(body)))
	if cap(body) >= slowGrowthBytes {
		capacity = int64(cap(body)) * 5 / 4
	}
	if limit > 0 {
		// A byte more, so that the end of the longest body, or a longer one, is seen.
		capacity = min(capacity, limit+1)
	}
	if !r.reserveBody(capacity - int64(cap(body))) {
		return nil, false
	}
	grown := make([]byte, len(body), capacity)
	copy(grown, body)
	return grown, true
}

// reserveBody reserves memory for the body and reports whether there is enough.
func (r *request) reserveBody(bytes int64) bool {
	for {
		buffered := r.pipeline.buffered.Load()
		if buffered+bytes > r.pipeline.options.BufferedBytes {
			return false
		}
		if r.pipeline.buffered.CompareAndSwap(buffered, buffered+bytes) {
			r.bodyReserved += bytes
			return true
		}
	}
}

// releaseBody returns the memory that is reserved for the body.
func (r *request) releaseBody() { r.pipeline.buffered.Add(-r.bodyReserved) }
