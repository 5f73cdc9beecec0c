package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// uploadBytes is the size of a body: max_body_bytes of the configuration. A client sends it in
	// uploadPieces chunks over uploadTime.
	uploadBytes  = 4 << 20
	uploadPieces = 128
	uploadTime   = 3 * time.Second
	// uploadDeadline is how long a user waits, in uploadAttempts attempts at most.
	uploadDeadline = 20 * time.Second
	uploadAttempts = 3
	// usualUsers is the number of users that come to each front machine within uploadTime, burstUsers that in a
	// burst, 1.7 times as many at most, for burstTime. burstPause lies between two bursts.
	usualUsers = 28
	burstUsers = 47
	burstTime  = 3 * time.Second
	burstPause = 9 * time.Second
	bursts     = 4
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

// pacedBody is the body of an upload, sent in uploadPieces pieces over uploadTime.
type pacedBody struct {
	began time.Time
	sent  atomic.Int64
}

func (b *pacedBody) Read(piece []byte) (int, error) {
	sent := b.sent.Load()
	if sent == uploadBytes {
		return 0, io.EOF
	}
	size := min(int64(len(piece)), uploadBytes/uploadPieces, uploadBytes-sent)
	time.Sleep(time.Until(b.began.Add(time.Duration(float64(uploadTime) * float64(sent+size) / uploadBytes))))
	clear(piece[:size])
	b.sent.Add(size)
	return int(size), nil
}

func (b *pacedBody) isWhole() bool { return b.sent.Load() == uploadBytes }

// uploadTransport opens a new connection for each attempt, which gets one second to come up.
var uploadTransport = &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}

// upload sends one attempt with a chunked body. It returns the status, the time of Retry-After, and whether
// the attempt may be sent again: after a promise, or where the body wasn't sent whole.
func (d *deployment) upload(to *machine, id string, left time.Duration) (status int, after time.Duration, mayRepeat bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	body := &pacedBody{began: time.Now()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.address(callersPort)+"/upload/1", body)
	if err != nil {
		return 0, 0, false, err
	}
	request.Host, request.ContentLength = "portal.example", -1
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	response, err := uploadTransport.RoundTrip(request)
	if err != nil {
		return 0, 0, !body.isWhole(), err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	after = time.Duration(seconds * float64(time.Second))
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		mayRepeat = true
	}
	return response.StatusCode, after, mayRepeat, err
}

// user uploads one body, in a few attempts within its deadline. It honours Retry-After up to a third of the time
// that it has left, and waits longer each time otherwise.
func (d *deployment) user(front *machine, name string) {
	deadline := time.Now().Add(uploadDeadline)
	wait := 300 * time.Millisecond
	for attempt := range uploadAttempts {
		left := time.Until(deadline)
		if left < uploadTime {
			return
		}
		id := fmt.Sprintf("%s-%d", name, attempt)
		to := d.balanced(front)
		d.record.event("client: %s sent to %s", id, to.name)
		status, after, mayRepeat, err := d.upload(to, id, left)
		d.record.event("client: %s got %d %v", id, status, err)
		if !mayRepeat {
			return
		}
		pause := max(min(after, time.Until(deadline)/3), wait/2+rand.N(wait))
		wait *= 2
		time.Sleep(pause)
	}
}

// arrivals lets users come to a front machine at even intervals until the context ends, more of them in a burst.
func (d *deployment) arrivals(ctx context.Context, front *machine, isBurst *atomic.Bool, users *sync.WaitGroup) {
	for number, next := 0, time.Now(); ctx.Err() == nil; number++ {
		time.Sleep(time.Until(next))
		coming := usualUsers
		if isBurst.Load() {
			coming = burstUsers
		}
		next = next.Add(uploadTime / time.Duration(coming))
		users.Go(func() { d.user(front, fmt.Sprintf("%s-%d", front.name, number)) })
	}
}

// balanced returns the machine to which the platform hands a new connection: the zone's own, or that of another
// zone if the zone's is out and another is in.
func (d *deployment) balanced(front *machine) *machine {
	if !front.isOut.Load() {
		return front
	}
	for _, other := range d.fronts() {
		if !other.isOut.Load() {
			return other
		}
	}
	return front
}

// watchReadiness asks a front machine once a second whether it is ready. One that misses twice is out until it
// answers 200 again.
func (m *machine) watchReadiness(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for misses := 0; ctx.Err() == nil; time.Sleep(time.Second) {
		response, err := client.Get("http://" + m.address(readyPort) + "/ravenway/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		if misses++; err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		}
		if isOut := misses >= 2; m.isOut.Swap(isOut) != isOut {
			m.deployment.record.event("platform: %s is out: %v", m.name, isOut)
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
	if err := d.configure(); err != nil {
		return cantRun, err
	}
	time.Sleep(4 * time.Second)
	load, stopLoad := context.WithCancel(context.Background())
	var arrivals, users, watches sync.WaitGroup
	var isBurst atomic.Bool
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
		watches.Go(func() { front.watchReadiness(load) })
		arrivals.Go(func() { d.arrivals(load, front, &isBurst, &users) })
	}
	time.Sleep(10 * time.Second)
	for range bursts {
		if trouble {
			log.event("%d users at each front machine in place of %d within %.1f s", burstUsers, usualUsers, burstTime.Seconds())
		}
		isBurst.Store(trouble)
		time.Sleep(burstTime)
		isBurst.Store(false)
		time.Sleep(burstPause)
	}
	stopLoad()
	arrivals.Wait()
	users.Wait()
	watches.Wait()
	log.event("%d ends for lack of memory, %d or more on each of %d machines", total, minimumEnds, machines)
	if machines >= minimumMachines {
		return broken, nil
	}
	return held, nil
}
