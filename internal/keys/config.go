package keys

import (
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// Defaults of Config.
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

// Clock gives the time. Differences between two results must follow a monotonic clock.
type Clock interface{ Now() time.Time }

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// KeyedAttempt is one attempt with a key that the local node has recorded as runner.
type KeyedAttempt struct {
	Key         string
	Fingerprint []byte // digest of method and path, as in the claim
	Attempt     []byte // 16 bytes
	Owner       string // member id of the owner that granted the attempt
	Version     uint64 // roster version of the grant
	Age         time.Duration
	State       rpc.AttemptState
	Answer      *rpc.Answer // nil when no answer was kept
}

// Runner lists the local node's keyed attempts. An attempt must be listed before Check is called for it, and for at
// least the resend window plus 10%. Safe for concurrent use.
type Runner interface{ KeyedAttempts() []KeyedAttempt }

// Config sets up a Service. All durations are on the monotonic clock.
type Config struct {
	// Self is this node; its ID must never have been used by an earlier process.
	Self cluster.Member
	// View gives the service list (home region, resend window) and the members that control knows.
	View *cluster.View
	// Table holds the roster rows.
	Table platform.Table
	// Metrics counts refusals under the role "keys"; nil: a registry of its own.
	Metrics *telemetry.Registry
	// Keys returns the client of the node with that peer address.
	Keys func(addr string) rpc.Keys
	// Runner lists this node's keyed attempts; nil: the node has none.
	Runner Runner
	// G is how long a confirmation or a promise lasts; default 10 s. Equal in all nodes.
	G time.Duration
	// Gmax is how long after the last confirmation promises suffice; default 15 min. Equal in all nodes.
	Gmax time.Duration
	// GrantLife is the time after a claim in which its attempt may be sent; default 2 min. Equal in all nodes.
	GrantLife time.Duration
	// Tick is the interval of the state machine; default 100 ms.
	Tick time.Duration
	// CallTimeout bounds each call to the table or a member; default 1 s.
	CallTimeout time.Duration
	// SuspectAfter is how long a member fails to answer before it is marked; default 5 s.
	SuspectAfter time.Duration
	// PingInterval is the interval of pings to members that need watching, multiplied by this member's place among the
	// active ones; default 1 s. Members that control knows to be alive are pinged five times more rarely.
	PingInterval time.Duration
	// EditDelay is how much later each further member makes an edit of the roster that the first has not made; default 2 s.
	EditDelay time.Duration
	// MaxRecords limits the records that claims create; default 500,000. Records of other members come on top.
	MaxRecords int
	// MaxBytes limits the memory of records and kept answers in bytes; default 256 MiB.
	MaxBytes int64
	// MaxPeerCalls limits concurrent calls to members; default 16.
	MaxPeerCalls int
	// Clock is the time source; default the system's.
	Clock Clock
	// Seed makes jitter reproducible; 0: random.
	Seed uint64
}

func orDefault[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
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

// ConfigError reports a setting that can't be used.
type ConfigError struct{ Field, Problem string }

// Error implements error.
func (e *ConfigError) Error() string { return "keys: setting " + e.Field + " " + e.Problem }

func (c *Config) check() error {
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

// rateMargin returns d plus 10%, the greatest difference between the rates of two clocks.
func rateMargin(d time.Duration) time.Duration { return d + d/10 }

// resendWindow is the service's window in the list in force.
func resendWindow(view *cluster.View, service string) time.Duration {
	entry := view.Load().Service(service)
	if entry == nil || entry.ResendWindow <= 0 {
		return DefaultResendWindow
	}
	return entry.ResendWindow
}
