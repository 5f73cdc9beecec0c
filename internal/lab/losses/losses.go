// Package losses reports from nodes' logs where requests were lost: which ones
// were refused, late or broken off, when, for which tenant and route and why, and
// the state of the tenants' prepaid budgets at that time.
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

// reason is the reason why a request was not served in time: its first event was late, a pause between
// two events was too long, its stream was broken off, or it was refused.
type reason string

const (
	lateFirst reason = "late: first event"
	lateGap   reason = "late: pause"
	brokenOff reason = "broken off"
)

// lossKey is the key by which losses are aggregated.
type lossKey struct {
	reason reason
	route  string
}

// lossTotal aggregates the losses with one key.
type lossTotal struct {
	count int
	// tokenWait is the total time that the requests waited for tokens.
	tokenWait time.Duration
	// refusalTimes are the times from the arrival of each refused request to its refusal.
	refusalTimes []time.Duration
}

// refusalQuantile returns the quantile of the times from arrival to refusal, 0 if there are none.
// quantile is between 0 and 1.
func (s *lossTotal) refusalQuantile(quantile float64) time.Duration {
	if len(s.refusalTimes) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.refusalTimes))
	return sorted[int(quantile*float64(len(sorted)-1))]
}

// totalRefusalTime returns the total time from arrival to refusal.
func (s *lossTotal) totalRefusalTime() time.Duration {
	total := time.Duration(0)
	for _, one := range s.refusalTimes {
		total += one
	}
	return total
}

// budgetStatus is the state of one tenant's budget at a time, in tokens: its limit, the tokens spent,
// held by nodes and left at the root, and those forfeited, that is, written off with crashed
// incarnations of nodes.
type budgetStatus struct {
	limit, spent, held, left, forfeited int64
}

// timeStep aggregates the losses in one step of the time line.
type timeStep struct {
	// losses and tenants count the losses by reason and by tenant.
	losses  map[reason]int
	tenants map[string]int
	// refusalTime is the total time from arrival to refusal of the refused requests.
	refusalTime time.Duration
	// budgets is the state of each tenant's budget at the end of the step.
	budgets map[string]budgetStatus
}

// Report aggregates the losses found in logs.
type Report struct {
	startedAt  time.Time
	stepLength time.Duration
	totals     map[lossKey]*lossTotal
	// steps holds the steps of the time line by number.
	steps map[int]*timeStep
	// tenants counts the losses by tenant and reason.
	tenants map[string]map[reason]int
	// served, late and droppedLines are totals over the nodes' summary lines. droppedLines are those
	// that nodes left out because of the bounds of their logs.
	served, late, droppedLines int64
}

// Read aggregates the lines of nodes' logs by steps of time.
func Read(lines []logs.Line, step time.Duration) (*Report, error) {
	sorted, err := logs.SortedByTime(lines)
	if err != nil {
		return nil, err
	}
	report := &Report{
		startedAt: sorted[0].At, stepLength: step, totals: map[lossKey]*lossTotal{}, steps: map[int]*timeStep{}, tenants: map[string]map[reason]int{},
	}
	budgets := map[string]budgetStatus{}
	for _, line := range sorted {
		report.addLine(line, budgets)
	}
	return report, nil
}

func (r *Report) addLine(line logs.Line, budgets map[string]budgetStatus) {
	switch line.Fields["event"] {
	case "refused":
		r.addLoss(line, refusalReason(line), budgets)
	case "late":
		r.addLoss(line, latenessReason(line), budgets)
	case "account":
		if read, valid := readBudgetStatus(line); valid {
			budgets[line.Fields["tenant"]] = read
			maps.Copy(r.stepOf(line).budgets, budgets)
		}
	case "summary":
		for field, total := range map[string]*int64{"served": &r.served, "late": &r.late, "lines_left_out": &r.droppedLines} {
			if number, valid := line.Number(field); valid {
				*total += number
			}
		}
	}
}

func refusalReason(line logs.Line) reason {
	switch name := line.Fields["reason"]; name {
	case "broken_stream":
		return brokenOff
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
	return lateGap
}

func readBudgetStatus(line logs.Line) (budgetStatus, bool) {
	var read budgetStatus
	for field, value := range map[string]*int64{
		"limit": &read.limit, "spent": &read.spent, "outstanding": &read.held, "left": &read.left, "forfeited": &read.forfeited,
	} {
		number, valid := line.Number(field)
		if !valid {
			return budgetStatus{}, false
		}
		*value = number
	}
	return read, true
}

func (r *Report) stepOf(line logs.Line) *timeStep {
	number := int(line.At.Sub(r.startedAt) / r.stepLength)
	found := r.steps[number]
	if found == nil {
		found = &timeStep{losses: map[reason]int{}, tenants: map[string]int{}, budgets: map[string]budgetStatus{}}
		r.steps[number] = found
	}
	return found
}

func (r *Report) addLoss(line logs.Line, why reason, budgets map[string]budgetStatus) {
	key := lossKey{reason: why, route: line.Fields["route"]}
	total := r.totals[key]
	if total == nil {
		total = &lossTotal{}
		r.totals[key] = total
	}
	total.count++
	if wait, known := line.Number("token_wait_ms"); known {
		total.tokenWait += time.Duration(wait) * time.Millisecond
	}
	step := r.stepOf(line)
	if elapsed, known := line.Number("elapsed_ms"); known && line.Fields["event"] == "refused" {
		refusalTime := time.Duration(elapsed) * time.Millisecond
		total.refusalTimes = append(total.refusalTimes, refusalTime)
		step.refusalTime += refusalTime
	}
	step.losses[why]++
	maps.Copy(step.budgets, budgets)
	tenant := line.Fields["tenant"]
	step.tenants[tenant]++
	if r.tenants[tenant] == nil {
		r.tenants[tenant] = map[reason]int{}
	}
	r.tenants[tenant][why]++
}

// Print writes the report.
func (r *Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "served %d, late %d of them; %d lines were left out by the nodes' bounds\n\n", r.served, r.late, r.droppedLines)
	r.printTotals(table)
	r.printTenants(table)
	r.printSteps(table)
	return table.Flush()
}

func (r *Report) printTotals(out io.Writer) {
	fmt.Fprintln(out, "reason\troute\tlines\tmean wait for tokens\ttime until the refusal: total\tmedian\t99 in 100")
	keys := slices.SortedFunc(maps.Keys(r.totals), func(a, b lossKey) int {
		return cmp.Or(cmp.Compare(r.totals[b].count, r.totals[a].count), cmp.Compare(a.reason, b.reason), cmp.Compare(a.route, b.route))
	})
	for _, one := range keys {
		total := r.totals[one]
		wait := (total.tokenWait / time.Duration(total.count)).Round(time.Millisecond)
		fmt.Fprintf(out, "%s\t%s\t%d\t%v\t%v\t%v\t%v\n", one.reason, one.route, total.count, wait,
			total.totalRefusalTime(), total.refusalQuantile(0.5), total.refusalQuantile(0.99))
	}
	fmt.Fprintln(out)
}

func (r *Report) printTenants(out io.Writer) {
	fmt.Fprintln(out, "tenant\tlines\tmost frequent reason\tlimit\tspent\theld by nodes\tleft at the root\tforfeited")
	last := r.lastBudgets()
	for _, tenant := range slices.Sorted(maps.Keys(r.tenants)) {
		total, mostFrequent, highestCount := 0, reason(""), 0
		for _, why := range slices.Sorted(maps.Keys(r.tenants[tenant])) {
			count := r.tenants[tenant][why]
			total += count
			if count > highestCount {
				mostFrequent, highestCount = why, count
			}
		}
		fmt.Fprintf(out, "%s\t%d\t%s (%d)\t%s\n", cmp.Or(tenant, "-"), total, mostFrequent, highestCount, last[tenant])
	}
	fmt.Fprintln(out)
}

func (r *Report) lastBudgets() map[string]budgetStatus {
	budgets := map[string]budgetStatus{}
	for _, number := range slices.Sorted(maps.Keys(r.steps)) {
		maps.Copy(budgets, r.steps[number].budgets)
	}
	return budgets
}

// String returns the columns of a budget: the limit in tokens, the others as fractions of it.
func (s budgetStatus) String() string {
	if s.limit == 0 {
		return "-\t\t\t\t"
	}
	fraction := func(tokens int64) float64 { return float64(tokens) / float64(s.limit) }
	return fmt.Sprintf("%d\t%.3f\t%.3f\t%.3f\t%.3f", s.limit, fraction(s.spent), fraction(s.held), fraction(s.left), fraction(s.forfeited))
}

func (r *Report) printSteps(out io.Writer) {
	fmt.Fprintln(out, "from\tlosses\ttime until refusals\tmost affected tenant\tall limits\tspent\theld by nodes\tleft at the root\tforfeited")
	for _, number := range slices.Sorted(maps.Keys(r.steps)) {
		step := r.steps[number]
		var all budgetStatus
		for _, one := range step.budgets {
			all.limit += one.limit
			all.spent += one.spent
			all.held += one.held
			all.left += one.left
			all.forfeited += one.forfeited
		}
		reasons := ""
		for _, why := range slices.Sorted(maps.Keys(step.losses)) {
			reasons += fmt.Sprintf("%s %d; ", why, step.losses[why])
		}
		if reasons == "" {
			continue
		}
		mostAffected := slices.MaxFunc(slices.Sorted(maps.Keys(step.tenants)), func(a, b string) int { return cmp.Compare(step.tenants[a], step.tenants[b]) })
		fmt.Fprintf(out, "%v\t%s\t%v\t%s (%d)\t%s\n", time.Duration(number)*r.stepLength, reasons, step.refusalTime, cmp.Or(mostAffected, "-"), step.tenants[mostAffected], all)
	}
}
