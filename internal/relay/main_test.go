package relay

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless a flag names another.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "20260101"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
