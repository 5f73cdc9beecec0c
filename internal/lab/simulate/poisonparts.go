package simulate

import (
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
)

// PoisonPartOptions describes the parts of prompts in RunPoison. Without IsUsed prompts have no parts.
type PoisonPartOptions struct {
	IsUsed bool
	// Crashing is the number of parts that crash each engine that begins a response on them. Requests with
	// them share the other parts of their prompts with other requests, and no two of them are alike.
	Crashing int
	// HasFollowers gives the requests with a crashing part a further part, which only they have.
	HasFollowers bool
	// IsPopular gives nine of ten requests of other callers the first part of those with a crashing part.
	IsPopular bool
	// TwoTenants makes a second tenant send requests with the same crashing parts later.
	TwoTenants bool
	// SeriesOfCrashes crashes an engine for other reasons every 300 ms for 10 s, and then half of them at
	// once, three times.
	SeriesOfCrashes bool
}

const (
	// provenPartCrashes is the number of crashes from which on a crashing part must be known.
	provenPartCrashes = 5
	// partRequestRate is the number of requests a second with each crashing part.
	partRequestRate = 5.0
	// partsFrom and partsUntil bound the time in which requests with crashing parts arrive.
	partsFrom, partsUntil = 5 * time.Second, 30 * time.Second
	// secondTenantDelay is how much later the second tenant sends them.
	secondTenantDelay = 8 * time.Second
	// firstParts and secondParts are the numbers of different first and second parts of prompts.
	firstParts, secondParts = 20, 76
	// popularPart is the number of the first part of requests with a crashing part.
	popularPart = 7
	// minimumFirstEvent and maximumFirstEvent bound the time from the head of a response to its first event.
	minimumFirstEvent, maximumFirstEvent = 20 * time.Millisecond, 300 * time.Millisecond
)

// partsOf returns the parts of a prompt of a tenant.
func partsOf(tenant string, ids ...string) []quarantine.Part {
	scope := quarantine.PartScopeOf("model", tenant)
	parts := make([]quarantine.Part, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, quarantine.Part{Fingerprint: quarantine.PartFingerprintOf(scope, id), ID: id})
	}
	return parts
}

// ordinaryParts returns the parts of a request of the other callers.
func (w *poisonWorld) ordinaryParts() []quarantine.Part {
	if !w.options.Parts.IsUsed {
		return nil
	}
	first := w.Random.IntN(firstParts)
	if w.options.Parts.IsPopular && w.Random.IntN(10) > 0 {
		first = popularPart
	}
	return partsOf("tenant", fmt.Sprint("first-", first), fmt.Sprint("second-", w.Random.IntN(secondParts)))
}

// scheduleCrashingParts makes requests with crashing parts arrive.
func (w *poisonWorld) scheduleCrashingParts() {
	for number := range w.options.Parts.Crashing {
		w.After(partsFrom, func() { w.repeatCrashingPart(number, "tenant") })
		if w.options.Parts.TwoTenants {
			w.After(partsFrom+secondTenantDelay, func() { w.repeatCrashingPart(number, "other-tenant") })
		}
	}
}

func (w *poisonWorld) repeatCrashingPart(number int, tenant string) {
	if w.Now > partsUntil {
		return
	}
	crashing := fmt.Sprint("crashing-", number)
	ids := []string{fmt.Sprint("first-", popularPart), crashing}
	if w.options.Parts.HasFollowers {
		ids = append(ids, fmt.Sprint("follower-", w.Random.IntN(3)))
	}
	w.sentWithParts++
	body := poisonBody{scope: uint64(2_000_000 + w.sentWithParts), parts: partsOf(tenant, ids...)}
	cause := quarantine.PartFingerprintOf(quarantine.PartScopeOf("model", "tenant"), crashing)
	w.sendToRandomNode(&poisonRequest{body: body, isPoison: true, cause: cause})
	w.After(time.Duration(w.Random.ExpFloat64()/partRequestRate*float64(time.Second)), func() { w.repeatCrashingPart(number, tenant) })
}

// isInPartTrouble reports whether requests of other callers that arrive now must be served although
// crashing parts arrive.
func (w *poisonWorld) isInPartTrouble() bool {
	return w.options.Parts.Crashing > 0 && w.Now > partsFrom+2*poisonReactionTime && w.Now <= partsUntil
}

// scheduleSeries schedules the crashes of PoisonPartOptions.SeriesOfCrashes.
func (w *poisonWorld) scheduleSeries() {
	if !w.options.Parts.SeriesOfCrashes {
		return
	}
	const interval, length = 300 * time.Millisecond, 10 * time.Second
	for at := 8 * time.Second; at < 8*time.Second+length; at += interval {
		w.After(at, func() { w.failEngine(w.engines[w.Random.IntN(len(w.engines))]) })
	}
	for _, at := range []time.Duration{22 * time.Second, 24 * time.Second, 26 * time.Second} {
		w.After(at, func() {
			for _, position := range w.Random.Perm(len(w.engines))[:len(w.engines)/2] {
				w.failEngine(w.engines[position])
			}
		})
	}
}
