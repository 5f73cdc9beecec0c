package gateway

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/transport"
)

// linkMeters count the bytes that pass through an entry node's link, without the headers of the
// network and transport layers.
type linkMeters struct {
	// relays counts the bytes of streams between nodes, as origin and as relay.
	callers, engines, relays transport.Meter
}

// linkBytes is the number of bytes in each direction of a node's link since the start.
type linkBytes struct{ incoming, outgoing int64 }

// linkBytes returns the bytes of requests and of messages of other nodes.
func (n *Node) linkBytes() linkBytes {
	requests := n.requestBytes()
	return linkBytes{incoming: requests.incoming + n.received.allBytes.Load(), outgoing: requests.outgoing + n.sent.allBytes.Load()}
}

// requestBytes returns the bytes of callers' and engines' connections and of streams.
func (n *Node) requestBytes() linkBytes {
	return linkBytes{
		incoming: n.meters.callers.Received() + n.meters.engines.Received() + n.meters.relays.Received(),
		outgoing: n.meters.callers.Sent() + n.meters.engines.Sent() + n.meters.relays.Sent(),
	}
}

// LinkBytes returns the bytes that have passed through the node's link in both directions.
func (n *Node) LinkBytes() int64 {
	passed := n.linkBytes()
	return passed.incoming + passed.outgoing
}

// Bytes of connections and streams by direction.
var (
	callerBytesReceived = metrics.GetOrCreateCounter(`ravenway_link_bytes_total{direction="received",peer="caller"}`)
	callerBytesSent     = metrics.GetOrCreateCounter(`ravenway_link_bytes_total{direction="sent",peer="caller"}`)
	engineBytesReceived = metrics.GetOrCreateCounter(`ravenway_link_bytes_total{direction="received",peer="engine"}`)
	engineBytesSent     = metrics.GetOrCreateCounter(`ravenway_link_bytes_total{direction="sent",peer="engine"}`)
	relayBytesReceived  = metrics.GetOrCreateCounter(`ravenway_link_bytes_total{direction="received",peer="relay"}`)
	relayBytesSent      = metrics.GetOrCreateCounter(`ravenway_link_bytes_total{direction="sent",peer="relay"}`)
)

// describe returns the bytes of each direction since the start.
func (m *linkMeters) describe() *zerolog.Event {
	return zerolog.Dict().Int64("from_callers", m.callers.Received()).Int64("to_callers", m.callers.Sent()).
		Int64("from_engines", m.engines.Received()).Int64("to_engines", m.engines.Sent()).
		Int64("from_relays", m.relays.Received()).Int64("to_relays", m.relays.Sent())
}

// updateMetrics sets the metrics to the current counts.
func (m *linkMeters) updateMetrics() {
	callerBytesReceived.Set(uint64(m.callers.Received()))
	callerBytesSent.Set(uint64(m.callers.Sent()))
	engineBytesReceived.Set(uint64(m.engines.Received()))
	engineBytesSent.Set(uint64(m.engines.Sent()))
	relayBytesReceived.Set(uint64(m.relays.Received()))
	relayBytesSent.Set(uint64(m.relays.Sent()))
}
