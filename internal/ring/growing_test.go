package ring

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestGrowingKeepsOrderAndDropsTheOldest(t *testing.T) {
	queue := NewGrowing[int]("test_growing", 3)
	for item := range 5 {
		queue.Displace(item)
	}
	<-queue.Ready()
	for _, expected := range []int{2, 3, 4} {
		item, found := queue.Take()
		assert.Assert(t, found)
		assert.Equal(t, item, expected)
	}
	_, found := queue.Take()
	assert.Assert(t, !found)
}

// Guards against a lost wake-up: an item that is added between the reader's last Take and its wait
// for Ready must wake the reader.
func TestGrowingWakesItsReaderForEachItem(t *testing.T) {
	queue := NewGrowing[int]("test_growing", 8)
	const items = 10000
	go func() {
		for item := range items {
			for queue.length() >= 8 {
			}
			queue.Displace(item)
		}
	}()
	for next := 0; next < items; {
		<-queue.Ready()
		for item, found := queue.Take(); found; item, found = queue.Take() {
			assert.Equal(t, item, next)
			next++
		}
	}
}

func (g *Growing[T]) length() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.items) - g.first
}

func TestGrowingTakesNoMemoryWhileItIsEmpty(t *testing.T) {
	queue := NewGrowing[int]("test_growing", 4096)
	assert.Equal(t, cap(queue.items), 0)
	for round := range 100 {
		for item := range 3 {
			queue.Displace(round*3 + item)
		}
		queue.Take()
		queue.Take()
	}
	assert.Assert(t, cap(queue.items) < 400, "capacity is %d for 100 waiting items", cap(queue.items))
	for _, found := queue.Take(); found; _, found = queue.Take() {
	}
	assert.Equal(t, cap(queue.items), 0)
}
