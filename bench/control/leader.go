package main

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"time"

	"github.com/acacialock/acacialock/internal/control/controltest"
)

// measureLeader runs one leader in this process and its members in a child process of the same program, so that the CPU
// time of this process is that of the leader. It prints the leader's CPU time, traffic and memory.
func measureLeader(members int, http2 bool) error {
	s, err := newSystem(1, 1, http2)
	if err != nil {
		return err
	}
	defer s.stop()
	leader := s.hosts[0]
	args := []string{"--leader", strconv.Itoa(members), "--of", leader.member.PeerAddr}
	if http2 {
		args = append(args, "--http2")
	}
	child := exec.Command(os.Args[0], args...)
	child.Stderr = os.Stderr
	if err := child.Start(); err != nil {
		return err
	}
	defer func() {
		_ = child.Process.Kill() // the members run until they are killed
		_ = child.Wait()         // returns the signal as an error
	}()
	_, err = s.waitFor(settleTimeout, func() bool { return leader.node.Status().Members > members })
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	cpu, sent, received := cpuTime(), leader.traffic.sent.Load(), leader.traffic.received.Load()
	start := time.Now()
	time.Sleep(steadyTime)
	elapsed := time.Since(start).Seconds()
	fmt.Printf("leader of %d members: CPU %.1f ms/s, sent %.0f B/s, received %.0f B/s, memory %d KiB\n", members,
		(cpuTime()-cpu).Seconds()*1000/elapsed, float64(leader.traffic.sent.Load()-sent)/elapsed,
		float64(leader.traffic.received.Load()-received)/elapsed, memoryInUse()/1024)
	return nil
}

// runMembers runs members of the leader's zone until the process is killed. Their own store is down, so that they learn
// the service list and the other members from the leader only.
func runMembers(leader string, members int, http2 bool) error {
	s := &system{store: controltest.NewStore(), http2: http2}
	s.setStoreDown(true)
	for i := range members {
		spec := nodeSpec{name: fmt.Sprintf("member-%04d", i), service: serviceName(0), zone: zoneName(0)}
		if _, err := startHost(s, spec, "127.0.0.1:0", []string{leader}); err != nil {
			return err
		}
	}
	time.Sleep(time.Hour)
	return nil
}
