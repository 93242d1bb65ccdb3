// Package rendezvous scores names for keys by highest random weight: all processes compute the same
// order without communication, and a name that is removed moves only the keys for which it ranked
// first.
package rendezvous

import "hash/fnv"

// Hash returns the hash of a key or a name.
func Hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash never fails to write
	return h.Sum64()
}

// Score returns the score of a name for a key, both given by their hashes.
func Score(key, name uint64) uint64 { return mix(key ^ name) }

// mix spreads the bits of x evenly (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
