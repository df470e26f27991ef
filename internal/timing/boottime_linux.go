package timing

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is CLOCK_BOOTTIME of clock_gettime(2), which package syscall does not name.
const clockBoottime = 7

// SinceBoot returns the reading of a clock that never jumps and also advances while the machine is suspended, unlike the
// monotonic reading of time.Time.
func SinceBoot() time.Duration {
	var reading syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&reading)), 0)
	if errno != 0 {
		panic("clock_gettime(CLOCK_BOOTTIME): " + errno.Error()) // Linux has this clock since 2.6.39
	}
	return time.Duration(reading.Nano())
}
