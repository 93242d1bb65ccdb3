package slopes

import (
	_ "embed"
	"fmt"
	"io"
	"text/template"
)

// capacityPage is the page's text. Every figure of it that was measured is asked
// of the slopes by name, and what is worked out is worked out in the text, so
// that the page can't differ from the run that it tells of.
//
//go:embed capacity.md.tmpl
var capacityPage string

// WriteCapacity writes the page of the costs at the size designed for. It fails
// if a suite that the page rests on was not run.
func (r Result) WriteCapacity(w io.Writer) error {
	page, err := template.New("capacity").Option("missingkey=error").Funcs(r.functions()).Parse(capacityPage)
	if err != nil {
		return err
	}
	return page.Execute(w, r)
}

// functions are what the page may ask for and work out.
func (r Result) functions() template.FuncMap {
	return template.FuncMap{
		"slope": r.slope, "at": r.at, "first": r.first, "last": r.last,
		"add": sum, "mul": product,
		"sub": func(a, b float64) float64 { return a - b },
		"div": func(a, b float64) float64 { return a / b },
		"max": func(a, b float64) float64 { return max(a, b) },
		"f":   figure,
		// k and m show thousands and millions, pc a part of one in percent.
		"k":  func(value float64) string { return figure(value / 1e3) },
		"m":  func(value float64) string { return figure(value / 1e6) },
		"pc": func(value float64) string { return figure(100*value) + "%" },
		// core shows milliseconds of processor time a second as a part of a core.
		"core": func(value float64) string { return figure(value/10) + "%" },
	}
}

// slope returns what one more costs.
func (r Result) slope(suite, measure string) (float64, error) {
	fit, err := r.Fit(suite, measure)
	return fit.Slope, err
}

// at returns the line's value at a size.
func (r Result) at(suite, measure string, size float64) (float64, error) {
	fit, err := r.Fit(suite, measure)
	return fit.Intercept + fit.Slope*size, err
}

// first returns what was measured at the smallest size.
func (r Result) first(suite, measure string) (float64, error) {
	values, err := r.measured(suite, measure)
	if err != nil {
		return 0, err
	}
	return values[0], nil
}

// last returns what was measured at the largest size.
func (r Result) last(suite, measure string) (float64, error) {
	values, err := r.measured(suite, measure)
	if err != nil {
		return 0, err
	}
	return values[len(values)-1], nil
}

// measured returns the values of one measure in order; there is at least one.
func (r Result) measured(suite, measure string) ([]float64, error) {
	found, err := r.Suite(suite)
	if err != nil {
		return nil, err
	}
	_, values := column(found.Rows, measure)
	if len(values) == 0 {
		return nil, fmt.Errorf("suite %q has no measure %q", suite, measure)
	}
	return values, nil
}

// sum adds numbers.
func sum(values ...float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// product multiplies numbers.
func product(values ...float64) float64 {
	result := 1.0
	for _, value := range values {
		result *= value
	}
	return result
}
