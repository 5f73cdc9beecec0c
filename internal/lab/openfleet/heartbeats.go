package openfleet

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// AddEngine starts a simulated engine, which sends heartbeats from then on.
func (f *Fleet) AddEngine(id, service, zone string) *Engine {
	return f.AddEngineVersion(id, service, zone, "")
}

// AddEngineVersion starts a simulated engine that runs a version of its service.
func (f *Fleet) AddEngineVersion(id, service, zone, version string) *Engine {
	engine := &Engine{truth: f.GroundTruth, WorkTime: 10 * time.Millisecond}
	engine.Instance = registry.Instance{ID: id, Service: service, Address: id + ":80", Zone: zone, Version: version, Slots: 8, State: registry.Ready, Sequence: 1, StartedAt: time.Now().UnixMilli()}
	engine.crash = func() { f.CrashEngine(engine) }
	server := &http.Server{Handler: engine}
	listener := f.Network.Listen(id, engine.Address)
	f.goroutines.Go(func() { _ = server.Serve(listener) })
	f.goroutines.Go(func() {
		<-f.ctx.Done()
		_ = server.Close()
	})
	f.enginesMutex.Lock()
	f.engines[id] = engine
	f.enginesMutex.Unlock()
	return engine
}

// CrashEngine crashes an engine: its connections break, new ones are refused, and it sends no more
// heartbeats.
func (f *Fleet) CrashEngine(engine *Engine) {
	engine.hasCrashed.Store(true)
	f.Network.BreakMachine(engine.ID)
}

// heartbeatInterval is the time between an engine's heartbeats.
const heartbeatInterval = time.Second

// stopHeartbeats stops the heartbeats of all engines, which continue to serve requests.
func (f *Fleet) stopHeartbeats() {
	f.enginesMutex.Lock()
	defer f.enginesMutex.Unlock()
	for _, engine := range f.engines {
		engine.sendsNoHeartbeats = true
	}
}

// stopHeartbeatsOf stops the heartbeats of one engine, which continues to serve requests.
func (f *Fleet) stopHeartbeatsOf(engine *Engine) {
	f.enginesMutex.Lock()
	defer f.enginesMutex.Unlock()
	engine.sendsNoHeartbeats = true
}

// startHeartbeatsOf starts the heartbeats of one engine again.
func (f *Fleet) startHeartbeatsOf(engine *Engine) {
	f.enginesMutex.Lock()
	defer f.enginesMutex.Unlock()
	engine.sendsNoHeartbeats = false
}

// heartbeats periodically sends the heartbeat of each engine to a running control node.
func (f *Fleet) heartbeats() {
	for f.ctx.Err() == nil {
		f.enginesMutex.Lock()
		for _, engine := range f.engines {
			if engine.sendsNoHeartbeats || engine.hasCrashed.Load() {
				continue
			}
			engine.Sequence++
			_ = f.Heartbeat(engine.Instance)
		}
		f.enginesMutex.Unlock()
		select {
		case <-f.ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// Drain makes an engine report that it drains. It returns once a control node has acknowledged that.
func (f *Fleet) Drain(id string) error { return f.reportState(id, registry.Draining) }

// reportState changes the state that an engine's heartbeats report and sends one of them.
func (f *Fleet) reportState(id string, state registry.State) error {
	f.enginesMutex.Lock()
	defer f.enginesMutex.Unlock()
	engine := f.engines[id]
	engine.State = state
	engine.Sequence++
	return f.Heartbeat(engine.Instance)
}

// Heartbeat sends a heartbeat to the first control node that acknowledges it.
func (f *Fleet) Heartbeat(instance registry.Instance) error {
	err := errors.New("no control node runs")
	for _, name := range f.MachineNames(true) {
		node := f.Machine(name).running()
		if node == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		err = node.Heartbeat(ctx, instance)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}
