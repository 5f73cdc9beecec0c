package openfleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// firstTry is a caller's first attempt at an entry node.
type firstTry struct {
	// sentAt and took are relative to the beginning of the traffic and to sentAt.
	sentAt, took time.Duration
	node, path   string
	status       int
	isServed     bool
}

// firstTries are the attempts of a period, from the callers' point of view.
type firstTries struct {
	mutex sync.Mutex
	tries []firstTry
}

// run sends requests of all kinds to random entry nodes for a time, and waits for their ends.
func (c *firstTries) run(l *rateLimitedFleet, random *rand.Rand, perSecond float64, duration time.Duration) {
	paths := []string{"/stream/x", "/resumable/x", "/safe/x", "/once/x"}
	entries := l.MachineNames(false)
	var running sync.WaitGroup
	for start := time.Now(); time.Since(start) < duration; time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		try := firstTry{sentAt: time.Since(start), node: entries[random.IntN(len(entries))], path: paths[random.IntN(len(paths))]}
		call := CallerRequest{ID: fmt.Sprintf("try-%d", random.Uint64()), Path: try.path, Key: "key-one", Tokens: "1000,5", PromptPart: "part-" + strconv.Itoa(random.IntN(80))}
		running.Go(func() {
			response, err := l.Request(try.node, call)
			try.took, try.status = time.Since(start)-try.sentAt, response.Status
			try.isServed = err == nil && response.BodyError == nil && response.Status == http.StatusOK
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.tries = append(c.tries, try)
		})
	}
	running.Wait()
}

// count returns the number of attempts between two times at the nodes that the filter accepts, and
// how many of them were served.
func (c *firstTries) count(from, to time.Duration, accept func(node string) bool) (sent, served int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, try := range c.tries {
		if try.sentAt < from || try.sentAt >= to || !accept(try.node) {
			continue
		}
		sent++
		if try.isServed {
			served++
		}
	}
	return sent, served
}

const (
	// partitionReactionTime is how long after the beginning of a partition the service rule on
	// partitioned entry nodes holds.
	partitionReactionTime = 3 * time.Second
	// minimumServedRatio is the least ratio of the shares of first attempts that partitioned nodes
	// and the others serve. The rule allows allowedFailures and a share of all attempts to fail.
	minimumServedRatio   = 2.0 / 3
	allowedFailures      = 10
	allowedFailuresShare = 1.0 / 50
)

// assertPartitionedNodesServe checks the service rule on partitioned entry nodes in a period.
func (c *firstTries) assertPartitionedNodesServe(t *testing.T, from, to time.Duration, partitioned map[string]bool) {
	t.Helper()
	sent, served := c.count(from, to, func(node string) bool { return partitioned[node] })
	otherSent, otherServed := c.count(from, to, func(node string) bool { return !partitioned[node] })
	t.Logf("partitioned nodes served %d of %d first attempts, the others %d of %d", served, sent, otherServed, otherSent)
	assert.Assert(t, sent > 0 && otherSent > 0)
	isServedLess := float64(served)*float64(otherSent) < minimumServedRatio*float64(otherServed)*float64(sent)
	failsMore := float64(sent-served) > allowedFailures+allowedFailuresShare*float64(sent+otherSent)
	assert.Check(t, !isServedLess || !failsMore, "partitioned nodes served %d of %d first attempts, the others %d of %d", served, sent, otherServed, otherSent)
}

// engineMachines returns the names of all engines' machines.
func (f *Fleet) engineMachines() []string {
	f.enginesMutex.Lock()
	defer f.enginesMutex.Unlock()
	var names []string
	for id := range f.engines {
		names = append(names, id)
	}
	return names
}

// Guards against entry nodes that refuse their callers while they are partitioned from all engines,
// although other entry nodes reach them.
func TestNodesPartitionedFromAllEnginesServeTheirCallers(t *testing.T) {
	for name, partitioned := range map[string][]string{
		"five_of_eight": {"entry-0", "entry-1", "entry-3", "entry-4", "entry-5"},
		"a_whole_zone":  {"entry-1", "entry-4", "entry-7"},
		"one":           {"entry-2"},
	} {
		t.Run(name, func(t *testing.T) {
			withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
				isPartitioned := map[string]bool{}
				for _, node := range partitioned {
					isPartitioned[node] = true
				}
				const lasting = 12 * time.Second
				partitionsAt := 2 * time.Second
				l.goroutines.Go(func() {
					time.Sleep(partitionsAt)
					l.Network.PartitionBetween(partitioned, l.engineMachines())
					time.Sleep(lasting)
					l.Network.Heal()
				})
				tries := &firstTries{}
				tries.run(l, rand.New(rand.NewPCG(57, 1)), 60, partitionsAt+lasting+3*time.Second)
				tries.assertPartitionedNodesServe(t, partitionsAt+partitionReactionTime, partitionsAt+lasting, isPartitioned)
			})
		})
	}
}
