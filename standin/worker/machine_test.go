package worker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAMachineIsSlowForAShareOfTheTime guards against a load header whose fourth figure says another pace than the
// worker has, and against machines that are slow for another share of the time than the platform's.
func TestAMachineIsSlowForAShareOfTheTime(t *testing.T) {
	from := time.Unix(1000, 0)
	w := &Worker{}
	assert.Equal(t, w.load(from), "1,0,8")
	w.Machine = &Machine{SlowFrom: from}
	slow := 0
	const samples = 2000
	for i := range samples {
		if w.load(from.Add(time.Duration(i-samples/2)*SlowEvery/100)) == "1,0,8,250" {
			slow++
		}
	}
	assert.Equal(t, slow, samples*15/100)
	assert.Equal(t, w.load(from.Add(slowFor)), "1,0,8,100")
}
