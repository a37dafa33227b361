// Package fuzz makes the property tests of a package reproducible: it fixes the seed
// and the number of cases, unless they are set by flags.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Preset{Seed: "1"})) }
//
// With the flag -long, tests run many more cases with random seeds.
package fuzz

import (
	"flag"
	"testing"
)

// Preset holds the default flags of the property tests. Checks is the number of cases;
// if empty, the default of the rapid library applies, which is 100.
type Preset struct {
	Seed   string
	Checks string
	// LongChecks is the number of cases with -long; 20,000 if empty.
	LongChecks string
}

// long is registered as a flag of every test binary that imports this package.
var long = flag.Bool("long", false, "run the property tests with random seeds and many more cases")

// Main runs the tests of a package and returns the exit code.
func Main(m *testing.M, p Preset) int {
	flag.Parse()
	for k, v := range p.unsetFlags(*long) {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	return m.Run()
}

// unsetFlags returns the values of the rapid flags that were not set on the command
// line.
func (p Preset) unsetFlags(long bool) map[string]string {
	flags := map[string]string{"rapid.seed": p.Seed, "rapid.nofailfile": "true"}
	if p.Checks != "" {
		flags["rapid.checks"] = p.Checks
	}
	if long {
		flags = map[string]string{"rapid.checks": "20000"}
		if p.LongChecks != "" {
			flags["rapid.checks"] = p.LongChecks
		}
	}
	flag.Visit(func(f *flag.Flag) { delete(flags, f.Name) })
	return flags
}
