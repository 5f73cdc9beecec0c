package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/enginepath"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// newRelayingNode returns an entry node that does not run and knows one instance.
func newRelayingNode(tb testing.TB) (*Node, registry.Instance) {
	tb.Helper()
	node := newReservingNode(tb, peer.OwnProtocol)
	instance := registry.Instance{ID: "engine-1", Service: "s", Address: "10.0.0.1:80", Zone: benchZone(0), Slots: 8, State: registry.Ready, Sequence: 1, StartedAt: 7}
	node.table.Apply([]registry.Instance{instance})
	return node, instance
}

// Guards against a node that relays to any address, as an open proxy does.
func TestRelayConnectsOnlyToLiveInstancesOfItsRegistry(t *testing.T) {
	node, instance := newRelayingNode(t)
	check := func(id string, startedAt int64, address string) peer.RelayRefusal {
		return node.relays.check(registry.Incarnation{ID: id, StartedAt: startedAt}, address).Refusal
	}
	assert.Equal(t, check(instance.ID, 7, instance.Address), peer.RelayAccepted)
	assert.Equal(t, check(instance.ID, 7, "10.0.0.2:80"), peer.RelayUnknownInstance)
	assert.Equal(t, check(instance.ID, 6, instance.Address), peer.RelayUnknownInstance)
	assert.Equal(t, check("engine-2", 7, instance.Address), peer.RelayUnknownInstance)
	ended := instance
	ended.State, ended.Sequence = registry.Gone, 2
	node.table.Apply([]registry.Instance{ended})
	assert.Equal(t, check(instance.ID, 7, instance.Address), peer.RelayUnknownInstance)
}

func TestRelayRefusesWhatItCannotServe(t *testing.T) {
	node, instance := newRelayingNode(t)
	check := func() peer.RelayResponse { return node.relays.check(instance.Incarnation(), instance.Address) }
	node.settings.Load().Limits.MemoryMB = 134
	maximum := node.relays.maximum()
	assert.Assert(t, maximum > 100 && maximum < 200, maximum)
	node.relays.active.Store(maximum + 1)
	assert.Equal(t, check().Refusal, peer.RelayBusy)
	node.relays.active.Store(maximum)
	assert.Equal(t, check().Refusal, peer.RelayAccepted)
	node.link.busy.Store(true)
	assert.Equal(t, check().Refusal, peer.RelayBusy)
	node.link.busy.Store(false)
	node.paths.tracker.Record(node.now(), instance.Address, enginepath.Silent, 0)
	assert.Equal(t, check().Refusal, peer.RelayUnreachable)
	node.paths.tracker.Record(node.now(), instance.Address, enginepath.Refused, 0)
	assert.Equal(t, check().Refusal, peer.RelayEngineRefused)
	node.paths.tracker.Record(node.now(), instance.Address, enginepath.Connected, 0)
	node.backoff.tracker.Learn(node.now(), instance.Incarnation(), backoff.Request{ID: "r"}, backoff.Signal{Pause: time.Minute})
	assert.Equal(t, check().Refusal, peer.RelayPaused)
	node.stop.Store(&plannedStop{})
	assert.Equal(t, check().Refusal, peer.RelayStopping)
}

func TestRelayThatHasLostItsPathSaysSo(t *testing.T) {
	node, instance := newRelayingNode(t)
	for _, address := range []string{"10.0.0.8:80", "10.0.0.9:80"} {
		node.paths.RecordDial(address, enginepath.Silent, 0)
	}
	refused := node.relays.check(instance.Incarnation(), instance.Address)
	assert.Equal(t, refused.Refusal, peer.RelayNoPath)
	assert.Assert(t, refused.AgeMS >= 0)
}

// During an upgrade, nodes of the earlier version accept no streams. A node that learnt of the others from
// a control node that had just started, and did not know their versions, asked none for ever.
func TestNodesOfTheEarlierVersionAreNotAskedToRelay(t *testing.T) {
	for version, found := range map[peer.ProtocolVersion]bool{peer.ProtocolRelays - 1: false, peer.ProtocolRelays: true, peer.ProtocolStrict: true} {
		node := newReservingNode(t, version)
		node.paths.tick()
		_, isFound := node.paths.peers.Choose(0, "engine", nil)
		assert.Equal(t, isFound, found)
	}
}

// Guards against the signals of an engine's response that are not valid.
func TestInvalidSignalsOfRelaysHaveNoEffect(t *testing.T) {
	node, instance := newRelayingNode(t)
	learn := func(signal peer.RelaySignal) {
		encoded, err := peer.EncodeStreamMessage(&signal)
		assert.NilError(t, err)
		node.relays.learn("peer", instance.Incarnation(), encoded)
	}
	learn(peer.RelaySignal{PauseMS: -1})
	node.relays.learn("peer", instance.Incarnation(), []byte{0xff})
	node.relays.learn("peer", registry.Incarnation{ID: "other"}, nil)
	assert.Equal(t, node.backoff.tracker.Count(), int64(0))
	learn(peer.RelaySignal{PauseMS: 1 << 62})
	status := node.backoff.tracker.Status(node.now(), instance.Incarnation())
	assert.Equal(t, status.Phase, backoff.Paused)
	assert.Assert(t, status.Wait > backoff.MaximumPause-time.Minute, status.Wait)
}
