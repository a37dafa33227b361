// Command gen writes the sample records to standard output.
//
// # Usage
//
//	go run ./stand/corpus/gen > stand/corpus/sample.jsonl
package main

import (
	"flag"
	"fmt"
	"os"

	"toucanpulley.example/stand/corpus"
)

func main() {
	seed := flag.Uint64("seed", corpus.SampleSeed, "seed of the generator")
	n := flag.Int("records", corpus.SampleRecords, "number of records")
	flag.Parse()
	if err := corpus.Write(os.Stdout, corpus.Generate(*seed, *n)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
