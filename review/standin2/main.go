// Command standin2 plays one case of the review against the project's own programs, which
// it starts as separate processes on loopback addresses.
//
// # Usage
//
//	standin2 CASE RECORD
//
// It runs in the repository's root. With TROUBLE=0 it leaves the disruption out. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"burst":   runBurst,
	"forged":  runForged,
	"full":    runFull,
	"readers": runReaders,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-end
		endAll()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return 2
	case broken:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
