package main

import (
	"context"
	"time"
)

// received returns the tokens that a tenant's clients received: those of the prompt of each attempt of which
// something came, and those of its events.
func (c *clients) received(promptTokens int) (tokens int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range c.finished {
		if one.status == 200 {
			tokens += promptTokens + stride*one.events
		}
	}
	return tokens
}

const (
	promptTokens = 1460
	outputTokens = stride * streamEvents
)

func playPrepaidLowered(ctx context.Context, stage *stage) (bool, error) {
	fleet, err := newFleet(stage, lahore, 6)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	if err := fleet.startAll(true); err != nil {
		return false, err
	}
	first := firstConfiguration()
	first.Tenants[0].Prepaid = 2_000_000
	if err := fleet.configure(ctx, first); err != nil {
		return false, err
	}
	for place := range 4 {
		started, err := fleet.startEngine(ctx, place, modelService)
		if err != nil {
			return false, err
		}
		defer started.end()
	}
	if err := fleet.waitReady(ctx); err != nil {
		return false, err
	}
	loadContext, endLoad := context.WithCancel(ctx)
	defer endLoad()
	callers := newClients(loadContext, fleet)
	go callers.load(loadContext, 30, func() call {
		return call{path: "/query/9", key: tenantKey, deadline: 5 * time.Second, isStream: true, in: promptTokens, out: outputTokens}
	})
	sleep(ctx, 10*time.Second)
	before := callers.received(promptTokens)
	lower := first
	lower.Version = 9
	lower.Tenants = []tenant{first.Tenants[0]}
	lower.Tenants[0].Prepaid = uint64(before) + 100_000
	stage.record.linef("phase", "received %d, prepaid is lowered to %d", before, lower.Tenants[0].Prepaid)
	if err := fleet.configure(ctx, lower); err != nil {
		return false, err
	}
	for range 12 {
		sleep(ctx, time.Second)
		stage.record.linef("phase", "received %d", callers.received(promptTokens))
	}
	return callers.received(promptTokens) > int(lower.Tenants[0].Prepaid), nil
}
