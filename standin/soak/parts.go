package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"acaciawinch/standin/platformfleet"
	"acaciawinch/standin/worker"
)

// badPart begins the IDs of the parts of prompts that crash engines; a number follows.
const badPart = "bad"

// partPrefix begins the ids of the requests with such a part; the number of the part follows.
const partPrefix = "part-"

// partCrashAfter is the time from the start of a run with a bad part to the crash.
const partCrashAfter = 20 * time.Millisecond

// sharedDocuments is the number of middle parts that sound requests share.
const sharedDocuments = 4

// soundPrompt returns the parts of the prompt of a sound request: all share the first one, some the second one, and the
// last one is its own.
func soundPrompt(id string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // a hash never fails to write
	own := hash.Sum32()
	return fmt.Sprintf("aa:100,d%d:50,%x:20", own%sharedDocuments, own)
}

// crashParts returns the parts that crash engines in a run with a number of them.
func crashParts(count int) []worker.CrashPart {
	var parts []worker.CrashPart
	for number := range count {
		parts = append(parts, worker.CrashPart{ID: fmt.Sprint(badPart, number), InTen: 10, Runs: new(atomic.Int64), After: partCrashAfter})
	}
	return parts
}

// sendBadParts sends requests with a bad part until ctx ends, no two alike, each on a new connection to a random gateway.
func (s *soak) sendBadParts(ctx context.Context, gateways []string, number int) {
	random := rand.New(rand.NewPCG(s.options.Seed, 0xbad0+uint64(number)))
	sleep(ctx, between(random, 0, faultsFor/2))
	for sent := 0; ctx.Err() == nil; sent++ {
		id := fmt.Sprintf("%s%d-%d", partPrefix, number, sent)
		c := &client{random: random, gateways: gateways, report: s.record, gateway: random.IntN(len(gateways))}
		c.send(ctx, Outcome{ID: id, Route: streamingRoute, Key: platformfleet.Key, RequestBody: id,
			Prompt: fmt.Sprintf("aa:100,%s%d:50,%x:20", badPart, number, sent)})
		c.close()
		sleep(ctx, between(random, shortestCrashGap, longestCrashGap))
	}
}
