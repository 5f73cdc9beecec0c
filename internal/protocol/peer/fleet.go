package peer

import (
	"cmp"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/state/evacuation"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

// Hello is the periodic message in which a node with open membership describes itself
// to the control nodes. Control nodes send theirs to all nodes that they receive hellos
// from.
type Hello struct {
	// Address (host:port) is the node's peer listener and its name for peers.
	Address string `msgpack:"a"`
	// Node and Zone are the names from the node's settings.
	Node string `msgpack:"n"`
	Zone string `msgpack:"z"`
	// Incarnation identifies one run of the sender's process. It is newly generated at each
	// start.
	Incarnation string `msgpack:"l"`
	// Entry reports whether the sender is an entry node, Control whether it is a control
	// node; it may be both. Stopping reports whether it is shutting down.
	Entry    bool `msgpack:"e,omitempty"`
	Control  bool `msgpack:"c,omitempty"`
	Stopping bool `msgpack:"s,omitempty"`
	// Version is the version of the active configuration document at the sender.
	Version uint64 `msgpack:"v,omitempty"`
	// InstancesDigest is a digest of the live instances that the sender knows. It is sent
	// only to builds before ProtocolSums.
	InstancesDigest uint64 `msgpack:"d,omitempty"`
	// Replica is the identity from a control node's data folder, 0 while it can't
	// be read.
	Replica uint64 `msgpack:"r,omitempty"`
	// HasGroup reports whether the replica belongs to a group of replicas of one log.
	HasGroup bool `msgpack:"g,omitempty"`
	// Leader is the address of the leader that the sender knows, Term the leader's term.
	Leader string `msgpack:"w,omitempty"`
	Term   uint64 `msgpack:"t,omitempty"`
	// TimeSinceQuorumMS is the time since a control node's last contact with a quorum, in
	// milliseconds.
	TimeSinceQuorumMS uint64 `msgpack:"q,omitempty"`
	// Nodes are the nodes that a control node recently received hellos from. It is left out
	// when the receiver has the list already.
	Nodes []NodeEntry `msgpack:"m,omitempty"`
	// AgeMS is the time since the sender's process started, in milliseconds.
	AgeMS uint64 `msgpack:"y,omitempty"`
	// WallMS is the wall clock time of a control node, in milliseconds since 1970.
	WallMS int64 `msgpack:"u,omitempty"`
	// Evacuated are the evacuated zones that are active at the sender. Entry nodes
	// adopt those of control nodes.
	Evacuated evacuation.Zones `msgpack:"x"`
	// QuarantineDigest is a digest of the records that a control node sends about requests
	// that crash their engines; 0 if it has none.
	QuarantineDigest uint64 `msgpack:"k,omitempty"`
	// InstancesSum is a digest of the same instances for builds from ProtocolSums on.
	InstancesSum uint64 `msgpack:"h,omitempty"`
	// Rollouts are the active rollouts at a control node; nil if it has none to send.
	Rollouts *rollout.Set `msgpack:"f,omitempty"`
	// ListVersion is the version of the sender's list of all nodes, if the hello carries
	// the list: as a whole in Nodes, or as Joined and Left, its changes since ListBase.
	ListVersion uint64      `msgpack:"lv,omitempty"`
	ListBase    uint64      `msgpack:"lb,omitempty"`
	Joined      []NodeEntry `msgpack:"lj,omitempty"`
	Left        []string    `msgpack:"ll,omitempty"`
	// ProtocolVersion is the version of the message format that the sender reads.
	ProtocolVersion ProtocolVersion `msgpack:"b,omitempty"`
	// OlderNodeProtocols holds, by address, the versions of those in Nodes whose version
	// differs from the sender's.
	OlderNodeProtocols map[string]ProtocolVersion `msgpack:"o,omitempty"`
	// LogVersion is the newest version of the replicated log that a control node supports;
	// 0 from builds that don't send it.
	LogVersion uint32 `msgpack:"vl,omitempty"`
	// Build is the commit that the sender's program was built from, empty if unknown.
	Build string `msgpack:"bu,omitempty"`
	// NeedsNodes reports that an entry node has the list of all nodes from no control node
	// that it hears.
	NeedsNodes bool `msgpack:"nn,omitempty"`
	// QuarantinedPartsDigest is QuarantineDigest for records about parts of prompts.
	QuarantinedPartsDigest uint64 `msgpack:"kp,omitempty"`
}

// NodeEntry is one node in a list of nodes. No field can be added to it: since lists have
// hundreds of entries, they are encoded as arrays for builds of all versions.
type NodeEntry struct {
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
	Entry   bool   `msgpack:"e,omitempty"`
	Control bool   `msgpack:"c,omitempty"`
}

// nodeEntryFields is the number of fields of a NodeEntry.
const nodeEntryFields = 4

// EncodeMsgpack implements msgpack.CustomEncoder.
func (n NodeEntry) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return cmp.Or(encoder.EncodeArrayLen(nodeEntryFields), encoder.EncodeString(n.Address), encoder.EncodeString(n.Zone),
		encoder.EncodeBool(n.Entry), encoder.EncodeBool(n.Control))
}

// DocumentNotice announces the version of the sender's active document.
type DocumentNotice struct {
	Version uint64 `msgpack:"v"`
}

// DocumentFetch requests the active document if its version is above Have.
type DocumentFetch struct {
	Have uint64 `msgpack:"h"`
	// Confirms reports whether the message only confirms a document that was received; it then
	// requests nothing.
	Confirms bool `msgpack:"t,omitempty"`
}

// DocumentData carries a document in the encoding that document.Decode reads.
type DocumentData struct {
	Version uint64 `msgpack:"v"`
	Encoded []byte `msgpack:"e"`
}

// InstanceContacts names the instances that recently sent heartbeats to the sender.
type InstanceContacts struct {
	IDs []string `msgpack:"i"`
}
