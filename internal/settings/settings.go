// Package settings holds the settings of one acacialockd process.
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

// Defaults of the optional keys.
const (
	DefaultDrainTimeout             = 30 * time.Second
	DefaultTargetConnectTimeout     = time.Second
	DefaultTargetHealthInterval     = time.Second
	DefaultPlatformTryTimeout       = time.Second
	DefaultPlatformOperationTimeout = 15 * time.Second
)

// Settings are the checked settings of one process. They are immutable.
type Settings struct {
	// Name of the node, unique at any time; the peer address by default.
	Name    string
	Service string // service of the local target, as named in the service list
	Zone    string
	Region  string

	EntryAddr string // IP:port for callers and for the local target's outgoing calls
	PeerAddr  string // IP:port for other nodes
	// PeerAdvertiseAddr is the IP:port by which other nodes reach PeerAddr; empty: PeerAddr. PlatformRows only.
	PeerAdvertiseAddr string
	AdminAddr         string // IP:port for metrics, health and status
	TargetAddr        string // IP:port of the local target
	// TargetHealthPath is the path asked for the target's health; empty: the target has no health endpoint.
	TargetHealthPath string
	PlatformAddr     string   // IP:port of the platform
	Seeds            []string // peer addresses asked for members and the service list after a restart in an outage
	EntryServices    []string // services that callers reach through this node, besides its own and its dependencies

	// Platform names the platform that the node runs on: PlatformOwn, or PlatformRows with the adapter in platform/.
	Platform    string
	CheckInAddr string // IP:port at which the local target announces itself; PlatformRows only
	// RetryRatio and RetrySlack bound the retries of all nodes together: RetryRatio x the requests for a service and
	// RetrySlack more in each window. PlatformRows only; 0: the defaults of the service list.
	RetryRatio float64
	RetrySlack int
	// LinkMbps is the bandwidth of the machine's link in Mbit/s; 0: not known. Of the nodes of a zone, the one with the widest
	// link reads the store for the others. PlatformRows only.
	LinkMbps float64

	DrainTimeout             time.Duration // longest wait for requests in flight at the end; default 30 s
	TargetConnectTimeout     time.Duration // for a connection to the target; default 1 s
	TargetHealthInterval     time.Duration // between two requests of the health path; default 1 s
	PlatformTryTimeout       time.Duration // first try of an operation at the platform; default 1 s
	PlatformOperationTimeout time.Duration // an operation at the platform with all its tries; default 15 s
}

// maxRetrySlack keeps a mistyped slack from turning the retry budget off.
const maxRetrySlack = 1_000_000

// Platforms of Settings.Platform.
const (
	PlatformOwn  = ""     // the product's own table and object service
	PlatformRows = "rows" // a store of rows with a feed of changes
)

// Error reports a settings file that can't be used, with all problems found.
type Error struct {
	File string
	// Cause is set when the file can't be read; Problems is then empty.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// settingsText is the TOML form.
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
	DrainTimeout             *string  `toml:"drain_timeout"`
	TargetConnectTimeout     *string  `toml:"target_connect_timeout"`
	TargetHealthInterval     *string  `toml:"target_health_interval"`
	PlatformTryTimeout       *string  `toml:"platform_try_timeout"`
	PlatformOperationTimeout *string  `toml:"platform_operation_timeout"`
}

// Load reads and checks a settings file. It fails with *Error.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Cause: err}
	}
	var decoded settingsText
	document := tomlcheck.Decode(text, &decoded)
	if !document.Usable() {
		return nil, &Error{File: path, Problems: document.Problems()}
	}
	loaded := fromText(document, &decoded)
	if problems := document.Problems(); len(problems) > 0 {
		return nil, &Error{File: path, Problems: problems}
	}
	return loaded, nil
}

func fromText(document *tomlcheck.Document, text *settingsText) *Settings {
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
	setDurations(document, loaded, text)
	return loaded
}

func setDurations(document *tomlcheck.Document, loaded *Settings, text *settingsText) {
	read := func(name string, value *string, fallback, low, high time.Duration) time.Duration {
		return document.Duration(tomlcheck.Key{name}, value, fallback, low, high)
	}
	loaded.DrainTimeout = read("drain_timeout", text.DrainTimeout, DefaultDrainTimeout, time.Second, time.Hour)
	loaded.TargetConnectTimeout = read("target_connect_timeout", text.TargetConnectTimeout, DefaultTargetConnectTimeout, 10*time.Millisecond, time.Minute)
	loaded.TargetHealthInterval = read("target_health_interval", text.TargetHealthInterval, DefaultTargetHealthInterval, 100*time.Millisecond, time.Minute)
	loaded.PlatformTryTimeout = read("platform_try_timeout", text.PlatformTryTimeout, DefaultPlatformTryTimeout, 50*time.Millisecond, time.Minute)
	loaded.PlatformOperationTimeout = read("platform_operation_timeout", text.PlatformOperationTimeout, DefaultPlatformOperationTimeout, time.Second, 5*time.Minute)
	if loaded.PlatformOperationTimeout < loaded.PlatformTryTimeout {
		document.Add(tomlcheck.OutOfRange, tomlcheck.Key{"platform_operation_timeout"}, "%s is out of range: allowed is platform_try_timeout (%s) or more", loaded.PlatformOperationTimeout, loaded.PlatformTryTimeout)
	}
}

// nodeName excludes "@", which separates the name from the incarnation in a member id.
var nodeName = regexp.MustCompile(`^[A-Za-z0-9._:\[\]-]{1,128}$`)

func checkName(document *tomlcheck.Document, name string) {
	if !nodeName.MatchString(name) {
		document.Add(tomlcheck.BadName, tomlcheck.Key{"name"}, "%q is not a node name: allowed are 1 to 128 letters, digits and . _ : [ ] -", name)
	}
}

func checkPlatform(document *tomlcheck.Document, loaded *Settings) {
	switch loaded.Platform {
	case PlatformOwn:
	case PlatformRows:
		if loaded.CheckInAddr == "" {
			document.Add(tomlcheck.Missing, tomlcheck.Key{"check_in_addr"}, "the key is required: allowed is IP:port")
			return
		}
		document.CheckAddress(tomlcheck.Key{"check_in_addr"}, loaded.CheckInAddr, false)
	default:
		document.Add(tomlcheck.OutOfRange, tomlcheck.Key{"platform"}, "%q is not a platform: allowed is %q, or no value for the product's own", loaded.Platform, PlatformRows)
	}
	if loaded.RetryRatio < 0 || loaded.RetryRatio > 1 {
		document.Add(tomlcheck.OutOfRange, tomlcheck.Key{"retry_ratio"}, "%v is out of range: allowed is 0 to 1", loaded.RetryRatio)
	}
	if !(loaded.LinkMbps >= 0) {
		document.Add(tomlcheck.OutOfRange, tomlcheck.Key{"link_mbps"}, "%v is not a bandwidth", loaded.LinkMbps)
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
			document.Add(tomlcheck.Missing, key, "the key is required: allowed is IP:port")
			continue
		}
		document.CheckAddress(key, address.value, address.reachable)
		if other, ok := seen[address.value]; ok {
			document.Add(tomlcheck.Duplicate, key, "%q is also the value of %s", address.value, other)
		}
		seen[address.value] = address.key
	}
}

func checkLists(document *tomlcheck.Document, loaded *Settings) {
	for i, seed := range loaded.Seeds {
		document.CheckAddress(tomlcheck.Key{"seeds"}, seed, true)
		checkOnce(document, "seeds", loaded.Seeds, i)
	}
	for i, service := range loaded.EntryServices {
		document.CheckLabel(tomlcheck.Key{"entry_services"}, service)
		checkOnce(document, "entry_services", loaded.EntryServices, i)
	}
	if path := loaded.TargetHealthPath; path != "" && !strings.HasPrefix(path, "/") {
		document.Add(tomlcheck.BadRoute, tomlcheck.Key{"target_health_path"}, "%q does not start with \"/\"", path)
	}
}

func checkOnce(document *tomlcheck.Document, key string, values []string, i int) {
	if slices.Contains(values[:i], values[i]) {
		document.Add(tomlcheck.Duplicate, tomlcheck.Key{key}, "%q occurs twice", values[i])
	}
}
