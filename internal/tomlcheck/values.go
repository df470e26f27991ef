package tomlcheck

import (
	"net/netip"
	"regexp"
	"time"
)

// dnsLabel is a DNS label in lower case (RFC 1035 and 1123): 1 to 63 letters, digits and inner hyphens.
var dnsLabel = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// CheckLabel requires a DNS label in lower case.
func (d *Document) CheckLabel(key Key, value string) {
	if !dnsLabel.MatchString(value) {
		d.Add(BadName, key, "%q is not a DNS label: 1 to 63 lower-case letters, digits and inner hyphens", value)
	}
}

// CheckRange requires a number within the bounds.
func (d *Document) CheckRange(key Key, value, low, high int) {
	if value < low || value > high {
		d.Add(OutOfRange, key, "%d is out of range: allowed is %d to %d", value, low, high)
	}
}

// Duration reads a duration with its unit, such as "10s"; an absent one gives the fallback.
func (d *Document) Duration(key Key, text *string, fallback, low, high time.Duration) time.Duration {
	if text == nil {
		return fallback
	}
	value, err := time.ParseDuration(*text)
	if err != nil {
		d.Add(BadDuration, key, "%q is not a duration with a unit, such as \"10s\" or \"500ms\"", *text)
		return fallback
	}
	if value < low || value > high {
		d.Add(OutOfRange, key, "%s is out of range: allowed is %s to %s", value, low, high)
	}
	return value
}

// CheckAddress requires IP:port with a port of 1 to 65535; reachable also excludes the unspecified address, to which
// nobody can connect.
func (d *Document) CheckAddress(key Key, value string, reachable bool) {
	addr, err := netip.ParseAddrPort(value)
	switch {
	case err != nil || addr.Port() == 0:
		d.Add(BadAddress, key, "%q is not an address: allowed is IP:port with a port of 1 to 65535", value)
	case reachable && addr.Addr().IsUnspecified():
		d.Add(BadAddress, key, "%q can't be connected to: allowed is the IP:port of one host", value)
	}
}
