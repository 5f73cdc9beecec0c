package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	// founderRuns is how long the process runs before it is killed, founderDown how long it is down.
	founderRuns = 200 * time.Millisecond
	founderDown = 3500 * time.Millisecond
	// founderWait is how long the system has after that.
	founderWait = 45 * time.Second
)

// playFounderKilled plays a core process that is killed right after the first start of the whole system, and
// starts again. Fault: no request is served.
func playFounderKilled(ctx context.Context, stage *stage) (bool, error) {
	fleet, err := newFleet(stage, lahore, 4)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	if err := fleet.startAll(true); err != nil {
		return false, err
	}
	for place := range leaveEngines {
		started, err := fleet.startEngine(ctx, place, plainService)
		if err != nil {
			return false, err
		}
		defer started.end()
	}
	killed := fleet.controls()[0]
	if stage.trouble {
		sleep(ctx, founderRuns)
		fleet.kill([]*machine{killed})
		sleep(ctx, founderDown)
		// bootstrap is true only when the whole system starts for the first time.
		if err := fleet.start(killed, false); err != nil {
			return false, err
		}
	}
	stage.record.line("phase", "all processes run")
	loadContext, endLoad := context.WithCancel(ctx)
	defer endLoad()
	callers := newClients(loadContext, fleet)
	go callers.load(loadContext, 10, func() call {
		return call{path: "/fetch/9", key: tenantKey, deadline: time.Second, retries: 1}
	})
	body, err := json.Marshal(firstConfiguration())
	if err != nil {
		return false, err
	}
	acknowledged, deadline := false, time.Now().Add(founderWait)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		status, answer, node := fleet.callControl(ctx, http.MethodPut, "/ravenway/config", body)
		stage.record.linef("operator", "PUT /ravenway/config: %s answers %d %s", node, status, answer)
		if status == http.StatusOK {
			acknowledged = true
			deadline = time.Now().Add(5 * time.Second)
			break
		}
		sleep(ctx, 500*time.Millisecond)
	}
	sleep(ctx, time.Until(deadline))
	served, all := callers.served()
	stage.record.linef("phase", "the configuration was acknowledged: %v; %d of %d requests were served", acknowledged, served, all)
	return served == 0, nil
}

// served returns how many client attempts were answered with success, and how many there were.
func (c *clients) served() (served, all int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range c.finished {
		if one.status == http.StatusOK && one.err == nil {
			served++
		}
	}
	return served, len(c.finished)
}
