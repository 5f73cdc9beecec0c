package escrow

import (
	"maps"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/machine"
)

const (
	// recallTimeout is how long holders may take to respond to a recall.
	recallTimeout = 600 * time.Millisecond
	// maximumBatch is the maximum number of reports in one command.
	maximumBatch = 512
)

// RootOptions set up a Root.
type RootOptions struct {
	// HoldersOf returns the holders that hold a part of a budget.
	HoldersOf func(budget string) []accounts.Holder
	// Respond and Recall pass messages to the transport.
	Respond func(to string, message ResponseMessage)
	Recall  func(to string, message RecallMessage)
	// SummaryOf returns the summary of a whole budget, and SendSummaries passes summaries to the
	// transport. If SendSummaries is nil, holders receive summaries only with the responses to
	// their reports.
	SummaryOf     func(budget string) BudgetSummary
	SendSummaries func(to string, message SummariesMessage)
	// RecallInterval is the time after a recall without enough returns in which the budget is not
	// recalled again. With many holders and that few tokens, each refusal would otherwise cost a
	// message to and from all of them.
	RecallInterval time.Duration
	// Contact reads the leader's clocks, for holders that respect allowances; nil if none does.
	Contact func() accounts.Contact
	// WithoutRecall is a deliberate defect for the simulation: refusals are sent without a recall.
	WithoutRecall bool
}

// Root is the leader's side of the escrow: it batches the holders' reports into commands, and recalls
// unused grants before it sends a refusal. It holds no state that must survive: a new leader starts
// with an empty Root.
type Root struct {
	options RootOptions
	queue   []pendingReport
	recalls map[string]*recall
	number  uint64
	// changed holds the budgets that were reported on since summaries were last sent, and sentSummaries
	// holds what was last sent of each budget.
	changed       []string
	sentSummaries map[string]sentSummary
	// insufficientRecalls holds when a recall of a budget last did not return enough.
	insufficientRecalls map[string]time.Duration
}

// pendingReport is one holder's report that waits to be committed.
type pendingReport struct {
	message ReportMessage
	// afterRecall is set if the budgets in the report were recalled, so that a refusal now is final.
	afterRecall bool
	// unreached is the number of holders that did not respond to the recall.
	unreached int
}

// recall is one budget's recall in progress.
type recall struct {
	number         uint64
	deadline       time.Duration
	pendingHolders map[accounts.HolderID]struct{}
	// shortReports holds the reports that fell short: those whose request could not be granted in full.
	// It has the newest one of each holder, in the order of the holders' first ones.
	shortReports []pendingReport
}

// keepShortReport keeps a report that fell short, in place of an earlier one of the same holder.
func (r *recall) keepShortReport(short pendingReport) {
	for position := range r.shortReports {
		if r.shortReports[position].message.Holder == short.message.Holder {
			r.shortReports[position] = short
			return
		}
	}
	r.shortReports = append(r.shortReports, short)
}

// NewRoot returns an empty Root.
func NewRoot(options RootOptions) *Root {
	return &Root{options: options, recalls: map[string]*recall{}, sentSummaries: map[string]sentSummary{}, insufficientRecalls: map[string]time.Duration{}}
}

// HandleReport queues a holder's report.
func (r *Root) HandleReport(message ReportMessage) {
	r.queue = append(r.queue, pendingReport{message: message})
}

// Batch is the reports of one command.
type Batch struct {
	Command machine.Command
	pending []pendingReport
}

// Batch removes waiting reports from the queue and returns them as one command to propose. It returns
// false if there are none.
func (r *Root) Batch() (Batch, bool) {
	count := min(len(r.queue), maximumBatch)
	if count == 0 {
		return Batch{}, false
	}
	batch := Batch{pending: r.queue[:count:count]}
	if r.options.Contact != nil {
		batch.Command.Contact = r.options.Contact()
	}
	r.queue = slices.Clone(r.queue[count:])
	for _, pending := range batch.pending {
		r.holdBackTopUps(pending)
		batch.Command.Reports = append(batch.Command.Reports, machine.HolderReports{
			Holder: pending.message.Holder, Reports: pending.message.Reports,
			LastContact: pending.message.LastContact, Allowances: pending.message.Allowances,
		})
	}
	return batch, true
}

// holdBackTopUps removes requests ahead of demand from a report while a budget is recalled: what
// holders return is for waiting requests. The holder requests the top-up again later.
func (r *Root) holdBackTopUps(pending pendingReport) {
	for position, report := range pending.message.Reports {
		if r.recalls[report.Budget] == nil && !pending.afterRecall {
			continue
		}
		pending.message.Reports[position].Expected = report.Required
		if report.Required == 0 {
			pending.message.Reports[position].Request = 0
		}
	}
}

// Applied handles the result of a committed batch: it responds to the holders and starts recalls.
func (r *Root) Applied(now time.Duration, batch Batch, result machine.Result) {
	for position, pending := range batch.pending {
		r.respond(now, pending, result.Responses[position], result.Contact)
		for _, report := range pending.message.Reports {
			if !slices.Contains(r.changed, report.Budget) {
				r.changed = append(r.changed, report.Budget)
			}
		}
	}
	for _, pending := range batch.pending {
		for _, done := range pending.message.Recalled {
			r.handleRecallResponse(done, pending.message.Holder)
		}
	}
}

func (r *Root) respond(now time.Duration, pending pendingReport, responses []accounts.Response, contact accounts.Contact) {
	message := ResponseMessage{Holder: pending.message.Holder}
	if pending.message.Allowances {
		message.Contact = contact
	}
	for position, response := range responses {
		if response.Short && pending.afterRecall {
			r.insufficientRecalls[response.Budget] = now
		}
		if response.Short && !pending.afterRecall && !r.options.WithoutRecall && !r.recallWasInsufficient(now, response.Budget) {
			report := pending.message.Reports[position]
			if r.startRecall(now, pending.message.Holder, report) {
				continue
			}
		}
		message.Responses = append(message.Responses, Response{Response: response, Unreached: pending.unreached})
	}
	if len(message.Responses) > 0 || message.Contact.Index > 0 {
		r.options.Respond(pending.message.Holder.Node, message)
	}
}

func (r *Root) recallWasInsufficient(now time.Duration, budget string) bool {
	at, found := r.insufficientRecalls[budget]
	return found && now-at < r.options.RecallInterval
}

// startRecall keeps a report that fell short until the holders have returned what they do not use. It
// returns false if no holder holds anything.
func (r *Root) startRecall(now time.Duration, holder accounts.HolderID, report accounts.Report) bool {
	short := pendingReport{
		message:     ReportMessage{Holder: holder, Reports: []accounts.Report{report}},
		afterRecall: true,
	}
	if running := r.recalls[report.Budget]; running != nil {
		running.keepShortReport(short)
		return true
	}
	// The requesting holder is recalled from too: it may hold a part that another one lacks.
	holders := r.options.HoldersOf(report.Budget)
	if len(holders) == 0 {
		return false
	}
	r.number++
	started := &recall{number: r.number, deadline: now + recallTimeout, pendingHolders: map[accounts.HolderID]struct{}{}}
	started.keepShortReport(short)
	r.recalls[report.Budget] = started
	for _, recalled := range holders {
		started.pendingHolders[recalled.ID] = struct{}{}
		r.recallFrom(report.Budget, recalled)
	}
	return true
}

// RecallAll recalls the unused grants of a budget from every holder, before its limit is lowered.
func (r *Root) RecallAll(budget string) {
	for _, holder := range r.options.HoldersOf(budget) {
		r.number++
		r.recallFrom(budget, holder)
	}
}

func (r *Root) recallFrom(budget string, holder accounts.Holder) {
	r.options.Recall(holder.ID.Node, RecallMessage{Holder: holder.ID, Budget: budget, Number: r.number, Granted: holder.Granted})
}

func (r *Root) handleRecallResponse(message RecallMessage, holder accounts.HolderID) {
	running := r.recalls[message.Budget]
	if running == nil || running.number != message.Number {
		return
	}
	delete(running.pendingHolders, holder)
	if len(running.pendingHolders) == 0 {
		r.endRecall(message.Budget, running)
	}
}

// endRecall ends a recall and queues the reports that fell short to be decided again.
func (r *Root) endRecall(budget string, ended *recall) {
	delete(r.recalls, budget)
	for position := range ended.shortReports {
		ended.shortReports[position].unreached = len(ended.pendingHolders)
	}
	// They go before all others: what was returned is for them.
	r.queue = append(ended.shortReports, r.queue...)
}

// Tick ends recalls whose deadline has passed, and sends summaries of budgets to holders.
func (r *Root) Tick(now time.Duration) {
	if r.options.SendSummaries != nil {
		r.sendSummaries(now)
	}
	for _, budget := range slices.Sorted(maps.Keys(r.recalls)) {
		running := r.recalls[budget]
		if now >= running.deadline {
			r.endRecall(budget, running)
		}
	}
}
