package quarantine

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/pairhash"
)

// Fingerprint identifies a request regardless of its id, node, connection or key: two requests
// have the same fingerprint if path, caller and body are the same. A caller that made two of
// its own requests collide would harm only itself, so a fast hash without collision resistance
// suffices.
type Fingerprint struct {
	// Scope is the hash of the path and the caller.
	Scope uint64 `msgpack:"s"`
	// Length is the length of the body in bytes.
	Length uint64 `msgpack:"l"`
	// Body is the hash of the body.
	Body uint64 `msgpack:"b"`
}

// ScopeOf returns the hash of what is known of a request before its body: the target with its
// host, and the caller's name.
func ScopeOf(target, caller string) uint64 { return pairhash.Of(target, caller) }

// FingerprintOf returns the fingerprint of a request with a scope and a body.
func FingerprintOf(scope uint64, body []byte) Fingerprint {
	return Fingerprint{Scope: scope, Length: uint64(len(body)), Body: xxhash.Sum64(body)}
}

// fingerprintBytes is the length of a fingerprint's binary form.
const fingerprintBytes = 24

// String returns the hexadecimal form by which logs and operators identify a request.
func (f Fingerprint) String() string {
	encoded := make([]byte, 0, fingerprintBytes)
	encoded = binary.BigEndian.AppendUint64(encoded, f.Scope)
	encoded = binary.BigEndian.AppendUint64(encoded, f.Length)
	encoded = binary.BigEndian.AppendUint64(encoded, f.Body)
	return hex.EncodeToString(encoded)
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
