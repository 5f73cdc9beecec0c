package fleet

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/lab/badresponse"
	"github.com/ravenway/ravenway/internal/lab/deployment"
	"github.com/ravenway/ravenway/internal/protocol/caller"
)

// replacePlainBackends makes a function respond to all requests to plain services, and counts them.
func replacePlainBackends(f *Fleet, respond func(connection net.Conn)) *atomic.Int64 {
	count := &atomic.Int64{}
	plain := map[string]bool{}
	for _, service := range f.Plan.Catalog().GetServices() {
		plain[service.GetName()] = service.GetKind() == ravenwayv1.ServiceKind_SERVICE_KIND_PLAIN
	}
	for _, backend := range f.Plan.Catalog().GetBackends() {
		if !plain[backend.GetService()] {
			continue
		}
		listener := f.Network.Listen(zoneMachine(backend.GetZone()), backend.GetAddress())
		f.goroutines.Go(func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				f.goroutines.Go(func() {
					defer connection.Close()
					request, err := http.ReadRequest(bufio.NewReader(connection))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					count.Add(1)
					respond(connection)
				})
			}
		})
		f.goroutines.Go(func() {
			<-f.ctx.Done()
			_ = listener.Close()
		})
	}
	return count
}

// callPlain sends a call to the plain service, and returns the response with its whole body.
func callPlain(f *Fleet, method, deadline string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, "http://"+f.EntryAddress("lhr-a-2")+f.Plan.PlainPrefix+"/case/1", strings.NewReader("body"))
	if err != nil {
		return nil, "", err
	}
	return sendPlain(f, request, deadline)
}

func sendPlain(f *Fleet, request *http.Request, deadline string) (*http.Response, string, error) {
	request.Header.Set("Authorization", "Bearer "+f.Plan.APIKey("tenant-04"))
	request.Header.Set(caller.HeaderDeadline, deadline)
	response, err := f.callers.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards against a response of a plain service that is not valid HTTP: its status made the handler panic, so that the
// caller got no answer, or it was passed on.
func TestPlainResponseThatIsNotValidHTTPIsNotPassedOn(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 200 OK\r\nBad Name: x\r\n"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(head+method, func(t *testing.T) {
				withFleet(t, deployment.ZameenHaq(), func(t *testing.T, f *Fleet) {
					requests := replacePlainBackends(f, func(connection net.Conn) {
						_, _ = io.WriteString(connection, head+"Content-Length: 4\r\n\r\nbody")
					})
					response, body, err := callPlain(f, method, "5s")
					assert.NilError(t, err)
					assert.Assert(t, response.StatusCode >= 400, "status %d: %s", response.StatusCode, body)
					assert.Assert(t, strings.Contains(body, string(caller.CodeOutcomeUnknown)), body)
					assert.Assert(t, !strings.Contains(body, `"not_run":true`), body)
					assert.Assert(t, requests.Load() == 1 || method == http.MethodGet, "%d requests", requests.Load())
				})
			})
		}
	}
}

// Guards against a response of a plain service that is cut by the caller's deadline and looks complete.
func TestPlainResponseThatIsCutByTheDeadlineIsNotComplete(t *testing.T) {
	withFleet(t, deployment.ZameenHaq(), func(t *testing.T, f *Fleet) {
		replacePlainBackends(f, func(connection net.Conn) {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
			// The rest comes too late.
			time.Sleep(10 * time.Second)
			_, _ = io.WriteString(connection, "4\r\nrest\r\n0\r\n\r\n")
		})
		_, body, err := callPlain(f, http.MethodGet, "2s")
		assert.Assert(t, err != nil, "looks complete: %q", body)
	})
}

// Guards against bad responses of an emulated service that are passed on, one kind after the other.
func TestBadResponsesOfAnEmulatedServiceAreNotPassedOn(t *testing.T) {
	withFleet(t, deployment.ZameenHaq(), func(t *testing.T, f *Fleet) {
		for _, kind := range badresponse.Kinds() {
			request, err := http.NewRequest(http.MethodPost, "http://"+f.EntryAddress("lhr-a-2")+f.Plan.PlainPrefix+"/case/1", strings.NewReader(strings.Repeat("u", 100<<10)))
			assert.NilError(t, err)
			request.Header.Set(badresponse.Header, string(kind))
			response, body, err := sendPlain(f, request, "5s")
			if kind == badresponse.BadTrailer {
				// The relay of the response has begun when its end arrives.
				assert.Assert(t, err != nil, "%s: status %d: %s", kind, response.StatusCode, body)
				continue
			}
			assert.Assert(t, err != nil || response.StatusCode >= 400 && !strings.Contains(body, `"not_run":true`), "%s: status %d: %s", kind, response.StatusCode, body)
		}
	})
}

// Guards against calls that are at a back end when a planned stop runs out of time, and get no answer before the node closes
// their connections.
func TestCallsThatOutlastAPlannedStopAreAnswered(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			withFleet(t, deployment.ZameenHaq(), func(t *testing.T, f *Fleet) {
				replacePlainBackends(f, func(connection net.Conn) {
					time.Sleep(20 * time.Second)
					_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
				})
				answered := make(chan struct{})
				f.goroutines.Go(func() {
					defer close(answered)
					response, body, err := callPlain(f, method, "30s")
					assert.Check(t, err == nil && response.StatusCode >= 400 && strings.Contains(body, string(caller.CodeOutcomeUnknown)), "%v: %s", err, body)
				})
				time.Sleep(500 * time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_ = f.StopGracefully(ctx, "lhr-a-2")
				<-answered
			})
		})
	}
}
