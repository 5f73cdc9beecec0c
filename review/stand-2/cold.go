package main

import (
	"context"
	"time"
)

const (
	coldFronts = 48
	// coldMargin is the end of the cold time that is not counted.
	coldMargin = time.Second
	// coldLoad is the number of requests a second.
	coldLoad = 300
	// coldPerS, coldOver and coldSlack are the site's bounds on a cold engine, coldTime its cold_start_s.
	coldPerS  = 6.6
	coldOver  = 1.5
	coldSlack = 5
	coldTime  = 12 * time.Second
	// coldStartDelay is the time from the engines' becoming cold to the kill of all processes.
	coldStartDelay = 5 * time.Second
)

// playCold plays engines that start while all processes are killed and started again. FAILBACK: a cold engine
// gets no more requests in a second than it bears.
func playCold(ctx context.Context, stage *stage) (bool, error) {
	fleet, err := newFleet(stage, lahore, coldFronts)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	if err := fleet.startAll(true); err != nil {
		return false, err
	}
	sent := firstConfiguration()
	sent.Services[0].ColdPerS, sent.Services[0].ColdStartS = coldPerS, coldTime.Seconds()
	if err := fleet.configure(ctx, sent); err != nil {
		return false, err
	}
	var engines []*standIn
	for place := range lahore {
		started, err := fleet.startEngine(ctx, place, plainService)
		if err != nil {
			return false, err
		}
		defer started.end()
		engines = append(engines, started)
	}
	if err := fleet.waitReady(ctx); err != nil {
		return false, err
	}
	loadContext, endLoad := context.WithCancel(ctx)
	defer endLoad()
	callers := newClients(loadContext, fleet)
	go callers.load(loadContext, coldLoad, func() call {
		return call{path: "/fetch/9", key: tenantKey, deadline: time.Second}
	})
	sleep(ctx, 4*time.Second)
	for _, one := range engines {
		one.becomeCold(ctx, coldTime)
	}
	stage.record.line("phase", "the engines become cold")
	sleep(ctx, coldStartDelay)
	if stage.trouble {
		stage.record.line("phase", "all processes are killed")
		fleet.kill(fleet.machines)
		sleep(ctx, restartDelay)
		if err := fleet.startAll(false); err != nil {
			return false, err
		}
		stage.record.line("phase", "all processes start again")
	}
	sleep(ctx, coldTime-coldStartDelay)
	rate, most := float64(coldPerS), 0
	for _, one := range engines {
		inSecond := one.mostInSecond()
		stage.record.linef("phase", "%s got up to %d requests in a second while it was cold", one.id, inSecond)
		most = max(most, inSecond)
	}
	bound := rate*coldOver + coldSlack
	stage.record.linef("phase", "a cold engine got %d requests in a second, %.1f are allowed", most, bound)
	return float64(most) > bound, nil
}

// mostInSecond returns the most requests that the engine got within a second while it was cold.
func (s *standIn) mostInSecond() (most int) {
	runs := s.runsSince(s.coldFrom)
	for position, first := range runs {
		count := 0
		for _, later := range runs[position:] {
			if later.at.Sub(first.at) >= time.Second || later.at.After(s.coldUntil.Add(-coldMargin)) {
				break
			}
			count++
		}
		most = max(most, count)
	}
	return most
}
