// Command review-standins plays one case of the review: it starts the project's own program and stand-ins for all that
// it talks to, and checks one rule of the operators' pages.
//
// Usage, at the root of the repository: review-standins CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// longest bounds a run.
const longest = 115 * time.Second

var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE RECORD")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
		os.Exit(notRun)
	}
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
		results <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case got := <-results:
		switch {
		case got.err != nil:
			rec.note("could not run: %v", got.err)
			os.Exit(notRun)
		case got.broken:
			rec.note("the rule was broken")
			os.Exit(ruleBroken)
		}
		rec.note("the rule held")
		os.Exit(ruleHeld)
	case <-time.After(longest):
		rec.note("could not run: not done within %v", longest)
	case got := <-signals:
		rec.note("could not run: ended by %v", got)
	}
	closeAll()
	os.Exit(notRun)
}
