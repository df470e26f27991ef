// Package listcheck finds entries of a valid service list that have no effect or contradict each other, and tells in what two
// lists differ. It is pure: it reads lists in their typed form, whatever form they were written in. No result contains an
// API key or its digest.
package listcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/servicelist"
)

// Class groups findings by what they mean for the configuration.
type Class string

// Classes of findings.
const (
	// Invalid is an error, for which nodes reject the whole configuration.
	Invalid Class = "error"
	// NoEffect is an entry that can never match or is never used.
	NoEffect Class = "no-effect"
	// Contradiction is a limit that makes another one unreachable.
	Contradiction Class = "contradiction"
)

// Finding is one thing in a configuration that an operator should look at.
type Finding struct {
	Class   Class  `json:"class"`
	Kind    string `json:"kind"`
	Entry   string `json:"entry,omitempty"` // as in `rule "browse"`; empty: the configuration as a whole
	Field   string `json:"field,omitempty"` // as the configuration's form names it
	Line    int    `json:"line,omitempty"`  // 1-based; 0: not known
	Message string `json:"message"`
	// Key is the path of the value in a service list in TOML, as in "rules[1].timeout"; set for errors only.
	Key string `json:"key,omitempty"`
}

// String returns the finding in the form "line 3: rule "browse": split[1]: message (kind)".
func (f Finding) String() string {
	var text strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&text, "line %d: ", f.Line)
	}
	for _, part := range []string{f.Entry, f.Field} {
		if part != "" {
			text.WriteString(part + ": ")
		}
	}
	fmt.Fprintf(&text, "%s (%s)", f.Message, f.Kind)
	return text.String()
}

// EntryKind is a kind of entry of a service list.
type EntryKind string

// Kinds of entries.
const (
	RuleEntry      EntryKind = "rule"
	ServiceEntry   EntryKind = "service"
	TenantEntry    EntryKind = "tenant"
	CallersEntry   EntryKind = "callers"   // limits of callers' requests
	MeasuringEntry EntryKind = "measuring" // budget for measurement and control traffic
	SettingsEntry  EntryKind = "settings"  // the node's settings, which are not part of the configuration
)

// Ref refers to a field of an entry by the names of the service list in TOML.
type Ref struct {
	Kind     EntryKind
	Name     string // empty if the list has only one entry of the kind
	Position int    // servicelist.Rule.Position for RuleEntry; not used otherwise
	Field    string // such as "max_attempts"; empty: the entry as a whole
	Element  int    // 1-based element of a field that is an array; 0: the field as a whole
}

// Entry returns the form of Finding.Entry.
func (r Ref) Entry() string {
	if r.Kind == CallersEntry || r.Kind == MeasuringEntry || r.Kind == SettingsEntry {
		return string(r.Kind)
	}
	return fmt.Sprintf("%s %q", r.Kind, r.Name)
}

// Configuration is a configuration that was read from one of its forms.
type Configuration struct {
	// List is nil if the configuration has errors.
	List *servicelist.List
	// Findings are the errors, and what only the form of a valid configuration shows, such as entries that its reader ignores.
	Findings []Finding
	// Locate returns the name of a field in the configuration's form, and its line or else that of its closest parent;
	// 0: not known.
	Locate func(Ref) (field string, line int)
}

// Facts are what is known beside the configuration. Checks that need an unknown fact are left out.
type Facts struct {
	// Targets is the number of targets by service and region; nil: not known.
	Targets map[string]map[string]int
	// DrainTimeout is the time that a stopping node waits for requests in flight, and Grace the time after which it is
	// killed; 0: not known.
	DrainTimeout, Grace time.Duration
}

// Analyze returns the findings of a configuration, sorted by line: its errors if there are any, and otherwise entries
// without effect and contradictions.
func Analyze(configuration Configuration, facts Facts) []Finding {
	check := checker{list: configuration.List, facts: facts, locate: configuration.Locate, findings: slices.Clone(configuration.Findings)}
	if check.list != nil {
		check.rules = sortedRules(check.list)
		check.tenants = sortedTenants(check.list)
		check.checkMatches()
		check.checkRegions()
		check.checkLimits()
	}
	slices.SortStableFunc(check.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(lineOrder(a), lineOrder(b)), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Field, b.Field))
	})
	return check.findings
}

// lineOrder returns the position of a finding in the output: findings without a line come last.
func lineOrder(finding Finding) uint { return uint(finding.Line) - 1 }

// checker collects the findings of one list.
type checker struct {
	list     *servicelist.List
	facts    Facts
	locate   func(Ref) (string, int)
	rules    []*servicelist.Rule
	tenants  []*servicelist.Tenant
	findings []Finding
}

func (c *checker) add(class Class, kind string, ref Ref, format string, args ...any) {
	finding := Finding{Class: class, Kind: kind, Entry: ref.Entry(), Field: ref.Field, Message: fmt.Sprintf(format, args...)}
	if c.locate != nil && ref.Kind != SettingsEntry {
		finding.Field, finding.Line = c.locate(ref)
	}
	c.findings = append(c.findings, finding)
}

func ruleRef(rule *servicelist.Rule, field string) Ref {
	return Ref{Kind: RuleEntry, Name: rule.Name, Position: rule.Position, Field: field}
}

func tenantRef(tenant *servicelist.Tenant, field string) Ref {
	return Ref{Kind: TenantEntry, Name: tenant.Name, Field: field}
}

// sortedRules returns the rules that can match, in the order of the configuration.
func sortedRules(list *servicelist.List) []*servicelist.Rule {
	return slices.SortedFunc(list.Rules.All, func(a, b *servicelist.Rule) int { return cmp.Compare(a.Position, b.Position) })
}

func sortedTenants(list *servicelist.List) []*servicelist.Tenant {
	return slices.SortedFunc(list.Tenants.All, func(a, b *servicelist.Tenant) int { return strings.Compare(a.Name, b.Name) })
}

func sortedServices(list *servicelist.List) []*servicelist.Service {
	services := make([]*servicelist.Service, 0, len(list.Services))
	for _, service := range list.Services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b *servicelist.Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}
