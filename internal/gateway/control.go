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
)

// orderTimeout is the maximum time for an operator's order on this node; a client that waits longer
// tries another node.
const orderTimeout = 900 * time.Millisecond

// commitDocumentRequest requests that the leader commit a document.
type commitDocumentRequest struct {
	Command machine.DocumentCommand `msgpack:"c"`
}

// readDocumentRequest requests the newest document from the leader. Have is the version that the
// requesting node holds, so that the leader does not send it again.
type readDocumentRequest struct {
	Have uint64 `msgpack:"h"`
}

// readDocumentResponse carries the newest document as it was received, compressed; Same indicates
// that the requesting node already has it.
type readDocumentResponse struct {
	Raw  []byte `msgpack:"r"`
	Same bool   `msgpack:"s"`
}

// Heartbeat implements Control.
func (n *Node) Heartbeat(ctx context.Context, instance registry.Instance) error {
	return n.fleet.heartbeat(ctx, instance)
}

// Leave implements Control.
func (n *Node) Leave(ctx context.Context, incarnation registry.Incarnation) error {
	return n.fleet.leave(ctx, incarnation)
}

// CommitDocument implements Control.
func (n *Node) CommitDocument(ctx context.Context, submitted *document.Document, raw []byte) (uint64, error) {
	if heldVersion := n.documents.version(); submitted.Version <= heldVersion {
		// The held version comes from the log, so an equal or higher one is already committed.
		return heldVersion, nil
	}
	n.warnOfUnknownRegions(submitted)
	encoded, err := submitted.Encode()
	if err != nil {
		return 0, err
	}
	compressed, err := document.Compress(raw)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	command := machine.DocumentCommand{Version: submitted.Version, Raw: compressed, Encoded: encoded}
	outcome, err := atLeader(ctx, n, peer.MethodSubmitDocument, &commitDocumentRequest{Command: command}, func() (machine.DocumentOutcome, error) {
		return n.commitDocumentHere(ctx, command)
	})
	n.log.Info().Str("event", "document_order").Uint64("version", submitted.Version).Int("bytes", len(raw)).
		Uint64("held", outcome.ActiveVersion).Bool("taken", outcome.Activated).AnErr("error", err).Send()
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return outcome.ActiveVersion, nil
}

// warnOfUnknownRegions logs a warning for each region that a configuration binds requests to but
// that has no zone of the fleet, so that no request is served there. The configuration is accepted
// regardless, since zones of the region may be added later.
func (n *Node) warnOfUnknownRegions(submitted *document.Document) {
	known := map[string]bool{"": true}
	for _, region := range n.settings.Load().Fleet.Regions {
		known[region] = true
	}
	warn := func(place string, regions []string) {
		for position, region := range regions {
			if !known[region] {
				n.log.Warn().Str("event", "region_not_known").Uint64("version", submitted.Version).
					Str("place", fmt.Sprintf("%s.regions[%d]", place, position)).Str("region", region).Send()
			}
		}
	}
	for position, route := range submitted.Routes {
		warn(fmt.Sprintf("routes[%d]", position), route.Regions)
	}
	for position, tenant := range submitted.Tenants {
		warn(fmt.Sprintf("tenants[%d]", position), tenant.Regions)
	}
}

// ReadDocument implements Control.
func (n *Node) ReadDocument(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	heldDocument, err := duty.Call(ctx, n.replica.duty, func(respond func(machine.ActiveDocument)) { respond(n.replica.machine.Document()) })
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	request := readDocumentRequest{Have: heldDocument.Version}
	response, err := atLeader(ctx, n, peer.MethodReadDocument, &request, func() (readDocumentResponse, error) { return n.readDocumentHere(ctx, request) })
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case response.Same:
		return document.Decompress(heldDocument.Raw)
	}
	return document.Decompress(response.Raw)
}

// errNoLeader means that no leader of the control group is known.
var errNoLeader = errors.New("no leader of the control group is known")

// atLeader calls the function here if this node leads, and otherwise sends the request to the
// leader.
func atLeader[T any](ctx context.Context, n *Node, method peer.Method, request any, here func() (T, error)) (T, error) {
	var none T
	leader := n.leader()
	if leader == "" {
		return none, errNoLeader
	}
	if leader == n.address {
		return here()
	}
	return peer.Invoke[T](ctx, n.calls, leader, method, request)
}

// commitHere commits a command if this node leads.
func (n *Node) commitHere(ctx context.Context, command machine.Command) (machine.Result, error) {
	type reply struct {
		result machine.Result
		err    error
	}
	outcome, err := duty.Call(ctx, n.replica.duty, func(respond func(reply)) {
		n.replica.propose(command, func(result machine.Result, err error) {
			respond(reply{result: result, err: err})
		})
	})
	if err == nil {
		err = outcome.err
	}
	if err == nil && outcome.result.Refused != "" {
		err = errors.New(outcome.result.Refused)
	}
	return outcome.result, err
}

// commitDocumentHere commits a document if this node leads.
func (n *Node) commitDocumentHere(ctx context.Context, command machine.DocumentCommand) (machine.DocumentOutcome, error) {
	result, err := n.commitHere(ctx, machine.Command{Document: &command})
	if err != nil {
		return machine.DocumentOutcome{}, err
	}
	return *result.Document, nil
}

// readDocumentHere reads the newest document once a quorum has confirmed that
// this node leads.
func (n *Node) readDocumentHere(ctx context.Context, request readDocumentRequest) (readDocumentResponse, error) {
	newest, err := readHere(ctx, n, (*machine.Machine).Document)
	switch {
	case err != nil:
		return readDocumentResponse{}, err
	case newest.Version > 0 && newest.Version == request.Have:
		return readDocumentResponse{Same: true}, nil
	}
	return readDocumentResponse{Raw: newest.Raw}, nil
}

// readHere reads committed state once a quorum has confirmed that this node leads.
func readHere[T any](ctx context.Context, n *Node, read func(*machine.Machine) T) (T, error) {
	type reply struct {
		value T
		err   error
	}
	outcome, err := duty.Call(ctx, n.replica.duty, func(respond func(reply)) {
		if n.replica.replica == nil {
			respond(reply{err: consensus.ErrNotLeader})
			return
		}
		n.replica.replica.Read(func(err error) {
			respond(reply{value: read(n.replica.machine), err: err})
		})
	})
	if err == nil {
		err = outcome.err
	}
	return outcome.value, err
}

// startCall serves another node's call. A reservation or a slot is granted before the node's next
// message, which may end it.
func (n *Node) startCall(from string, call peer.Call) {
	if call.Method == peer.MethodReserve || call.Method == peer.MethodAcquireSlot || call.Method == peer.MethodFindStream {
		n.serveCall(from, call)
		return
	}
	go n.serveCall(from, call)
}

// serveCall executes another node's call and sends the reply.
func (n *Node) serveCall(from string, call peer.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	response, err := n.executeCall(ctx, from, call)
	n.calls.Reply(from, call, response, err, errorCode)
}

func errorCode(err error) peer.ErrorCode {
	if errors.Is(err, consensus.ErrNotLeader) {
		return peer.CodeNotLeader
	}
	return peer.CodeUnknownOutcome
}

func (n *Node) executeCall(ctx context.Context, from string, call peer.Call) (any, error) {
	if call.Method == peer.MethodPermit && n.limits != nil {
		return peer.Execute(call, func(permitRequest ratelimit.PermitRequest) (any, error) {
			return n.limits.grant(from, permitRequest), nil
		})
	}
	if call.Method == peer.MethodReserve && n.prompts != nil {
		return n.prompts.handleReserve(from, call)
	}
	if call.Method == peer.MethodAcquireSlot && n.slots != nil {
		return n.slots.handleAcquire(from, call)
	}
	if call.Method == peer.MethodFindStream {
		return n.streams.handleFind(from, call)
	}
	if n.replica == nil {
		return nil, consensus.ErrNotLeader
	}
	switch call.Method {
	case peer.MethodSubmitDocument:
		return peer.Execute(call, func(request commitDocumentRequest) (any, error) { return n.commitDocumentHere(ctx, request.Command) })
	case peer.MethodReadDocument:
		return peer.Execute(call, func(request readDocumentRequest) (any, error) { return n.readDocumentHere(ctx, request) })
	case peer.MethodOrderZone:
		return peer.Execute(call, func(request orderZoneRequest) (any, error) { return n.orderZoneHere(ctx, request) })
	case peer.MethodOrderRollout:
		return peer.Execute(call, func(request orderRolloutRequest) (any, error) { return n.orderRolloutHere(ctx, request) })
	case peer.MethodReadRollout:
		return peer.Execute(call, func(request readRolloutRequest) (any, error) { return n.readRolloutHere(ctx, request) })
	}
	return nil, fmt.Errorf("method %q is not known here", call.Method)
}
