package forward

import (
	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// streamBound is the version that a stream is bound to. A stream that has no event yet is bound to
// none: an attempt that ends before its first event leaves nothing that could not be joined.
type streamBound struct {
	balance.VersionBound
	// began is the instance that sent the stream's first event to this node.
	began registry.Instance
}

// bindStream binds a stream to the version of the instance that sent its first event.
func (r *request) bindStream(sender registry.Instance) {
	if !r.stream.IsBound {
		r.stream = streamBound{VersionBound: balance.BindVersion(sender.Version), began: sender}
	}
}

// isStreamVersionCertain reports whether the version that began the stream is known for certain.
func (r *request) isStreamVersionCertain() bool {
	return r.stream.began.ID == "" || r.pipeline.options.Table.IsVersionCertain(r.stream.began)
}
