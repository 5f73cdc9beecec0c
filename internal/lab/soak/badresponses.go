package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/lab/badresponse"
	"github.com/ravenway/ravenway/internal/lab/standin"
)

const (
	// hangRoute is a route whose timeout, hangTimeout, is longer than a caller may leave data unread.
	hangRoute   = "patient"
	hangTimeout = 10 * time.Second
	// hangBody is the beginning of the body of a call to which engines never respond.
	hangBody = "hang "
	// endlessHeadBody and endlessErrorBody are those of calls whose response never ends.
	endlessHeadBody  = "endless head "
	endlessErrorBody = "endless error "
	// cutUploadBytes is the size of the bodies of calls whose response is cut while they are being written: more than
	// the buffers of a socket hold.
	cutUploadBytes = 4 << 20
	// callsOfEachKind is the number of such calls at each entry node.
	callsOfEachKind = 4
	// hangSlack is how much later than the timeout a call may be answered, endlessWait how long a call
	// whose response never ends may take, and brokenWait one with a response that is cut or not valid HTTP.
	hangSlack   = time.Second
	endlessWait = 3 * time.Second
	brokenWait  = 3 * time.Second
	// maximumEndlessBytes is how much an engine writes at most of a response that never ends: more than
	// the memory of a small entry node.
	maximumEndlessBytes = 300 << 20
	// maximumNodeMemory is the memory of a small entry node, in kB.
	maximumNodeMemory = 134 << 10
)

// checkBadResponses sends calls to which engines never respond, and calls to which they send bytes without end,
// each on a connection that has served a call before. All must be answered in time with a failure, and no entry
// node may take more memory than a small one has.
func (r *run) checkBadResponses(ctx context.Context) {
	var calls sync.WaitGroup
	for _, entry := range r.callers.entries {
		for number := range callsOfEachKind {
			id := fmt.Sprintf("bad-%s-%d", entry.name, number)
			calls.Go(func() { r.checkBadResponse(ctx, entry, hangRoute, id+"-hang", hangBody, hangTimeout+hangSlack) })
			calls.Go(func() { r.checkBadResponse(ctx, entry, hangRoute, id+"-head", endlessHeadBody, endlessWait) })
			calls.Go(func() { r.checkBadResponse(ctx, entry, string(Safe), id+"-error", endlessErrorBody, endlessWait) })
		}
	}
	calls.Wait()
	r.reportf("%d calls without a response, or with one that never ends, were sent", 3*callsOfEachKind*len(r.callers.entries))
	r.checkBrokenResponses(ctx)
	for _, entry := range r.callers.entries {
		if used := entry.peakMemory(); used > maximumNodeMemory {
			r.violationf("%s took %d kB of memory", entry.name, used)
		}
	}
}

// checkBrokenResponses sends calls to which engines send a response that is cut, or that is not valid HTTP, to routes
// that may be repeated and others. None of them may look complete.
func (r *run) checkBrokenResponses(ctx context.Context) {
	var calls sync.WaitGroup
	body := strings.Repeat("u", cutUploadBytes)
	for _, entry := range r.callers.entries {
		calls.Go(func() {
			for _, kind := range badresponse.Kinds() {
				for number, route := range []string{hangRoute, string(Safe)} {
					r.checkBrokenResponse(ctx, entry, route, fmt.Sprintf("bad-%s-%s-%d", entry.name, kind, number), body, kind)
				}
			}
		})
	}
	calls.Wait()
	r.reportf("%d calls with a response that is cut or not valid HTTP were sent", 2*len(badresponse.Kinds())*len(r.callers.entries))
}

// checkBrokenResponse sends one such call, which must be answered with a failure.
func (r *run) checkBrokenResponse(ctx context.Context, entry *machine, route, id, body string, kind badresponse.Kind) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	sentAt := time.Now()
	status, err := r.sendPlain(ctx, client, entry, route, id, body, kind)
	took := time.Since(sentAt)
	isFailure := http.StatusInternalServerError <= status && status < 600
	if err != nil || !isFailure || took > brokenWait {
		r.violationf("call %s at %s ended after %s with status %d: %v", id, entry.name, took, status, err)
	}
}

// checkBadResponse sends one call, which must be answered with a failure within a time.
func (r *run) checkBadResponse(ctx context.Context, entry *machine, route, id, body string, within time.Duration) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	if _, err := r.sendPlain(ctx, client, entry, string(Safe), id+"-first", ""); err != nil {
		r.violationf("call %s-first at %s: %v", id, entry.name, err)
		return
	}
	sentAt := time.Now()
	status, err := r.sendPlain(ctx, client, entry, route, id, body+id)
	took := time.Since(sentAt)
	if err != nil || status < http.StatusInternalServerError || took > within {
		r.violationf("call %s at %s ended after %s with status %d: %v", id, entry.name, took, status, err)
	}
}

// sendPlain sends a plain call and returns the status of the response.
func (r *run) sendPlain(ctx context.Context, client *http.Client, entry *machine, route, id, body string, asked ...badresponse.Kind) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*hangTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.address(callersPort)+"/"+route+"/x", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = callHost
	request.Header = r.fleet.wire.CallerHeader(standin.Call{ID: id, Key: keyPrefix + "tenant-0", MaximumWait: 2 * hangTimeout})
	for _, kind := range asked {
		request.Header.Set(badresponse.Header, string(kind))
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// respondBadly plays an engine that never responds, or never stops, to a call whose body asks for it.
func respondBadly(writer http.ResponseWriter, incoming *http.Request, body string) {
	switch {
	case strings.HasPrefix(body, hangBody):
		<-incoming.Context().Done()
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(body, endlessHeadBody):
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer connection.Close()
		if _, err := io.WriteString(connection, "HTTP/1.1 200 OK\r\nLong: "); err == nil {
			writeEndlessly(connection)
		}
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(body, endlessErrorBody):
		writer.WriteHeader(http.StatusInternalServerError)
		writeEndlessly(writer)
		panic(http.ErrAbortHandler)
	}
}

// writeEndlessly writes until the other end closes, or maximumEndlessBytes.
func writeEndlessly(to io.Writer) {
	piece := []byte(strings.Repeat("x", 64<<10))
	for written := 0; written < maximumEndlessBytes; written += len(piece) {
		if _, err := to.Write(piece); err != nil {
			return
		}
	}
}

// peakMemory returns the largest memory of the machine's process so far, in kB; 0 if it is not known.
func (m *machine) peakMemory() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.command == nil || !m.isRunning() {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			used, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return used
		}
	}
	return 0
}
