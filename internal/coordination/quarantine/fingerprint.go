package quarantine

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/pairhash"
)

// Fingerprint identifies what may crash engines: a request, or a part of prompts.
//
// A request has the same fingerprint regardless of its id, node, connection or key: two requests
// have the same one if path, caller and body are the same. A part of prompts has the same
// fingerprint in all requests of a caller for a model. A caller that made two of its own requests
// collide would harm only itself, so a fast hash without collision resistance suffices.
type Fingerprint struct {
	// Scope is the hash of the path and the caller, or of the model and the caller.
	Scope uint64 `msgpack:"s"`
	// Length is the length of the body in bytes, or partLength.
	Length uint64 `msgpack:"l"`
	// Body is the hash of the body, or of the part's ID.
	Body uint64 `msgpack:"b"`
}

// partLength marks the fingerprint of a part of prompts: no body is as long.
const partLength = math.MaxUint64

// ScopeOf returns the hash of what is known of a request before its body: the target with its
// host, and the caller's name.
func ScopeOf(target, caller string) uint64 { return pairhash.Of(target, caller) }

// FingerprintOf returns the fingerprint of a request with a scope and a body.
func FingerprintOf(scope uint64, body []byte) Fingerprint {
	return Fingerprint{Scope: scope, Length: uint64(len(body)), Body: xxhash.Sum64(body)}
}

// PartScopeOf returns the scope of the parts of a caller's prompts for a model. Parts of different
// callers have different fingerprints, so that no caller can bring another one's part into
// quarantine.
func PartScopeOf(model, caller string) uint64 { return pairhash.Of(model, caller) }

// PartFingerprintOf returns the fingerprint of a part of prompts.
func PartFingerprintOf(scope uint64, id string) Fingerprint {
	return Fingerprint{Scope: scope, Length: partLength, Body: xxhash.Sum64String(id)}
}

// IsPart reports whether the fingerprint is that of a part of prompts.
func (f Fingerprint) IsPart() bool { return f.Length == partLength }

// hash returns a hash of the fingerprint.
func (f Fingerprint) hash() uint64 {
	var encoded [fingerprintBytes]byte
	return xxhash.Sum64(f.appendTo(encoded[:0]))
}

// fingerprintBytes is the length of a fingerprint's binary form.
const fingerprintBytes = 24

// String returns the hexadecimal form by which logs and operators identify a request.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f.appendTo(make([]byte, 0, fingerprintBytes)))
}

func (f Fingerprint) appendTo(encoded []byte) []byte {
	encoded = binary.BigEndian.AppendUint64(encoded, f.Scope)
	encoded = binary.BigEndian.AppendUint64(encoded, f.Length)
	return binary.BigEndian.AppendUint64(encoded, f.Body)
}

// ErrFingerprint reports a text that is not a fingerprint.
var ErrFingerprint = errors.New("quarantine: a fingerprint has 48 hexadecimal digits")

// ParseFingerprint parses the form that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != fingerprintBytes {
		return Fingerprint{}, fmt.Errorf("%w: %q", ErrFingerprint, text)
	}
	return Fingerprint{
		Scope: binary.BigEndian.Uint64(decoded), Length: binary.BigEndian.Uint64(decoded[8:]), Body: binary.BigEndian.Uint64(decoded[16:]),
	}, nil
}
