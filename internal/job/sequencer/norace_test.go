//go:build !race

package sequencer

const raceSlowdown = 1
