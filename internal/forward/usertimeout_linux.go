package forward

import "syscall"

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT, which package syscall does not define

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a silent connection once sent data has stayed
// unacknowledged for DefaultUserTimeout.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var sockoptErr error
	err := conn.Control(func(fd uintptr) {
		ms := int(DefaultUserTimeout.Milliseconds())
		sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, ms)
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
