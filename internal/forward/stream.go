package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/quarantine"
)

// relayStream relays a stream's events as they arrive. An interrupted stream is resumed at another
// instance of its version if the route allows it, and otherwise ends so that it does not look complete.
func (r *request) relayStream(ctx context.Context, sending *exchange, choice *balance.Choice) (balance.Outcome, attemptResult) {
	r.writeHead(sending)
	r.writeStatus(sending.response.StatusCode)
	r.isResponding = true
	lastEvent := r.call.LastEvent
	if lastEvent != "" {
		r.pipeline.options.Log.StreamTakenUp(r, *choice)
	}
	err := r.relayEvents(ctx, sending, &lastEvent, choice)
	if err == nil {
		r.pipeline.options.Table.StreamEnded(choice.Service, r.hadLongGap())
		sending.finish(r.call.ID)
		r.isEndCertain = true
		r.noteEnded(sending.response.StatusCode, *choice)
		return balance.Served, served
	}
	sending.abort()
	r.noteInterrupted(ctx, sending.interruptedRun(r, *choice), "stream_broken", err)
	for ctx.Err() == nil && r.incoming.Context().Err() == nil && !errors.Is(err, errCallerGone) && !errors.Is(err, errNoOtherInstance) && !errors.Is(err, errQuarantined) {
		// A request that was withheld from an instance was not sent, so another instance is
		// chosen without counting an attempt.
		if !isNotAdmitted(err) {
			r.instancesReached++
			if !r.mayResume(choice.Service) {
				break
			}
		}
		var resumed bool
		if resumed, err = r.resume(ctx, choice.Service, &lastEvent); resumed {
			return r.failureOutcome(*choice), served
		}
	}
	return r.noteIncomplete(err, *choice)
}

// eventPace records when the events of a stream arrived, relative to the request's arrival.
type eventPace struct {
	first, last time.Duration
	// longestGap is the longest time between two successive events.
	longestGap time.Duration
}

func (p *eventPace) note(at time.Duration) {
	if p.last == 0 {
		p.first, p.last = at, at
		return
	}
	p.longestGap = max(p.longestGap, at-p.last)
	p.last = at
}

// hadLongGap reports whether a gap between events was longer than the route allows.
func (r *request) hadLongGap() bool {
	return r.route.EventGap > 0 && r.pace.longestGap > r.route.EventGap
}

// errNoOtherInstance means that a stream can't be resumed, because no other instance is available.
var errNoOtherInstance = errors.New("forward: no other instance is available")

// errOtherVersion means that the instance at which a stream was to continue runs another version
// than it named.
var errOtherVersion = errors.New("forward: the instance has restarted with another version")

// errCallerGone means that the caller accepts no more data.
var errCallerGone = errors.New("forward: the caller accepts no more data")

// relayEvents relays complete events until the end of the stream; nil means that the stream ended
// cleanly.
func (r *request) relayEvents(ctx context.Context, sending *exchange, lastEvent *string, choice *balance.Choice) error {
	reader := newEventReader(sending.response.Body)
	isFirst, isFirstEvent := true, true
	for {
		next, err := reader.next()
		if isFirst {
			isFirst = false
			r.pipeline.options.Table.PromptRead(choice, time.Since(sending.sentAt))
			r.releasePrompt()
		}
		if errors.Is(err, io.EOF) {
			return r.streamEnded(ctx, sending, !isFirstEvent, *choice)
		}
		if err != nil {
			return err
		}
		if next.isFiller {
			if err := r.passOn(next.raw, reader); err != nil {
				return err
			}
			continue
		}
		r.events++
		if isFirstEvent {
			isFirstEvent = false
			r.noteWritten()
		}
		r.pace.note(time.Since(r.arrived))
		if next.id != "" {
			*lastEvent = next.id
		}
		if r.bindStream(choice.Instance) || sending.isReplaced.Load() {
			r.recordSecondOrigin(choice.Instance)
		}
		if r.stream.hasTwoOrigins && r.isContinuedAt(choice.Instance) {
			return errOtherVersion
		}
		if err := r.passOn(next.raw, reader); err != nil {
			return err
		}
	}
}

// passOn writes a block of a stream to the caller, and sends it unless another one is available already.
func (r *request) passOn(raw []byte, reader *eventReader) error {
	if _, err := r.writer.Write(raw); err != nil {
		return errors.Join(errCallerGone, err)
	}
	if reader.hasBuffered() {
		return nil
	}
	if err := r.controller.Flush(); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// streamEnded returns an error if a stream that ended after a complete event, or without any, was broken
// off.
func (r *request) streamEnded(ctx context.Context, sending *exchange, hasEvents bool, choice balance.Choice) error {
	if sending.endsByClose() && !hasEvents {
		return errNoEvent
	}
	return r.confirmEnd(ctx, sending, choice)
}

func (r *request) mayResume(service string) bool {
	if !r.route.Resumable || !r.isStreamVersionCertain() || r.instancesReached >= max(1, r.route.MaximumAttempts) || r.quarantineStatus() >= quarantine.Suspected {
		return false
	}
	environment := r.pipeline.options.Environment
	return r.pipeline.retries.Take(environment.Now(), service, environment.RetryPolicy())
}

// noteNotResumed records that a stream was not resumed because another instance did not respond
// as required.
func (r *request) noteNotResumed(ctx context.Context, choice balance.Choice, state sendState, err error) {
	if state == sent {
		r.noteInterrupted(ctx, interruptedRun{choice: choice}, "not_resumed", err)
		return
	}
	r.pipeline.options.Log.Attempt(r, choice, "not_resumed", err)
	if state == notSent {
		r.pipeline.crashes.connectionFailed(choice, err)
	}
}

// resume resumes a stream at another instance after the last event that the caller received.
func (r *request) resume(ctx context.Context, service string, lastEvent *string) (bool, error) {
	choice, found := r.choose(ctx, service)
	if !found {
		return false, fmt.Errorf("%w of version %q", errNoOtherInstance, r.stream.Version)
	}
	defer r.releasePrompt()
	environment := r.pipeline.options.Environment
	sending, state, err := r.send(ctx, choice, *lastEvent)
	if isNotAdmitted(err) {
		r.pipeline.options.Table.Done(environment.Now(), choice, balance.Abandoned)
		r.noteNotAdmitted(choice, err)
		return false, err
	}
	if err == nil && sending.response.StatusCode != http.StatusOK {
		err = errors.New("the instance responded with status " + sending.response.Status)
		sending.discard(r.call.ID)
	}
	if err != nil {
		r.pipeline.options.Table.Done(environment.Now(), choice, r.failureOutcome(choice))
		r.noteNotResumed(ctx, choice, state, err)
		return false, err
	}
	r.pipeline.options.Log.StreamResumed(r, choice)
	defer r.watchEnd(sending, choice)()
	if err := r.relayEvents(ctx, sending, lastEvent, &choice); err != nil {
		sending.abort()
		r.noteInterrupted(ctx, sending.interruptedRun(r, choice), "resumed_broken", err)
		r.pipeline.options.Table.Done(environment.Now(), choice, r.failureOutcome(choice))
		return false, err
	}
	sending.finish(r.call.ID)
	r.isEndCertain = true
	r.pipeline.options.Table.Done(environment.Now(), choice, balance.Served)
	r.noteEnded(http.StatusOK, choice)
	return true, nil
}
