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
	// mismatchPatience is how long another node's digest may differ from the own one while
	// either changes: changes are on their way, and while a deployment starts they are so
	// all the time. Digests that both stand still from one hello to the next, and differ,
	// mean that a change was lost.
	mismatchPatience = 6 * time.Second
	// repairPause is the least time between two questions for other nodes' instances. What
	// one node lacks, it lacks beside all others, and one of them can tell it: asking each
	// of 25 control nodes took 15 MB to each entry node while 10,000 instances registered.
	repairPause = time.Second
	// gatherTime is how long a change that is not urgent waits for others after one was
	// told, or came into force here. With 3,000 instances that register within 10 s at
	// 300 nodes it takes nine tenths off what an entry node spends on them
	// (BenchmarkRegistering).
	gatherTime = 50 * time.Millisecond
	// gatherTimeOfControl is added for each control node: each gathers and tells its own
	// changes, so that a node is told some 100 times a second whatever their number.
	gatherTimeOfControl = 10 * time.Millisecond
	// relayFrom is the number of control nodes from which a change that is not urgent goes
	// to the control nodes only, and to an entry node from the first of those that tell it of
	// all others: it is then told some ten times a second and not 100 times, by each of 25
	// control nodes for itself. With few control nodes the way over one is a detour.
	relayFrom = 8
	// relayGather is how long a control node gathers what it passes on.
	relayGather = 100 * time.Millisecond
	// listReuse is how long a whole list that was encoded serves further receivers: with
	// 3,000 instances it has some 270 KB, and while a deployment starts hundreds of nodes
	// ask a control node for it within a moment.
	listReuse = 200 * time.Millisecond
)

// mismatch is a difference between another node's digest and the own one.
type mismatch struct {
	own, other uint64
	since      time.Duration
	// hasAsked tells that the other node's list was asked for since.
	hasAsked bool
}

// instanceList is the whole registry as it was last encoded for other nodes.
type instanceList struct {
	message *peer.Message
	digest  uint64
	at      time.Duration
}

// gathered is work that changes ask for, done at once or together with that of others.
type gathered struct {
	isDue, isUrgent, isWaiting bool
	doneAt                     time.Duration
}

// ask notes that the work is due.
func (g *gathered) ask(isUrgent bool) {
	g.isDue = true
	g.isUrgent = g.isUrgent || isUrgent
}

// take tells whether the work is to be done now; wait is when to look again otherwise,
// 0 if that is not needed.
func (g *gathered) take(now, gather time.Duration) (isNow bool, wait time.Duration) {
	if !g.isDue {
		return false, 0
	}
	if since := now - g.doneAt; !g.isUrgent && since < gather {
		if g.isWaiting {
			return false, 0
		}
		g.isWaiting = true
		return false, gather - since
	}
	*g = gathered{doneAt: now}
	return true, 0
}

// isUrgent tells whether a change must be known at once: an instance that takes no more
// work. One that begins, in whichever life, may wait for others.
func isUrgent(changes []registry.Instance) bool {
	return slices.ContainsFunc(changes, func(changed registry.Instance) bool { return !changed.TakesWork() })
}

// instancesMessage carries changes of the registry, or all of it.
type instancesMessage struct {
	Instances []registry.Instance `msgpack:"i"`
	// Answer asks the receiver for all that it has, or if Sums is set for what differs.
	Answer bool `msgpack:"a,omitempty"`
	// Sums are the digests of the sender's buckets: with Answer as they are before the
	// exchange; without it the receiver sends back what still differs.
	Sums []uint64 `msgpack:"s,omitempty"`
}

// compareInstances exchanges the registry with a node that holds another one. Of a control
// node and an entry node the entry node begins, unless the control node knows of nothing.
func (f *fleetDuty) compareInstances(hello peer.Hello) {
	own, other := f.registry.Digest(), hello.InstancesSum
	if hello.Dialect < peer.DialectSums {
		own, other = f.registry.OrderedDigest(), hello.InstancesDigest
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
	stands := isKnown && before.own == own && before.other == other
	patience := mismatchPatience
	if f.isControl() && !hello.Control {
		stands, patience = false, 2*mismatchPatience
	}
	before.own, before.other = own, other
	f.mismatches[hello.Address] = before
	isOld := now-before.since >= patience && (!f.hasAsked || now-f.askedAt >= patience)
	isEmpty := f.registry.LiveCount() == 0
	if !stands && !isOld && !isEmpty || f.hasAsked && now-f.askedAt < repairPause {
		return
	}
	f.askedAt, f.hasAsked = now, true
	f.askFor(hello, before)
}

// askFor asks a node for instances that are not known here, and tells it of those that it
// does not know.
func (f *fleetDuty) askFor(hello peer.Hello, known mismatch) {
	if hello.Dialect >= peer.DialectSums {
		delete(f.mismatches, hello.Address)
		f.node.send(hello.Address, peer.KindInstances, &instancesMessage{Answer: true, Sums: f.registry.Sums()})
		return
	}
	if known.hasAsked {
		delete(f.mismatches, hello.Address)
		f.node.sendMessage(hello.Address, f.wholeList())
	} else {
		known.hasAsked = true
		f.mismatches[hello.Address] = known
	}
	f.node.send(hello.Address, peer.KindInstances, &instancesMessage{Answer: true})
}

// wholeList is the message of all instances.
func (f *fleetDuty) wholeList() *peer.Message {
	now, digest := f.node.now(), f.registry.Digest()
	if f.list.message == nil || f.list.digest != digest || now-f.list.at > listReuse {
		message := peer.NewMessage(peer.KindInstances, &instancesMessage{Instances: f.registry.Instances(now)})
		f.list = instanceList{message: message, digest: digest, at: now}
	}
	return f.list.message
}

// forgetList gives up the memory of a whole list that serves nobody any more.
func (f *fleetDuty) forgetList(now time.Duration) {
	if f.list.message != nil && now-f.list.at > listReuse {
		f.list = instanceList{}
	}
}

func (f *fleetDuty) takeInstances(from string, message instancesMessage) {
	f.duty.Offer(func() {
		// An answer to this node's question is news to it alone.
		f.mergeInstances(message.Instances, message.Sums == nil)
		switch now := f.node.now(); {
		case message.Answer && message.Sums != nil && areEmpty(message.Sums):
			f.node.sendMessage(from, f.wholeList())
		case message.Answer && message.Sums != nil:
			f.node.send(from, peer.KindInstances, &instancesMessage{Instances: f.registry.Differing(now, message.Sums), Sums: f.registry.Sums()})
		case message.Answer:
			f.node.sendMessage(from, f.wholeList())
		case message.Sums != nil:
			if differing := f.registry.Differing(now, message.Sums); len(differing) > 0 {
				f.node.send(from, peer.KindInstances, &instancesMessage{Instances: differing})
			}
		}
	})
}

// areEmpty tells whether the sums are those of a node that knows no instance. After a loss of
// all power a thousand nodes ask for all at once: one list serves them.
func areEmpty(sums []uint64) bool {
	return !slices.ContainsFunc(sums, func(sum uint64) bool { return sum != 0 })
}

// mergeInstances takes instances that another node told, and passes on what is news to all.
func (f *fleetDuty) mergeInstances(others []registry.Instance, isForAll bool) {
	if news := f.registry.Merge(f.node.now(), others); len(news) > 0 {
		f.merged = append(f.merged, news...)
		f.publishLater(news)
		if isForAll && f.relays() {
			f.unrelayed = append(f.unrelayed, news...)
			f.relaying.ask(isUrgent(news))
		}
	}
}

func (f *fleetDuty) takeHeard(heard peer.InstancesHeard) {
	f.duty.Offer(func() { f.registry.Heard(f.node.now(), heard.IDs) })
}

// tellHeard tells the other control nodes which instances are alive.
func (f *fleetDuty) tellHeard() {
	ids := f.registry.TakeHeardHere()
	if len(ids) == 0 {
		return
	}
	for _, known := range f.roster.Controls(f.node.now()) {
		f.node.send(known.Address, peer.KindInstancesHeard, &peer.InstancesHeard{IDs: ids})
	}
}

// announce has all nodes told of changes.
func (f *fleetDuty) announce(changes []registry.Instance) {
	if len(changes) == 0 {
		return
	}
	f.logInstances("announced", changes)
	f.unannounced = append(f.unannounced, changes...)
	f.announcing.ask(isUrgent(changes))
	f.publishLater(changes)
}

// publishLater has changes come into force here.
func (f *fleetDuty) publishLater(changes []registry.Instance) {
	for _, changed := range changes {
		f.unpublished[changed.ID] = struct{}{}
	}
	f.publishing.ask(isUrgent(changes))
}

// flush does what changes have asked for, if it is time.
func (f *fleetDuty) flush() {
	now := f.node.now()
	isUrgent := f.announcing.isUrgent
	announceGather := max(gatherTime, time.Duration(f.view.Load().controls)*gatherTimeOfControl)
	isNow, announceIn := f.announcing.take(now, announceGather)
	if isNow {
		f.sendAnnounced(isUrgent)
	}
	isNow, relayIn := f.relaying.take(now, relayGather)
	if isNow {
		f.sendRelayed()
	}
	isNow, publishIn := f.publishing.take(now, gatherTime)
	if isNow {
		f.publishInstances()
	}
	for _, wait := range []time.Duration{announceIn, relayIn, publishIn} {
		if wait > 0 {
			// The duty looks again behind this.
			time.AfterFunc(wait, func() { f.duty.Offer(func() {}) })
		}
	}
}

// sendAnnounced tells others of the changes gathered: all nodes if one of them is urgent or
// none relays, else the control nodes and the entry nodes that it passes changes on to.
func (f *fleetDuty) sendAnnounced(isUrgent bool) {
	message := peer.NewMessage(peer.KindInstances, &instancesMessage{Instances: f.unannounced})
	f.unannounced = nil
	toAll := isUrgent || !f.relays()
	for _, known := range f.roster.AliveNodes(f.node.now()) {
		if toAll || known.Control || f.decideOn(known.Address).isRelay {
			f.node.sendMessage(known.Address, message)
		}
	}
}

// relays tells whether changes that are not urgent reach entry nodes over one control node.
func (f *fleetDuty) relays() bool { return f.isControl() && len(f.nodes.controls) >= relayFrom }

// sendRelayed passes on what other nodes told.
func (f *fleetDuty) sendRelayed() {
	message := peer.NewMessage(peer.KindInstances, &instancesMessage{Instances: f.unrelayed})
	f.unrelayed = nil
	for _, known := range f.roster.AliveNodes(f.node.now()) {
		if f.decideOn(known.Address).isRelay {
			f.node.sendMessage(known.Address, message)
		}
	}
}

// instanceLines is the most changes at once that have a line each: thousands of instances
// register while a deployment starts, and each node hears of each.
const instanceLines = 8

// logMerged writes the changes that other nodes told since the last tick.
func (f *fleetDuty) logMerged() {
	if len(f.merged) > 0 {
		f.logInstances("merged", f.merged)
		f.merged = nil
	}
}

func (f *fleetDuty) logInstances(how string, changes []registry.Instance) {
	if len(changes) > instanceLines {
		states := map[string]int{}
		for _, changed := range changes {
			states[changed.State.String()]++
		}
		f.node.log.Info().Str("event", "instances").Str("how", how).Int("count", len(changes)).Interface("states", states).
			Stringer("first", changes[0].Life()).Stringer("last", changes[len(changes)-1].Life()).Int("live", f.registry.LiveCount()).Send()
		return
	}
	for _, changed := range changes {
		f.node.log.Info().Str("event", "instance").Str("how", how).Stringer("life", changed.Life()).Str("service", changed.Service).
			Str("address", changed.Address).Stringer("state", changed.State).Uint64("sequence", changed.Sequence).
			Int64("cold_for_ms", changed.ColdLeft.Milliseconds()).Send()
	}
}

func (f *fleetDuty) publishInstances() {
	changes := make([]registry.Instance, 0, len(f.unpublished))
	for id := range f.unpublished {
		if known, found := f.registry.Get(id); found {
			changes = append(changes, known)
		}
	}
	clear(f.unpublished)
	f.instances.Store(int64(f.registry.LiveCount()))
	replaced := f.node.table.Apply(changes)
	if f.node.pipeline == nil {
		return
	}
	f.node.backoff.forget(replaced)
	for _, over := range replaced {
		f.node.limits.limits.Forget(over.Life())
	}
	for _, changed := range changes {
		if changed.HasEnded() {
			f.node.limits.limits.Forget(changed.Life())
		}
	}
	if len(replaced) > 0 {
		f.node.pipeline.LivesOver(replaced)
	}
}

// heartbeat takes an instance's word and tells all nodes before it returns.
func (f *fleetDuty) heartbeat(ctx context.Context, instance registry.Instance) error {
	result, err := duty.Call(ctx, f.duty, func(answer func(error)) {
		changed, err := f.registry.Heartbeat(f.node.now(), instance)
		if changed {
			f.announce([]registry.Instance{instance})
		}
		answer(err)
	})
	if err != nil {
		return err
	}
	return result
}

// leave takes an instance's word that a life of it ends.
func (f *fleetDuty) leave(ctx context.Context, life registry.Life) error {
	_, err := duty.Call(ctx, f.duty, func(answer func(bool)) {
		changed := f.registry.Leave(f.node.now(), life)
		if left, found := f.registry.Get(life.ID); changed && found {
			f.announce([]registry.Instance{left})
		}
		answer(changed)
	})
	return err
}
