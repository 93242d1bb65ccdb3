// Command charts prints docs/CHARTS.md from the embedded state charts.
package main

import (
	"fmt"

	"acaciawinch/core/chart"
)

func main() {
	fmt.Print(chart.Page())
}
