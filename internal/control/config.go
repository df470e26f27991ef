// Package control implements the control plane of a node: membership, leader election by a lease per availability zone,
// distribution of the service list, and the snapshots that the data plane reads. A single goroutine owns all control
// state; I/O runs in background goroutines that pass their results to it.
package control

import (
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// Config configures a Node. A duration of 0 selects its default.
type Config struct {
	// Self describes this node. Its id has the form "name@incarnation" and changes with each restart.
	Self cluster.Member
	// Seeds are peer addresses (host:port) that the node contacts at startup and while no leader is known.
	Seeds []string
	// EntryServices are services whose members the node needs in addition to those of its own service and of that
	// service's dependencies.
	EntryServices []string

	Table   platform.Table
	Objects platform.Objects
	// ParseList parses and validates the text of a service list. The Version of its result is ignored.
	ParseList func([]byte) (*servicelist.List, error)
	// Client returns a client for a peer address. It should reuse connections between calls.
	Client  func(peerAddr string) rpc.Control
	View    *cluster.View       // the snapshots are published here
	Metrics *telemetry.Registry // registry of the counters "control.*"

	// OnRosterConfirmed is called with the confirmed commit number of the key roster of the node's own service. The table
	// held that roster at some time after asOf, a local monotonic time. It may be nil. It runs on the control
	// goroutine and must not block.
	OnRosterConfirmed func(commit uint64, asOf time.Time)
	// Refusals returns the number of requests that the node has refused since its start. It may be nil.
	Refusals func() uint64

	HeartbeatInterval    time.Duration // between heartbeats in a small zone, with 10% jitter; default 1 s
	LeaseDuration        time.Duration // how long the lease row must be unchanged before a takeover; default 6 s
	RenewInterval        time.Duration // between lease renewals; default 2 s
	ScanInterval         time.Duration // between the leader's reads of lease, list and roster rows; default 1 s
	MemberTimeout        time.Duration // time without a heartbeat before the leader removes a member; default 5 s
	TakeoverGrace        time.Duration // member timeout that a new leader applies to inherited members; default 10 s
	MembersWriteInterval time.Duration // minimum time between writes of the members row; default 1 s
	PollInterval         time.Duration // between reads of the lease row without a leader, with jitter; default 2 s
	// StartSpread is the upper bound of the random delay before a starting node reads the table and before a node reads
	// a list from the object store; default 2 s.
	StartSpread  time.Duration
	CallTimeout  time.Duration // per call to a peer; default 1 s
	StoreTimeout time.Duration // per store operation; default 2 s
	// SoftStateTTL is how long soft state is kept. The table should contain the change by then; default 15 s.
	SoftStateTTL time.Duration

	// Seed seeds the random generator that is used for jitter. Nodes should use different seeds.
	Seed uint64
}

func (c *Config) setDefaults() {
	setDefault(&c.HeartbeatInterval, time.Second)
	setDefault(&c.LeaseDuration, 6*time.Second)
	setDefault(&c.RenewInterval, 2*time.Second)
	setDefault(&c.ScanInterval, time.Second)
	setDefault(&c.MemberTimeout, 5*time.Second)
	setDefault(&c.TakeoverGrace, 10*time.Second)
	setDefault(&c.MembersWriteInterval, time.Second)
	setDefault(&c.PollInterval, 2*time.Second)
	setDefault(&c.StartSpread, 2*time.Second)
	setDefault(&c.CallTimeout, time.Second)
	setDefault(&c.StoreTimeout, 2*time.Second)
	setDefault(&c.SoftStateTTL, 15*time.Second)
	if c.OnRosterConfirmed == nil {
		c.OnRosterConfirmed = func(uint64, time.Time) {}
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
