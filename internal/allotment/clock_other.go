//go:build !linux

package allotment

import "time"

// sinceBoot returns the time since the process started.
func sinceBoot() time.Duration { return sinceStart() }
