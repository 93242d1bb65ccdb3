package account

import (
	"testing"

	"gotest.tools/v3/assert"
)

// lines holds the log lines of six requests: one in time, one late in a pool, one late
// at the engine, one late because of an earlier try of its client, one refused, and one
// with an incomplete response. The last two lines are unreadable.
var lines = []string{
	`{"fields":{"event":10026,"request":"a","service":"enc","duration_us":300000}}`,
	`  12.5 edge-1 {"fields":{"event":10023,"request":"a","route":"r","status":200,"first_us":400000,"objective_ms":1000}}`,
	`{"fields":{"event":10026,"request":"b","service":"enc","duration_us":300000}}`,
	`{"fields":{"event":10026,"request":"b","service":"rank","duration_us":900000}}`,
	`{"fields":{"event":10023,"request":"b","route":"r","status":200,"first_us":1300000,"objective_ms":1000}}`,
	`{"fields":{"event":10026,"request":"c","service":"enc","duration_us":300000}}`,
	`{"fields":{"event":10023,"request":"c","route":"r","status":200,"first_us":1300000,"objective_ms":1000}}`,
	`{"fields":{"event":10023,"request":"d","route":"r","status":200,"first_us":400000,"used_ms":700,"objective_ms":1000}}`,
	`{"fields":{"event":10020,"request":"e","route":"r","status":503,"step":"stage.wait"}}`,
	`{"fields":{"event":10024,"request":"f","route":"q","events":3}}`,
	`built in 3 s`,
	`{"fields":`,
}

func TestOutcomesAreCountedByRouteAndCause(t *testing.T) {
	a := New()
	for _, text := range lines {
		a.Add([]byte(text))
	}
	assert.Equal(t, a.Unread, 2)
	assert.DeepEqual(t, a.Rows(), []Row{
		{Route: "q", Failed: 1, Causes: []Cause{{"broken off", 1}}},
		{Route: "r", InTime: 1, Late: 3, Refused: 1, Causes: []Cause{
			{"answer", 1}, {"came back late", 1}, {"rank", 1}, {"stage.wait", 1}}},
	})
	assert.Equal(t, len(a.stages), 0, "stages of ended requests are still kept")
}
