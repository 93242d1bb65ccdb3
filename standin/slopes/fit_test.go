package slopes

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// near fails unless two numbers are equal but for rounding.
func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-9*(1+math.Abs(want)), "%v, not %v", got, want)
}

func TestFitOfALineIsExact(t *testing.T) {
	fit := fitLine([]float64{1, 2, 4, 8}, []float64{12, 14, 18, 26})
	near(t, fit.Slope, 2)
	near(t, fit.Intercept, 10)
	near(t, fit.Residual, 0)
	near(t, fit.R2, 1)
}

func TestFitTellsItsResidual(t *testing.T) {
	// The line is y = x: the distances are 1, -1, -1, 1 around it at equal steps.
	fit := fitLine([]float64{0, 1, 2, 3}, []float64{1, 0, 1, 4})
	near(t, fit.Slope, 1)
	near(t, fit.Intercept, 0)
	near(t, fit.Residual, 1)
	near(t, fit.Relative, 1.0/3)
	near(t, fit.R2, 1-4.0/9)
}

func TestFitOfOneSizeIsNone(t *testing.T) {
	assert.Equal(t, fitLine([]float64{5, 5}, []float64{1, 2}), Fit{})
	assert.Equal(t, fitLine(nil, nil), Fit{})
	flat := fitLine([]float64{1, 2}, []float64{3, 3})
	near(t, flat.Slope, 0)
	near(t, flat.Intercept, 3)
	near(t, flat.Relative, 0)
}

func TestRowsWithoutAMeasureAreLeftOut(t *testing.T) {
	rows := []Row{
		{Size: 1, Values: Values{"a": 1, "b": 5}},
		{Size: 2, Values: Values{"b": 7}},
		{Size: 3, Values: Values{"a": 5, "b": 9}},
	}
	fits := fitRows(rows, []Measure{{"a", "B"}, {"b", "ms"}})
	near(t, fits[0].Slope, 2)
	near(t, fits[0].Intercept, -1)
	near(t, fits[1].Slope, 2)
	assert.Equal(t, fits[1].Unit, "ms")
}
