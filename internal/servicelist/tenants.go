package servicelist

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
)

// Tenant is an organization whose callers identify themselves with API keys. It is immutable.
type Tenant struct {
	Name string
	// Priority replaces the priority of the rule for the tenant's requests, unless InheritPriority is set.
	Priority        int
	InheritPriority bool
	// Rate and Burst are the allotment of the tenant over all nodes: requests per second, and the requests that an unused
	// allotment saves up. A Rate of 0 means no limit.
	Rate, Burst float64
	// AllowedRegions restricts the tenant's requests like Rule.AllowedRegions; both apply. Empty: all regions.
	AllowedRegions []string
}

// KeyDigest identifies an API key without holding it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key. Keys are compared by their digests, so that the time of a comparison tells
// nothing about a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// TenantSet is an index of tenants by API key. The zero value is empty.
type TenantSet struct {
	byKey    map[KeyDigest]*Tenant
	byName   map[string]*Tenant
	repeated []*Tenant
}

// NewTenantSet returns an index of the tenants by the digests of their keys.
func NewTenantSet(keys map[KeyDigest]*Tenant, tenants []*Tenant) TenantSet {
	byName := make(map[string]*Tenant, len(tenants))
	for _, tenant := range tenants {
		byName[tenant.Name] = tenant
	}
	return TenantSet{byKey: keys, byName: byName}
}

// Len returns the number of tenants.
func (s *TenantSet) Len() int { return len(s.byName) }

// ByKey returns the tenant that holds the key, or nil if none does.
func (s *TenantSet) ByKey(key string) *Tenant { return s.byKey[DigestKey(key)] }

// ByName returns the tenant with the name, or nil if there is none.
func (s *TenantSet) ByName(name string) *Tenant { return s.byName[name] }

// All calls yield for each tenant until it returns false, in no particular order.
func (s *TenantSet) All(yield func(*Tenant) bool) {
	for _, tenant := range s.byName {
		if !yield(tenant) {
			return
		}
	}
}

// AllKeys calls yield for the digest of each API key and its tenant until it returns false, in no particular order.
func (s *TenantSet) AllKeys(yield func(KeyDigest, *Tenant) bool) {
	for digest, tenant := range s.byKey {
		if !yield(digest, tenant) {
			return
		}
	}
}

// Repeated returns the tenants that list an API key more than once, one element for each repetition.
func (s *TenantSet) Repeated() []*Tenant { return s.repeated }

// TenantSetBuilder collects tenants and their keys for a TenantSet. The zero value is empty. Its errors contain no key.
type TenantSetBuilder struct {
	byKey    map[KeyDigest]*Tenant
	byName   map[string]*Tenant
	repeated []*Tenant
}

// Add adds a tenant. It fails if the name is not a token or is taken.
func (b *TenantSetBuilder) Add(tenant *Tenant) error {
	if !isToken(tenant.Name) {
		return fmt.Errorf("%q is not a token of 1 to %d characters", tenant.Name, maxTenantName)
	}
	if b.byName[tenant.Name] != nil {
		return fmt.Errorf("the tenant %q occurs twice", tenant.Name)
	}
	if b.byName == nil {
		b.byName = map[string]*Tenant{}
	}
	b.byName[tenant.Name] = tenant
	return nil
}

// AddKey adds an API key of a tenant. It fails if the key is empty, can't be sent in a header, or is held by another tenant.
func (b *TenantSetBuilder) AddKey(tenant *Tenant, key string) error {
	switch {
	case key == "":
		return errors.New("the key is empty")
	case len(key) > maxKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' || r == ',' }):
		return fmt.Errorf("the key does not consist of 1 to %d visible ASCII characters without commas", maxKeyBytes)
	}
	return b.AddDigest(tenant, DigestKey(key))
}

// AddDigest adds the digest of an API key of a tenant. It fails if the key is held by another tenant.
func (b *TenantSetBuilder) AddDigest(tenant *Tenant, digest KeyDigest) error {
	switch holder := b.byKey[digest]; {
	case holder == tenant:
		b.repeated = append(b.repeated, tenant)
	case holder != nil:
		return fmt.Errorf("the key is also held by tenant %q", holder.Name)
	}
	if b.byKey == nil {
		b.byKey = map[KeyDigest]*Tenant{}
	}
	b.byKey[digest] = tenant
	return nil
}

// Set returns the index of the tenants that were added.
func (b *TenantSetBuilder) Set() TenantSet { return TenantSet(*b) }

const (
	maxTenantName = 128  // in bytes; the name is sent in a header with each request
	maxKeyBytes   = 4096 // far above the length of keys in use
)

// isToken reports whether a text is a token (RFC 9110, section 5.6.2) of at most maxTenantName characters.
func isToken(text string) bool {
	if text == "" || len(text) > maxTenantName {
		return false
	}
	for _, char := range []byte(text) {
		switch {
		case 'a' <= char && char <= 'z', 'A' <= char && char <= 'Z', '0' <= char && char <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", char) >= 0:
		default:
			return false
		}
	}
	return true
}
