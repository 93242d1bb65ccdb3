package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fingerprint"
)

// broke returns what a model's course broke, empty if nothing.
func (m *model) broke() string {
	if m.wrong != "" {
		return m.wrong
	}
	for _, request := range []fingerprint.Fingerprint{crashing, turned} {
		if m.later[request] > allowedLater {
			return fmt.Sprintf("sent %d times more, %d crashes in all, ran well before: %t", m.later[request], len(m.crashes[request]), request == turned)
		}
	}
	return m.refused
}

// lookAtMerged notes a gateway whose crashes that count are not all that somebody tells of without all that
// somebody has cleared.
func (m *model) lookAtMerged() {
	for _, g := range m.gateways {
		wanted := make(map[Crash]bool)
		for _, record := range append(slices.Collect(maps.Values(g.book.records)), g.book.own) {
			for _, crash := range record.Crashes {
				wanted[crash] = true
			}
		}
		maps.Copy(wanted, g.book.unconfirmed)
		for _, record := range append(slices.Collect(maps.Values(g.book.records)), g.book.own) {
			for _, crash := range record.Cleared {
				delete(wanted, crash)
			}
		}
		found := make(map[Crash]bool)
		for _, crashes := range g.book.merged.suspects {
			for _, crash := range crashes {
				found[crash] = true
			}
		}
		if !maps.Equal(wanted, found) {
			m.wrong = fmt.Sprintf("%s counts %d crashes, the records say %d", g.name, len(found), len(wanted))
		}
	}
}

// lookForRefused notes a gateway that still refuses the popular request.
func (m *model) lookForRefused() {
	for _, g := range m.gateways {
		if g.book.Judge(popular, m.now).Refused {
			m.refused = "an innocent request is still refused by " + g.name
		}
	}
}

// asItIs identifies requests as the real gateways do.
func asItIs(request fingerprint.Fingerprint, _ int) fingerprint.Fingerprint { return request }

// TestASeedGivesTheSameCourse.
func TestASeedGivesTheSameCourse(t *testing.T) {
	for seed := range uint64(20) {
		first, second := newModel(seed, variant{identify: asItIs}), newModel(seed, variant{identify: asItIs})
		first.play()
		second.play()
		assert.DeepEqual(t, first.crashes, second.crashes)
		assert.Equal(t, first.number, second.number)
	}
}

// TestARequestThatCrashesUpstreamsIsBoundedAndOthersAreSpared plays random courses of a fleet whose
// gateways restart and are cut off from a store that goes away, while upstreams also crash
// together for other reasons.
func TestARequestThatCrashesUpstreamsIsBoundedAndOthersAreSpared(t *testing.T) {
	for seed := range uint64(300) {
		m := newModel(seed, variant{identify: asItIs})
		m.play()
		assert.Equal(t, m.broke(), "", "seed %d", seed)
	}
}

// TestARequestThatCrashesUpstreamsSinceAReleaseIsBounded holds one that ran well before to the same bound.
func TestARequestThatCrashesUpstreamsSinceAReleaseIsBounded(t *testing.T) {
	for seed := range uint64(1000) {
		m := newModel(seed, variant{identify: asItIs})
		m.play()
		assert.Assert(t, m.later[turned] <= allowedLater, "seed %d: sent %d times more, %d crashes in all", seed, m.later[turned], len(m.crashes[turned]))
	}
}

// TestTheModelFindsPlantedFaults: each way to get it wrong shows within a few seeds.
func TestTheModelFindsPlantedFaults(t *testing.T) {
	byAttempt := func(_ fingerprint.Fingerprint, attempt int) fingerprint.Fingerprint { return of(fmt.Sprint(attempt)) }
	for name, v := range map[string]variant{
		"attempts are not recognised":          {identify: byAttempt},
		"gateways tell each other nothing":     {identify: asItIs, mute: true},
		"a start forgets the own record":       {identify: asItIs, forgetful: true},
		"each gateway makes trials of its own": {identify: asItIs, free: true},
		"nothing is cleared":                   {identify: asItIs, stubborn: true},
	} {
		found := ""
		for seed := uint64(0); seed < 300 && found == ""; seed++ {
			m := newModel(seed, v)
			m.play()
			found = m.broke()
		}
		assert.Assert(t, found != "", name)
		t.Log(name+":", found)
	}
}
