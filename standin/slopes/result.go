package slopes

import "fmt"

// Values are what was measured at one size, by the name of the measure.
type Values map[string]float64

// Row is one measured point.
type Row struct {
	Size   float64 `json:"size"`
	Values Values  `json:"values"`
}

// SuiteResult is what one suite measured.
type SuiteResult struct {
	Name  string `json:"name"`
	Title string `json:"title"`
	// Size says what grows.
	Size string `json:"size"`
	// Idle is the part of the machine's processors that was idle meanwhile.
	Idle    float64 `json:"machine_idle"`
	Seconds float64 `json:"seconds"`
	Rows    []Row   `json:"rows"`
	Fits    []Fit   `json:"fits"`
}

// Result is one run.
type Result struct {
	Commit string `json:"commit"`
	Cores  int    `json:"cores"`
	// Idle is the idle part of the processors over the whole run.
	Idle    float64       `json:"machine_idle"`
	Seconds float64       `json:"seconds"`
	Suites  []SuiteResult `json:"suites"`
}

// fitRows fits a line to each measure.
func fitRows(rows []Row, measures []Measure) []Fit {
	var fits []Fit
	for _, measure := range measures {
		sizes, values := column(rows, measure.Name)
		fit := fitLine(sizes, values)
		fit.Measure, fit.Unit = measure.Name, measure.Unit
		fits = append(fits, fit)
	}
	return fits
}

// column returns the sizes and the values of the rows that have the measure.
func column(rows []Row, measure string) (sizes, values []float64) {
	for _, row := range rows {
		if value, ok := row.Values[measure]; ok {
			sizes = append(sizes, row.Size)
			values = append(values, value)
		}
	}
	return sizes, values
}

// Suite returns the result of one suite.
func (r Result) Suite(name string) (SuiteResult, error) {
	for _, suite := range r.Suites {
		if suite.Name == name {
			return suite, nil
		}
	}
	return SuiteResult{}, fmt.Errorf("suite %q was not run", name)
}

// Fit returns the line of one measure of one suite.
func (r Result) Fit(suite, measure string) (Fit, error) {
	found, err := r.Suite(suite)
	if err != nil {
		return Fit{}, err
	}
	for _, fit := range found.Fits {
		if fit.Measure == measure {
			return fit, nil
		}
	}
	return Fit{}, fmt.Errorf("suite %q has no measure %q", suite, measure)
}
