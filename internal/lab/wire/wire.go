// Package wire is the lab's own wire interface between callers, ravenway and
// engine stand-ins: a minimal gateway.Dialect. Tests of the forwarding and of
// whole fleets use it.
package wire

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/slotlease"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/gateway"
)

// Headers of the interface. HeaderWait is a caller's maximum wait, or what is left of it in a request
// to an engine, as a Go duration. HeaderTokens holds the number of tokens of the prompt and the maximum
// number of generated tokens, separated by a comma. HeaderPart holds the ids of the parts of the
// prompt in order, separated by commas, HeaderAfter the last event received of a stream that is to be resumed, and HeaderResumes the
// id of the caller's attempt that brought its first event.
const (
	HeaderRequest  = "Lab-Request"
	HeaderWait     = "Lab-Wait"
	HeaderKey      = "Lab-Key"
	HeaderTenant   = "Lab-Tenant"
	HeaderInstance = "Lab-Instance"
	HeaderNotRun   = "Lab-Not-Run"
	HeaderTokens   = "Lab-Tokens"
	HeaderPart     = "Lab-Part"
	HeaderAfter    = "Lab-After"
	HeaderResumes  = "Lab-Resumes"
	// HeaderRateLimit is the rate limit of an engine for all nodes together, in requests per
	// second.
	HeaderRateLimit = "Lab-Rate-Limit"
	// HeaderPause is the pause that an engine requests of the node as it rejects a request, in
	// seconds.
	HeaderPause = "Lab-Pause"
	// HeaderLeaving announces that an engine shuts down.
	HeaderLeaving = "Lab-Leaving"
	// HeaderBrittle names the number of rejections in a second that an engine survives.
	HeaderBrittle = "Lab-Brittle"
)

// ReadyPath is the path at which an entry node reports whether it is ready.
const ReadyPath = "/ready"

// Dialect implements gateway.Dialect.
type Dialect struct{}

var _ gateway.Dialect = Dialect{}

// ReadCall implements forward.Dialect.
func (Dialect) ReadCall(request *http.Request) (*forward.Call, error) {
	header := request.Header
	call := &forward.Call{ID: header.Get(HeaderRequest), Key: header.Get(HeaderKey), LastEvent: header.Get(HeaderAfter), Resumes: header.Get(HeaderResumes), Header: header}
	if call.ID == "" {
		return nil, fmt.Errorf("%s is missing", HeaderRequest)
	}
	if value := header.Get(HeaderWait); value != "" {
		wait, err := time.ParseDuration(value)
		if err != nil {
			return nil, err
		}
		call.Wait = wait
	}
	if in, out, found := strings.Cut(header.Get(HeaderTokens), ","); found {
		call.TokensIn, _ = strconv.ParseUint(in, 10, 64)
		call.TokensOut, _ = strconv.ParseUint(out, 10, 64)
		call.HasTokens = true
	}
	for _, part := range Parts(header) {
		call.Parts = append(call.Parts, forward.PromptPart{ID: part})
	}
	return call, nil
}

// Parts returns the ids of the parts of a request's prompt.
func Parts(header http.Header) []string {
	value := header.Get(HeaderPart)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// EngineHeader implements forward.Dialect.
func (Dialect) EngineHeader(attempt forward.Attempt) http.Header {
	header := forward.EndToEndHeader(attempt.Call.Header)
	delete(header, HeaderKey)
	header.Set(HeaderInstance, attempt.Instance)
	header.Set(HeaderWait, attempt.Left.String())
	header.Set(HeaderTenant, attempt.Tenant)
	delete(header, HeaderAfter)
	if attempt.LastEvent != "" {
		header.Set(HeaderAfter, attempt.LastEvent)
	}
	return header
}

// ReadResponse implements forward.Dialect.
func (Dialect) ReadResponse(status int, header http.Header) forward.ResponseHead {
	return forward.ResponseHead{
		ID: header.Get(HeaderRequest), NotRun: header.Get(HeaderNotRun) != "",
		OtherInstance: status == http.StatusMisdirectedRequest, RateLimit: ratelimit.Read(header[HeaderRateLimit]),
		Backoff: backoff.ReadPause(header[HeaderPause]).WithLeaving(header[HeaderLeaving]), Brittle: slotlease.Read(header[HeaderBrittle]),
	}
}

// KnowsResponseHeader implements forward.Dialect.
func (Dialect) KnowsResponseHeader(name string) bool {
	return forward.IsHTTPResponseHeader(name) || slices.Contains([]string{HeaderRequest, HeaderNotRun, HeaderRateLimit, HeaderPause, HeaderLeaving, HeaderBrittle}, name)
}

// ControlHandler implements gateway.Dialect. It serves nothing: the lab calls gateway.Control
// directly.
func (Dialect) ControlHandler(gateway.Control) http.Handler { return http.NotFoundHandler() }

// ReadyHandler implements gateway.Dialect.
func (Dialect) ReadyHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
