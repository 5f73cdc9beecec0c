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

	"github.com/ravenway/ravenway/internal/lab/pathcheck"
)

// firstTry is a caller's first attempt at an entry node.
type firstTry struct {
	// sentAt and took are relative to the beginning of the traffic and to sentAt.
	sentAt, took   time.Duration
	id, node, path string
	status         int
	isServed       bool
}

// firstTries are the attempts of a period, from the callers' point of view.
type firstTries struct {
	// nodes are the entry nodes that get the attempts; nil means all.
	nodes []string
	mutex sync.Mutex
	tries []firstTry
}

// run sends requests of all kinds to random entry nodes for a time, and waits for their ends.
func (c *firstTries) run(l *rateLimitedFleet, random *rand.Rand, perSecond float64, duration time.Duration) {
	paths := []string{"/stream/x", "/resumable/x", "/safe/x", "/once/x"}
	entries := c.nodes
	if entries == nil {
		entries = l.MachineNames(false)
	}
	var running sync.WaitGroup
	for start := time.Now(); time.Since(start) < duration; time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		try := firstTry{sentAt: time.Since(start), node: entries[random.IntN(len(entries))], path: paths[random.IntN(len(paths))]}
		try.id = fmt.Sprintf("try-%d", random.Uint64())
		call := CallerRequest{ID: try.id, Path: try.path, Key: "key-one", Tokens: "1000,5", PromptPart: "part-" + strconv.Itoa(random.IntN(80)), Body: try.id}
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

// assertPartitionedNodesServe checks the service rule on partitioned entry nodes in a period.
func (c *firstTries) assertPartitionedNodesServe(t *testing.T, from, to time.Duration, partitioned map[string]bool) {
	t.Helper()
	sent, served := c.count(from, to, func(node string) bool { return partitioned[node] })
	otherSent, otherServed := c.count(from, to, func(node string) bool { return !partitioned[node] })
	t.Logf("partitioned nodes served %d of %d first attempts, the others %d of %d", served, sent, otherServed, otherSent)
	assert.Assert(t, sent > 0 && otherSent > 0)
	isBroken := pathcheck.IsBroken(pathcheck.Attempts{Sent: sent, Served: served}, pathcheck.Attempts{Sent: otherSent, Served: otherServed})
	assert.Check(t, !isBroken, "partitioned nodes served %d of %d first attempts, the others %d of %d", served, sent, otherServed, otherSent)
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

// partitionMode is how nodes lose their ways to engines.
type partitionMode struct {
	name  string
	begin func(l *rateLimitedFleet, nodes, engines []string)
}

// userTimeout is when a connection in a partition fails in the tests: the in-memory network has no
// time-outs of its own.
const userTimeout = 2200 * time.Millisecond

var partitionModes = []partitionMode{
	{"silent", func(l *rateLimitedFleet, nodes, engines []string) {
		l.Network.PartitionBetween(nodes, engines)
		l.goroutines.Go(func() {
			time.Sleep(userTimeout)
			l.Network.BreakConnectionsBetween(nodes, engines)
		})
	}},
	{"reset", func(l *rateLimitedFleet, nodes, engines []string) {
		l.Network.PartitionBetween(nodes, engines)
		l.Network.BreakConnectionsBetween(nodes, engines)
	}},
	{"reset_and_refused", func(l *rateLimitedFleet, nodes, engines []string) {
		l.Network.RefuseBetween(nodes, engines)
		l.Network.BreakConnectionsBetween(nodes, engines)
	}},
	{"only_new_connections_refused", func(l *rateLimitedFleet, nodes, engines []string) { l.Network.RefuseBetween(nodes, engines) }},
	{"one_way", func(l *rateLimitedFleet, nodes, engines []string) {
		for _, node := range nodes {
			for _, engine := range engines {
				l.Network.PartitionOneWay(engine, node)
			}
		}
	}},
}

// silentPartition is the mode of tests that need only one.
var silentPartition = partitionModes[0]

// setOf returns the set of some names.
func setOf(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

const (
	partitionBegins = 2 * time.Second
	partitionLasts  = 12 * time.Second
)

// runPartition sends first attempts while some nodes are partitioned from some engines for
// partitionLasts.
func (l *rateLimitedFleet) runPartition(mode partitionMode, nodes, engines []string, seed uint64) *firstTries {
	l.goroutines.Go(func() {
		time.Sleep(partitionBegins)
		mode.begin(l, nodes, engines)
		time.Sleep(partitionLasts)
		l.Network.Heal()
	})
	tries := &firstTries{}
	tries.run(l, rand.New(rand.NewPCG(57, seed)), 60, partitionBegins+partitionLasts+3*time.Second)
	return tries
}

// assertRunsAtMostOnce checks that no request ran twice that may not be repeated.
func (f *Fleet) assertRunsAtMostOnce(t *testing.T, tries *firstTries) {
	t.Helper()
	runs := map[string]int{}
	for _, run := range f.GroundTruth.Runs() {
		runs[run.Request]++
	}
	for _, try := range tries.tries {
		isUnsafe := try.path == "/once/x" || try.path == "/stream/x"
		assert.Check(t, !isUnsafe || runs[try.id] <= 1, "%s to %s ran %d times", try.id, try.path, runs[try.id])
		isPromise := try.status == http.StatusServiceUnavailable || try.status == http.StatusTooManyRequests
		assert.Check(t, !isPromise || !isUnsafe || runs[try.id] == 0, "%s to %s was refused as not run, and ran", try.id, try.path)
	}
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
				tries := l.runPartition(silentPartition, partitioned, l.engineMachines(), 1)
				tries.assertPartitionedNodesServe(t, partitionBegins+pathcheck.ReactionTime, partitionBegins+partitionLasts, setOf(partitioned))
			})
		})
	}
}

const (
	// relayReactionTime is how long after the beginning of a partition the partitioned nodes are to
	// serve like the others, and allowedDifference by how much less of the first attempts.
	relayReactionTime = time.Second
	allowedDifference = 0.05
)

// Guards against partitioned nodes that serve worse than the others, for each number of partitioned
// nodes and each way in which connections fail, and against unsafe requests that run twice.
func TestPartitionedNodesServeLikeTheOthers(t *testing.T) {
	orders := map[string][]string{
		"zone_by_zone": {"entry-0", "entry-3", "entry-6", "entry-1", "entry-4", "entry-7", "entry-2", "entry-5"},
		"mixed":        {"entry-0", "entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7"},
	}
	for orderName, order := range orders {
		for count := 1; count < len(order); count++ {
			for _, mode := range partitionModes {
				if mode.name != silentPartition.name && (orderName != "mixed" || count%2 == 0) {
					continue
				}
				t.Run(fmt.Sprintf("%s/%d/%s", orderName, count, mode.name), func(t *testing.T) {
					withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
						partitioned := setOf(order[:count])
						tries := l.runPartition(mode, order[:count], l.engineMachines(), uint64(count))
						tries.assertServedAlike(t, partitionBegins+relayReactionTime, partitionBegins+partitionLasts, partitioned)
						l.assertRunsAtMostOnce(t, tries)
					})
				})
			}
		}
	}
}

// assertServedAlike checks that partitioned nodes serve nearly the share of first attempts that the
// others serve.
func (c *firstTries) assertServedAlike(t *testing.T, from, to time.Duration, partitioned map[string]bool) {
	t.Helper()
	sent, served := c.count(from, to, func(node string) bool { return partitioned[node] })
	otherSent, otherServed := c.count(from, to, func(node string) bool { return !partitioned[node] })
	share, otherShare := float64(served)/float64(sent), float64(otherServed)/float64(otherSent)
	assert.Check(t, share >= otherShare-allowedDifference, "partitioned nodes served %d of %d first attempts, the others %d of %d: %v", served, sent, otherServed, otherSent, c.describeFailures(from, to))
}

// describeFailures counts the attempts that were not served, by node, path and status.
func (c *firstTries) describeFailures(from, to time.Duration) map[string]int {
	failures := map[string]int{}
	for _, try := range c.tries {
		if !try.isServed && try.sentAt >= from && try.sentAt < to {
			failures[fmt.Sprintf("%s %s %d after %s", try.node, try.path, try.status, try.took.Round(100*time.Millisecond))]++
		}
	}
	return failures
}
