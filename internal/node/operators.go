package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/api/ravenway/v1/ravenwayv1connect"
	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/protocol/operator"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/catalog"
	"github.com/ravenway/ravenway/internal/state/machine"
)

// lowerRecallDelay is the time for nodes to return unused grants before a limit is lowered.
const lowerRecallDelay = time.Second

// operatorServer implements the operator service of the schema in api/ravenway/v1.
type operatorServer struct{ node *Node }

// operatorHandler returns the HTTP handler for operators. It requires a token if the settings have
// one.
func (n *Node) operatorHandler() http.Handler {
	_, handler := ravenwayv1connect.NewOperatorServiceHandler(&operatorServer{node: n})
	return operator.RequireToken(n.options.OperatorToken, handler)
}

// operatorError converts an error to one with a code that operators' tools can rely on.
func operatorError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errNoLeader), errors.Is(err, consensus.ErrNotLeader), hasCode(err, peer.CodeNotLeader):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, consensus.ErrOutcomeUnknown), hasCode(err, peer.CodeUnknownOutcome):
		return connect.NewError(connect.CodeDeadlineExceeded, fmt.Errorf("the outcome is not known; send the same operation id again: %w", err))
	}
	return connect.NewError(connect.CodeInternal, err)
}

// operationID returns the requested id, or a newly generated one if it is empty.
func operationID(requested string) string {
	if requested != "" {
		return requested
	}
	return uuid.NewString()
}

// Apply implements the schema's Apply.
func (o *operatorServer) Apply(ctx context.Context, request *connect.Request[ravenwayv1.ApplyRequest]) (*connect.Response[ravenwayv1.ApplyResponse], error) {
	put, err := proto.Marshal(request.Msg.GetPut())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	command := machine.Command{OperationID: operationID(request.Msg.GetOperationId()), Catalog: &machine.CatalogCommand{
		BaseRevision: request.Msg.GetBaseRevision(), AnyRevision: request.Msg.GetAnyRevision(), Put: put,
	}}
	for _, reference := range request.Msg.GetDelete() {
		command.Catalog.Delete = append(command.Catalog.Delete, catalog.Key{Kind: reference.GetKind(), Name: reference.GetName()})
	}
	result, err := o.node.propose(ctx, command)
	if err != nil {
		return nil, operatorError(err)
	}
	if result.Refused != "" || result.Catalog == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New(result.Refused))
	}
	response := &ravenwayv1.ApplyResponse{Revision: result.Catalog.Revision, Findings: result.Catalog.Findings}
	if conflict := result.Catalog.Conflict; conflict != nil {
		response.ConflictRevision, response.ConflictOperationId = conflict.Revision, conflict.OperationID
	}
	o.node.log.Info().Str("event", "catalog_change").Str("operation", command.OperationID).Uint64("revision", response.Revision).
		Bool("conflict", result.Catalog.Conflict != nil).Int("findings", len(response.Findings)).Send()
	return connect.NewResponse(response), nil
}

// readKind names the part of the state that a read returns.
type readKind string

const (
	readCatalog readKind = "catalog"
	readBudgets readKind = "budgets"
	readOrders  readKind = "orders"
)

// readRequest requests committed state from the leader.
type readRequest struct {
	Kind readKind `msgpack:"k"`
	// Name restricts the response to one budget; empty means all.
	Name string `msgpack:"n"`
}

// readResponse holds an encoded message of the schema.
type readResponse struct {
	Message []byte `msgpack:"m"`
}

// readLocally executes a read if this node leads. The response includes everything committed before
// it.
func (n *Node) readLocally(ctx context.Context, request readRequest) (readResponse, error) {
	message, err := readCommitted(ctx, n, func(state *machine.Machine) proto.Message { return readState(state, request) })
	if err != nil {
		return readResponse{}, err
	}
	encoded, err := proto.Marshal(message)
	return readResponse{Message: encoded}, err
}

func readState(state *machine.Machine, request readRequest) proto.Message {
	switch request.Kind {
	case readCatalog:
		return &ravenwayv1.GetCatalogResponse{Revision: state.Catalog().Revision(), Catalog: state.Catalog().Document()}
	case readOrders:
		response := &ravenwayv1.GetOrdersResponse{}
		for _, order := range state.Orders() {
			response.Orders = append(response.Orders, orderStatus(order))
		}
		return response
	}
	response := &ravenwayv1.GetBudgetsResponse{}
	for _, name := range state.Accounts().Names() {
		if request.Name == "" || request.Name == name {
			response.Budgets = append(response.Budgets, budgetStatus(state, name))
		}
	}
	return response
}

func budgetStatus(state *machine.Machine, name string) *ravenwayv1.BudgetStatus {
	status := state.BudgetStatus(name)
	return &ravenwayv1.BudgetStatus{
		Budget: name, Tenant: state.Catalog().Budget(name).GetTenant(),
		Limit: status.Limit, Settled: status.Settled, Outstanding: status.Outstanding,
	}
}

// read reads committed state from the leader, which may be another node, and decodes it. It retries
// until proposeTimeout.
func (n *Node) read(ctx context.Context, request readRequest, into proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	lastErr := errNoLeader
	for {
		response, err := n.readOnce(ctx, request)
		if err == nil {
			return proto.Unmarshal(response.Message, into)
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		if !pause.For(ctx, retryDelay) {
			return operatorError(fmt.Errorf("reading committed state: %w", lastErr))
		}
	}
}

func (n *Node) readOnce(ctx context.Context, request readRequest) (readResponse, error) {
	leader := n.leader()
	switch leader {
	case "":
		return readResponse{}, errNoLeader
	case n.name:
		return n.readLocally(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return callNode[readResponse](ctx, n, leader, peer.MethodRead, &request)
}

// GetCatalog implements the schema's GetCatalog.
func (o *operatorServer) GetCatalog(ctx context.Context, _ *connect.Request[ravenwayv1.GetCatalogRequest]) (*connect.Response[ravenwayv1.GetCatalogResponse], error) {
	response := &ravenwayv1.GetCatalogResponse{}
	if err := o.node.read(ctx, readRequest{Kind: readCatalog}, response); err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// GetBudgets implements the schema's GetBudgets.
func (o *operatorServer) GetBudgets(ctx context.Context, request *connect.Request[ravenwayv1.GetBudgetsRequest]) (*connect.Response[ravenwayv1.GetBudgetsResponse], error) {
	response := &ravenwayv1.GetBudgetsResponse{}
	if err := o.node.read(ctx, readRequest{Kind: readBudgets, Name: request.Msg.GetBudget()}, response); err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// TopUpBudget implements the schema's TopUpBudget.
func (o *operatorServer) TopUpBudget(ctx context.Context, request *connect.Request[ravenwayv1.TopUpBudgetRequest]) (*connect.Response[ravenwayv1.BudgetChangeResponse], error) {
	return o.changeBudget(ctx, request.Msg.GetOperationId(), &machine.BudgetCommand{Budget: request.Msg.GetBudget(), TopUp: request.Msg.GetTokens()})
}

// LowerBudget implements the schema's LowerBudget. It recalls unused grants first, so that tokens
// that no node uses do not prevent the change.
func (o *operatorServer) LowerBudget(ctx context.Context, request *connect.Request[ravenwayv1.LowerBudgetRequest]) (*connect.Response[ravenwayv1.BudgetChangeResponse], error) {
	command := &machine.BudgetCommand{Budget: request.Msg.GetBudget(), Lower: request.Msg.GetTokens()}
	if err := o.node.recallBudget(ctx, command.Budget); err != nil {
		return nil, operatorError(err)
	}
	pause.For(ctx, lowerRecallDelay)
	return o.changeBudget(ctx, request.Msg.GetOperationId(), command)
}

func (o *operatorServer) changeBudget(ctx context.Context, id string, command *machine.BudgetCommand) (*connect.Response[ravenwayv1.BudgetChangeResponse], error) {
	if command.TopUp == 0 && command.Lower == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("tokens: must be above 0"))
	}
	result, err := o.node.propose(ctx, machine.Command{OperationID: operationID(id), Budget: command})
	if err != nil {
		return nil, operatorError(err)
	}
	response := &ravenwayv1.BudgetChangeResponse{Refused: result.Refused}
	if status := result.Budget; status != nil {
		response.Status = &ravenwayv1.BudgetStatus{
			Budget: status.Budget, Limit: status.Limit, Settled: status.Settled, Outstanding: status.Outstanding,
		}
	}
	return connect.NewResponse(response), nil
}

// GetStatus implements the schema's GetStatus.
func (o *operatorServer) GetStatus(context.Context, *connect.Request[ravenwayv1.GetStatusRequest]) (*connect.Response[ravenwayv1.GetStatusResponse], error) {
	n := o.node
	response := &ravenwayv1.GetStatusResponse{Node: n.name, Leader: n.leader(), Revision: n.view.Load().revision}
	if n.replica != nil {
		view := n.replica.view.Load()
		response.Term, response.CommitIndex = view.term, view.commit
		if view.leading {
			response.Voters = uint32(len(view.configuration.Voters()))
			response.CaughtUpVoters = uint32(view.caughtUpVoters)
		}
		response.QuorumAgeMilliseconds = uint64(view.quorumAge.Milliseconds())
	}
	for _, member := range n.acceptors.Nodes() {
		status, age, found := n.fleet.lastStatus(member.Name)
		if member.Name == n.name {
			status, age, found = n.status(), 0, true
		}
		entry := &ravenwayv1.NodeStatus{Name: member.Name, Zone: member.Zone, Control: n.peers[member.Name].Control}
		entry.Leader = member.Name == response.Leader
		if found {
			entry.Incarnation, entry.Revision, entry.Stopping = status.Incarnation, status.Revision, status.Stopping
			entry.SilentMilliseconds = uint64(age.Milliseconds())
		} else {
			entry.SilentMilliseconds = uint64(n.now().Milliseconds())
		}
		response.Nodes = append(response.Nodes, entry)
	}
	return connect.NewResponse(response), nil
}

// Explain implements the schema's Explain. It requests the decisions from every reachable node,
// since any of them may have handled the request.
func (o *operatorServer) Explain(ctx context.Context, request *connect.Request[ravenwayv1.ExplainRequest]) (*connect.Response[ravenwayv1.ExplainResponse], error) {
	n := o.node
	id := request.Msg.GetRequestId()
	if own := n.decisions.explain(id); len(own) > 0 {
		return connect.NewResponse(&ravenwayv1.ExplainResponse{Node: n.name, Decisions: own}), nil
	}
	for _, member := range n.acceptors.Nodes() {
		if member.Name == n.name || !n.fleet.isReachable(member.Name) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		found, err := callNode[[]string](callCtx, n, member.Name, peer.MethodExplain, &explainRequest{RequestID: id})
		cancel()
		if err == nil && len(found) > 0 {
			return connect.NewResponse(&ravenwayv1.ExplainResponse{Node: member.Name, Decisions: found}), nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no node that answers remembers request %q", id))
}

// OrderRollout implements the schema's OrderRollout. It is unimplemented here: only fleets whose
// engines register themselves roll out versions.
func (o *operatorServer) OrderRollout(context.Context, *connect.Request[ravenwayv1.OrderRolloutRequest]) (*connect.Response[ravenwayv1.OrderRolloutResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("rollouts need fleet.dialect in the settings"))
}

// OrderZone implements the schema's OrderZone. It is unimplemented here: only fleets whose members
// find each other from seeds evacuate zones.
func (o *operatorServer) OrderZone(context.Context, *connect.Request[ravenwayv1.OrderZoneRequest]) (*connect.Response[ravenwayv1.OrderZoneResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("a fleet of fixed peers has no evacuation; drain its back ends one by one"))
}

// errNoQuarantine indicates that a fleet of fixed peers has no quarantine: it records no crashes
// against requests.
var errNoQuarantine = errors.New("a fleet of fixed peers holds nothing against requests that end back ends")

// GetQuarantine implements the schema's GetQuarantine.
func (o *operatorServer) GetQuarantine(context.Context, *connect.Request[ravenwayv1.GetQuarantineRequest]) (*connect.Response[ravenwayv1.GetQuarantineResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errNoQuarantine)
}

// ReleaseQuarantined implements the schema's ReleaseQuarantined.
func (o *operatorServer) ReleaseQuarantined(context.Context, *connect.Request[ravenwayv1.ReleaseQuarantinedRequest]) (*connect.Response[ravenwayv1.ReleaseQuarantinedResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errNoQuarantine)
}

// GetLimits implements the schema's GetLimits.
func (o *operatorServer) GetLimits(context.Context, *connect.Request[ravenwayv1.GetLimitsRequest]) (*connect.Response[ravenwayv1.GetLimitsResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("a fleet of fixed peers keeps no limits that back ends name"))
}

// GetCallers implements the schema's GetCallers.
func (o *operatorServer) GetCallers(context.Context, *connect.Request[ravenwayv1.GetCallersRequest]) (*connect.Response[ravenwayv1.GetCallersResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("a fleet of fixed peers bounds no callers"))
}

// GetStreams implements the schema's GetStreams.
func (o *operatorServer) GetStreams(context.Context, *connect.Request[ravenwayv1.GetStreamsRequest]) (*connect.Response[ravenwayv1.GetStreamsResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("in a fleet of fixed peers streams are resumed at the engine that runs them"))
}

// GetPaths implements the schema's GetPaths.
func (o *operatorServer) GetPaths(context.Context, *connect.Request[ravenwayv1.GetPathsRequest]) (*connect.Response[ravenwayv1.GetPathsResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("a fleet of fixed peers relays no connections"))
}

// GetReservations implements the schema's GetReservations.
func (o *operatorServer) GetReservations(context.Context, *connect.Request[ravenwayv1.GetReservationsRequest]) (*connect.Response[ravenwayv1.GetReservationsResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("a fleet of fixed peers reserves no prompts"))
}

// GetPauses implements the schema's GetPauses.
func (o *operatorServer) GetPauses(ctx context.Context, _ *connect.Request[ravenwayv1.GetPausesRequest]) (*connect.Response[ravenwayv1.GetPausesResponse], error) {
	paused, err := o.node.backends.pausedBackends(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &ravenwayv1.GetPausesResponse{}
	for _, backend := range paused {
		response.Pauses = append(response.Pauses, &ravenwayv1.InstancePause{
			Instance: backend.Name, Service: backend.Service, Zone: backend.Zone, Phase: backoff.Paused.String(),
			LeftMilliseconds: backend.Left.Milliseconds(), InFlight: uint32(backend.InFlight),
		})
	}
	return connect.NewResponse(response), nil
}

// Snapshot implements the schema's Snapshot.
func (o *operatorServer) Snapshot(ctx context.Context, _ *connect.Request[ravenwayv1.SnapshotRequest]) (*connect.Response[ravenwayv1.SnapshotResponse], error) {
	if o.node.replica == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("this node holds no replica; ask a control node"))
	}
	type snapshotResult struct {
		index uint64
		err   error
	}
	saved, err := duty.Call(ctx, o.node.replica.duty, func(reply func(snapshotResult)) {
		err := o.node.replica.replica.SaveSnapshot()
		reply(snapshotResult{index: o.node.replica.replica.SnapshotIndex(), err: err})
	})
	if err = errors.Join(err, saved.err); err != nil {
		return nil, operatorError(err)
	}
	return connect.NewResponse(&ravenwayv1.SnapshotResponse{Index: saved.index}), nil
}

// Order implements the schema's Order.
func (o *operatorServer) Order(ctx context.Context, request *connect.Request[ravenwayv1.OrderRequest]) (*connect.Response[ravenwayv1.OrderResponse], error) {
	message := request.Msg
	if message.GetKind() == ravenwayv1.OrderKind_ORDER_KIND_UNSPECIFIED || message.GetTarget() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("kind and target are needed"))
	}
	result, err := o.node.propose(ctx, machine.Command{OperationID: operationID(message.GetOperationId()), Order: &machine.BackendOrderCommand{
		Backend: message.GetBackend(), Kind: message.GetKind(), Target: message.GetTarget(), Version: message.GetVersion(),
	}})
	if err != nil {
		return nil, operatorError(err)
	}
	response := &ravenwayv1.OrderResponse{Refused: result.Refused}
	if result.Order != nil {
		response.Status = orderStatus(*result.Order)
	}
	return connect.NewResponse(response), nil
}

// GetOrders implements the schema's GetOrders.
func (o *operatorServer) GetOrders(ctx context.Context, _ *connect.Request[ravenwayv1.GetOrdersRequest]) (*connect.Response[ravenwayv1.GetOrdersResponse], error) {
	response := &ravenwayv1.GetOrdersResponse{}
	if err := o.node.read(ctx, readRequest{Kind: readOrders}, response); err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

func orderStatus(order machine.OrderRecord) *ravenwayv1.OrderStatus {
	return &ravenwayv1.OrderStatus{
		Fence: order.FencingToken, Backend: order.Order.Backend, Kind: order.Order.Kind, Target: order.Order.Target,
		Version: order.Order.Version, State: string(order.State), Detail: order.Detail,
	}
}
