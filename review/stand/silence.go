package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// reportTime is the work of a request. One of reportEngines fails for failTime: it never answers hangsInTwenty
	// of twenty requests that begin then.
	reportTime    = 3 * time.Second
	reportEngines = 8
	hangsInTwenty = 9
	failTime      = 6500 * time.Millisecond
	// reportTimeout is the route's timeout_ms, reportDeadline what the clients wait.
	reportTimeout  = 12 * time.Second
	reportDeadline = 15 * time.Second
	// keptClients is the number of clients; each keeps one connection for two requests.
	keptClients = 300
	// answerSlack is by how much a final answer may be later than the route's timeout.
	answerSlack = 500 * time.Millisecond
)

// keptRequest sends one request on an open connection. It returns the status of the answer, 0 if there is none.
func keptRequest(connection net.Conn, reader *bufio.Reader, id string) (int, error) {
	_ = connection.SetDeadline(time.Now().Add(reportDeadline))
	_, err := fmt.Fprintf(connection, "GET /report/1 HTTP/1.1\r\nHost: portal.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, reportDeadline.Milliseconds())
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// playSilence lets one engine hang on a part of its requests, so that these reach their route's timeout.
func playSilence(log *record, trouble bool) (int, error) {
	d, err := newDeployment(log, 3, 1)
	if err != nil {
		return cantRun, err
	}
	opened(d)
	defer endAll()
	if err := d.startAll(); err != nil {
		return cantRun, err
	}
	d.first = false
	var engines []*engine
	for number := range reportEngines {
		started, err := d.startEngine(fmt.Sprintf("i-%d", number), serviceName, zones[number%len(zones)], 20*time.Millisecond)
		if err != nil {
			return cantRun, err
		}
		defer started.close()
		engines = append(engines, started)
	}
	if err := d.configure(); err != nil {
		return cantRun, err
	}
	time.Sleep(5 * time.Second)
	var clients sync.WaitGroup
	var mutex sync.Mutex
	var result tally
	begin := make(chan struct{})
	for number := range keptClients {
		front := d.fronts()[number%len(d.fronts())]
		connection, err := net.DialTimeout("tcp", front.address(callersPort), time.Second)
		if err != nil {
			return cantRun, err
		}
		defer connection.Close()
		reader := bufio.NewReader(connection)
		id := fmt.Sprintf("r-%d", number)
		log.event("client: %s-first sent to %s", id, front.name)
		status, err := keptRequest(connection, reader, id+"-first")
		log.event("client: %s-first got %d %v from %s", id, status, err, front.name)
		if status != http.StatusOK {
			return cantRun, fmt.Errorf("the first request on a connection got %d %w", status, err)
		}
		clients.Go(func() {
			<-begin
			log.event("client: %s-second sent to %s", id, front.name)
			sentAt := time.Now()
			status, err := keptRequest(connection, reader, id+"-second")
			took := time.Since(sentAt)
			log.event("client: %s-second got %d %v from %s after %.2f s", id, status, err, front.name, took.Seconds())
			mutex.Lock()
			defer mutex.Unlock()
			result.add(status, took)
		})
	}
	for _, one := range engines {
		one.work.Store(int64(reportTime))
	}
	if trouble {
		engines[0].hangsInTwenty.Store(hangsInTwenty)
		log.event("engine %s hangs on %d of 20 requests for %.1f s", engines[0].id, hangsInTwenty, failTime.Seconds())
	}
	close(begin)
	time.Sleep(failTime)
	engines[0].hangsInTwenty.Store(0)
	clients.Wait()
	log.event("of %d requests, %d were unanswered at their route's timeout_ms, and %d of these 0.5 s later", keptClients, result.late, result.silent)
	// More than half of them, and of eight or more over a quarter.
	if result.silent*2 > result.late && result.late >= minimumLate {
		return broken, nil
	}
	return held, nil
}

// minimumLate is from how many requests on the rule counts a share.
const minimumLate = 8

// tally counts the requests that are unanswered at their route's timeout, and those of them that have no answer
// answerSlack later.
type tally struct{ late, silent int }

// add counts a request whose client got an answer, or with status 0 the end of its connection, after a time.
func (t *tally) add(status int, took time.Duration) {
	if took < reportTimeout {
		return
	}
	t.late++
	if status == 0 || took > reportTimeout+answerSlack {
		t.silent++
	}
}
