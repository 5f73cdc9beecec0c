package simulate

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// PoisonPolicy is what nodes do about requests at whose runs engines end.
type PoisonPolicy int

// Policies of RunPoison.
const (
	// ForgetRequests holds nothing against a request.
	ForgetRequests PoisonPolicy = iota
	// CountPresence refuses a request that was at three ends, whoever else was there.
	CountPresence
	// WeighEnds is what quarantine.Tracker does.
	WeighEnds
	// WeighEndsAlone also sends suspects to the engine with the fewest runs, and no
	// two of them to one.
	WeighEndsAlone
	// WeighEndsUncarried also leaves it to callers to send a suspect again.
	WeighEndsUncarried
)

// weighs tells whether the policy is one that trackers are asked in.
func (p PoisonPolicy) weighs() bool { return p >= WeighEnds }

// PoisonOptions set up a run: entry nodes, control nodes that tell them of each other's
// evidence, engines that run streams, and callers.
type PoisonOptions struct {
	Seed   uint64
	Policy PoisonPolicy
	// Poison is the number of requests that end the engines that begin them.
	Poison int
	// Failures ends engines for other reasons: one each two seconds, and twice a third
	// of them at once.
	Failures bool
	// Popular makes one in ten of the other requests alike.
	Popular bool
	// Cut parts one third of the nodes from the others for a while.
	Cut bool
	// Hidden makes engines end before the head of a poison request's answer comes.
	Hidden bool
}

// PoisonResult counts what became of the requests.
type PoisonResult struct {
	*World
	// Ended are engines that ended by a poison request, LateRuns its runs that were sent
	// later than contact after its third end, the most of any.
	Ended, LateRuns int
	// Requests are those of other callers; Served ran to their end, Refused were taken
	// for poison, BesideThree broke with three engines or more.
	Requests, Served, Refused, BesideThree int
}

// The fleet of the incident, with its rates.
const (
	poisonNodes    = 8
	poisonEngines  = 12
	poisonControls = 3
	poisonLength   = 40 * time.Second
	// poisonContact is when nodes in touch have to know a third end.
	poisonContact = 3 * time.Second
	// ordinaryRate is the streams of other callers a second.
	ordinaryRate = 46.0
	// mostAttempts is how many engines one coming of a request may reach, mostReturns
	// how often its caller comes back.
	mostAttempts, mostReturns = 2, 1
	// deadFor is how long an engine is away that ended.
	deadLeast, deadMost = 2500 * time.Millisecond, 6 * time.Second
	poisonDefectLate    = 3
	popularBody         = 10
)

// poisonWorld is one run.
type poisonWorld struct {
	*World
	options  PoisonOptions
	result   *PoisonResult
	nodes    []*poisonNode
	controls []*quarantine.Tracker
	engines  []*poisonEngine
	isCut    bool
	counted  map[quarantine.Fingerprint]map[registry.Incarnation]bool
	ends     map[quarantine.Fingerprint][]time.Duration
	late     map[quarantine.Fingerprint]int
}

// poisonNode is an entry node: its tracker and its guard.
type poisonNode struct {
	world   *poisonWorld
	number  int
	tracker *quarantine.Tracker
	guard   *quarantine.Guard
	// told are the digests of the lists that the control nodes last sent here.
	told [poisonControls]uint64
}

// poisonEngine is a place at which engines come and go.
type poisonEngine struct {
	life registry.Incarnation
	isUp bool
	runs map[*poisonRun]bool
}

// poisonRequest is one coming of a request, with all its returns.
type poisonRequest struct {
	body     poisonBody
	isPoison bool
	returns  int
	broke    int
}

// poisonBody is a request's identity.
type poisonBody struct{ scope uint64 }

func (b poisonBody) Scope() uint64 { return b.scope }

func (poisonBody) Body() []byte { return nil }

// poisonRun is one run at one engine.
type poisonRun struct {
	request  *poisonRequest
	node     *poisonNode
	engine   *poisonEngine
	attempts int
	hasBegun bool
	beganAt  time.Duration
	ended    bool
}

// RunPoison runs one seed.
func RunPoison(options PoisonOptions) PoisonResult {
	w := &poisonWorld{
		World: NewWorld(options.Seed), options: options, counted: map[quarantine.Fingerprint]map[registry.Incarnation]bool{},
		ends: map[quarantine.Fingerprint][]time.Duration{}, late: map[quarantine.Fingerprint]int{},
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
	for fingerprint := range w.late {
		w.result.LateRuns = max(w.result.LateRuns, w.late[fingerprint])
	}
	return *w.result
}

func (w *poisonWorld) schedule() {
	w.arrive()
	for number := range w.options.Poison {
		poison := poisonBody{scope: uint64(1_000_000 + number)}
		w.After(5*time.Second+w.between(0, 3*time.Second), func() { w.repeat(poison) })
	}
	if w.options.Policy.weighs() {
		w.Every(100*time.Millisecond, func() bool { w.exchange(); return true })
	}
	if w.options.Failures {
		w.Every(2*time.Second, func() bool { w.fail(w.engines[w.Random.IntN(len(w.engines))]); return true })
		for _, at := range []time.Duration{10 * time.Second, 13 * time.Second} {
			w.After(at, func() {
				for _, position := range w.Random.Perm(len(w.engines))[:len(w.engines)/3] {
					w.fail(w.engines[position])
				}
			})
		}
	}
	if w.options.Cut {
		w.After(6*time.Second, func() { w.isCut = true })
		w.After(14*time.Second, func() { w.isCut = false })
	}
}

func (w *poisonWorld) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.Random.Float64()*float64(most-least))
}

// arrive brings the other callers' requests.
func (w *poisonWorld) arrive() {
	w.After(time.Duration(w.Random.ExpFloat64()/ordinaryRate*float64(time.Second)), func() {
		body := poisonBody{scope: uint64(1000 + w.result.Requests)}
		if w.options.Popular && w.Random.IntN(popularBody) == 0 {
			body = poisonBody{scope: popularBody}
		}
		w.result.Requests++
		w.come(&poisonRequest{body: body})
		w.arrive()
	})
}

// repeat brings a poison request again and again, at times several times at once.
func (w *poisonWorld) repeat(poison poisonBody) {
	for range 1 + w.Random.IntN(3) {
		w.come(&poisonRequest{body: poison, isPoison: true, returns: mostReturns})
	}
	w.After(w.between(50*time.Millisecond, 600*time.Millisecond), func() { w.repeat(poison) })
}

// come brings a request to a drawn node.
func (w *poisonWorld) come(request *poisonRequest) {
	node := w.nodes[w.Random.IntN(len(w.nodes))]
	if w.refuses(node, request) {
		if !request.isPoison {
			w.result.Refused++
		}
		return
	}
	w.send(node, request, 1)
}

// refuses is the policy's decision at a node.
func (w *poisonWorld) refuses(node *poisonNode, request *poisonRequest) bool {
	switch w.options.Policy {
	case ForgetRequests:
		return false
	case CountPresence:
		return len(w.counted[quarantine.FingerprintOfRequest(request.body)]) >= 3
	}
	return node.guard.Status(request.body) == quarantine.Quarantined
}

// send sends a request to an engine that is up, the less busy one of two.
func (w *poisonWorld) send(node *poisonNode, request *poisonRequest, attempts int) {
	engine := w.choose(node, request)
	if engine == nil {
		w.comeBack(request)
		return
	}
	run := &poisonRun{request: request, node: node, engine: engine, attempts: attempts}
	engine.runs[run] = true
	if request.isPoison {
		w.noteLate(request)
	}
	w.After(w.between(20*time.Millisecond, 300*time.Millisecond), func() { w.begin(run) })
}

func (w *poisonWorld) choose(node *poisonNode, request *poisonRequest) *poisonEngine {
	up := slices.DeleteFunc(slices.Clone(w.engines), func(one *poisonEngine) bool { return !one.isUp })
	if len(up) == 0 {
		return nil
	}
	if w.options.Policy == WeighEndsAlone && node.guard.Status(request.body) == quarantine.Suspected {
		return slices.MinFunc(up, func(a, b *poisonEngine) int { return a.load(node) - b.load(node) })
	}
	one, other := up[w.Random.IntN(len(up))], up[w.Random.IntN(len(up))]
	if len(other.runs) < len(one.runs) {
		return other
	}
	return one
}

// load is how busy an engine is for a suspect: another one there is the worst.
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
		run.hasBegun, run.beganAt = !w.options.Hidden, w.Now
		w.After(w.between(34*time.Millisecond, 113*time.Millisecond), func() {
			if !run.ended {
				w.result.Ended++
				fingerprint := quarantine.FingerprintOfRequest(run.request.body)
				w.ends[fingerprint] = append(w.ends[fingerprint], w.Now)
				w.end(run.engine)
			}
		})
		return
	}
	run.hasBegun, run.beganAt = true, w.Now
	w.After(time.Duration((0.3+w.Random.ExpFloat64()*1.5)*float64(time.Second)), func() {
		if run.ended {
			return
		}
		run.ended = true
		delete(run.engine.runs, run)
		w.result.Served++
		w.clear(run)
	})
}

// clear notes that a request ran to its end.
func (w *poisonWorld) clear(run *poisonRun) {
	delete(w.counted, quarantine.FingerprintOfRequest(run.request.body))
	run.node.guard.Completed(run.request.body)
}

// fail ends an engine for a reason of its own.
func (w *poisonWorld) fail(engine *poisonEngine) {
	if engine.isUp {
		w.Faults["engine failed"]++
		w.end(engine)
	}
}

// end ends an engine with all that runs there; another life begins later.
func (w *poisonWorld) end(engine *poisonEngine) {
	runs := slices.SortedFunc(maps.Keys(engine.runs), func(a, b *poisonRun) int { return int(a.request.body.scope) - int(b.request.body.scope) })
	life := engine.life
	engine.isUp, engine.runs = false, nil
	present := map[*poisonNode][]quarantine.Present{}
	for _, run := range runs {
		run.ended = true
		fingerprint := quarantine.FingerprintOfRequest(run.request.body)
		w.count(fingerprint, life)
		broken := quarantine.Run{RespondsAtStart: true, ResponseBegan: run.hasBegun}
		if run.hasBegun {
			broken.ResponseAge = w.Now - run.beganAt
		}
		present[run.node] = append(present[run.node], quarantine.Present{Fingerprint: fingerprint, Run: broken})
		if run.request.broke++; run.request.broke == 3 && !run.request.isPoison {
			w.result.BesideThree++
		}
	}
	for _, node := range w.nodes {
		if len(present[node]) > 0 {
			w.After(w.between(time.Millisecond, 15*time.Millisecond), func() { node.guard.ReportCrash(life, present[node]) })
		}
	}
	for _, run := range runs {
		w.After(time.Millisecond, func() { w.carryOn(run) })
	}
	w.After(w.between(deadLeast, deadMost), func() { w.start(engine, registry.Incarnation{ID: life.ID, StartedAt: life.StartedAt + 1}) })
}

func (w *poisonWorld) count(fingerprint quarantine.Fingerprint, life registry.Incarnation) {
	if w.counted[fingerprint] == nil {
		w.counted[fingerprint] = map[registry.Incarnation]bool{}
	}
	w.counted[fingerprint][life] = true
}

// carryOn sends a request whose engine ended to the next one, or leaves it to its caller.
func (w *poisonWorld) carryOn(run *poisonRun) {
	standing := run.node.guard.Status(run.request.body)
	mayCarry := w.options.Policy != WeighEndsUncarried || standing != quarantine.Suspected
	if run.attempts < mostAttempts && mayCarry && !w.refuses(run.node, run.request) {
		w.send(run.node, run.request, run.attempts+1)
		return
	}
	w.comeBack(run.request)
}

func (w *poisonWorld) comeBack(request *poisonRequest) {
	if request.returns >= mostReturns {
		return
	}
	request.returns++
	w.After(w.between(50*time.Millisecond, 300*time.Millisecond), func() { w.come(request) })
}

func (w *poisonWorld) start(engine *poisonEngine, life registry.Incarnation) {
	engine.life, engine.isUp, engine.runs = life, true, map[*poisonRun]bool{}
}

// noteLate counts a run of a poison request that is sent too late after its third end,
// and holds the promise: in a fleet that is not cut at most three are.
func (w *poisonWorld) noteLate(request *poisonRequest) {
	fingerprint := quarantine.FingerprintOfRequest(request.body)
	w.Checks++
	if ends := w.ends[fingerprint]; len(ends) >= 3 && w.Now > ends[2]+poisonContact {
		w.late[fingerprint]++
	}
	if w.options.Policy.weighs() && !w.options.Cut && w.late[fingerprint] > poisonDefectLate {
		w.Broken = fmt.Errorf("a request that had ended three engines was sent to engines %d times more", w.late[fingerprint])
	}
}

// EnginesCrashed implements quarantine.Sink.
func (n *poisonNode) EnginesCrashed(evidence []quarantine.CrashReport) {
	if !n.world.options.Policy.weighs() {
		return
	}
	for _, one := range evidence {
		n.tracker.Report(n.world.Now, one)
	}
	n.decide()
}

// RequestCompleted implements quarantine.Sink.
func (n *poisonNode) RequestCompleted(fingerprint quarantine.Fingerprint) {
	n.tracker.Clear(n.world.Now, fingerprint)
	n.decide()
}

// decide tells the control nodes that are reached what is new here.
func (n *poisonNode) decide() {
	n.tracker.Decide(n.world.Now)
	n.guard.SetView(n.tracker.View())
	news := n.tracker.TakeUpdates(n.world.Now)
	for number, control := range n.world.controls {
		if len(news) > 0 && n.world.reaches(n.number, number) {
			n.world.After(n.world.between(time.Millisecond, 10*time.Millisecond), func() { control.Merge(n.world.Now, news) })
		}
	}
}

// reaches tells whether a node reaches a control node: in a cut the last third of the
// nodes and the last control node are on their own.
func (w *poisonWorld) reaches(node, control int) bool {
	return !w.isCut || (node*poisonControls/poisonNodes == poisonControls-1) == (control == poisonControls-1)
}

// exchange is each control node's round: what has changed goes to the nodes, and after a
// cut the control nodes tell each other all.
func (w *poisonWorld) exchange() {
	for number, control := range w.controls {
		control.Decide(w.Now)
		digest := control.Digest()
		for position, node := range w.nodes {
			if w.reaches(position, number) && node.told[number] != digest {
				node.told[number] = digest
				node.tracker.Merge(w.Now, control.SharedRecords(w.Now))
				node.tracker.Decide(w.Now)
				node.guard.SetView(node.tracker.View())
			}
		}
		for other := range w.controls {
			if !w.isCut && other != number && w.Now%(2*time.Second) < 100*time.Millisecond {
				w.controls[other].Merge(w.Now, control.Records(w.Now))
			}
		}
	}
}
