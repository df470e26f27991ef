package forward

import "syscall"

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT, which package syscall doesn't name

// setUserTimeout closes connections whose sent data stays unacknowledged, so that a silent connection ends by itself.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		ms := int(DefaultUserTimeout.Milliseconds())
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, ms)
	})
	if err != nil {
		return err
	}
	return failed
}
