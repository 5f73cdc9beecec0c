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
	// gatherTime is how long a change that is not urgent waits for others after one was
	// told, or came into force here. With 3,000 instances that register within 10 s at
	// 300 nodes it takes nine tenths off what an entry node spends on them
	// (BenchmarkRegistering).
	gatherTime = 50 * time.Millisecond
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
func (g *gathered) take(now time.Duration) (isNow bool, wait time.Duration) {
	if !g.isDue {
		return false, 0
	}
	if since := now - g.doneAt; !g.isUrgent && since < gatherTime {
		if g.isWaiting {
			return false, 0
		}
		g.isWaiting = true
		return false, gatherTime - since
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
	// Answer asks the receiver for all that it has.
	Answer bool `msgpack:"a,omitempty"`
}

// compareInstances exchanges the registry with a node that holds another one: it asks for
// the other's list first, and sends its own if that was not enough. Of a control node and
// an entry node the entry node begins, unless the control node knows of nothing.
func (f *fleetDuty) compareInstances(hello peer.Hello) {
	own := f.registry.Digest()
	if hello.InstancesDigest == own || !hello.Control && !f.isControl() {
		delete(f.mismatches, hello.Address)
		return
	}
	now := f.node.now()
	before, isKnown := f.mismatches[hello.Address]
	if !isKnown {
		before.since = now
	}
	isDue := isKnown && before.own == own && before.other == hello.InstancesDigest || now-before.since >= mismatchPatience
	if f.isControl() && !hello.Control {
		isDue = now-before.since >= 2*mismatchPatience
	}
	before.own, before.other = own, hello.InstancesDigest
	f.mismatches[hello.Address] = before
	if !isDue && f.instances.Load() > 0 {
		return
	}
	if before.hasAsked {
		delete(f.mismatches, hello.Address)
		f.node.sendMessage(hello.Address, f.wholeList())
	} else {
		f.mismatches[hello.Address] = mismatch{own: own, other: hello.InstancesDigest, since: now, hasAsked: true}
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
		f.mergeInstances(message.Instances)
		if message.Answer {
			f.node.sendMessage(from, f.wholeList())
		}
	})
}

func (f *fleetDuty) mergeInstances(others []registry.Instance) {
	if news := f.registry.Merge(f.node.now(), others); len(news) > 0 {
		f.logInstances("merged", news)
		f.publishing.ask(isUrgent(news))
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
	f.publishing.ask(isUrgent(changes))
}

// flush does what changes have asked for, if it is time.
func (f *fleetDuty) flush() {
	now := f.node.now()
	isNow, announceIn := f.announcing.take(now)
	if isNow {
		f.sendAnnounced()
	}
	isNow, publishIn := f.publishing.take(now)
	if isNow {
		f.publishInstances()
	}
	for _, wait := range []time.Duration{announceIn, publishIn} {
		if wait > 0 {
			// The duty looks again behind this.
			time.AfterFunc(wait, func() { f.duty.Offer(func() {}) })
		}
	}
}

// sendAnnounced tells all nodes of the changes gathered.
func (f *fleetDuty) sendAnnounced() {
	message := peer.NewMessage(peer.KindInstances, &instancesMessage{Instances: f.unannounced})
	f.unannounced = nil
	for _, known := range f.roster.AliveNodes(f.node.now()) {
		f.node.sendMessage(known.Address, message)
	}
}

func (f *fleetDuty) logInstances(how string, changes []registry.Instance) {
	for _, changed := range changes {
		f.node.log.Info().Str("event", "instance").Str("how", how).Stringer("life", changed.Life()).Str("service", changed.Service).
			Str("address", changed.Address).Stringer("state", changed.State).Uint64("sequence", changed.Sequence).
			Int64("cold_for_ms", changed.ColdLeft.Milliseconds()).Send()
	}
}

func (f *fleetDuty) publishInstances() {
	live := f.registry.Live()
	f.instances.Store(int64(len(live)))
	if replaced := f.node.table.Update(live); len(replaced) > 0 && f.node.pipeline != nil {
		f.node.pipeline.LivesOver(replaced)
	}
}

// heartbeat takes an instance's word and tells all nodes before it returns.
func (f *fleetDuty) heartbeat(ctx context.Context, instance registry.Instance) error {
	result, err := duty.Ask(ctx, f.duty, func(answer func(error)) {
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
	_, err := duty.Ask(ctx, f.duty, func(answer func(bool)) {
		changed := f.registry.Leave(f.node.now(), life)
		if left, found := f.registry.Get(life.ID); changed && found {
			f.announce([]registry.Instance{left})
		}
		answer(changed)
	})
	return err
}
