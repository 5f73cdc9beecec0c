package pairhash

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// Earlier builds choose homes and name requests by these values.
func TestValuesAreThoseOfEarlierBuilds(t *testing.T) {
	assert.Equal(t, Of("part", "i-1"), xxhash.Sum64String("part\x00i-1"))
	assert.Assert(t, Of("ab", "c") != Of("a", "bc"))
}
