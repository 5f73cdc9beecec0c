package node

import "sync"

// background counts the work that outlives the request it belongs to. Unlike with a sync.WaitGroup,
// new work may start while another goroutine waits.
type background struct {
	mutex   sync.Mutex
	running int
	// idle is signalled when the last running work ends.
	idle *sync.Cond
}

func newBackground() *background {
	counter := &background{}
	counter.idle = sync.NewCond(&counter.mutex)
	return counter
}

// start runs work in a new goroutine.
func (b *background) start(work func()) {
	b.mutex.Lock()
	b.running++
	b.mutex.Unlock()
	go func() {
		defer b.finish()
		work()
	}()
}

func (b *background) finish() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running--
	if b.running == 0 {
		b.idle.Broadcast()
	}
}

// wait blocks until no work is running.
func (b *background) wait() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for b.running > 0 {
		b.idle.Wait()
	}
}
