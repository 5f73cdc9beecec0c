package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/ravenway/ravenway/internal/lab/brittlecheck"
	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// brittleTolerance is the number of rejections in a second that brittle engines survive.
	brittleTolerance = 2
	// brittleLead is the time between the first response that says that an engine is brittle and the
	// moment from which only brittleRoom requests may run there.
	brittleLead = 3 * time.Second
	brittleTime = 7 * time.Second
	brittleRoom = 2
	// brittleRestartDelay is the time after which an engine that has crashed is back.
	brittleRestartDelay = 2 * time.Second
)

// brittleRecord is the room of one incarnation of an engine.
type brittleRecord struct {
	// isBrittle is set while the engine names its tolerance. room bounds the requests that run; 0 means
	// no bound.
	isBrittle  bool
	room       int
	running    int
	rejections brittlecheck.Rejections
	hasCrashed bool
	// crash crashes the engine because it has rejected too many requests.
	crash func(ended *engine)
}

// enter takes a place at the engine; false means that there is no room. A brittle engine that rejects too
// many requests crashes.
func (e *engine) enter(header http.Header) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.brittle.isBrittle {
		for name, values := range e.wire.BrittleHeader(brittleTolerance) {
			header[name] = values
		}
	}
	if e.brittle.room == 0 || e.brittle.running < e.brittle.room {
		e.brittle.running++
		return true
	}
	for name, values := range e.wire.ResponseHeader("", e.ID, true) {
		if header[name] == nil {
			header[name] = values
		}
	}
	if e.brittle.rejections.Add(time.Since(e.limit.startedAt), brittleTolerance) && e.brittle.isBrittle && !e.brittle.hasCrashed {
		e.brittle.hasCrashed = true
		crash := e.brittle.crash
		time.AfterFunc(crashResponseTime, func() { crash(e) })
	}
	return false
}

// crashResponseTime is the time in which a crashing engine still sends its last rejection.
const crashResponseTime = 5 * time.Millisecond

func (e *engine) leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.brittle.running--
}

// onWantOfRoom sets the function that crashes the engine when it has rejected too many requests.
func (e *engine) onWantOfRoom(crash func(ended *engine)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.brittle.crash = crash
}

func (e *engine) setBrittle(isBrittle bool, room int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.brittle.isBrittle, e.brittle.room = isBrittle, room
}

// crashForWantOfRoom crashes a brittle engine and restarts it later, as brittle as it was.
func (f *fleet) crashForWantOfRoom(ended *engine, place int) {
	name := placeName(place)
	f.mutex.Lock()
	isCurrent := f.engines[name] == ended
	if isCurrent {
		delete(f.engines, name)
		f.brittleCrashes++
	}
	f.mutex.Unlock()
	if !isCurrent {
		return
	}
	f.recordCrash(brittleRestartDelay)
	ended.crash()
	time.AfterFunc(brittleRestartDelay, func() {
		if err := f.addEngine(ended.Service, place, ""); err != nil {
			f.recordError(err)
		}
	})
}

// setBrittleModels makes the engines of the model service brittle, and those that replace them.
func (f *fleet) setBrittleModels(isBrittle bool, room int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.modelsAreBrittle, f.modelRoom = isBrittle, room
	for _, one := range f.engines {
		if one.Service == serviceModel {
			one.setBrittle(isBrittle, room)
		}
	}
}

// checkBrittle makes the engines of a service brittle and lets them shrink while there is no other fault,
// and checks how many crash.
func (r *run) checkBrittle(ctx context.Context, lasting time.Duration) {
	r.reportf("the engines of %s are brittle, tolerance %d", serviceModel, brittleTolerance)
	r.fleet.setBrittleModels(true, 0)
	pause.For(ctx, brittleLead)
	r.fleet.setBrittleModels(true, brittleRoom)
	pause.For(ctx, lasting-brittleLead)
	r.fleet.setBrittleModels(false, 0)
	r.fleet.mutex.Lock()
	crashes := r.fleet.brittleCrashes
	r.fleet.mutex.Unlock()
	r.reportf("%d engines crashed for want of room, allowed %d", crashes, brittlecheck.Allowed(modelEngines))
	if crashes > brittlecheck.Allowed(modelEngines) {
		r.violationf("%d of %d brittle engines crashed, allowed %d", crashes, modelEngines, brittlecheck.Allowed(modelEngines))
	}
}
