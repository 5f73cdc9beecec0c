package pairhash

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// Guards against values that differ from those of earlier builds, which select homes and identify
// requests by them.
func TestHashesMatchThoseOfEarlierBuilds(t *testing.T) {
	assert.Equal(t, Of("part", "i-1"), xxhash.Sum64String("part\x00i-1"))
	assert.Assert(t, Of("ab", "c") != Of("a", "bc"))
}
