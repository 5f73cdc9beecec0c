package openfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/state/document"
)

const (
	chaosRounds = 8
	// repairTime is the time that a wiped or replaced control node needs before another one may be
	// lost.
	repairTime   = 6 * time.Second
	callInterval = 40 * time.Millisecond
	// A chaos run with fewer requests or acknowledged versions than these is inconclusive.
	minimumRuns         = 50
	minimumAcknowledged = 8
	putInterval         = 300 * time.Millisecond
)

// Chaos runs callers, an operator and random faults against a fleet, and records each violation of
// the fleet's guarantees.
type Chaos struct {
	fleet         *Fleet
	random        *rand.Rand
	configuration func(version uint64) *document.Document

	mutex      sync.Mutex
	violations []string
	// acknowledged is the newest configuration version that was acknowledged; sent is the newest sent.
	acknowledged uint64
	sent         uint64
	// refused are the ids of requests that nodes refused as not run.
	refused map[string]bool
	// replaced is the number of control machines replaced.
	replaced int
}

// NewChaos returns a chaos run; configuration makes the document of a version.
func NewChaos(fleet *Fleet, seed uint64, configuration func(version uint64) *document.Document) *Chaos {
	return &Chaos{
		fleet: fleet, random: rand.New(rand.NewPCG(seed, 1)), configuration: configuration,
		acknowledged: 1, sent: 1, refused: map[string]bool{},
	}
}

func (c *Chaos) recordViolation(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// Run injects chaosRounds faults, one after the other, and returns the violations that were seen.
func (c *Chaos) Run() []string {
	ctx, cancel := context.WithCancel(c.fleet.ctx)
	var running sync.WaitGroup
	for number, name := range c.fleet.MachineNames(false) {
		running.Go(func() { c.runCaller(ctx, number, name) })
	}
	running.Go(func() { c.runOperator(ctx) })
	for range chaosRounds {
		c.injectFault()
	}
	c.fleet.Network.Heal()
	time.Sleep(repairTime)
	cancel()
	running.Wait()
	c.checkFinalState()
	return c.violations
}

// runCaller sends requests of all kinds to one entry node.
func (c *Chaos) runCaller(ctx context.Context, number int, name string) {
	paths := []string{"/safe/x", "/once/x", "/stream/x", "/resumable/x"}
	for turn := 0; ctx.Err() == nil; turn++ {
		path := paths[turn%len(paths)]
		id := fmt.Sprintf("c%d-%d", number, turn)
		limited, cancel := context.WithTimeout(ctx, 2*time.Second)
		response, err := c.fleet.Request(name, CallerRequest{ID: id, Path: path, Key: "key-one", Tokens: "10,5", Context: limited})
		cancel()
		if err == nil {
			c.checkResponse(id, path, response)
		}
		time.Sleep(callInterval)
	}
}

// checkResponse checks one response against the guarantees that callers have.
func (c *Chaos) checkResponse(id, path string, response CallerResponse) {
	switch response.Status {
	case http.StatusOK:
		if response.BodyError == nil && !strings.Contains(response.Body, id) {
			c.recordViolation("%s received the response of another request: %q", id, response.Body)
		}
		// Only a resumable stream must be complete whenever its body ends without an error.
		if response.BodyError == nil && strings.HasSuffix(path, "able/x") && strings.Count(response.Body, "data:") != 5 {
			c.recordViolation("%s received an incomplete stream without an error: %q", id, response.Body)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.mutex.Lock()
		c.refused[id] = true
		c.mutex.Unlock()
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusPaymentRequired:
		if response.Status != http.StatusPaymentRequired {
			c.recordViolation("%s was refused with unexpected status %d", id, response.Status)
		}
	}
}

// runOperator sends configurations and reads them back at each control node: no read may return a version
// older than one acknowledged before it.
func (c *Chaos) runOperator(ctx context.Context) {
	for turn := uint64(0); ctx.Err() == nil; turn++ {
		c.mutex.Lock()
		version, acknowledged := c.sent+1, c.acknowledged
		c.sent = version
		c.mutex.Unlock()
		if err := c.fleet.PutConfiguration(c.configuration(version), time.Second); err == nil {
			c.mutex.Lock()
			c.acknowledged = max(c.acknowledged, version)
			acknowledged = c.acknowledged
			c.mutex.Unlock()
		}
		for _, name := range c.fleet.MachineNames(true) {
			if c.fleet.Machine(name).running() == nil {
				continue
			}
			if read, err := c.fleet.ReadConfiguration(name); err == nil && (read == nil || read.Version < acknowledged) {
				c.recordViolation("%s read a version older than acknowledged version %d: %v", name, acknowledged, read)
			}
		}
		time.Sleep(putInterval)
	}
}

// injectFault injects one random fault and repairs it.
func (c *Chaos) injectFault() {
	controls, entries := c.liveControls(), c.fleet.MachineNames(false)
	control := controls[c.random.IntN(len(controls))]
	entry := entries[c.random.IntN(len(entries))]
	downtime := time.Duration(200+c.random.IntN(2500)) * time.Millisecond
	switch c.random.IntN(8) {
	case 0:
		c.fleet.Kill(entry)
		time.Sleep(downtime)
		c.fleet.Boot(entry)
	case 1:
		c.fleet.PowerOff(control)
		time.Sleep(downtime)
		c.fleet.Boot(control)
	case 2:
		c.fleet.PowerOff(control)
		c.fleet.Wipe(control)
		time.Sleep(downtime)
		c.fleet.Boot(control)
		time.Sleep(repairTime)
	case 3:
		c.powerOffAll(downtime)
	case 4:
		c.fleet.Network.PartitionBetween(controls, entries)
		time.Sleep(downtime)
		c.fleet.Network.Heal()
	case 5:
		others := []string{}
		for _, name := range controls {
			if name != control {
				others = append(others, name)
			}
		}
		c.fleet.Network.PartitionBetween([]string{control}, others)
		time.Sleep(downtime)
		c.fleet.Network.Heal()
	case 6:
		c.replaceControl(control)
	case 7:
		c.fleet.Stop(entry)
		c.fleet.Boot(entry)
	}
	time.Sleep(time.Duration(c.random.IntN(1500)) * time.Millisecond)
}

func (c *Chaos) liveControls() []string {
	var live []string
	for _, name := range c.fleet.MachineNames(true) {
		if c.fleet.Machine(name).running() != nil {
			live = append(live, name)
		}
	}
	return live
}

// powerOffAll cuts the power of all machines for a time.
func (c *Chaos) powerOffAll(downtime time.Duration) {
	names := append(c.liveControls(), c.fleet.MachineNames(false)...)
	for _, name := range names {
		c.fleet.PowerOff(name)
	}
	time.Sleep(downtime)
	for _, name := range names {
		c.fleet.Boot(name)
	}
}

// replaceControl loses a control machine for good and adds one with an empty disk at another address.
func (c *Chaos) replaceControl(lost string) {
	c.fleet.PowerOff(lost)
	c.fleet.MarkLost(lost)
	c.replaced++
	name := fmt.Sprintf("replacement-%d", c.replaced)
	c.fleet.AddMachine(name, fmt.Sprintf("10.0.3.%d", c.replaced), c.fleet.Machine(lost).Zone, true)
	c.fleet.Boot(name)
	time.Sleep(repairTime)
}

// checkFinalState checks the guarantees that can be checked only once callers and faults have ended.
func (c *Chaos) checkFinalState() {
	read, err := c.fleet.ReadNewestConfiguration(10 * time.Second)
	if err != nil || read.Version < c.acknowledged {
		c.recordViolation("final read returned %v (%v), but version %d was acknowledged", read, err, c.acknowledged)
	}
	runs := map[string]int{}
	for _, run := range c.fleet.GroundTruth.Runs() {
		runs[run.Request]++
	}
	if len(runs) < minimumRuns || c.acknowledged < minimumAcknowledged {
		c.recordViolation("inconclusive run: only %d requests ran and only version %d was acknowledged", len(runs), c.acknowledged)
	}
	for id, count := range runs {
		var number, turn int
		_, _ = fmt.Sscanf(id, "c%d-%d", &number, &turn)
		// runCaller sends /once/x and /stream/x, which may run at most once, in these turns.
		isOnce := turn%4 == 1 || turn%4 == 2
		if isOnce && count > 1 {
			c.recordViolation("%s may run at most once and ran %d times", id, count)
		}
		if isOnce && c.refused[id] {
			c.recordViolation("%s was refused as not run, but ran", id)
		}
	}
	limit := c.configuration(c.sent).Tenants[0].Prepaid
	if spent := c.fleet.GroundTruth.ReceivedTokens("key-one"); spent > limit {
		c.recordViolation("%d tokens were delivered, more than the %d prepaid", spent, limit)
	}
}
