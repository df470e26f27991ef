package servicelist

import (
	"encoding/hex"

	"github.com/acacialock/acacialock/internal/tomlcheck"
)

// parseTenants converts and validates the tenants of a list; problems are added to the document. No problem contains a key.
func parseTenants(document *tomlcheck.Document, texts []tenantText) TenantSet {
	var tenants TenantSetBuilder
	for i, text := range texts {
		table := tomlcheck.Key{"tenants", tomlcheck.Element(i)}
		tenant := &Tenant{
			Name: text.Name, Priority: valueOr(text.Priority, 0), InheritPriority: text.Priority == nil, Rate: text.Rate, Burst: text.Burst,
			AllowedRegions: parseRegions(document, childKey(table, "allowed_regions"), text.AllowedRegions),
		}
		if err := tenants.Add(tenant); err != nil {
			document.Add(tomlcheck.BadName, childKey(table, "name"), "%v", err)
		}
		document.CheckRange(childKey(table, "priority"), tenant.Priority, 0, MaxPriority)
		if !(tenant.Rate >= 0 && tenant.Rate <= MaxRate) {
			document.Add(tomlcheck.OutOfRange, childKey(table, "rate"), "rate %v of tenant %q is out of range: must be 0 to %v", tenant.Rate, tenant.Name, float64(MaxRate))
		}
		if !(tenant.Burst >= 0 && tenant.Burst <= MaxBurst) {
			document.Add(tomlcheck.OutOfRange, childKey(table, "burst"), "burst %v of tenant %q is out of range: must be 0 to %v", tenant.Burst, tenant.Name, float64(MaxBurst))
		}
		parseKeys(document, &tenants, tenant, table, text)
	}
	return tenants.Set()
}

// parseKeys adds the keys and key digests of a tenant to the set.
func parseKeys(document *tomlcheck.Document, tenants *TenantSetBuilder, tenant *Tenant, table tomlcheck.Key, text tenantText) {
	keys, digests := childKey(table, "keys"), childKey(table, "key_digests")
	for i, key := range text.Keys {
		if err := tenants.AddKey(tenant, key); err != nil {
			document.Add(tomlcheck.BadName, keys, "key %d of tenant %q: %v", i+1, tenant.Name, err)
		}
	}
	for i, encoded := range text.KeyDigests {
		var digest KeyDigest
		raw, err := hex.DecodeString(encoded)
		if err != nil || copy(digest[:], raw) != len(digest) || len(raw) != len(digest) {
			document.Add(tomlcheck.BadName, digests, "digest %d of tenant %q is not a SHA-256 digest of %d hexadecimal digits", i+1, tenant.Name, 2*len(digest))
			continue
		}
		if err := tenants.AddDigest(tenant, digest); err != nil {
			document.Add(tomlcheck.Duplicate, digests, "digest %d of tenant %q: %v", i+1, tenant.Name, err)
		}
	}
}

// parseRegions validates the names of regions to which requests are restricted.
func parseRegions(document *tomlcheck.Document, key tomlcheck.Key, regions []string) []string {
	for _, region := range regions {
		document.CheckLabel(key, region)
	}
	return regions
}
