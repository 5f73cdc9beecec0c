package quarantine

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFingerprintDependsOnPathCallerAndBody(t *testing.T) {
	scope := ScopeOf("host/path", "caller")
	same := FingerprintOf(scope, []byte("body"))
	assert.Equal(t, FingerprintOf(ScopeOf("host/path", "caller"), []byte("body")), same)
	for _, other := range []Fingerprint{
		FingerprintOf(scope, []byte("Body")), FingerprintOf(scope, []byte("body ")),
		FingerprintOf(ScopeOf("host/other", "caller"), []byte("body")),
		FingerprintOf(ScopeOf("host/path", "other"), []byte("body")),
		FingerprintOf(ScopeOf("host/pathc", "aller"), []byte("body")),
	} {
		assert.Assert(t, other != same)
	}
}

func TestFingerprintIsParsedFromItsText(t *testing.T) {
	made := FingerprintOf(ScopeOf("host/path", "caller"), []byte("body"))
	read, err := ParseFingerprint(made.String())
	assert.NilError(t, err)
	assert.Equal(t, read, made)
	for _, text := range []string{"", "12", made.String() + "00", "g" + made.String()[1:]} {
		_, err := ParseFingerprint(text)
		assert.ErrorIs(t, err, ErrFingerprint)
	}
}

// Bodies of usual sizes and the largest one that a deployment accepts.
func BenchmarkFingerprint(b *testing.B) {
	for _, length := range []int{4 << 10, 64 << 10, 4 << 20} {
		b.Run(fmt.Sprintf("%dKB", length>>10), func(b *testing.B) {
			body := bytes.Repeat([]byte("x"), length)
			for b.Loop() {
				FingerprintOf(ScopeOf("ficu95.example/lohu930/2f", "hule930"), body)
			}
		})
	}
}
