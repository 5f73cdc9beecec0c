package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/settings"
)

// registrationWave is a deployment whose instances all register within ten seconds, as after a
// start of the whole fleet. The benchmark measures what that costs one node, in processor time and
// in bytes sent.
type registrationWave struct{ nodes, controls, instances int }

// registrationWaves are the sizes of fleets: hundreds of nodes, a thousand, and twice that.
var registrationWaves = []registrationWave{{300, 5, 3000}, {1000, 25, 10_000}, {2000, 25, 20_000}}

const (
	registrationTime   = 10 * time.Second
	registrationHellos = int(registrationTime / (helloTicks * fleetTick))
	// changeInterval is the interval at which a control node sends the others the instances that
	// registered with it.
	changeInterval = 250 * time.Millisecond
)

// newlyRegistered is one of the instances, at its first heartbeat.
func newlyRegistered(number int) registry.Instance {
	return registry.Instance{
		ID: fmt.Sprint("new-", number), Service: "model", Address: fmt.Sprintf("10.7.%d.%d:80", number/200, 1+number%200),
		Zone: benchZone(number), State: registry.Ready, Sequence: 1, Slots: 64, StartedAt: 1,
	}
}

// BenchmarkRegistering measures the processor time of a node while the instances register: each
// control node receives the heartbeats of its part of them, and all nodes receive the other control
// nodes' changes. A control node's digest differs from each hello to the next.
func BenchmarkRegistering(b *testing.B) {
	for _, size := range registrationWaves {
		for _, role := range []string{settings.RoleEntry, settings.RoleControl} {
			b.Run(fmt.Sprintf("%d-nodes/%s", size.nodes, role), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					address := benchEntry(7)
					if role == settings.RoleControl {
						address = benchControl(0)
					}
					node := newIdleNode(b, address, benchZone(0), role)
					recordHellos(node, size.hellos(size.nodes, true))
					recordHellos(node, entryHellos(node, size.nodes))
					before := node.sent.total()
					b.StartTimer()
					size.registerAll(node, role)
					b.StopTimer()
					b.ReportMetric(float64(node.sent.total()-before)/registrationTime.Seconds()/1e6, "MB-sent/s")
					dropFrames(node, size.nodes)
					b.StartTimer()
				}
			})
		}
	}
}

// hellos are one hello of each control node.
func (r registrationWave) hellos(digest int, withNodes bool) []peer.Hello {
	var hellos []peer.Hello
	for number := range r.controls {
		hellos = append(hellos, controlHello(number, r.nodes, uint64(digest), withNodes))
	}
	return hellos
}

func (r registrationWave) registerAll(node *Node, role string) {
	perControl := r.instances / r.controls
	rounds := int(registrationTime / changeInterval)
	perRound := perControl / rounds
	for round := range rounds {
		for control := range r.controls {
			first := control*perControl + round*perRound
			var changes []registry.Instance
			for number := first; number < first+perRound; number++ {
				changes = append(changes, newlyRegistered(number))
			}
			if role == settings.RoleControl && control == 0 {
				for _, instance := range changes {
					_, _ = node.fleet.registry.Heartbeat(node.now(), instance)
					node.fleet.announce([]registry.Instance{instance})
				}
			} else {
				node.fleet.mergeInstances(changes, true)
			}
			// Advances the node's clock by the time that this step stands for.
			node.started = node.started.Add(-changeInterval / time.Duration(r.controls))
			node.fleet.flush()
		}
		if round%(rounds/registrationHellos) != 0 {
			continue
		}
		recordHellos(node, r.hellos(round+1, false))
		if role == settings.RoleControl {
			for _, hello := range entryHellos(node, r.nodes) {
				hello.InstancesSum = uint64(round + 1)
				node.fleet.recordHello(hello)
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
