// Package settings loads, checks and watches the settings of an acacialockd process.
package settings

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/tomlcheck"
)

// Defaults for the optional keys.
const (
	DefaultDrainTimeout             = 30 * time.Second
	DefaultTargetConnectTimeout     = time.Second
	DefaultTargetHealthInterval     = time.Second
	DefaultPlatformTryTimeout       = time.Second
	DefaultPlatformOperationTimeout = 15 * time.Second
)

// Settings are the validated settings of one process. They are immutable.
type Settings struct {
	// Name is the name of the node, unique among the running nodes; default the peer address.
	Name    string
	Service string // name of the local target's service in the service list
	Zone    string
	Region  string

	EntryAddr string // IP:port to listen on for callers and for the local target's outgoing calls
	PeerAddr  string // IP:port to listen on for other nodes
	// PeerAdvertiseAddr is the IP:port at which other nodes reach this one, if it differs from PeerAddr. PlatformRows only.
	PeerAdvertiseAddr string
	AdminAddr         string // IP:port to listen on for metrics, health and status
	TargetAddr        string // IP:port of the local target
	// TargetHealthPath is the path of the target's health check; empty if the target has no health endpoint.
	TargetHealthPath string
	PlatformAddr     string   // IP:port of the platform
	Seeds            []string // peer addresses to get members and the service list from after a restart in a store outage
	EntryServices    []string // services that callers may reach through this node, besides its own and its dependencies

	// Platform selects the platform that the node runs on: PlatformOwn, or PlatformRows with the adapter in platform/.
	Platform    string
	CheckInAddr string // IP:port to listen on for announcements of the local target; PlatformRows only
	// RetryRatio and RetrySlack limit the retries of all nodes together: in each window, RetryRatio times the number of
	// requests for a service, plus RetrySlack. PlatformRows only; 0 selects the default of the service list.
	RetryRatio float64
	RetrySlack int
	// LinkMbps is the bandwidth of the machine's network link in Mbit/s; 0 if unknown. In each zone, the node with the
	// highest bandwidth reads the store for the others. PlatformRows only.
	LinkMbps float64
	// Regions are the regions of all nodes, this one's included; empty: not known. Entries of the service list that name other
	// regions are rejected. PlatformRows only.
	Regions []string
	// KeyWithdrawalBound is the time after which an API key that the operators withdrew must not be accepted any more, also
	// at nodes that can't read the store. PlatformRows only; 0: no bound.
	KeyWithdrawalBound time.Duration

	// CallerMemory limits the bytes that callers make the process hold before their requests are placed; 0: an 8th of the
	// machine's memory.
	CallerMemory int64
	// CallerConnections limits the open connections of callers; 0: half of the descriptors.
	CallerConnections int
	CallerHeaderLines int // maximum number of header lines of a caller's request; 0: no limit besides the size of the head and the memory
	Descriptors       int // descriptors that the process may open; 0: the limit of the operating system

	DrainTimeout             time.Duration // maximum wait for requests in flight at shutdown; default 30 s
	TargetConnectTimeout     time.Duration // for connecting to the target; default 1 s
	TargetHealthInterval     time.Duration // between two health checks; default 1 s
	PlatformTryTimeout       time.Duration // for the first try of a platform operation; default 1 s
	PlatformOperationTimeout time.Duration // for a platform operation including all its tries; default 15 s
}

// maxRetrySlack is an upper bound that keeps a mistyped value from effectively disabling the retry budget.
const maxRetrySlack = 1_000_000

// Values of Settings.Platform.
const (
	PlatformOwn  = ""     // acacialock's own table and object store
	PlatformRows = "rows" // a row store with a change feed
)

// Error reports a settings file that can't be read or is invalid, with all problems found.
type Error struct {
	File string
	// Cause is the error of a file that can't be read; Problems is then empty.
	Cause    error
	Problems []tomlcheck.Problem
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("settings: %v", e.Cause)
	}
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = e.File + ": " + problem.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns Cause.
func (e *Error) Unwrap() error { return e.Cause }

// settingsText is the TOML form of Settings. Pointers distinguish an absent key from an empty value.
type settingsText struct {
	Name                     *string  `toml:"name"`
	Service                  string   `toml:"service"`
	Zone                     string   `toml:"zone"`
	Region                   string   `toml:"region"`
	EntryAddr                string   `toml:"entry_addr"`
	PeerAddr                 string   `toml:"peer_addr"`
	PeerAdvertiseAddr        string   `toml:"peer_advertise_addr"`
	AdminAddr                string   `toml:"admin_addr"`
	TargetAddr               string   `toml:"target_addr"`
	TargetHealthPath         string   `toml:"target_health_path"`
	PlatformAddr             string   `toml:"platform_addr"`
	Seeds                    []string `toml:"seeds"`
	EntryServices            []string `toml:"entry_services"`
	Platform                 *string  `toml:"platform"`
	CheckInAddr              string   `toml:"check_in_addr"`
	RetryRatio               float64  `toml:"retry_ratio"`
	RetrySlack               int      `toml:"retry_slack"`
	LinkMbps                 float64  `toml:"link_mbps"`
	KeyWithdrawalBound       *string  `toml:"key_withdrawal_bound"`
	Regions                  []string `toml:"regions"`
	CallerMemory             int64    `toml:"caller_memory"`
	CallerConnections        int      `toml:"caller_connections"`
	CallerHeaderLines        int      `toml:"caller_header_lines"`
	Descriptors              int      `toml:"descriptors"`
	DrainTimeout             *string  `toml:"drain_timeout"`
	TargetConnectTimeout     *string  `toml:"target_connect_timeout"`
	TargetHealthInterval     *string  `toml:"target_health_interval"`
	PlatformTryTimeout       *string  `toml:"platform_try_timeout"`
	PlatformOperationTimeout *string  `toml:"platform_operation_timeout"`
}

// Load reads and validates a settings file in TOML. It fails with *Error.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Cause: err}
	}
	var decoded settingsText
	document := tomlcheck.Decode(text, &decoded)
	if !document.Decoded() {
		return nil, &Error{File: path, Problems: document.Problems()}
	}
	loaded := settingsFromText(document, &decoded)
	if problems := document.Problems(); len(problems) > 0 {
		return nil, &Error{File: path, Problems: problems}
	}
	return loaded, nil
}

// settingsFromText converts and validates decoded settings; problems are added to the document.
func settingsFromText(document *tomlcheck.Document, text *settingsText) *Settings {
	loaded := &Settings{
		Name:              text.PeerAddr,
		Service:           text.Service,
		Zone:              text.Zone,
		Region:            text.Region,
		EntryAddr:         text.EntryAddr,
		PeerAddr:          text.PeerAddr,
		AdminAddr:         text.AdminAddr,
		TargetAddr:        text.TargetAddr,
		TargetHealthPath:  text.TargetHealthPath,
		PlatformAddr:      text.PlatformAddr,
		Seeds:             text.Seeds,
		EntryServices:     text.EntryServices,
		CheckInAddr:       text.CheckInAddr,
		RetryRatio:        text.RetryRatio,
		PeerAdvertiseAddr: text.PeerAdvertiseAddr,
		RetrySlack:        text.RetrySlack,
		LinkMbps:          text.LinkMbps,
		Regions:           uniqueSorted(text.Regions),
		CallerMemory:      text.CallerMemory,
		CallerConnections: text.CallerConnections,
		CallerHeaderLines: text.CallerHeaderLines,
		Descriptors:       text.Descriptors,
	}
	if text.Name != nil {
		loaded.Name = *text.Name
		checkName(document, *text.Name)
	}
	if text.Platform != nil {
		loaded.Platform = *text.Platform
	}
	checkPlatform(document, loaded)
	checkLabels(document, loaded)
	checkAddresses(document, loaded)
	checkLists(document, loaded)
	checkCallerBounds(document, loaded)
	readDurations(document, loaded, text)
	return loaded
}

// readDurations parses the durations, sets the defaults for absent ones and validates the bounds.
func readDurations(document *tomlcheck.Document, loaded *Settings, text *settingsText) {
	read := func(name string, value *string, fallback, low, high time.Duration) time.Duration {
		return document.ParseDuration(tomlcheck.Key{name}, value, fallback, low, high)
	}
	loaded.DrainTimeout = read("drain_timeout", text.DrainTimeout, DefaultDrainTimeout, time.Second, time.Hour)
	if text.KeyWithdrawalBound != nil && *text.KeyWithdrawalBound == "" {
		text.KeyWithdrawalBound = nil // a platform without such a bound fills in nothing
	}
	loaded.KeyWithdrawalBound = read("key_withdrawal_bound", text.KeyWithdrawalBound, 0, time.Second, time.Hour)
	loaded.TargetConnectTimeout = read("target_connect_timeout", text.TargetConnectTimeout, DefaultTargetConnectTimeout, 10*time.Millisecond, time.Minute)
	loaded.TargetHealthInterval = read("target_health_interval", text.TargetHealthInterval, DefaultTargetHealthInterval, 100*time.Millisecond, time.Minute)
	loaded.PlatformTryTimeout = read("platform_try_timeout", text.PlatformTryTimeout, DefaultPlatformTryTimeout, 50*time.Millisecond, time.Minute)
	loaded.PlatformOperationTimeout = read("platform_operation_timeout", text.PlatformOperationTimeout, DefaultPlatformOperationTimeout, time.Second, 5*time.Minute)
	if loaded.PlatformOperationTimeout < loaded.PlatformTryTimeout {
		document.Add(tomlcheck.OutOfRange, tomlcheck.Key{"platform_operation_timeout"}, "%s is out of range: must be at least platform_try_timeout (%s)", loaded.PlatformOperationTimeout, loaded.PlatformTryTimeout)
	}
}

// nodeNamePattern excludes "@", which separates the name from the incarnation in a member ID.
var nodeNamePattern = regexp.MustCompile(`^[A-Za-z0-9._:\[\]-]{1,128}$`)

func checkName(document *tomlcheck.Document, name string) {
	if !nodeNamePattern.MatchString(name) {
		document.Add(tomlcheck.BadName, tomlcheck.Key{"name"}, "%q is not a node name: must be 1 to 128 letters, digits and . _ : [ ] -", name)
	}
}

func checkPlatform(document *tomlcheck.Document, loaded *Settings) {
	switch loaded.Platform {
	case PlatformOwn:
	case PlatformRows:
		if loaded.CheckInAddr == "" {
			document.Add(tomlcheck.Missing, tomlcheck.Key{"check_in_addr"}, "the key is required: must be IP:port")
			return
		}
		document.CheckAddress(tomlcheck.Key{"check_in_addr"}, loaded.CheckInAddr, false)
	default:
		document.Add(tomlcheck.OutOfRange, tomlcheck.Key{"platform"}, "%q is not a platform: must be %q, or empty for acacialock's own platform", loaded.Platform, PlatformRows)
	}
	if loaded.RetryRatio < 0 || loaded.RetryRatio > 1 {
		document.Add(tomlcheck.OutOfRange, tomlcheck.Key{"retry_ratio"}, "%v is out of range: must be 0 to 1", loaded.RetryRatio)
	}
	if !(loaded.LinkMbps >= 0) {
		document.Add(tomlcheck.OutOfRange, tomlcheck.Key{"link_mbps"}, "%v is not a bandwidth: must be 0 or more", loaded.LinkMbps)
	}
	if loaded.PeerAdvertiseAddr != "" {
		document.CheckAddress(tomlcheck.Key{"peer_advertise_addr"}, loaded.PeerAdvertiseAddr, true)
	}
	document.CheckRange(tomlcheck.Key{"retry_slack"}, loaded.RetrySlack, 0, maxRetrySlack)
}

func checkLabels(document *tomlcheck.Document, loaded *Settings) {
	labels := []struct{ key, value string }{
		{"service", loaded.Service},
		{"zone", loaded.Zone},
		{"region", loaded.Region},
	}
	for _, label := range labels {
		key := tomlcheck.Key{label.key}
		if label.value == "" {
			document.Add(tomlcheck.Missing, key, "the key is required")
			continue
		}
		document.CheckLabel(key, label.value)
	}
}

// checkAddresses validates the required addresses, which must differ from each other.
func checkAddresses(document *tomlcheck.Document, loaded *Settings) {
	addresses := []struct {
		key, value string
		reachable  bool
	}{
		{"entry_addr", loaded.EntryAddr, false},
		{"peer_addr", loaded.PeerAddr, true},
		{"admin_addr", loaded.AdminAddr, false},
		{"target_addr", loaded.TargetAddr, true},
		{"platform_addr", loaded.PlatformAddr, true},
	}
	seen := map[string]string{}
	for _, address := range addresses {
		key := tomlcheck.Key{address.key}
		if address.value == "" {
			document.Add(tomlcheck.Missing, key, "the key is required: must be IP:port")
			continue
		}
		document.CheckAddress(key, address.value, address.reachable)
		if other, ok := seen[address.value]; ok {
			document.Add(tomlcheck.Duplicate, key, "%q is also the value of %s", address.value, other)
		}
		seen[address.value] = address.key
	}
}

// checkLists validates seeds, entry services and the health path.
func checkLists(document *tomlcheck.Document, loaded *Settings) {
	for i, seed := range loaded.Seeds {
		document.CheckAddress(tomlcheck.Key{"seeds"}, seed, true)
		checkUnique(document, "seeds", loaded.Seeds, i)
	}
	for i, service := range loaded.EntryServices {
		document.CheckLabel(tomlcheck.Key{"entry_services"}, service)
		checkUnique(document, "entry_services", loaded.EntryServices, i)
	}
	for _, region := range loaded.Regions {
		document.CheckLabel(tomlcheck.Key{"regions"}, region)
	}
	if len(loaded.Regions) > 0 && !slices.Contains(loaded.Regions, loaded.Region) {
		document.Add(tomlcheck.Missing, tomlcheck.Key{"regions"}, "the node's own region %q is missing", loaded.Region)
	}
	if path := loaded.TargetHealthPath; path != "" && !strings.HasPrefix(path, "/") {
		document.Add(tomlcheck.BadRoute, tomlcheck.Key{"target_health_path"}, "%q does not start with \"/\"", path)
	}
}

// uniqueSorted returns the values that are not empty, sorted and without repetitions: a platform may list the region of each
// zone, or fill in nothing.
func uniqueSorted(values []string) []string {
	sorted := slices.DeleteFunc(slices.Clone(values), func(value string) bool { return value == "" })
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// checkUnique adds a problem if values[i] equals an earlier value.
func checkUnique(document *tomlcheck.Document, key string, values []string, i int) {
	if slices.Contains(values[:i], values[i]) {
		document.Add(tomlcheck.Duplicate, tomlcheck.Key{key}, "%q occurs twice", values[i])
	}
}
