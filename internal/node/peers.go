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

// errNoLeader says that no leader of the control group is known.
var errNoLeader = errors.New("no leader of the control group is known")

// send encodes and sends a message to another node, or handles it here.
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

// SentFrames and SentBytes count what this process sends to peers, by kind.
var SentFrames, SentBytes = countersByKind("frames"), countersByKind("bytes")

func countersByKind(unit string) map[peer.Kind]*metrics.Counter {
	counters := map[peer.Kind]*metrics.Counter{}
	for _, kind := range peer.Kinds() {
		counters[kind] = metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_peer_sent_%s_total{kind=%q}", unit, kind))
	}
	return counters
}

// handleFrame hands a frame to the duty that it is for.
func (n *Node) handleFrame(from string, frame []byte) {
	envelope, err := peer.Decode(frame)
	if err == nil {
		err = n.dispatch(from, envelope)
	}
	if err != nil {
		n.log.Warn().Str("event", "peer_message_refused").Str("peer", from).Err(err).Send()
	}
}

func (n *Node) dispatch(from string, envelope peer.Envelope) error {
	switch envelope.Kind {
	case peer.KindConsensus:
		return peer.Dispatch(envelope, func(message consensus.Message) { n.takeConsensus(message) })
	case peer.KindCall:
		return peer.Dispatch(envelope, func(call peer.Call) { go n.serveCall(from, call) })
	case peer.KindReply:
		return peer.Dispatch(envelope, n.calls.Deliver)
	case peer.KindStatus:
		return peer.Dispatch(envelope, n.fleet.take)
	case peer.KindClaims:
		return peer.Dispatch(envelope, n.claims.take)
	case peer.KindCatalog:
		return peer.Dispatch(envelope, func(delta catalog.Delta) { n.catalog.takeDelta(from, delta) })
	case peer.KindCatalogFollow:
		return peer.Dispatch(envelope, func(follow peer.CatalogFollow) { n.catalog.takeFollow(from, follow) })
	case peer.KindAccounts:
		return peer.Dispatch(envelope, func(message escrow.AccountsMessage) { n.takeAccounts(message) })
	case peer.KindReports:
		return peer.Dispatch(envelope, n.backends.takeReports)
	case peer.KindLend:
		return peer.Dispatch(envelope, func(message escrow.LendMessage) { n.escrow.takeLend(from, message) })
	}
	return fmt.Errorf("kind %d has no duty", envelope.Kind)
}

func (n *Node) takeConsensus(message consensus.Message) {
	if n.replica != nil {
		n.replica.take(message)
	}
}

func (n *Node) takeAccounts(message escrow.AccountsMessage) {
	switch {
	case message.Report != nil && n.replica != nil:
		n.replica.takeReport(*message.Report)
	case message.Answer != nil:
		n.escrow.takeAnswer(*message.Answer)
	case message.Recall != nil:
		n.escrow.takeRecall(*message.Recall)
	}
}

// claimsBatch is all claim messages to one node of one flush.
type claimsBatch struct {
	Messages []claims.Message `msgpack:"m"`
}

// callNode asks another node and decodes its answer. An error is a
// *peer.ReplyError if the other node answered.
func callNode[T any](ctx context.Context, n *Node, to string, method peer.Method, question any) (T, error) {
	return peer.Invoke[T](ctx, n.calls, to, method, question)
}

// callTimeout bounds the work on another node's call.
const callTimeout = 10 * time.Second

// serveCall answers another node's call.
func (n *Node) serveCall(from string, call peer.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := n.executeCall(ctx, call)
	n.calls.Reply(from, call, answer, err, errorCode)
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
		return peer.Execute(call, func(question proposeQuestion) (any, error) { return n.proposeHere(ctx, question.Command) })
	case peer.MethodRead:
		return peer.Execute(call, func(question readQuestion) (any, error) { return n.readHere(ctx, question) })
	case peer.MethodExplain:
		return peer.Execute(call, func(question explainQuestion) (any, error) { return n.decisions.explain(question.RequestID), nil })
	case peer.MethodReadResponse:
		return peer.Execute(call, func(question answerQuestion) (any, error) { return n.answers.find(question.RequestID), nil })
	case peer.MethodRecall:
		return peer.Execute(call, func(question recallQuestion) (any, error) { return n.recallHere(ctx, question) })
	case peer.MethodFence:
		return peer.Execute(call, func(question fenceQuestion) (any, error) { return n.fenceHere(ctx, question) })
	}
	return nil, fmt.Errorf("method %q is not known here", call.Method)
}
