package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/api/ravenway/v1/ravenwayv1connect"
	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/operator"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/document"
	"github.com/ravenway/ravenway/internal/state/machine"
)

// operatorServer serves operators' requests to a node. Configurations are changed as whole
// documents through the control listener, so the schema's methods that change single objects are
// not served here.
type operatorServer struct {
	ravenwayv1connect.UnimplementedOperatorServiceHandler
	node *Node
}

// operatorHandler serves operators; a token is required if the options have one.
func (n *Node) operatorHandler() http.Handler {
	_, handler := ravenwayv1connect.NewOperatorServiceHandler(&operatorServer{node: n})
	return operator.RequireToken(n.options.OperatorToken, handler)
}

// GetStatus implements the schema's GetStatus: the fleet as this node sees it.
func (o *operatorServer) GetStatus(context.Context, *connect.Request[ravenwayv1.GetStatusRequest]) (*connect.Response[ravenwayv1.GetStatusResponse], error) {
	node := o.node
	current := node.settings.Load()
	view := node.fleet.view.Load()
	response := &ravenwayv1.GetStatusResponse{
		Node: current.Node.Name, Leader: node.leader(), Revision: node.documents.version(),
	}
	zones := node.zones.current()
	response.EvacuatedZones, response.EvacuationRevision = zones.Names, zones.Revision
	for _, one := range node.rollouts.current().Rollouts {
		response.Rollouts = append(response.Rollouts, &ravenwayv1.Rollout{
			Service: one.Service, Version: one.Version, DurationMilliseconds: uint64(one.Duration.Milliseconds()),
			Stage: one.Stage.String(), Reason: one.Reason, Revision: one.Revision,
		})
	}
	if node.replica != nil {
		replica := node.replica.shared.Load()
		response.Term, response.QuorumAgeMilliseconds = replica.term, uint64(replica.quorumAge.Milliseconds())
		response.Voters, response.CaughtUpVoters = uint32(replica.voters), uint32(replica.caughtUpVoters)
		response.LogVersion, response.NewestLogVersion = uint32(replica.logVersion), uint32(machine.OwnLogVersion)
		response.LogVersionWaitsFor = replica.waitsFor
	}
	response.Nodes = append(response.Nodes, &ravenwayv1.NodeStatus{
		Name: current.Node.Name, Zone: current.Node.Zone, Control: node.replica != nil,
		Leader: node.address == response.Leader, Revision: response.Revision, Stopping: node.isStopping(),
		EvacuationRevision: zones.Revision, Dialect: uint32(peer.OwnProtocol), Build: node.options.Build,
		LogVersion: response.GetNewestLogVersion(),
	})
	for _, known := range view.alive {
		response.Nodes = append(response.Nodes, &ravenwayv1.NodeStatus{
			Name: known.Node, Zone: known.Zone, Control: known.Control, Leader: known.Address == response.Leader,
			Revision: known.Version, SilentMilliseconds: uint64((node.now() - known.ReceivedAt).Milliseconds()), Stopping: known.Stopping,
			EvacuationRevision: known.Evacuated.Revision, Dialect: uint32(known.ProtocolVersion), Build: known.Build, LogVersion: known.LogVersion,
		})
	}
	return connect.NewResponse(response), nil
}

// OrderRollout implements the schema's OrderRollout at any node that knows a leader.
func (o *operatorServer) OrderRollout(ctx context.Context, request *connect.Request[ravenwayv1.OrderRolloutRequest]) (*connect.Response[ravenwayv1.OrderRolloutResponse], error) {
	duration := time.Duration(request.Msg.GetDurationMilliseconds()) * time.Millisecond
	order := RolloutOrder{Service: request.Msg.GetService(), Version: request.Msg.GetVersion(), Duration: duration, LastRollout: request.Msg.LastOrder}
	err := o.node.OrderRollout(ctx, order)
	var condition *ConditionError
	switch {
	case err == nil:
		return connect.NewResponse(&ravenwayv1.OrderRolloutResponse{}), nil
	case errors.As(err, &condition):
		return nil, describeCondition(condition)
	case errors.Is(err, ErrUnknownService):
		return nil, connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, ErrRolloutDuration):
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, ErrRolloutInProgress), errors.Is(err, ErrVersionAlreadyRunning):
		return nil, connect.NewError(connect.CodeAlreadyExists, err)
	case errors.Is(err, ErrOtherRollout):
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return nil, connect.NewError(connect.CodeUnavailable, err)
}

// OrderZone implements the schema's OrderZone at any node.
func (o *operatorServer) OrderZone(ctx context.Context, request *connect.Request[ravenwayv1.OrderZoneRequest]) (*connect.Response[ravenwayv1.OrderZoneResponse], error) {
	order := ZoneOrder{Zone: request.Msg.GetZone(), Evacuated: request.Msg.GetEvacuated(), LastOrder: request.Msg.LastOrder}
	zones, err := o.node.OrderZone(ctx, order)
	var condition *ConditionError
	switch {
	case errors.As(err, &condition):
		return nil, describeCondition(condition)
	case errors.Is(err, ErrUnknownZone):
		return nil, connect.NewError(connect.CodeNotFound, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&ravenwayv1.OrderZoneResponse{EvacuatedZones: zones.Names, EvacuationRevision: zones.Revision}), nil
}

// GetCatalog implements the schema's GetCatalog: the document in effect on this node, with the
// registered instances. API keys are omitted.
func (o *operatorServer) GetCatalog(ctx context.Context, _ *connect.Request[ravenwayv1.GetCatalogRequest]) (*connect.Response[ravenwayv1.GetCatalogResponse], error) {
	index := o.node.documents.index.Load()
	if index == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no configuration is in force here yet"))
	}
	backends, err := duty.Call(ctx, o.node.fleet.duty, func(respond func([]*ravenwayv1.Backend)) { respond(o.node.fleet.describeInstances()) })
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&ravenwayv1.GetCatalogResponse{
		Revision: index.Document.Version, Catalog: describeDocument(index.Document, backends),
	}), nil
}

// describeInstances lists the live instances as the schema's back ends.
func (f *fleetDuty) describeInstances() []*ravenwayv1.Backend {
	var backends []*ravenwayv1.Backend
	for _, instance := range f.registry.Live() {
		backends = append(backends, &ravenwayv1.Backend{
			Name: instance.ID, Service: instance.Service, Zone: instance.Zone, Address: instance.Address,
			Capacity: uint32(max(0, instance.Slots)), Draining: !instance.AcceptsWork(),
		})
	}
	return backends
}

func describeDocument(configuration *document.Document, backends []*ravenwayv1.Backend) *ravenwayv1.CatalogDocument {
	described := &ravenwayv1.CatalogDocument{Backends: backends}
	for _, tenant := range configuration.Tenants {
		described.Tenants = append(described.Tenants, &ravenwayv1.Tenant{Name: tenant.Name, DefaultBudget: tenant.Name})
		if tenant.HasPrepaid {
			described.Budgets = append(described.Budgets, &ravenwayv1.Budget{Name: tenant.Name, Tenant: tenant.Name})
		}
	}
	for _, service := range configuration.Services {
		kind := ravenwayv1.ServiceKind_SERVICE_KIND_PLAIN
		if service.Slots > 0 {
			kind = ravenwayv1.ServiceKind_SERVICE_KIND_ENGINE
		}
		described.Services = append(described.Services, &ravenwayv1.Service{Name: service.Name, Kind: kind})
	}
	for _, route := range configuration.Routes {
		for _, target := range route.Targets {
			described.Routes = append(described.Routes, &ravenwayv1.Route{
				Name: route.Name, PathPrefix: route.Host + route.Prefix, Service: target.Service,
			})
		}
	}
	return described
}

// GetBudgets implements the schema's GetBudgets on control nodes: the accounts
// as this replica has applied them.
func (o *operatorServer) GetBudgets(ctx context.Context, request *connect.Request[ravenwayv1.GetBudgetsRequest]) (*connect.Response[ravenwayv1.GetBudgetsResponse], error) {
	wanted := request.Msg.GetBudget()
	budgets, err := o.node.Budgets(ctx, wanted)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if wanted != "" && len(budgets) == 0 {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("budget %q does not exist", wanted))
	}
	return connect.NewResponse(&ravenwayv1.GetBudgetsResponse{Budgets: budgets}), nil
}

// Budgets returns the budget of the wanted name, or all budgets if it is empty, as this node's
// replica has applied their accounts.
func (n *Node) Budgets(ctx context.Context, wanted string) ([]*ravenwayv1.BudgetStatus, error) {
	if n.replica == nil {
		return nil, errors.New("this node holds no accounts; ask a control node")
	}
	return duty.Call(ctx, n.replica.duty, func(respond func([]*ravenwayv1.BudgetStatus)) { respond(n.replica.describeBudgets(wanted)) })
}

func (r *replicaDuty) describeBudgets(wanted string) []*ravenwayv1.BudgetStatus {
	var described []*ravenwayv1.BudgetStatus
	for _, name := range r.machine.Accounts().Names() {
		if wanted != "" && name != wanted {
			continue
		}
		budget := r.machine.Accounts().Budget(name)
		described = append(described, &ravenwayv1.BudgetStatus{
			Budget: name, Tenant: name, Limit: budget.Limit, Settled: budget.Settled(), Outstanding: budget.Outstanding(),
			EndedAllowed: budget.CrashCharges.Allowed, EndedPaced: budget.CrashCharges.Paced, EndedWhole: budget.CrashCharges.WholeGrants,
		})
	}
	return described
}

// Explain implements the schema's Explain: what this node decided on a request.
func (o *operatorServer) Explain(_ context.Context, request *connect.Request[ravenwayv1.ExplainRequest]) (*connect.Response[ravenwayv1.ExplainResponse], error) {
	response := &ravenwayv1.ExplainResponse{Node: o.node.settings.Load().Node.Name}
	if o.node.decisions != nil {
		response.Decisions = o.node.decisions.Explain(request.Msg.GetRequestId())
	}
	return connect.NewResponse(response), nil
}

// GetQuarantine implements the schema's GetQuarantine.
func (o *operatorServer) GetQuarantine(ctx context.Context, _ *connect.Request[ravenwayv1.GetQuarantineRequest]) (*connect.Response[ravenwayv1.GetQuarantineResponse], error) {
	summaries, err := o.node.quarantine.summaries(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &ravenwayv1.GetQuarantineResponse{}
	for _, one := range summaries {
		response.Requests = append(response.Requests, describeSummary(one))
	}
	return connect.NewResponse(response), nil
}

// errNoLimits means that a node tracks no rate limits of instances.
var errNoLimits = errors.New("only entry nodes know the limits that instances name")

// GetLimits implements the schema's GetLimits.
func (o *operatorServer) GetLimits(context.Context, *connect.Request[ravenwayv1.GetLimitsRequest]) (*connect.Response[ravenwayv1.GetLimitsResponse], error) {
	if o.node.limits == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNoLimits)
	}
	response := &ravenwayv1.GetLimitsResponse{}
	now := o.node.now()
	for _, one := range o.node.limits.limits.List(now) {
		described := &ravenwayv1.InstanceLimit{
			Instance: one.Incarnation.String(), RequestsPerSecond: one.PerSecond, AgeMilliseconds: one.Age.Milliseconds(),
			NextPermitMilliseconds: one.Wait.Milliseconds(), Pressure: one.Pressure,
		}
		if instance, isKnown := o.node.table.Instance(one.Incarnation); isKnown {
			described.Service, described.Zone = instance.Service, instance.Zone
			described.Holder = o.node.limits.limits.Issuer(now, one.Incarnation.ID, instance.Zone)
		}
		response.Limits = append(response.Limits, described)
	}
	return connect.NewResponse(response), nil
}

// errNoPauses means that a node sends no requests to instances.
var errNoPauses = errors.New("only entry nodes are asked for pauses by instances")

// GetPauses implements the schema's GetPauses.
func (o *operatorServer) GetPauses(context.Context, *connect.Request[ravenwayv1.GetPausesRequest]) (*connect.Response[ravenwayv1.GetPausesResponse], error) {
	if o.node.backoff == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNoPauses)
	}
	response := &ravenwayv1.GetPausesResponse{}
	for _, one := range o.node.backoff.tracker.List(o.node.now()) {
		described := &ravenwayv1.InstancePause{
			Instance: one.Incarnation.String(), Phase: one.Status.Phase.String(), AskedMilliseconds: one.Requested.Milliseconds(),
			LeftMilliseconds: one.Status.Wait.Milliseconds(), Request: one.RequestID, Answers: uint32(one.Responses),
			InFlight: uint32(o.node.table.InFlight(one.Incarnation)),
		}
		if instance, isKnown := o.node.table.Instance(one.Incarnation); isKnown {
			described.Service, described.Zone = instance.Service, instance.Zone
		}
		response.Pauses = append(response.Pauses, described)
	}
	return connect.NewResponse(response), nil
}

// GetStreams implements the schema's GetStreams.
func (o *operatorServer) GetStreams(context.Context, *connect.Request[ravenwayv1.GetStreamsRequest]) (*connect.Response[ravenwayv1.GetStreamsResponse], error) {
	offered := o.node.table.ListedVersions()
	response := &ravenwayv1.GetStreamsResponse{}
	for _, origin := range o.node.streams.store.List() {
		version := balance.ServiceVersion{Service: origin.Service, Version: origin.Version}
		response.Versions = append(response.Versions, &ravenwayv1.StreamVersion{
			Service: origin.Service, Version: origin.Version, Streams: uint32(origin.Streams), Instances: uint32(offered[version]),
		})
		delete(offered, version)
	}
	for version, instances := range offered {
		response.Versions = append(response.Versions, &ravenwayv1.StreamVersion{Service: version.Service, Version: version.Version, Instances: uint32(instances)})
	}
	slices.SortFunc(response.Versions, func(a, b *ravenwayv1.StreamVersion) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
	_, response.Dropped = o.node.streams.store.Count()
	return connect.NewResponse(response), nil
}

// errNoPaths means that a node connects to no engines.
var errNoPaths = errors.New("only entry nodes connect to engines")

// GetPaths implements the schema's GetPaths.
func (o *operatorServer) GetPaths(context.Context, *connect.Request[ravenwayv1.GetPathsRequest]) (*connect.Response[ravenwayv1.GetPathsResponse], error) {
	if o.node.paths == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNoPaths)
	}
	now, paths := o.node.now(), o.node.paths
	lasting, isLost := paths.tracker.Loss(now)
	response := &ravenwayv1.GetPathsResponse{Lost: isLost, Isolated: paths.IsIsolated(), RelayedForOthers: uint32(o.node.relays.active.Load())}
	if isLost {
		response.LostMilliseconds = lasting.Milliseconds()
	}
	for _, state := range paths.tracker.List(now) {
		described := &ravenwayv1.EnginePath{
			Address: state.Address, LastAttempt: state.Outcome.String(), AgeMilliseconds: state.Age.Milliseconds(), HoldMilliseconds: state.Hold.Milliseconds(),
		}
		if state.IsUnreachable {
			described.UnreachableMilliseconds = state.Since.Milliseconds()
		}
		if instance, isKnown := o.node.table.InstanceAt(state.Address); isKnown {
			described.Instance, described.Service = instance.ID, instance.Service
		}
		response.Engines = append(response.Engines, described)
	}
	for node, connections := range paths.peers.Relaying() {
		response.Relays = append(response.Relays, &ravenwayv1.RelayUse{Node: node, Connections: uint32(connections)})
	}
	slices.SortFunc(response.Relays, func(a, b *ravenwayv1.RelayUse) int { return cmp.Compare(a.GetNode(), b.GetNode()) })
	return connect.NewResponse(response), nil
}

// errNoReservations means that a node coordinates no reservations.
var errNoReservations = errors.New("only entry nodes coordinate the reservations of prompts")

// GetReservations implements the schema's GetReservations.
func (o *operatorServer) GetReservations(context.Context, *connect.Request[ravenwayv1.GetReservationsRequest]) (*connect.Response[ravenwayv1.GetReservationsResponse], error) {
	if o.node.prompts == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNoReservations)
	}
	response := &ravenwayv1.GetReservationsResponse{}
	for _, one := range o.node.prompts.ledger.List(o.node.now()) {
		described := &ravenwayv1.InstanceBacklog{
			Instance: one.Incarnation.String(), Tokens: int64(one.Tokens), Prompts: uint32(one.Prompts), OldestMilliseconds: one.Oldest.Milliseconds(),
		}
		if instance, isKnown := o.node.table.Instance(one.Incarnation); isKnown {
			described.Service, described.Zone = instance.Service, instance.Zone
		}
		response.Instances = append(response.Instances, described)
	}
	return connect.NewResponse(response), nil
}

func describeSummary(one quarantine.Summary) *ravenwayv1.HeldRequest {
	described := &ravenwayv1.HeldRequest{
		Fingerprint: one.Fingerprint.String(), Route: one.Route, Tenant: one.Tenant, Quarantined: one.IsQuarantined,
		CountedEnds: uint32(one.Counted), Generation: one.Generation,
	}
	for _, crash := range one.Crashes {
		described.Ends = append(described.Ends, &ravenwayv1.EngineEnd{
			Engine: crash.Incarnation.String(), AgeMilliseconds: uint64(crash.Age.Milliseconds()), Suspicion: crash.Suspicion.String(),
		})
	}
	return described
}

// ReleaseQuarantined implements the schema's ReleaseQuarantined at any node.
func (o *operatorServer) ReleaseQuarantined(ctx context.Context, request *connect.Request[ravenwayv1.ReleaseQuarantinedRequest]) (*connect.Response[ravenwayv1.ReleaseQuarantinedResponse], error) {
	fingerprint, err := quarantine.ParseFingerprint(request.Msg.GetFingerprint())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	switch err := o.node.quarantine.release(ctx, fingerprint); {
	case errors.Is(err, ErrNotRecorded):
		return nil, connect.NewError(connect.CodeNotFound, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&ravenwayv1.ReleaseQuarantinedResponse{}), nil
}
