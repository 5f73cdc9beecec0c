package pairhash

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// Guards against hashes that differ from those of earlier builds: nodes of different builds would
// rank names and identify requests differently.
func TestHashesMatchThoseOfEarlierBuilds(t *testing.T) {
	assert.Equal(t, Of("part", "i-1"), xxhash.Sum64String("part\x00i-1"))
	assert.Assert(t, Of("ab", "c") != Of("a", "bc"))
}
