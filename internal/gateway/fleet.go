package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/follow"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/roster"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/settings"
)

const (
	fleetTick = 300 * time.Millisecond
	// helloTicks is the number of ticks between hellos.
	helloTicks = 2
	// publishPause is the least time between two views of the roster for the other duties,
	// for each node in it: a view of 1,000 nodes takes 0.1 ms, and without a pause tens of
	// control nodes' hellos a second would each bring one about.
	publishPause = 100 * time.Microsecond
	// farHellos is the number of rounds, 1.8 s, between hellos of an entry node and a control
	// node that have little to say to each other. One that is lost is noticed late: they
	// count each other as silent after 2.5 s.
	farHellos = 3
	// rememberTicks is the number of ticks, 3 s, between looks whether the instances have
	// changed since they were last written to a control node's disk.
	rememberTicks = 10
	// heardTicks is the number of ticks between lists of instances heard.
	heardTicks = 8
	// certainFor is how long a control node's word on the newest version counts.
	certainFor = 2 * time.Second
	// quorumFor is how old that node's own word of a quorum may be.
	quorumFor = 1500 * time.Millisecond
)

// fleetDuty owns the roster and the registry.
type fleetDuty struct {
	node     *Node
	duty     *duty.Duty
	roster   *roster.Roster
	registry *registry.Registry
	ticks    int
	// nodes are those that a control node tells of, told what each node was told of them.
	nodes       nodeList
	told        map[string]toldNodes
	publishedAt time.Duration
	// helloRounds is the number of hellos at ticks, ownTellers are the control nodes that
	// tell this entry node of all others.
	helloRounds  int
	ownTellers   []string
	isPublishDue bool
	mismatches   map[string]mismatch
	// askedAt is when another node was last asked for its instances, if hasAsked is set.
	askedAt  time.Duration
	hasAsked bool
	// unannounced are changes of instances that the others are yet to be told of.
	unannounced []registry.Instance
	// merged are changes that other nodes told and that have no line in the log yet.
	merged []registry.Instance
	// unrelayed are changes that are yet to be passed on to entry nodes.
	unrelayed []registry.Instance
	// unpublished are the instances whose changes are yet to come into force here.
	unpublished                      map[string]struct{}
	list                             instanceList
	announcing, relaying, publishing gathered
	// greeted are the nodes that the last hello went to.
	greeted map[string]bool
	// heardBefore are the control nodes that were alive at the last look.
	heardBefore map[string]bool
	// view is what other goroutines may read.
	view atomic.Pointer[fleetView]
	// remembered is nil on nodes without a disk.
	remembered *rememberedFile[[]registry.Instance]
	// instances is the number of live instances known.
	instances atomic.Int64
}

// neighbours are the other entry nodes, in lists that are made anew only when
// they have changed.
type neighbours struct {
	// generation is another one whenever they have changed; 0 before the first.
	generation uint64
	nodes      []balance.EntryNode
	// inZone is the number of those in the own zone.
	inZone int
	// lenders are the addresses, those of the own zone first.
	lenders []string
}

// newNeighbours lists other entry nodes, given in order, as a node of a zone sees
// them.
func newNeighbours(self balance.EntryNode, entries []peer.NodeEntry, generation uint64) neighbours {
	made := neighbours{generation: generation, nodes: make([]balance.EntryNode, 0, len(entries))}
	var near, far []string
	for _, entry := range entries {
		made.nodes = append(made.nodes, balance.EntryNode{Address: entry.Address, Zone: entry.Zone})
		if entry.Zone == self.Zone {
			near = append(near, entry.Address)
			continue
		}
		far = append(far, entry.Address)
	}
	made.inZone = len(near)
	made.lenders = append(startingAfter(self.Address, near), startingAfter(self.Address, far)...)
	return made
}

// fleetView is the roster as others may read it.
type fleetView struct {
	alive []*roster.Heard
	// controls is the number of control nodes among them.
	controls int
	leader   string
	// entries is the number of live entry nodes, this one included.
	entries    int
	neighbours neighbours
	// live are the entry nodes that control nodes hear now, at entry nodes only.
	live roster.LiveEntries
	// rootHeardAt is when a control node that has a quorum was last heard, and
	// certainVersion the newest version then.
	rootHeardAt    time.Duration
	certainVersion uint64
}

// controlFreshness is how fresh this node's knowledge of the control nodes is, for logs.
type controlFreshness struct {
	// silences are the times since each live control node was heard, delays how
	// long its last hello was on its way beyond the fastest one; both in
	// milliseconds.
	silences, delays []int64
}

func (f *fleetDuty) controlFreshness(now time.Duration) controlFreshness {
	freshness := controlFreshness{silences: []int64{}, delays: []int64{}}
	for _, known := range f.view.Load().alive {
		if known.Control {
			freshness.silences = append(freshness.silences, (now - known.At).Milliseconds())
			freshness.delays = append(freshness.delays, known.Delay().Milliseconds())
		}
	}
	return freshness
}

func newFleetDuty(node *Node) *fleetDuty {
	current := node.settings.Load()
	fleet := &fleetDuty{
		node: node, duty: duty.New("fleet", fleetTick),
		roster: roster.New(node.address, seedAddresses(current)), registry: registry.New(0),
		told: map[string]toldNodes{}, mismatches: map[string]mismatch{}, unpublished: map[string]struct{}{}, greeted: map[string]bool{}, heardBefore: map[string]bool{},
	}
	fleet.view.Store(&fleetView{entries: 1, rootHeardAt: -certainFor})
	fleet.duty.Tick = fleet.tick
	fleet.duty.Flush = fleet.flush
	if node.isControlRole() {
		fleet.remembered = newRememberedFile[[]registry.Instance](node, rememberedInstances)
		fleet.recallInstances()
	}
	return fleet
}

// recallInstances begins with the instances that this node knew before it started. One
// that has changed since says so within a second or so; one that is gone can't be
// reached, or refuses what is not for it.
func (f *fleetDuty) recallInstances() {
	if news := f.registry.Merge(f.node.now(), f.remembered.recall()); len(news) > 0 {
		f.logInstances("recalled", news)
		f.publishLater(news)
		f.publishInstances()
	}
}

func (f *fleetDuty) setSeeds(seeds []string) {
	f.duty.Offer(func() {
		f.roster.SetSeeds(seeds)
		f.hello()
	})
}

func (f *fleetDuty) tick() {
	now := f.node.now()
	if f.ticks%helloTicks == 0 {
		f.helloRounds++
		f.ownTellers = f.tellers()
		f.sayHello(f.isTurn)
	}
	if f.isControl() && f.ticks%heardTicks == 0 {
		f.tellHeard()
		f.announce(f.registry.Expire(now))
	}
	if f.remembered != nil && f.ticks%rememberTicks == 0 {
		f.remembered.look(f.registry.Digest(), func() []registry.Instance { return f.registry.Instances(now) })
	}
	f.ticks++
	f.noteLost(now)
	f.logMerged()
	f.forgetList(now)
	for _, gone := range f.roster.Forget(now) {
		f.node.mesh.RemoveLink(gone)
		f.node.dialects.forget(gone)
		delete(f.told, gone)
		delete(f.mismatches, gone)
		f.node.publisher.forget(gone)
	}
	f.publish()
	f.node.link.look(now, f.view.Load())
}

// noteLost writes a line for each control node that is not heard any more.
func (f *fleetDuty) noteLost(now time.Duration) {
	alive := map[string]bool{}
	for _, known := range f.roster.Controls(now) {
		alive[known.Address] = true
	}
	for address := range f.heardBefore {
		if known := f.roster.Get(address); !alive[address] && known != nil {
			f.node.log.Warn().Str("event", "node_lost").Str("peer", known.Node).Str("address", address).
				Int64("silent_ms", (now-known.At).Milliseconds()).Int("control_nodes_heard", len(alive)).Send()
		}
	}
	f.heardBefore = alive
}

func (f *fleetDuty) isControl() bool { return f.node.replica != nil }

// hello tells all whom this node greets at once what it is.
func (f *fleetDuty) hello() { f.sayHello(func(string) bool { return true }) }

// isTurn tells whether a node is greeted in this round. Of many control nodes an entry node
// needs few closely: those that tell it of all others, and those of the group, who know the
// root; the others greet it, and it them, each third time.
func (f *fleetDuty) isTurn(receiver string) bool {
	known := f.roster.Get(receiver)
	if known == nil || f.view.Load().controls < relayFrom {
		return true
	}
	if !f.isControl() {
		return known.HasGroup || slices.Contains(f.ownTellers, receiver) || f.isFarTurn(receiver)
	}
	return known.Control || f.node.replica.shared.Load().hasGroup || f.decideOn(receiver).isTeller || f.isFarTurn(receiver)
}

// isFarTurn spreads the nodes that are greeted now and then over the rounds.
func (f *fleetDuty) isFarTurn(receiver string) bool {
	return (uint64(f.helloRounds)+xxhash.Sum64String(receiver))%farHellos == 0
}

// tellers are the control nodes that tell this entry node of all others.
func (f *fleetDuty) tellers() []string {
	if f.isControl() {
		return nil
	}
	var controls []follow.Node
	for _, known := range f.view.Load().alive {
		if known.Control && !known.Stopping {
			controls = append(controls, follow.Node{Address: known.Address, Zone: known.Zone})
		}
	}
	return follow.ChooseSenders(follow.Node{Address: f.node.address, Zone: f.node.settings.Load().Node.Zone}, controls, listTellers)
}

// sayHello tells the control nodes, and a control node tells all that it hears
// from, what this node is, as far as it is their turn.
func (f *fleetDuty) sayHello(isTurn func(receiver string) bool) {
	now := f.node.now()
	said := f.describe()
	receivers := f.roster.Greet(now)
	if f.isControl() {
		greeted := len(receivers)
		for _, known := range f.roster.AliveNodes(now) {
			// Greet's are in order, and few.
			if _, found := slices.BinarySearch(receivers[:greeted], known.Address); !found {
				receivers = append(receivers, known.Address)
			}
		}
	}
	f.noteGreeted(receivers)
	receivers = slices.DeleteFunc(receivers, func(receiver string) bool { return !isTurn(receiver) })
	short := peer.NewMessage(peer.KindHello, said)
	if !f.isControl() {
		f.node.sendAll(receivers, short)
		return
	}
	lists := f.newListHellos(now, said)
	for _, receiver := range receivers {
		if hello := lists.forReceiver(receiver); hello != nil {
			f.node.sendMessage(receiver, hello)
			continue
		}
		f.node.sendMessage(receiver, short)
	}
}

func (f *fleetDuty) noteGreeted(receivers []string) {
	clear(f.greeted)
	for _, receiver := range receivers {
		f.greeted[receiver] = true
	}
}

// greetNamed says hello to control nodes that were named since the last hello. After a
// loss of all power that brings each node to the root, which may lead on a control node
// that is no seed, a second sooner; until then what lives that are over held can't be
// granted.
func (f *fleetDuty) greetNamed(now time.Duration) {
	var named []string
	for _, address := range f.roster.Greet(now) {
		if !f.greeted[address] {
			f.greeted[address] = true
			named = append(named, address)
		}
	}
	if len(named) == 0 {
		return
	}
	f.node.sendAll(named, peer.NewMessage(peer.KindHello, f.describe()))
}

func (f *fleetDuty) describe() peer.Hello {
	current := f.node.settings.Load()
	said := peer.Hello{
		Address: f.node.address, Node: current.Node.Name, Zone: current.Node.Zone, Incarnation: f.node.life,
		Entry: current.HasRole(settings.RoleEntry), Control: f.isControl(), Stopping: f.node.isStopping(),
		Version: f.node.documents.version(), InstancesSum: f.registry.Digest(),
		AgeMS: uint64(f.node.now().Milliseconds()), Evacuated: f.node.zones.inForce(),
		QuarantineDigest: f.node.quarantine.digest.Load(), ProtocolVersion: peer.OwnProtocol, Build: f.node.options.Build,
	}
	if f.hearsOlder() {
		said.InstancesDigest = f.registry.OrderedDigest()
	}
	if f.isControl() {
		f.node.replica.describe(&said)
		said.Rollouts = f.node.rollouts.told()
	}
	return said
}

// hearsOlder tells whether a node is heard that compares ordered digests.
func (f *fleetDuty) hearsOlder() bool {
	return slices.ContainsFunc(f.view.Load().alive, func(known *roster.Heard) bool { return known.ProtocolVersion < peer.ProtocolSums })
}

// takeHello notes another node's hello and settles what differs.
func (f *fleetDuty) takeHello(from string, hello peer.Hello) {
	if from != hello.Address {
		return
	}
	f.node.dialects.note(hello)
	f.duty.Offer(func() { f.noteHello(hello) })
}

func (f *fleetDuty) noteHello(hello peer.Hello) {
	now := f.node.now()
	isNew := f.roster.Hello(now, hello)
	if isNew {
		f.greetNew(now, hello)
		if f.isControl() {
			f.node.replica.nodeHeard.Store(true)
		}
	}
	f.compareInstances(hello)
	if hello.Control {
		f.node.zones.hear(hello)
		f.node.rollouts.hear(hello)
		f.node.quarantine.hear(hello.Address, hello.QuarantineDigest, isNew)
		f.node.documents.hear(follow.Node{Address: hello.Address, Zone: hello.Zone}, hello.Version)
	}
	if hello.Control && (isNew || len(hello.Nodes) > 0) {
		f.greetNamed(now)
	}
	if f.isControl() {
		f.node.publisher.hear(hello)
	}
	if isNew || hello.Control {
		// The other hellos of entry nodes, by far the most, wait for the next tick.
		f.publishSoon(now)
	}
}

// publishSoon shares the roster at once, or when the pause since the last time is over.
func (f *fleetDuty) publishSoon(now time.Duration) {
	pause := time.Duration(len(f.view.Load().alive)) * publishPause
	if now-f.publishedAt >= pause {
		f.publish()
		return
	}
	if !f.isPublishDue {
		f.isPublishDue = true
		time.AfterFunc(f.publishedAt+pause-now, func() { f.duty.Offer(f.publish) })
	}
}

// greetNew notes a node that was not heard before, or not of late.
func (f *fleetDuty) greetNew(now time.Duration, hello peer.Hello) {
	f.node.log.Info().Str("event", "node_heard").Str("peer", hello.Node).Str("address", hello.Address).
		Str("life", hello.Incarnation).Bool("control", hello.Control).Uint64("version", hello.Version).Send()
	delete(f.told, hello.Address)
	if f.isControl() {
		// It learns at once what it would else wait for.
		if list := f.newListHellos(now, f.describe()).forReceiver(hello.Address); list != nil {
			f.node.sendMessage(hello.Address, list)
		}
	}
}

// publish shares the roster with the other duties.
func (f *fleetDuty) publish() {
	now := f.node.now()
	f.publishedAt, f.isPublishDue = now, false
	current := f.node.settings.Load()
	view := &fleetView{leader: f.roster.Leader(now), rootHeardAt: -certainFor}
	view.alive = f.roster.AliveNodes(now)
	before := f.view.Load().neighbours
	view.neighbours = before
	if entries, generation := f.roster.Entries(now); generation != before.generation {
		view.neighbours = newNeighbours(balance.EntryNode{Address: f.node.address, Zone: current.Node.Zone}, entries, generation)
	}
	view.entries = len(view.neighbours.nodes)
	if current.HasRole(settings.RoleEntry) {
		view.entries++
	}
	if f.node.limits != nil {
		view.live = f.liveEntries(now)
	}
	for _, known := range f.roster.Controls(now) {
		view.controls++
		quorum := time.Duration(known.TimeSinceQuorumMS) * time.Millisecond
		if !known.HasGroup || quorum > quorumFor {
			continue
		}
		view.certainVersion = max(view.certainVersion, known.Version)
		view.rootHeardAt = max(view.rootHeardAt, known.At)
	}
	f.view.Store(view)
}

// liveEntries are the entry nodes that control nodes hear now. A control node hears them
// itself, and counts as heard while it has a quorum.
func (f *fleetDuty) liveEntries(now time.Duration) roster.LiveEntries {
	if f.isControl() {
		return f.roster.HeardEntries(now, f.node.hearsRoot())
	}
	return f.roster.LiveEntries(now)
}

// startingAfter turns a sorted list so that it begins behind a node's own
// place: the first in the list would else be asked by all.
func startingAfter(own string, addresses []string) []string {
	place, _ := slices.BinarySearch(addresses, own)
	return append(slices.Clone(addresses[place:]), addresses[:place]...)
}
