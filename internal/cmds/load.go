package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/load"
)

// defaultStragglerFactor is the default ratio of the search time of a straggler to
// that of other searchers.
const defaultStragglerFactor = 10

// loadTest runs the load test of package load.
type loadTest struct {
	console
	shapeFile       string
	services        string
	variants        string
	rootSettings    string
	resultsFile     string
	compareFiles    string
	plotFile        string
	profileFile     string
	duration        time.Duration
	warmUp          time.Duration
	timeout         time.Duration
	runs            int
	seed            uint64
	rateFactor      float64
	stragglerShare  float64
	stragglerFactor float64
	soak            bool
	json            bool
}

func newLoad(c console) *loadTest { return &loadTest{console: c} }

func (*loadTest) Name() string { return "load" }

func (*loadTest) Synopsis() string {
	return "measure a site with simulated searchers under open-loop load"
}

func (*loadTest) Usage() string {
	return `load [flags]:
  Starts the site of a shape file on loopback, sends searches on an open-loop
  schedule, verifies every answer against the records and prints latency
  percentiles. The runs of several variants are interleaved; the medians of all
  runs of a variant are printed. Exit status 1 if an answer was wrong.
  Example: toucanpulley load -shape examples/dastkar.json -duration 10s
  Example: toucanpulley load -variants all -runs 5 -stragglers 0.05 -plot p.svg
  Example: toucanpulley load -compare before.json,after.json
`
}

func (l *loadTest) SetFlags(f *flag.FlagSet) {
	f.StringVar(&l.shapeFile, "shape", "examples/dastkar.json", "shape file of the site and load")
	f.StringVar(&l.services, "services", "", "services to run, separated by commas; all if empty")
	f.StringVar(&l.variants, "variants", "", "variants to run, separated by commas, or all, or limits; the shape's settings if empty")
	f.StringVar(&l.rootSettings, "set", "", "root settings key=value, separated by commas")
	f.StringVar(&l.resultsFile, "out", "", "file for the results as JSON")
	f.StringVar(&l.compareFiles, "compare", "", "two result files, separated by a comma, to print side by side")
	f.StringVar(&l.plotFile, "plot", "", "file for an SVG plot of the latency distributions")
	f.StringVar(&l.profileFile, "profile", "", "file for a CPU profile of the whole process")
	f.DurationVar(&l.duration, "duration", 10*time.Second, "length of each run")
	f.DurationVar(&l.warmUp, "warmup", 2*time.Second, "time under load before counting starts")
	f.DurationVar(&l.timeout, "timeout", 0, "time budget of each search; the scope's default if 0")
	f.IntVar(&l.runs, "runs", 1, "runs of each variant")
	f.Uint64Var(&l.seed, "seed", 1, "seed of arrivals, records and stragglers")
	f.Float64Var(&l.rateFactor, "rate", 1, "factor for the shape's rates")
	f.Float64Var(&l.stragglerShare, "stragglers", 0, "share of searchers that are stragglers, 0 to 1")
	f.Float64Var(&l.stragglerFactor, "factor", defaultStragglerFactor, "ratio of the search time of a straggler to that of other searchers")
	f.BoolVar(&l.soak, "soak", false, "replace entry hosts and stop the platform during the run")
	f.BoolVar(&l.json, "json", false, "print results as JSON")
}

func (l *loadTest) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if l.compareFiles != "" {
		return l.printComparison(strings.Split(l.compareFiles, ","))
	}
	if l.runs < 1 || l.duration <= 0 || l.rateFactor <= 0 || l.stragglerShare < 0 || l.stragglerShare > 1 {
		return l.failUsage("load: -runs, -duration and -rate must be positive and -stragglers from 0 to 1")
	}
	shape, err := load.ReadShape(l.shapeFile)
	if err != nil {
		return l.fail(err)
	}
	variants, err := l.selectVariants()
	if err != nil {
		return l.failUsage("%v", err)
	}
	if l.services != "" {
		shape = shape.WithServices(strings.Split(l.services, ",")...)
	}
	stop, err := l.startProfile()
	if err != nil {
		return l.fail(err)
	}
	defer stop()
	results, err := l.measure(ctx, shape.WithRate(l.rateFactor), variants)
	if err != nil {
		return l.fail(err)
	}
	return l.report(results)
}

// startProfile starts a CPU profile if -profile is set, and returns the function that
// ends it.
func (l *loadTest) startProfile() (func(), error) {
	if l.profileFile == "" {
		return func() {}, nil
	}
	file, err := os.Create(l.profileFile)
	if err != nil {
		return nil, fault.Wrap(err, "create profile", l.profileFile)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, fault.Wrap(err, "start profile", l.profileFile)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

// selectVariants returns the variants that -variants and -set describe.
func (l *loadTest) selectVariants() ([]load.Variant, error) {
	values := map[string]string{}
	for _, p := range strings.Split(l.rootSettings, ",") {
		key, value, ok := strings.Cut(p, "=")
		if !ok && p != "" {
			return nil, fmt.Errorf("-set: %q is not allowed; allowed: key=value", p)
		}
		if ok {
			values[key] = value
		}
	}
	if l.variants == "" {
		return []load.Variant{{Name: "shape", Values: values}}, nil
	}
	all := load.Variants()
	switch l.variants {
	case "all":
		return all, nil
	case "limits":
		return load.LimitVariants(), nil
	}
	var chosen []load.Variant
	for _, n := range strings.Split(l.variants, ",") {
		i := slices.IndexFunc(all, func(v load.Variant) bool { return v.Name == n })
		if i < 0 {
			return nil, fmt.Errorf("-variants: %q is not a variant", n)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// measure interleaves the runs of all variants, so that a period in which the machine
// is slow affects all of them alike.
func (l *loadTest) measure(ctx context.Context, shape load.Shape, variants []load.Variant) ([]load.Result, error) {
	runs := make([][]load.Result, len(variants))
	for n := range l.runs {
		for i, v := range variants {
			if ctx.Err() != nil {
				return nil, fault.Wrap(ctx.Err(), "measure", "")
			}
			r := load.NewRun(shape.WithVariant(v))
			r.Name, r.Duration, r.WarmUp, r.Timeout = v.Name, l.duration, l.warmUp, l.timeout
			r.Seed, r.StragglerShare, r.StragglerFactor = l.seed+uint64(n), l.stragglerShare, l.stragglerFactor
			r.Progress = l.err
			if l.soak {
				r.InjectFaults = load.Soak(l.err)
			}
			result, err := r.Do(ctx)
			if err != nil {
				return nil, err
			}
			runs[i] = append(runs[i], result)
		}
	}
	results := make([]load.Result, 0, len(variants))
	for _, rs := range runs {
		results = append(results, load.Median(rs))
	}
	return results, nil
}

func (l *loadTest) report(results []load.Result) subcommands.ExitStatus {
	status := l.writeFiles(results)
	if l.json {
		l.console.json(results)
	} else if err := load.WriteTable(l.out, results); err != nil {
		return l.fail(err)
	}
	for _, x := range results {
		if x.Wrong > 0 {
			return exitFailed
		}
	}
	return status
}

// writeFiles writes the results and the plot to the files that the flags name.
func (l *loadTest) writeFiles(results []load.Result) subcommands.ExitStatus {
	if l.resultsFile != "" {
		data, err := json.MarshalIndent(results, "", "  ")
		if err == nil {
			err = os.WriteFile(l.resultsFile, append(data, '\n'), 0o644)
		}
		if err != nil {
			return l.fail(fault.Wrap(err, "write results", l.resultsFile))
		}
	}
	if l.plotFile == "" {
		return exitOK
	}
	file, err := os.Create(l.plotFile)
	if err != nil {
		return l.fail(fault.Wrap(err, "create plot", l.plotFile))
	}
	defer func() { _ = file.Close() }()
	if err := load.WritePlot(file, results); err != nil {
		return l.fail(fault.Wrap(err, "write plot", l.plotFile))
	}
	return exitOK
}

// printComparison prints the results of several files in one table.
func (l *loadTest) printComparison(names []string) subcommands.ExitStatus {
	var results []load.Result
	for _, n := range names {
		fileResults, err := load.ReadResults(n)
		if err != nil {
			return l.fail(err)
		}
		for _, x := range fileResults {
			x.Name = n + ":" + x.Name
			results = append(results, x)
		}
	}
	if err := load.WriteTable(l.out, results); err != nil {
		return l.fail(err)
	}
	return exitOK
}
