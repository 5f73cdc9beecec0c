package escrow

import (
	"maps"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/machine"
)

const (
	// recallTimeout is how long holders may take to answer a recall.
	recallTimeout = 600 * time.Millisecond
	// maximumBatch bounds the reports of one command.
	maximumBatch = 512
)

// RootOptions set up a Root.
type RootOptions struct {
	// HoldersOf returns the holders that hold a part of a budget.
	HoldersOf func(budget string) []accounts.Holder
	// Reply and Recall hand messages to the transport.
	Reply  func(to string, message AnswerMessage)
	Recall func(to string, message RecallMessage)
	// StandingOf returns how a budget stands, and Tell hands the message to the
	// transport. Without Tell holders learn it with their answers only.
	StandingOf func(budget string) Standing
	Tell       func(to string, message StandingsMessage)
	// RecallPause is how long after a recall that did not bring enough a budget
	// is not recalled again: with many holders that short of tokens, each refusal
	// would cost a message to and from all of them.
	RecallPause time.Duration
	// Contact reads the leader's clocks, for holders that keep to allowances; nil where
	// there are none.
	Contact func() accounts.Contact
	// WithoutRecall is a deliberate defect for the simulation: refusals are
	// given at once.
	WithoutRecall bool
}

// Root is the leader's side of the escrow: it batches the holders' reports
// into commands, and recalls unused grants before it lets a refusal out. It
// holds nothing that must survive: a new leader starts with an empty one.
type Root struct {
	options RootOptions
	queue   []pendingReport
	recalls map[string]*recall
	number  uint64
	// changed are the budgets that were reported on since the holders were last
	// told, told what they were told.
	changed []string
	told    map[string]toldStanding
	// inVain is when a recall of a budget last did not bring enough.
	inVain map[string]time.Duration
}

// pendingReport is one holder's report on its way through the log.
type pendingReport struct {
	message ReportMessage
	// afterRecall: the budgets in it were recalled; a refusal now is final.
	afterRecall bool
	unreached   int
}

// recall is one budget's recall in progress.
type recall struct {
	number   uint64
	deadline time.Duration
	waiting  map[accounts.HolderID]struct{}
	// short are the newest reports that fell short, one a holder, in the order
	// in which the holders first did.
	short []pendingReport
}

// keepShort notes a report that fell short in place of the holder's earlier one.
func (r *recall) keepShort(short pendingReport) {
	for position := range r.short {
		if r.short[position].message.Holder == short.message.Holder {
			r.short[position] = short
			return
		}
	}
	r.short = append(r.short, short)
}

// NewRoot makes a root side.
func NewRoot(options RootOptions) *Root {
	return &Root{options: options, recalls: map[string]*recall{}, told: map[string]toldStanding{}, inVain: map[string]time.Duration{}}
}

// Take queues a holder's report.
func (r *Root) Take(message ReportMessage) {
	r.queue = append(r.queue, pendingReport{message: message})
}

// Batch is a command's worth of reports.
type Batch struct {
	Command machine.Command
	pending []pendingReport
}

// Batch takes waiting reports to be proposed as one command, or false.
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
			LastContact: pending.message.Heard, Allowances: pending.message.Allowances,
		})
	}
	return batch, true
}

// holdBackTopUps grants nothing ahead of demand while a budget is recalled:
// what comes back is for requests at hand. The holder asks again.
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

// Applied takes the result of a batch that was committed, answers the holders
// and starts recalls.
func (r *Root) Applied(now time.Duration, batch Batch, result machine.Result) {
	for position, pending := range batch.pending {
		r.answer(now, pending, result.Responses[position], result.Contact)
		for _, report := range pending.message.Reports {
			if !slices.Contains(r.changed, report.Budget) {
				r.changed = append(r.changed, report.Budget)
			}
		}
	}
	for _, pending := range batch.pending {
		for _, done := range pending.message.Recalled {
			r.recallAnswered(done, pending.message.Holder)
		}
	}
}

func (r *Root) answer(now time.Duration, pending pendingReport, answers []accounts.Response, contact accounts.Contact) {
	reply := AnswerMessage{Holder: pending.message.Holder}
	if pending.message.Allowances {
		reply.Contact = contact
	}
	for position, answer := range answers {
		if answer.Short && pending.afterRecall {
			r.inVain[answer.Budget] = now
		}
		if answer.Short && !pending.afterRecall && !r.options.WithoutRecall && !r.recalledInVain(now, answer.Budget) {
			report := pending.message.Reports[position]
			if r.startRecall(now, pending.message.Holder, report) {
				continue
			}
		}
		reply.Answers = append(reply.Answers, Answer{Response: answer, Unreached: pending.unreached})
	}
	if len(reply.Answers) > 0 || reply.Contact.Index > 0 {
		r.options.Reply(pending.message.Holder.Node, reply)
	}
}

func (r *Root) recalledInVain(now time.Duration, budget string) bool {
	at, found := r.inVain[budget]
	return found && now-at < r.options.RecallPause
}

// startRecall keeps a report that fell short until the other holders have
// returned what they do not use. It returns false if nobody holds anything.
func (r *Root) startRecall(now time.Duration, holder accounts.HolderID, report accounts.Report) bool {
	short := pendingReport{
		message:     ReportMessage{Holder: holder, Reports: []accounts.Report{report}},
		afterRecall: true,
	}
	if running := r.recalls[report.Budget]; running != nil {
		running.keepShort(short)
		return true
	}
	// The asking holder is asked too: it may hold a part that another one lacks.
	holders := r.options.HoldersOf(report.Budget)
	if len(holders) == 0 {
		return false
	}
	r.number++
	started := &recall{number: r.number, deadline: now + recallTimeout, waiting: map[accounts.HolderID]struct{}{}}
	started.keepShort(short)
	r.recalls[report.Budget] = started
	for _, one := range holders {
		started.waiting[one.ID] = struct{}{}
		r.recallFrom(report.Budget, one)
	}
	return true
}

// RecallAll asks every holder of a budget for its unused grant, before a limit
// is lowered.
func (r *Root) RecallAll(budget string) {
	for _, holder := range r.options.HoldersOf(budget) {
		r.number++
		r.recallFrom(budget, holder)
	}
}

func (r *Root) recallFrom(budget string, holder accounts.Holder) {
	r.options.Recall(holder.ID.Node, RecallMessage{Holder: holder.ID, Budget: budget, Number: r.number, Granted: holder.Granted})
}

func (r *Root) recallAnswered(message RecallMessage, holder accounts.HolderID) {
	running := r.recalls[message.Budget]
	if running == nil || running.number != message.Number {
		return
	}
	delete(running.waiting, holder)
	if len(running.waiting) == 0 {
		r.endRecall(message.Budget, running)
	}
}

// endRecall decides again what fell short.
func (r *Root) endRecall(budget string, ended *recall) {
	delete(r.recalls, budget)
	for position := range ended.short {
		ended.short[position].unreached = len(ended.waiting)
	}
	// Before all others: what was recalled is for them.
	r.queue = append(ended.short, r.queue...)
}

// Tick ends recalls whose time is over, and tells holders how budgets stand.
func (r *Root) Tick(now time.Duration) {
	if r.options.Tell != nil {
		r.tellStandings(now)
	}
	for _, budget := range slices.Sorted(maps.Keys(r.recalls)) {
		running := r.recalls[budget]
		if now >= running.deadline {
			r.endRecall(budget, running)
		}
	}
}
