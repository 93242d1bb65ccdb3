package gate

import "slices"

// maxPrefixes bounds the number of prompt prefixes that are remembered.
const maxPrefixes = 1024

// Prefixes is the set of prompt prefixes that an engine is believed to have in its
// cache. It is only a hint: the engine's events arrive late and incompletely, and the
// engine evicts prefixes at its own discretion.
type Prefixes struct {
	// hashes is in order of use, the most recent last.
	hashes []uint64
}

// Use records that the engine has used a prefix or reported it as cached. A hash of 0
// stands for no prefix.
func (p *Prefixes) Use(hash uint64) {
	if hash == 0 {
		return
	}
	p.Evict(hash)
	if len(p.hashes) == maxPrefixes {
		p.hashes = slices.Delete(p.hashes, 0, 1)
	}
	p.hashes = append(p.hashes, hash)
}

// Evict records that the engine has evicted a prefix.
func (p *Prefixes) Evict(hash uint64) {
	if i := slices.Index(p.hashes, hash); i >= 0 {
		p.hashes = slices.Delete(p.hashes, i, i+1)
	}
}

// Has reports whether the engine is believed to have a prefix in its cache.
func (p *Prefixes) Has(hash uint64) bool {
	return hash != 0 && slices.Contains(p.hashes, hash)
}
