package servicelist

import (
	"bytes"
	"sort"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/tomlcheck"
)

// Defaults for the optional keys.
const (
	DefaultRegionBytesPerSecond = 14000
	DefaultLinkBytesPerSecond   = 1000
	DefaultTimeout              = 10 * time.Second
	DefaultResendWindow         = 10 * time.Minute
	DefaultSlots                = 9
	DefaultConnections          = 260
	DefaultQueue                = 9
	DefaultBudgetPercent        = 10
	DefaultHedgePercent         = 5
)

// Bounds for the values.
const (
	MaxTextBytes     = 256 << 10 // 69 services take about 20 KB
	MinRegionBytes   = 500       // a heartbeat per second and its response take about 400 bytes
	MaxLinkBytes     = 3750000   // 30 Mbit/s, the capacity of the link between regions
	MinTimeout       = time.Millisecond
	MaxTimeout       = time.Hour
	MinResendWindow  = time.Second
	MaxResendWindow  = time.Hour
	MaxSlots         = 10000
	MaxConnections   = 100000
	MaxQueue         = 100000
	MaxBudgetPercent = 10
	MaxHedgePercent  = 5
	// MaxRate is the greatest rate in requests per second, and MaxBurst the greatest number of requests, of a tenant or target.
	MaxRate  = 1e9
	MaxBurst = 1e9
	// MaxCallerHeaderBytes is the maximum that the listener accepts. MaxCallerBodyBytes keeps a mistyped limit from
	// effectively being no limit.
	MaxCallerHeaderBytes = 1 << 20
	MaxCallerBodyBytes   = 1 << 40
)

// listText is the TOML form of List. Pointers distinguish an absent key from a zero value.
type listText struct {
	Callers   callersText             `toml:"callers"`
	Measuring measuringText           `toml:"measuring"`
	Services  map[string]*serviceText `toml:"services"`
	Rules     []ruleText              `toml:"rules"`
	Tenants   []tenantText            `toml:"tenants"`
}

type measuringText struct {
	RegionBytesPerSecond *int `toml:"region_bytes_per_second"`
	LinkBytesPerSecond   *int `toml:"link_bytes_per_second"`
}

type serviceText struct {
	DependsOn    []string    `toml:"depends_on"`
	HomeRegion   *string     `toml:"home_region"`
	Timeout      *string     `toml:"timeout"`
	HealthPath   string      `toml:"health_path"`
	ColdRate     float64     `toml:"cold_rate"`
	ResendWindow *string     `toml:"resend_window"`
	Idempotent   []routeText `toml:"idempotent"`
	Limits       limitsText  `toml:"limits"`
	Retry        retryText   `toml:"retry"`
}

type callersText struct {
	MaxBodyBytes   int64   `toml:"max_body_bytes"`
	MaxHeaderBytes int     `toml:"max_header_bytes"`
	HeaderTimeout  *string `toml:"header_timeout"`
	IdleTimeout    *string `toml:"idle_timeout"`
}

type routeText struct {
	Method     string `toml:"method"`
	PathPrefix string `toml:"path_prefix"`
}

type ruleText struct {
	Name          string      `toml:"name"`
	Host          string      `toml:"host"`
	Prefix        string      `toml:"prefix"`
	Idempotent    bool        `toml:"idempotent"`
	Timeout       *string     `toml:"timeout"`
	TargetLatency *string     `toml:"target_latency"`
	Priority      int         `toml:"priority"`
	MaxAttempts   *int        `toml:"max_attempts"`
	Split         []shareText `toml:"split"`

	Public         bool     `toml:"public"`
	AllowedRegions []string `toml:"allowed_regions"`
}

type tenantText struct {
	Name           string   `toml:"name"`
	Keys           []string `toml:"keys"`
	KeyDigests     []string `toml:"key_digests"`
	Priority       *int     `toml:"priority"`
	Rate           float64  `toml:"rate"`
	Burst          float64  `toml:"burst"`
	AllowedRegions []string `toml:"allowed_regions"`
}

type shareText struct {
	Service string `toml:"service"`
	Weight  int    `toml:"weight"`
}

type limitsText struct {
	Slots       *int `toml:"slots"`
	Connections *int `toml:"connections"`
	Queue       *int `toml:"queue"`
}

type retryText struct {
	BudgetPercent *int `toml:"budget_percent"`
	HedgePercent  *int `toml:"hedge_percent"`
}

// Parse parses and validates a service list in TOML of at most MaxTextBytes. The returned list has version 0. It fails
// with *Error, which holds all problems found.
func Parse(text []byte) (*List, error) {
	if len(text) > MaxTextBytes {
		problem := tomlcheck.Problem{Kind: tomlcheck.OutOfRange, Message: "the text is longer than 256 KiB"}
		return nil, &Error{Problems: []tomlcheck.Problem{problem}}
	}
	var decoded listText
	document := tomlcheck.Decode(text, &decoded)
	if !document.Decoded() {
		return nil, &Error{Problems: document.Problems()}
	}
	list := &List{Text: bytes.Clone(text), Services: map[string]*Service{}}
	list.Measuring = parseMeasuring(document, decoded.Measuring)
	for _, name := range sortedNames(decoded.Services) {
		list.Services[name] = parseService(document, name, decoded.Services[name])
	}
	list.CallerLimits = parseCallerLimits(document, decoded.Callers)
	list.Rules = parseRules(document, list, decoded.Rules)
	list.Tenants = parseTenants(document, decoded.Tenants)
	checkList(document, list)
	if problems := document.Problems(); len(problems) > 0 {
		return nil, &Error{Problems: problems}
	}
	return list, nil
}

// sortedNames returns the keys of a map in ascending order, so that problems are reported in the same order each time.
func sortedNames[T any](services map[string]T) []string {
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func parseMeasuring(document *tomlcheck.Document, text measuringText) Measuring {
	budget := Measuring{
		RegionBytesPerSecond: valueOr(text.RegionBytesPerSecond, DefaultRegionBytesPerSecond),
		LinkBytesPerSecond:   valueOr(text.LinkBytesPerSecond, DefaultLinkBytesPerSecond),
	}
	document.CheckRange(tomlcheck.Key{"measuring", "region_bytes_per_second"}, budget.RegionBytesPerSecond, MinRegionBytes, MaxLinkBytes)
	document.CheckRange(tomlcheck.Key{"measuring", "link_bytes_per_second"}, budget.LinkBytesPerSecond, 0, MaxLinkBytes)
	return budget
}

func parseCallerLimits(document *tomlcheck.Document, text callersText) CallerLimits {
	key := func(name string) tomlcheck.Key { return tomlcheck.Key{"callers", name} }
	limits := CallerLimits{MaxBodyBytes: text.MaxBodyBytes, MaxHeaderBytes: text.MaxHeaderBytes}
	document.CheckRange(key("max_body_bytes"), int(limits.MaxBodyBytes), 0, MaxCallerBodyBytes)
	document.CheckRange(key("max_header_bytes"), limits.MaxHeaderBytes, 0, MaxCallerHeaderBytes)
	limits.HeaderTimeout = document.ParseDuration(key("header_timeout"), text.HeaderTimeout, 0, MinTimeout, MaxTimeout)
	limits.IdleTimeout = document.ParseDuration(key("idle_timeout"), text.IdleTimeout, 0, MinTimeout, MaxTimeout)
	return limits
}

func parseService(document *tomlcheck.Document, name string, text *serviceText) *Service {
	key := func(parts ...string) tomlcheck.Key { return append(tomlcheck.Key{"services", name}, parts...) }
	document.CheckLabel(key(), name)
	result := &Service{Name: name, DependsOn: text.DependsOn, HomeRegion: valueOr(text.HomeRegion, ""), HealthPath: text.HealthPath}
	if text.HealthPath != "" && !strings.HasPrefix(text.HealthPath, "/") {
		document.Add(tomlcheck.BadRoute, key("health_path"), "%q does not start with \"/\"", text.HealthPath)
	}
	if text.HomeRegion != nil {
		document.CheckLabel(key("home_region"), result.HomeRegion)
	}
	if result.ColdRate = text.ColdRate; !(result.ColdRate >= 0 && result.ColdRate <= MaxRate) {
		document.Add(tomlcheck.OutOfRange, key("cold_rate"), "%v is out of range: must be 0 to %v", result.ColdRate, float64(MaxRate))
	}
	result.Timeout = document.ParseDuration(key("timeout"), text.Timeout, DefaultTimeout, MinTimeout, MaxTimeout)
	result.ResendWindow = document.ParseDuration(key("resend_window"), text.ResendWindow, DefaultResendWindow, MinResendWindow, MaxResendWindow)
	result.Idempotent = parseRoutes(document, key("idempotent"), text.Idempotent)
	result.Limits = parseLimits(document, key("limits"), text.Limits)
	result.Retry = parseRetry(document, key("retry"), text.Retry)
	return result
}

func parseLimits(document *tomlcheck.Document, table tomlcheck.Key, text limitsText) Limits {
	result := Limits{
		Slots:       valueOr(text.Slots, DefaultSlots),
		Connections: valueOr(text.Connections, DefaultConnections),
		Queue:       valueOr(text.Queue, DefaultQueue),
	}
	document.CheckRange(childKey(table, "slots"), result.Slots, 1, MaxSlots)
	document.CheckRange(childKey(table, "connections"), result.Connections, 1, MaxConnections)
	document.CheckRange(childKey(table, "queue"), result.Queue, 0, MaxQueue)
	if result.Connections < result.Slots {
		document.Add(tomlcheck.OutOfRange, childKey(table, "connections"), "%d connections are too few for %d slots: must be at least the number of slots", result.Connections, result.Slots)
	}
	return result
}

func parseRetry(document *tomlcheck.Document, table tomlcheck.Key, text retryText) Retry {
	result := Retry{
		BudgetPercent: valueOr(text.BudgetPercent, DefaultBudgetPercent),
		HedgePercent:  valueOr(text.HedgePercent, DefaultHedgePercent),
	}
	document.CheckRange(childKey(table, "budget_percent"), result.BudgetPercent, 0, MaxBudgetPercent)
	document.CheckRange(childKey(table, "hedge_percent"), result.HedgePercent, 0, MaxHedgePercent)
	return result
}

// valueOr returns the value of a key, or fallback if the key is absent.
func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}

// childKey returns the key of a value in a table. It copies the path, so that keys of the same table do not share memory.
func childKey(table tomlcheck.Key, name string) tomlcheck.Key {
	return append(table[:len(table):len(table)], name)
}
