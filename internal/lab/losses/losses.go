// Package losses tells from nodes' logs where requests were lost: what was
// refused, late or broken off, when, for which tenant and route and why, and how
// the tenants' prepaid tokens stood at that moment.
package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/ravenway/ravenway/internal/logs"
)

// reason says what became of a request that was not served in time.
type reason string

const (
	lateFirst reason = "late: first event"
	latePause reason = "late: pause"
	broken    reason = "broken off"
)

// kind is what losses are summed up by.
type kind struct {
	reason reason
	route  string
}

// sum is what is known of the losses of one kind.
type sum struct {
	count int
	// tokenWait is the time that the requests waited for tokens.
	tokenWait time.Duration
	// held are the times from the arrival of each refused request to its refusal.
	held []time.Duration
}

// heldPart is the time within which a part of the refused requests had their
// refusal, 0 if there are none.
func (s *sum) heldPart(part float64) time.Duration {
	if len(s.held) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.held))
	return sorted[int(part*float64(len(sorted)-1))]
}

// heldSum is the time that the requests were kept waiting in all.
func (s *sum) heldSum() time.Duration {
	total := time.Duration(0)
	for _, one := range s.held {
		total += one
	}
	return total
}

// standing is how one tenant's tokens stood at a moment.
type standing struct {
	limit, spent, held, left, forfeited int64
}

// moment is one step of the time line.
type moment struct {
	losses  map[reason]int
	tenants map[string]int
	// held is the time that refused requests were kept waiting.
	held time.Duration
	// accounts is the last standing of each tenant at its end.
	accounts map[string]standing
}

// Report is what the logs tell.
type Report struct {
	first   time.Time
	step    time.Duration
	kinds   map[kind]*sum
	moments map[int]*moment
	tenants map[string]map[reason]int
	// served, late and leftOut are sums of the nodes' summaries.
	served, late, leftOut int64
}

// Read sums up the lines of nodes' logs by steps of time.
func Read(lines []logs.Line, step time.Duration) (*Report, error) {
	sorted, err := logs.SortedByTime(lines)
	if err != nil {
		return nil, err
	}
	report := &Report{
		first: sorted[0].At, step: step, kinds: map[kind]*sum{}, moments: map[int]*moment{}, tenants: map[string]map[reason]int{},
	}
	accounts := map[string]standing{}
	for _, line := range sorted {
		report.take(line, accounts)
	}
	return report, nil
}

func (r *Report) take(line logs.Line, accounts map[string]standing) {
	switch line.Fields["event"] {
	case "refused":
		r.lose(line, refusalReason(line), accounts)
	case "late":
		r.lose(line, latenessReason(line), accounts)
	case "account":
		if read, valid := readStanding(line); valid {
			accounts[line.Fields["tenant"]] = read
			maps.Copy(r.momentOf(line).accounts, accounts)
		}
	case "summary":
		for field, total := range map[string]*int64{"served": &r.served, "late": &r.late, "lines_left_out": &r.leftOut} {
			if number, valid := line.Number(field); valid {
				*total += number
			}
		}
	}
}

func refusalReason(line logs.Line) reason {
	switch name := line.Fields["reason"]; name {
	case "broken_stream":
		return broken
	default:
		return reason("refused: " + name)
	}
}

func latenessReason(line logs.Line) reason {
	first, knownFirst := line.Number("first_ms")
	objective, knownObjective := line.Number("objective_ms")
	if knownFirst && knownObjective && first > objective {
		return lateFirst
	}
	return latePause
}

func readStanding(line logs.Line) (standing, bool) {
	var read standing
	for field, value := range map[string]*int64{
		"limit": &read.limit, "spent": &read.spent, "outstanding": &read.held, "left": &read.left, "forfeited": &read.forfeited,
	} {
		number, valid := line.Number(field)
		if !valid {
			return standing{}, false
		}
		*value = number
	}
	return read, true
}

func (r *Report) momentOf(line logs.Line) *moment {
	place := int(line.At.Sub(r.first) / r.step)
	found := r.moments[place]
	if found == nil {
		found = &moment{losses: map[reason]int{}, tenants: map[string]int{}, accounts: map[string]standing{}}
		r.moments[place] = found
	}
	return found
}

func (r *Report) lose(line logs.Line, why reason, accounts map[string]standing) {
	of := kind{reason: why, route: line.Fields["route"]}
	total := r.kinds[of]
	if total == nil {
		total = &sum{}
		r.kinds[of] = total
	}
	total.count++
	if wait, known := line.Number("token_wait_ms"); known {
		total.tokenWait += time.Duration(wait) * time.Millisecond
	}
	at := r.momentOf(line)
	if elapsed, known := line.Number("elapsed_ms"); known && line.Fields["event"] == "refused" {
		held := time.Duration(elapsed) * time.Millisecond
		total.held = append(total.held, held)
		at.held += held
	}
	at.losses[why]++
	maps.Copy(at.accounts, accounts)
	tenant := line.Fields["tenant"]
	at.tenants[tenant]++
	if r.tenants[tenant] == nil {
		r.tenants[tenant] = map[reason]int{}
	}
	r.tenants[tenant][why]++
}

// Print writes the report.
func (r *Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "served %d, late %d of them; %d lines were left out by the nodes' bounds\n\n", r.served, r.late, r.leftOut)
	r.printKinds(table)
	r.printTenants(table)
	r.printMoments(table)
	return table.Flush()
}

func (r *Report) printKinds(out io.Writer) {
	fmt.Fprintln(out, "reason\troute\tlines\tmean wait for tokens\tkept waiting before the refusal: in all\tmedian\t99 in 100")
	kinds := slices.SortedFunc(maps.Keys(r.kinds), func(a, b kind) int {
		return cmp.Or(cmp.Compare(r.kinds[b].count, r.kinds[a].count), cmp.Compare(a.reason, b.reason), cmp.Compare(a.route, b.route))
	})
	for _, one := range kinds {
		total := r.kinds[one]
		wait := (total.tokenWait / time.Duration(total.count)).Round(time.Millisecond)
		fmt.Fprintf(out, "%s\t%s\t%d\t%v\t%v\t%v\t%v\n", one.reason, one.route, total.count, wait,
			total.heldSum(), total.heldPart(0.5), total.heldPart(0.99))
	}
	fmt.Fprintln(out)
}

func (r *Report) printTenants(out io.Writer) {
	fmt.Fprintln(out, "tenant\tlines\tmost for\tlimit\tspent\theld by nodes\tleft at the root\tforfeited")
	last := r.lastAccounts()
	for _, tenant := range slices.Sorted(maps.Keys(r.tenants)) {
		total, most, mostCount := 0, reason(""), 0
		for _, why := range slices.Sorted(maps.Keys(r.tenants[tenant])) {
			count := r.tenants[tenant][why]
			total += count
			if count > mostCount {
				most, mostCount = why, count
			}
		}
		fmt.Fprintf(out, "%s\t%d\t%s (%d)\t%s\n", cmp.Or(tenant, "-"), total, most, mostCount, last[tenant])
	}
	fmt.Fprintln(out)
}

func (r *Report) lastAccounts() map[string]standing {
	accounts := map[string]standing{}
	for _, place := range slices.Sorted(maps.Keys(r.moments)) {
		maps.Copy(accounts, r.moments[place].accounts)
	}
	return accounts
}

// String gives the columns of an account: the limit in tokens, the rest in parts
// of it.
func (s standing) String() string {
	if s.limit == 0 {
		return "-\t\t\t\t"
	}
	part := func(tokens int64) float64 { return float64(tokens) / float64(s.limit) }
	return fmt.Sprintf("%d\t%.3f\t%.3f\t%.3f\t%.3f", s.limit, part(s.spent), part(s.held), part(s.left), part(s.forfeited))
}

func (r *Report) printMoments(out io.Writer) {
	fmt.Fprintln(out, "from\tlosses\tkept waiting before refusals\tmost hit tenant\tall limits\tspent\theld by nodes\tleft at the root\tforfeited")
	for _, place := range slices.Sorted(maps.Keys(r.moments)) {
		at := r.moments[place]
		var all standing
		for _, one := range at.accounts {
			all.limit += one.limit
			all.spent += one.spent
			all.held += one.held
			all.left += one.left
			all.forfeited += one.forfeited
		}
		reasons := ""
		for _, why := range slices.Sorted(maps.Keys(at.losses)) {
			reasons += fmt.Sprintf("%s %d; ", why, at.losses[why])
		}
		if reasons == "" {
			continue
		}
		most := slices.MaxFunc(slices.Sorted(maps.Keys(at.tenants)), func(a, b string) int { return cmp.Compare(at.tenants[a], at.tenants[b]) })
		fmt.Fprintf(out, "%v\t%s\t%v\t%s (%d)\t%s\n", time.Duration(place)*r.step, reasons, at.held, cmp.Or(most, "-"), at.tenants[most], all)
	}
}
