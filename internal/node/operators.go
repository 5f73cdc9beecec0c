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

// lowerRecallPause is the time that nodes get to return unused grants before a
// limit is lowered.
const lowerRecallPause = time.Second

// operatorServer serves the operators' schema.
type operatorServer struct{ node *Node }

// operatorHandler serves operators; a token is needed if the settings have one.
func (n *Node) operatorHandler() http.Handler {
	_, handler := ravenwayv1connect.NewOperatorServiceHandler(&operatorServer{node: n})
	return operator.RequireToken(n.options.OperatorToken, handler)
}

// operatorError turns an error into one with a code that tools can rely on.
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

// operationID mints an id if the operator gave none.
func operationID(given string) string {
	if given != "" {
		return given
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
	answer := &ravenwayv1.ApplyResponse{Revision: result.Catalog.Revision, Findings: result.Catalog.Findings}
	if conflict := result.Catalog.Conflict; conflict != nil {
		answer.ConflictRevision, answer.ConflictOperationId = conflict.Revision, conflict.OperationID
	}
	o.node.log.Info().Str("event", "catalog_change").Str("operation", command.OperationID).Uint64("revision", answer.Revision).
		Bool("conflict", result.Catalog.Conflict != nil).Int("findings", len(answer.Findings)).Send()
	return connect.NewResponse(answer), nil
}

// readKind names what a read returns.
type readKind string

const (
	readCatalog readKind = "catalog"
	readBudgets readKind = "budgets"
	readOrders  readKind = "orders"
)

// readQuestion asks the leader for committed state.
type readQuestion struct {
	Kind readKind `msgpack:"k"`
	// Name restricts the answer; empty for all.
	Name string `msgpack:"n"`
}

// readAnswer is an encoded message of the schema.
type readAnswer struct {
	Message []byte `msgpack:"m"`
}

// readHere answers a read if this node leads, with everything committed before.
func (n *Node) readHere(ctx context.Context, question readQuestion) (readAnswer, error) {
	message, err := atLeader(ctx, n, func(state *machine.Machine) proto.Message { return readState(state, question) })
	if err != nil {
		return readAnswer{}, err
	}
	encoded, err := proto.Marshal(message)
	return readAnswer{Message: encoded}, err
}

func readState(state *machine.Machine, question readQuestion) proto.Message {
	switch question.Kind {
	case readCatalog:
		return &ravenwayv1.GetCatalogResponse{Revision: state.Catalog().Revision(), Catalog: state.Catalog().Document()}
	case readOrders:
		answer := &ravenwayv1.GetOrdersResponse{}
		for _, order := range state.Orders() {
			answer.Orders = append(answer.Orders, orderStatus(order))
		}
		return answer
	}
	answer := &ravenwayv1.GetBudgetsResponse{}
	for _, name := range state.Accounts().Names() {
		if question.Name == "" || question.Name == name {
			answer.Budgets = append(answer.Budgets, budgetStatus(state, name))
		}
	}
	return answer
}

func budgetStatus(state *machine.Machine, name string) *ravenwayv1.BudgetStatus {
	status := state.BudgetStatus(name)
	return &ravenwayv1.BudgetStatus{
		Budget: name, Tenant: state.Catalog().Budget(name).GetTenant(),
		Limit: status.Limit, Settled: status.Settled, Outstanding: status.Outstanding,
	}
}

// read asks the leader, wherever it is, and decodes its answer.
func (n *Node) read(ctx context.Context, question readQuestion, into proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	last := errNoLeader
	for {
		answer, err := n.readOnce(ctx, question)
		if err == nil {
			return proto.Unmarshal(answer.Message, into)
		}
		if ctx.Err() == nil {
			last = err
		}
		if !pause.For(ctx, retryPause) {
			return operatorError(fmt.Errorf("reading committed state: %w", last))
		}
	}
}

func (n *Node) readOnce(ctx context.Context, question readQuestion) (readAnswer, error) {
	leader := n.leader()
	switch leader {
	case "":
		return readAnswer{}, errNoLeader
	case n.name:
		return n.readHere(ctx, question)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return callNode[readAnswer](ctx, n, leader, peer.MethodRead, &question)
}

// GetCatalog implements the schema's GetCatalog.
func (o *operatorServer) GetCatalog(ctx context.Context, _ *connect.Request[ravenwayv1.GetCatalogRequest]) (*connect.Response[ravenwayv1.GetCatalogResponse], error) {
	answer := &ravenwayv1.GetCatalogResponse{}
	if err := o.node.read(ctx, readQuestion{Kind: readCatalog}, answer); err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

// GetBudgets implements the schema's GetBudgets.
func (o *operatorServer) GetBudgets(ctx context.Context, request *connect.Request[ravenwayv1.GetBudgetsRequest]) (*connect.Response[ravenwayv1.GetBudgetsResponse], error) {
	answer := &ravenwayv1.GetBudgetsResponse{}
	if err := o.node.read(ctx, readQuestion{Kind: readBudgets, Name: request.Msg.GetBudget()}, answer); err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

// TopUpBudget implements the schema's TopUpBudget.
func (o *operatorServer) TopUpBudget(ctx context.Context, request *connect.Request[ravenwayv1.TopUpBudgetRequest]) (*connect.Response[ravenwayv1.BudgetChangeResponse], error) {
	return o.changeBudget(ctx, request.Msg.GetOperationId(), &machine.BudgetCommand{Budget: request.Msg.GetBudget(), TopUp: request.Msg.GetTokens()})
}

// LowerBudget implements the schema's LowerBudget. Unused grants are recalled
// first, so that what nobody uses does not stand in the way.
func (o *operatorServer) LowerBudget(ctx context.Context, request *connect.Request[ravenwayv1.LowerBudgetRequest]) (*connect.Response[ravenwayv1.BudgetChangeResponse], error) {
	command := &machine.BudgetCommand{Budget: request.Msg.GetBudget(), Lower: request.Msg.GetTokens()}
	if err := o.node.recallBudget(ctx, command.Budget); err != nil {
		return nil, operatorError(err)
	}
	pause.For(ctx, lowerRecallPause)
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
	answer := &ravenwayv1.BudgetChangeResponse{Refused: result.Refused}
	if status := result.Budget; status != nil {
		answer.Status = &ravenwayv1.BudgetStatus{
			Budget: status.Budget, Limit: status.Limit, Settled: status.Settled, Outstanding: status.Outstanding,
		}
	}
	return connect.NewResponse(answer), nil
}

// GetStatus implements the schema's GetStatus.
func (o *operatorServer) GetStatus(context.Context, *connect.Request[ravenwayv1.GetStatusRequest]) (*connect.Response[ravenwayv1.GetStatusResponse], error) {
	n := o.node
	answer := &ravenwayv1.GetStatusResponse{Node: n.name, Leader: n.leader(), Revision: n.view.Load().revision}
	if n.replica != nil {
		view := n.replica.shared.Load()
		answer.Term, answer.CommitIndex = view.term, view.commit
		if view.leading {
			answer.Voters = uint32(len(view.configuration.Voters()))
			answer.CaughtUpVoters = uint32(view.caughtUpVoters)
		}
		answer.QuorumAgeMilliseconds = uint64(view.quorumSilence.Milliseconds())
	}
	for _, member := range n.pool.Nodes() {
		status, age, found := n.fleet.heard(member.Name)
		if member.Name == n.name {
			status, age, found = n.status(), 0, true
		}
		entry := &ravenwayv1.NodeStatus{Name: member.Name, Zone: member.Zone, Control: n.peers[member.Name].Control}
		entry.Leader = member.Name == answer.Leader
		if found {
			entry.Incarnation, entry.Revision, entry.Stopping = status.Incarnation, status.Revision, status.Stopping
			entry.SilentMilliseconds = uint64(age.Milliseconds())
		} else {
			entry.SilentMilliseconds = uint64(n.now().Milliseconds())
		}
		answer.Nodes = append(answer.Nodes, entry)
	}
	return connect.NewResponse(answer), nil
}

// Explain implements the schema's Explain: it asks every node, since any may
// have decided.
func (o *operatorServer) Explain(ctx context.Context, request *connect.Request[ravenwayv1.ExplainRequest]) (*connect.Response[ravenwayv1.ExplainResponse], error) {
	n := o.node
	id := request.Msg.GetRequestId()
	if own := n.decisions.explain(id); len(own) > 0 {
		return connect.NewResponse(&ravenwayv1.ExplainResponse{Node: n.name, Decisions: own}), nil
	}
	for _, member := range n.pool.Nodes() {
		if member.Name == n.name || !n.fleet.alive(member.Name) {
			continue
		}
		asking, cancel := context.WithTimeout(ctx, time.Second)
		found, err := callNode[[]string](asking, n, member.Name, peer.MethodExplain, &explainQuestion{RequestID: id})
		cancel()
		if err == nil && len(found) > 0 {
			return connect.NewResponse(&ravenwayv1.ExplainResponse{Node: member.Name, Decisions: found}), nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no node that answers remembers request %q", id))
}

// OrderRollout implements the schema's OrderRollout: versions are rolled out in fleets whose
// engines register themselves.
func (o *operatorServer) OrderRollout(context.Context, *connect.Request[ravenwayv1.OrderRolloutRequest]) (*connect.Response[ravenwayv1.OrderRolloutResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("rollouts need fleet.dialect in the settings"))
}

// OrderZone implements the schema's OrderZone: zones are evacuated in fleets whose
// members find each other from seeds.
func (o *operatorServer) OrderZone(context.Context, *connect.Request[ravenwayv1.OrderZoneRequest]) (*connect.Response[ravenwayv1.OrderZoneResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("a fleet of fixed peers has no evacuation; drain its back ends one by one"))
}

// errNoQuarantine says that nothing is held against requests here.
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

// GetPauses implements the schema's GetPauses.
func (o *operatorServer) GetPauses(ctx context.Context, _ *connect.Request[ravenwayv1.GetPausesRequest]) (*connect.Response[ravenwayv1.GetPausesResponse], error) {
	paused, err := o.node.backends.paused(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	answer := &ravenwayv1.GetPausesResponse{}
	for _, one := range paused {
		answer.Pauses = append(answer.Pauses, &ravenwayv1.InstancePause{
			Instance: one.Name, Service: one.Service, Zone: one.Zone, Phase: backoff.Paused.String(),
			LeftMilliseconds: one.Left.Milliseconds(), InFlight: uint32(one.InFlight),
		})
	}
	return connect.NewResponse(answer), nil
}

// Snapshot implements the schema's Snapshot.
func (o *operatorServer) Snapshot(ctx context.Context, _ *connect.Request[ravenwayv1.SnapshotRequest]) (*connect.Response[ravenwayv1.SnapshotResponse], error) {
	if o.node.replica == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("this node holds no replica; ask a control node"))
	}
	type ended struct {
		index uint64
		err   error
	}
	done, err := duty.Call(ctx, o.node.replica.duty, func(answer func(ended)) {
		err := o.node.replica.replica.SaveSnapshot()
		answer(ended{index: o.node.replica.replica.SnapshotIndex(), err: err})
	})
	if err = errors.Join(err, done.err); err != nil {
		return nil, operatorError(err)
	}
	return connect.NewResponse(&ravenwayv1.SnapshotResponse{Index: done.index}), nil
}

// Order implements the schema's Order.
func (o *operatorServer) Order(ctx context.Context, request *connect.Request[ravenwayv1.OrderRequest]) (*connect.Response[ravenwayv1.OrderResponse], error) {
	message := request.Msg
	if message.GetKind() == ravenwayv1.OrderKind_ORDER_KIND_UNSPECIFIED || message.GetTarget() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("kind and target are needed"))
	}
	result, err := o.node.propose(ctx, machine.Command{OperationID: operationID(message.GetOperationId()), Order: &machine.OrderCommand{
		Backend: message.GetBackend(), Kind: message.GetKind(), Target: message.GetTarget(), Version: message.GetVersion(),
	}})
	if err != nil {
		return nil, operatorError(err)
	}
	answer := &ravenwayv1.OrderResponse{Refused: result.Refused}
	if result.Order != nil {
		answer.Status = orderStatus(*result.Order)
	}
	return connect.NewResponse(answer), nil
}

// GetOrders implements the schema's GetOrders.
func (o *operatorServer) GetOrders(ctx context.Context, _ *connect.Request[ravenwayv1.GetOrdersRequest]) (*connect.Response[ravenwayv1.GetOrdersResponse], error) {
	answer := &ravenwayv1.GetOrdersResponse{}
	if err := o.node.read(ctx, readQuestion{Kind: readOrders}, answer); err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

func orderStatus(order machine.OrderRecord) *ravenwayv1.OrderStatus {
	return &ravenwayv1.OrderStatus{
		Fence: order.Fence, Backend: order.Order.Backend, Kind: order.Order.Kind, Target: order.Order.Target,
		Version: order.Order.Version, State: string(order.State), Detail: order.Detail,
	}
}
