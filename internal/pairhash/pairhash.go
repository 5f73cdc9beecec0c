// Package pairhash hashes pairs of strings. Rendezvous hashing ranks names by the hashes, and
// requests are identified by them. Nodes of all builds must compute the same values.
package pairhash

import "github.com/cespare/xxhash/v2"

// Of returns the 64-bit xxHash of two strings with a zero byte between them.
func Of(first, second string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(first)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(second)
	return digest.Sum64()
}
