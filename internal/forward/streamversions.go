package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/streamversion"
	"github.com/ravenway/ravenway/internal/state/document"
)

// Errors of StreamVersions.Find.
var (
	// ErrStreamUnknown means that no node knows on which version a stream began.
	ErrStreamUnknown = errors.New("forward: no node knows on which version the stream began")
	// ErrStreamNotConfirmed means that nodes which may know on which version a stream began were not asked
	// or did not respond.
	ErrStreamNotConfirmed = errors.New("forward: it is not confirmed on which version the stream began")
)

// StreamQuery describes a stream that its caller takes up again.
type StreamQuery struct {
	// Tenant is the name of the caller's tenant, "" without one, and Attempt the ID of the caller's
	// attempt that brought the stream's first event, "" if the caller names none.
	Tenant, Attempt string
	// Services are the services that may serve the request.
	Services []string
	// Lifetime is how long streams of the route are remembered.
	Lifetime time.Duration
}

// FoundStream is the origin of a stream that its caller takes up again.
type FoundStream struct {
	streamversion.Origin
	// Source is what the origin is known from, Node the address of the node that knew it, if another
	// one did, and Age the time since that node learned it.
	Source StreamSource
	Node   string
	Age    time.Duration
}

// StreamSource is what the origin of a stream is known from.
type StreamSource string

// Sources of origins.
const (
	// OwnRecord: this node has a record of the stream.
	OwnRecord StreamSource = "own_record"
	// HolderRecord: another node has a record of the stream.
	HolderRecord StreamSource = "holder_record"
	// OnlyVersion: the service has had one version for longer than any stream lasts.
	OnlyVersion StreamSource = "only_version"
)

// StreamVersions keeps on which version each resumable stream began, across all nodes.
type StreamVersions interface {
	// Began records the origin of a stream whose first event is about to be relayed. It does not wait.
	Began(record streamversion.Record)
	// Find returns the origin of a stream. The errors are ErrStreamUnknown, ErrStreamNotConfirmed and
	// the context's.
	Find(ctx context.Context, query StreamQuery) (FoundStream, error)
	// KnowsInstances reports whether this node has had the complete list of instances since its start. Before, it can't
	// tell that no instance runs a version.
	KnowsInstances() bool
}

type noStreamVersions struct{}

func (noStreamVersions) Began(streamversion.Record) {}

func (noStreamVersions) Find(context.Context, StreamQuery) (FoundStream, error) {
	return FoundStream{}, ErrStreamUnknown
}

func (noStreamVersions) KnowsInstances() bool { return true }

// streamBound is the version that a stream is bound to. A stream that has no event yet is bound to
// none: an attempt that ends before its first event leaves nothing that could not be joined.
type streamBound struct {
	balance.VersionBound
	// began is the instance that sent the stream's first event to this node.
	began registry.Instance
	// resumed is the origin of a stream that the caller takes up again.
	resumed FoundStream
	// isUnconfirmed is set while the instance may have restarted with another version before the stream
	// began there. The stream is not recorded yet.
	isUnconfirmed bool
	// hasTwoOrigins is set once the instance turned out to run another version than its heartbeats
	// named. The stream is recorded with both.
	hasTwoOrigins bool
}

// isTakenUp reports whether the caller takes up a stream of which it has events.
func (r *request) isTakenUp() bool {
	return r.route.Kind == document.Stream && r.call.LastEvent != ""
}

// findStream binds a stream that its caller takes up again to the version that began it. A stream
// whose version is not known is refused.
func (r *request) findStream(ctx context.Context) *Refusal {
	if !r.isTakenUp() {
		return nil
	}
	query := StreamQuery{Tenant: r.tenantName(), Attempt: r.call.Resumes, Lifetime: streamversion.Lifetime(r.route.Timeout)}
	for _, target := range r.route.Targets {
		query.Services = append(query.Services, target.Service)
	}
	found, err := r.pipeline.options.StreamVersions.Find(ctx, query)
	switch {
	case err == nil && !slices.Contains(query.Services, found.Service):
		err = fmt.Errorf("the stream began at service %q, which the route no longer has", found.Service)
		return r.refuseStream(ReasonVersionGone, err)
	case errors.Is(err, ErrStreamNotConfirmed):
		return r.refuseStream(ReasonVersionNotConfirmed, err)
	case err != nil:
		return r.refuseStream(ReasonVersionUnknown, err)
	}
	r.stream.VersionBound, r.stream.resumed = balance.BindVersion(found.Version), found
	return nil
}

func (r *request) refuseStream(reason Reason, err error) *Refusal {
	refused := refuse(http.StatusServiceUnavailable, reason)
	refused.Detail = err.Error()
	return refused
}

func (r *request) tenantName() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}

// bindStream binds a stream to the version of the instance that sends its first event, and records
// the origin before the event is relayed. If the instance may have restarted, the record is made at a
// later event, once it is certain that it has not. It reports whether the stream was recorded.
func (r *request) bindStream(sender registry.Instance) (isRecorded bool) {
	isFirst := r.stream.began.ID == ""
	if !isFirst && !r.stream.isUnconfirmed {
		return false
	}
	if isFirst {
		r.stream.VersionBound, r.stream.began = balance.BindVersion(sender.Version), sender
	}
	r.stream.isUnconfirmed = r.pipeline.options.Table.IsVersionDoubtful(r.pipeline.options.Environment.Now(), r.stream.began.Incarnation())
	if r.stream.isUnconfirmed {
		return false
	}
	r.recordStream(r.stream.began)
	return true
}

// recordSecondOrigin records a second origin of a stream whose sender runs another version than was believed,
// so that no node joins it.
func (r *request) recordSecondOrigin(sender registry.Instance) {
	version, isCertain := r.pipeline.options.Table.RunVersion(sender)
	if isCertain || r.stream.hasTwoOrigins {
		return
	}
	r.stream.hasTwoOrigins = true
	sender.Version = version
	r.recordStream(sender)
}

// isContinuedAt reports whether an instance continues a stream that began elsewhere.
func (r *request) isContinuedAt(sender registry.Instance) bool {
	return r.isTakenUp() || sender.ID != r.stream.began.ID
}

// recordStream records on which version the stream began, under the caller's attempt that brought its
// first event.
func (r *request) recordStream(sender registry.Instance) {
	attempt := r.call.ID
	if r.isTakenUp() {
		attempt = r.call.Resumes
	}
	if !r.route.Resumable || attempt == "" {
		return
	}
	tenant := r.tenantName()
	r.pipeline.options.StreamVersions.Began(streamversion.Record{
		Key: streamversion.KeyOf(tenant, attempt), Owner: streamversion.OwnerOf(tenant), Lifetime: streamversion.Lifetime(r.route.Timeout),
		Origin: streamversion.Origin{Service: sender.Service, Version: sender.Version},
	})
}

// isStreamVersionCertain reports whether the version that began the stream is known for certain.
func (r *request) isStreamVersionCertain() bool {
	if r.stream.began.ID == "" {
		return true
	}
	_, isCertain := r.pipeline.options.Table.RunVersion(r.stream.began)
	return isCertain && !r.stream.isUnconfirmed && !r.stream.hasTwoOrigins
}
