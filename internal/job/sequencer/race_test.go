//go:build race

package sequencer

// raceSlowdown is by how much the race detector slows code at most.
const raceSlowdown = 20
