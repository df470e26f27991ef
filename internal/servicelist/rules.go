package servicelist

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/tomlcheck"
)

// DefaultMaxAttempts is the number of targets that a request may reach when its rule doesn't say.
const DefaultMaxAttempts = 2

// Bounds of a rule's values.
const (
	MaxPriority    = 100
	MaxMaxAttempts = 10
	MaxWeight      = 1000
)

// Rule sends the requests of one host and path prefix to a service or, by weight, to several. It is immutable but for the
// state of its split.
type Rule struct {
	Name   string
	Host   string // lower case, without a port
	Prefix string // begins and ends with "/"
	// Idempotent requests may run more than once; others run at most once for each request of a caller.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is worth most; 0: unknown.
	TargetLatency time.Duration
	// Priority ranks the rules when not all requests can be served; 0 goes first.
	Priority int
	// MaxAttempts bounds the targets that a request may reach.
	MaxAttempts int
	Split       []Share

	turn atomic.Uint64
}

// Share is one part of a rule's traffic.
type Share struct {
	Service string
	Weight  int
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	MaxBodyBytes   int64         // of a request's body; 0: no limit
	MaxHeaderBytes int           // of a request's header; 0: the default of the listener, 1 MiB
	HeaderTimeout  time.Duration // for a header to arrive; 0: the default of the listener
	IdleTimeout    time.Duration // of a connection without a request; 0: the default of the listener
}

// RuleSet finds the rule of a request. The zero value holds no rules.
type RuleSet struct {
	byHost map[string]map[string]*Rule // by host and prefix
	size   int
}

// NewRuleSet indexes rules. Of two rules with the same host and prefix the later one counts.
func NewRuleSet(rules []*Rule) RuleSet {
	set := RuleSet{byHost: map[string]map[string]*Rule{}}
	for _, rule := range rules {
		prefixes := set.byHost[rule.Host]
		if prefixes == nil {
			prefixes = map[string]*Rule{}
			set.byHost[rule.Host] = prefixes
		}
		if prefixes[rule.Prefix] == nil {
			set.size++
		}
		prefixes[rule.Prefix] = rule
	}
	return set
}

// Len is the number of rules.
func (s *RuleSet) Len() int { return s.size }

// Match returns the rule with the longest prefix of path among those of the host, or nil. The time grows with the number
// of segments of the path, not with the number of rules.
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

// splitStride is a prime, so that the turns of a split are spread over a round instead of going to one part after the
// other. It can't be used for totals of weights that it divides.
const splitStride = 7919

// Service chooses the service of the next request. Over each round of as many requests as the weights add up to, each
// part gets exactly its weight.
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
	turn := int(r.turn.Add(1) * stride % uint64(total))
	for _, share := range r.Split {
		if turn -= share.Weight; turn < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// rules reads the rules of a list in TOML.
func rules(document *tomlcheck.Document, list *List, texts []ruleText) RuleSet {
	key := tomlcheck.Key{"rules"}
	var read []*Rule
	seen := map[[2]string]bool{}
	for _, text := range texts {
		rule := &Rule{
			Name: text.Name, Host: strings.ToLower(text.Host), Prefix: text.Prefix, Idempotent: text.Idempotent,
			Timeout:       document.Duration(child(key, "timeout"), text.Timeout, DefaultTimeout, MinTimeout, MaxTimeout),
			TargetLatency: document.Duration(child(key, "target_latency"), text.TargetLatency, 0, MinTimeout, MaxTimeout),
			Priority:      text.Priority,
			MaxAttempts:   valueOr(text.MaxAttempts, DefaultMaxAttempts),
		}
		if rule.Name == "" || rule.Host == "" {
			document.Add(tomlcheck.Missing, key, "a rule needs name and host: name %q, host %q", rule.Name, rule.Host)
		}
		if !strings.HasPrefix(rule.Prefix, "/") || !strings.HasSuffix(rule.Prefix, "/") {
			document.Add(tomlcheck.BadRoute, key, "prefix %q of rule %q does not begin and end with \"/\"", rule.Prefix, rule.Name)
		}
		if place := [2]string{rule.Host, rule.Prefix}; seen[place] {
			document.Add(tomlcheck.Duplicate, key, "host %q with prefix %q occurs twice", rule.Host, rule.Prefix)
		} else {
			seen[place] = true
		}
		document.CheckRange(child(key, "priority"), rule.Priority, 0, MaxPriority)
		document.CheckRange(child(key, "max_attempts"), rule.MaxAttempts, 1, MaxMaxAttempts)
		rule.Split = split(document, list, rule.Name, text.Split)
		read = append(read, rule)
	}
	return NewRuleSet(read)
}

func split(document *tomlcheck.Document, list *List, name string, texts []shareText) []Share {
	key := tomlcheck.Key{"rules", "split"}
	var shares []Share
	total := 0
	for _, text := range texts {
		document.CheckRange(child(key, "weight"), text.Weight, 0, MaxWeight)
		if list.Services[text.Service] == nil {
			document.Add(tomlcheck.UnknownDependency, key, "service %q of rule %q is not in the list", text.Service, name)
		}
		total += text.Weight
		shares = append(shares, Share(text))
	}
	if total <= 0 {
		document.Add(tomlcheck.Missing, key, "rule %q has no service with a weight above 0", name)
	}
	return shares
}
