// Package simulate runs the coordination code in deterministic virtual time, with seeded faults:
// delayed, lost, duplicated and reordered messages, network partitions, frozen and killed nodes,
// and disks that lose unsynced data. Each simulation checks the invariants of its mechanism at
// every step and reports the first one that is violated.
package simulate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// World is a discrete event simulation: events run in the order of their due times in virtual
// time.
type World struct {
	Now    time.Duration
	Random *rand.Rand
	// Steps counts the events that ran.
	Steps int
	// Faults counts the injected faults by kind.
	Faults map[string]int
	// Checks counts the invariant checks.
	Checks int
	// Violation is the first violated invariant, or nil.
	Violation error

	events   eventHeap
	sequence uint64
}

// NewWorld returns a world at time zero. The seed determines the whole run.
func NewWorld(seed uint64) *World {
	return &World{Random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), Faults: map[string]int{}}
}

// After schedules an action to run after a delay.
func (w *World) After(delay time.Duration, action func()) {
	w.sequence++
	heap.Push(&w.events, event{due: w.Now + delay, sequence: w.sequence, action: action})
}

// Every runs an action at each interval until it returns false.
func (w *World) Every(interval time.Duration, action func() bool) {
	w.After(interval, func() {
		if action() {
			w.Every(interval, action)
		}
	})
}

// RunUntil runs all events that are due up to the given time, or until an invariant is violated.
func (w *World) RunUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].due <= end && w.Violation == nil {
		next := heap.Pop(&w.events).(event)
		w.Now = next.due
		w.Steps++
		next.action()
	}
	if w.Violation == nil {
		w.Now = end
	}
}

// Check records an invariant check; broken is nil if the invariant holds.
func (w *World) Check(broken error) {
	w.Checks++
	if broken != nil && w.Violation == nil {
		w.Violation = fmt.Errorf("at %v: %w", w.Now, broken)
	}
}

// Between draws a uniformly distributed duration in [low, high].
func (w *World) Between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.Random.Int64N(int64(high-low)+1))
}

// Chance returns true with the given probability.
func (w *World) Chance(probability float64) bool {
	return w.Random.Float64() < probability
}

// Fault counts an injected fault.
func (w *World) Fault(kind string) {
	w.Faults[kind]++
}

// FaultSummary lists the number of injected faults by kind.
func (w *World) FaultSummary() string {
	var parts []string
	for kind, count := range w.Faults {
		parts = append(parts, fmt.Sprintf("%s=%d", kind, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

type event struct {
	due      time.Duration
	sequence uint64
	action   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(value any) { *h = append(*h, value.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Network delivers messages between named nodes and can delay, lose, duplicate or block them.
type Network struct {
	world *World
	// MinimumDelay and MaximumDelay bound the one-way delay.
	MinimumDelay, MaximumDelay time.Duration
	// Loss and Duplication are the probabilities that a message is lost or delivered twice.
	Loss, Duplication float64
	// blocked holds the directed pairs of nodes between which all messages are lost.
	blocked map[link]bool
	// Messages counts the messages sent.
	Messages int
}

type link struct{ from, to string }

// NewNetwork returns a network without faults whose delays are those within a zone.
func NewNetwork(world *World) *Network {
	return &Network{
		world: world, MinimumDelay: 200 * time.Microsecond, MaximumDelay: 2 * time.Millisecond,
		blocked: map[link]bool{},
	}
}

// Send delivers a message after a delay: once, twice if it is duplicated, or never if it is lost.
func (n *Network) Send(from, to string, deliver func()) {
	n.Messages++
	copies := 1
	if from != to {
		if n.world.Chance(n.Loss) {
			n.world.Fault("lost")
			return
		}
		if n.world.Chance(n.Duplication) {
			n.world.Fault("doubled")
			copies = 2
		}
	}
	for range copies {
		n.world.After(n.world.Between(n.MinimumDelay, n.MaximumDelay), func() {
			if !n.blocked[link{from, to}] {
				deliver()
			}
		})
	}
}

// PartitionOneWay drops all messages from one node to another until Heal.
func (n *Network) PartitionOneWay(from, to string) { n.blocked[link{from, to}] = true }

// Partition partitions two groups of nodes from each other in both directions.
func (n *Network) Partition(left, right []string) {
	for _, one := range left {
		for _, other := range right {
			n.PartitionOneWay(one, other)
			n.PartitionOneWay(other, one)
		}
	}
}

// Heal ends all partitions.
func (n *Network) Heal() { n.blocked = map[link]bool{} }

// Reachable reports whether messages from one node reach another.
func (n *Network) Reachable(from, to string) bool { return !n.blocked[link{from, to}] }

func sortNames(names []string) { sort.Strings(names) }
