package simulate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// PoisonPolicy is how nodes handle requests that are running at engines when these crash.
type PoisonPolicy int

// Policies of RunPoison.
const (
	// RecordNothing records nothing against a request.
	RecordNothing PoisonPolicy = iota
	// CountPresence refuses a request that was present at three crashes, regardless of which other
	// requests were.
	CountPresence
	// WeighCrashes weighs crashes as quarantine.Tracker does.
	WeighCrashes
	// WeighCrashesIsolated also sends a suspected request to the engine with the fewest runs, and
	// avoids engines that run another suspected request.
	WeighCrashesIsolated
	// WeighCrashesWithoutRetries is WeighCrashes, but nodes don't retry a suspected request: its
	// caller may.
	WeighCrashesWithoutRetries
	// WeighCrashesSacrificial is WeighCrashesWithoutRetries, and all nodes send the requests against which,
	// or against whose parts, any crash is recorded to the same engine, so that they crash no other one.
	WeighCrashesSacrificial
)

// usesTracker reports whether the policy uses the trackers.
func (p PoisonPolicy) usesTracker() bool { return p >= WeighCrashes }

// PoisonOptions configures a run of RunPoison: entry nodes, control nodes that pass their crash
// reports on to each other, engines that run streams, and callers.
type PoisonOptions struct {
	Seed   uint64
	Policy PoisonPolicy
	// PoisonRequests is the number of poison requests, which crash each engine that begins them.
	PoisonRequests int
	// OtherCrashes crashes engines for other reasons: one every two seconds, and twice a third of
	// them at the same time.
	OtherCrashes bool
	// IdenticalRequests gives one in ten of the other requests the same body.
	IdenticalRequests bool
	// Partition partitions a third of the nodes from the others for 8 s.
	Partition bool
	// CrashesBeforeResponse makes engines crash before the head of the response to a poison request is received.
	CrashesBeforeResponse bool
	// Parts are the parts of prompts; none if it is the zero value.
	Parts PoisonPartOptions
}

// PoisonResult counts the outcomes of the requests.
type PoisonResult struct {
	*World
	// Crashes counts the crashes that poison requests caused. LateRuns counts the runs of a poison
	// request that were sent later than poisonReactionTime after its third crash, the maximum over the
	// poison requests.
	Crashes, LateRuns int
	// Requests are those of other callers. Served ran to completion, Refused were taken for poison,
	// InFlightAtThreeCrashes were in flight at three or more crashes.
	Requests, Served, Refused, InFlightAtThreeCrashes int
	// LatePartRuns counts the runs of requests with a crashing part that were sent later than
	// poisonReactionTime after its fifth crash, the maximum over the crashing parts. SoundInTrouble are the
	// requests of other callers that arrived while crashing parts arrived, from twice poisonReactionTime
	// after the first one on, and ServedInTrouble those of them that were served at the first attempt.
	LatePartRuns, SoundInTrouble, ServedInTrouble int
}

// The size and rates of the fleet in the incident that the simulation reproduces. maximumLateRuns
// bounds PoisonResult.LateRuns without a partition. Under PoisonOptions.IdenticalRequests, one in popularBody
// requests has the popular body, whose scope has the same number.
const (
	poisonNodes    = 8
	poisonEngines  = 12
	poisonControls = 3
	poisonLength   = 40 * time.Second
	// poisonReactionTime is the time within which all reachable nodes have to know of a third crash.
	poisonReactionTime = 3 * time.Second
	// ordinaryRate is the number of streams of other callers a second.
	ordinaryRate = 46.0
	// maximumAttempts is how many engines one try of a request may reach, maximumRetries how often
	// its caller retries.
	maximumAttempts, maximumRetries = 2, 1
	// minimumDowntime and maximumDowntime bound the time until a crashed engine has restarted.
	minimumDowntime, maximumDowntime = 2500 * time.Millisecond, 6 * time.Second
	maximumLateRuns                  = 3
	// exchangeInterval is the minimum time between two decisions of a control node, as in a fleet.
	exchangeInterval = 20 * time.Millisecond
	popularBody      = 10
)

// poisonWorld is the state of one run.
type poisonWorld struct {
	*World
	options       PoisonOptions
	result        *PoisonResult
	nodes         []*poisonNode
	controls      []*quarantine.Tracker
	engines       []*poisonEngine
	isPartitioned bool
	// presence holds the engine incarnations that crashed while they ran a request, crashTimes the
	// times of the crashes that a poison request caused.
	presence   map[quarantine.Fingerprint]map[registry.Incarnation]bool
	crashTimes map[quarantine.Fingerprint][]time.Duration
	lateRuns   map[quarantine.Fingerprint]int
	// sentWithParts is the number of requests with crashing parts that were sent.
	sentWithParts int
}

// poisonEngine is an engine with its restarts.
type poisonEngine struct {
	incarnation registry.Incarnation
	isUp        bool
	runs        map[*poisonRun]bool
}

// poisonRequest is one request of a caller with all its retries.
type poisonRequest struct {
	body     poisonBody
	isPoison bool
	// cause is the fingerprint of what makes the request poison: its own, or that of a part.
	cause quarantine.Fingerprint
	// isInTrouble reports whether the request counts in PoisonResult.SoundInTrouble.
	isInTrouble bool
	retries     int
	crashes     int
}

// poisonBody is the identity of a request.
type poisonBody struct {
	scope uint64
	parts []quarantine.Part
}

func (b poisonBody) Scope() uint64 { return b.scope }

func (poisonBody) Body() []byte { return nil }

func (b poisonBody) Parts() []quarantine.Part { return b.parts }

// poisonRun is one run at one engine.
type poisonRun struct {
	request  *poisonRequest
	node     *poisonNode
	engine   *poisonEngine
	attempts int
	// hasBegun reports whether the head of the response was received.
	hasBegun bool
	beganAt  time.Duration
	// hasEvents reports whether the first event of the response was received.
	hasEvents bool
	ended     bool
}

// RunPoison simulates poison requests and the quarantine that stops them. It runs one seed.
func RunPoison(options PoisonOptions) PoisonResult {
	w := &poisonWorld{
		World: NewWorld(options.Seed), options: options, presence: map[quarantine.Fingerprint]map[registry.Incarnation]bool{},
		crashTimes: map[quarantine.Fingerprint][]time.Duration{}, lateRuns: map[quarantine.Fingerprint]int{},
	}
	w.result = &PoisonResult{World: w.World}
	for range poisonControls {
		w.controls = append(w.controls, quarantine.NewTracker(quarantine.Options{}))
	}
	for number := range poisonNodes {
		node := &poisonNode{world: w, number: number, tracker: quarantine.NewTracker(quarantine.Options{})}
		node.guard = quarantine.NewGuard(node)
		w.nodes = append(w.nodes, node)
	}
	for number := range poisonEngines {
		engine := &poisonEngine{}
		w.engines = append(w.engines, engine)
		w.start(engine, registry.Incarnation{ID: fmt.Sprintf("engine-%d", number), StartedAt: 1})
	}
	w.schedule()

	w.RunUntil(poisonLength)
	for fingerprint, late := range w.lateRuns {
		if fingerprint.IsPart() {
			w.result.LatePartRuns = max(w.result.LatePartRuns, late)
			continue
		}
		w.result.LateRuns = max(w.result.LateRuns, late)
	}
	return *w.result
}

func (w *poisonWorld) schedule() {
	w.generateRequest()
	w.scheduleCrashingParts()
	for number := range w.options.PoisonRequests {
		poison := poisonBody{scope: uint64(1_000_000 + number)}
		w.After(5*time.Second+w.between(0, 3*time.Second), func() { w.repeatPoison(poison) })
	}
	if w.options.Policy.usesTracker() {
		w.Every(exchangeInterval, func() bool { w.exchange(); return true })
	}
	if w.options.OtherCrashes {
		w.Every(2*time.Second, func() bool { w.failEngine(w.engines[w.Random.IntN(len(w.engines))]); return true })
		for _, at := range []time.Duration{10 * time.Second, 13 * time.Second} {
			w.After(at, func() {
				for _, position := range w.Random.Perm(len(w.engines))[:len(w.engines)/3] {
					w.failEngine(w.engines[position])
				}
			})
		}
	}
	w.scheduleSeries()
	if w.options.Partition {
		w.After(6*time.Second, func() { w.isPartitioned = true })
		w.After(14*time.Second, func() { w.isPartitioned = false })
	}
}

func (w *poisonWorld) between(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(w.Random.Float64()*float64(maximum-minimum))
}

// generateRequest generates the requests of the other callers.
func (w *poisonWorld) generateRequest() {
	w.After(time.Duration(w.Random.ExpFloat64()/ordinaryRate*float64(time.Second)), func() {
		body := poisonBody{scope: uint64(1000 + w.result.Requests)}
		if w.options.IdenticalRequests && w.Random.IntN(popularBody) == 0 {
			body = poisonBody{scope: popularBody}
		}
		body.parts = w.ordinaryParts()
		w.result.Requests++
		request := &poisonRequest{body: body, isInTrouble: w.isInPartTrouble()}
		if request.isInTrouble {
			w.result.SoundInTrouble++
		}
		w.sendToRandomNode(request)
		w.generateRequest()
	})
}

// repeatPoison sends a poison request again and again, sometimes several copies at the same time.
func (w *poisonWorld) repeatPoison(poison poisonBody) {
	for range 1 + w.Random.IntN(3) {
		w.sendToRandomNode(&poisonRequest{body: poison, isPoison: true, cause: quarantine.FingerprintOfRequest(poison), retries: maximumRetries})
	}
	w.After(w.between(50*time.Millisecond, 600*time.Millisecond), func() { w.repeatPoison(poison) })
}

// sendToRandomNode sends a request to a random node.
func (w *poisonWorld) sendToRandomNode(request *poisonRequest) {
	node := w.nodes[w.Random.IntN(len(w.nodes))]
	if w.refuses(node, request) {
		if !request.isPoison {
			w.result.Refused++
		}
		return
	}
	w.send(node, request, 1)
}

// refuses reports whether the policy refuses a request at a node.
func (w *poisonWorld) refuses(node *poisonNode, request *poisonRequest) bool {
	switch w.options.Policy {
	case RecordNothing:
		return false
	case CountPresence:
		return len(w.presence[quarantine.FingerprintOfRequest(request.body)]) >= 3
	}
	return node.guard.Status(request.body) == quarantine.Quarantined
}

// send sends a request to an engine that is up: the less busy one of two random engines, unless the
// policy isolates suspected requests.
func (w *poisonWorld) send(node *poisonNode, request *poisonRequest, attempts int) {
	engine := w.choose(node, request)
	if engine == nil {
		w.retryByCaller(request)
		return
	}
	run := &poisonRun{request: request, node: node, engine: engine, attempts: attempts}
	engine.runs[run] = true
	if request.isPoison {
		w.recordLateRun(request)
	}
	w.After(w.between(20*time.Millisecond, 300*time.Millisecond), func() { w.begin(run) })
}

func (w *poisonWorld) choose(node *poisonNode, request *poisonRequest) *poisonEngine {
	up := slices.DeleteFunc(slices.Clone(w.engines), func(one *poisonEngine) bool { return !one.isUp })
	if len(up) == 0 {
		return nil
	}
	if w.options.Policy == WeighCrashesSacrificial && node.guard.Status(request.body) >= quarantine.Known {
		return slices.MinFunc(up, func(a, b *poisonEngine) int { return strings.Compare(a.incarnation.ID, b.incarnation.ID) })
	}
	if w.options.Policy == WeighCrashesIsolated && node.guard.Status(request.body) == quarantine.Suspected {
		return slices.MinFunc(up, func(a, b *poisonEngine) int { return a.load(node) - b.load(node) })
	}
	one, other := up[w.Random.IntN(len(up))], up[w.Random.IntN(len(up))]
	if len(other.runs) < len(one.runs) {
		return other
	}
	return one
}

// load returns the load of an engine for a suspected request: each other suspected request there
// outweighs all ordinary runs.
func (e *poisonEngine) load(node *poisonNode) int {
	load := len(e.runs)
	for run := range e.runs {
		if node.guard.Status(run.request.body) == quarantine.Suspected {
			load += 1000
		}
	}
	return load
}

func (w *poisonWorld) begin(run *poisonRun) {
	if run.ended {
		return
	}
	if run.request.isPoison {
		run.hasBegun, run.beganAt = !w.options.CrashesBeforeResponse, w.Now
		w.After(w.between(34*time.Millisecond, 113*time.Millisecond), func() {
			if !run.ended {
				w.result.Crashes++
				w.crashTimes[run.request.cause] = append(w.crashTimes[run.request.cause], w.Now)
				w.crash(run.engine)
			}
		})
		return
	}
	run.hasBegun, run.beganAt = true, w.Now
	w.After(w.between(minimumFirstEvent, maximumFirstEvent), func() { w.writeFirstEvent(run) })
	w.After(time.Duration((0.3+w.Random.ExpFloat64()*1.5)*float64(time.Second)), func() {
		if run.ended {
			return
		}
		run.ended = true
		delete(run.engine.runs, run)
		w.result.Served++
		if run.request.isInTrouble && run.request.retries == 0 {
			w.result.ServedInTrouble++
		}
		w.clear(run)
	})
}

// clear records that a request ran to completion.
func (w *poisonWorld) clear(run *poisonRun) {
	delete(w.presence, quarantine.FingerprintOfRequest(run.request.body))
	run.node.guard.Completed(run.request.body)
}

// writeFirstEvent records that the first event of a response was received.
func (w *poisonWorld) writeFirstEvent(run *poisonRun) {
	if run.ended {
		return
	}
	run.hasEvents = true
	run.node.guard.Written(w.Now, run.request.body)
}

// failEngine crashes an engine for a reason other than a poison request.
func (w *poisonWorld) failEngine(engine *poisonEngine) {
	if engine.isUp {
		w.Faults["engine failed"]++
		w.crash(engine)
	}
}

// crash crashes an engine with all its runs; a new incarnation starts later.
func (w *poisonWorld) crash(engine *poisonEngine) {
	runs := slices.SortedFunc(maps.Keys(engine.runs), func(a, b *poisonRun) int { return int(a.request.body.scope) - int(b.request.body.scope) })
	incarnation := engine.incarnation
	engine.isUp, engine.runs = false, nil
	present := map[*poisonNode][]quarantine.InFlightRun{}
	for _, run := range runs {
		run.ended = true
		fingerprint := quarantine.FingerprintOfRequest(run.request.body)
		w.recordPresence(fingerprint, incarnation)
		broken := quarantine.Run{RespondsAtStart: true, ResponseBegan: run.hasBegun}
		if run.hasBegun {
			broken.ResponseAge = w.Now - run.beganAt
		}
		interrupted := quarantine.InFlightRun{Fingerprint: fingerprint, Run: broken}
		if !run.hasEvents {
			interrupted.Parts = run.request.body.parts
		}
		present[run.node] = append(present[run.node], interrupted)
		if run.request.crashes++; run.request.crashes == 3 && !run.request.isPoison {
			w.result.InFlightAtThreeCrashes++
		}
	}
	for _, node := range w.nodes {
		if len(present[node]) > 0 {
			w.After(w.between(time.Millisecond, 15*time.Millisecond), func() { node.guard.ReportCrash(w.Now, incarnation, present[node]) })
		}
	}
	for _, run := range runs {
		w.After(time.Millisecond, func() { w.retryAtNode(run) })
	}
	w.After(w.between(minimumDowntime, maximumDowntime), func() {
		w.start(engine, registry.Incarnation{ID: incarnation.ID, StartedAt: incarnation.StartedAt + 1})
	})
}

func (w *poisonWorld) recordPresence(fingerprint quarantine.Fingerprint, incarnation registry.Incarnation) {
	if w.presence[fingerprint] == nil {
		w.presence[fingerprint] = map[registry.Incarnation]bool{}
	}
	w.presence[fingerprint][incarnation] = true
}

// retryAtNode retries a request whose engine crashed at another engine, or leaves the retry to its
// caller.
func (w *poisonWorld) retryAtNode(run *poisonRun) {
	status := run.node.guard.Status(run.request.body)
	mayRetry := w.options.Policy < WeighCrashesWithoutRetries || status != quarantine.Suspected
	if run.attempts < maximumAttempts && mayRetry && !w.refuses(run.node, run.request) {
		w.send(run.node, run.request, run.attempts+1)
		return
	}
	w.retryByCaller(run.request)
}

func (w *poisonWorld) retryByCaller(request *poisonRequest) {
	if request.retries >= maximumRetries {
		return
	}
	request.retries++
	w.After(w.between(50*time.Millisecond, 300*time.Millisecond), func() { w.sendToRandomNode(request) })
}

func (w *poisonWorld) start(engine *poisonEngine, incarnation registry.Incarnation) {
	engine.incarnation, engine.isUp, engine.runs = incarnation, true, map[*poisonRun]bool{}
}

// recordLateRun counts a run of a poison request that is sent too late after its third crash. It
// checks the guarantee that without a partition there are at most three such runs.
func (w *poisonWorld) recordLateRun(request *poisonRequest) {
	cause, proven := request.cause, 3
	if cause.IsPart() {
		proven = provenPartCrashes
	}
	w.Checks++
	if crashes := w.crashTimes[cause]; len(crashes) >= proven && w.Now > crashes[proven-1]+poisonReactionTime {
		w.lateRuns[cause]++
	}
	if w.options.Policy.usesTracker() && !w.options.Partition && w.lateRuns[cause] > maximumLateRuns {
		w.Violation = fmt.Errorf("what had crashed %d engines was sent to engines %d more times", proven, w.lateRuns[cause])
	}
}
