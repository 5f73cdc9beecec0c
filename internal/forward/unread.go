package forward

import (
	"errors"
	"io"
	"time"
)

const (
	// answerShare is the share of the memory left for bodies and responses that one buffered
	// response may take, so that callers that don't read can't take all of it. Longer responses
	// are relayed as they arrive, at the pace at which the caller reads.
	answerShare = 1.0 / 8
	// leastBufferedAnswer is buffered of each response regardless of the memory left, so that a
	// short one that is interrupted can be requested again.
	leastBufferedAnswer = 4 << 10
)

// awaitReader sets the time that the caller has to read the next data written. If it does not
// read, the connection is closed after that time and its engine is freed.
func (r *request) awaitReader() {
	// Only writers in tests don't support deadlines.
	_ = r.controller.SetWriteDeadline(time.Now().Add(r.pipeline.options.UnreadPatience))
}

// heldAnswer is a response that is read completely before it is relayed, with its share of the
// memory for bodies and responses.
type heldAnswer struct {
	pipeline *Pipeline
	bytes    []byte
}

// readAnswer reads a response up to the size that may be buffered; isWhole indicates that this is
// all of it. Memory is reserved piece by piece before each is read, so that simultaneous
// responses respect the bound; beyond the bound each has leastBufferedAnswer. release returns the
// memory.
func (p *Pipeline) readAnswer(body io.Reader) (answer *heldAnswer, isWhole bool, err error) {
	answer = &heldAnswer{pipeline: p, bytes: make([]byte, 0, leastBufferedAnswer)}
	p.buffered.Add(leastBufferedAnswer)
	for {
		if len(answer.bytes) == cap(answer.bytes) && !answer.grow() {
			return answer, false, nil
		}
		read, err := body.Read(answer.bytes[len(answer.bytes):cap(answer.bytes)])
		answer.bytes = answer.bytes[:len(answer.bytes)+read]
		if errors.Is(err, io.EOF) {
			return answer, true, nil
		}
		if err != nil {
			return answer, false, err
		}
	}
}

// grow doubles the capacity of the response within its share of the memory. It returns false if
// none is left.
func (a *heldAnswer) grow() bool {
	held := cap(a.bytes)
	others := a.pipeline.buffered.Load() - int64(held)
	limit := min(bufferedAnswerBytes, int(answerShare*float64(a.pipeline.options.BufferedBytes-others)))
	more := min(held, limit-held)
	if more <= 0 {
		return false
	}
	if a.pipeline.buffered.Add(int64(more)) > a.pipeline.options.BufferedBytes {
		a.pipeline.buffered.Add(-int64(more))
		return false
	}
	grown := make([]byte, len(a.bytes), held+more)
	copy(grown, a.bytes)
	a.bytes = grown
	return true
}

// release returns the memory.
func (a *heldAnswer) release() { a.pipeline.buffered.Add(-int64(cap(a.bytes))) }
