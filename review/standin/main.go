// Command review-standin plays the cases of the review that are scripts: it starts the
// programs of the deploy file as separate processes on loopback addresses, with stand-ins
// of the platform, workers and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is a case. It returns what breaks the rule, empty if it held.
type play func(d *deployment, trouble bool) (string, error)

var plays = map[string]play{"fronts": playFronts, "schedule": playSchedule, "ends": playEnds, "flap": playFlap, "gang": playGang}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, folder string) int {
	h, err := newHistory(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer h.file.Close()
	d, err := newDeployment(h)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.stop()
		os.Exit(failed)
	}()
	finding, err := p(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		h.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return failed
	case finding != "":
		h.add("BROKEN: %s", finding)
		fmt.Println("broken:", finding)
		return broken
	}
	h.add("the rule held")
	fmt.Println("held")
	return held
}
