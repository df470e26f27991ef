package main

import (
	"runtime"
	"syscall"
	"time"

	"github.com/acacialock/acacialock/internal/control/controltest"
)

const (
	calmTime    = 8 * time.Second
	settleTime  = 12 * time.Second // three heartbeats in the largest zones
	restartTime = 12 * time.Second
	outageTime  = 6 * time.Second
	returnTime  = 6 * time.Second
	listChanges = 3
)

// figures are the results of one measurement.
type figures struct {
	members, zones int
	cpu            float64 // ms per second and node, mean of all nodes
	memory         float64 // bytes of heap and stacks per node
	plain, leader  rates   // bytes/s of a node
	calm           perSecond
	restart        perSecond // most in one second
	outage         perSecond // most in one second after it
	list           time.Duration
}

type rates struct{ sent, received float64 }

type perSecond struct{ reads, writes float64 }

func measure(members, zones int, http2 bool) (figures, error) {
	f := figures{members: members, zones: zones}
	before := memoryInUse()
	s, err := newSystem(members, zones, http2)
	if err != nil {
		return f, err
	}
	defer s.stop()
	time.Sleep(settleTime)
	f.memory = float64(memoryInUse()-before) / float64(members)
	f.measureCalm(s)
	if err := f.measureList(s); err != nil {
		return f, err
	}
	if err := s.restartZone(s.places[0].zone); err != nil {
		return f, err
	}
	f.restart = mostPerSecond(s.store, restartTime)
	if _, err := s.waitFor(settleLimit, s.settled); err != nil {
		return f, err
	}
	s.setDown(true)
	time.Sleep(outageTime)
	s.setDown(false)
	f.outage = mostPerSecond(s.store, returnTime)
	return f, nil
}

func (f *figures) measureCalm(s *system) {
	type reading struct{ sent, received int64 }
	before := make([]reading, len(s.hosts))
	for i, h := range s.hosts {
		before[i] = reading{h.bytes.sent.Load(), h.bytes.received.Load()}
	}
	counts := s.store.Counts()
	cpu := cpuTime()
	start := time.Now()
	time.Sleep(calmTime)
	elapsed := time.Since(start).Seconds()
	f.cpu = (cpuTime() - cpu).Seconds() * 1000 / elapsed / float64(len(s.hosts))
	now := s.store.Counts()
	f.calm = perSecond{float64(reads(now)-reads(counts)) / elapsed, float64(now.Writes-counts.Writes) / elapsed}
	leaders := 0
	for i, h := range s.hosts {
		sent := float64(h.bytes.sent.Load()-before[i].sent) / elapsed
		received := float64(h.bytes.received.Load()-before[i].received) / elapsed
		if h.node.Status().Leader {
			leaders++
			f.leader.sent += sent
			f.leader.received += received
			continue
		}
		f.plain.sent += sent
		f.plain.received += received
	}
	plain := float64(len(s.hosts) - leaders)
	f.plain = rates{f.plain.sent / plain, f.plain.received / plain}
	f.leader = rates{f.leader.sent / float64(leaders), f.leader.received / float64(leaders)}
}

// measureList takes the longest time of several changes until the new version is in force everywhere.
func (f *figures) measureList(s *system) error {
	for range listChanges {
		if err := s.accept(); err != nil {
			return err
		}
		took, err := s.waitFor(settleLimit, s.inForce)
		if err != nil {
			return err
		}
		f.list = max(f.list, took)
	}
	return nil
}

func mostPerSecond(store *controltest.Store, limit time.Duration) perSecond {
	var most perSecond
	last := store.Counts()
	for end := time.Now().Add(limit); time.Now().Before(end); {
		time.Sleep(time.Second)
		now := store.Counts()
		most.reads = max(most.reads, float64(reads(now)-reads(last)))
		most.writes = max(most.writes, float64(now.Writes-last.Writes))
		last = now
	}
	return most
}

func reads(c controltest.Counts) int { return c.Reads + c.Objects }

// cpuTime is the process's time in user and system mode.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // can't fail with these arguments
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse is the live heap and the stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
