package gateway

import (
	"context"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// mismatchesAllowed is how many hellos in a row may differ in their digest
// before the instances are exchanged whole: a change may be on its way.
const mismatchesAllowed = 1

// instancesMessage carries changes of the registry, or all of it.
type instancesMessage struct {
	Instances []registry.Instance `msgpack:"i"`
	// Answer asks the receiver for all that it has.
	Answer bool `msgpack:"a,omitempty"`
}

// compareInstances exchanges the registry with a node that holds another one.
func (f *fleetDuty) compareInstances(hello peer.Hello) {
	if hello.InstancesDigest == f.registry.Digest() || !hello.Control && !f.isControl() {
		delete(f.mismatches, hello.Address)
		return
	}
	f.mismatches[hello.Address]++
	if f.mismatches[hello.Address] <= mismatchesAllowed && len(f.registry.Live()) > 0 {
		return
	}
	delete(f.mismatches, hello.Address)
	f.node.send(hello.Address, peer.KindInstances, &instancesMessage{Instances: f.registry.Instances(f.node.now()), Answer: true})
}

func (f *fleetDuty) takeInstances(from string, message instancesMessage) {
	f.duty.Offer(func() {
		news := f.registry.Merge(f.node.now(), message.Instances)
		if len(news) > 0 {
			f.logInstances("merged", news)
			f.publishInstances()
		}
		if message.Answer {
			f.node.send(from, peer.KindInstances, &instancesMessage{Instances: f.registry.Instances(f.node.now())})
		}
	})
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

// announce tells all nodes of changes.
func (f *fleetDuty) announce(changes []registry.Instance) {
	if len(changes) == 0 {
		return
	}
	f.logInstances("announced", changes)
	f.publishInstances()
	frame := f.node.encode(peer.KindInstances, &instancesMessage{Instances: changes})
	for _, known := range f.roster.AliveNodes(f.node.now()) {
		f.node.sendFrame(known.Address, peer.KindInstances, frame)
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
