// Command bed plays the cases of a review: it starts the programs of a small deployment as processes, with
// stand-ins for the store, the workers and the clients, and checks a rule by what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playCase plays one case. trouble is false if the disruption is left out. It reports whether the rule held.
type playCase func(rec *record, trouble bool) (held bool, err error)

var cases = map[string]playCase{}

func main() {
	out := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(exitNotRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		closeStarted()
		os.Exit(exitNotRun)
	}()
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	held, err := play(rec, *trouble)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	case !held:
		rec.logf("BROKEN")
		fmt.Println("broken")
		os.Exit(exitBroken)
	}
	rec.logf("HELD")
	fmt.Println("held")
	os.Exit(exitHeld)
}
