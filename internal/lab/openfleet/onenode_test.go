package openfleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/state/document"
)

// The tests of this file guard against an entry node that serves fewer of its requests because it gets the new
// connections of all callers for some seconds: what nodes divide among themselves must follow the requests.

const (
	// spreadTime is the time in which requests come at all entry nodes, and oneNodeTime that in which they
	// come at one.
	spreadTime, oneNodeTime = 6 * time.Second, 8 * time.Second
	// oneNodeRate is the number of requests a second.
	oneNodeRate = 60
	// shareFollowsWithin is the time from the change within which the node must serve its requests.
	shareFollowsWithin = 3 * time.Second
	// minimumOneNodeShare is the share of the requests that must be served at the one node, of the share
	// before.
	minimumOneNodeShare = 0.95
)

// callerTally counts what happened to the requests of one span of time.
type callerTally struct {
	mutex        sync.Mutex
	sent, served int
	reasons      map[string]int
}

func (c *callerTally) add(response CallerResponse, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent++
	if err == nil && response.Status == http.StatusOK && response.BodyError == nil {
		c.served++
		return
	}
	var refusal struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal([]byte(response.Body), &refusal)
	c.reasons[strconv.Itoa(response.Status)+" "+refusal.Error]++
}

// servedRequests returns how many requests were served.
func (c *callerTally) servedRequests() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.served
}

func (c *callerTally) share() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return float64(c.served) / float64(max(1, c.sent))
}

// sendAt sends requests to nodes that choose picks, for a time, and counts those after a delay.
func (l *rateLimitedFleet) sendAt(random *rand.Rand, perSecond float64, duration, delay time.Duration, choose func() string) *callerTally {
	tally := &callerTally{reasons: map[string]int{}}
	paths := []string{"/safe/x", "/stream/x", "/resumable/x", "/once/x"}
	for start := time.Now(); time.Since(start) < duration; time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		id, path, part := fmt.Sprintf("call-%d", random.Uint64()), paths[random.IntN(len(paths))], "part-"+strconv.Itoa(random.IntN(80))+",own"
		name, counts := choose(), time.Since(start) >= delay
		l.goroutines.Go(func() {
			response, err := l.Request(name, CallerRequest{ID: id, Path: path, Key: "key-one", Tokens: "1000,5", PromptPart: part})
			if counts {
				tally.add(response, err)
			}
		})
	}
	return tally
}

func TestRequestsAreServedWhileTheyAllComeAtOneNode(t *testing.T) {
	for name, prepare := range map[string]func(l *rateLimitedFleet, changed *document.Document){
		"without limits": func(*rateLimitedFleet, *document.Document) {},
		"connection limits": func(_ *rateLimitedFleet, changed *document.Document) {
			changed.Services[2].MaximumConnections = 8
		},
		"brittle engines": func(l *rateLimitedFleet, _ *document.Document) {
			l.setEngines(func(e *Engine) { e.Room, e.Brittle = brittleSlots, "2" })
		},
		"a budget that is used up within minutes": func(_ *rateLimitedFleet, changed *document.Document) {
			changed.Tenants[0].Prepaid = oneNodeRate * 1005 * 60
		},
		"a budget that is nearly used up": func(_ *rateLimitedFleet, changed *document.Document) {
			changed.Tenants[0].Prepaid = oneNodeRate * 1005 * uint64((spreadTime + oneNodeTime + 6*time.Second).Seconds())
		},
	} {
		t.Run(name, func(t *testing.T) {
			withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
				changed, err := l.ReadConfiguration("control-0")
				assert.NilError(t, err)
				changed.Version++
				prepare(l, changed)
				assert.NilError(t, l.PutConfiguration(changed, 3*time.Second))
				random, entries := rand.New(rand.NewPCG(63, 2)), l.MachineNames(false)
				before := l.sendAt(random, oneNodeRate, spreadTime, spreadTime/2, func() string { return entries[random.IntN(len(entries))] })
				during := l.sendAt(random, oneNodeRate, oneNodeTime, shareFollowsWithin, func() string { return entries[0] })
				time.Sleep(5 * time.Second)
				t.Logf("served %.3f before, %.3f at one node; not served before %v, at one node %v", before.share(), during.share(), before.reasons, during.reasons)
				assert.Assert(t, during.share() >= minimumOneNodeShare*before.share())
			})
		})
	}
}

// Guards against a node that is refused permits because all requests come to it. Some are refused in any case,
// when several arrive at once.
func TestRateLimitsOfEnginesServeAsManyRequestsThatAllComeAtOneNode(t *testing.T) {
	compareAtOneNode(t, 3, func(e *Engine) { e.RateLimit = "8" })
}

// Guards against a node that may retry less because all requests come to it: engines reject some at random, and
// more than the retries that a node may make by the number of its own requests.
func TestRetriesServeAsManyRequestsThatAllComeAtOneNode(t *testing.T) {
	compareAtOneNode(t, 6, func(e *Engine) { e.BareRejections = 1.0 / 3 })
}

// compareAtOneNode sends the same arrivals of several seeds to all nodes and to one, and compares how many are
// served.
func compareAtOneNode(t *testing.T, seeds uint64, prepare func(*Engine)) {
	t.Helper()
	var spread, atOne atomic.Int64
	t.Run("arrivals", func(t *testing.T) {
		for seed := range seeds {
			for _, one := range []struct {
				served *atomic.Int64
				nodes  int
			}{{&spread, 8}, {&atOne, 1}} {
				t.Run(fmt.Sprintf("%d at %d nodes", seed, one.nodes), func(t *testing.T) {
					withRateLimitedFleet(t, 8, func(_ *testing.T, l *rateLimitedFleet) {
						l.setEngines(prepare)
						arrivals, nodes := rand.New(rand.NewPCG(63, seed)), rand.New(rand.NewPCG(63, 100+seed))
						entries := l.MachineNames(false)
						l.sendAt(arrivals, oneNodeRate, spreadTime, 0, func() string { return entries[nodes.IntN(len(entries))] })
						tally := l.sendAt(arrivals, oneNodeRate, oneNodeTime, shareFollowsWithin, func() string { return entries[nodes.IntN(one.nodes)] })
						time.Sleep(5 * time.Second)
						one.served.Add(int64(tally.servedRequests()))
					})
				})
			}
		}
	})
	t.Logf("%d requests served at one node, %d of the same arrivals at all nodes", atOne.Load(), spread.Load())
	assert.Assert(t, float64(atOne.Load()) >= minimumOneNodeShare*float64(spread.Load()))
}
