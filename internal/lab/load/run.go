package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// maximumMillis is the highest value of the histograms, in milliseconds.
	maximumMillis = 10 * 60 * 1000
	// maximumAttempts is the maximum number of attempts at one request.
	maximumAttempts = 6
	retryDelay      = 300 * time.Millisecond
)

// Options configure a run.
type Options struct {
	Entries []string
	Mix     Mix
	// Rate is in requests per second. Arrivals are a Poisson process that does not wait for
	// responses.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Client   *Client
	// Retry makes callers send a request that was cut again to another entry node, with the same
	// idempotency key.
	Retry bool
	// WithoutKeys omits the idempotency keys.
	WithoutKeys bool
	// Done is called with each request, its last result and the number of attempts; it may be nil.
	Done func(Request, Result, int)
}

// Report summarizes what callers saw.
type Report struct {
	Sent     int             `json:"sent"`
	Outcomes map[Outcome]int `json:"outcomes"`
	Codes    map[string]int  `json:"codes"`
	// Retries counts further attempts after a failed one, CutAttempts the retried attempts that were
	// cut.
	Retries     int `json:"retries"`
	CutAttempts int `json:"cut_tries"`
	// Tokens is the usage reported to callers in complete responses, by tenant.
	Tokens map[string]uint64 `json:"tokens"`
	// FirstToken and Gap are in milliseconds, by kind.
	FirstToken map[Kind]Quantiles `json:"first_token_ms"`
	Gap        map[Kind]Quantiles `json:"gap_ms"`
	Details    []string           `json:"details,omitempty"`
}

// Quantiles are quantiles of a histogram, in its unit, and the number of its values.
type Quantiles struct {
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Count int64 `json:"count"`
}

// collector collects results from many goroutines.
type collector struct {
	mutex      sync.Mutex
	report     Report
	firstToken map[Kind]*hdrhistogram.Histogram
	gaps       map[Kind]*hdrhistogram.Histogram
}

// maximumDetails is the maximum number of details kept of failed requests.
const maximumDetails = 20

// Run sends the load and waits for all responses.
func Run(ctx context.Context, options Options) (Report, error) {
	if len(options.Entries) == 0 {
		return Report{}, ErrNoEntries
	}
	random := rand.New(rand.NewPCG(options.Seed, 0xda942042e4dd58b5))
	collected := &collector{
		report:     Report{Outcomes: map[Outcome]int{}, Codes: map[string]int{}, Tokens: map[string]uint64{}},
		firstToken: map[Kind]*hdrhistogram.Histogram{}, gaps: map[Kind]*hdrhistogram.Histogram{},
	}
	var sending sync.WaitGroup
	started := time.Now()
	nextArrival := time.Duration(0)
	for number := 0; ; number++ {
		nextArrival += time.Duration(random.ExpFloat64() / options.Rate * float64(time.Second))
		if nextArrival >= options.Duration || !pause.For(ctx, time.Until(started.Add(nextArrival))) {
			break
		}
		drawn := options.Mix.Draw(random, number)
		if options.WithoutKeys {
			drawn.Key = ""
		}
		first := random.IntN(len(options.Entries))
		sending.Go(func() { collected.send(ctx, options, drawn, first) })
	}
	sending.Wait()
	return collected.finalReport(), ctx.Err()
}

// send sends a request until its outcome is final, as a caller that retries does.
func (c *collector) send(ctx context.Context, options Options, wanted Request, first int) {
	var result Result
	attempts := 0
	for attempts < maximumAttempts {
		result = options.Client.Send(ctx, options.Entries[(first+attempts)%len(options.Entries)], wanted)
		attempts++
		if result.Outcome != Interrupted && result.Code != "in_progress" && result.Code != "outcome_unknown" {
			break
		}
		if !options.Retry || wanted.Key == "" || !pause.For(ctx, retryDelay) {
			break
		}
		c.recordRetry(result)
	}
	c.recordResult(wanted, result, attempts)
	if options.Done != nil {
		options.Done(wanted, result, attempts)
	}
}

func (c *collector) recordRetry(result Result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if result.Outcome == Interrupted {
		c.report.CutAttempts++
	}
	c.report.Retries++
}

func (c *collector) recordResult(wanted Request, result Result, attempts int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report.Sent++
	c.report.Outcomes[result.Outcome]++
	if result.Code != "" {
		c.report.Codes[string(result.Code)]++
	}
	if result.Outcome != Complete {
		if result.Outcome != Refused && len(c.report.Details) < maximumDetails {
			c.report.Details = append(c.report.Details, fmt.Sprintf("%s %s after %d attempts: %s %s", wanted.Kind, result.Outcome, attempts, result.Code, result.Detail))
		}
		return
	}
	c.report.Tokens[wanted.Tenant] += result.Tokens
	recordValue(c.firstToken, wanted.Kind, result.FirstToken)
	for _, gap := range result.Gaps {
		recordValue(c.gaps, wanted.Kind, gap)
	}
}

func recordValue(histograms map[Kind]*hdrhistogram.Histogram, kind Kind, value time.Duration) {
	if histograms[kind] == nil {
		histograms[kind] = hdrhistogram.New(1, maximumMillis, 3)
	}
	_ = histograms[kind].RecordValue(max(1, value.Milliseconds()))
}

func (c *collector) finalReport() Report {
	c.report.FirstToken = quantilesOf(c.firstToken)
	c.report.Gap = quantilesOf(c.gaps)
	return c.report
}

func quantilesOf(histograms map[Kind]*hdrhistogram.Histogram) map[Kind]Quantiles {
	result := map[Kind]Quantiles{}
	for kind, histogram := range histograms {
		result[kind] = Quantiles{
			P50: histogram.ValueAtQuantile(50), P95: histogram.ValueAtQuantile(95),
			P99: histogram.ValueAtQuantile(99), Count: histogram.TotalCount(),
		}
	}
	return result
}

// String returns the report as text.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "sent %d, outcomes %v, codes %v, retries %d, cut attempts %d\n", r.Sent, r.Outcomes, r.Codes, r.Retries, r.CutAttempts)
	kinds := make([]string, 0, len(r.FirstToken))
	for kind := range r.FirstToken {
		kinds = append(kinds, string(kind))
	}
	sort.Strings(kinds)
	for _, name := range kinds {
		first, gap := r.FirstToken[Kind(name)], r.Gap[Kind(name)]
		fmt.Fprintf(&text, "%-6s first part p50 %d ms, p95 %d ms, p99 %d ms (%d); between parts p50 %d ms, p95 %d ms\n",
			name, first.P50, first.P95, first.P99, first.Count, gap.P50, gap.P95)
	}
	for _, detail := range r.Details {
		fmt.Fprintln(&text, "  "+detail)
	}
	return text.String()
}
