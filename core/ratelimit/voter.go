package ratelimit

import "time"

const (
	// VoteInterval is how often a gateway renews its votes.
	VoteInterval = 400 * time.Millisecond
	// VoteTTL is how long a coordinator counts a vote. It allows for one renewal that is lost or late.
	VoteTTL = 1200 * time.Millisecond
	// voteDelay bounds the time that a vote takes to the coordinator, which counts it from its arrival.
	voteDelay = 300 * time.Millisecond
)

// Voter decides which coordinator gets a gateway's vote on one service. Its zero value has given no vote.
// It is not safe for concurrent use.
type Voter struct {
	// holder is the coordinator that may count the vote until the time lapses.
	holder string
	lapses time.Duration
}

// Vote reports whether the gateway may give or renew its vote to a coordinator now, and records that it
// does. While another coordinator may still count the vote, it may not.
func (v *Voter) Vote(now time.Duration, coordinator string) bool {
	if v.holder != coordinator && now < v.lapses {
		return false
	}
	v.holder, v.lapses = coordinator, now+VoteTTL+voteDelay
	return true
}

// Released records that a coordinator no longer counts the vote.
func (v *Voter) Released(coordinator string) {
	if v.holder == coordinator {
		*v = Voter{}
	}
}

// Free reports whether no coordinator counts the vote.
func (v *Voter) Free(now time.Duration) bool { return now >= v.lapses }
