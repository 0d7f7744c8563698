// Command review-2-drive plays the cases of the second review against real controller processes on loopback addresses.
// It holds the stand-ins for clients, executors and the discovery server that the cases need.
//
//	review-2-drive CASE FOLDER
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run. With
// TROUBLE=0 in the environment the case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is the longest time that a case may take. A case that takes longer could not run.
const limit = 112 * time.Second

// cases are the cases by their names. A case returns whether the rule held.
var cases = map[string]func(*play) (held bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2-drive CASE FOLDER")
		os.Exit(2)
	}
	p, err := newPlay(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	code := make(chan int, 1)
	go func() { code <- p.run(cases[os.Args[1]]) }()
	result := 2
	select {
	case result = <-code:
	case <-stop:
		p.note("ended by a signal")
	case <-time.After(limit):
		p.note("could not run: longer than %v", limit)
	}
	p.note("exit code %d", result)
	p.close()
	os.Exit(result)
}

// giveUp is the panic value by which a case ends that can't be played.
type giveUp struct{ reason string }

// run plays a case and returns the exit code.
func (p *play) run(play func(*play) bool) (code int) {
	defer func() {
		if reason, ok := recover().(giveUp); ok {
			p.note("could not run: %s", reason.reason)
			code = 2
		}
	}()
	p.note("trouble: %v", p.trouble)
	if play(p) {
		p.note("the rule held")
		return 0
	}
	p.note("THE RULE WAS BROKEN")
	return 1
}
