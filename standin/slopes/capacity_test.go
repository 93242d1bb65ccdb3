package slopes

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// whole is a result in which each measure of each suite is 1 + 2 x.
func whole() Result {
	var r Result
	for _, s := range suites() {
		rows := []Row{{Size: 1, Values: Values{}}, {Size: 2, Values: Values{}}}
		for _, measure := range s.measures {
			rows[0].Values[measure.Name] = 3
			rows[1].Values[measure.Name] = 5
		}
		r.Suites = append(r.Suites, SuiteResult{Name: s.name, Rows: rows, Fits: fitRows(rows, s.measures)})
	}
	return r
}

func TestCapacityAsksOnlyForWhatIsMeasured(t *testing.T) {
	var page strings.Builder
	assert.NilError(t, whole().WriteCapacity(&page))
	assert.Assert(t, !strings.Contains(page.String(), "NaN"))
	assert.Assert(t, !strings.Contains(page.String(), "<no value>"))
	// 810 / 340 requests a second.
	assert.Assert(t, strings.Contains(page.String(), "810 / 340 = 2.38"))
}

func TestCapacityNeedsAllSuites(t *testing.T) {
	var page strings.Builder
	assert.ErrorContains(t, Result{}.WriteCapacity(&page), "was not run")
}

func TestCapacityFunctions(t *testing.T) {
	r := whole()
	slope, err := r.slope("claims", "store_writes")
	assert.NilError(t, err)
	near(t, slope, 2)
	line, err := r.at("hosts", "side_heap", 10)
	assert.NilError(t, err)
	near(t, line, 21)
	least, err := r.first("peers", "entry_out")
	assert.NilError(t, err)
	near(t, least, 3)
	largest, err := r.last("peers", "entry_out")
	assert.NilError(t, err)
	near(t, largest, 5)
	_, err = r.last("peers", "none")
	assert.ErrorContains(t, err, "no measure")
	near(t, sum(1, 2, 3), 6)
	near(t, product(2, 3, 4), 24)
}
