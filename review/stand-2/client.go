package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// call is one client attempt.
type call struct {
	path, key string
	deadline  time.Duration
	in, out   int
	retries   int
	isStream  bool
	isUnsafe  bool
	onlyFront *machine
}

// outcome is how a client attempt ended.
type outcome struct {
	id     string
	front  *machine
	sentAt time.Time
	status int
	stamp  string
	body   []byte
	// events are the complete events of a stream, err is set if the answer did not end.
	events int
	err    error
}

// clients are the clients of the deployment, behind the platform's balancer.
type clients struct {
	fleet    *fleet
	http     *http.Client
	numbers  atomic.Uint64
	mutex    sync.Mutex
	isIn     map[*machine]bool
	misses   map[*machine]int
	finished []outcome
}

// newClients starts the balancer, which asks the fronts once a second.
func newClients(ctx context.Context, fleet *fleet) *clients {
	made := &clients{
		fleet: fleet, isIn: map[*machine]bool{}, misses: map[*machine]int{},
		http: &http.Client{Transport: &http.Transport{
			DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
	for _, one := range fleet.fronts() {
		made.isIn[one] = true
	}
	for _, one := range fleet.fronts() {
		go func() {
			for ctx.Err() == nil {
				made.noteReady(one, fleet.isReady(ctx, one))
				sleep(ctx, time.Second)
			}
		}()
	}
	return made
}

func (c *clients) noteReady(one *machine, isReady bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if isReady {
		c.misses[one], c.isIn[one] = 0, true
		return
	}
	if c.misses[one]++; c.misses[one] >= 2 {
		c.isIn[one] = false
	}
}

// choose returns a front that is in, or any if none is.
func (c *clients) choose() *machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var in []*machine
	for _, one := range c.fleet.fronts() {
		if c.isIn[one] {
			in = append(in, one)
		}
	}
	if len(in) == 0 {
		in = c.fleet.fronts()
	}
	return in[rand.IntN(len(in))]
}

// send sends a call, and once more if the client may.
func (c *clients) send(ctx context.Context, sent call) outcome {
	for attempt := 0; ; attempt++ {
		ended := c.attempt(ctx, sent)
		c.mutex.Lock()
		c.finished = append(c.finished, ended)
		c.mutex.Unlock()
		isPromise := ended.status == http.StatusServiceUnavailable || ended.status == http.StatusTooManyRequests
		isFailure := ended.err != nil || ended.status >= 500
		if attempt >= sent.retries || ctx.Err() != nil || !isPromise && (sent.isUnsafe || !isFailure) {
			return ended
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

func (c *clients) attempt(ctx context.Context, sent call) outcome {
	ended := outcome{id: fmt.Sprintf("%016x", c.numbers.Add(1)+uint64(time.Now().UnixNano())<<8), front: sent.onlyFront, sentAt: time.Now()}
	if ended.front == nil {
		ended.front = c.choose()
	}
	ctx, cancel := context.WithTimeout(ctx, sent.deadline)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if sent.isUnsafe || sent.isStream {
		method, body = http.MethodPost, bytes.NewReader(bytes.Repeat([]byte("q"), 600))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+ended.front.address(callersPort)+sent.path, body)
	if err != nil {
		ended.err = err
		return ended
	}
	request.Host = hostName
	request.Header.Set("X-Request-Id", ended.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(sent.deadline.Milliseconds(), 10))
	request.Header.Set("X-Api-Key", sent.key)
	if sent.in > 0 {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Count", fmt.Sprintf("%d,%d", sent.in, sent.out))
		request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:%d,%s:%d", sent.in/2, ended.id, sent.in-sent.in/2))
	}
	response, err := c.http.Do(request)
	if err != nil {
		ended.err = err
	} else {
		ended.status, ended.stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
		ended.body, ended.err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		ended.events = bytes.Count(ended.body, []byte("\n\n"))
	}
	c.fleet.record.linef("client", "%s %s at %s after %d ms: %d, %d bytes, signature %q, error %v", ended.id, sent.path, ended.front.name,
		time.Since(ended.sentAt).Milliseconds(), ended.status, len(ended.body), ended.stamp, ended.err)
	return ended
}

// load sends calls at a rate until the context ends.
func (c *clients) load(ctx context.Context, perSecond int, sent func() call) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go c.send(ctx, sent())
		}
	}
}
