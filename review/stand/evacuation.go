package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site, see claim.txt.
const (
	freezeTime     = 4 * time.Second
	evacuateBound  = 5 * time.Second
	contactTime    = 4 * time.Second
	maximumStretch = 6 * time.Second
	// orderTime is ack_ms, the longest time for which the operator sends an order again.
	orderTime = 5 * time.Second
)

const evacuatedZone = "zone-b"

func zonePath() string { return "/ravenway/evacuate/" + evacuatedZone }

// isLeading reports whether the last line on leadership that a machine wrote says that it leads.
func (m *machine) isLeading() bool {
	isLeading := false
	for line := range strings.SplitSeq(m.log(), "\n") {
		if strings.Contains(line, "event=leadership ") {
			isLeading = strings.Contains(line, "leading=true")
		}
	}
	return isLeading
}

// clientLoad sends safe requests to all front machines until the context ends.
func (d *deployment) clientLoad(ctx context.Context, waiting *sync.WaitGroup) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for _, front := range d.fronts() {
		for worker := range 2 {
			waiting.Go(func() {
				for number := 0; ctx.Err() == nil; number++ {
					d.request(client, front, fmt.Sprintf("%s-%d-%d", front.name, worker, number))
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
}

func (d *deployment) request(client *http.Client, front *machine, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front.address(callersPort)+"/lookup/1", nil)
	if err != nil {
		return
	}
	request.Host = "portal.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	d.record.event("client: %s sent to %s", id, front.name)
	response, err := client.Do(request)
	if err != nil {
		d.record.event("client: %s got no answer: %v", id, err)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	d.record.event("client: %s got %d of %q", id, response.StatusCode, response.Header.Get("X-Server-Stamp"))
}

var errNoFollower = errors.New("no core machine follows")

// playEvacuation freezes a core machine that does not lead, while the operator takes an evacuation back
// and orders it again.
func playEvacuation(log *record, trouble bool) (int, error) {
	d, err := newDeployment(log, 3, 1)
	if err != nil {
		return cantRun, err
	}
	opened(d)
	defer endAll()
	if err := d.startAll(); err != nil {
		return cantRun, err
	}
	engines := map[string]*engine{}
	for number, zone := range zones {
		started, err := d.startEngine(fmt.Sprintf("i-%d", number), serviceName, zone, 20*time.Millisecond)
		if err != nil {
			return cantRun, err
		}
		defer started.close()
		engines[zone] = started
	}
	if err := d.configure(); err != nil {
		return cantRun, err
	}
	d.first = false
	time.Sleep(6 * time.Second)
	load, stopLoad := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	d.clientLoad(load, &waiting)
	defer waiting.Wait()
	defer stopLoad()
	time.Sleep(2 * time.Second)
	var follower, other *machine
	for _, one := range d.cores() {
		if !one.isLeading() && follower == nil {
			follower = one
		} else {
			other = one
		}
	}
	if follower == nil || other == nil {
		return cantRun, errNoFollower
	}
	if err := d.order(other, http.MethodPost, zonePath(), nil, orderTime); err != nil {
		return cantRun, err
	}
	time.Sleep(2 * time.Second)
	frozenAt := time.Now()
	if trouble {
		follower.signal(syscall.SIGSTOP)
		log.event("machine %s freezes", follower.name)
	}
	// The zone is taken back, and evacuated again.
	if err := d.order(follower, http.MethodDelete, zonePath(), nil, orderTime); err != nil {
		return cantRun, err
	}
	time.Sleep(500 * time.Millisecond)
	if err := d.order(other, http.MethodPost, zonePath(), nil, orderTime); err != nil {
		return cantRun, err
	}
	acknowledgedAt := time.Now()
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if trouble {
		follower.signal(syscall.SIGCONT)
		log.event("machine %s wakes", follower.name)
	}
	// From here on all machines are in touch again, and the bound has passed even with the longest stretch.
	time.Sleep(time.Until(frozenAt.Add(freezeTime + contactTime)))
	time.Sleep(time.Until(acknowledgedAt.Add(evacuateBound + maximumStretch)))
	before := engines[evacuatedZone].arrived()
	for line := range strings.SplitSeq(follower.log(), "\n") {
		if strings.Contains(line, "event=zone_order ") {
			log.event("%s wrote: %s", follower.name, line)
		}
	}
	log.event("requests that reach an engine of %s count from now on", evacuatedZone)
	time.Sleep(10 * time.Second)
	late := engines[evacuatedZone].arrived() - before
	log.event("%d requests reached the engine of %s", late, evacuatedZone)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
