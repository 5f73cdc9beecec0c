package main

import (
	"context"
	"time"
)

const (
	leaveEngines = 3
	// killDelay is the time from the acknowledgement until the processes are killed, restartDelay the time
	// until they are started again.
	killDelay    = 100 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// servesOnTime is how long an engine serves on after the acknowledgement.
	servesOnTime = 14 * time.Second
)

// playLeaveForgotten plays an engine that says that it leaves, right before all processes are killed. DRAIN:
// later than drain_ms after the acknowledgement, no request reaches it from machines in touch.
func playLeaveForgotten(ctx context.Context, stage *stage) (bool, error) {
	fleet, err := newFleet(stage, lahore, 4)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	if err := fleet.startAll(true); err != nil {
		return false, err
	}
	if err := fleet.configure(ctx, firstConfiguration()); err != nil {
		return false, err
	}
	var engines []*standIn
	for place := range leaveEngines {
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
	go callers.load(loadContext, 30, func() call {
		return call{path: "/fetch/9", key: tenantKey, deadline: time.Second, retries: 1}
	})
	sleep(ctx, 8*time.Second)
	leaving := engines[0]
	stage.record.linef("phase", "%s ran %d requests so far and leaves", leaving.id, len(leaving.runsSince(time.Time{})))
	if err := leaving.leave(ctx); err != nil {
		return false, err
	}
	acknowledgedAt := time.Now()
	inTouchAt := acknowledgedAt.Add(drainTime)
	if stage.trouble {
		sleep(ctx, killDelay)
		stage.record.line("phase", "all processes are killed")
		fleet.kill(fleet.machines)
		sleep(ctx, restartDelay)
		if err := fleet.startAll(false); err != nil {
			return false, err
		}
		if err := fleet.waitReady(ctx); err != nil {
			return false, err
		}
		// Twice contact_ms, as after a final fault that took most of the core.
		inTouchAt = time.Now().Add(2 * contactTime)
		stage.record.line("phase", "all processes run again and the fronts are ready")
	}
	sleep(ctx, time.Until(acknowledgedAt.Add(servesOnTime)))
	late := leaving.runsSince(inTouchAt)
	for _, one := range late {
		stage.record.linef("late", "%s reached %s from %s, %d ms after the acknowledgement", one.id, one.engine, one.via, one.at.Sub(acknowledgedAt).Milliseconds())
	}
	stage.record.linef("phase", "%d requests reached %s later than drain_ms after the acknowledgement, from machines in touch; the others ran %d and %d in that time",
		len(late), leaving.id, len(engines[1].runsSince(inTouchAt)), len(engines[2].runsSince(inTouchAt)))
	return len(late) > 0, nil
}
