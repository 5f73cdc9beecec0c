package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"
)

const (
	// rarePath is the path of a route with few requests.
	rarePath = "/notice/"
	// rolloutTime is the time from the order to its deadline.
	rolloutTime = 12 * time.Second
	// rolloutLoad and rareLoad are the requests a second on the two routes.
	rolloutLoad = 150
	rareLoad    = 3
	newVersion  = "v2"
	// exposureShare and exposureSlack bound what a bad version may get.
	exposureShare = 0.1
	exposureSlack = 50
)

// playRollout plays a rollout of a version that fails a third of its answers on one route. EXPOSURE: it gets no more than a
// tenth of the requests that reach its service between the order and its deadline, and 50.
func playRollout(ctx context.Context, stage *stage) (bool, error) {
	fleet, err := newFleet(stage, lahore, 4)
	if err != nil {
		return false, err
	}
	fleet.exposureShare = exposureShare
	defer fleet.stop()
	if err := fleet.startAll(true); err != nil {
		return false, err
	}
	sent := firstConfiguration()
	rare := sent.Routes[0]
	rare.Name, rare.PathPrefix = "notice-list", rarePath
	sent.Routes = append(sent.Routes, rare)
	if err := fleet.configure(ctx, sent); err != nil {
		return false, err
	}
	engines := map[string][]*standIn{}
	for place := range 6 {
		version := "v1"
		if place >= 3 {
			version = newVersion
			sleep(ctx, 200*time.Millisecond)
		}
		started, err := fleet.startVersion(ctx, place, plainService, version)
		if err != nil {
			return false, err
		}
		defer started.end()
		if version == newVersion && stage.trouble {
			started.failPath = rarePath
		}
		engines[version] = append(engines[version], started)
		if place == 2 {
			// The engines of the new version start beside the old ones right before the order.
			if err := fleet.waitReady(ctx); err != nil {
				return false, err
			}
			loadContext, endLoad := context.WithCancel(ctx)
			defer endLoad()
			callers := newClients(loadContext, fleet)
			go callers.load(loadContext, rareLoad, func() call {
				return call{path: rarePath + "9", key: tenantKey, deadline: time.Second, retries: 1}
			})
			go callers.load(loadContext, rolloutLoad, func() call {
				return call{path: "/fetch/9", key: tenantKey, deadline: time.Second, retries: 1}
			})
			sleep(ctx, contactTime+4*time.Second)
		}
	}
	body, err := json.Marshal(map[string]any{"service": plainService, "target_version": newVersion, "duration_s": rolloutTime.Seconds()})
	if err != nil {
		return false, err
	}
	status, answer, node := fleet.callControl(ctx, http.MethodPost, "/ravenway/rollouts", body)
	orderedAt := time.Now()
	stage.record.linef("operator", "POST /ravenway/rollouts: %s answers %d %s", node, status, bytes.TrimSpace(answer))
	if status != http.StatusOK {
		return false, errors.New("the order was not acknowledged")
	}
	state := ""
	for time.Since(orderedAt) < rolloutTime {
		sleep(ctx, time.Second)
		_, read, _ := fleet.callControl(ctx, http.MethodGet, "/ravenway/rollouts/"+plainService, nil)
		if now := strings.TrimSpace(string(read)); now != state {
			state = now
			stage.record.linef("phase", "%.1f s after the order: %s", time.Since(orderedAt).Seconds(), state)
		}
	}
	all, exposed, rareRuns, failed := 0, 0, 0, 0
	for version, ofVersion := range engines {
		for _, one := range ofVersion {
			for _, ran := range one.runsSince(orderedAt) {
				if ran.at.Sub(orderedAt) > rolloutTime {
					continue
				}
				all++
				if version == newVersion {
					exposed++
				}
				if version == newVersion && strings.HasPrefix(ran.path, rarePath) {
					rareRuns++
				}
				if ran.failed {
					failed++
				}
			}
		}
	}
	bound := exposureShare*float64(all) + exposureSlack
	stage.record.linef("phase", "%d requests reached the service, %d the new version (%.0f are allowed for a bad one), which failed %d of %d on one route", all, exposed, bound, failed, rareRuns)
	return stage.trouble && float64(exposed) > bound, nil
}
