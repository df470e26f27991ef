package deployment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/acacialock/acacialock/platform/standin"
)

// Exit codes of a case.
const (
	ExitHeld     = 0 // the rule held
	ExitBroken   = 1 // the rule was broken
	ExitUnusable = 2 // the case could not run
)

// runLimit is the time after which a case is given up.
const runLimit = 110 * time.Second

// Deployment is a store stand-in and the machines that use it.
type Deployment struct {
	Store    *standin.Store
	Record   *Record
	Machines []*Machine

	storeAddr string
	ports     map[int]bool // given to machines
	folder    string       // settings and logs of the nodes
}

// Main runs a case and exits with its exit code. dir is the folder of the case, relative to the repository's root, which must
// be the working directory. Trouble is false if the environment sets TROUBLE=0: the case then leaves out its disruption.
func Main(dir string, run func(d *Deployment, trouble bool) (broken bool, err error)) {
	os.Exit(runCase(dir, run))
}

func runCase(dir string, run func(*Deployment, bool) (bool, error)) int {
	record, err := NewRecord(dir + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUnusable
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("disruption: %v", trouble)
	d, err := start(record)
	if err != nil {
		record.Printf("cannot run: %v", err)
		return ExitUnusable
	}
	defer d.close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := run(d, trouble)
		done <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var result outcome
	select {
	case result = <-done:
	case <-interrupted:
		result.err = errors.New("interrupted")
	case <-time.After(runLimit):
		result.err = fmt.Errorf("not finished after %v", runLimit)
	}
	switch {
	case result.err != nil:
		record.Printf("cannot run: %v", result.err)
		return ExitUnusable
	case result.broken:
		record.Printf("result: the rule was broken")
		return ExitBroken
	}
	record.Printf("result: the rule held")
	return ExitHeld
}

func start(record *Record) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "acacialock-review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: standin.NewStore(), Record: record, storeAddr: listener.Addr().String(), ports: map[int]bool{}, folder: folder}
	go func() { _ = http.Serve(listener, d.Store) }() // until the process ends
	return d, nil
}

// SetStoreDown makes the store answer all calls with 503 and no effect, or ends that.
func (d *Deployment) SetStoreDown(down bool) {
	fault := standin.NoFault
	if down {
		fault = standin.Unavailable
	}
	d.Store.SetFault(func(*http.Request) standin.Fault { return fault })
	d.Record.Printf("store down: %v", down)
}

// AwaitReady waits until the nodes of all machines answer their readiness checks, and then until their workers are known
// to each other.
func (d *Deployment) AwaitReady() error {
	for _, m := range d.Machines {
		if err := m.AwaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // a check-in of each worker, and the time until other nodes have read its row
	return nil
}

func (d *Deployment) close() {
	for _, m := range d.Machines {
		m.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("settings and logs:", d.folder)
	}
}

// firstPort and lastPort bound the ports of the nodes and workers. They lie below the ports from which the kernel chooses for
// outgoing connections, one of which could otherwise take a port before its node listens on it.
const (
	firstPort = 15000
	lastPort  = 30000
)

// freeAddr returns a loopback address with a free port that it has not returned before.
func (d *Deployment) freeAddr() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if d.ports[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // in use
		}
		_ = listener.Close()
		d.ports[port] = true
		return listener.Addr().String(), nil
	}
	return "", errors.New("no port is free")
}
