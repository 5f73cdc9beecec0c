package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/settings"
)

// Three thousand instances that register within ten seconds at a fleet of three hundred
// nodes, as after the start of a whole deployment: what that costs one node, in processor
// time and in bytes sent.
const (
	registering       = 3000
	registeringFor    = 10 * time.Second
	registeringNodes  = 300
	registeringHellos = int(registeringFor / (helloTicks * fleetTick))
)

// registeringInstance is one of them, heard for the first time.
func registeringInstance(number int) registry.Instance {
	return registry.Instance{
		ID: fmt.Sprint("new-", number), Service: "model", Address: fmt.Sprintf("10.7.%d.%d:80", number/200, 1+number%200),
		Zone: benchZone(number), State: registry.Ready, Sequence: 1, Slots: 64, Born: 1,
	}
}

// BenchmarkRegistering gives the processor time of a node while they register: each
// control node hears one in five of them itself, and all hear the others' words. Between
// two hellos of a control node its digest is always another one.
func BenchmarkRegistering(b *testing.B) {
	for _, role := range []string{settings.RoleEntry, settings.RoleControl} {
		b.Run(role, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				address := benchEntry(7)
				if role == settings.RoleControl {
					address = benchControl(0)
				}
				node := newIdleNode(b, address, benchZone(0), role)
				hear(node, controlHellos(node, registeringNodes, true))
				hear(node, entryHellos(node, registeringNodes))
				before := node.sent.total()
				b.StartTimer()
				registerAll(node, role)
				b.StopTimer()
				b.ReportMetric(float64(node.sent.total()-before)/registeringFor.Seconds()/1e6, "MB-sent/s")
				forgetFrames(node, registeringNodes)
				b.StartTimer()
			}
		})
	}
}

func registerAll(node *Node, role string) {
	perHello := registering / registeringHellos
	for round := range registeringHellos {
		for number := round * perHello; number < (round+1)*perHello; number++ {
			instance := registeringInstance(number)
			if role == settings.RoleControl && number%benchControls == 0 {
				_, _ = node.fleet.registry.Heartbeat(node.now(), instance)
				node.fleet.announce([]registry.Instance{instance})
			} else {
				node.fleet.mergeInstances([]registry.Instance{instance})
			}
			// The node's clock goes on as it would.
			node.started = node.started.Add(-registeringFor / registering)
			node.fleet.flush()
		}
		for number := range benchControls {
			node.fleet.noteHello(controlHello(number, registeringNodes, uint64(round+1), false))
		}
		if role == settings.RoleControl {
			for _, hello := range entryHellos(node, registeringNodes) {
				hello.InstancesDigest = uint64(round + 1)
				node.fleet.noteHello(hello)
			}
		}
	}
}

// total is the bytes of all kinds.
func (t *traffic) total() (bytes uint64) {
	for _, counter := range t.bytes {
		bytes += counter.Get()
	}
	return bytes
}
