package keys

import (
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// Defaults of Config and, for DefaultCallTimeout and DefaultGrantLife, of ClientConfig. DefaultResendWindow applies to
// services whose entry in the service list gives none.
const (
	DefaultG            = 10 * time.Second
	DefaultGmax         = 15 * time.Minute
	DefaultGrantLife    = 2 * time.Minute
	DefaultResendWindow = 10 * time.Minute
	DefaultTick         = 100 * time.Millisecond
	DefaultCallTimeout  = time.Second
	DefaultSuspectAfter = 5 * time.Second
	DefaultPingInterval = time.Second
	DefaultEditDelay    = 2 * time.Second
	DefaultMaxRecords   = 500_000
	DefaultMaxBytes     = 256 << 20
	DefaultMaxPeerCalls = 16
)

// Clock returns the current time. The difference between two results must be measured on a monotonic clock.
type Clock interface{ Now() time.Time }

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// KeyedAttempt is an attempt with a key that the local node has recorded as its runner.
type KeyedAttempt struct {
	Key         string
	Fingerprint []byte // digest of the method and path, as in the claim
	Attempt     []byte // attempt ID, 16 bytes
	Owner       string // member ID of the owner that granted the attempt
	Version     uint64 // roster version at which it was granted
	Age         time.Duration
	State       rpc.AttemptState
	Answer      *rpc.Answer // nil when no answer was stored
}

// Runner lists the local node's keyed attempts. An attempt must be listed from before Check is called for it until at
// least the resend window plus 10% has passed. Implementations must be safe for concurrent use.
type Runner interface{ KeyedAttempts() []KeyedAttempt }

// Config configures a Service. All durations are measured on the monotonic clock.
type Config struct {
	// Self is the local node. Its ID must be unique to this process: no earlier process may have used it.
	Self cluster.Member
	// View holds the service list (home region, resend window) and the members known to the control plane.
	View *cluster.View
	// Table holds the roster rows.
	Table platform.Table
	// Metrics counts refusals under the role "keys"; nil: a new registry is created.
	Metrics *telemetry.Registry
	// Keys returns the RPC client for the node with the given peer address.
	Keys func(addr string) rpc.Keys
	// Runner lists the local node's keyed attempts; nil: the node has none.
	Runner Runner
	// G is how long a confirmation or a promise is valid; default 10 s. All nodes must have the same value.
	G time.Duration
	// Gmax is how long after the last confirmation promises alone give authority; default 15 min. All nodes must have
	// the same value.
	Gmax time.Duration
	// GrantLife is the time after a claim within which its attempt may be sent; default 2 min. All nodes must have the
	// same value.
	GrantLife time.Duration
	// Tick is the interval at which the state machine advances; default 100 ms.
	Tick time.Duration
	// CallTimeout is the timeout of each call to the table or to a member; default 1 s.
	CallTimeout time.Duration
	// SuspectAfter is how long a member must have failed to answer before it is marked as suspect; default 5 s.
	SuspectAfter time.Duration
	// PingInterval is the base interval of pings; default 1 s. It is multiplied by this member's rank among the active
	// members, counted from 1. Members listed in the view with no failed calls are pinged at five times the interval,
	// unless their activation of the newest roster is awaited.
	PingInterval time.Duration
	// EditDelay is the delay per rank before a member commits a roster edit, so that later members act only if the
	// members before them do not; default 2 s. The first active member has rank 0.
	EditDelay time.Duration
	// MaxRecords is the number of records from which claims of new keys are refused; default 500,000. Records received
	// from other members are stored even above it.
	MaxRecords int
	// MaxBytes limits the memory of records and stored answers in bytes; default 256 MiB.
	MaxBytes int64
	// MaxPeerCalls is the maximum number of concurrent calls to members; default 16.
	MaxPeerCalls int
	// Clock is the time source; default: the system clock.
	Clock Clock
	// Seed seeds the random source for jitter; 0: a random seed.
	Seed uint64
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (c Config) withDefaults() Config {
	c.G = orDefault(c.G, DefaultG)
	c.Gmax = orDefault(c.Gmax, DefaultGmax)
	c.GrantLife = orDefault(c.GrantLife, DefaultGrantLife)
	c.Tick = orDefault(c.Tick, DefaultTick)
	c.CallTimeout = orDefault(c.CallTimeout, DefaultCallTimeout)
	c.SuspectAfter = orDefault(c.SuspectAfter, DefaultSuspectAfter)
	c.PingInterval = orDefault(c.PingInterval, DefaultPingInterval)
	c.EditDelay = orDefault(c.EditDelay, DefaultEditDelay)
	c.MaxRecords = orDefault(c.MaxRecords, DefaultMaxRecords)
	c.MaxBytes = orDefault(c.MaxBytes, DefaultMaxBytes)
	c.MaxPeerCalls = orDefault(c.MaxPeerCalls, DefaultMaxPeerCalls)
	c.Clock = orDefault[Clock](c.Clock, systemClock{})
	c.Metrics = orDefault(c.Metrics, telemetry.New())
	return c
}

// ConfigError reports an invalid or missing setting.
type ConfigError struct{ Field, Problem string }

// Error implements error.
func (e *ConfigError) Error() string { return "keys: setting " + e.Field + " " + e.Problem }

func (c *Config) validate() error {
	switch {
	case c.Self.ID == "":
		return &ConfigError{"Self.ID", "is empty"}
	case c.Self.Service == "":
		return &ConfigError{"Self.Service", "is empty"}
	case c.View == nil:
		return &ConfigError{"View", "is missing"}
	case c.Table == nil:
		return &ConfigError{"Table", "is missing"}
	case c.Keys == nil:
		return &ConfigError{"Keys", "is missing"}
	case c.Gmax < c.G:
		return &ConfigError{"Gmax", "is shorter than G"}
	}
	return nil
}

// withDriftMargin returns d plus 10%, the largest rate difference between the clocks of two nodes that the protocol
// tolerates.
func withDriftMargin(d time.Duration) time.Duration { return d + d/10 }

// resendWindow returns the service's resend window in the current service list, or DefaultResendWindow.
func resendWindow(view *cluster.View, service string) time.Duration {
	entry := view.Load().Service(service)
	if entry == nil || entry.ResendWindow <= 0 {
		return DefaultResendWindow
	}
	return entry.ResendWindow
}
