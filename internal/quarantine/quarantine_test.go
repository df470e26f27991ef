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

// Guards against a repeated request that is not recognized because its body came in other parts or broke off before, and
// against one that is taken for a request with another path or body.
func TestFingerprintCoversRepeatedRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, MaxBody+3*stepBytes).Draw(t, "size")
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
		prefix := body[:min(size, MaxBody)]
		assert.Assert(t, fingerprint.covers(prefix))
		assert.Equal(t, fingerprint.head(), NewDigest("orders", "POST", "/lots?id=1").head)
		assert.Assert(t, fingerprint.head() != NewDigest("orders", "POST", "/lots?id=2").head)
		if known := min(seen, MaxBody); known >= stepBytes {
			other := append([]byte{}, prefix...)
			other[rapid.IntRange(0, known/stepBytes*stepBytes-1).Draw(t, "at")]++
			assert.Assert(t, !fingerprint.covers(other))
		}
	})
}

func fingerprintOf(n int) Fingerprint {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(n))
	digest := NewDigest("s", "GET", "/"+string(raw[:]))
	digest.End()
	return digest.Fingerprint()
}

func (s *Store) verdict(fingerprint Fingerprint) Verdict {
	verdict, _ := s.judge(fingerprint.head(), nil)
	return verdict
}

// Guards against crashes at different nodes that are counted once, the same share counted twice, a refusal that never
// ends or ends without parole, and a cleared suspect that stays.
func TestStoreAddsCrashesOfOrigins(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	a, b, other := NewStore("a", clock), NewStore("b", clock), NewStore("c", clock)
	bad := fingerprintOf(1)
	fromA, fromB := a.Mark([]Fingerprint{bad}), b.Mark([]Fingerprint{bad})
	assert.Equal(t, a.verdict(bad), Alone)
	for range 3 {
		other.Merge(fromA)
		a.Merge(fromA)
	}
	assert.Equal(t, other.verdict(bad), Alone)
	assert.Equal(t, a.verdict(bad), Alone)
	other.Merge(fromB)
	a.Merge(fromB)
	assert.Equal(t, other.verdict(bad), Refused)
	assert.Equal(t, a.verdict(bad), Refused)

	now = now.Add(Duration)
	assert.Equal(t, other.verdict(bad), Alone, "parole")
	other.Mark([]Fingerprint{bad})
	assert.Equal(t, other.verdict(bad), Refused)
	other.Merge(a.Clear([]Fingerprint{bad}))
	assert.Equal(t, other.verdict(bad), Free)
	assert.Equal(t, a.verdict(bad), Free)
}

// Guards against memory that grows with the number of suspects, and against a refused request that makes room for a
// harmless suspect.
func TestStoreIsBounded(t *testing.T) {
	store := NewStore("a", time.Now)
	bad := fingerprintOf(0)
	store.Merge([]*rpc.Suspect{{Fingerprint: bad[:], Origin: "b", Crashes: 2, ExpiresMs: 30000}})
	for n := 1; n < 3*MaxSuspects; n++ {
		f := fingerprintOf(n)
		store.Merge([]*rpc.Suspect{{Fingerprint: f[:], Origin: "b", Crashes: 1, ExpiresMs: 60000}})
	}
	assert.Equal(t, len(store.Known()), MaxSuspects)
	assert.Equal(t, store.count.Load(), int64(MaxSuspects))
	assert.Equal(t, store.verdict(bad), Refused)
}

// Guards against two nodes that run a suspect at once, and against a holder that died with its target and let the
// request go on to the next one.
func TestPermitIsHeldByOne(t *testing.T) {
	now := time.Unix(0, 0)
	store := NewStore("coordinator", func() time.Time { return now })
	bad := fingerprintOf(1)
	store.Merge([]*rpc.Suspect{{Fingerprint: bad[:], Origin: "a", Crashes: 1, ExpiresMs: 600000}})
	ask := func(requester string, ended bool) *rpc.PermitResponse {
		return store.Permit(&rpc.PermitRequest{Fingerprint: bad[:], Requester: requester, ValidMs: 1000, Ended: ended})
	}
	assert.Assert(t, ask("b", false).GetGranted())
	assert.Assert(t, !ask("c", false).GetGranted())
	ask("c", true)
	assert.Assert(t, !ask("c", false).GetGranted(), "given back by one that does not hold it")
	ask("b", true)
	assert.Assert(t, ask("c", false).GetGranted())
	now = now.Add(time.Second)
	answer := ask("b", false)
	assert.Assert(t, !answer.GetGranted() && answer.GetRefused(), "a lost permit is the second crash")
	assert.Equal(t, store.verdict(bad), Refused)
}

// noBody is a request body of which nothing has arrived.
type noBody struct{}

func (noBody) Prefix() ([]byte, error) { return nil, nil }

// Guards against a route that is refused whole: two targets died while requests waited to send their bodies, and the
// fingerprint of a body that was not seen covers each body.
func TestUnreadBodiesAreNoSuspects(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := listener.Addr().String()
	assert.NilError(t, listener.Close()) // the target is dead
	self := cluster.Member{ID: "n@1", Service: "shop"}
	guard := NewGuard(Config{
		Self: self, TargetAddr: addr, Metrics: telemetry.New(), View: cluster.NewView(&cluster.Snapshot{Self: self}),
	})
	defer guard.Close()
	ctx := context.Background()
	for range 3 {
		digest := NewDigest("shop", "POST", "/buy")
		pass, refused := guard.Judge(ctx, time.Now().Add(time.Second), digest, noBody{})
		assert.Assert(t, refused == nil, "%v", refused)
		assert.Assert(t, !pass.Alone())
		run := guard.Begin(pass, digest)
		run.Sent()
		assert.Assert(t, run.Broke(ctx))
		run.End(ctx, false)
		pass.Leave(ctx)
	}
}
