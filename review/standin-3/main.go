// Command standin-3 plays the cases of the third review that are scripts: it starts the real
// programs on loopback addresses with stand-ins of the platform, the workers and the
// consumers, and checks a rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes: the rule held, it was broken, the case could not run.
const (
	held, broken, unable = 0, 1, 2
)

// plays holds the cases by name.
var plays = map[string]func(c *cluster, trouble bool) (bool, error){
	"times":   playTimes,
	"scale":   playScale,
	"lasting": playLasting,
}

func main() {
	os.Exit(play())
}

func play() int {
	name := flag.String("case", "", "case to play")
	binary := flag.String("binary", "target/knapweedspur", "program under test")
	path := flag.String("record", "record.txt", "file for the record")
	slot := flag.Int("slot", 0, "second number of the loopback addresses, 0 for a free one")
	flag.Parse()
	run := plays[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return unable
	}
	record, err := newRecorder(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	c, err := newCluster(*binary, max(*slot, firstSlot), record)
	for try := firstSlot + 1; err != nil && *slot == 0 && try < lastSlot; try++ {
		c, err = newCluster(*binary, try, record)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer c.stop()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		<-signals
		c.stop()
		os.Exit(unable)
	}()
	wrong, err := run(c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.say("the case could not run: %v", err)
		return unable
	case wrong:
		record.say("the rule was BROKEN")
		return broken
	}
	record.say("the rule held")
	return held
}
