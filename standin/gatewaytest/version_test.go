package gatewaytest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/metastore"
	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/worker"
)

// The promises about streams and software versions, in the platform's published form: at most
// mixedStreamsAllowed streams hold events of two versions of one service, and of the streams that clients
// take up while two workers of their version serve, the share that goes on is at least
// continuedShare of the share of new streams that begin.
const (
	mixedStreamsAllowed = 2
	continuedShare      = 0.5
)

// Streams of these tests.
const (
	versionEvents     = 12
	versionBreakAfter = 3
)

// versionConfig returns a configuration with resumable routes without stages: streams of /one/ are sent to one
// upstream for each attempt of a client, those of /two/ to two.
func versionConfig() platformdoc.Document {
	return platformdoc.Document{
		Version: 1,
		Routes: []platformdoc.Route{
			{Name: "one", Host: "h", Prefix: "/one/", Kind: "streaming", TimeoutMS: 9000, GoalMS: 3000, Service: "llm", MaxAttempts: 1, Resumable: true},
			{Name: "two", Host: "h", Prefix: "/two/", Kind: "streaming", TimeoutMS: 9000, GoalMS: 3000, Service: "llm", MaxAttempts: 2, Resumable: true},
		},
		Services: []platformdoc.Service{{Name: "llm", Engine: &platformdoc.Engine{Slots: 8}}},
	}
}

// startVersion starts a number of engines of a version, whose new streams break off.
func (f *fleet) startVersion(version string, count int) []*worker.Worker {
	f.t.Helper()
	var started []*worker.Worker
	for i := range count {
		listener, err := f.ports.Listen()
		assert.NilError(f.t, err)
		w := worker.StartOn(listener, fmt.Sprintf("llm-%s-%d", version, i+1), worker.Engine)
		w.Version, w.Events, w.BreakAfter = version, versionEvents, versionBreakAfter
		f.t.Cleanup(w.Close)
		f.register(w, "llm", "ready")
		started = append(started, w)
	}
	return started
}

// startTwoVersions starts five gateways and two engines of each of two versions.
func startTwoVersions(t *testing.T) (*fleet, []*runningGateway) {
	f := newFleet(t)
	f.startVersion("v1", 2)
	f.startVersion("v1.1", 2)
	f.apply(versionConfig())
	return f, f.startMany(5)
}

// retire removes the entries of workers and stops them.
func (f *fleet) retire(workers []*worker.Worker) {
	for _, w := range workers {
		f.store.Remove("servers", w.ID)
		w.Close()
	}
}

// upstreamsKnown waits until a number of gateways have each logged a number of upstreams.
func (f *fleet) upstreamsKnown(workers []*worker.Worker, gateways int) {
	f.t.Helper()
	for _, w := range workers {
		f.waitLines(gateways, "upstream_changed", `"upstream":"`+w.ID+`"`)
	}
}

// upstreamsGone waits until a number of gateways have each logged that upstreams are gone.
func (f *fleet) upstreamsGone(workers []*worker.Worker, gateways int) {
	f.t.Helper()
	for _, w := range workers {
		f.waitLines(gateways, "upstream_gone", `"upstream":"`+w.ID+`"`)
	}
}

// stream is what a client has of one stream over its attempts.
type stream struct {
	// first is the ID of the attempt that brought the first event, tries the number of attempts.
	first string
	tries int
	// last is the number of the last event.
	last     int
	versions map[string]bool
	// broken is set if an event was missing, came twice or out of order.
	broken bool
	// status and header are those of the last attempt.
	status int
	header http.Header
	took   time.Duration
}

// add records the events of a response.
func (s *stream) add(attempt, body string) {
	for _, text := range strings.Split(body, "\n\n") {
		var id, number int
		var sender, version string
		if n, _ := fmt.Sscanf(text, "id: %d\ndata: %s %d %s", &id, &sender, &number, &version); n < 4 {
			continue
		}
		if s.last == 0 {
			s.first = attempt
		}
		s.broken = s.broken || id != s.last+1
		s.last = id
		s.versions[version] = true
	}
}

// complete reports whether the client has the whole stream.
func (s *stream) complete() bool { return s.last == versionEvents }

// begin begins a stream.
func (f *fleet) begin(g *runningGateway, path, id string) *stream {
	s := &stream{versions: map[string]bool{}}
	f.attempt(g, path, id, s)
	return s
}

// attempt makes one attempt at a stream. It takes the stream up if the client has events of it.
func (f *fleet) attempt(g *runningGateway, path, id string, s *stream) {
	var headers []string
	if s.last > 0 {
		headers = []string{"Last-Event-Id", fmt.Sprint(s.last), "Resumes", s.first}
	}
	started := time.Now()
	got := f.send(g, id, "POST", path, "p", headers...)
	s.tries++
	s.status, s.header, s.took = got.status, got.header, time.Since(started)
	if got.status == http.StatusOK {
		s.add(id, got.body)
	}
}

// each calls do for each of a number of streams at the same time, a few at once.
func each(count int, do func(number int)) {
	var clients sync.WaitGroup
	slots := make(chan struct{}, 16)
	for number := range count {
		slots <- struct{}{}
		clients.Go(func() {
			defer func() { <-slots }()
			do(number)
		})
	}
	clients.Wait()
}

// beginMany begins a number of streams, spread over gateways.
func (f *fleet) beginMany(count int, gateways []*runningGateway, prefix string) []*stream {
	streams := make([]*stream, count)
	each(count, func(number int) {
		streams[number] = f.begin(gateways[number%len(gateways)], "/one/x", fmt.Sprintf("%s%d", prefix, number))
	})
	return streams
}

// takeUpAll takes each stream up once, at another gateway than the one that began it.
func (f *fleet) takeUpAll(streams []*stream, gateways []*runningGateway, prefix string) {
	each(len(streams), func(number int) {
		f.attempt(gateways[(number+2)%len(gateways)], "/one/x", fmt.Sprintf("%s%d", prefix, number), streams[number])
	})
}

// assertVersions checks that the streams keep to their versions.
func assertVersions(t *testing.T, streams []*stream) {
	t.Helper()
	mixed := 0
	for _, s := range streams {
		assert.Check(t, !s.broken, "an event was missing or came twice")
		if len(s.versions) > 1 {
			mixed++
		}
	}
	assert.Check(t, mixed <= mixedStreamsAllowed, "%d of %d streams hold events of two versions; %d are allowed", mixed, len(streams), mixedStreamsAllowed)
}

// assertContinued checks that enough of the streams that were taken up went on. All new streams of these
// tests begin.
func assertContinued(t *testing.T, streams []*stream) {
	t.Helper()
	begun, went := 0, 0
	for _, s := range streams {
		if s.last >= versionBreakAfter {
			begun++
		}
		if s.complete() {
			went++
		}
	}
	assert.Check(t, begun >= 12, "%d streams began", begun)
	assert.Check(t, float64(went) >= continuedShare*float64(begun), "%d of %d streams went on", went, begun)
}

// TestAStreamGoesOnAtItsSoftwareVersionWithinAnAnswer: the events of two versions don't fit together.
func TestAStreamGoesOnAtItsSoftwareVersionWithinAnAnswer(t *testing.T) {
	f := newFleet(t)
	f.startVersion("v1", 3)
	f.startVersion("v1.1", 3)
	f.apply(versionConfig())
	gateways := f.startMany(3)
	streams := make([]*stream, 40)
	each(len(streams), func(number int) {
		streams[number] = f.begin(gateways[number%3], "/two/x", fmt.Sprintf("a%d", number))
	})
	assertVersions(t, streams)
	assertContinued(t, streams)
}

// TestAClientTakesItsStreamUpAtItsSoftwareVersionElsewhere: the gateway that the client comes back to has not begun
// the stream.
func TestAClientTakesItsStreamUpAtItsSoftwareVersionElsewhere(t *testing.T) {
	for _, c := range []struct{ gateways, versions, streams int }{{5, 2, 61}, {12, 3, 96}} {
		t.Run(fmt.Sprintf("%d gateways, %d versions", c.gateways, c.versions), func(t *testing.T) {
			f := newFleet(t)
			for i := range c.versions {
				f.startVersion(fmt.Sprintf("v1.%d", i), 2)
			}
			f.apply(versionConfig())
			gateways := f.startMany(c.gateways)
			streams := f.beginMany(c.streams, gateways, "a")
			f.takeUpAll(streams, gateways, "b")
			assertVersions(t, streams)
			assertContinued(t, streams)
		})
	}
}

// TestASecondTakeUpStaysAtTheSoftwareVersion: both later attempts name the one that brought the first event.
func TestASecondTakeUpStaysAtTheSoftwareVersion(t *testing.T) {
	f, gateways := startTwoVersions(t)
	streams := f.beginMany(40, gateways, "a")
	for _, s := range streams {
		s.last = 1 // as if the rest had been lost on the way
	}
	f.takeUpAll(streams, gateways, "b")
	for _, s := range streams {
		s.last = min(s.last, 5)
	}
	f.takeUpAll(streams, gateways, "c")
	assertVersions(t, streams)
	assertContinued(t, streams)
}

// TestAStreamKeepsItsSoftwareVersionOverARestartOfAllGateways: none of the gateways that began the streams is left.
func TestAStreamKeepsItsSoftwareVersionOverARestartOfAllGateways(t *testing.T) {
	f, gateways := startTwoVersions(t)
	streams := f.beginMany(60, gateways, "a")
	for i, g := range gateways {
		f.stopOne(g)
		gateways[i] = f.start(fmt.Sprintf("g%d", 11+i))
	}
	f.takeUpAll(streams, gateways, "b")
	assertVersions(t, streams)
	assertContinued(t, streams)
}

// TestAStreamKeepsItsSoftwareVersionOverTheLossOfGateways: two gateways stop at the same time.
func TestAStreamKeepsItsSoftwareVersionOverTheLossOfGateways(t *testing.T) {
	f, gateways := startTwoVersions(t)
	streams := f.beginMany(60, gateways, "a")
	var stops sync.WaitGroup
	for _, g := range gateways[:2] {
		stops.Go(func() { f.stopOne(g) })
	}
	stops.Wait()
	f.takeUpAll(streams, gateways[2:], "b")
	assertVersions(t, streams)
	assertContinued(t, streams)
}

// TestAStreamDoesNotGoOnAtTheNextSoftwareVersion: streams that began while one version served alone stay with
// it when the next one comes.
func TestAStreamDoesNotGoOnAtTheNextSoftwareVersion(t *testing.T) {
	f := newFleet(t)
	old := f.startVersion("v1", 4)
	f.apply(versionConfig())
	gateways := f.startMany(5)
	streams := f.beginMany(60, gateways, "a")
	next := f.startVersion("v1.1", 4)
	f.upstreamsKnown(next, 5)
	f.retire(old[:2])
	f.upstreamsGone(old[:2], 5)
	f.takeUpAll(streams, gateways, "b")
	assertVersions(t, streams)
	assertContinued(t, streams)
}

// TestAStreamWhoseSoftwareVersionIsGoneIsRefusedAtOnce: the refusal promises that nothing has run and does not ask
// the client to come again.
func TestAStreamWhoseSoftwareVersionIsGoneIsRefusedAtOnce(t *testing.T) {
	f := newFleet(t)
	old := f.startVersion("v1", 2)
	f.apply(versionConfig())
	gateways := f.startMany(5)
	streams := f.beginMany(30, gateways, "a")
	f.upstreamsKnown(f.startVersion("v1.1", 2), 5)
	f.retire(old)
	f.upstreamsGone(old, 5)
	f.takeUpAll(streams, gateways, "b")
	assertVersions(t, streams)
	for _, s := range streams {
		assertRefusedForGood(t, s)
	}
}

// assertRefusedForGood checks that a stream was refused at once, with the promise that it has not run and without a
// time to come back.
func assertRefusedForGood(t *testing.T, s *stream) {
	t.Helper()
	assert.Check(t, s.status == http.StatusMisdirectedRequest, "status %d", s.status)
	assert.Check(t, s.header.Get("Retry-After") == "", "Retry-After is %q", s.header.Get("Retry-After"))
	assert.Check(t, s.took < refusedWithin, "refused after %v", s.took)
}

// refusedWithin bounds the time of a refusal, which waits for no upstream.
const refusedWithin = 2 * time.Second

// TestAStreamThatNobodyKnowsIsRefusedWhileVersionsDiffer: a gateway that can't know the version does not guess.
func TestAStreamThatNobodyKnowsIsRefusedWhileVersionsDiffer(t *testing.T) {
	f, gateways := startTwoVersions(t)
	f.beginMany(10, gateways, "a")
	for number := range 10 {
		s := &stream{first: fmt.Sprintf("unknown%d", number), last: 3, versions: map[string]bool{}}
		f.attempt(gateways[number%5], "/one/x", fmt.Sprintf("b%d", number), s)
		assertRefusedForGood(t, s)
	}
}

// TestAllStreamsGoOnWhileOneSoftwareVersionServes: nothing that a rollout needs may refuse them.
func TestAllStreamsGoOnWhileOneSoftwareVersionServes(t *testing.T) {
	f := newFleet(t)
	f.startVersion("v1", 3)
	f.apply(versionConfig())
	gateways := f.startMany(5)
	streams := f.beginMany(40, gateways, "a")
	f.takeUpAll(streams, gateways, "b")
	assertVersions(t, streams)
	for _, s := range streams {
		assert.Check(t, s.complete(), "status %d", s.status)
	}
}

// storeSilence is a silence of the store that all gateways have noticed.
const storeSilence = 5 * time.Second

// TestStreamsAreTakenUpWhileTheStoreIsSilent: the version of a stream can't be read from the store then, and a part of the
// gateways that began the streams is gone.
func TestStreamsAreTakenUpWhileTheStoreIsSilent(t *testing.T) {
	f := newFleet(t)
	f.startVersion("v1", 3)
	f.apply(versionConfig())
	gateways := f.startMany(5)
	streams := f.beginMany(40, gateways, "before")
	f.store.SetFaults(metastore.Faults{Silent: true})
	time.Sleep(storeSilence)
	streams = append(streams, f.beginMany(40, gateways, "during")...)
	f.stopOne(gateways[0])
	f.stopOne(gateways[1])
	f.takeUpAll(streams, gateways[2:], "b")
	assertVersions(t, streams)
	assertContinued(t, streams)
}
