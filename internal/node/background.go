package node

import "sync"

// background counts work that outlives the request it came from. Unlike a
// sync.WaitGroup it may get new work while somebody waits.
type background struct {
	mutex   sync.Mutex
	running int
	// idle is signalled when nothing runs any more.
	idle *sync.Cond
}

func newBackground() *background {
	made := &background{}
	made.idle = sync.NewCond(&made.mutex)
	return made
}

// start runs work in a goroutine of its own.
func (b *background) start(work func()) {
	b.mutex.Lock()
	b.running++
	b.mutex.Unlock()
	go func() {
		defer b.ended()
		work()
	}()
}

func (b *background) ended() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running--
	if b.running == 0 {
		b.idle.Broadcast()
	}
}

// wait returns once nothing runs.
func (b *background) wait() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for b.running > 0 {
		b.idle.Wait()
	}
}
