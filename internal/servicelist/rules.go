package servicelist

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/tomlcheck"
)

// DefaultMaxAttempts is the maximum number of targets that a request is sent to if its rule sets none.
const DefaultMaxAttempts = 2

// Bounds for the values of a rule.
const (
	MaxPriority    = 100
	MaxMaxAttempts = 10
	MaxWeight      = 1000
)

// Rule routes the requests for a host and path prefix to a service or, by weight, to several. It is immutable except for
// the request counter of its split.
type Rule struct {
	Name   string
	Host   string // lower case, without a port
	Prefix string // begins and ends with "/"
	// Idempotent reports whether a request may be executed more than once; otherwise it is executed at most once for each
	// request of a caller.
	Idempotent bool
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
	// TargetLatency is the time within which a response is most useful to the caller; 0 if unknown.
	TargetLatency time.Duration
	// Priority orders the rules when not all requests can be served; 0 is the highest priority.
	Priority int
	// MaxAttempts is the maximum number of targets that a request is sent to.
	MaxAttempts int
	Split       []Share
	// Public reports that requests need no API key. It has no effect if the list has no tenants.
	Public bool
	// AllowedRegions are the regions whose nodes may receive a request and its body, besides the node that the caller
	// connected to. Empty: all regions.
	AllowedRegions []string
	// Position is the rule's position among the entries of the configuration as written, counted from 0.
	Position int

	requests atomic.Uint64 // requests that the split distributed so far
}

// Share is the part of a rule's requests that goes to one service, in proportion to its weight.
type Share struct {
	Service string
	Weight  int
}

// CallerLimits limit the requests and connections of callers.
type CallerLimits struct {
	MaxBodyBytes   int64         // of a request's body; 0 means no limit
	MaxHeaderBytes int           // of a request's header; 0 selects the listener's default, 1 MiB
	HeaderTimeout  time.Duration // for reading a request's header; 0 selects the listener's default
	IdleTimeout    time.Duration // of a connection without a request; 0 selects the listener's default
}

// RuleSet is an index of rules by host and path prefix. The zero value is empty.
type RuleSet struct {
	byHost map[string]map[string]*Rule // by host and prefix
	size   int
	hidden []*Rule // rules replaced by a later one with the same host and prefix
}

// NewRuleSet returns an index of the rules. Of several rules with the same host and prefix, the last one is used.
func NewRuleSet(rules []*Rule) RuleSet {
	set := RuleSet{byHost: map[string]map[string]*Rule{}}
	for _, rule := range rules {
		prefixes := set.byHost[rule.Host]
		if prefixes == nil {
			prefixes = map[string]*Rule{}
			set.byHost[rule.Host] = prefixes
		}
		if replaced := prefixes[rule.Prefix]; replaced != nil {
			set.hidden = append(set.hidden, replaced)
		} else {
			set.size++
		}
		prefixes[rule.Prefix] = rule
	}
	return set
}

// Len returns the number of rules.
func (s *RuleSet) Len() int { return s.size }

// All calls yield for each rule of the index until it returns false, in no particular order.
func (s *RuleSet) All(yield func(*Rule) bool) {
	for _, prefixes := range s.byHost {
		for _, rule := range prefixes {
			if !yield(rule) {
				return
			}
		}
	}
}

// Hidden returns the rules that no request matches because a later rule has the same host and prefix.
func (s *RuleSet) Hidden() []*Rule { return s.hidden }

// Match returns the host's rule with the longest prefix of path, or nil if there is none. The time is proportional to the
// number of path segments and independent of the number of rules.
func (s *RuleSet) Match(host, path string) *Rule {
	prefixes := s.byHost[host]
	if len(prefixes) == 0 {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if rule := prefixes[path[:end+1]]; rule != nil {
			return rule
		}
	}
	return nil
}

// splitStride is the step between the positions of successive requests in a round of a split. As it is a prime, a round
// visits every position once, interleaving the services instead of serving them in blocks. It can't be used if it divides
// the total weight.
const splitStride = 7919

// Service returns the service for the next request. In each round, which has as many requests as the total weight, each
// service gets exactly as many requests as its weight. It returns "" if the total weight is 0.
func (r *Rule) Service() string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	stride := uint64(splitStride)
	if total%splitStride == 0 {
		stride = 1
	}
	position := int(r.requests.Add(1) * stride % uint64(total))
	for _, share := range r.Split {
		if position -= share.Weight; position < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// parseRules converts and validates the rules of a list; problems are added to the document.
func parseRules(document *tomlcheck.Document, list *List, texts []ruleText) RuleSet {
	var parsed []*Rule
	seen := map[[2]string]bool{}
	for i, text := range texts {
		key := tomlcheck.Key{"rules", tomlcheck.Element(i)}
		rule := &Rule{
			Position: i,
			Name:     text.Name, Host: strings.ToLower(text.Host), Prefix: text.Prefix, Idempotent: text.Idempotent,
			Timeout:       document.ParseDuration(childKey(key, "timeout"), text.Timeout, DefaultTimeout, MinTimeout, MaxTimeout),
			TargetLatency: document.ParseDuration(childKey(key, "target_latency"), text.TargetLatency, 0, MinTimeout, MaxTimeout),
			Priority:      text.Priority,
			MaxAttempts:   valueOr(text.MaxAttempts, DefaultMaxAttempts),
			Public:        text.Public,
		}
		rule.AllowedRegions = parseRegions(document, childKey(key, "allowed_regions"), text.AllowedRegions)
		if rule.Name == "" || rule.Host == "" {
			document.Add(tomlcheck.Missing, key, "a rule must have a name and a host: got name %q and host %q", rule.Name, rule.Host)
		}
		if !strings.HasPrefix(rule.Prefix, "/") || !strings.HasSuffix(rule.Prefix, "/") {
			document.Add(tomlcheck.BadRoute, key, "prefix %q of rule %q does not begin and end with \"/\"", rule.Prefix, rule.Name)
		}
		if hostPrefix := [2]string{rule.Host, rule.Prefix}; seen[hostPrefix] {
			document.Add(tomlcheck.Duplicate, key, "host %q with prefix %q occurs twice", rule.Host, rule.Prefix)
		} else {
			seen[hostPrefix] = true
		}
		document.CheckRange(childKey(key, "priority"), rule.Priority, 0, MaxPriority)
		document.CheckRange(childKey(key, "max_attempts"), rule.MaxAttempts, 1, MaxMaxAttempts)
		rule.Split = parseSplit(document, list, key, rule.Name, text.Split)
		parsed = append(parsed, rule)
	}
	return NewRuleSet(parsed)
}

func parseSplit(document *tomlcheck.Document, list *List, rule tomlcheck.Key, name string, texts []shareText) []Share {
	split := childKey(rule, "split")
	var shares []Share
	total := 0
	for i, text := range texts {
		key := childKey(split, tomlcheck.Element(i))
		document.CheckRange(childKey(key, "weight"), text.Weight, 0, MaxWeight)
		if list.Services[text.Service] == nil {
			document.Add(tomlcheck.UnknownDependency, key, "service %q of rule %q is not in the list", text.Service, name)
		}
		total += text.Weight
		shares = append(shares, Share(text))
	}
	if total <= 0 {
		document.Add(tomlcheck.Missing, split, "rule %q has no service with a weight above 0", name)
	}
	return shares
}
