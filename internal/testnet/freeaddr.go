package testnet

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

// Ports of FreeAddr. They lie below those that the kernel gives to outgoing connections, which could else take a free port
// before its listener opens.
const (
	firstPort = 20000
	ports     = 12000
	// portsPerProcess keeps test processes that run at the same time apart.
	portsPerProcess = 64
)

var freeAddrs struct {
	sync.Mutex
	handedOut int
}

// FreeAddr returns a loopback address with a free port. It returns no address twice in a process.
func FreeAddr() (string, error) {
	freeAddrs.Lock()
	defer freeAddrs.Unlock()
	var err error
	for range ports {
		port := firstPort + (os.Getpid()*portsPerProcess+freeAddrs.handedOut)%ports
		freeAddrs.handedOut++
		var socket net.Listener
		if socket, err = net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port)); err == nil {
			return socket.Addr().String(), socket.Close()
		}
	}
	return "", err
}

// MustFreeAddr returns an address of FreeAddr or ends the test.
func MustFreeAddr(tb testing.TB) string {
	tb.Helper()
	addr, err := FreeAddr()
	if err != nil {
		tb.Fatalf("no free port: %v", err)
	}
	return addr
}
