package streamversion

import (
	"time"
)

// directed returns a world of five gateways in three zones that know one version.
func directed(without part) *world {
	w := newWorld(1, 5, without)
	w.now += inTouchAfter
	w.learnAll()
	return w
}

// learnAll lets all gateways learn all that they can.
func (w *world) learnAll() {
	for range 10 {
		w.now += modelTick
		for _, g := range w.gateways {
			w.learnAt(g, true)
		}
	}
}

// addVersion makes half of the upstreams those of another version.
func (w *world) addVersion() {
	for _, u := range w.upstreams[:len(w.upstreams)/2] {
		u.version = "v2"
	}
}

// beginMany begins streams at all gateways.
func (w *world) beginMany() {
	for range 100 {
		w.beginStream()
	}
}

// takeUpAll takes all streams up.
func (w *world) takeUpAll() {
	w.now += inTouchAfter
	for _, s := range w.streams {
		w.takeUp(s)
	}
}

// loseThree ends three of the five gateways: a zone and one more.
func (w *world) loseThree() {
	for _, place := range []int{0, 3, 1} {
		w.restart(place, false)
		w.gateways[place].frozenUntil = w.now + time.Minute // it takes long to start
	}
}

// restartAll restarts all gateways as planned, one after the other.
func restartAll(w *world) {
	w.addVersion()
	w.learnAll()
	w.beginMany()
	for place := range w.gateways {
		w.restart(place, true)
		w.learnAll()
	}
	w.takeUpAll()
}

// loseThreeOfFive ends three gateways while two versions serve.
func loseThreeOfFive(w *world) {
	w.addVersion()
	w.learnAll()
	w.beginMany()
	w.loseThree()
	w.takeUpAll()
}

// loseFourOfFive ends all gateways but one while two versions serve.
func loseFourOfFive(w *world) {
	w.addVersion()
	w.learnAll()
	w.beginMany()
	w.loseThree()
	w.restart(2, false)
	w.gateways[2].frozenUntil = w.now + time.Minute
	w.takeUpAll()
}

// changeThenLose ends three gateways after another version has come.
func changeThenLose(w *world) {
	w.beginMany()
	w.addVersion()
	w.learnAll()
	w.loseThree()
	w.takeUpAll()
}

// loseWhileOneServes ends three gateways while one version serves.
func loseWhileOneServes(w *world) {
	w.beginMany()
	w.loseThree()
	w.takeUpAll()
}

// staleReader takes streams up at a gateway that was cut from the store right before another version came.
func staleReader(w *world) {
	cut := w.gateways[4]
	cut.cutUntil = w.now + time.Minute
	w.addVersion()
	w.learnAll()
	w.beginMany()
	for _, s := range w.streams {
		w.takeUpAt(cut, s)
	}
}

// versionReturns lets one gateway list a version that comes back, when another one has found that the register may
// settle. Then all gateways but one end.
func versionReturns(w *world) {
	w.addVersion()
	w.learnAll()
	old := w.upstreams[len(w.upstreams)/2:]
	for _, u := range old {
		u.listed = false
	}
	late := w.gateways[0]
	for range int(modelCalm / calmStep) {
		w.now += calmStep
		for _, g := range w.gateways {
			g.lastWord = w.now
			g.state.Confirmed(w.now)
			g.versions = w.listedVersions()
			g.state.Listed(w.now, g.versions)
			if g != late && g.state.NeedsSync(w.now) {
				w.sync(g)
			}
		}
	}
	for _, u := range old {
		u.listed = true
	}
	late.versions = w.listedVersions()
	late.state.Listed(w.now, late.versions)
	for range 400 {
		w.beginStream()
	}
	for place := range 4 {
		w.restart(place, false)
		w.gateways[place].frozenUntil = w.now + time.Minute // it takes long to start
	}
	w.takeUpAll()
}
