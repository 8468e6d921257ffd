// Program standin-2 plays one case of the second review: it starts the project's own
// programs as separate processes on loopback, stands in for the platform, the workers
// and the clients around them, and checks one rule by what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxDuration is the longest time that a case may take.
const maxDuration = 115 * time.Second

// cases holds the cases by name. Each returns what broke the rule, empty if it held.
var cases = map[string]func(f *fleet, trouble bool) (string, error){
	"quarantines": playQuarantines,
	"memory":      playMemory,
	"pending":     playPending,
	"zombie":      playZombie,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name: its name, the program under test and the
// folder for the record.
func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM FOLDER")
		return exitCannotRun
	}
	f, err := newFleet(args[1], filepath.Join(args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer f.stopAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
			f.note("could not run: not done after %s", maxDuration)
		}
		f.stopAll()
		os.Exit(exitCannotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, trouble %v", args[0], trouble)
	broken, err := cases[args[0]](f, trouble)
	switch {
	case err != nil:
		f.note("could not run: %v", err)
		return exitCannotRun
	case broken != "":
		f.note("BROKEN: %s", broken)
		return exitBroken
	}
	f.note("held")
	return exitHeld
}
