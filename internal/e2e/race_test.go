//go:build race

package e2e

// raceEnabled reports whether the tests, and therefore the programs under test, are built with the race detector.
const raceEnabled = true
