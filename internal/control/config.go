// Package control is the control role of a node: membership, the lease of its availability zone, the service list and
// the snapshots that traffic reads. One goroutine owns all control state; I/O runs in helper goroutines.
package control

import (
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// Config is what a Node needs. Durations of 0 take the default.
type Config struct {
	// Self is this node; its id has the form "name@incarnation" and is new after each restart.
	Self cluster.Member
	// Seeds are peer addresses (host:port) asked at a start and when no leader is known.
	Seeds []string
	// EntryServices are services whose members the node needs besides its own and those that its service depends on.
	EntryServices []string

	Table   platform.Table
	Objects platform.Objects
	// ParseList checks the text of a service list; the result's Version is ignored.
	ParseList func([]byte) (*servicelist.List, error)
	// Client returns a client for a peer address. Its connections should be kept alive between calls.
	Client  func(peerAddr string) rpc.Control
	View    *cluster.View       // receives the snapshots
	Metrics *telemetry.Registry // receives counters named "control.*"

	// OnRosterVersion reports a confirmed row version of the key roster of the node's own service: the table held it at
	// some moment after asOf, a local monotonic time. It may be nil. It is called by the control goroutine and must not
	// block.
	OnRosterVersion func(rowVersion uint64, asOf time.Time)
	// Refusals returns the node's total of refusals since its start. It may be nil.
	Refusals func() uint64

	HeartbeatInterval time.Duration // between heartbeats to the leader, with 10% jitter, in a small zone; default 1 s
	LeaseDuration     time.Duration // time of an unchanged lease row before a takeover; default 6 s
	RenewInterval     time.Duration // between renewals of the lease; default 2 s
	ScanInterval      time.Duration // between the leader's reads of lease rows, list row and roster index; default 1 s
	MemberTimeout     time.Duration // silence before the leader removes a member; default 5 s
	TakeoverGrace     time.Duration // time a new leader gives the members it inherits; default 10 s
	MembersInterval   time.Duration // least time between writes of the members row; default 1 s
	PollInterval      time.Duration // between reads of the lease row while no leader is known, with jitter; default 2 s
	StartSpread       time.Duration // a restarted node reads the table after a random part of this time; default 2 s
	CallTimeout       time.Duration // for one call to a peer; default 1 s
	StoreTimeout      time.Duration // for one operation of the store; default 2 s
	SoftLife          time.Duration // life of soft state that the table should hold by then; default 15 s

	// Seed is for jitter; nodes should use different seeds.
	Seed uint64
}

func (c *Config) setDefaults() {
	setDefault(&c.HeartbeatInterval, time.Second)
	setDefault(&c.LeaseDuration, 6*time.Second)
	setDefault(&c.RenewInterval, 2*time.Second)
	setDefault(&c.ScanInterval, time.Second)
	setDefault(&c.MemberTimeout, 5*time.Second)
	setDefault(&c.TakeoverGrace, 10*time.Second)
	setDefault(&c.MembersInterval, time.Second)
	setDefault(&c.PollInterval, 2*time.Second)
	setDefault(&c.StartSpread, 2*time.Second)
	setDefault(&c.CallTimeout, time.Second)
	setDefault(&c.StoreTimeout, 2*time.Second)
	setDefault(&c.SoftLife, 15*time.Second)
	if c.OnRosterVersion == nil {
		c.OnRosterVersion = func(uint64, time.Time) {}
	}
	if c.Refusals == nil {
		c.Refusals = func() uint64 { return 0 }
	}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func (c *Config) validate() error {
	required := []struct {
		field   string
		missing bool
	}{
		{"Self.ID", c.Self.ID == "" || memberName(c.Self.ID) == c.Self.ID},
		{"Self.Service", c.Self.Service == ""},
		{"Self.Zone", c.Self.Zone == ""},
		{"Self.PeerAddr", c.Self.PeerAddr == ""},
		{"Table", c.Table == nil},
		{"Objects", c.Objects == nil},
		{"ParseList", c.ParseList == nil},
		{"Client", c.Client == nil},
		{"View", c.View == nil},
		{"Metrics", c.Metrics == nil},
	}
	for _, r := range required {
		if r.missing {
			return &ConfigError{Field: r.field}
		}
	}
	return nil
}
