package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/lab/emulator"
	"github.com/ravenway/ravenway/internal/lab/load"
)

// ResponseLog records the responses that callers received, for comparison with the ground truth.
type ResponseLog struct {
	mutex   sync.Mutex
	entries []responseEntry
}

type responseEntry struct {
	request  load.Request
	response load.Result
	tries    int
}

// Record records the last response to a request and the number of times that it was sent.
func (r *ResponseLog) Record(request load.Request, response load.Result, tries int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries = append(r.entries, responseEntry{request: request, response: response, tries: tries})
}

// Outcomes returns the number of responses by outcome.
func (r *ResponseLog) Outcomes() map[load.Outcome]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := map[load.Outcome]int{}
	for _, entry := range r.entries {
		counts[entry.response.Outcome]++
	}
	return counts
}

// CheckGuarantees compares the responses to callers and the bills with what the back ends ran. It waits at
// most maximumWait for late settlements.
func (f *Fleet) CheckGuarantees(responses *ResponseLog, maximumWait time.Duration) error {
	if err := f.checkResponses(responses); err != nil {
		return err
	}
	var last error
	err := f.WaitFor(maximumWait, "bills that match the ground truth", func() bool {
		last = f.checkBills()
		return last == nil
	})
	if err != nil {
		return fmt.Errorf("%w: %w", err, last)
	}
	return nil
}

// checkResponses checks the guarantees that concern single responses.
func (f *Fleet) checkResponses(responses *ResponseLog) error {
	ran := map[string]int{}
	bodies := map[string]int{}
	for _, event := range f.Emulator.Truth.Events() {
		ran[event.RequestID]++
		if event.Kind == emulator.EventCall && event.Method == http.MethodPost {
			bodies[event.Body]++
		}
	}
	for body, count := range bodies {
		if count > 1 {
			return fmt.Errorf("a call that may not be repeated ran %d times: %q", count, body)
		}
	}
	responses.mutex.Lock()
	defer responses.mutex.Unlock()
	for _, entry := range responses.entries {
		switch entry.response.Outcome {
		case load.Wrong:
			return fmt.Errorf("request %s received a wrong response: %s", entry.request.Key, entry.response.Detail)
		case load.Refused:
			if entry.request.Kind == load.KindWrite && bodies[entry.request.Body] > 0 && entry.tries == 1 {
				return fmt.Errorf("request %s was refused as not run (%s), but it ran", entry.request.Key, entry.response.Code)
			}
		}
	}
	return nil
}

// runRange is the minimum and maximum number of tokens that one key may be billed. A key that ran more
// than once (in partitioned zones, or again after its engine was lost) is billed for one of its runs.
type runRange struct {
	tenant           string
	minimum, maximum uint64
}

// runsByKey returns what the engines ran, by the key of the claim. This key is the part of the request's id
// before its last dash; the number of the attempt follows it.
func (f *Fleet) runsByKey() map[string]runRange {
	runs := map[string]runRange{}
	for _, event := range f.Emulator.Truth.Events() {
		if event.Kind != emulator.EventFinished && event.Kind != emulator.EventCancelled {
			continue
		}
		key := event.RequestID[:strings.LastIndex(event.RequestID, "-")]
		known, again := runs[key]
		if !again {
			known = runRange{tenant: event.Tenant, minimum: event.Tokens}
		}
		known.minimum = min(known.minimum, event.Tokens)
		known.maximum = max(known.maximum, event.Tokens)
		runs[key] = known
	}
	return runs
}

// checkBills compares each tenant's bill with what the engines ran for it. They must match to the token
// if each key ran once.
func (f *Fleet) checkBills() error {
	budgets, err := f.Budgets()
	if err != nil {
		return err
	}
	minimum, maximum := map[string]uint64{}, map[string]uint64{}
	for _, run := range f.runsByKey() {
		minimum[run.tenant] += run.minimum
		maximum[run.tenant] += run.maximum
	}
	for _, tenant := range f.Plan.TenantNames() {
		budget := budgets[tenant]
		if budget.GetSettled()+budget.GetOutstanding() > budget.GetLimit() {
			return fmt.Errorf("%s: %d settled and %d outstanding exceed the limit of %d", tenant, budget.GetSettled(), budget.GetOutstanding(), budget.GetLimit())
		}
		if billed := budget.GetSettled(); billed < minimum[tenant] || billed > maximum[tenant] {
			return fmt.Errorf("%s: %d tokens billed, but between %d and %d ran", tenant, billed, minimum[tenant], maximum[tenant])
		}
	}
	return nil
}
