package balance

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
)

// Guards against avoiding members for seconds after their nodes restarted, until their rows are read again: after all
// nodes were killed, every request was refused during that time.
func TestRestartedMemberIsPickedByItsNewID(t *testing.T) {
	pool := NewPool(Config{Service: "shop", Self: cluster.Member{ID: "entry@1", Zone: "a", Region: "r"}, Seed: 1})
	defer pool.Close()
	old := cluster.Member{ID: "n@1", Service: "shop", Zone: "a", Region: "r", PeerAddr: "10.0.0.1:1"}
	pool.Update([]cluster.Member{old})
	pick, err := pool.Pick(Request{})
	assert.NilError(t, err)
	assert.Equal(t, pick.Member.ID, "n@1")
	pick.Done(Result{Class: Refused, Reason: failure.WrongIncarnation, CurrentID: "n@2"})

	pick, err = pool.Pick(Request{Exclude: []string{"n@1"}})
	assert.NilError(t, err)
	assert.Equal(t, pick.Member.ID, "n@2")
	assert.Equal(t, pick.Member.PeerAddr, old.PeerAddr)
	pick.Done(Result{Class: OK})
	_, err = pool.Pick(Request{Exclude: []string{"n@2"}})
	assert.Assert(t, err != nil)

	renewed := old
	renewed.ID = "n@3"
	pool.Update([]cluster.Member{renewed})
	pick, err = pool.Pick(Request{})
	assert.NilError(t, err)
	assert.Equal(t, pick.Member.ID, "n@3")
	pick.Done(Result{Class: OK})
}
