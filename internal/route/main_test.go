package route

import (
	"os"
	"testing"

	"toucanpulley.example/stand/fuzz"
)

// TestMain fixes the seed of the property tests unless a flag sets another.
func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Preset{Seed: "1"})) }
