package main

import (
	"errors"
	"time"
)

const (
	// The second number of the loopback addresses of a case.
	firstSlot, lastSlot = 61, 90
	entryCount          = 3
	// workerMillicores and workerMemory are the capacity of a worker.
	workerMillicores, workerMemory = 16_000, 64_000
	// settleTime is how long the deployment runs before the first submission.
	settleTime = 2 * time.Second
)

// commonLabel is the label of most workers, specialLabel that of the first ones.
const commonLabel, specialLabel = "a", "b"

var errNoService = errors.New("the deployment did not run a submission that should have run")

// startDeployment starts entries, workers and their agents, the first ones with specialLabel,
// and waits until a first submission is completed. It returns the entries.
func (c *cluster) startDeployment(workers, special int, duration func(task string) time.Duration) ([]*process, error) {
	var entries []*process
	for i := range entryCount {
		p, err := c.startProcess("entry", i)
		if err != nil {
			return nil, err
		}
		entries = append(entries, p)
	}
	for i := range workers {
		label := commonLabel
		if i < special {
			label = specialLabel
		}
		if err := c.addWorker(i, label, duration); err != nil {
			return nil, err
		}
	}
	for _, p := range entries {
		if err := c.waitReady(p); err != nil {
			return nil, err
		}
	}
	time.Sleep(settleTime)
	path := prefix + jobID(0xfff, 1)
	if !c.submit(entries, 0, path, jobBody(step{Count: 3, CPU: 500, MemMb: 100, Estimate: 300})) || !c.waitCompleted(entries, path, 15*time.Second) {
		return nil, errNoService
	}
	return entries, nil
}
