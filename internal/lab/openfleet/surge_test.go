package openfleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The tests of this file play a balancer that hands most new connections of a region to one entry node for some
// seconds, over links that the usual requests of a node fill to a fifth.

const (
	surgeLinkMbps = 10
	// surgeBodyBytes is the size of a request's body, which passes the link once in each direction.
	surgeBodyBytes = 50_000
	// surgeNodeRate is the usual number of requests a second at each node.
	surgeNodeRate = 5
	// surgeFactor is how many more connections callers open during the surge.
	surgeFactor = 1.3
	// usualTime is the time before the surge, surgeTime its length, and contactTime the time from its start
	// after which requests count.
	usualTime, surgeTime, contactTime = 12 * time.Second, 10 * time.Second, 3 * time.Second
	// timelyResponse is the time within which a response is useful.
	timelyResponse = time.Second
	// balancerInterval is the time between two polls of a node's readiness, of which the second miss in a row
	// takes it out.
	balancerInterval = time.Second
	// surgeRetries is how often a caller retries after a connection that was closed unread.
	surgeRetries = 2
)

// balancer is a stand-in for the platform's balancer.
type balancer struct {
	fleet   *Fleet
	entries []string
	random  *rand.Rand
	mutex   sync.Mutex
	// missed counts the missed polls in a row of each node.
	missed map[string]int
	// isSurge is set while all new connections go to one node.
	isSurge bool
}

// poll polls the nodes until the fleet ends.
func (b *balancer) poll() {
	for b.fleet.ctx.Err() == nil {
		for _, name := range b.entries {
			isReady := b.fleet.Ready(name)
			b.mutex.Lock()
			if b.missed[name]++; isReady {
				b.missed[name] = 0
			}
			b.mutex.Unlock()
		}
		time.Sleep(balancerInterval)
	}
}

// listed returns the nodes that get new connections. The caller holds the mutex.
func (b *balancer) listed() []string {
	listed := slices.DeleteFunc(slices.Clone(b.entries), func(name string) bool { return b.missed[name] >= 2 })
	if 2*len(listed) < len(b.entries) {
		return b.entries
	}
	return listed
}

// choose returns the node of a new connection, other than those that a retry has met.
func (b *balancer) choose(met []string) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	listed := b.listed()
	if b.isSurge && len(met) == 0 {
		return listed[0]
	}
	listed = slices.DeleteFunc(slices.Clone(listed), func(name string) bool { return slices.Contains(met, name) })
	return listed[b.random.IntN(len(listed))]
}

// surgeTally counts what happened to the requests of a span of time.
type surgeTally struct {
	mutex sync.Mutex
	// sent counts the requests, read the attempts that a node read, served those of them that were served in
	// time, and unread the attempts whose connection was closed unread.
	sent, read, served, unread int
}

func (t *surgeTally) String() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return fmt.Sprintf("of %d requests %d were read and %d of them served in time, %d connections were closed unread", t.sent, t.read, t.served, t.unread)
}

func (t *surgeTally) add(read, served, unread int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sent++
	t.read += read
	t.served += served
	t.unread += unread
}

// share returns the share of the requests that were served in time at the first attempt that a node read.
func (t *surgeTally) share() float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return float64(t.served) / float64(max(1, t.sent))
}

// send sends a request, and again while its connections are closed unread.
func (b *balancer) send(id, path string, tally *surgeTally) {
	var met []string
	for unread := 0; unread <= surgeRetries; unread++ {
		node := b.choose(met)
		met = append(met, node)
		sentAt, attempt := time.Now(), fmt.Sprintf("%s-%d", id, unread)
		response, err := b.fleet.Request(node, CallerRequest{ID: attempt, Path: path, Key: "key-one", Tokens: "1000,5", Body: strings.Repeat("x", surgeBodyBytes)})
		if err != nil && !b.hasRun(attempt) {
			continue
		}
		served := 0
		if err == nil && response.Status == http.StatusOK && response.BodyError == nil && time.Since(sentAt) <= timelyResponse {
			served = 1
		}
		tally.add(1, served, unread)
		return
	}
	tally.add(0, 0, 1+surgeRetries)
}

// hasRun reports whether an attempt has reached an engine.
func (b *balancer) hasRun(attempt string) bool {
	return slices.ContainsFunc(b.fleet.GroundTruth.Runs(), func(run Run) bool { return run.Request == attempt })
}

// sendFor sends requests for a time and returns what happened to those after a delay.
func (b *balancer) sendFor(arrivals *rand.Rand, perSecond float64, duration, delay time.Duration) *surgeTally {
	tally, ignored := &surgeTally{}, &surgeTally{}
	paths := []string{"/safe/x", "/stream/x", "/resumable/x", "/once/x"}
	for start := time.Now(); time.Since(start) < duration; time.Sleep(time.Duration(arrivals.ExpFloat64() / perSecond * float64(time.Second))) {
		id, path, counted := fmt.Sprintf("call-%d", arrivals.Uint64()), paths[arrivals.IntN(len(paths))], ignored
		if time.Since(start) >= delay {
			counted = tally
		}
		b.fleet.goroutines.Go(func() { b.send(id, path, counted) })
	}
	return tally
}

// Guards against a node that reads more requests than its link can carry while most new connections of a region
// come to it. The balancer may be one to which a refused caller returns, as its setting says.
func TestRequestsThatAreReadAreServedWhileMostConnectionsComeToANodeWithASmallLink(t *testing.T) {
	for _, retriesReturn := range []bool{false, true} {
		t.Run(fmt.Sprintf("retries_return %v", retriesReturn), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := New(3, 9, rand.New(rand.NewPCG(1, 1)))
				defer f.Close()
				f.linkMbps, f.retriesReturn = surgeLinkMbps, retriesReturn
				startWithEngines(t, f)
				changed := configuration(2)
				changed.Tenants[0].Prepaid = 1 << 40
				assert.NilError(t, f.PutConfiguration(changed, 3*time.Second))
				for _, engine := range f.engines {
					engine.Update(func(e *Engine) { e.WorkTime = 20 * time.Millisecond })
				}
				time.Sleep(4 * time.Second)
				b := &balancer{fleet: f, entries: f.MachineNames(false), random: rand.New(rand.NewPCG(63, 1)), missed: map[string]int{}}
				f.goroutines.Go(b.poll)
				arrivals := rand.New(rand.NewPCG(63, 2))
				rate := float64(surgeNodeRate * len(b.entries))
				before := b.sendFor(arrivals, rate, usualTime, usualTime/2)
				b.mutex.Lock()
				b.isSurge = true
				b.mutex.Unlock()
				during := b.sendFor(arrivals, rate*surgeFactor, surgeTime, contactTime)
				time.Sleep(6 * time.Second)
				t.Logf("before: %s; in the surge: %s", before, during)
				assert.Assert(t, during.share() >= minimumOneNodeShare*before.share(), "%.3f of the requests were served at the first attempt that was read, %.3f before", during.share(), before.share())
			})
		})
	}
}
