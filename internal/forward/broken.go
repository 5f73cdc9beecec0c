package forward

import (
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/quarantine"
)

// brokenRun is a run at an instance that ended without a whole answer.
type brokenRun struct {
	choice balance.Choice
	// answered tells that its answer had begun, answeredFor since when.
	answered    bool
	answeredFor time.Duration
}

// broken describes the exchange's run as it breaks.
func (e *exchange) broken(choice balance.Choice) brokenRun {
	return brokenRun{choice: choice, answered: true, answeredFor: time.Since(e.answeredAt)}
}

// String describes it for the decision log.
func (b brokenRun) String() string {
	if !b.answered {
		return "no answer had begun"
	}
	return fmt.Sprintf("its answer had begun %d ms before", b.answeredFor.Milliseconds())
}

// fingerprintOf names the request whatever its id is. The body is hashed only for a
// request that a decision needs it of.
func (r *request) fingerprintOf() quarantine.Fingerprint {
	if r.fingerprint == nil {
		made := quarantine.FingerprintOf(quarantine.ScopeOf(r.incoming.Host+r.incoming.RequestURI, r.identity()), r.body)
		r.fingerprint = &made
	}
	return *r.fingerprint
}

// identity is whose request it is as far as a return of it says the same again: the
// tenant's name, or nothing. A machine's address may change between two returns.
func (r *request) identity() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}
