package telemetry

import "github.com/cespare/xxhash/v2"

// sampleDivisor is the number of requests of which one is sampled. At 108 requests per second and node, this gives two
// log lines per second.
const sampleDivisor = 64

// Sampled reports whether the routine events of the request with this id are logged, such as its answer or a move to
// another target. The decision depends only on the id, so that it is the same at all nodes and their logs of a
// sampled request are complete. An empty id is never sampled.
func Sampled(id string) bool { return id != "" && xxhash.Sum64String(id)%sampleDivisor == 0 }
