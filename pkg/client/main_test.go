package client

import (
	"os"
	"testing"

	"toucanpulley.example/stand/fuzz"
)

// TestMain sets a fixed seed for the property tests unless a flag sets another.
func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Preset{Seed: "1"})) }
