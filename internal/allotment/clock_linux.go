package allotment

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is CLOCK_BOOTTIME of clock_gettime(2).
const clockBoottime = 7

// sinceBoot returns the time since the machine started, including the time while it was suspended: after that, the answer
// of another node is too old, which the monotonic clock wouldn't show.
func sinceBoot() time.Duration {
	var at syscall.Timespec
	if _, _, failed := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&at)), 0); failed != 0 {
		return sinceStart()
	}
	return time.Duration(at.Nano())
}
