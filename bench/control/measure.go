package main

import (
	"runtime"
	"syscall"
	"time"

	"github.com/acacialock/acacialock/internal/control/controltest"
)

const (
	steadyTime   = 8 * time.Second
	settleTime   = 12 * time.Second // three heartbeat intervals in the largest zones
	restartTime  = 12 * time.Second
	outageTime   = 6 * time.Second
	recoveryTime = 6 * time.Second
	listChanges  = 3
)

// result holds the figures for one number of members and zones.
type result struct {
	members, zones    int
	cpu               float64   // CPU milliseconds per second and node, mean of all nodes
	memory            float64   // bytes of heap and stacks per node
	nonLeader, leader byteRates // mean bytes/s of a node
	steady            opsPerSecond
	zoneRestart       opsPerSecond  // peak within one second after the restart of a zone
	afterOutage       opsPerSecond  // peak within one second after a store outage
	listDelay         time.Duration // longest time until an accepted service list is in force at all nodes
}

type byteRates struct{ sent, received float64 }

type opsPerSecond struct{ reads, writes float64 }

// measure starts a system and measures it in steady state, on changes of the service list, after the restart of a zone
// and after a store outage, in this order.
func measure(members, zones int, http2 bool) (result, error) {
	r := result{members: members, zones: zones}
	before := memoryInUse()
	s, err := newSystem(members, zones, http2)
	if err != nil {
		return r, err
	}
	defer s.stop()
	time.Sleep(settleTime)
	r.memory = float64(memoryInUse()-before) / float64(members)
	r.measureSteadyState(s)
	if err := r.measureList(s); err != nil {
		return r, err
	}
	if err := s.restartZone(s.specs[0].zone); err != nil {
		return r, err
	}
	r.zoneRestart = peakPerSecond(s.store, restartTime)
	if _, err := s.waitFor(settleTimeout, s.isSettled); err != nil {
		return r, err
	}
	s.setStoreDown(true)
	time.Sleep(outageTime)
	s.setStoreDown(false)
	r.afterOutage = peakPerSecond(s.store, recoveryTime)
	return r, nil
}

// measureSteadyState measures CPU time, traffic and store operations while nothing changes.
func (r *result) measureSteadyState(s *system) {
	type reading struct{ sent, received int64 }
	before := make([]reading, len(s.hosts))
	for i, h := range s.hosts {
		before[i] = reading{h.traffic.sent.Load(), h.traffic.received.Load()}
	}
	counts := s.store.Counts()
	cpu := cpuTime()
	start := time.Now()
	time.Sleep(steadyTime)
	elapsed := time.Since(start).Seconds()
	r.cpu = (cpuTime() - cpu).Seconds() * 1000 / elapsed / float64(len(s.hosts))
	now := s.store.Counts()
	r.steady = opsPerSecond{float64(totalReads(now)-totalReads(counts)) / elapsed, float64(now.Writes-counts.Writes) / elapsed}
	leaders := 0
	for i, h := range s.hosts {
		sent := float64(h.traffic.sent.Load()-before[i].sent) / elapsed
		received := float64(h.traffic.received.Load()-before[i].received) / elapsed
		if h.node.Status().Leader {
			leaders++
			r.leader.sent += sent
			r.leader.received += received
			continue
		}
		r.nonLeader.sent += sent
		r.nonLeader.received += received
	}
	nonLeaderCount := float64(len(s.hosts) - leaders)
	r.nonLeader = byteRates{r.nonLeader.sent / nonLeaderCount, r.nonLeader.received / nonLeaderCount}
	r.leader = byteRates{r.leader.sent / float64(leaders), r.leader.received / float64(leaders)}
}

// measureList changes the service list several times and records the longest time until a new version is in force at
// all nodes.
func (r *result) measureList(s *system) error {
	for range listChanges {
		if err := s.acceptNextList(); err != nil {
			return err
		}
		elapsed, err := s.waitFor(settleTimeout, s.listInForce)
		if err != nil {
			return err
		}
		r.listDelay = max(r.listDelay, elapsed)
	}
	return nil
}

// peakPerSecond returns the highest numbers of store reads and writes within one second during the given time.
func peakPerSecond(store *controltest.Store, duration time.Duration) opsPerSecond {
	var peak opsPerSecond
	last := store.Counts()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Second)
		now := store.Counts()
		peak.reads = max(peak.reads, float64(totalReads(now)-totalReads(last)))
		peak.writes = max(peak.writes, float64(now.Writes-last.Writes))
		last = now
	}
	return peak
}

// totalReads returns the reads of the table and all operations of the object store.
func totalReads(c controltest.Counts) int { return c.Reads + c.Objects }

// cpuTime returns the CPU time of the process in user and system mode.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // can't fail with these arguments
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of the heap after a garbage collection and of the stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
