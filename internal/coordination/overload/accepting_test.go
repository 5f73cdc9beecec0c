package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulation of this file plays a zone whose new connections all go to one node for some seconds, each
// with one request, over links that one node's usual requests fill to a fifth.
const (
	simulationStep = 10 * time.Millisecond
	gateInterval   = 100 * time.Millisecond
	linkBytes      = 1.25e6
	requestBytes   = 25_000
	usualShare     = 0.2
	// reportLifetime is the delay from which other nodes' reports of their room are too old when they arrive.
	reportLifetime = 400 * time.Millisecond
	// usefulWait is the longest time that a request may wait behind the link to be served in time.
	usefulWait = 500 * time.Millisecond
	surgeFrom  = 20 * time.Second
	surgeUntil = 32 * time.Second
	// surgeFactor is how many more connections clients open during the surge.
	surgeFactor = 1.3
)

// surgeZone is the state of a simulated zone.
type surgeZone struct {
	random *rand.Rand
	gates  []*ConnectionGate
	// queued are the bytes that wait at each node's link, passed those that it has carried.
	queued, passed []float64
	utilization    []float64
	// read and served count the requests that nodes read, in time from three seconds after the surge began.
	read, served int
	// lost counts the requests that no node accepted.
	lost int
	// longestPause is the longest time in which the node of the surge accepted nothing.
	acceptedAt, longestPause time.Duration
}

// runSurge plays the surge in a zone of some nodes, with or without gates.
func runSurge(nodes int, isGated bool, seed uint64) *surgeZone {
	z := &surgeZone{
		random: rand.New(rand.NewPCG(seed, 1)), queued: make([]float64, nodes), passed: make([]float64, nodes),
		utilization: make([]float64, nodes),
	}
	for range nodes {
		z.gates = append(z.gates, NewConnectionGate())
	}
	perNode := usualShare * linkBytes / requestBytes
	for now := time.Duration(0); now < surgeUntil; now += simulationStep {
		rate := perNode * float64(nodes) * simulationStep.Seconds()
		isSurge := now >= surgeFrom
		if isSurge {
			rate *= surgeFactor
		}
		for arrivals := poisson(z.random, rate); arrivals > 0; arrivals-- {
			z.arrive(now, isSurge, isGated)
		}
		z.carry(now)
	}
	return z
}

func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		count++
	}
	return count
}

// arrive sends a request to a node, and to another one if its connection is refused.
func (z *surgeZone) arrive(now time.Duration, isSurge, isGated bool) {
	node := z.random.IntN(len(z.gates))
	if isSurge {
		node = 0
	}
	for tries := 0; tries < 3; tries++ {
		isAccepted := z.gates[node].Arrived(now, z.random.Float64()) || !isGated
		if isAccepted {
			if node == 0 {
				z.acceptedAt = now
			}
			wait := time.Duration(z.queued[node] / linkBytes * float64(time.Second))
			z.queued[node] += requestBytes
			if now >= surgeFrom+3*time.Second {
				z.read++
				if wait <= usefulWait {
					z.served++
				}
			}
			return
		}
		if isSurge && now >= surgeFrom+time.Second {
			z.longestPause = max(z.longestPause, now-z.acceptedAt)
		}
		node = (node + 1 + z.random.IntN(len(z.gates)-1)) % len(z.gates)
	}
	z.lost++
}

// carry lets the links carry their bytes, and the gates take their readings.
func (z *surgeZone) carry(now time.Duration) {
	withRoom := 0
	for node := range z.queued {
		bytes := min(z.queued[node], linkBytes*simulationStep.Seconds())
		z.queued[node] -= bytes
		z.passed[node] += bytes
		const weight = float64(simulationStep) / float64(250*time.Millisecond)
		z.utilization[node] += weight * (bytes/(linkBytes*simulationStep.Seconds()) - z.utilization[node])
		if z.utilization[node] < roomUtilization {
			withRoom++
		}
	}
	if now%gateInterval != 0 {
		return
	}
	for node := range z.gates {
		delay := time.Duration(z.queued[node] / linkBytes * float64(time.Second))
		known := withRoom
		if delay > reportLifetime {
			known = 0
		}
		z.gates[node].Step(now, z.utilization[node], Pressure{FrameDelay: delay, LinkBytes: linkBytes, RequestIncomingBytes: int64(z.passed[node])}, known)
	}
}

func (z *surgeZone) share() float64 { return float64(z.served) / float64(max(1, z.read)) }

// Guards against a node that reads more requests than its link can carry while most new connections come to
// it: the requests that are read must be served, and the others must find another node.
func TestRequestsThatAreReadAreServedWhileMostConnectionsComeToOneNode(t *testing.T) {
	for _, nodes := range []int{3, 8, 71} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			for seed := range uint64(5) {
				gated, without := runSurge(nodes, true, seed), runSurge(nodes, false, seed)
				t.Logf("%.3f of %d read with the gate, %.3f of %d without, longest pause %s", gated.share(), gated.read, without.share(), without.read, gated.longestPause)
				assert.Assert(t, gated.share() >= 0.95, "%.3f", gated.share())
				assert.Assert(t, gated.longestPause <= time.Second)
				assert.Assert(t, nodes == 3 || without.share() < 0.75, "the surge is no overload")
				assert.Assert(t, gated.lost*100 <= gated.read, "%d requests found no node, %d did", gated.lost, gated.read)
			}
		})
	}
}

// Guards against a node that takes itself for another one that has room, and refuses connections that nobody else
// could accept.
func TestNodeIsNotAmongTheOthersThatHaveRoom(t *testing.T) {
	gate := NewGate()
	assert.Equal(t, gate.OthersWithRoom(), 0, "nothing is known")
	gate.SetZone(1, ZoneState{Nodes: 1, WithRoom: 1})
	assert.Equal(t, gate.OthersWithRoom(), 0, "the only node of its zone")
	gate.SetZone(1, ZoneState{Nodes: 3, WithRoom: 3})
	assert.Equal(t, gate.OthersWithRoom(), 2)
	gate.Step(0, Pressure{FrameDelay: time.Second})
	gate.SetZone(1, ZoneState{Nodes: 3, WithRoom: 2})
	assert.Equal(t, gate.OthersWithRoom(), 2, "this node has no room itself")
	gate.SetZone(1, ZoneState{Nodes: 3, WithRoom: 3})
	assert.Equal(t, gate.OthersWithRoom(), 2, "its last report is older")
}

// Guards against a surge that has ended at a node and goes on refusing the retries of the node at which it
// continues.
func TestConnectionsAreAcceptedSoonAfterASurge(t *testing.T) {
	gate, accepted, arrived := NewConnectionGate(), 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += simulationStep {
		rate, utilization := 5.0, 0.2
		if now >= 12*time.Second && now < 15*time.Second {
			rate, utilization = 80, 0.9
		}
		if int64(now.Seconds()*rate) != int64((now+simulationStep).Seconds()*rate) {
			isAccepted := gate.Arrived(now, 0.1)
			if now >= 15800*time.Millisecond {
				arrived++
			}
			if now >= 15800*time.Millisecond && isAccepted {
				accepted++
			}
		}
		if now%gateInterval == 0 {
			gate.Step(now, utilization, Pressure{}, 5)
		}
		if now == 14*time.Second {
			assert.Assert(t, gate.IsRefusing())
		}
	}
	assert.Equal(t, accepted, arrived)
	assert.Assert(t, !gate.IsRefusing())
}

// Guards against a quiet node that takes the messages of other nodes for the cost of its few connections, and refuses
// some that arrive together.
func TestQuietNodeAcceptsConnectionsThatArriveTogether(t *testing.T) {
	gate := NewConnectionGate()
	for now := time.Duration(0); now < 60*time.Second; now += simulationStep {
		if now%(10*time.Second) == 0 {
			assert.Assert(t, gate.Arrived(now, 0))
		}
		if now%gateInterval == 0 {
			// Each connection has brought one request, and the rest of the load is other nodes' messages.
			requests := int64(now/(10*time.Second)) * requestBytes
			gate.Step(now, 0.1, Pressure{LinkBytes: linkBytes, RequestIncomingBytes: requests, IncomingBytes: int64(0.1 * linkBytes * now.Seconds())}, 5)
		}
	}
	for range 8 {
		assert.Assert(t, gate.Arrived(60*time.Second, 0))
	}
}

// Guards against refusing connections for other reasons than a surge: a heavy caller, a node that takes over
// for a lost one, or a node that has just started.
func TestConnectionsAreRefusedOnlyInASurgeThatOthersHaveRoomFor(t *testing.T) {
	full := Pressure{FrameDelay: time.Second}
	run := func(rates [2]float64, changeAt time.Duration, withRoom int) float64 {
		gate := NewConnectionGate()
		for now := time.Duration(0); now < 20*time.Second; now += simulationStep {
			rate := rates[0]
			if now >= changeAt {
				rate = rates[1]
			}
			if int64(now.Seconds()*rate) != int64((now+simulationStep).Seconds()*rate) {
				gate.Arrived(now, 1)
			}
			if now%gateInterval == 0 {
				gate.Step(now, 0.9, full, withRoom)
			}
		}
		return gate.RefusedShare()
	}
	assert.Equal(t, run([2]float64{40, 40}, 0, 5), 0.0, "steady overload")
	assert.Equal(t, run([2]float64{20, 40}, 15*time.Second, 5), 0.0, "a node that takes over for another")
	assert.Equal(t, run([2]float64{0, 40}, 19*time.Second, 5), 0.0, "a node that has just started")
	assert.Equal(t, run([2]float64{5, 80}, 19*time.Second, 0), 0.0, "no other node has room")
	assert.Assert(t, run([2]float64{5, 80}, 19*time.Second, 5) > 0.5, "a surge")
}
