// Package quarantine detects requests that crash targets. The requests in flight when a target crashes become suspects.
// A suspect runs in isolation, at one target of the service at a time, and is refused after its second crash.
package quarantine

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// MaxBodyPrefix is the maximum length in bytes of the body prefix that a fingerprint covers.
const MaxBodyPrefix = 64 << 10

// blockBytes is the block size in which the fingerprint of an incomplete body counts the prefix that was seen.
const blockBytes = 1 << 10

// completeBody in place of the block count means that the body ended or that MaxBodyPrefix bytes of it were seen.
const completeBody = 0xff

// Fingerprint identifies requests with the same service, method, path, query and body prefix. It consists of 7 bytes
// of digest of the head, 1 byte with the number of body blocks covered, and 8 bytes of digest of these blocks. With 0
// blocks it matches any body. xxhash is sufficient: a request with a colliding fingerprint is treated as a repetition
// of the suspect.
type Fingerprint [16]byte

// Head is the part of a fingerprint that does not depend on the body: a digest of service, method, path and query.
type Head [7]byte

func (f Fingerprint) head() Head  { return Head(f[:7]) }
func (f Fingerprint) blocks() int { return int(f[7]) }

// matchesAnyBody reports whether the fingerprint was taken before the first block of the body was complete.
func (f Fingerprint) matchesAnyBody() bool { return f.blocks() == 0 }

// ParseFingerprint parses a fingerprint received from another node. It returns false if the length is wrong.
func ParseFingerprint(raw []byte) (Fingerprint, bool) {
	if len(raw) != len(Fingerprint{}) {
		return Fingerprint{}, false
	}
	return Fingerprint(raw), true
}

// Digest computes the fingerprint of a request while its body is streamed. It is safe for concurrent use.
type Digest struct {
	head Head

	mu        sync.Mutex
	body      xxhash.Digest
	bytesSeen int    // bytes of the body hashed so far
	blocksSum uint64 // digest up to the last complete block
	complete  bool
}

// NewDigest returns the digest of a request whose body has not been read; target is the path with the query.
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

// Write adds the next part of the body. Bytes beyond MaxBodyPrefix are ignored.
func (d *Digest) Write(part []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(part) > 0 && d.bytesSeen < MaxBodyPrefix {
		n := min(len(part), blockBytes-d.bytesSeen%blockBytes)
		_, _ = d.body.Write(part[:n]) // never fails
		d.bytesSeen += n
		part = part[n:]
		if d.bytesSeen%blockBytes == 0 {
			d.blocksSum = d.body.Sum64()
		}
	}
}

// End marks the body as complete.
func (d *Digest) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.complete = true
}

// Fingerprint returns the fingerprint for the part of the body that was written so far.
func (d *Digest) Fingerprint() Fingerprint {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.complete || d.bytesSeen >= MaxBodyPrefix {
		return newFingerprint(d.head, completeBody, d.body.Sum64())
	}
	return newFingerprint(d.head, d.bytesSeen/blockBytes, d.blocksSum)
}

func newFingerprint(head Head, blocks int, body uint64) Fingerprint {
	var f Fingerprint
	copy(f[:], head[:])
	f[7] = byte(blocks)
	binary.BigEndian.PutUint64(f[8:], body)
	return f
}

// matches reports whether a request with the same head and the given body prefix, of up to MaxBodyPrefix bytes,
// matches the fingerprint.
func (f Fingerprint) matches(prefix []byte) bool {
	size := f.blocks() * blockBytes
	switch {
	case f.blocks() == 0:
		return true
	case f.blocks() == completeBody:
		size = len(prefix)
	case len(prefix) < size:
		return false
	}
	return xxhash.Sum64(prefix[:size]) == binary.BigEndian.Uint64(f[8:])
}
