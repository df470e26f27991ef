package callerhttp

import (
	"cmp"
	"slices"
	"time"
)

// Bounds limit what callers make the process hold before their requests are placed. A zero field selects its default.
type Bounds struct {
	// Memory limits the bytes of all connections together. Half is for incomplete heads and for requests that wait for their
	// turn, a quarter for the heads of requests in progress, and a quarter for answers that wait for those before them.
	Memory int64
	// Connections limits the open connections of callers.
	Connections int
	// HeaderLines limits the header lines of a request.
	HeaderLines int
}

// Defaults of Bounds.
const (
	DefaultMemory      = 32 << 20
	DefaultConnections = 2048
	DefaultHeaderLines = 512
)

func (b Bounds) withDefaults() Bounds {
	b.Memory = cmp.Or(b.Memory, DefaultMemory)
	b.Connections = cmp.Or(b.Connections, DefaultConnections)
	b.HeaderLines = cmp.Or(b.HeaderLines, DefaultHeaderLines)
	return b
}

// Approximate memory that a parsed head takes besides its text.
const (
	requestBytes    = 1 << 10 // the request, its context and its answer
	headerLineBytes = 96      // an entry of the header and its slice of values
)

// smallRequestBytes is the size of requests that are admitted up to twice the limit, so that a crowd of large ones leaves room
// for those of ordinary callers.
const smallRequestBytes = 4 << 10

// admitsRequest answers crowds of valid requests with many header lines: it reports whether a request that takes size bytes may
// be started while those in progress take taken bytes.
func admitsRequest(taken, size, limit int64) bool {
	if size <= smallRequestBytes {
		return taken+size <= 2*limit
	}
	return taken+size <= limit
}

// Parts of Bounds.Memory, as divisors. Each kind has its own, so that a crowd of one kind leaves the others what they need.
const (
	headShare    = 2
	requestShare = 4
	answerShare  = 4
)

// overlapBytes is what a request counts as a waiting answer from its start, if those ahead of it are not answered, besides what
// of its answer is buffered: its handler holds a part of the answer.
const overlapBytes = 32 << 10

// evictionShare is the part of a limit that is freed when the limit is reached, so that not each further byte or connection
// needs another pass over all connections.
const evictionShare = 16

// holding is what a connection holds while its callers send.
type holding struct {
	bytes     int       // of an incomplete head
	placed    bool      // a request is in progress, or the connection ends
	served    bool      // a request was answered before
	since     time.Time // the last request was answered, or the connection was accepted
	heldSince time.Time // the first of the bytes arrived
}

// memoryVictims answers crowds that hold many incomplete heads. It returns the indexes of the connections to close so that
// excess bytes become free: those first that have held the most for the longest time, in bytes times seconds.
// Connections with a request in progress are never among them.
func memoryVictims(holdings []holding, excess int64, now time.Time) []int {
	victims := candidates(holdings, func(h holding) bool { return h.bytes > 0 })
	slices.SortStableFunc(victims, func(a, b int) int {
		return cmp.Compare(holdings[b].byteSeconds(now), holdings[a].byteSeconds(now))
	})
	for i, index := range victims {
		if excess <= 0 {
			return victims[:i]
		}
		excess -= int64(holdings[index].bytes)
	}
	return victims
}

func (h holding) byteSeconds(now time.Time) float64 {
	return float64(h.bytes) * now.Sub(h.heldSince).Seconds()
}

// connectionVictims answers crowds that hold many connections. It returns the indexes of count connections to close: those first
// that never had a request answered, of these and of the others those first that wait for the longest time.
func connectionVictims(holdings []holding, count int) []int {
	victims := candidates(holdings, func(holding) bool { return true })
	slices.SortStableFunc(victims, func(a, b int) int {
		if holdings[a].served != holdings[b].served {
			if holdings[b].served {
				return -1
			}
			return 1
		}
		return holdings[a].since.Compare(holdings[b].since)
	})
	return victims[:min(count, len(victims))]
}

// candidates returns the indexes of the connections without a request in progress that match.
func candidates(holdings []holding, match func(holding) bool) (indexes []int) {
	for i, h := range holdings {
		if !h.placed && match(h) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
