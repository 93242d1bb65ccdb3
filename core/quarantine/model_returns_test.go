package quarantine

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// copied is a copy of the store's content.
type copied struct {
	store        map[string]Record
	trials       map[string]*grant
	reservations map[string]reservation
}

// copyStore takes a copy of the store, to which the store returns some seconds later after it was
// unavailable for a moment.
func (m *model) copyStore() {
	kept := copied{store: maps.Clone(m.store), trials: make(map[string]*grant, len(m.trials)), reservations: maps.Clone(m.reservations)}
	for name, claim := range m.trials {
		clone := *claim
		kept.trials[name] = &clone
	}
	m.schedule(0, 3*time.Second, func() {
		m.storeDownUntil = max(m.storeDownUntil, m.now+300*time.Millisecond+time.Duration(m.random.Int64N(int64(2200*time.Millisecond))))
		m.storeUpSince = m.storeDownUntil
		m.store, m.trials, m.reservations = kept.store, kept.trials, kept.reservations
		m.era++
		for _, g := range m.gateways {
			g.learnEra(g.incarnation, m.era)
		}
	})
}

// learnEra lets the gateway learn of an era and list the records, as soon as the store responds.
func (g *gateway) learnEra(incarnation int, era int64) {
	g.schedule(5*time.Millisecond, 500*time.Millisecond, func() {
		switch {
		case g.incarnation != incarnation || g.model.era != era || g.era == era:
		case !g.storeUp():
			g.learnEra(incarnation, era)
		default:
			g.enterEra(era)
		}
	})
}

// enterEra lists the records of a new era.
func (g *gateway) enterEra(era int64) {
	g.hearEra()
	g.era = era
	if !g.noKeep {
		g.state.EraChanged(era, time.Duration(g.random.Int64N(int64(50*time.Millisecond))))
	}
	g.state.Reset(maps.Clone(g.store), g.now)
	g.write()
}

// holdsTrials reports whether the store has returned too recently for a trial.
func (g *gateway) holdsTrials() bool {
	return g.returns && !g.noEras && g.now < g.heardAt+reservationTTL
}

// maySend reports whether a trial may still be sent to the incarnation that is reserved for it. In courses
// without returns the next incarnation of an upstream that ends meanwhile takes it.
func (g *gateway) maySend(a *attempt, reserved string) bool {
	if !g.returns {
		return true
	}
	present := g.noEras || g.heard == a.reservedIn && !g.holdsTrials()
	return present && g.incarnationName(a.upstream) == reserved
}

// hearEra records the era of a response of the store.
func (g *gateway) hearEra() {
	if g.heard != g.model.era {
		g.heard, g.heardAt = g.model.era, g.now
	}
}

// TestPromisesHoldWhenTheStoreReturnsFromOlderCopies simulates a store that loses records, trials and
// reservations.
func TestPromisesHoldWhenTheStoreReturnsFromOlderCopies(t *testing.T) {
	assertPromises(t, 150, func(seed uint64) *model {
		return newMixedModel(seed, variant{identify: identity, returns: true})
	})
}

// TestAnInnocentRequestIsFreedAfterTheStoreReturned: a trial is claimed before its gateway knows of crashes
// that another one reported late, and is never sent.
func TestAnInnocentRequestIsFreedAfterTheStoreReturned(t *testing.T) {
	const seed = 476
	m := newMixedModel(seed, variant{identify: identity, returns: true})
	m.simulate()
	assert.Equal(t, m.violation(), "", "seed %d", seed)
}
