// Package ranker orders nodes for a key by rendezvous hashing, so that every
// process finds the same order and a lost node moves only its own keys.
package ranker

import (
	"hash/fnv"
	"sort"
)

// score mixes the hash of a node and a key; FNV alone leaves near names close.
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

// Rank returns how many nodes come before node for the key.
func Rank(key, node string, nodes []string) int {
	mine := score(key, node)
	rank := 0
	for _, other := range nodes {
		if s := score(key, other); s > mine || s == mine && other < node {
			rank++
		}
	}
	return rank
}

// Top returns the first n nodes for the key.
func Top(key string, nodes []string, n int) []string {
	list := append([]string(nil), nodes...)
	sort.Slice(list, func(i, j int) bool {
		a, b := score(key, list[i]), score(key, list[j])
		if a != b {
			return a > b
		}
		return list[i] < list[j]
	})
	return list[:min(n, len(list))]
}
