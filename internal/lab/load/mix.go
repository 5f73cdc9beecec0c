package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Kind is a kind of request in the mixes.
type Kind string

// Kinds of requests.
const (
	// KindLong is a completion with a long document in its prompt and batch priority.
	KindLong Kind = "long"
	// KindShort is a short completion with urgent priority.
	KindShort Kind = "short"
	// KindRead reads from a plain service.
	KindRead Kind = "view"
	// KindWrite changes the state of a plain service; it must not run twice.
	KindWrite Kind = "act"
)

// Tenant is one source of load.
type Tenant struct {
	Name   string
	APIKey string
	// Share is the tenant's part of the load relative to other tenants.
	Share int
}

// Mix describes a deployment's load.
type Mix struct {
	Tenants []Tenant
	Model   string
	// PlainPrefix is the route of the plain service.
	PlainPrefix string
	// Shares are the shares of the kinds in percent.
	Shares map[Kind]int
	// Documents are shared prefixes of long prompts, which many requests repeat.
	Documents []string
}

// kindOrder fixes the order in which kinds are drawn, so that a seed always gives the same load.
var kindOrder = []Kind{KindLong, KindShort, KindRead, KindWrite}

// NewMix returns the default mix: long completions over shared documents, short urgent completions,
// and plain calls.
func NewMix(tenants []Tenant, model, plainPrefix string, random *rand.Rand) Mix {
	mix := Mix{
		Tenants: tenants, Model: model, PlainPrefix: plainPrefix,
		Shares: map[Kind]int{KindLong: 20, KindShort: 40, KindRead: 30, KindWrite: 10},
	}
	for range 20 {
		mix.Documents = append(mix.Documents, randomText(random, 2048+random.IntN(4096)))
	}
	return mix
}

func randomText(random *rand.Rand, length int) string {
	var text strings.Builder
	for text.Len() < length {
		fmt.Fprintf(&text, "%08x ", random.Uint32())
	}
	return text.String()[:length]
}

// Draw returns a random request; number makes its idempotency key unique.
func (m Mix) Draw(random *rand.Rand, number int) Request {
	tenant := m.drawTenant(random)
	drawn := Request{Tenant: tenant.Name, APIKey: tenant.APIKey, Key: fmt.Sprintf("load-%d-%x", number, random.Uint64()), Kind: m.drawKind(random)}
	switch drawn.Kind {
	case KindLong:
		drawn.Model, drawn.Priority, drawn.Deadline = m.Model, "batch", 2*time.Minute
		drawn.Prompt = m.Documents[random.IntN(len(m.Documents))] + randomText(random, 200)
		drawn.MaxTokens = 100 + random.Uint64N(200)
	case KindShort:
		drawn.Model, drawn.Priority, drawn.Deadline = m.Model, "urgent", 20*time.Second
		drawn.Prompt = randomText(random, 100+random.IntN(200))
		drawn.MaxTokens = 16 + random.Uint64N(32)
	case KindRead:
		drawn.Method, drawn.Path = http.MethodGet, fmt.Sprintf("%s/case/%d", m.PlainPrefix, random.IntN(1000))
	case KindWrite:
		drawn.Method, drawn.Path = http.MethodPost, m.PlainPrefix+"/acknowledge"
		drawn.Body = randomText(random, 64)
	}
	return drawn
}

func (m Mix) drawTenant(random *rand.Rand) Tenant {
	total := 0
	for _, tenant := range m.Tenants {
		total += tenant.Share
	}
	drawn := random.IntN(total)
	for _, tenant := range m.Tenants {
		if drawn -= tenant.Share; drawn < 0 {
			return tenant
		}
	}
	return m.Tenants[0]
}

func (m Mix) drawKind(random *rand.Rand) Kind {
	drawn := random.IntN(100)
	for _, kind := range kindOrder {
		if drawn -= m.Shares[kind]; drawn < 0 {
			return kind
		}
	}
	return KindRead
}
