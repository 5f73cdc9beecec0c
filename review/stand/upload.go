package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBytes is the size of a body: max_body_bytes of the configuration. A client sends it in
	// uploadPieces chunks over uploadTime.
	uploadBytes  = 4 << 20
	uploadPieces = 128
	uploadTime   = 3 * time.Second
	// usualClients is the number of clients that upload at the same time at each front machine. burstClients
	// more, 1.7 times as many in all, do so in a burst, for burstTime. burstPause lies between two bursts.
	usualClients = 22
	burstClients = 15
	burstTime    = 3 * time.Second
	burstPause   = 9 * time.Second
	bursts       = 3
	// restartDelay is how long the platform takes to start an ended process again.
	restartDelay = 500 * time.Millisecond
	sampleTime   = 50 * time.Millisecond
	// minimumEnds ends of a process on each of minimumMachines machines break the rule.
	minimumEnds     = 3
	minimumMachines = 2
)

// residentMB returns the anonymous memory of a machine's process that is resident, in MB; 0 if it does not run.
func (m *machine) residentMB() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.isRunning() {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// upload sends one request with a chunked body and returns the status.
func upload(address, id string) (int, error) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(connection, "POST /upload/1 HTTP/1.1\r\nHost: portal.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	piece := make([]byte, uploadBytes/uploadPieces)
	for range uploadPieces {
		if err != nil {
			return 0, err
		}
		time.Sleep(uploadTime / uploadPieces)
		_, err = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(piece), piece)
	}
	if err == nil {
		_, err = io.WriteString(connection, "0\r\n\r\n")
	}
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// uploadClient uploads one body after the other to a front machine until the context ends.
func (d *deployment) uploadClient(ctx context.Context, front *machine, name string) {
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s-%d", name, number)
		d.record.event("client: %s sent to %s", id, front.name)
		status, err := upload(front.address(callersPort), id)
		if err != nil {
			d.record.event("client: %s got no answer: %v", id, err)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		d.record.event("client: %s got %d", id, status)
		if status == http.StatusServiceUnavailable {
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// watchMemory kills a process that occupies more than its machine's memory and starts it again, as the platform
// does. It returns the number of such ends.
func (m *machine) watchMemory(ctx context.Context, ends func(count int)) {
	most, count := 0, 0
	for ctx.Err() == nil {
		time.Sleep(sampleTime)
		resident := m.residentMB()
		most = max(most, resident)
		if resident <= m.memoryMB() {
			continue
		}
		count++
		m.deployment.record.event("machine %s occupies %d of %d MB and is killed", m.name, resident, m.memoryMB())
		m.kill()
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			m.deployment.record.event("machine %s does not start: %v", m.name, err)
			break
		}
	}
	m.deployment.record.event("machine %s occupied at most %d MB", m.name, most)
	ends(count)
}

// playUploads lets many clients upload at once.
func playUploads(log *record, trouble bool) (int, error) {
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
	for number, zone := range zones {
		started, err := d.startEngine(fmt.Sprintf("i-%d", number), serviceName, zone, 30*time.Millisecond)
		if err != nil {
			return cantRun, err
		}
		defer started.close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := d.order(ctx, http.MethodPut, "/ravenway/config", configuration(1)); err != nil {
		return cantRun, err
	}
	time.Sleep(4 * time.Second)
	load, stopLoad := context.WithCancel(context.Background())
	var clients, watches sync.WaitGroup
	var mutex sync.Mutex
	machines, total := 0, 0
	for _, front := range d.fronts() {
		watches.Go(func() {
			front.watchMemory(load, func(count int) {
				mutex.Lock()
				defer mutex.Unlock()
				total += count
				if count >= minimumEnds {
					machines++
				}
			})
		})
		for number := range usualClients {
			clients.Go(func() {
				// The usual clients come one after the other.
				time.Sleep(time.Duration(number) * uploadTime / usualClients)
				d.uploadClient(load, front, fmt.Sprintf("%s-usual-%d", front.name, number))
			})
		}
	}
	time.Sleep(10 * time.Second)
	for range bursts {
		log.event("%d clients at each front machine in place of %d for %.1f s", usualClients+burstClients, usualClients, burstTime.Seconds())
		burst, stopBurst := context.WithTimeout(context.Background(), burstTime)
		for _, front := range d.fronts() {
			for number := range burstClients {
				if trouble {
					clients.Go(func() { d.uploadClient(burst, front, fmt.Sprintf("%s-more-%d", front.name, number)) })
				}
			}
		}
		time.Sleep(burstTime)
		stopBurst()
		time.Sleep(burstPause)
	}
	stopLoad()
	clients.Wait()
	watches.Wait()
	log.event("%d ends for lack of memory, %d or more on each of %d machines", total, minimumEnds, machines)
	if machines >= minimumMachines {
		return broken, nil
	}
	return held, nil
}
