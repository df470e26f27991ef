package keys

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
)

// benchOwner returns an owner with authority in an activated roster with 16 other members.
func benchOwner(b *testing.B) *Service {
	entry := &servicelist.Service{Name: "orders", HomeRegion: "r1"}
	view := cluster.NewView(&cluster.Snapshot{List: &servicelist.List{Services: map[string]*servicelist.Service{"orders": entry}}})
	s, err := New(Config{Self: cluster.Member{ID: "n00@1", Service: "orders"}, View: view, Table: &simTable{}, MaxRecords: 1 << 30, MaxBytes: 1 << 40,
		Keys: func(string) rpc.Keys { return nil }})
	if err != nil {
		b.Fatal(err)
	}
	var members []cluster.Member
	for i := range 17 {
		members = append(members, cluster.Member{ID: fmt.Sprintf("n%02d@1", i), Service: "orders"})
	}
	s.gate.roster, s.gate.activated, s.gate.expiry = (&Roster{Service: "orders"}).withJoined(members), true, time.Now().Add(time.Hour)
	return s
}

// benchClaim returns the claim of a key that the owner owns; keys differ by number.
func benchClaim(s *Service, number uint64) *rpc.ClaimRequest {
	for ; ; number += 1 << 40 {
		key := fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012x", number)
		if s.gate.roster.Owner(key).ID == s.cfg.Self.ID {
			attempt := binary.BigEndian.AppendUint64(make([]byte, 8), number+1)
			return &rpc.ClaimRequest{Service: "orders", Key: key, Fingerprint: make([]byte, 32), Attempt: attempt, Runner: "n01@1", RosterVersion: s.gate.roster.Version}
		}
	}
}

// BenchmarkClaim measures the rate of claims of new keys at one owner, without network calls.
func BenchmarkClaim(b *testing.B) {
	s := benchOwner(b)
	requests := make([]*rpc.ClaimRequest, b.N)
	for i := range requests {
		requests[i] = benchClaim(s, uint64(i))
	}
	var next, granted atomic.Int64
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if response, err := s.Claim(context.Background(), requests[next.Add(1)-1]); err == nil && response.Granted {
				granted.Add(1)
			}
		}
	})
	if granted.Load() != int64(b.N) {
		b.Fatalf("%d of %d claims were granted", granted.Load(), b.N)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// BenchmarkRecordMemory measures the heap memory of a record with a key of 36 bytes and a fingerprint of 32 bytes.
func BenchmarkRecordMemory(b *testing.B) {
	const records = 50_000
	for b.Loop() {
		s := benchOwner(b)
		before := heapBytes()
		for i := range records {
			_, _ = s.Claim(context.Background(), benchClaim(s, uint64(i))) // counted below
		}
		b.ReportMetric(float64(heapBytes()-before)/records, "bytes/record")
		b.ReportMetric(float64(s.records.bytes.Load())/float64(s.records.count.Load()), "accounted-bytes/record")
		runtime.KeepAlive(s)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
