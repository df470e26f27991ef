// Package quarantine finds the requests that crash targets. The requests in flight when the target dies become
// suspects; a suspect runs alone, at one target of the service at a time, and is refused after its second crash.
package quarantine

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// MaxBody is the length of the body's prefix that a fingerprint covers, in bytes.
const MaxBody = 64 << 10

// stepBytes is the unit in which a fingerprint of an incomplete body counts the prefix that was seen.
const stepBytes = 1 << 10

// wholeBody in place of the number of steps means that the body ended or that MaxBody bytes of it were seen.
const wholeBody = 0xff

// Fingerprint names requests with equal service, method, path, query and body prefix: 7 bytes of digest of the head, the
// number of steps of the body that the rest covers, and 8 bytes of digest of that prefix. With 0 steps it covers each
// body. xxhash is enough: a collision makes a request run alone, and can't be told from a repeated one.
type Fingerprint [16]byte

// Head is the part of a fingerprint that is known before the body.
type Head [7]byte

func (f Fingerprint) head() Head { return Head(f[:7]) }
func (f Fingerprint) steps() int { return int(f[7]) }

// coversAllBodies reports whether the fingerprint was taken before a first step of the body was seen.
func (f Fingerprint) coversAllBodies() bool { return f.steps() == 0 }

// Parse reads a fingerprint from a message.
func Parse(raw []byte) (Fingerprint, bool) {
	if len(raw) != len(Fingerprint{}) {
		return Fingerprint{}, false
	}
	return Fingerprint(raw), true
}

// Digest computes a request's fingerprint while its body streams. Safe for concurrent use.
type Digest struct {
	head Head

	mu    sync.Mutex
	body  xxhash.Digest
	seen  int    // bytes of the body
	steps uint64 // digest of the last whole step
	ended bool
}

// NewDigest starts the digest of a request; target is the path with the query.
func NewDigest(service, method, target string) *Digest {
	var hash xxhash.Digest
	hash.Reset()
	for _, part := range [...]string{service, method, target} {
		_, _ = hash.WriteString(part) // never fails
		_, _ = hash.Write([]byte{0})
	}
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], hash.Sum64())
	digest := &Digest{head: Head(sum[:7])}
	digest.body.Reset()
	return digest
}

// Write adds the next part of the body.
func (d *Digest) Write(part []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(part) > 0 && d.seen < MaxBody {
		n := min(len(part), stepBytes-d.seen%stepBytes)
		_, _ = d.body.Write(part[:n]) // never fails
		d.seen += n
		part = part[n:]
		if d.seen%stepBytes == 0 {
			d.steps = d.body.Sum64()
		}
	}
}

// End notes that the body ended.
func (d *Digest) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
}

// Fingerprint returns the fingerprint that the part of the body seen so far gives.
func (d *Digest) Fingerprint() Fingerprint {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended || d.seen >= MaxBody {
		return join(d.head, wholeBody, d.body.Sum64())
	}
	return join(d.head, d.seen/stepBytes, d.steps)
}

func join(head Head, steps int, body uint64) Fingerprint {
	var f Fingerprint
	copy(f[:], head[:])
	f[7] = byte(steps)
	binary.BigEndian.PutUint64(f[8:], body)
	return f
}

// covers reports whether a request with that body prefix, of up to MaxBody bytes, has the fingerprint.
func (f Fingerprint) covers(prefix []byte) bool {
	size := f.steps() * stepBytes
	switch {
	case f.steps() == 0:
		return true
	case f.steps() == wholeBody:
		size = len(prefix)
	case len(prefix) < size:
		return false
	}
	return xxhash.Sum64(prefix[:size]) == binary.BigEndian.Uint64(f[8:])
}
