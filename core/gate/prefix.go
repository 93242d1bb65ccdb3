package gate

import "slices"

// maxPrefixes bounds the prompt prefixes that are remembered.
const maxPrefixes = 1024

// Prefixes is the prompt prefixes that an engine is believed to hold in its
// cache. It is a hint: events of the engine come late and with gaps, and the
// engine evicts as it likes.
type Prefixes struct {
	// hashes is in order of use, the latest last.
	hashes []uint64
}

// Use notes that the engine has just worked with a prefix, or says so. Hash 0
// means no prefix.
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

// Evict notes that the engine has dropped a prefix.
func (p *Prefixes) Evict(hash uint64) {
	if at := slices.Index(p.hashes, hash); at >= 0 {
		p.hashes = slices.Delete(p.hashes, at, at+1)
	}
}

// Has tells whether the engine is believed to hold a prefix.
func (p *Prefixes) Has(hash uint64) bool {
	return hash != 0 && slices.Contains(p.hashes, hash)
}
