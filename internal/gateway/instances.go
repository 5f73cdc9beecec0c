package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// mismatchTimeout is how long another node's digest may differ from this node's while either
	// changes: changes are in transit, and during the start of a deployment they are in transit all
	// the time. If both digests are unchanged from one hello to the next and still differ, a change
	// was lost.
	mismatchTimeout = 6 * time.Second
	// repairInterval is the minimum time between two requests for other nodes' instances. A change
	// that one node lacks is known to all others, so that a response of one of them is enough:
	// requests to each of 25 control nodes caused 15 MB of traffic to each entry node while 10,000
	// instances registered.
	repairInterval = time.Second
	// batchTime is how long a change that is not urgent waits to be batched with others after the
	// last batch was sent or took effect on this node. With 3,000 instances that register in 10
	// seconds at 300 nodes it saves nine tenths of an entry node's processing time for them
	// (BenchmarkRegistering).
	batchTime = 50 * time.Millisecond
	// batchTimePerControl is the batching time for each control node: each batches and sends its
	// own changes, so that a node receives some 100 batches a second regardless of the number of
	// control nodes.
	batchTimePerControl = 10 * time.Millisecond
	// minimumRelayControls is the minimum number of control nodes for relaying changes that are not
	// urgent. Such a change then goes only to the control nodes, and an entry node receives it from
	// the first of the control nodes that send it the node list: some ten messages a second instead
	// of 100 when each of 25 control nodes sends its own. With few control nodes a relay would only
	// add delay.
	minimumRelayControls = 8
	// relayBatchTime is how long a control node batches the changes that it relays.
	relayBatchTime = 100 * time.Millisecond
	// listReuseTime is how long a full list that was encoded is reused for further receivers: with
	// 3,000 instances it has some 270 KB, and during the start of a deployment hundreds of nodes
	// request it from a control node almost simultaneously.
	listReuseTime = 200 * time.Millisecond
)

// mismatch is a difference between another node's digest and this node's.
type mismatch struct {
	own, other uint64
	since      time.Duration
	// hasRequested is set if the other node's list was requested since then.
	hasRequested bool
}

// instanceList is the full registry as it was last encoded for other nodes.
type instanceList struct {
	message *peer.Message
	digest  uint64
	at      time.Duration
}

// batchSchedule schedules work that is triggered by changes: immediately if a change is urgent,
// otherwise batched with later changes.
type batchSchedule struct {
	isDue, isUrgent, isWaiting bool
	doneAt                     time.Duration
}

// request marks the work as due.
func (g *batchSchedule) request(isUrgent bool) {
	g.isDue = true
	g.isUrgent = g.isUrgent || isUrgent
}

// takeDue reports whether the work is to be done now. Otherwise wait is the time until the next
// check, or 0 if no check needs to be scheduled.
func (g *batchSchedule) takeDue(now, batchInterval time.Duration) (isNow bool, wait time.Duration) {
	if !g.isDue {
		return false, 0
	}
	if since := now - g.doneAt; !g.isUrgent && since < batchInterval {
		if g.isWaiting {
			return false, 0
		}
		g.isWaiting = true
		return false, batchInterval - since
	}
	*g = batchSchedule{doneAt: now}
	return true, 0
}

// isUrgent reports whether a change must be known immediately: an instance that accepts no more
// work. The start of an instance, in any incarnation, may wait to be batched.
func isUrgent(changes []registry.Instance) bool {
	return slices.ContainsFunc(changes, func(changed registry.Instance) bool { return !changed.AcceptsWork() })
}

// instancesMessage carries changes of the registry, or the full registry.
type instancesMessage struct {
	Instances []registry.Instance `msgpack:"i"`
	// Request requests the receiver's full registry, or if Sums is set only the instances that
	// differ.
	Request bool `msgpack:"a,omitempty"`
	// Sums are the digests of the sender's buckets. With Request they are the state before the
	// exchange; without it the receiver sends back what still differs.
	Sums []uint64 `msgpack:"s,omitempty"`
}

// compareInstances exchanges registry contents with a node whose registry differs. Between a
// control node and an entry node the entry node starts the exchange, unless the control node knows
// no live instance.
func (f *fleetDuty) compareInstances(hello peer.Hello) {
	own, other := f.registry.Digest(), hello.InstancesSum
	if hello.ProtocolVersion < peer.ProtocolSums {
		own, other = f.registry.OrderedDigest(), hello.InstancesDigest
	}
	if other == own && hello.Control && f.registry.LiveCount() > 0 {
		f.knowsInstances.Store(true)
	}
	if other == own || !hello.Control && !f.isControl() {
		delete(f.mismatches, hello.Address)
		return
	}
	now := f.node.now()
	before, isKnown := f.mismatches[hello.Address]
	if !isKnown {
		before.since = now
	}
	isStable := isKnown && before.own == own && before.other == other
	timeout := mismatchTimeout
	if f.isControl() && !hello.Control {
		isStable, timeout = false, 2*mismatchTimeout
	}
	before.own, before.other = own, other
	f.mismatches[hello.Address] = before
	isOld := now-before.since >= timeout && (!f.hasRequested || now-f.requestedAt >= timeout)
	isEmpty := f.registry.LiveCount() == 0
	if !isStable && !isOld && !isEmpty || f.hasRequested && now-f.requestedAt < repairInterval {
		return
	}
	f.requestedAt, f.hasRequested = now, true
	f.requestInstances(hello, before)
}

// requestInstances requests instances that this node lacks, and sends those that the other node
// lacks.
func (f *fleetDuty) requestInstances(hello peer.Hello, known mismatch) {
	if hello.ProtocolVersion >= peer.ProtocolSums {
		delete(f.mismatches, hello.Address)
		f.node.send(hello.Address, peer.KindInstances, &instancesMessage{Request: true, Sums: f.registry.Digests()})
		return
	}
	if known.hasRequested {
		delete(f.mismatches, hello.Address)
		f.node.sendMessage(hello.Address, f.fullList())
	} else {
		known.hasRequested = true
		f.mismatches[hello.Address] = known
	}
	f.node.send(hello.Address, peer.KindInstances, &instancesMessage{Request: true})
}

// fullList returns the message with all instances, reusing a recent encoding.
func (f *fleetDuty) fullList() *peer.Message {
	now, digest := f.node.now(), f.registry.Digest()
	if f.encodedList.message == nil || f.encodedList.digest != digest || now-f.encodedList.at > listReuseTime {
		message := peer.NewMessage(peer.KindInstances, &instancesMessage{Instances: f.registry.Instances(now)})
		f.encodedList = instanceList{message: message, digest: digest, at: now}
	}
	return f.encodedList.message
}

// dropStaleList frees the encoded full list once it is too old to be reused.
func (f *fleetDuty) dropStaleList(now time.Duration) {
	if f.encodedList.message != nil && now-f.encodedList.at > listReuseTime {
		f.encodedList = instanceList{}
	}
}

func (f *fleetDuty) handleInstances(from string, message instancesMessage) {
	f.duty.Offer(func() {
		// A response to this node's own request contains changes that only this node lacked.
		f.mergeInstances(message.Instances, message.Sums == nil)
		switch now := f.node.now(); {
		case message.Request && message.Sums != nil && areAllZero(message.Sums):
			f.node.sendMessage(from, f.fullList())
		case message.Request && message.Sums != nil:
			f.node.send(from, peer.KindInstances, &instancesMessage{Instances: f.registry.Differing(now, message.Sums), Sums: f.registry.Digests()})
		case message.Request:
			f.node.sendMessage(from, f.fullList())
		case message.Sums != nil:
			if differing := f.registry.Differing(now, message.Sums); len(differing) > 0 {
				f.node.send(from, peer.KindInstances, &instancesMessage{Instances: differing})
			}
		}
	})
}

// areAllZero reports whether the sums are those of a node that knows no instance. After a power
// loss of the whole fleet a thousand nodes request all instances at the same time, and one encoded
// list serves all of them.
func areAllZero(sums []uint64) bool {
	return !slices.ContainsFunc(sums, func(sum uint64) bool { return sum != 0 })
}

// mergeInstances merges instances that another node sent, and relays changes that all nodes need.
func (f *fleetDuty) mergeInstances(others []registry.Instance, isForAll bool) {
	if changed := f.registry.Merge(f.node.now(), others); len(changed) > 0 {
		f.merged = append(f.merged, changed...)
		f.scheduleApply(changed)
		if isForAll && f.relaysChanges() {
			f.unrelayed = append(f.unrelayed, changed...)
			f.relaying.request(isUrgent(changed))
		}
	}
}

func (f *fleetDuty) handleInstanceContacts(received peer.InstanceContacts) {
	f.duty.Offer(func() { f.registry.RecordContact(f.node.now(), received.IDs) })
}

// sendInstanceContacts sends the other control nodes the IDs of the instances whose heartbeats this
// node received.
func (f *fleetDuty) sendInstanceContacts() {
	ids := f.registry.TakeContacts()
	if len(ids) == 0 {
		return
	}
	for _, known := range f.roster.Controls(f.node.now()) {
		f.node.send(known.Address, peer.KindInstanceContacts, &peer.InstanceContacts{IDs: ids})
	}
}

// announce schedules changes to be sent to all nodes and to take effect on this node.
func (f *fleetDuty) announce(changes []registry.Instance) {
	if len(changes) == 0 {
		return
	}
	f.logInstances("announced", changes)
	f.unannounced = append(f.unannounced, changes...)
	f.announcing.request(isUrgent(changes))
	f.scheduleApply(changes)
}

// scheduleApply schedules changes to take effect on this node.
func (f *fleetDuty) scheduleApply(changes []registry.Instance) {
	now := f.node.now()
	for _, changed := range changes {
		f.unapplied[changed.ID] = struct{}{}
		switch {
		case changed.Service == "":
		case changed.HasEnded():
			f.node.streams.history.Ended(now, changed.Service, changed.Version)
		default:
			f.node.streams.history.Listed(now, changed.Service, changed.Version)
		}
	}
	f.applying.request(isUrgent(changes))
}

// flush does the work that changes have scheduled and that is due.
func (f *fleetDuty) flush() {
	now := f.node.now()
	isUrgent := f.announcing.isUrgent
	announceBatchTime := max(batchTime, time.Duration(f.view.Load().controls)*batchTimePerControl)
	isNow, announceIn := f.announcing.takeDue(now, announceBatchTime)
	if isNow {
		f.sendAnnounced(isUrgent)
	}
	isNow, relayIn := f.relaying.takeDue(now, relayBatchTime)
	if isNow {
		f.sendRelayed()
	}
	isNow, applyIn := f.applying.takeDue(now, batchTime)
	if isNow {
		f.applyInstances()
	}
	for _, wait := range []time.Duration{announceIn, relayIn, applyIn} {
		if wait > 0 {
			// The duty flushes again after this empty work item.
			time.AfterFunc(wait, func() { f.duty.Offer(func() {}) })
		}
	}
}

// sendAnnounced sends the batched changes: to all nodes if one of them is urgent or changes are not
// relayed, otherwise to the control nodes and to the entry nodes that this node relays to.
func (f *fleetDuty) sendAnnounced(isUrgent bool) {
	message := peer.NewMessage(peer.KindInstances, &instancesMessage{Instances: f.unannounced})
	f.unannounced = nil
	toAll := isUrgent || !f.relaysChanges()
	for _, known := range f.roster.AliveNodes(f.node.now()) {
		if toAll || known.Control || f.decideListRole(known.Address).isRelay {
			f.node.sendMessage(known.Address, message)
		}
	}
}

// relaysChanges reports whether changes that are not urgent reach each entry node through one
// relaying control node.
func (f *fleetDuty) relaysChanges() bool {
	return f.isControl() && len(f.nodes.controls) >= minimumRelayControls
}

// sendRelayed relays changes that other nodes sent.
func (f *fleetDuty) sendRelayed() {
	message := peer.NewMessage(peer.KindInstances, &instancesMessage{Instances: f.unrelayed})
	f.unrelayed = nil
	for _, known := range f.roster.AliveNodes(f.node.now()) {
		if f.decideListRole(known.Address).isRelay {
			f.node.sendMessage(known.Address, message)
		}
	}
}

// maximumInstanceLines is the maximum number of changes in a batch that are logged one by one:
// thousands of instances register during the start of a deployment, and each node receives every
// one of them.
const maximumInstanceLines = 8

// logMerged logs the changes received from other nodes since the last tick.
func (f *fleetDuty) logMerged() {
	if len(f.merged) > 0 {
		f.logInstances("merged", f.merged)
		f.merged = nil
	}
}

func (f *fleetDuty) logInstances(how string, changes []registry.Instance) {
	if len(changes) > maximumInstanceLines {
		states := map[string]int{}
		for _, changed := range changes {
			states[changed.State.String()]++
		}
		f.node.log.Info().Str("event", "instances").Str("how", how).Int("count", len(changes)).Interface("states", states).
			Stringer("first", changes[0].Incarnation()).Stringer("last", changes[len(changes)-1].Incarnation()).Int("live", f.registry.LiveCount()).Send()
		return
	}
	for _, changed := range changes {
		f.node.log.Info().Str("event", "instance").Str("how", how).Stringer("life", changed.Incarnation()).Str("service", changed.Service).
			Str("instance_version", changed.Version).Str("address", changed.Address).Stringer("state", changed.State).Uint64("sequence", changed.Sequence).
			Int64("cold_for_ms", changed.ColdLeft.Milliseconds()).Send()
	}
}

func (f *fleetDuty) applyInstances() {
	changes := make([]registry.Instance, 0, len(f.unapplied))
	for id := range f.unapplied {
		if known, found := f.registry.Get(id); found {
			changes = append(changes, known)
		}
	}
	clear(f.unapplied)
	f.instanceCount.Store(int64(f.registry.LiveCount()))
	replaced := f.node.table.Apply(changes)
	if f.node.pipeline == nil {
		return
	}
	f.node.backoff.replace(replaced)
	f.node.paths.forget(replaced)
	for _, previous := range replaced {
		f.node.limits.limits.Forget(previous.Incarnation())
		f.node.prompts.ledger.Forget(previous.Incarnation())
		f.node.slots.ledger.Forget(previous.Incarnation())
	}
	for _, changed := range changes {
		if changed.HasEnded() {
			f.node.limits.limits.Forget(changed.Incarnation())
			f.node.prompts.ledger.Forget(changed.Incarnation())
			f.node.slots.ledger.Forget(changed.Incarnation())
		}
	}
	if len(replaced) > 0 {
		f.node.pipeline.IncarnationsReplaced(replaced)
	}
}

// heartbeat records an instance's heartbeat and schedules the announcement of a change before it
// returns.
func (f *fleetDuty) heartbeat(ctx context.Context, instance registry.Instance) error {
	result, err := duty.Call(ctx, f.duty, func(respond func(error)) {
		changed, err := f.registry.Heartbeat(f.node.now(), instance)
		if changed {
			f.announce([]registry.Instance{instance})
		}
		respond(err)
	})
	if err != nil {
		return err
	}
	return result
}

// leave records an instance's notice that one of its incarnations is ending.
func (f *fleetDuty) leave(ctx context.Context, incarnation registry.Incarnation) error {
	_, err := duty.Call(ctx, f.duty, func(respond func(bool)) {
		changed := f.registry.Leave(f.node.now(), incarnation)
		if left, found := f.registry.Get(incarnation.ID); changed && found {
			f.announce([]registry.Instance{left})
		}
		respond(changed)
	})
	return err
}
