// Package pairhash hashes two strings together. Rendezvous hashing weighs names with it, and
// requests are told apart by it; nodes of all builds must come to the same values.
package pairhash

import "github.com/cespare/xxhash/v2"

// Of is the hash of two strings with a zero byte between them.
func Of(first, second string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(first)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(second)
	return digest.Sum64()
}
