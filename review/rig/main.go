package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the cases by their names. Each returns the breaks of its rule that it saw.
var cases = map[string]func(rec *recorder, trouble bool) (broken []string, err error){
	"backlog":      backlog,
	"large-claim":  largeClaim,
	"lost-cancel":  lostCancel,
	"lost-failure": lostFailure,
	"explore":      explore,
}

func main() {
	dir := flag.String("dir", ".", "folder for record.txt")
	flag.Parse()
	os.Exit(runCase(flag.Arg(0), *dir))
}

func runCase(name, dir string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.f.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption: %t", name, trouble)
	broken, err := play(rec, trouble)
	if err != nil {
		rec.line("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return notRun
	}
	sort.Strings(broken)
	for i, b := range broken {
		rec.line("BROKEN %s", b)
		if i < 5 {
			fmt.Println("broken:", b)
		}
	}
	fmt.Printf("%s, disruption %t: %d breaks of the rule\n", name, trouble, len(broken))
	if len(broken) > 0 {
		return ruleBroken
	}
	return ruleHeld
}
