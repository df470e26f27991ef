package quarantine

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// Guards against a repeated request that is not recognized because its body arrived in different parts or was truncated
// before, and against one that is confused with a request with another path or body.
func TestFingerprintMatchesRepeatedRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, MaxBodyPrefix+3*blockBytes).Draw(t, "size")
		body := make([]byte, size)
		for i := 0; i < size; i += 100 {
			body[i] = byte(i / 100)
		}
		seen := rapid.IntRange(0, size).Draw(t, "seen")
		digest := NewDigest("orders", "POST", "/lots?id=1")
		for from := 0; from < seen; {
			to := min(seen, from+rapid.IntRange(1, 9000).Draw(t, "part"))
			digest.Write(body[from:to])
			from = to
		}
		if seen == size {
			digest.End()
		}
		fingerprint := digest.Fingerprint()
		prefix := body[:min(size, MaxBodyPrefix)]
		assert.Assert(t, fingerprint.matches(prefix))
		assert.Equal(t, fingerprint.head(), NewDigest("orders", "POST", "/lots?id=1").head)
		assert.Assert(t, fingerprint.head() != NewDigest("orders", "POST", "/lots?id=2").head)
		if known := min(seen, MaxBodyPrefix); known >= blockBytes {
			other := append([]byte{}, prefix...)
			other[rapid.IntRange(0, known/blockBytes*blockBytes-1).Draw(t, "at")]++
			assert.Assert(t, !fingerprint.matches(other))
		}
	})
}

func testFingerprint(n int) Fingerprint {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(n))
	digest := NewDigest("s", "GET", "/"+string(raw[:]))
	digest.End()
	return digest.Fingerprint()
}

func (s *Store) verdict(fingerprint Fingerprint) Verdict {
	verdict, _ := s.evaluate(fingerprint.head(), nil)
	return verdict
}

// Guards against crashes at different nodes that are counted once, the same share counted twice, a quarantine that
// never ends or ends without probation, and a cleared suspect that remains.
func TestStoreSumsCrashesOfOrigins(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	a, b, other := NewStore("a", clock), NewStore("b", clock), NewStore("c", clock)
	bad := testFingerprint(1)
	fromA, fromB := a.RecordCrash([]Fingerprint{bad}), b.RecordCrash([]Fingerprint{bad})
	assert.Equal(t, a.verdict(bad), Isolated)
	for range 3 {
		other.Merge(fromA)
		a.Merge(fromA)
	}
	assert.Equal(t, other.verdict(bad), Isolated)
	assert.Equal(t, a.verdict(bad), Isolated)
	other.Merge(fromB)
	a.Merge(fromB)
	assert.Equal(t, other.verdict(bad), Refused)
	assert.Equal(t, a.verdict(bad), Refused)

	now = now.Add(Duration)
	assert.Equal(t, other.verdict(bad), Isolated, "parole")
	other.RecordCrash([]Fingerprint{bad})
	assert.Equal(t, other.verdict(bad), Refused)
	other.Merge(a.Clear([]Fingerprint{bad}))
	assert.Equal(t, other.verdict(bad), Unrestricted)
	assert.Equal(t, a.verdict(bad), Unrestricted)
}

// Guards against memory that grows with the number of suspects, and against the eviction of a quarantined request in
// favour of a harmless suspect.
func TestStoreIsBounded(t *testing.T) {
	store := NewStore("a", time.Now)
	bad := testFingerprint(0)
	store.Merge([]*rpc.Suspect{{Fingerprint: bad[:], Origin: "b", Crashes: 2, ExpiresMs: 30000}})
	for n := 1; n < 3*MaxSuspects; n++ {
		f := testFingerprint(n)
		store.Merge([]*rpc.Suspect{{Fingerprint: f[:], Origin: "b", Crashes: 1, ExpiresMs: 60000}})
	}
	assert.Equal(t, len(store.Suspects()), MaxSuspects)
	assert.Equal(t, store.count.Load(), int64(MaxSuspects))
	assert.Equal(t, store.verdict(bad), Refused)
}

// Guards against two nodes that run a suspect at the same time, and against a lost permit that is not counted as a
// crash: if its holder crashed with the target, the request would crash the next one.
func TestPermitHasOneHolder(t *testing.T) {
	now := time.Unix(0, 0)
	store := NewStore("coordinator", func() time.Time { return now })
	bad := testFingerprint(1)
	store.Merge([]*rpc.Suspect{{Fingerprint: bad[:], Origin: "a", Crashes: 1, ExpiresMs: 600000}})
	requestPermit := func(requester string, ended bool) *rpc.PermitResponse {
		return store.Permit(&rpc.PermitRequest{Fingerprint: bad[:], Requester: requester, ValidMs: 1000, Ended: ended})
	}
	assert.Assert(t, requestPermit("b", false).GetGranted())
	assert.Assert(t, !requestPermit("c", false).GetGranted())
	requestPermit("c", true)
	assert.Assert(t, !requestPermit("c", false).GetGranted(), "released by a node that does not hold it")
	requestPermit("b", true)
	assert.Assert(t, requestPermit("c", false).GetGranted())
	now = now.Add(time.Second)
	response := requestPermit("b", false)
	assert.Assert(t, !response.GetGranted() && response.GetRefused(), "a lost permit is the second crash")
	assert.Equal(t, store.verdict(bad), Refused)
}

// noBody is a request body of which no byte has arrived.
type noBody struct{}

func (noBody) Prefix() ([]byte, error) { return nil, nil }

// Guards against the refusal of an entire route after two targets crashed while requests waited to send their bodies: a
// fingerprint without any part of the body matches all requests with the same path.
func TestRequestWithUnreadBodyIsNoSuspect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := listener.Addr().String()
	assert.NilError(t, listener.Close()) // the target accepts no connection
	self := cluster.Member{ID: "n@1", Service: "shop"}
	guard := NewGuard(Config{
		Self: self, TargetAddr: addr, Metrics: telemetry.New(), View: cluster.NewView(&cluster.Snapshot{Self: self}),
	})
	defer guard.Close()
	ctx := context.Background()
	for range 3 {
		digest := NewDigest("shop", "POST", "/buy")
		pass, refused := guard.Admit(ctx, time.Now().Add(time.Second), digest, noBody{})
		assert.Assert(t, refused == nil, "%v", refused)
		assert.Assert(t, !pass.Isolated())
		tracked := guard.Track(pass, digest)
		tracked.MarkSent()
		assert.Assert(t, tracked.ReportBreak(ctx))
		tracked.Finish(ctx, false)
		pass.Release(ctx)
	}
}
