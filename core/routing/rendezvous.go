package routing

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core/rendezvous"
)

// boundFactor is how far above the mean the pending work of an upstream may be before the
// work of a prefix goes to the next upstream of its ranking.
const boundFactor = 1.25

// prefixKey returns the hash of all that determines where a prompt prefix is cached.
func prefixKey(q Query) uint64 {
	d := xxhash.New()
	for _, part := range []string{q.Service, q.Model.Name, q.Model.Version} {
		_, _ = d.WriteString(part) // hash writes never fail
		_, _ = d.Write([]byte{0})  // hash writes never fail
	}
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], q.Prefix)
	_, _ = d.Write(prefix[:]) // hash writes never fail
	return d.Sum64()
}

// rank orders upstreams by their rendezvous score for key, highest first. All entries
// compute the same order, and removing an upstream moves only the keys for which it ranked
// first.
func rank(key uint64, upstreams []Upstream) []Upstream {
	type scored struct {
		score    uint64
		upstream Upstream
	}
	list := make([]scored, len(upstreams))
	for i, upstream := range upstreams {
		list[i] = scored{score: rendezvous.Score(key, upstream.hash), upstream: upstream}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	ranked := make([]Upstream, len(list))
	for i, s := range list {
		ranked[i] = s.upstream
	}
	return ranked
}

// loadBound returns the most work that one upstream may have after accepting one more item,
// where total is the work of count upstreams before that. At least one upstream is always
// below the bound, because it is above the mean.
func loadBound(total float64, count int) float64 {
	return math.Ceil(boundFactor * (total + 1) / float64(max(1, count)))
}

// firstWithin returns the first upstreams of a ranking, at most n, whose work including one
// more item stays within bound.
func firstWithin(ranked []Upstream, n int, bound float64, work func(Upstream) float64) []Upstream {
	var within []Upstream
	for _, upstream := range ranked {
		if len(within) == n {
			break
		}
		if work(upstream)+1 <= bound {
			within = append(within, upstream)
		}
	}
	return within
}
