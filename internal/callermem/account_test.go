package callermem

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a crowd of valid requests with many header lines that takes all memory, and against ordinary callers that are
// refused with it: replays 600 requests of 60 KB beside ordinary ones of 2 KB, with a limit of 11 MB.
func TestCrowdOfLargeHeadsLeavesRoomForSmallOnes(t *testing.T) {
	const limit, large, small = 11 << 20, 60 << 10, 2 << 10
	taken, refused := int64(0), 0
	for range 600 {
		if taken+large <= requestCeiling(large, limit) {
			taken += large
		} else {
			refused++
		}
		assert.Assert(t, taken+small <= requestCeiling(small, limit))
		taken += small
		assert.Assert(t, taken <= 2*limit)
	}
	assert.Assert(t, refused > 400, "%d", refused)
}

// Guards against a limit that holds for each kind and not for all together, against reservations that are counted although they
// were refused, and against refusals while there is room.
func TestLimitHoldsForAllKindsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		account := NewAccount(limit)
		var held, reclaimable [numKinds]int64
		account.SetReclaimer(func(kind Kind, excess int64) bool {
			freed := int64(0)
			for k := range numKinds {
				if kind != AnyKind && kind != k {
					continue
				}
				part := min(excess-freed, reclaimable[k])
				if part <= 0 {
					continue
				}
				reclaimable[k] -= part
				held[k] -= part
				account.Release(k, part)
				freed += part
			}
			return freed > 0
		})
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			kind := Kind(rapid.IntRange(0, int(numKinds)-1).Draw(t, "kind"))
			bytes := rapid.Int64Range(1, limit/3).Draw(t, "bytes")
			held[kind] += bytes // before Reserve, which may free others of the kind
			if !account.Reserve(kind, bytes) {
				held[kind] -= bytes
				fits := held[kind]+bytes <= account.ceiling(kind, bytes) && account.Total()+bytes <= limit
				assert.Assert(t, !fits, "refused although there is room")
			} else if rapid.Bool().Draw(t, "reclaimable") {
				reclaimable[kind] += bytes
			}
			for k := range numKinds {
				assert.Equal(t, account.Held(k), held[k])
			}
			assert.Assert(t, account.Total() <= limit)
		}
	})
}
