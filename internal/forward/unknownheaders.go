package forward

import (
	"net/http"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/bounded"
)

// maximumUnknownHeaders bounds the headers that are remembered as already logged.
const maximumUnknownHeaders = 256

var unknownHeaders = metrics.GetOrCreateCounter("ravenway_answer_headers_unknown_total")

// serviceHeader is a header of a service's responses.
type serviceHeader struct{ service, name string }

// unknownHeaderDetector detects headers of engines' responses that this build doesn't know: an
// engine may send a signal that is not handled. Safe for concurrent use.
type unknownHeaderDetector struct {
	mutex sync.RWMutex
	seen  *bounded.Set[serviceHeader]
}

func newUnknownHeaderDetector() *unknownHeaderDetector {
	return &unknownHeaderDetector{seen: bounded.NewSet[serviceHeader](maximumUnknownHeaders)}
}

// takeNew returns, in order, the unknown header names in the head of a response that were not seen
// in the service's responses before.
func (d *unknownHeaderDetector) takeNew(service string, header http.Header, isKnown func(name string) bool) []string {
	var names []string
	for name := range header {
		if !isKnown(name) && d.note(serviceHeader{service: service, name: name}) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// note reports whether a header is seen for the first time and there is capacity to remember it.
func (d *unknownHeaderDetector) note(seen serviceHeader) bool {
	unknownHeaders.Inc()
	d.mutex.RLock()
	isSkipped := d.seen.Contains(seen) || d.seen.IsFull()
	d.mutex.RUnlock()
	if isSkipped {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.seen.Add(seen)
}
