package simulate

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/streamversion"
	"github.com/ravenway/ravenway/internal/pairhash"
)

// StreamPolicy is how nodes know on which version a stream began that its caller takes up again.
type StreamPolicy int

// Policies of RunStreamVersions.
const (
	// RecordFirstEvent records the version when the first event is relayed.
	RecordFirstEvent StreamPolicy = iota
	// RecordSending records the version when the request is sent, so that the record is there before the
	// first event. A retry on another version replaces it, which is acknowledged before the first event.
	RecordSending
	// DeriveFromID derives the version of a new stream from its ID and a table of the versions' shares,
	// and records only the streams that did not begin there.
	DeriveFromID
)

// String returns the policy's name.
func (p StreamPolicy) String() string {
	return [...]string{"record at the first event", "record at sending", "derive from the ID"}[p]
}

// StreamLoss is what is lost in a run.
type StreamLoss int

// Losses of RunStreamVersions.
const (
	LoseOneNode StreamLoss = iota
	LoseHalfOfAZone
	LoseAZone
	LoseAllEntries
	LoseAllNodes
	// LoseNodeInCutZone kills a node of a zone that is partitioned from the others.
	LoseNodeInCutZone
	// StreamLossCount is the number of losses.
	StreamLossCount
)

// String returns the loss's name.
func (l StreamLoss) String() string {
	return [...]string{"one node", "half of a zone's nodes", "a zone", "all entry nodes", "all nodes", "a node of a cut zone"}[l]
}

// StreamOptions configures a run of RunStreamVersions: entry nodes in zones that relay streams, releases
// of versions one after the other, and a loss of nodes again and again.
type StreamOptions struct {
	Seed                          uint64
	Policy                        StreamPolicy
	Loss                          StreamLoss
	Zones, NodesPerZone, Controls int
	// Rate is the number of streams that begin per second at each node.
	Rate float64
	// GuessesUnknown is a deliberate defect: a stream without a record continues on any version.
	GuessesUnknown bool
}

// StreamResult counts the streams of a run.
type StreamResult struct {
	Began, TakenUp, WentOn, Joined, Refused int
	// EndedUnrecorded counts streams that ended before their first event, because a record was not
	// acknowledged. AddedTime is the time that records added to all first events.
	EndedUnrecorded int
	AddedTime       time.Duration
	// Records is the number of records that were sent to a holder, Held the most at one node.
	Records, Held int
	World         *World
}

const (
	streamRunEnd            = 40 * time.Second
	streamReleaseEvery      = 3 * time.Second
	streamLossEvery         = 5 * time.Second
	streamLargeLossEvery    = 18 * time.Second
	streamLastLoss          = streamRunEnd - 5*time.Second
	streamDowntime          = 500 * time.Millisecond
	shortestSimulatedStream = 2 * time.Second
	longestSimulatedStream  = 15 * time.Second
	shortestFirst           = 30 * time.Millisecond
	longestFirst            = 600 * time.Millisecond
	streamRetryShare        = 0.05
	streamAckTimeout        = 100 * time.Millisecond
	streamTableLag          = 300 * time.Millisecond
	streamReturnAttempts    = 4
	streamRoute             = longestSimulatedStream
	streamOtherZone         = 0.2
	streamTenants           = 20
)

var streamReleases = []string{"v1", "v1.1", "v1.2", "v2"}

// streamNode is an entry node or a control node.
type streamNode struct {
	streamversion.Node
	isControl bool
	store     *streamversion.Store
	// replaced holds the versions that replace those of the store's records, for RecordSending.
	replaced map[streamversion.Key]string
	isDown   bool
	// incarnation counts the node's restarts.
	incarnation int
	// streams are the streams that the node relays.
	streams map[*simulatedStream]struct{}
}

// simulatedStream is one stream and the version that began it.
type simulatedStream struct {
	id, tenant string
	number     int
	zone       string
	version    string
	endsAt     time.Duration
	hasBegun   bool
}

func (s *simulatedStream) key() streamversion.Key { return streamversion.KeyOf(s.tenant, s.id) }

// shareTable is a version of the table of the versions' shares, for DeriveFromID.
type shareTable struct {
	versions []string
	since    time.Duration
}

// version returns the version of a stream under the table.
func (t shareTable) version(id string) string {
	return t.versions[pairhash.Of(id, "share")%uint64(len(t.versions))]
}

type streamRun struct {
	*World
	network *Network
	options StreamOptions
	result  StreamResult
	nodes   []*streamNode
	entries []*streamNode
	byName  map[string]*streamNode
	// serving are the versions that serve.
	serving []string
	tables  []shareTable
	cutZone string
	number  int
}

// RunStreamVersions runs one simulation.
func RunStreamVersions(options StreamOptions) StreamResult {
	run := &streamRun{World: NewWorld(options.Seed), options: options, byName: map[string]*streamNode{}, serving: streamReleases[:1]}
	run.network = NewNetwork(run.World)
	run.tables = []shareTable{{versions: run.serving}}
	for number := range options.Zones * options.NodesPerZone {
		run.addNode(fmt.Sprintf("entry-%03d", number), number%options.Zones, false)
	}
	for number := range options.Controls {
		run.addNode(fmt.Sprintf("control-%02d", number), number%options.Zones, true)
	}
	for _, node := range run.entries {
		run.scheduleStream(node)
	}
	run.Every(streamReleaseEvery, func() bool { run.release(); return true })
	lossEvery := streamLossEvery
	if options.Loss == LoseAZone || options.Loss == LoseAllEntries || options.Loss == LoseAllNodes {
		lossEvery = streamLargeLossEvery
	}
	run.Every(lossEvery, func() bool { run.lose(); return run.Now+lossEvery < streamLastLoss })
	run.RunUntil(streamRunEnd)
	run.result.World = run.World
	return run.result
}

func (r *streamRun) addNode(name string, zone int, isControl bool) {
	node := &streamNode{
		Node: streamversion.Node{Address: name, Zone: fmt.Sprint("zone-", zone)}, isControl: isControl,
		store: streamversion.NewStore(0), replaced: map[streamversion.Key]string{}, streams: map[*simulatedStream]struct{}{},
	}
	r.nodes = append(r.nodes, node)
	r.byName[name] = node
	if !isControl {
		r.entries = append(r.entries, node)
	}
}

// members returns the nodes that a node knows: those that are up.
func (r *streamRun) members(of *streamNode) streamversion.Members {
	members := streamversion.Members{Self: of.Node}
	for _, node := range r.nodes {
		switch {
		case node.isDown:
		case node.isControl:
			members.Controls = append(members.Controls, node.Node)
		default:
			members.Entries = append(members.Entries, node.Node)
		}
	}
	return members
}

func (r *streamRun) scheduleStream(node *streamNode) {
	r.After(time.Duration(r.Random.ExpFloat64()/r.options.Rate*float64(time.Second)), func() {
		if !node.isDown {
			r.begin(node)
		}
		r.scheduleStream(node)
	})
}

// begin sends a new stream's request to an engine.
func (r *streamRun) begin(node *streamNode) {
	r.number++
	stream := &simulatedStream{id: fmt.Sprint("r-", r.number), number: r.number, tenant: fmt.Sprint("tenant-", r.number%streamTenants), zone: node.Zone}
	stream.version = r.serving[r.Random.IntN(len(r.serving))]
	derived := ""
	if r.options.Policy == DeriveFromID {
		derived = r.tableAt(r.Now - r.Between(0, streamTableLag)).version(stream.id)
		stream.version = derived
		if !slices.Contains(r.serving, derived) {
			stream.version = r.serving[r.Random.IntN(len(r.serving))]
		}
	}
	first := r.Between(shortestFirst, longestFirst)
	if r.options.Policy == RecordSending {
		r.send(node, stream)
	}
	if r.Chance(streamRetryShare) {
		// The first engine fails before the first event, and the request goes to any other.
		stream.version = r.serving[r.Random.IntN(len(r.serving))]
	}
	incarnation := node.incarnation
	r.After(first, func() {
		if node.incarnation == incarnation && !node.isDown {
			r.beforeFirstEvent(node, stream, derived)
		}
	})
}

// beforeFirstEvent records a stream as the policy requires, and relays its first event.
func (r *streamRun) beforeFirstEvent(node *streamNode, stream *simulatedStream, derived string) {
	relay := func() { r.relay(node, stream) }
	known := node.store.Find(r.Now, stream.key())
	switch r.options.Policy {
	case RecordFirstEvent:
		r.send(node, stream)
		relay()
	case RecordSending:
		if known.IsKnown && known.Version == stream.version {
			relay()
			return
		}
		r.sendAcknowledged(node, stream, relay)
	case DeriveFromID:
		if derived == stream.version && r.isDerivable(stream.id) {
			relay()
			return
		}
		r.sendAcknowledged(node, stream, relay)
	}
}

// relay relays a stream from its first event to its end.
func (r *streamRun) relay(node *streamNode, stream *simulatedStream) {
	if node.isDown {
		return
	}
	stream.hasBegun, stream.endsAt = true, r.Now+r.Between(shortestSimulatedStream, longestSimulatedStream)
	r.result.Began++
	node.streams[stream] = struct{}{}
	r.After(stream.endsAt-r.Now, func() { delete(node.streams, stream) })
}

// record returns the record of a stream.
func (s *simulatedStream) record() streamversion.Record {
	return streamversion.Record{
		Key: s.key(), Owner: streamversion.OwnerOf(s.tenant), Origin: streamversion.Origin{Service: "llm", Version: s.version}, Lifetime: streamversion.Lifetime(streamRoute),
	}
}

// send sends a stream's record to its holders.
func (r *streamRun) send(node *streamNode, stream *simulatedStream) {
	record := stream.record()
	node.store.Put(r.Now, record)
	for _, name := range r.members(node).Holders(record.Key) {
		r.result.Records++
		holder := r.byName[name]
		r.deliver(node, holder, func() {
			holder.store.Put(r.Now, record)
			held, _ := holder.store.Count()
			r.result.Held = max(r.result.Held, held)
		})
	}
}

// sendAcknowledged sends a stream's record to its holders and continues once all have acknowledged it.
// A stream whose record is not acknowledged ends.
func (r *streamRun) sendAcknowledged(node *streamNode, stream *simulatedStream, relay func()) {
	sentAt, missing := r.Now, map[string]bool{}
	key := stream.key()
	node.replaced[key] = stream.version
	for _, name := range r.members(node).Holders(key) {
		r.result.Records++
		missing[name] = true
		holder := r.byName[name]
		r.deliver(node, holder, func() {
			holder.replaced[key] = stream.version
			r.deliver(holder, node, func() {
				delete(missing, name)
				if len(missing) == 0 && r.Now-sentAt <= streamAckTimeout {
					r.result.AddedTime += r.Now - sentAt
					relay()
				}
			})
		})
	}
	r.After(streamAckTimeout+time.Millisecond, func() {
		if len(missing) > 0 {
			r.result.EndedUnrecorded++
		}
	})
}

// deliver delivers a message unless either node is down, or they are partitioned.
func (r *streamRun) deliver(from, to *streamNode, action func()) {
	incarnation := to.incarnation
	r.network.Send(from.Address, to.Address, func() {
		if !to.isDown && to.incarnation == incarnation && r.isConnected(from, to) {
			action()
		}
	})
}

func (r *streamRun) isConnected(from, to *streamNode) bool {
	return from.Zone == to.Zone || from.Zone != r.cutZone && to.Zone != r.cutZone
}

// release changes the versions that serve: a new one is added, or one is taken away.
func (r *streamRun) release() {
	next := slices.Clone(r.serving)
	if len(next) < 3 && (len(next) == 1 || r.Chance(0.6)) {
		for _, version := range streamReleases {
			if !slices.Contains(next, version) {
				next = append(next, version)
				break
			}
		}
	} else {
		position := r.Random.IntN(len(next))
		next = slices.Delete(next, position, position+1)
	}
	r.serving = next
	r.tables = append(r.tables, shareTable{versions: next, since: r.Now})
}

func (r *streamRun) tableAt(at time.Duration) shareTable {
	found := r.tables[0]
	for _, table := range r.tables {
		if table.since <= at {
			found = table
		}
	}
	return found
}

// derivations returns the versions that an ID has under the tables of the longest life of a stream.
func (r *streamRun) derivations(id string) []string {
	var versions []string
	for position, table := range r.tables {
		isOver := position+1 < len(r.tables) && r.tables[position+1].since+streamTableLag < r.Now-longestSimulatedStream-longestFirst
		if version := table.version(id); !isOver && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// isDerivable reports whether a stream that begins now can be found without a record.
func (r *streamRun) isDerivable(id string) bool { return len(r.derivations(id)) == 1 }

// lose kills nodes and starts them again.
func (r *streamRun) lose() {
	victim := r.entries[r.Random.IntN(len(r.entries))]
	isLost := map[StreamLoss]func(node *streamNode) bool{
		LoseOneNode: func(node *streamNode) bool { return node == victim },
		LoseHalfOfAZone: func(node *streamNode) bool {
			return node.Zone == victim.Zone && !node.isControl && (node == victim || r.Chance(0.5))
		},
		LoseAZone:         func(node *streamNode) bool { return node.Zone == victim.Zone },
		LoseAllEntries:    func(node *streamNode) bool { return !node.isControl },
		LoseAllNodes:      func(*streamNode) bool { return true },
		LoseNodeInCutZone: func(node *streamNode) bool { return node == victim },
	}[r.options.Loss]
	wait := time.Duration(0)
	if r.options.Loss == LoseNodeInCutZone {
		r.cutZone = victim.Zone
		r.After(4*time.Second, func() { r.cutZone = "" })
		wait = time.Second
	}
	r.After(wait, func() {
		for _, node := range r.nodes {
			if isLost(node) {
				r.kill(node)
			}
		}
	})
}

func (r *streamRun) kill(node *streamNode) {
	node.isDown = true
	node.incarnation++
	node.store, node.replaced = streamversion.NewStore(0), map[streamversion.Key]string{}
	r.Fault("kill")
	broken := slices.SortedFunc(maps.Keys(node.streams), func(a, b *simulatedStream) int { return a.number - b.number })
	node.streams = map[*simulatedStream]struct{}{}
	for _, stream := range broken {
		r.scheduleReturn(stream, streamReturnAttempts)
	}
	r.After(streamDowntime, func() { node.isDown = false })
}

// scheduleReturn lets a stream's caller take it up again.
func (r *streamRun) scheduleReturn(stream *simulatedStream, attempts int) {
	r.After(r.Between(100*time.Millisecond, streamDowntime+100*time.Millisecond), func() {
		node := r.chooseEntry(stream.zone)
		if node == nil {
			if attempts > 1 {
				r.scheduleReturn(stream, attempts-1)
			}
			return
		}
		r.takeUp(node, stream, attempts)
	})
}

// chooseEntry returns an entry node that is up, mostly one of the given zone.
func (r *streamRun) chooseEntry(zone string) *streamNode {
	var near, far []*streamNode
	for _, node := range r.entries {
		switch {
		case node.isDown:
		case node.Zone == zone:
			near = append(near, node)
		default:
			far = append(far, node)
		}
	}
	if len(near) == 0 || len(far) > 0 && r.Chance(streamOtherZone) {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[r.Random.IntN(len(near))]
}

// takeUp looks a stream up and continues it.
func (r *streamRun) takeUp(node *streamNode, stream *simulatedStream, attempts int) {
	if !slices.Contains(r.serving, stream.version) {
		// Its version was taken away meanwhile.
		return
	}
	version, isKnown, isConfirmed := r.find(node, stream)
	if isKnown || isConfirmed || attempts == 1 {
		r.result.TakenUp++
	}
	switch {
	case isKnown && slices.Contains(r.serving, version):
		r.result.WentOn++
		if version != stream.version {
			r.result.Joined++
			if r.options.Policy == RecordFirstEvent {
				r.Check(fmt.Errorf("%w: %s began on %s and continues on %s", errJoined, stream.id, stream.version, version))
			}
			return
		}
		r.Check(nil)
		if r.options.Policy == RecordFirstEvent {
			r.send(node, stream)
		}
		stream.endsAt = max(stream.endsAt, r.Now)
		node.streams[stream] = struct{}{}
		r.After(stream.endsAt-r.Now, func() { delete(node.streams, stream) })
	case !isKnown && !isConfirmed && attempts > 1:
		r.scheduleReturn(stream, attempts-1)
	default:
		r.result.Refused++
	}
}

var errJoined = errors.New("a stream holds events of two versions")

// find returns the version of a stream as a node finds it, and whether all nodes that it asks respond.
func (r *streamRun) find(node *streamNode, stream *simulatedStream) (version string, isKnown, isConfirmed bool) {
	isConfirmed = true
	for _, name := range append(r.members(node).Asked(stream.key()), node.Address) {
		asked := r.byName[name]
		if asked.isDown || !r.isConnected(node, asked) {
			isConfirmed = false
			continue
		}
		if replaced := asked.replaced[stream.key()]; replaced != "" {
			return replaced, true, true
		}
		if answer := asked.store.Find(r.Now, stream.key()); answer.IsKnown && !answer.IsAmbiguous {
			return answer.Version, true, true
		}
	}
	if r.options.Policy == DeriveFromID {
		if versions := r.derivations(stream.id); len(versions) == 1 {
			return versions[0], true, true
		}
	}
	if r.options.GuessesUnknown {
		return r.serving[r.Random.IntN(len(r.serving))], true, true
	}
	return "", false, isConfirmed
}
