package listcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/acacialock/acacialock/internal/servicelist"
)

// Effect tells for which requests a change holds.
type Effect string

// Effects of changes.
const (
	// AtOnce: also for requests that wait or run when a node learns of the change.
	AtOnce Effect = "at once"
	// NewRequests: for requests that arrive after a node has learned of the change.
	NewRequests Effect = "new requests"
)

// Values of Change.Op.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// FieldChange is a changed value of an entry. Keys are counted and not shown.
type FieldChange struct {
	Field  string `json:"field"` // as the service list in TOML names it
	Before string `json:"before"`
	After  string `json:"after"`
	Effect Effect `json:"effect"`
}

// Change is an entry that differs between two lists.
type Change struct {
	Op     string        `json:"op"`
	Entry  string        `json:"entry"`
	Fields []FieldChange `json:"fields,omitempty"` // of a changed entry
	Effect Effect        `json:"effect"`           // AtOnce if any part of the change is
	// Callers are the callers that it touches: host with prefix, or tenant. Services are those whose targets it touches.
	Callers  []string `json:"callers"`
	Services []string `json:"services"`
}

// String returns the change as one line, with a further line for each field.
func (c Change) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s (%s; callers: %s; services: %s)", c.Op, c.Entry, c.Effect, shorten(c.Callers), shorten(c.Services))
	for _, field := range c.Fields {
		fmt.Fprintf(&text, "\n    %s: %s -> %s (%s)", field.Field, field.Before, field.After, field.Effect)
	}
	return text.String()
}

// maxShownNames is the number of names that one line of text lists.
const maxShownNames = 4

// shorten lists the first names and counts the others.
func shorten(names []string) string {
	switch {
	case len(names) == 0:
		return "none"
	case len(names) > maxShownNames:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxShownNames], ", "), len(names)-maxShownNames)
	}
	return strings.Join(names, ", ")
}

// entry is an entry of a list in a form in which two lists can be compared.
type entry struct {
	kind     EntryKind
	name     string
	fields   []fieldValue
	callers  []string
	services []string
}

type fieldValue struct {
	name, value string
	effect      Effect
	keys        map[servicelist.KeyDigest]bool // instead of value
}

// Compare returns the entries that differ, sorted by kind and name: rules, services, tenants, callers, measuring.
// A nil list has no entries.
func Compare(before, after *servicelist.List) []Change {
	old, changed := entriesOf(before), entriesOf(after)
	var changes []Change
	for _, key := range unionOfKeys(old, changed) {
		if change, differs := compareEntries(old[key], changed[key]); differs {
			changes = append(changes, change)
		}
	}
	return changes
}

// entryKey identifies an entry in both lists. number tells entries of the same name apart.
type entryKey struct {
	kind   EntryKind
	name   string
	number int
}

// order returns the position of a kind in the output.
func (k EntryKind) order() int {
	return slices.Index([]EntryKind{RuleEntry, ServiceEntry, TenantEntry, CallersEntry, MeasuringEntry}, k)
}

func unionOfKeys(a, b map[entryKey]*entry) []entryKey {
	var keys []entryKey
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		if a[key] == nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y entryKey) int {
		return cmp.Or(cmp.Compare(x.kind.order(), y.kind.order()), cmp.Compare(x.name, y.name), cmp.Compare(x.number, y.number))
	})
	return keys
}

// compareEntries compares an entry of two lists, one of which may be nil.
func compareEntries(before, after *entry) (Change, bool) {
	shown := cmp.Or(after, before)
	change := Change{Entry: Ref{Kind: shown.kind, Name: shown.name}.Entry(), Effect: NewRequests, Callers: []string{}, Services: []string{}}
	for _, side := range []*entry{before, after} {
		if side != nil {
			change.Callers, change.Services = union(change.Callers, side.callers), union(change.Services, side.services)
		}
	}
	switch {
	case before == nil:
		change.Op = Added
		return change, true
	case after == nil:
		change.Op = Removed
		return change, true
	}
	change.Op = Changed
	for i, field := range after.fields {
		if previous := before.fields[i]; field.differs(previous) {
			change.Fields = append(change.Fields, field.change(previous))
			if field.effect == AtOnce {
				change.Effect = AtOnce
			}
		}
	}
	return change, len(change.Fields) > 0
}

func (f fieldValue) differs(before fieldValue) bool {
	if f.value != before.value || len(f.keys) != len(before.keys) {
		return true
	}
	return missingKeys(f.keys, before.keys) > 0
}

func (f fieldValue) change(before fieldValue) FieldChange {
	change := FieldChange{Field: f.name, Before: before.value, After: f.value, Effect: f.effect}
	if f.keys != nil || before.keys != nil {
		added, withdrawn := missingKeys(f.keys, before.keys), missingKeys(before.keys, f.keys)
		change.Before = fmt.Sprintf("%d keys", len(before.keys))
		change.After = fmt.Sprintf("%d keys: %d added, %d withdrawn", len(f.keys), added, withdrawn)
	}
	return change
}

// missingKeys returns the number of keys that others lack.
func missingKeys(keys, others map[servicelist.KeyDigest]bool) int {
	missing := 0
	for key := range keys {
		if !others[key] {
			missing++
		}
	}
	return missing
}

func union(a, b []string) []string {
	result := append(slices.Clone(a), b...)
	slices.Sort(result)
	return slices.Compact(result)
}

// entriesOf returns the entries of a list.
func entriesOf(list *servicelist.List) map[entryKey]*entry {
	entries := map[entryKey]*entry{}
	if list == nil {
		return entries
	}
	rules := sortedRules(list)
	for _, added := range slices.Concat(ruleEntries(rules), serviceEntries(list, rules), tenantEntries(list), []*entry{callersEntry(list), measuringEntry(list)}) {
		key := entryKey{kind: added.kind, name: added.name}
		for entries[key] != nil {
			key.number++
		}
		entries[key] = added
	}
	return entries
}

// value returns a field that is compared and shown by its formatted value.
func value(name string, content any, effect Effect) fieldValue {
	return fieldValue{name: name, value: fmt.Sprint(content), effect: effect}
}

func ruleEntries(rules []*servicelist.Rule) []*entry {
	var entries []*entry
	for _, rule := range rules {
		made := &entry{kind: RuleEntry, name: rule.Name, callers: []string{rule.Host + rule.Prefix}}
		var shares []string
		for _, share := range rule.Split {
			made.services = append(made.services, share.Service)
			shares = append(shares, fmt.Sprintf("%s=%d", share.Service, share.Weight))
		}
		made.fields = []fieldValue{
			value("host", rule.Host, NewRequests), value("prefix", rule.Prefix, NewRequests),
			value("idempotent", rule.Idempotent, NewRequests), value("timeout", rule.Timeout, NewRequests),
			value("target_latency", rule.TargetLatency, NewRequests), value("priority", rule.Priority, NewRequests),
			value("max_attempts", rule.MaxAttempts, NewRequests), value("split", strings.Join(shares, " "), NewRequests),
			value("public", rule.Public, NewRequests), value("allowed_regions", rule.AllowedRegions, NewRequests),
		}
		entries = append(entries, made)
	}
	return entries
}

func serviceEntries(list *servicelist.List, rules []*servicelist.Rule) []*entry {
	callers := map[string][]string{}
	for _, rule := range rules {
		for _, share := range rule.Split {
			callers[share.Service] = append(callers[share.Service], rule.Host+rule.Prefix)
		}
	}
	var entries []*entry
	for _, service := range sortedServices(list) {
		made := &entry{kind: ServiceEntry, name: service.Name, callers: callers[service.Name], services: []string{service.Name}}
		if len(rules) == 0 {
			made.callers = []string{service.Name}
		}
		made.fields = []fieldValue{
			value("depends_on", service.DependsOn, NewRequests), value("home_region", service.HomeRegion, NewRequests),
			value("timeout", service.Timeout, NewRequests), value("health_path", service.HealthPath, AtOnce),
			value("cold_rate", service.ColdRate, AtOnce), value("resend_window", service.ResendWindow, NewRequests),
			value("idempotent", service.Idempotent, NewRequests), value("limits.slots", service.Limits.Slots, AtOnce),
			value("limits.connections", service.Limits.Connections, AtOnce), value("limits.queue", service.Limits.Queue, AtOnce),
			value("retry.budget_percent", service.Retry.BudgetPercent, AtOnce), value("retry.hedge_percent", service.Retry.HedgePercent, AtOnce),
		}
		entries = append(entries, made)
	}
	return entries
}

func tenantEntries(list *servicelist.List) []*entry {
	keys := map[*servicelist.Tenant]map[servicelist.KeyDigest]bool{}
	for digest, tenant := range list.Tenants.AllKeys {
		if keys[tenant] == nil {
			keys[tenant] = map[servicelist.KeyDigest]bool{}
		}
		keys[tenant][digest] = true
	}
	var entries []*entry
	for _, tenant := range sortedTenants(list) {
		priority := "of the rule"
		if !tenant.InheritPriority {
			priority = fmt.Sprint(tenant.Priority)
		}
		entries = append(entries, &entry{kind: TenantEntry, name: tenant.Name, callers: []string{"tenant " + tenant.Name}, fields: []fieldValue{
			{name: "keys", keys: keys[tenant], effect: NewRequests}, value("priority", priority, NewRequests),
			value("rate", tenant.Rate, AtOnce), value("burst", tenant.Burst, AtOnce),
			value("allowed_regions", tenant.AllowedRegions, NewRequests),
		}})
	}
	return entries
}

func callersEntry(list *servicelist.List) *entry {
	limits := list.CallerLimits
	return &entry{kind: CallersEntry, callers: []string{"all"}, fields: []fieldValue{
		value("max_body_bytes", limits.MaxBodyBytes, NewRequests), value("max_header_bytes", limits.MaxHeaderBytes, NewRequests),
		value("header_timeout", limits.HeaderTimeout, NewRequests), value("idle_timeout", limits.IdleTimeout, NewRequests),
	}}
}

func measuringEntry(list *servicelist.List) *entry {
	return &entry{kind: MeasuringEntry, fields: []fieldValue{
		value("region_bytes_per_second", list.Measuring.RegionBytesPerSecond, AtOnce),
		value("link_bytes_per_second", list.Measuring.LinkBytesPerSecond, AtOnce),
	}}
}
