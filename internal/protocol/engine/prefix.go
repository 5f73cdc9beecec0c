package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of the blocks in which engines cache prompts, in bytes.
const PrefixBlockBytes = 256

// PrefixBlocks returns the chained hash of a prompt up to the end of each complete block: equal
// hashes mean equal prefixes.
func PrefixBlocks(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	var previous uint64
	digest := xxhash.New()
	for start := 0; start+PrefixBlockBytes <= len(prompt); start += PrefixBlockBytes {
		digest.Reset()
		var chained [8]byte
		binary.BigEndian.PutUint64(chained[:], previous)
		_, _ = digest.Write(chained[:])
		_, _ = digest.WriteString(prompt[start : start+PrefixBlockBytes])
		previous = digest.Sum64()
		blocks = append(blocks, previous)
	}
	return blocks
}
