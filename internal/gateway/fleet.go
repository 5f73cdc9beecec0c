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
	// viewIntervalPerNode is the minimum time between two roster views for the other duties, for
	// each node in the roster: building a view of 1,000 nodes takes 0.1 ms, and without this
	// interval each of the tens of control nodes' hellos a second would trigger one.
	viewIntervalPerNode = 100 * time.Microsecond
	// reducedHelloRounds is the number of rounds, 1.8 s, between hellos of an entry node and a
	// control node that rarely need each other. If a single hello is lost, they count each other
	// as lost until the next one arrives, since they do so after 2.5 s without contact.
	reducedHelloRounds = 3
	// hintTicks is the number of ticks, 3 s, between checks whether the instances have changed
	// since they were last written to a control node's disk.
	hintTicks = 10
	// instanceContactsTicks is the number of ticks between lists of the instances that sent
	// heartbeats.
	instanceContactsTicks = 8
	// versionValidity is how long the newest version that a control node reported is taken as
	// current.
	versionValidity = 2 * time.Second
	// maximumQuorumAge is the maximum time since that control node itself last had contact with a
	// quorum.
	maximumQuorumAge = 1500 * time.Millisecond
)

// fleetDuty owns the roster and the registry.
type fleetDuty struct {
	node     *Node
	duty     *duty.Duty
	roster   *roster.Roster
	registry *registry.Registry
	ticks    int
	// nodes is the node list that a control node distributes, and sentLists is what each receiver
	// was last sent of it.
	nodes           nodeList
	sentLists       map[string]sentNodeList
	viewPublishedAt time.Duration
	// helloRounds counts the periodic rounds of hellos. listSenders are the control nodes that send
	// this entry node the list of all nodes.
	helloRounds int
	listSenders []string
	// isViewDue is set while the publication of a view is scheduled.
	isViewDue bool
	// mismatches are the nodes whose digest of the registry differs from this node's, by address.
	mismatches map[string]mismatch
	// requestedAt is when instances were last requested from another node, if hasRequested is set.
	requestedAt  time.Duration
	hasRequested bool
	// unannounced are changes of instances that are yet to be sent to other nodes.
	unannounced []registry.Instance
	// merged are changes received from other nodes that are not logged yet.
	merged []registry.Instance
	// unrelayed are changes from other control nodes that are yet to be relayed to entry nodes.
	unrelayed []registry.Instance
	// unapplied are the IDs of instances whose changes are yet to take effect on this node.
	unapplied   map[string]struct{}
	encodedList instanceList
	// announcing, relaying and applying schedule the work on unannounced, unrelayed and unapplied.
	announcing, relaying, applying batchSchedule
	// helloReceivers are the nodes that were selected for the last hello.
	helloReceivers map[string]bool
	// previousControls are the control nodes that were alive at the last tick.
	previousControls map[string]bool
	// view is the state that other goroutines may read.
	view atomic.Pointer[fleetView]
	// hints is nil on nodes without a disk.
	hints *hintFile[[]registry.Instance]
	// knowsInstances is set once this node's list of instances was equal to a control node's, and not empty.
	knowsInstances atomic.Bool
	// instanceCount is the number of live instances known.
	instanceCount atomic.Int64
}

// neighbours are the other entry nodes. The lists are rebuilt only when the set has changed.
type neighbours struct {
	// generation differs after each change of the set; 0 before the first.
	generation uint64
	nodes      []balance.EntryNode
	// inZone is the number of them in this node's zone.
	inZone int
	// lenders are their addresses in the order in which tokens are borrowed: this node's zone
	// first.
	lenders []string
}

// newNeighbours builds the lists of the other entry nodes, which are given in sorted order, as seen
// by the node self.
func newNeighbours(self balance.EntryNode, entries []peer.NodeEntry, generation uint64) neighbours {
	result := neighbours{generation: generation, nodes: make([]balance.EntryNode, 0, len(entries))}
	var sameZone, remote []string
	for _, entry := range entries {
		result.nodes = append(result.nodes, balance.EntryNode{Address: entry.Address, Zone: entry.Zone})
		if entry.Zone == self.Zone {
			sameZone = append(sameZone, entry.Address)
			continue
		}
		remote = append(remote, entry.Address)
	}
	result.inZone = len(sameZone)
	result.lenders = append(rotateAfter(self.Address, sameZone), rotateAfter(self.Address, remote)...)
	return result
}

// fleetView is an immutable snapshot of the roster for other goroutines.
type fleetView struct {
	alive []*roster.Peer
	// controls is the number of control nodes among them, and knownControls are the addresses of all
	// control nodes that this node has had contact with and not forgotten; set on control nodes only.
	controls      int
	knownControls []string
	leader        string
	// entries is the number of live entry nodes, this one included.
	entries    int
	neighbours neighbours
	// live are the entry nodes that control nodes currently have contact with; set on entry nodes
	// only.
	live roster.LiveEntries
	// rootContactAt is the time of the last contact with a control node that has a quorum, and
	// certainVersion the newest document version that such a node reported.
	rootContactAt  time.Duration
	certainVersion uint64
}

// controlFreshness describes how recent this node's knowledge of the control nodes is, for logs.
type controlFreshness struct {
	// contactAges are the times since the last contact with each live control node. delays are by
	// how much the transit of its last hello exceeded that of the fastest one. Both are in
	// milliseconds.
	contactAges, delays []int64
}

func (f *fleetDuty) controlFreshness(now time.Duration) controlFreshness {
	freshness := controlFreshness{contactAges: []int64{}, delays: []int64{}}
	for _, known := range f.view.Load().alive {
		if known.Control {
			freshness.contactAges = append(freshness.contactAges, (now - known.ReceivedAt).Milliseconds())
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
		sentLists: map[string]sentNodeList{}, mismatches: map[string]mismatch{}, unapplied: map[string]struct{}{}, helloReceivers: map[string]bool{}, previousControls: map[string]bool{},
	}
	fleet.view.Store(&fleetView{entries: 1, rootContactAt: -versionValidity})
	fleet.duty.Tick = fleet.tick
	fleet.duty.Flush = fleet.flush
	if node.isControlRole() {
		fleet.hints = newHintFile[[]registry.Instance](node, instancesHintFile)
		fleet.loadInstances()
	}
	return fleet
}

// loadInstances loads the instances that this node knew before its restart. An instance that has
// changed since then reports it within about a second; one that is gone can't be reached, or
// refuses requests that are not meant for it.
func (f *fleetDuty) loadInstances() {
	if changed := f.registry.Merge(f.node.now(), f.hints.load()); len(changed) > 0 {
		f.logInstances("recalled", changed)
		f.scheduleApply(changed)
		f.applyInstances()
	}
}

func (f *fleetDuty) setSeeds(seeds []string) {
	f.duty.Offer(func() {
		f.roster.SetSeeds(seeds)
		f.sendHelloToAll()
	})
}

func (f *fleetDuty) tick() {
	now := f.node.now()
	if f.ticks%helloTicks == 0 {
		f.helloRounds++
		f.listSenders = f.chooseListSenders()
		f.sendHello(f.isHelloDue)
	}
	if f.isControl() && f.ticks%instanceContactsTicks == 0 {
		f.sendInstanceContacts()
		f.announce(f.registry.Expire(now))
	}
	if f.hints != nil && f.ticks%hintTicks == 0 {
		f.hints.writeIfChanged(f.registry.Digest(), func() []registry.Instance { return f.registry.Instances(now) })
	}
	f.ticks++
	f.logLostControls(now)
	f.logMerged()
	f.dropStaleList(now)
	for _, gone := range f.roster.Forget(now) {
		f.node.mesh.RemoveLink(gone)
		f.node.protocols.forget(gone)
		delete(f.sentLists, gone)
		delete(f.mismatches, gone)
		f.node.publisher.forget(gone)
	}
	f.publishView()
	f.node.link.tick(now, f.view.Load())
}

// logLostControls logs each control node that has become unreachable.
func (f *fleetDuty) logLostControls(now time.Duration) {
	alive := map[string]bool{}
	for _, known := range f.roster.Controls(now) {
		alive[known.Address] = true
	}
	for address := range f.previousControls {
		if known := f.roster.Get(address); !alive[address] && known != nil {
			f.node.log.Warn().Str("event", "node_lost").Str("peer", known.Node).Str("address", address).
				Int64("silent_ms", (now-known.ReceivedAt).Milliseconds()).Int("control_nodes_heard", len(alive)).Send()
		}
	}
	f.previousControls = alive
}

func (f *fleetDuty) isControl() bool { return f.node.replica != nil }

// sendHelloToAll sends a hello immediately to every node that receives hellos from this one.
func (f *fleetDuty) sendHelloToAll() { f.sendHello(func(string) bool { return true }) }

// isHelloDue reports whether a node is sent a hello in this round. Of many control nodes an entry
// node needs frequent contact with only a few: those that send it the list of all nodes, and the
// members of the control group, which know the root. It exchanges hellos with the others in every
// third round.
func (f *fleetDuty) isHelloDue(receiver string) bool {
	known := f.roster.Get(receiver)
	if known == nil || f.view.Load().controls < minimumRelayControls {
		return true
	}
	if !f.isControl() {
		return known.HasGroup || slices.Contains(f.listSenders, receiver) || f.isReducedHelloDue(receiver)
	}
	return known.Control || f.node.replica.shared.Load().hasGroup || f.decideListRole(receiver).isListSender || f.isReducedHelloDue(receiver)
}

// isReducedHelloDue reports whether a node that is sent fewer hellos is due, and spreads these
// nodes evenly over the rounds.
func (f *fleetDuty) isReducedHelloDue(receiver string) bool {
	return (uint64(f.helloRounds)+xxhash.Sum64String(receiver))%reducedHelloRounds == 0
}

// chooseListSenders returns the control nodes that send this entry node the list of all nodes.
func (f *fleetDuty) chooseListSenders() []string {
	if f.isControl() {
		return nil
	}
	var controls []follow.Node
	for _, known := range f.view.Load().alive {
		if known.Control && !known.Stopping {
			controls = append(controls, follow.Node{Address: known.Address, Zone: known.Zone})
		}
	}
	return follow.ChooseSenders(follow.Node{Address: f.node.address, Zone: f.node.settings.Load().Node.Zone}, controls, listSenderCount)
}

// sendHello sends hellos to the nodes that isDue selects: to control nodes, and from a control node
// also to every live node.
func (f *fleetDuty) sendHello(isDue func(receiver string) bool) {
	now := f.node.now()
	own := f.ownHello()
	receivers := f.roster.HelloTargets(now)
	if f.isControl() {
		sortedCount := len(receivers)
		for _, known := range f.roster.AliveNodes(now) {
			// The addresses from HelloTargets are sorted, and few.
			if _, found := slices.BinarySearch(receivers[:sortedCount], known.Address); !found {
				receivers = append(receivers, known.Address)
			}
		}
	}
	f.recordHelloReceivers(receivers)
	receivers = slices.DeleteFunc(receivers, func(receiver string) bool { return !isDue(receiver) })
	short := peer.NewMessage(peer.KindHello, own)
	if !f.isControl() {
		f.node.sendAll(receivers, short)
		return
	}
	lists := f.newListHellos(now, own)
	for _, receiver := range receivers {
		if hello := lists.forReceiver(receiver); hello != nil {
			f.node.sendMessage(receiver, hello)
			continue
		}
		f.node.sendMessage(receiver, short)
	}
}

func (f *fleetDuty) recordHelloReceivers(receivers []string) {
	clear(f.helloReceivers)
	for _, receiver := range receivers {
		f.helloReceivers[receiver] = true
	}
}

// sendHelloToNewControls sends a hello to control nodes that were learnt of since the last round.
// After a power loss of the whole fleet it brings each node into contact with the root a second
// sooner, as the leader may be a control node that is not a seed; until then the tokens that ended
// incarnations held can't be granted.
func (f *fleetDuty) sendHelloToNewControls(now time.Duration) {
	var newControls []string
	for _, address := range f.roster.HelloTargets(now) {
		if !f.helloReceivers[address] {
			f.helloReceivers[address] = true
			newControls = append(newControls, address)
		}
	}
	if len(newControls) == 0 {
		return
	}
	f.node.sendAll(newControls, peer.NewMessage(peer.KindHello, f.ownHello()))
}

func (f *fleetDuty) ownHello() peer.Hello {
	current := f.node.settings.Load()
	hello := peer.Hello{
		Address: f.node.address, Node: current.Node.Name, Zone: current.Node.Zone, Incarnation: f.node.incarnation,
		Entry: current.HasRole(settings.RoleEntry), Control: f.isControl(), Stopping: f.node.isStopping(),
		Version: f.node.documents.version(), InstancesSum: f.registry.Digest(),
		AgeMS: uint64(f.node.now().Milliseconds()), Evacuated: f.node.zones.current(),
		ProtocolVersion: peer.OwnProtocol, Build: f.node.options.Build,
	}
	digest := f.node.quarantine.digest.Load()
	hello.QuarantineDigest, hello.QuarantinedPartsDigest = digest.Requests, digest.Parts
	if f.hasOlderPeers() {
		hello.InstancesDigest = f.registry.OrderedDigest()
	}
	hello.NeedsNodes = hello.Entry && f.roster.NeedsNodes(f.node.now())
	if f.isControl() {
		f.node.replica.addToHello(&hello)
		hello.Rollouts = f.node.rollouts.advertised()
	}
	return hello
}

// hasOlderPeers reports whether any live node runs an older build that compares ordered digests.
func (f *fleetDuty) hasOlderPeers() bool {
	return slices.ContainsFunc(f.view.Load().alive, func(known *roster.Peer) bool { return known.ProtocolVersion < peer.ProtocolSums })
}

// handleHello records another node's hello and starts to reconcile state that differs.
func (f *fleetDuty) handleHello(from string, hello peer.Hello) {
	if from != hello.Address {
		return
	}
	f.node.protocols.record(hello)
	f.duty.Offer(func() { f.recordHello(hello) })
}

func (f *fleetDuty) recordHello(hello peer.Hello) {
	now := f.node.now()
	isNew := f.roster.HandleHello(now, hello)
	if isNew {
		f.handleNewNode(now, hello)
		if f.isControl() {
			f.node.replica.hasNewIncarnation.Store(true)
		}
	}
	f.compareInstances(hello)
	if hello.Control {
		f.node.zones.handleHello(hello)
		f.node.rollouts.handleHello(hello)
		f.node.quarantine.handleHello(hello, isNew)
		f.node.documents.handleVersion(follow.Node{Address: hello.Address, Zone: hello.Zone}, hello.Version)
	}
	if hello.Control && (isNew || len(hello.Nodes) > 0) {
		f.sendHelloToNewControls(now)
	}
	if f.isControl() {
		if hello.NeedsNodes && !isNew {
			// A new node has just been sent the list.
			f.repeatList(hello.Address)
		}
		f.node.publisher.handleHello(hello)
	}
	if isNew || hello.Control {
		// Other hellos of entry nodes, by far the most frequent, are published at the next tick.
		f.publishViewSoon(now)
	}
}

// publishViewSoon publishes the roster immediately, or as soon as the minimum interval since the
// last time has passed.
func (f *fleetDuty) publishViewSoon(now time.Duration) {
	interval := time.Duration(len(f.view.Load().alive)) * viewIntervalPerNode
	if now-f.viewPublishedAt >= interval {
		f.publishView()
		return
	}
	if !f.isViewDue {
		f.isViewDue = true
		time.AfterFunc(f.viewPublishedAt+interval-now, func() { f.duty.Offer(f.publishView) })
	}
}

// handleNewNode handles the first hello of a node that was unknown or unreachable until now.
func (f *fleetDuty) handleNewNode(now time.Duration, hello peer.Hello) {
	f.node.log.Info().Str("event", "node_heard").Str("peer", hello.Node).Str("address", hello.Address).
		Str("life", hello.Incarnation).Bool("control", hello.Control).Uint64("version", hello.Version).Send()
	delete(f.sentLists, hello.Address)
	if f.isControl() {
		// Sends the node list without waiting for the next round.
		if list := f.newListHellos(now, f.ownHello()).forReceiver(hello.Address); list != nil {
			f.node.sendMessage(hello.Address, list)
		}
	}
}

// publishView stores a new view of the roster for the other duties.
func (f *fleetDuty) publishView() {
	now := f.node.now()
	f.viewPublishedAt, f.isViewDue = now, false
	current := f.node.settings.Load()
	view := &fleetView{leader: f.roster.Leader(now), rootContactAt: -versionValidity}
	view.alive = f.roster.AliveNodes(now)
	before := f.view.Load().neighbours
	view.neighbours = before
	if entries, generation := f.roster.Entries(now); generation != before.generation {
		view.neighbours = newNeighbours(balance.EntryNode{Address: f.node.address, Zone: current.Node.Zone}, entries, generation)
	}
	if f.isControl() {
		view.knownControls = f.roster.KnownControls()
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
		quorumAge := time.Duration(known.TimeSinceQuorumMS) * time.Millisecond
		if !known.HasGroup || quorumAge > maximumQuorumAge {
			continue
		}
		view.certainVersion = max(view.certainVersion, known.Version)
		view.rootContactAt = max(view.rootContactAt, known.ReceivedAt)
	}
	f.view.Store(view)
}

// liveEntries are the entry nodes that control nodes currently have contact with. A control node
// uses its own contacts, and counts itself among them while it has a quorum.
func (f *fleetDuty) liveEntries(now time.Duration) roster.LiveEntries {
	if f.isControl() {
		return f.roster.ReachableEntries(now, f.node.isRootReachable())
	}
	return f.roster.LiveEntries(now)
}

// rotateAfter rotates a sorted list so that it starts after a node's own position. Otherwise all
// nodes would send their requests to the first node of the list.
func rotateAfter(own string, addresses []string) []string {
	place, _ := slices.BinarySearch(addresses, own)
	return append(slices.Clone(addresses[place:]), addresses[:place]...)
}
