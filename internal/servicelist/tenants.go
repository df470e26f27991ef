package servicelist

import "crypto/sha256"

// Tenant is an organization whose callers identify themselves with API keys. It is immutable.
type Tenant struct {
	Name string
	// Priority replaces the priority of the rule for the tenant's requests.
	Priority int
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
	byKey  map[KeyDigest]*Tenant
	byName map[string]*Tenant
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
