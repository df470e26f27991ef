//go:build !linux

package forward

import "syscall"

func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
