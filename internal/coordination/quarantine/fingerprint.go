package quarantine

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/pairhash"
)

// Fingerprint names a request whatever its id, its node, its connection or its key:
// two requests have the same one if path, caller and body are the same. A caller that
// made two of its own requests collide would harm only itself, so a fast hash will do.
type Fingerprint struct {
	// Scope covers the path and the caller.
	Scope uint64 `msgpack:"s"`
	// Length is that of the body in bytes.
	Length uint64 `msgpack:"l"`
	// Body covers the body.
	Body uint64 `msgpack:"b"`
}

// ScopeOf covers what is known of a request before its body: the target with its
// host, and the caller's name.
func ScopeOf(target, caller string) uint64 { return pairhash.Of(target, caller) }

// FingerprintOf names a request.
func FingerprintOf(scope uint64, body []byte) Fingerprint {
	return Fingerprint{Scope: scope, Length: uint64(len(body)), Body: xxhash.Sum64(body)}
}

// fingerprintBytes is the length of a fingerprint's encoded form.
const fingerprintBytes = 24

// String returns the form that operators and logs name a request by.
func (f Fingerprint) String() string {
	encoded := make([]byte, 0, fingerprintBytes)
	encoded = binary.BigEndian.AppendUint64(encoded, f.Scope)
	encoded = binary.BigEndian.AppendUint64(encoded, f.Length)
	encoded = binary.BigEndian.AppendUint64(encoded, f.Body)
	return hex.EncodeToString(encoded)
}

// ErrFingerprint says that a text is no fingerprint.
var ErrFingerprint = errors.New("quarantine: a fingerprint has 48 hexadecimal digits")

// ParseFingerprint reads what String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != fingerprintBytes {
		return Fingerprint{}, fmt.Errorf("%w: %q", ErrFingerprint, text)
	}
	return Fingerprint{
		Scope: binary.BigEndian.Uint64(decoded), Length: binary.BigEndian.Uint64(decoded[8:]), Body: binary.BigEndian.Uint64(decoded[16:]),
	}, nil
}
