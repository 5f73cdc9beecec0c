package soak

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// reservationMetric names the entry nodes' counters of requests to reserve a prompt; the label
	// names the result.
	reservationMetric = `ravenway_prompt_reservations_total{result="`
	// reservationPollInterval is the time between two readings of the counters. What a process counts
	// between the last reading and its end is lost.
	reservationPollInterval = 300 * time.Millisecond
	reservationPollTimeout  = 200 * time.Millisecond
)

// reservationCounts sums up the entry nodes' counters over all of their processes.
type reservationCounts struct {
	mutex sync.Mutex
	// last holds the last reading of each machine's counters, and total the sums, by result.
	last  map[*machine]map[string]int
	total map[string]int
}

func newReservationCounts() *reservationCounts {
	return &reservationCounts{last: map[*machine]map[string]int{}, total: map[string]int{}}
}

// add adds a reading of a machine's counters. A counter that is lower than before belongs to a new
// process.
func (c *reservationCounts) add(of *machine, reading map[string]int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for result, count := range reading {
		before := c.last[of][result]
		if count < before {
			before = 0
		}
		c.total[result] += count - before
	}
	c.last[of] = reading
}

// totals returns the sums by result.
func (c *reservationCounts) totals() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.total)
}

// countReservations reads the counters of all entry nodes until the context ends.
func (r *run) countReservations(ctx context.Context) {
	client := &http.Client{Timeout: reservationPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, one := range r.fleet.members {
			if one.isControl {
				continue
			}
			if reading, err := readReservations(client, one); err == nil {
				r.reservations.add(one, reading)
			}
		}
		pause.For(ctx, reservationPollInterval)
	}
}

func readReservations(client *http.Client, of *machine) (map[string]int, error) {
	response, err := client.Get("http://" + of.address(healthPort) + "/metrics")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return parseReservations(response.Body)
}

// parseReservations reads the counters from a node's metrics, by result.
func parseReservations(metrics io.Reader) (map[string]int, error) {
	reading := map[string]int{}
	lines := bufio.NewScanner(metrics)
	for lines.Scan() {
		rest, isCounter := strings.CutPrefix(lines.Text(), reservationMetric)
		result, value, hasValue := strings.Cut(rest, `"} `)
		if !isCounter || !hasValue {
			continue
		}
		count, err := strconv.Atoi(value)
		if err != nil {
			return nil, err
		}
		reading[result] = count
	}
	return reading, lines.Err()
}
