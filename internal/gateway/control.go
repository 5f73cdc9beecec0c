package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/document"
	"github.com/ravenway/ravenway/internal/state/machine"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

// orderTimeout bounds the work on an operator's order: who waits longer asks
// another node.
const orderTimeout = 900 * time.Millisecond

// takeQuestion asks the leader to take a document.
type takeQuestion struct {
	Command machine.DocumentCommand `msgpack:"c"`
}

// readQuestion asks the leader for the newest document. Have is the version
// that the asking node holds, so that it is not sent what it has.
type readQuestion struct {
	Have uint64 `msgpack:"h"`
}

// readAnswer is the newest document as it was sent, packed; Same tells that it is the
// one that the asking node has.
type readAnswer struct {
	Raw  []byte `msgpack:"r"`
	Same bool   `msgpack:"s"`
}

// Heartbeat implements Control.
func (n *Node) Heartbeat(ctx context.Context, instance registry.Instance) error {
	return n.fleet.heartbeat(ctx, instance)
}

// Leave implements Control.
func (n *Node) Leave(ctx context.Context, life registry.Life) error { return n.fleet.leave(ctx, life) }

// TakeDocument implements Control.
func (n *Node) TakeDocument(ctx context.Context, taken *document.Document, raw []byte) (uint64, error) {
	if held := n.documents.version(); taken.Version <= held {
		// It is in the log here, so a higher or equal version is committed.
		return held, nil
	}
	n.warnOfRegions(taken)
	encoded, err := taken.Encode()
	if err != nil {
		return 0, err
	}
	packed, err := document.Pack(raw)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	command := machine.DocumentCommand{Version: taken.Version, Raw: packed, Encoded: encoded}
	outcome, err := atLeader(ctx, n, peer.MethodTakeDocument, &takeQuestion{Command: command}, func() (machine.DocumentOutcome, error) {
		return n.takeDocumentHere(ctx, command)
	})
	n.log.Info().Str("event", "document_order").Uint64("version", taken.Version).Int("bytes", len(raw)).
		Uint64("held", outcome.Held).Bool("taken", outcome.Taken).AnErr("error", err).Send()
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return outcome.Held, nil
}

// warnOfRegions writes a line for each region that a configuration binds requests to and
// in which no zone of the fleet stands: nothing is served there. It is taken all the
// same: a region may come to have zones.
func (n *Node) warnOfRegions(taken *document.Document) {
	known := map[string]bool{"": true}
	for _, region := range n.settings.Load().Fleet.Regions {
		known[region] = true
	}
	warn := func(place string, regions []string) {
		for position, region := range regions {
			if !known[region] {
				n.log.Warn().Str("event", "region_not_known").Uint64("version", taken.Version).
					Str("place", fmt.Sprintf("%s.regions[%d]", place, position)).Str("region", region).Send()
			}
		}
	}
	for position, route := range taken.Routes {
		warn(fmt.Sprintf("routes[%d]", position), route.Regions)
	}
	for position, tenant := range taken.Tenants {
		warn(fmt.Sprintf("tenants[%d]", position), tenant.Regions)
	}
}

// ReadDocument implements Control.
func (n *Node) ReadDocument(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	held, err := duty.Call(ctx, n.replica.duty, func(answer func(machine.HeldDocument)) { answer(n.replica.machine.Document()) })
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	question := readQuestion{Have: held.Version}
	answer, err := atLeader(ctx, n, peer.MethodReadDocument, &question, func() (readAnswer, error) { return n.readDocumentHere(ctx, question) })
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case answer.Same:
		return document.Unpack(held.Raw)
	}
	return document.Unpack(answer.Raw)
}

// errNoLeader says that no leader of the control group is known.
var errNoLeader = errors.New("no leader of the control group is known")

// atLeader does work here if this node leads, and otherwise asks the leader.
func atLeader[T any](ctx context.Context, n *Node, method peer.Method, question any, here func() (T, error)) (T, error) {
	var none T
	leader := n.leader()
	if leader == "" {
		return none, errNoLeader
	}
	if leader == n.address {
		return here()
	}
	return peer.Invoke[T](ctx, n.calls, leader, method, question)
}

// commitHere commits a command if this node leads.
func (n *Node) commitHere(ctx context.Context, command machine.Command) (machine.Result, error) {
	type ended struct {
		result machine.Result
		err    error
	}
	answer, err := duty.Call(ctx, n.replica.duty, func(answer func(ended)) {
		n.replica.propose(command, func(result machine.Result, err error) {
			answer(ended{result: result, err: err})
		})
	})
	if err == nil {
		err = answer.err
	}
	if err == nil && answer.result.Refused != "" {
		err = errors.New(answer.result.Refused)
	}
	return answer.result, err
}

// takeDocumentHere commits a document if this node leads.
func (n *Node) takeDocumentHere(ctx context.Context, command machine.DocumentCommand) (machine.DocumentOutcome, error) {
	result, err := n.commitHere(ctx, machine.Command{Document: &command})
	if err != nil {
		return machine.DocumentOutcome{}, err
	}
	return *result.Document, nil
}

// readDocumentHere reads the newest document once a quorum has confirmed that
// this node leads.
func (n *Node) readDocumentHere(ctx context.Context, question readQuestion) (readAnswer, error) {
	held, err := readHere(ctx, n, (*machine.Machine).Document)
	switch {
	case err != nil:
		return readAnswer{}, err
	case held.Version > 0 && held.Version == question.Have:
		return readAnswer{Same: true}, nil
	}
	return readAnswer{Raw: held.Raw}, nil
}

// readHere reads committed state once a quorum has confirmed that this node leads.
func readHere[T any](ctx context.Context, n *Node, read func(*machine.Machine) T) (T, error) {
	type ended struct {
		value T
		err   error
	}
	answer, err := duty.Call(ctx, n.replica.duty, func(answer func(ended)) {
		if n.replica.replica == nil {
			answer(ended{err: consensus.ErrNotLeader})
			return
		}
		n.replica.replica.Read(func(err error) {
			answer(ended{value: read(n.replica.machine), err: err})
		})
	})
	if err == nil {
		err = answer.err
	}
	return answer.value, err
}

// serveCall answers another node's call.
func (n *Node) serveCall(from string, call peer.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	answer, err := n.executeCall(ctx, from, call)
	n.calls.Answer(from, call, answer, err, errorCode)
}

func errorCode(err error) peer.ErrorCode {
	if errors.Is(err, consensus.ErrNotLeader) {
		return peer.CodeNotLeader
	}
	return peer.CodeUnknownOutcome
}

func (n *Node) executeCall(ctx context.Context, from string, call peer.Call) (any, error) {
	if call.Method == peer.MethodPermit && n.limits != nil {
		return peer.Execute(call, func(ask ratelimit.Ask) (any, error) { return n.limits.grant(from, ask), nil })
	}
	if n.replica == nil {
		return nil, consensus.ErrNotLeader
	}
	switch call.Method {
	case peer.MethodTakeDocument:
		return peer.Execute(call, func(question takeQuestion) (any, error) { return n.takeDocumentHere(ctx, question.Command) })
	case peer.MethodReadDocument:
		return peer.Execute(call, func(question readQuestion) (any, error) { return n.readDocumentHere(ctx, question) })
	case peer.MethodOrderZone:
		return peer.Execute(call, func(command machine.ZoneCommand) (any, error) { return n.orderZoneHere(ctx, command) })
	case peer.MethodOrderRollout:
		return peer.Execute(call, func(order rollout.Order) (any, error) { return n.orderRolloutHere(ctx, order) })
	case peer.MethodReadRollout:
		return peer.Execute(call, func(question rolloutQuestion) (any, error) { return n.readRolloutHere(ctx, question) })
	}
	return nil, fmt.Errorf("method %q is not known here", call.Method)
}
