package testnet

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

// Range of the ports that FreeAddr returns. It lies below the range from which the kernel chooses ports of outgoing
// connections; such a connection could otherwise take a free port before its listener opens.
const (
	firstPort = 20000
	portCount = 12000
	// portsPerProcess is the distance between the first ports of processes with successive IDs, so that test processes that
	// run concurrently rarely try the same ports.
	portsPerProcess = 64
)

var freeAddrs struct {
	sync.Mutex
	tried int // number of ports tried so far
}

// FreeAddr returns a loopback address with a free port, or the last listen error if no port is free. It tries each port of
// the range once before it repeats one, so a process gets no address twice within portCount tries.
func FreeAddr() (string, error) {
	freeAddrs.Lock()
	defer freeAddrs.Unlock()
	var err error
	for range portCount {
		port := firstPort + (os.Getpid()*portsPerProcess+freeAddrs.tried)%portCount
		freeAddrs.tried++
		var listener net.Listener
		if listener, err = net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port)); err == nil {
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", err
}

// MustFreeAddr returns an address from FreeAddr and fails the test if there is none.
func MustFreeAddr(tb testing.TB) string {
	tb.Helper()
	addr, err := FreeAddr()
	if err != nil {
		tb.Fatalf("no free port: %v", err)
	}
	return addr
}
