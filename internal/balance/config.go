package balance

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

// ProbeFunc queries a member's node for its load sample. It must return when ctx ends.
type ProbeFunc func(ctx context.Context, member cluster.Member) (wire.LoadSample, error)

// Config configures a Pool. Service and Self are required.
type Config struct {
	Service string
	// Self provides the zone and region of this node.
	Self cluster.Member
	// Slots is the number of requests that a target serves concurrently; 0 means 9.
	Slots int
	// Queue is the number of requests that may wait at a target before its node refuses more; 0 means 9.
	Queue int
	// Probe is called on its own goroutines; nil disables probes.
	Probe ProbeFunc
	// CheckReachable tries to connect to a member's node and reports whether that succeeded. It must return when ctx ends,
	// and is called on its own goroutines for members to which a connection failed. With nil there are no checks and such
	// members are retried with requests.
	CheckReachable func(ctx context.Context, member cluster.Member) bool
	// ProbeBudget is charged for probes before they are sent; nil means no limit.
	ProbeBudget *budget.ByteBudget
	// LinkHasCapacity reports whether the link between regions has capacity for more calls; nil means that it
	// always has.
	LinkHasCapacity func() bool
	// StayInRegion keeps calls off the link between regions, whose traffic is billed, while the node's own region has
	// an available member. Without it a call crosses the link when the saved wait exceeds the link's delay: in load
	// bursts that hit all regions, such calls reached full targets and were late or refused anyway.
	StayInRegion bool
	// ZoneCost is the time, beyond the network delay, that a call must save to leave the node's zone, because traffic
	// between zones is billed; 0 means no extra cost.
	ZoneCost time.Duration
	// ZoneDelay and RegionDelay are the one-way delays to another zone and another region; 0 means 1 ms and 30 ms.
	ZoneDelay, RegionDelay time.Duration
	// Seed makes the selection reproducible; 0 draws a random seed.
	Seed uint64
	// Clock is replaced in tests; nil means time.Now.
	Clock func() time.Time
	// Metrics receives the counters "balance.<service>.*"; nil discards them.
	Metrics *telemetry.Registry
}

const (
	defaultSlots       = 9
	defaultQueue       = 9
	defaultZoneDelay   = time.Millisecond
	defaultRegionDelay = 30 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Queue == 0 {
		c.Queue = defaultQueue
	}
	if c.ZoneDelay == 0 {
		c.ZoneDelay = defaultZoneDelay
	}
	if c.RegionDelay == 0 {
		c.RegionDelay = defaultRegionDelay
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Metrics == nil {
		c.Metrics = telemetry.New()
	}
	if c.LinkHasCapacity == nil {
		c.LinkHasCapacity = func() bool { return true }
	}
	return c
}

// distance is the locality of a member relative to this node.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func (c *Config) distanceTo(member *cluster.Member) distance {
	if member.Region != c.Self.Region {
		return otherRegion
	}
	if member.Zone != c.Self.Zone {
		return sameRegion
	}
	return sameZone
}

// roundTrip is the network round-trip time to a member at the given distance.
func (c *Config) roundTrip(d distance) time.Duration {
	return [...]time.Duration{0, 2 * c.ZoneDelay, 2 * c.RegionDelay}[d]
}
