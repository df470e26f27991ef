package servicelist

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const listWithRules = `
[services.shop]
[services.stock]

[[rules]]
name = "browse"
host = "Shop.example"
prefix = "/lots/"
idempotent = true
timeout = "1500ms"
target_latency = "800ms"
priority = 2
max_attempts = 3
split = [{service = "shop", weight = 3}, {service = "stock", weight = 1}]

[[rules]]
name = "all"
host = "shop.example"
prefix = "/"
split = [{service = "shop", weight = 1}]
`

// Guards against a value of a rule that is not copied into the parsed list and against a default that is not applied.
func TestParseRules(t *testing.T) {
	list, err := Parse([]byte(listWithRules))
	assert.NilError(t, err)
	browse := list.Rules.Match("shop.example", "/lots/7")
	assert.Equal(t, browse.Name, "browse")
	assert.Assert(t, browse.Idempotent)
	assert.Equal(t, browse.Timeout, 1500*time.Millisecond)
	assert.Equal(t, browse.TargetLatency, 800*time.Millisecond)
	assert.Equal(t, browse.Priority, 2)
	assert.Equal(t, browse.MaxAttempts, 3)
	all := list.Rules.Match("shop.example", "/lots")
	assert.Equal(t, all.Name, "all")
	assert.Assert(t, !all.Idempotent)
	assert.Equal(t, all.Timeout, DefaultTimeout)
	assert.Equal(t, all.MaxAttempts, DefaultMaxAttempts)
}

// Guards against an invalid rule that is accepted.
func TestInvalidRulesAreRejected(t *testing.T) {
	for _, change := range [][2]string{
		{`prefix = "/lots/"`, `prefix = "/lots"`},
		{`prefix = "/lots/"`, `prefix = "/"`},
		{`service = "stock"`, `service = "gone"`},
		{`weight = 1}]`, `weight = 0}]`},
		{`max_attempts = 3`, `max_attempts = 0`},
		{`priority = 2`, `priority = -1`},
		{`timeout = "1500ms"`, `timeout = "soon"`},
		{`host = "Shop.example"`, `host = ""`},
	} {
		text := strings.Replace(listWithRules, change[0], change[1], 1)
		if change[1] == `weight = 0}]` {
			text = strings.Replace(strings.Replace(listWithRules, "weight = 3", "weight = 0", 1), change[0], change[1], 1)
		}
		_, err := Parse([]byte(text))
		var invalid *Error
		assert.Assert(t, errors.As(err, &invalid), "%v: %v", change, err)
	}
}

// Guards against a match that is not the longest prefix, by comparison with a linear search through all rules.
func TestMatchIsTheLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.StringMatching(`/([ab]/){0,4}[ab]?`)
		var all []*Rule
		for range rapid.IntRange(0, 8).Draw(t, "rules") {
			prefix := path.Draw(t, "prefix")
			all = append(all, &Rule{Host: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host"), Prefix: prefix[:strings.LastIndexByte(prefix, '/')+1]})
		}
		set := NewRuleSet(all)
		host, requested := "x", path.Draw(t, "path")
		var want *Rule
		for _, rule := range all {
			if rule.Host == host && strings.HasPrefix(requested, rule.Prefix) && (want == nil || len(rule.Prefix) >= len(want.Prefix)) {
				want = rule
			}
		}
		assert.Equal(t, set.Match(host, requested), want)
	})
}

// Guards against a split in which a service gets more or fewer requests than its weight in a round.
func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := &Rule{}
		total := 0
		want := map[string]int{}
		for _, name := range []string{"a", "b", "c"} {
			weight := rapid.IntRange(1, 100).Draw(t, name)
			rule.Split = append(rule.Split, Share{name, weight})
			want[name] = weight
			total += weight
		}
		got := map[string]int{}
		for range total {
			got[rule.Service()]++
		}
		assert.DeepEqual(t, got, want)
	})
}
