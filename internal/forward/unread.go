package forward

import (
	"errors"
	"io"
	"time"
)

const (
	// An answer that is read whole before the caller gets it takes at most this part of the
	// memory that is left for bodies and answers, so that callers who don't read can't take
	// all of it; what is longer is passed on as it comes, at the pace at which it is read.
	answerShare = 1.0 / 8
	// leastBufferedAnswer is kept of each answer all the same, so that a short one that breaks
	// off can be had anew.
	leastBufferedAnswer = 4 << 10
)

// awaitReader gives the caller its time to read what is written next. A connection whose
// caller does not read is closed after that, and its engine is freed.
func (r *request) awaitReader() {
	// A writer without deadlines is a test's.
	_ = r.controller.SetWriteDeadline(time.Now().Add(r.pipeline.options.UnreadPatience))
}

// heldAnswer is an answer that is read whole before the caller gets it, and its part of the
// memory for bodies and answers.
type heldAnswer struct {
	pipeline *Pipeline
	bytes    []byte
}

// readAnswer reads an answer as far as it may be held; isWhole tells that this is all of it.
// The memory is taken piece by piece before each is read, so that answers which come
// together keep the bound: beyond it each has leastBufferedAnswer. release gives it back.
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

// grow doubles what the answer may hold, as far as its part of the memory allows. It returns
// false if that is all taken.
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

// release gives the memory back.
func (a *heldAnswer) release() { a.pipeline.buffered.Add(-int64(cap(a.bytes))) }
