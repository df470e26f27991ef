package servicelist

import (
	"strings"
	"sync/atomic"
	"time"
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
	MaxBodyBytes int64 // 0: no limit
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

// splitStride is coprime to all small totals of weights, so that the turns of a split are spread over a round instead of
// going to one part after the other.
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
	turn := int(r.turn.Add(1) * splitStride % uint64(total))
	for _, share := range r.Split {
		if turn -= share.Weight; turn < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
