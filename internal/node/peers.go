package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/claims"
	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/catalog"
	"github.com/ravenway/ravenway/internal/transport"
)

// errNoLeader indicates that this node knows no leader of the control group.
var errNoLeader = errors.New("no leader of the control group is known")

// send encodes a message and sends it to another node. A message to this node is handled directly.
func (n *Node) send(to string, kind peer.Kind, body any) {
	frame, err := peer.Encode(kind, body)
	if err != nil {
		n.log.Error().Str("event", "peer_encode_failed").Err(err).Send()
		return
	}
	if to == n.name {
		n.handleFrame(n.name, frame)
		return
	}
	SentFrames[kind].Inc()
	SentBytes[kind].Add(len(frame) + transport.FrameOverheadBytes)
	n.mesh.Send(to, frame)
}

// SentFrames and SentBytes count the frames and bytes that this process sends to peers, by message
// kind.
var SentFrames, SentBytes = countersByKind("frames"), countersByKind("bytes")

func countersByKind(unit string) map[peer.Kind]*metrics.Counter {
	counters := map[peer.Kind]*metrics.Counter{}
	for _, kind := range peer.Kinds() {
		counters[kind] = metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_peer_sent_%s_total{kind=%q}", unit, kind))
	}
	return counters
}

// handleFrame decodes a frame and passes it to the duty that handles its kind.
func (n *Node) handleFrame(from string, frame []byte) {
	envelope, err := peer.Decode(frame)
	if err == nil {
		err = n.handleEnvelope(from, envelope)
	}
	if err != nil {
		n.log.Warn().Str("event", "peer_message_refused").Str("peer", from).Err(err).Send()
	}
}

func (n *Node) handleEnvelope(from string, envelope peer.Envelope) error {
	switch envelope.Kind {
	case peer.KindConsensus:
		return peer.Dispatch(envelope, func(message consensus.Message) { n.handleConsensus(message) })
	case peer.KindCall:
		return peer.Dispatch(envelope, func(call peer.Call) { go n.serveCall(from, call) })
	case peer.KindReply:
		return peer.Dispatch(envelope, n.calls.Deliver)
	case peer.KindStatus:
		return peer.Dispatch(envelope, n.fleet.record)
	case peer.KindClaims:
		return peer.Dispatch(envelope, n.claims.handleBatch)
	case peer.KindCatalog:
		return peer.Dispatch(envelope, func(delta catalog.Delta) { n.catalog.handleDelta(from, delta) })
	case peer.KindCatalogFollow:
		return peer.Dispatch(envelope, func(follow peer.CatalogFollow) { n.catalog.handleFollow(from, follow) })
	case peer.KindAccounts:
		return peer.Dispatch(envelope, func(message escrow.AccountsMessage) { n.handleAccounts(message) })
	case peer.KindReports:
		return peer.Dispatch(envelope, n.backends.handleReports)
	case peer.KindLend:
		return peer.Dispatch(envelope, func(message escrow.LoanMessage) { n.escrow.handleLend(from, message) })
	}
	return fmt.Errorf("no duty handles message kind %d", envelope.Kind)
}

func (n *Node) handleConsensus(message consensus.Message) {
	if n.replica != nil {
		n.replica.handleMessage(message)
	}
}

func (n *Node) handleAccounts(message escrow.AccountsMessage) {
	switch {
	case message.Report != nil && n.replica != nil:
		n.replica.handleReport(*message.Report)
	case message.Response != nil:
		n.escrow.handleResponse(*message.Response)
	case message.Recall != nil:
		n.escrow.handleRecall(*message.Recall)
	}
}

// claimsBatch holds all claim messages that one flush sends to one node.
type claimsBatch struct {
	Messages []claims.Message `msgpack:"m"`
}

// callNode calls a method of another node and decodes the response. The error is a *peer.ReplyError
// if the other node responded with an error.
func callNode[T any](ctx context.Context, n *Node, to string, method peer.Method, request any) (T, error) {
	return peer.Invoke[T](ctx, n.calls, to, method, request)
}

// callTimeout is the maximum time spent on a call from another node. The reclaim of one incarnation
// and the cancellation of a request at an engine have the same limit.
const callTimeout = 10 * time.Second

// serveCall executes a call from another node and sends the response.
func (n *Node) serveCall(from string, call peer.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := n.executeCall(ctx, call)
	n.calls.Reply(from, call, response, err, errorCode)
}

func errorCode(err error) peer.ErrorCode {
	switch {
	case errors.Is(err, consensus.ErrNotLeader), errors.Is(err, errNoLeader):
		return peer.CodeNotLeader
	case errors.Is(err, consensus.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded):
		return peer.CodeUnknownOutcome
	}
	return peer.CodeRefused
}

func (n *Node) executeCall(ctx context.Context, call peer.Call) (any, error) {
	switch call.Method {
	case peer.MethodPropose:
		return peer.Execute(call, func(request proposeRequest) (any, error) { return n.proposeLocally(ctx, request.Command) })
	case peer.MethodRead:
		return peer.Execute(call, func(request readRequest) (any, error) { return n.readLocally(ctx, request) })
	case peer.MethodExplain:
		return peer.Execute(call, func(request explainRequest) (any, error) { return n.decisions.explain(request.RequestID), nil })
	case peer.MethodReadResponse:
		return peer.Execute(call, func(request storedResponseRequest) (any, error) { return n.responses.find(request.RequestID), nil })
	case peer.MethodRecall:
		return peer.Execute(call, func(request recallRequest) (any, error) { return n.recallLocally(ctx, request) })
	case peer.MethodFence:
		return peer.Execute(call, func(request fenceRequest) (any, error) { return n.fenceLocally(ctx, request) })
	}
	return nil, fmt.Errorf("method %q is not known here", call.Method)
}
