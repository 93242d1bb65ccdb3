package slopes

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAmountsAreRatesAndMemoryIsNot(t *testing.T) {
	values := Values{}
	before := reading{cpu: 100, in: 10, out: 20, moved: 50, log: 5, resident: 900, heap: 90, probes: 4}
	after := reading{cpu: 140, in: 30, out: 60, moved: 150, log: 15, resident: 1000, heap: 100, probes: 8}
	values.note(group{name: "entry"}, before, after, 2)
	assert.DeepEqual(t, values, Values{
		"entry_cpu": 20, "entry_in": 10, "entry_out": 20, "entry_moved": 50, "entry_log": 5,
		"entry_probes": 2, "entry_resident": 1000, "entry_heap": 100,
	})
}

func TestOnlyAmountsAreDivided(t *testing.T) {
	values := Values{"entry_cpu": 6, "entry_heap": 6, "side_resident": 6, "store_waiting": 6}
	assert.DeepEqual(t, values.divided(3), Values{"entry_cpu": 2, "entry_heap": 6, "side_resident": 6, "store_waiting": 6})
}

func TestReadingsOfAGroupAddUp(t *testing.T) {
	one := reading{cpu: 1, in: 2, out: 3, moved: 4, log: 5, resident: 6, heap: 7, probes: 8}
	assert.Equal(t, one.add(one), reading{cpu: 2, in: 4, out: 6, moved: 8, log: 10, resident: 12, heap: 14, probes: 16})
}

func TestFiguresHaveThreeDigits(t *testing.T) {
	for want, value := range map[string]float64{
		"0": 0, "0.00123": 0.0012345, "1.23": 1.2345, "12.3": 12.345, "1230": 1234.5, "-1230000": -1234567, "100": 99.96,
	} {
		assert.Equal(t, figure(value), want)
	}
}

// sample is a result of one suite: y = 3 + 2 x.
func sample() Result {
	rows := []Row{{Size: 1, Values: Values{"entry_cpu": 5}}, {Size: 2, Values: Values{"entry_cpu": 7}}}
	return Result{Commit: "abc", Suites: []SuiteResult{{
		Name: "requests", Title: "t", Size: "s", Rows: rows, Fits: fitRows(rows, []Measure{{"entry_cpu", perSecondCPU}}),
	}}}
}

func TestTablesShowLinesAndPoints(t *testing.T) {
	tables := sample().Tables()
	assert.Equal(t, len(tables), 2)
	assert.DeepEqual(t, tables[0].Rows[0][:4], []string{"entry_cpu", "ms/s", "2.00", "3.00"})
	assert.DeepEqual(t, tables[1].Rows[0], []string{"entry_cpu", "5.00", "7.00"})
	var page strings.Builder
	assert.NilError(t, sample().WriteTables(&page))
	assert.Assert(t, strings.Contains(page.String(), "at commit abc"))
}

func TestAMissingSlopeIsAnError(t *testing.T) {
	_, err := sample().Fit("requests", "none")
	assert.ErrorContains(t, err, "no measure")
	_, err = sample().Fit("claims", "entry_cpu")
	assert.ErrorContains(t, err, "was not run")
}

func TestAnUnknownSuiteIsRefusedBeforeAnythingStarts(t *testing.T) {
	_, err := Run(t.Context(), Options{Only: []string{"nonsense"}})
	assert.ErrorContains(t, err, "there is no suite")
}
