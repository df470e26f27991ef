package telemetry

import "github.com/cespare/xxhash/v2"

// sampleShare is the number of plain requests of which one is logged. At 108 requests a second for each node, that is two
// lines a second.
const sampleShare = 64

// Sampled reports whether the plain events of a request are logged. The choice is by the request's id, so that it is the
// same at every node and a sampled request's way is whole. Requests without an id are not sampled.
func Sampled(id string) bool { return id != "" && xxhash.Sum64String(id)%sampleShare == 0 }
