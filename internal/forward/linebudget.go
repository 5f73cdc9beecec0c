package forward

import (
	"sync"
	"time"
)

// LineBudget bounds the log lines that are written per second. Safe for concurrent use.
type LineBudget struct {
	perSecond int
	mutex     sync.Mutex
	second    int64
	lines     int
	omitted   int
}

// NewLineBudget returns a budget of perSecond lines per second.
func NewLineBudget(perSecond int) *LineBudget { return &LineBudget{perSecond: perSecond} }

// Take reports whether one more line may be written now.
func (b *LineBudget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now := time.Now().Unix(); now != b.second {
		b.second, b.lines = now, 0
	}
	b.lines++
	if b.lines > b.perSecond {
		b.omitted++
		return false
	}
	return true
}

// TakeOmitted returns and resets the number of lines omitted since the last call.
func (b *LineBudget) TakeOmitted() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	omitted := b.omitted
	b.omitted = 0
	return omitted
}
