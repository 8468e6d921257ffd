// Package ranker orders nodes for a key by rendezvous hashing, so that every
// process computes the same order and the loss of a node moves only the keys of
// that node.
package ranker

import (
	"hash/fnv"
	"sort"
)

// score hashes a node and a key. FNV-1a alone gives similar names similar
// hashes, so its result goes through the 64-bit finalizer of MurmurHash3.
func score(key, node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Rank returns how many nodes come before the given one for the key.
func Rank(key, node string, nodes []string) int {
	own := score(key, node)
	rank := 0
	for _, other := range nodes {
		if s := score(key, other); s > own || s == own && other < node {
			rank++
		}
	}
	return rank
}

// Top returns the first n nodes for the key.
func Top(key string, nodes []string, n int) []string {
	sorted := append([]string(nil), nodes...)
	sort.Slice(sorted, func(i, j int) bool {
		a, b := score(key, sorted[i]), score(key, sorted[j])
		if a != b {
			return a > b
		}
		return sorted[i] < sorted[j]
	})
	return sorted[:min(n, len(sorted))]
}
