package slopes

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is the least-squares line through the points of one measure.
type Fit struct {
	// Measure is the name of what was measured, Unit its unit.
	Measure string `json:"measure"`
	Unit    string `json:"unit"`
	// Slope is in units for one more of the suite's size, Intercept in units.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root of the mean squared distance from the line, in units;
	// Relative is its ratio to the range that the line covers, zero if that is flat.
	Residual float64 `json:"residual"`
	Relative float64 `json:"relative"`
	// R2 is the part of the variance that the line explains.
	R2 float64 `json:"r2"`
}

// fitLine fits a line. Fewer than two different sizes give the zero Fit.
func fitLine(sizes, values []float64) Fit {
	low, high := bounds(sizes)
	if len(sizes) < 2 || low == high {
		return Fit{}
	}
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	fit := Fit{Slope: slope, Intercept: intercept}
	squares := 0.0
	for i, size := range sizes {
		distance := values[i] - intercept - slope*size
		squares += distance * distance
	}
	fit.Residual = math.Sqrt(squares / float64(len(sizes)))
	if covered := math.Abs(slope * (high - low)); covered > 0 {
		fit.Relative = fit.Residual / covered
	}
	// All values alike: there is no variance to explain.
	if r2 := stat.RSquared(sizes, values, nil, intercept, slope); !math.IsNaN(r2) && !math.IsInf(r2, 0) {
		fit.R2 = r2
	}
	return fit
}

// bounds returns the least and the greatest value, or zeros if there is none.
func bounds(values []float64) (low, high float64) {
	for i, value := range values {
		if i == 0 || value < low {
			low = value
		}
		if i == 0 || value > high {
			high = value
		}
	}
	return low, high
}
