//go:build race

package e2e

// raceEnabled builds the programs under test with the race detector when the tests run with it.
const raceEnabled = true
