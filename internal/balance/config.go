package balance

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

// ProbeFunc asks a member's node for its load sample. It must return when ctx ends.
type ProbeFunc func(ctx context.Context, member cluster.Member) (wire.LoadSample, error)

// Config sets up a Pool. Service and Self are required.
type Config struct {
	Service string
	// Self gives the node's own zone and region.
	Self cluster.Member
	// Slots is the number of requests that a target serves at once; 0 means 9.
	Slots int
	// Queue is the number of requests that wait at a target before its node refuses; 0 means 9.
	Queue int
	// Probe is called on goroutines of its own; nil turns probes off.
	Probe ProbeFunc
	// Reach tries to connect to a member's node and reports whether that succeeded. It must return when ctx ends, and is
	// called on goroutines of its own for members that a connection failed to; nil: such members are tried with requests.
	Reach func(ctx context.Context, member cluster.Member) bool
	// Bytes is charged for probes before they are sent; nil means no limit.
	Bytes *budget.Bytes
	// LinkRoom reports whether the paid link has capacity for more calls; nil means that it always has.
	LinkRoom func() bool
	// StayInRegion keeps calls from the paid link while the own region has a member that answers. It answers the load of a
	// burst in all regions: full targets here then sent their excess to full targets there, which paid the link for calls
	// that were late or refused all the same. Without it a call crosses when the wait saved exceeds the link's delay.
	StayInRegion bool
	// ZoneCost is the time that a call must save to leave the node's zone, beyond the delay; 0: none. Bytes between zones are
	// paid for.
	ZoneCost time.Duration
	// ZoneDelay and RegionDelay are the one-way delays to another zone and another region; 0 means 1 ms and 30 ms.
	ZoneDelay, RegionDelay time.Duration
	// Seed makes the choices repeatable; 0 draws one.
	Seed uint64
	// Clock is for tests; nil means time.Now.
	Clock func() time.Time
	// Metrics receives the counters "balance.<service>.*"; nil means none.
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
	if c.LinkRoom == nil {
		c.LinkRoom = func() bool { return true }
	}
	return c
}

// distance is how far a member is from the node.
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

// roundTrip is the network time of a call to a member at that distance.
func (c *Config) roundTrip(d distance) time.Duration {
	return [...]time.Duration{0, 2 * c.ZoneDelay, 2 * c.RegionDelay}[d]
}
