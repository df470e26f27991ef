//go:build !linux

package timing

import "time"

var processStart = time.Now()

// SinceBoot returns the reading of a clock that never jumps. Only on Linux it advances while the machine is suspended.
func SinceBoot() time.Duration { return time.Second + time.Since(processStart) }
