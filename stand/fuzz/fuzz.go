// Package fuzz runs the tests of a package with property tests that can be
// repeated: seed and number of cases are fixed unless flags say otherwise.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Preset{Seed: "1"})) }
//
// The flag -long runs many more cases with random seeds.
package fuzz

import (
	"flag"
	"testing"
)

// Preset holds the seed and the number of cases of the property tests. An empty
// number is that of the library, 100.
type Preset struct {
	Seed   string
	Checks string
	// LongChecks is the number of cases of a long run, 20,000 if it is empty.
	LongChecks string
}

// long is registered with the flags of the test binary.
var long = flag.Bool("long", false, "run the property tests with random seeds and many more cases")

// Main runs all tests and returns the status of the process.
func Main(m *testing.M, p Preset) int {
	flag.Parse()
	for name, value := range p.unsetFlags(*long) {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}

// unsetFlags returns the unsetFlags of the library that are set, without those that were
// given.
func (p Preset) unsetFlags(long bool) map[string]string {
	set := map[string]string{"rapid.seed": p.Seed, "rapid.nofailfile": "true"}
	if p.Checks != "" {
		set["rapid.checks"] = p.Checks
	}
	if long {
		set = map[string]string{"rapid.checks": "20000"}
		if p.LongChecks != "" {
			set["rapid.checks"] = p.LongChecks
		}
	}
	flag.Visit(func(f *flag.Flag) { delete(set, f.Name) })
	return set
}
