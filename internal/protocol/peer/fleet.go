package peer

import (
	"cmp"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/state/evacuation"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

// Hello is what a node with open membership says of itself, again and again,
// to the control nodes; control nodes say it to all nodes that they hear from.
type Hello struct {
	// Address (host:port) is the node's peer listener and its name for peers.
	Address string `msgpack:"a"`
	// Node and Zone are the names that the settings give.
	Node string `msgpack:"n"`
	Zone string `msgpack:"z"`
	// Life names one run of the process; it is drawn anew at each start.
	Life     string `msgpack:"l"`
	Entry    bool   `msgpack:"e,omitempty"`
	Control  bool   `msgpack:"c,omitempty"`
	Stopping bool   `msgpack:"s,omitempty"`
	// Version is the configuration document in force there.
	Version uint64 `msgpack:"v,omitempty"`
	// InstancesDigest covers the live instances that the node knows.
	InstancesDigest uint64 `msgpack:"d,omitempty"`
	// Replica is the identity in a control node's data folder, 0 while it can't
	// be read.
	Replica uint64 `msgpack:"r,omitempty"`
	// HasGroup tells that the replica belongs to a group.
	HasGroup bool `msgpack:"g,omitempty"`
	// Leader is the address of the leader as the sender knows it in Term.
	Leader string `msgpack:"w,omitempty"`
	Term   uint64 `msgpack:"t,omitempty"`
	// QuorumSilenceMS is the time since a control node last had word of a quorum.
	QuorumSilenceMS uint64 `msgpack:"q,omitempty"`
	// Nodes are the nodes that a control node heard from lately. It is left out
	// when the receiver was told before.
	Nodes []NodeEntry `msgpack:"m,omitempty"`
	// AgeMS is the time since the sender's process started, in milliseconds.
	AgeMS uint64 `msgpack:"y,omitempty"`
	// WallMS is the time of day at a control node, in milliseconds since 1970.
	WallMS int64 `msgpack:"u,omitempty"`
	// Evacuated are the evacuated zones as they are in force there. Entry nodes
	// follow those of control nodes.
	Evacuated evacuation.Zones `msgpack:"x"`
	// QuarantineDigest covers what a control node tells of requests that end their
	// engines; 0 if it holds nothing against any.
	QuarantineDigest uint64 `msgpack:"k,omitempty"`
	// InstancesSum covers the live instances as InstancesDigest does, which only builds
	// before DialectSums are told.
	InstancesSum uint64 `msgpack:"h,omitempty"`
	// Rollouts are those in force at a control node; nil if it has nothing to tell of any.
	Rollouts *rollout.Set `msgpack:"f,omitempty"`
	// ListVersion is the version of the sender's list of all nodes, if the hello tells of
	// it: whole in Nodes, or as what has changed since ListBase.
	ListVersion uint64      `msgpack:"lv,omitempty"`
	ListBase    uint64      `msgpack:"lb,omitempty"`
	Joined      []NodeEntry `msgpack:"lj,omitempty"`
	Left        []string    `msgpack:"ll,omitempty"`
	// Dialect is the sender's.
	Dialect Dialect `msgpack:"b,omitempty"`
	// OlderNodes are the dialects of those in Nodes that have not the sender's.
	OlderNodes map[string]Dialect `msgpack:"o,omitempty"`
	// LogVersion is the newest version of the replicated log that a control node reads; 0
	// of builds that don't tell.
	LogVersion uint32 `msgpack:"vl,omitempty"`
	// Build is the commit of the sender's program, "" if it is not known.
	Build string `msgpack:"bu,omitempty"`
}

// NodeEntry is one node in a list of nodes. It can't get another field: a list of
// hundreds is written as arrays for builds of any dialect.
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

// DocumentNotice tells that a document is in force at the sender.
type DocumentNotice struct {
	Version uint64 `msgpack:"v"`
}

// DocumentFetch asks for the document in force if it is above Have.
type DocumentFetch struct {
	Have uint64 `msgpack:"h"`
	// Took tells that this confirms what the receiver sent; it asks for nothing.
	Took bool `msgpack:"t,omitempty"`
}

// DocumentData carries a document as document.Decode reads it.
type DocumentData struct {
	Version uint64 `msgpack:"v"`
	Encoded []byte `msgpack:"e"`
}

// InstancesHeard names the instances that sent heartbeats to the sender of late.
type InstancesHeard struct {
	IDs []string `msgpack:"i"`
}
