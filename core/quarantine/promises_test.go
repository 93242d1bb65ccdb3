package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fingerprint"
)

// violation returns the invariant that a run of the model violated, empty if none.
func (m *model) violation() string {
	if m.mergeError != "" {
		return m.mergeError
	}
	for _, request := range []fingerprint.Fingerprint{crashing, regressed} {
		if m.lateSends[request] > allowedLateSends {
			return fmt.Sprintf("sent %d times after the bound, %d crashes in total, proven before: %t", m.lateSends[request], len(m.crashes[request]), request == regressed)
		}
	}
	return m.refusalError
}

// checkMerged notes a gateway whose active crashes are not all reported crashes without the cleared
// ones.
func (m *model) checkMerged() {
	for _, g := range m.gateways {
		want := make(map[Crash]bool)
		for _, record := range append(slices.Collect(maps.Values(g.state.records)), g.state.own) {
			for _, crash := range record.Crashes {
				want[crash] = true
			}
		}
		maps.Copy(want, g.state.unconfirmed)
		for _, record := range append(slices.Collect(maps.Values(g.state.records)), g.state.own) {
			for _, crash := range record.Cleared {
				delete(want, crash)
			}
		}
		got := make(map[Crash]bool)
		for _, crashes := range g.state.merged.byRequest {
			for _, crash := range crashes {
				got[crash] = true
			}
		}
		if !maps.Equal(want, got) {
			m.mergeError = fmt.Sprintf("%s counts %d crashes, the records hold %d", g.name, len(got), len(want))
		}
	}
}

// checkRefused notes a gateway that still refuses the popular request.
func (m *model) checkRefused() {
	for _, g := range m.gateways {
		if g.state.Judge(popular, m.now).Refused {
			m.refusalError = "a request that crashes nothing is still refused by " + g.name
		}
	}
}

// identity identifies requests as the real gateways do.
func identity(request fingerprint.Fingerprint, _ int) fingerprint.Fingerprint { return request }

func TestASeedGivesTheSameRun(t *testing.T) {
	for seed := range uint64(20) {
		first, second := newModel(seed, variant{identify: identity}), newModel(seed, variant{identify: identity})
		first.simulate()
		second.simulate()
		assert.DeepEqual(t, first.crashes, second.crashes)
		assert.Equal(t, first.attempts, second.attempts)
	}
}

// TestCrashesOfARequestAreBoundedAndOtherRequestsRecover simulates a fleet whose gateways restart
// and lose a store that fails at times, while upstreams also crash together for other reasons.
func TestCrashesOfARequestAreBoundedAndOtherRequestsRecover(t *testing.T) {
	for seed := range uint64(300) {
		m := newModel(seed, variant{identify: identity})
		m.simulate()
		assert.Equal(t, m.violation(), "", "seed %d", seed)
	}
}

// TestCrashesOfAProvenRequestAreBoundedAfterARelease checks the same bound for a request that
// begins to crash upstreams after it has completed before, as after a release.
func TestCrashesOfAProvenRequestAreBoundedAfterARelease(t *testing.T) {
	for seed := range uint64(1000) {
		m := newModel(seed, variant{identify: identity})
		m.simulate()
		assert.Assert(t, m.lateSends[regressed] <= allowedLateSends, "seed %d: sent %d times after the bound, %d crashes in total", seed, m.lateSends[regressed], len(m.crashes[regressed]))
	}
}

// TestTheModelFindsPlantedFaults: the model detects each planted fault within 300 seeds.
func TestTheModelFindsPlantedFaults(t *testing.T) {
	byAttempt := func(_ fingerprint.Fingerprint, attempt int) fingerprint.Fingerprint { return req(fmt.Sprint(attempt)) }
	for name, v := range map[string]variant{
		"attempts are not recognised":              {identify: byAttempt},
		"gateways publish no records":              {identify: identity, noPublish: true},
		"a restarted gateway drops its own record": {identify: identity, noAdopt: true},
		"gateways make trials without the store":   {identify: identity, noTrialClaim: true},
		"nothing is cleared":                       {identify: identity, noClear: true},
	} {
		found := ""
		for seed := uint64(0); seed < 300 && found == ""; seed++ {
			m := newModel(seed, v)
			m.simulate()
			found = m.violation()
		}
		assert.Assert(t, found != "", name)
		t.Log(name+":", found)
	}
}
