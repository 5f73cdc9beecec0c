package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/quarantine"
)

// relayStream passes a stream's events on as they come. A stream that breaks
// off goes on at another instance where the route allows it, and otherwise
// ends so that it does not look complete.
func (r *request) relayStream(ctx context.Context, sending *exchange, choice *balance.Choice) (balance.Outcome, verdict) {
	r.writeHead(sending)
	r.writer.WriteHeader(sending.response.StatusCode)
	r.answering = true
	lastEvent := r.call.LastEvent
	err := r.passEvents(sending, &lastEvent, choice)
	if err == nil {
		r.pipeline.options.Table.StreamEnded(choice.Service, r.hadLongPause())
		sending.finish(r.call.ID)
		r.noteEnded(sending.response.StatusCode, *choice)
		return balance.Served, done
	}
	sending.abort()
	r.noteBroken(ctx, sending.broken(r, *choice), "stream_broken", err)
	for ctx.Err() == nil && r.incoming.Context().Err() == nil && !errors.Is(err, errCallerGone) {
		// What had no permit was not sent, so another instance is chosen in its place.
		if !isNotAdmitted(err) {
			r.arrivals++
			if !r.mayResume(choice.Service) {
				break
			}
		}
		var resumed bool
		if resumed, err = r.resume(ctx, choice.Service, &lastEvent); resumed {
			return balance.Failed, done
		}
	}
	return r.brokenOff(err)
}

// eventPace is when the events of a stream came, since the request's arrival.
type eventPace struct {
	first, last time.Duration
	// longestGap is the longest time between two of them.
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

// hadLongPause tells whether a pause was longer than the objective allows.
func (r *request) hadLongPause() bool {
	return r.route.EventGap > 0 && r.pace.longestGap > r.route.EventGap
}

// errCallerGone says that the caller takes no more bytes.
var errCallerGone = errors.New("forward: the caller takes no more")

// passEvents passes whole events on until the stream's end; nil means a clean
// one.
func (r *request) passEvents(sending *exchange, lastEvent *string, choice *balance.Choice) error {
	reader := newEventReader(sending.response.Body)
	isFirst := true
	for {
		next, err := reader.next()
		if isFirst {
			isFirst = false
			r.pipeline.options.Table.Started(choice, time.Since(sending.sentAt))
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		r.events++
		r.pace.note(time.Since(r.arrived))
		if next.id != "" {
			*lastEvent = next.id
		}
		if err := r.passOn(next.raw); err != nil {
			return errors.Join(errCallerGone, err)
		}
		if reader.buffered() {
			continue
		}
		if err := r.controller.Flush(); err != nil {
			return errors.Join(errCallerGone, err)
		}
	}
}

func (r *request) mayResume(service string) bool {
	if !r.route.Resumable || r.arrivals >= max(1, r.route.MaximumAttempts) || r.standing() >= quarantine.Suspected {
		return false
	}
	environment := r.pipeline.options.Environment
	return r.pipeline.retries.Take(environment.Now(), service, environment.RetryPolicy())
}

// noteNotResumed notes that no answer of another instance came.
func (r *request) noteNotResumed(ctx context.Context, choice balance.Choice, state sendState, err error) {
	if state == sent {
		r.noteBroken(ctx, brokenRun{choice: choice}, "not_resumed", err)
		return
	}
	r.pipeline.options.Log.Attempt(r, choice, "not_resumed", err)
	if state == notSent {
		r.pipeline.ends.notConnected(choice, err)
	}
}

// resume goes on with a stream at another instance, behind the last event that
// the caller has.
func (r *request) resume(ctx context.Context, service string, lastEvent *string) (bool, error) {
	choice, found := r.choose(service)
	if !found {
		return false, errors.New("no other instance")
	}
	environment := r.pipeline.options.Environment
	sending, state, err := r.send(ctx, choice, *lastEvent)
	if isNotAdmitted(err) {
		r.pipeline.options.Table.Done(environment.Now(), choice, balance.Abandoned)
		r.noteNotAdmitted(choice, err)
		return false, err
	}
	if err == nil && sending.response.StatusCode != http.StatusOK {
		err = errors.New("the instance answered " + sending.response.Status)
		sending.discard(r.call.ID)
	}
	if err != nil {
		r.pipeline.options.Table.Done(environment.Now(), choice, balance.Failed)
		r.noteNotResumed(ctx, choice, state, err)
		return false, err
	}
	r.pipeline.options.Log.Attempt(r, choice, "resumed", nil)
	if err := r.passEvents(sending, lastEvent, &choice); err != nil {
		sending.abort()
		r.noteBroken(ctx, sending.broken(r, choice), "resumed_broken", err)
		r.pipeline.options.Table.Done(environment.Now(), choice, balance.Failed)
		return false, err
	}
	sending.finish(r.call.ID)
	r.pipeline.options.Table.Done(environment.Now(), choice, balance.Served)
	r.noteEnded(http.StatusOK, choice)
	return true, nil
}
