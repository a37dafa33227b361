// Command casectl runs one case of the review: entry hosts as processes between
// stand-ins for the store, searchers and clients.
//
// # Usage
//
//	TROUBLE=1 casectl CASE RECORD
//
// It must be started in the root of the repository after the build of the deploy file.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
	// maxRunTime ends a case that hangs.
	maxRunTime = 115 * time.Second
)

// cases maps the names of the cases to the functions that run them. A case returns
// whether the rule was broken.
var cases = map[string]func(s *site, trouble bool) (broken bool, err error){
	"early":     earlyAnswer,
	"impatient": impatientCaller,
	"seeds":     staleSeeds,
	"leaving":   leavingClients,
	"refused":   failedRuns,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casectl CASE RECORD")
		return exitUnusable
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	s, err := newSite(r)
	if err != nil {
		r.say("cannot run: %v", err)
		return exitUnusable
	}
	defer s.close()
	time.AfterFunc(maxRunTime, func() {
		r.say("cannot run: the case took too long")
		s.close()
		os.Exit(exitUnusable)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.close()
		os.Exit(exitUnusable)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, disruption %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		r.say("cannot run: %v", err)
		return exitUnusable
	case broken:
		r.say("RULE BROKEN")
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}
