package forward

import "time"

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

// answerLimit is the size up to which an answer is read whole before the caller gets it.
func (p *Pipeline) answerLimit() int {
	left := max(0, p.options.BufferedBytes-p.buffered.Load())
	return min(bufferedAnswerBytes, max(leastBufferedAnswer, int(answerShare*float64(left))))
}
