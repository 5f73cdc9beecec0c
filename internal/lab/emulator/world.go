package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/protocol/platform"
)

// Paths of the emulator's own interface, for experiments.
const (
	PathGroundTruth = "/lab/v1/truth"
	PathBackends    = "/lab/v1/backends/"
)

// DefaultPlatformLag is the default of World.PlatformLag.
const DefaultPlatformLag = time.Second

// World emulates all back ends of a catalog, and the platform.
type World struct {
	Truth   *GroundTruth
	Weights *WeightStore
	// PlatformLag is the delay until the platform's list shows that a machine leaves.
	PlatformLag time.Duration

	engines map[string]*Engine
	names   []string
	// handlers are the back ends' handlers by address.
	handlers     map[string]http.Handler
	mutex        sync.Mutex
	leavingSince map[string]time.Time
	isDown       map[string]bool
}

// NewWorld emulates the back ends of a catalog document. Engine options that the catalog does not
// contain come from defaults.
func NewWorld(document *ravenwayv1.CatalogDocument, defaults EngineOptions, truth *GroundTruth) *World {
	world := &World{
		Truth: truth, Weights: &WeightStore{}, PlatformLag: DefaultPlatformLag, engines: map[string]*Engine{},
		handlers: map[string]http.Handler{}, leavingSince: map[string]time.Time{}, isDown: map[string]bool{},
	}
	services := map[string]*ravenwayv1.Service{}
	for _, service := range document.GetServices() {
		services[service.GetName()] = service
	}
	for _, backend := range document.GetBackends() {
		world.addBackend(backend, services[backend.GetService()], defaults)
	}
	return world
}

func (w *World) addBackend(backend *ravenwayv1.Backend, service *ravenwayv1.Service, defaults EngineOptions) {
	name := backend.GetName()
	w.names = append(w.names, name)
	if service.GetKind() != ravenwayv1.ServiceKind_SERVICE_KIND_ENGINE {
		w.handlers[backend.GetAddress()] = w.unlessDown(name, &Plain{Name: name, Truth: w.Truth})
		return
	}
	options := defaults
	options.Weights = w.Weights
	options.Name, options.Truth = name, w.Truth
	options.Capacity = int(backend.GetCapacity())
	options.ChecksFence = backend.GetChecksFence()
	if models := service.GetModels(); len(models) > 0 {
		options.Model = models[0]
	}
	w.engines[name] = NewEngine(options)
	w.handlers[backend.GetAddress()] = w.unlessDown(name, w.engines[name].Handler())
}

// unlessDown aborts the connections of requests to a back end that is switched off.
func (w *World) unlessDown(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		w.mutex.Lock()
		down := w.isDown[name]
		w.mutex.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(writer, request)
	})
}

// Engine returns an engine by its name, or nil.
func (w *World) Engine(name string) *Engine { return w.engines[name] }

// SetDown switches a back end off if down is set, and on otherwise.
func (w *World) SetDown(name string, down bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isDown[name] = down
}

// SetLeaving marks a back end as leaving. The platform's list shows it after PlatformLag. It does
// not make an engine refuse requests; Engine.SetLeaving does.
func (w *World) SetLeaving(name string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leavingSince[name] = time.Now()
}

// Handlers returns the back ends' HTTP handlers by address.
func (w *World) Handlers() map[string]http.Handler { return w.handlers }

// RunEngines steps all engines until the context ends.
func (w *World) RunEngines(ctx context.Context) {
	var running sync.WaitGroup
	for _, one := range w.engines {
		running.Go(func() { one.Run(ctx) })
	}
	running.Wait()
}

// Serve listens on the admin address and every back end's address, and serves until the context ends.
func (w *World) Serve(ctx context.Context, admin string) error {
	handlers := map[string]http.Handler{admin: w.AdminHandler()}
	for address, handler := range w.handlers {
		handlers[address] = handler
	}
	var servers []*http.Server
	for address, handler := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("emulating %s: %w", address, err)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	w.RunEngines(ctx)
	<-ctx.Done()
	for _, server := range servers {
		_ = server.Close()
	}
	return nil
}

// AdminHandler serves the platform's list, the ground truth log and the switches of back ends.
func (w *World) AdminHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(platform.PathMachines, w.serveMachines).Methods(http.MethodGet)
	router.HandleFunc(PathGroundTruth, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, w.Truth.Events())
	}).Methods(http.MethodGet)
	router.HandleFunc(PathBackends+"{name}/{switch}", w.serveSwitch).Methods(http.MethodPost)
	return router
}

func (w *World) serveMachines(writer http.ResponseWriter, _ *http.Request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	list := platform.List{}
	for _, name := range w.names {
		state := platform.MachineLive
		if at, leaving := w.leavingSince[name]; leaving && time.Since(at) >= w.PlatformLag {
			state = platform.MachineLeaving
		}
		list.Machines = append(list.Machines, platform.Machine{Name: name, State: state})
	}
	writeJSON(writer, http.StatusOK, list)
}

// serveSwitch applies one of the switches leaving, down, up and slow (with ?factor=N) to a back
// end.
func (w *World) serveSwitch(writer http.ResponseWriter, request *http.Request) {
	name := mux.Vars(request)["name"]
	if !slices.Contains(w.names, name) {
		refuse(writer, http.StatusNotFound, "unknown_backend")
		return
	}
	switch mux.Vars(request)["switch"] {
	case "leaving":
		w.SetLeaving(name)
	case "down":
		w.SetDown(name, true)
	case "up":
		w.SetDown(name, false)
	case "slow":
		factor, err := strconv.Atoi(request.URL.Query().Get("factor"))
		if err != nil || w.engines[name] == nil {
			refuse(writer, http.StatusBadRequest, "bad_factor")
			return
		}
		w.engines[name].SetSlowdown(factor)
	default:
		refuse(writer, http.StatusNotFound, "unknown_switch")
		return
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}
