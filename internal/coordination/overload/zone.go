package overload

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Key is a 32-bit hash of a caller's name or of a node's address, as nodes exchange it. Two callers
// with the same key are admitted like one caller, which is the only effect of a collision.
type Key uint32

// KeyOf returns the key of a caller's name or of a node's address.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// HeavyCaller is a caller with at least heavyShare of a node's work.
type HeavyCaller struct {
	Caller Key
	// Rate is the rate at which its requests arrive, including refused ones, in work per second.
	Rate float64
	// Refused is the part of the rate that the node refuses.
	Refused float64
}

// NodeState is what an entry node tells the other nodes of its zone.
type NodeState struct {
	// Utilization is the share of the link's fuller direction that is in use.
	Utilization float64
	// HasBound is set while the node bounds heavy callers, because of its link or its processor.
	HasBound bool
	Callers  []HeavyCaller
}

// HasRoom reports whether the node has room for refused requests of other nodes.
func (s NodeState) HasRoom() bool { return !s.HasBound && s.Utilization < roomUtilization }

// ZoneCaller is a heavy caller of one node of the zone.
type ZoneCaller struct {
	Node Key
	// Utilization is the node's.
	Utilization float64
	HeavyCaller
}

// ZoneState sums up the states of the nodes of a zone.
type ZoneState struct {
	// Nodes is the number of nodes, and WithRoom the number of those that tell that they have
	// room.
	Nodes, WithRoom int
	// Callers are the nodes' heavy callers, up to MaximumZoneCallers.
	Callers []ZoneCaller
}

// Add adds the state of a node. Of its callers and those of other nodes, the MaximumZoneCallers with
// the highest rates are kept.
func (z *ZoneState) Add(node Key, state NodeState) {
	z.Nodes++
	if state.HasRoom() {
		z.WithRoom++
	}
	for _, caller := range state.Callers {
		z.addCaller(ZoneCaller{Node: node, Utilization: state.Utilization, HeavyCaller: caller})
	}
}

// addCaller adds a caller, in place of the one with the lowest rate if there are too many.
func (z *ZoneState) addCaller(added ZoneCaller) {
	if len(z.Callers) < MaximumZoneCallers {
		z.Callers = append(z.Callers, added)
		return
	}
	lowest := 0
	for position, caller := range z.Callers {
		if caller.Rate < z.Callers[lowest].Rate {
			lowest = position
		}
	}
	if added.Rate > z.Callers[lowest].Rate {
		z.Callers[lowest] = added
	}
}

const (
	// MaximumNodeCallers bounds the heavy callers of one node; with a heavyShare of 0.3, there are
	// at most three.
	MaximumNodeCallers = 4
	// MaximumZoneCallers bounds the heavy callers of all nodes of a zone.
	MaximumZoneCallers = 32
	// maximumPercent bounds a utilization in percent: bytes that wait on a node can be counted in
	// less time than the link took for them.
	maximumPercent = 200
	percentBytes   = 1
	// nodeHeadBytes is the encoded length of a NodeState without callers: flags and the utilization.
	nodeHeadBytes = 1 + percentBytes
	// hasBoundFlag is the only flag.
	hasBoundFlag = 1
	// callerBytes is the encoded length of a HeavyCaller: a key and two rates. A ZoneCaller begins
	// with its node's key and utilization.
	callerBytes     = 4 + 2 + 2
	zoneCallerBytes = 4 + percentBytes + callerBytes
	// zoneHeadBytes is the encoded length of a ZoneState without callers.
	zoneHeadBytes = 2 + 2
)

// ErrState means that an encoded state is not one that a node encodes.
var ErrState = errors.New("overload: invalid state of a node or a zone")

// Encode packs the state; Encode's output is never empty.
func (s NodeState) Encode() []byte {
	callers := s.Callers[:min(len(s.Callers), MaximumNodeCallers)]
	encoded := make([]byte, 0, nodeHeadBytes+len(callers)*callerBytes)
	var flags byte
	if s.HasBound {
		flags |= hasBoundFlag
	}
	encoded = append(encoded, flags, encodePercent(s.Utilization))
	for _, caller := range callers {
		encoded = caller.append(encoded)
	}
	return encoded
}

// DecodeNodeState decodes the output of NodeState.Encode. The error is ErrState.
func DecodeNodeState(encoded []byte) (NodeState, error) {
	var state NodeState
	count, err := countEntries(encoded, nodeHeadBytes, callerBytes, MaximumNodeCallers)
	if err != nil {
		return state, err
	}
	if encoded[0]&^hasBoundFlag != 0 {
		return state, fmt.Errorf("%w: flags %#x", ErrState, encoded[0])
	}
	state.HasBound = encoded[0]&hasBoundFlag != 0
	if state.Utilization, err = decodePercent(encoded[1]); err != nil {
		return state, err
	}
	for position := range count {
		caller, err := decodeCaller(encoded[nodeHeadBytes+position*callerBytes:])
		if err != nil {
			return state, err
		}
		state.Callers = append(state.Callers, caller)
	}
	return state, nil
}

// Encode packs the state.
func (z ZoneState) Encode() []byte {
	callers := z.Callers[:min(len(z.Callers), MaximumZoneCallers)]
	encoded := make([]byte, 0, zoneHeadBytes+len(callers)*zoneCallerBytes)
	encoded = binary.BigEndian.AppendUint16(encoded, encodeCount(float64(z.Nodes)))
	encoded = binary.BigEndian.AppendUint16(encoded, encodeCount(float64(z.WithRoom)))
	for _, caller := range callers {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(caller.Node))
		encoded = append(encoded, encodePercent(caller.Utilization))
		encoded = caller.HeavyCaller.append(encoded)
	}
	return encoded
}

// DecodeZoneState decodes the output of ZoneState.Encode. The error is ErrState.
func DecodeZoneState(encoded []byte) (ZoneState, error) {
	var state ZoneState
	count, err := countEntries(encoded, zoneHeadBytes, zoneCallerBytes, MaximumZoneCallers)
	if err != nil {
		return state, err
	}
	state.Nodes, state.WithRoom = int(binary.BigEndian.Uint16(encoded)), int(binary.BigEndian.Uint16(encoded[2:]))
	if state.WithRoom > state.Nodes {
		return state, fmt.Errorf("%w: %d of %d nodes have room", ErrState, state.WithRoom, state.Nodes)
	}
	for position := range count {
		caller, err := decodeZoneCaller(encoded[zoneHeadBytes+position*zoneCallerBytes:])
		if err != nil {
			return state, err
		}
		state.Callers = append(state.Callers, caller)
	}
	return state, nil
}

func decodeZoneCaller(encoded []byte) (caller ZoneCaller, err error) {
	caller.Node = Key(binary.BigEndian.Uint32(encoded))
	if caller.Utilization, err = decodePercent(encoded[4]); err != nil {
		return caller, err
	}
	caller.HeavyCaller, err = decodeCaller(encoded[4+percentBytes:])
	return caller, err
}

// countEntries returns the number of entries after a head, each with the given length.
func countEntries(encoded []byte, headBytes, entryBytes, maximum int) (int, error) {
	rest := len(encoded) - headBytes
	if rest < 0 || rest%entryBytes != 0 || rest/entryBytes > maximum {
		return 0, fmt.Errorf("%w: %d bytes", ErrState, len(encoded))
	}
	return rest / entryBytes, nil
}

func (c HeavyCaller) append(encoded []byte) []byte {
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(c.Caller))
	encoded = binary.BigEndian.AppendUint16(encoded, encodeCount(c.Rate))
	return binary.BigEndian.AppendUint16(encoded, encodeCount(min(c.Refused, c.Rate)))
}

func decodeCaller(encoded []byte) (HeavyCaller, error) {
	caller := HeavyCaller{
		Caller: Key(binary.BigEndian.Uint32(encoded)), Rate: float64(binary.BigEndian.Uint16(encoded[4:])),
		Refused: float64(binary.BigEndian.Uint16(encoded[6:])),
	}
	if caller.Refused > caller.Rate {
		return caller, fmt.Errorf("%w: %v refused of %v", ErrState, caller.Refused, caller.Rate)
	}
	return caller, nil
}

func encodeCount(count float64) uint16 {
	return uint16(min(max(0, math.Round(count)), math.MaxUint16))
}

func encodePercent(share float64) byte {
	return byte(min(max(0, math.Round(100*share)), maximumPercent))
}

func decodePercent(percent byte) (float64, error) {
	if percent > maximumPercent {
		return 0, fmt.Errorf("%w: a utilization of %d %%", ErrState, percent)
	}
	return float64(percent) / 100, nil
}

// elsewhere is what is known of a caller at the other nodes of the zone.
type elsewhere struct {
	// refused is the rate at which its requests are refused there, in work per second.
	refused float64
	// fullest is the highest utilization of the nodes at which it is heavy.
	fullest float64
}

// SetZone replaces what is known of the zone; the zero ZoneState means that nothing is known. self
// is this node, whose own state is left out.
func (g *Gate) SetZone(self Key, zone ZoneState) {
	g.zone = zone
	clear(g.elsewhere)
	for _, caller := range zone.Callers {
		if caller.Node == self {
			continue
		}
		known := g.elsewhere[caller.Caller]
		known.fullest = max(known.fullest, caller.Utilization)
		known.refused += caller.Refused
		g.elsewhere[caller.Caller] = known
	}
}

// Zone returns what is known of the zone.
func (g *Gate) Zone() ZoneState { return g.zone }

// OthersWithRoom returns how many of the other nodes of the zone tell that they have room.
func (g *Gate) OthersWithRoom() int {
	others := g.zone.WithRoom
	if own := (NodeState{Utilization: g.utilization, HasBound: g.bound > 0}); own.HasRoom() {
		others--
	}
	return max(0, min(others, g.zone.Nodes-1))
}

// minimumShare returns the share of a heavy caller's work that is admitted regardless of the load.
// This node has a bound, so it is not among those that tell that they have room.
func (g *Gate) minimumShare(known elsewhere) float64 {
	others, withRoom := g.zone.Nodes-1, g.zone.WithRoom
	if others < 1 || 2*withRoom < others || known.fullest > FullUtilization {
		return shareWithoutRoom
	}
	return shareWithRoom
}
