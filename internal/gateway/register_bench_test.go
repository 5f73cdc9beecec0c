package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/settings"
)

// registering is a deployment whose instances all register within ten seconds, as after a start of
// the whole fleet. The benchmark measures what that costs one node, in processor time and in bytes
// sent.
type registering struct{ nodes, controls, instances int }

// registrations are the sizes of fleets: hundreds of nodes, a thousand, and twice that.
var registrations = []registering{{300, 5, 3000}, {1000, 25, 10_000}, {2000, 25, 20_000}}

const (
	registeringFor    = 10 * time.Second
	registeringHellos = int(registeringFor / (helloTicks * fleetTick))
	// toldEach is the interval at which a control node sends the others the instances that
	// registered with it.
	toldEach = 250 * time.Millisecond
)

// registeringInstance is one of the instances, at its first heartbeat.
func registeringInstance(number int) registry.Instance {
	return registry.Instance{
		ID: fmt.Sprint("new-", number), Service: "model", Address: fmt.Sprintf("10.7.%d.%d:80", number/200, 1+number%200),
		Zone: benchZone(number), State: registry.Ready, Sequence: 1, Slots: 64, Born: 1,
	}
}

// BenchmarkRegistering measures the processor time of a node while the instances register: each
// control node receives the heartbeats of its part of them, and all nodes receive the other control
// nodes' changes. A control node's digest differs from each hello to the next.
func BenchmarkRegistering(b *testing.B) {
	for _, size := range registrations {
		for _, role := range []string{settings.RoleEntry, settings.RoleControl} {
			b.Run(fmt.Sprintf("%d-nodes/%s", size.nodes, role), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					address := benchEntry(7)
					if role == settings.RoleControl {
						address = benchControl(0)
					}
					node := newIdleNode(b, address, benchZone(0), role)
					hear(node, size.hellos(size.nodes, true))
					hear(node, entryHellos(node, size.nodes))
					before := node.sent.total()
					b.StartTimer()
					size.registerAll(node, role)
					b.StopTimer()
					b.ReportMetric(float64(node.sent.total()-before)/registeringFor.Seconds()/1e6, "MB-sent/s")
					forgetFrames(node, size.nodes)
					b.StartTimer()
				}
			})
		}
	}
}

// hellos are one hello of each control node.
func (r registering) hellos(digest int, withNodes bool) []peer.Hello {
	var hellos []peer.Hello
	for number := range r.controls {
		hellos = append(hellos, controlHello(number, r.nodes, uint64(digest), withNodes))
	}
	return hellos
}

func (r registering) registerAll(node *Node, role string) {
	perControl := r.instances / r.controls
	rounds := int(registeringFor / toldEach)
	perRound := perControl / rounds
	for round := range rounds {
		for control := range r.controls {
			first := control*perControl + round*perRound
			var told []registry.Instance
			for number := first; number < first+perRound; number++ {
				told = append(told, registeringInstance(number))
			}
			if role == settings.RoleControl && control == 0 {
				for _, instance := range told {
					_, _ = node.fleet.registry.Heartbeat(node.now(), instance)
					node.fleet.announce([]registry.Instance{instance})
				}
			} else {
				node.fleet.mergeInstances(told, true)
			}
			// Advances the node's clock by the time that this step stands for.
			node.started = node.started.Add(-toldEach / time.Duration(r.controls))
			node.fleet.flush()
		}
		if round%(rounds/registeringHellos) != 0 {
			continue
		}
		hear(node, r.hellos(round+1, false))
		if role == settings.RoleControl {
			for _, hello := range entryHellos(node, r.nodes) {
				hello.InstancesSum = uint64(round + 1)
				node.fleet.noteHello(hello)
			}
		}
	}
}

// total is the number of bytes of all kinds.
func (t *traffic) total() (bytes uint64) {
	for _, counter := range t.bytes {
		bytes += counter.Get()
	}
	return bytes
}
