package tomlcheck

import (
	"net/netip"
	"regexp"
	"time"
)

// dnsLabelPattern matches a DNS label in lower case (RFC 1035 and 1123): 1 to 63 letters, digits and inner hyphens.
var dnsLabelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// CheckLabel records a BadName problem if value is not a DNS label in lower case.
func (d *Document) CheckLabel(key Key, value string) {
	if !dnsLabelPattern.MatchString(value) {
		d.Add(BadName, key, "%q is not a DNS label: must be 1 to 63 lower-case letters, digits and inner hyphens", value)
	}
}

// CheckRange records an OutOfRange problem if value is below low or above high.
func (d *Document) CheckRange(key Key, value, low, high int) {
	if value < low || value > high {
		d.Add(OutOfRange, key, "%d is out of range: must be %d to %d", value, low, high)
	}
}

// ParseDuration parses a duration with its unit, such as "10s". It returns fallback if text is nil, and records a
// BadDuration problem and returns fallback if text is not a valid duration. If the value is below low or above high, it
// records an OutOfRange problem and returns the value.
func (d *Document) ParseDuration(key Key, text *string, fallback, low, high time.Duration) time.Duration {
	if text == nil {
		return fallback
	}
	value, err := time.ParseDuration(*text)
	if err != nil {
		d.Add(BadDuration, key, "%q is not a duration with a unit, such as \"10s\" or \"500ms\"", *text)
		return fallback
	}
	if value < low || value > high {
		d.Add(OutOfRange, key, "%s is out of range: must be %s to %s", value, low, high)
	}
	return value
}

// CheckAddress records a BadAddress problem if value is not an IP:port with a port of 1 to 65535. With reachable set, the
// unspecified address is rejected as well, because it can't be connected to.
func (d *Document) CheckAddress(key Key, value string, reachable bool) {
	addr, err := netip.ParseAddrPort(value)
	switch {
	case err != nil || addr.Port() == 0:
		d.Add(BadAddress, key, "%q is not an address: must be IP:port with a port of 1 to 65535", value)
	case reachable && addr.Addr().IsUnspecified():
		d.Add(BadAddress, key, "%q can't be connected to: must be the IP:port of one host", value)
	}
}
