package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"acaciawinch/standin/platformfleet"
)

// crashBody is the body of the request that crashes workers.
const crashBody = "ends each worker that runs it"

// crashPrefix begins the ids of the attempts of that request.
const crashPrefix = "crash-"

// Bounds of the time between its attempts.
const (
	shortestCrashGap = 50 * time.Millisecond
	longestCrashGap  = 500 * time.Millisecond
)

// crashRoutes are the routes that the request may use; the safe route is left out because a GET has no
// body.
var crashRoutes = []string{unsafeRoute, streamingRoute}

// sendCrashing sends the request that crashes workers repeatedly until ctx ends, each attempt with
// its own id on a new connection to a random gateway.
func (s *soak) sendCrashing(ctx context.Context, gateways []string) {
	random := rand.New(rand.NewPCG(s.options.Seed, 0xc4a5))
	route := crashRoutes[random.IntN(len(crashRoutes))]
	sleep(ctx, between(random, 0, faultsFor))
	for sent := 0; ctx.Err() == nil; sent++ {
		c := &client{random: random, gateways: gateways, report: s.record, gateway: random.IntN(len(gateways))}
		c.send(ctx, Outcome{ID: fmt.Sprintf("%s%d", crashPrefix, sent), Route: route, Key: platformfleet.Key, RequestBody: crashBody})
		c.close()
		sleep(ctx, between(random, shortestCrashGap, longestCrashGap))
	}
}
