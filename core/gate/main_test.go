package gate

import (
	"flag"
	"os"
	"testing"
)

// The property tests' number of interleavings and their seed, unless the command
// line sets others.
const (
	propertyChecks = "10000"
	propertySeed   = "20261202"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": propertyChecks, "rapid.seed": propertySeed} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
