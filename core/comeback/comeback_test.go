package comeback

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fingerprint"
)

// start is the start time of the tests.
var start = time.Unix(1000, 0)

// request returns the fingerprint of the request with a number.
func request(number int) fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Request{Target: "/" + strconv.Itoa(number)})
}

// TestAPlaceIsUsedOnceAndEndsWithItsDeadline guards against a client that gains from a place twice, or
// after its request has ended.
func TestAPlaceIsUsedOnceAndEndsWithItsDeadline(t *testing.T) {
	p := New()
	p.Refused(request(1), start, start.Add(4*time.Second))
	p.Refused(request(2), start, start.Add(4*time.Second))
	arrived, known := p.Returned(request(1), start.Add(time.Second))
	assert.Assert(t, known && arrived.Equal(start))
	_, known = p.Returned(request(1), start.Add(time.Second))
	assert.Assert(t, !known, "used before")
	_, known = p.Returned(request(2), start.Add(4*time.Second))
	assert.Assert(t, !known, "ended with its deadline")
	assert.Equal(t, p.Len(), 0)
}

func TestAClientThatIsRefusedAgainKeepsItsFirstArrival(t *testing.T) {
	p := New()
	p.Refused(request(1), start, start.Add(4*time.Second))
	p.Refused(request(1), start.Add(time.Second), start.Add(5*time.Second))
	arrived, known := p.Returned(request(1), start.Add(4500*time.Millisecond))
	assert.Assert(t, known && arrived.Equal(start))
}

// TestTooManyPlacesDropTheEarliestDeadline guards against unbounded memory in a long overload.
func TestTooManyPlacesDropTheEarliestDeadline(t *testing.T) {
	p := New()
	for i := range MaxPlaces {
		assert.Assert(t, !p.Refused(request(i), start, start.Add(time.Hour-time.Duration(i)*time.Millisecond)))
	}
	assert.Assert(t, p.Refused(request(MaxPlaces), start, start.Add(2*time.Hour)))
	assert.Equal(t, p.Len(), MaxPlaces)
	_, known := p.Returned(request(MaxPlaces-1), start)
	assert.Assert(t, !known, "it had the earliest deadline")
	_, known = p.Returned(request(MaxPlaces), start)
	assert.Assert(t, known)
}

// TestReservedWorkEndsWithTheReturn guards against capacity that is held for clients that do not return.
func TestReservedWorkEndsWithTheReturn(t *testing.T) {
	p := New()
	p.Refused(request(1), start, start.Add(4*time.Second))
	p.Refused(request(2), start, start.Add(4*time.Second))
	p.Refused(request(3), start, start.Add(4*time.Second))
	p.Reserve(request(1), 6, start.Add(time.Second))
	p.Reserve(request(2), 10, start.Add(2*time.Second))
	assert.Equal(t, p.Reserved(start), 16)
	assert.Equal(t, p.Reserved(start.Add(time.Second+returnGrace)), 10, "the first did not return")
	_, told, known := p.Take(request(2), start.Add(1500*time.Millisecond))
	assert.Assert(t, told && known)
	assert.Equal(t, p.Reserved(start.Add(1500*time.Millisecond)), 0)
	_, told, known = p.Take(request(3), start.Add(1500*time.Millisecond))
	assert.Assert(t, !told && known)
}
