package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// documentBytes is the length of a large answer.
	documentBytes = 8 << 20
	// readBytes is what a slow client reads every readPause: 2 MB a second.
	readBytes = 64 << 10
	readPause = 24 * time.Millisecond
	// slowClients is the number of clients, slowRounds how many documents each asks for.
	slowClients = 4
	slowRounds  = 3
	// slowDeadline is the clients' deadline and the route's timeout.
	slowDeadline = 4 * time.Second
	toleratedCut = 3
)

// playSlowReader plays clients that read a long answer slowly, well within their deadline. LOST: a machine in
// touch doesn't hand a request from a kept connection on to a sound engine and then close the connection
// without an answer, more than three times.
func playSlowReader(ctx context.Context, stage *stage) (bool, error) {
	fleet, err := newFleet(stage, lahore, 4)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	if err := fleet.startAll(true); err != nil {
		return false, err
	}
	sent := firstConfiguration()
	for position := range sent.Routes {
		if sent.Routes[position].RouteType == "safe" {
			sent.Routes[position].TimeoutMS, sent.Routes[position].SloMS = int(slowDeadline.Milliseconds()), 400
		}
	}
	if err := fleet.configure(ctx, sent); err != nil {
		return false, err
	}
	for place := range 3 {
		started, err := fleet.startEngine(ctx, place, plainService)
		if err != nil {
			return false, err
		}
		defer started.end()
	}
	if err := fleet.waitReady(ctx); err != nil {
		return false, err
	}
	// All machines have been in touch for contact_ms.
	sleep(ctx, contactTime+time.Second)
	var clients sync.WaitGroup
	var mutex sync.Mutex
	cut, whole := 0, 0
	for number := range slowClients {
		front := fleet.fronts()[number%len(fleet.fronts())]
		clients.Go(func() {
			for round := range slowRounds {
				ended := fleet.fetchDocument(ctx, front, fmt.Sprintf("%08x%08x", number+1, round+1), stage.trouble)
				mutex.Lock()
				if ended {
					whole++
				} else {
					cut++
				}
				mutex.Unlock()
			}
		})
	}
	clients.Wait()
	stage.record.linef("phase", "%d answers were whole, %d ended early", whole, cut)
	return cut > toleratedCut, nil
}

// fetchDocument sends a short request and, on the same connection, one for a document. It reports whether the
// document came whole.
func (f *fleet) fetchDocument(ctx context.Context, front *machine, id string, isSlow bool) bool {
	transport := &http.Transport{
		MaxConnsPerHost: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
			if err == nil {
				err = connection.(*net.TCPConn).SetReadBuffer(readBytes)
			}
			return connection, err
		},
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	short, _, err := f.get(ctx, client, front, "/fetch/9", id+"a", false)
	if err != nil || short != http.StatusOK {
		f.record.linef("client", "%s: the short request ends with %d, %v", id, short, err)
		return true
	}
	began := time.Now()
	status, read, err := f.get(ctx, client, front, "/fetch/document", id+"b", isSlow)
	f.record.linef("client", "%sb /fetch/document at %s: status %d, %d of %d bytes after %d ms, error %v", id, front.name, status, read, documentBytes,
		time.Since(began).Milliseconds(), err)
	return status == http.StatusOK && err == nil && read == documentBytes
}

// get sends a request and reads its answer, slowly if isSlow is set.
func (f *fleet) get(ctx context.Context, client *http.Client, front *machine, path, id string, isSlow bool) (status, read int, err error) {
	ctx, cancel := context.WithTimeout(ctx, slowDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front.address(callersPort)+path, nil)
	if err != nil {
		return 0, 0, err
	}
	request.Host = hostName
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(slowDeadline.Milliseconds()))
	request.Header.Set("X-Api-Key", tenantKey)
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	piece := make([]byte, readBytes)
	for {
		count, err := io.ReadFull(response.Body, piece)
		read += count
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF && int64(read) == response.ContentLength:
			return response.StatusCode, read, nil
		case err != nil:
			return response.StatusCode, read, err
		}
		if isSlow {
			sleep(ctx, readPause)
		}
	}
}
