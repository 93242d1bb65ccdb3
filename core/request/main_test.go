package request

import (
	"flag"
	"os"
	"testing"
)

// How many random courses a run takes, and from which seed, unless the command
// line says otherwise.
const (
	courses = "10000"
	seed    = "20261202"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": courses, "rapid.seed": seed} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
