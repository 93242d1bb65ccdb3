package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"acaciawinch/standin/platformfleet"
)

// crashBody is the body of the request under which workers crash.
const crashBody = "ends each worker that runs it"

// crashPrefix begins the ids of its attempts.
const crashPrefix = "crash-"

// Pauses between its attempts.
const (
	shortestCrashGap = 50 * time.Millisecond
	longestCrashGap  = 500 * time.Millisecond
)

// crashRoutes are the routes that it may have; a GET has no body.
var crashRoutes = []string{unsafeRoute, streamingRoute}

// sendCrashing sends one request under which workers crash again and again, each attempt with an id
// of its own on a new connection to any gateway, until ctx ends.
func (s *soak) sendCrashing(ctx context.Context, doors []string) {
	random := rand.New(rand.NewPCG(s.options.Seed, 0xc4a5))
	route := crashRoutes[random.IntN(len(crashRoutes))]
	sleep(ctx, between(random, 0, faultsFor))
	for sent := 0; ctx.Err() == nil; sent++ {
		c := &client{random: random, gateways: doors, report: s.take, at: random.IntN(len(doors))}
		c.send(ctx, Outcome{ID: fmt.Sprintf("%s%d", crashPrefix, sent), Route: route, Key: platformfleet.Key, Asked: crashBody})
		c.close()
		sleep(ctx, between(random, shortestCrashGap, longestCrashGap))
	}
}
