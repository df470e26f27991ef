package servicelist

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/tomlcheck"
)

const listWithTenants = `
[services.shop]
cold_rate = 2.5

[[rules]]
name = "all"
host = "shop.example"
prefix = "/"
public = true
allowed_regions = ["north"]
split = [{service = "shop", weight = 1}]

[[tenants]]
name = "mill"
keys = ["k1", "k2"]
priority = 0
rate = 12
burst = 30.5
allowed_regions = ["north", "south"]

[[tenants]]
name = "plant"
key_digests = ["f3bb0d8f8ac6e6f30d8e0f3f4c6b7a1a2f0ab9d7b1d7a6c1d2c3b4a5968778e9"]
`

// Guards against a value of tenants, rules and services that is not copied into the parsed list.
func TestParseTenants(t *testing.T) {
	list, err := Parse([]byte(listWithTenants))
	assert.NilError(t, err)
	assert.Equal(t, list.Services["shop"].ColdRate, 2.5)
	rule := list.Rules.Match("shop.example", "/")
	assert.Assert(t, rule.Public)
	assert.DeepEqual(t, rule.AllowedRegions, []string{"north"})
	assert.DeepEqual(t, *list.Tenants.ByKey("k2"), Tenant{Name: "mill", Rate: 12, Burst: 30.5, AllowedRegions: []string{"north", "south"}})
	assert.Assert(t, list.Tenants.ByName("plant").InheritPriority)
	assert.Assert(t, list.Tenants.ByKey("k3") == nil && list.Tenants.ByKey("") == nil)
	assert.Equal(t, list.Tenants.Len(), 2)
}

// Guards against an invalid tenant that is accepted, and against a key in the report, which operators' tools print and log.
func TestInvalidTenantsAreRejected(t *testing.T) {
	for _, c := range []struct {
		old, new string
		kind     tomlcheck.Kind
	}{
		{`"mill"`, `"mill 1"`, tomlcheck.BadName},
		{`"mill"`, `"plant"`, tomlcheck.BadName},
		{`"mill"`, `"` + strings.Repeat("m", 129) + `"`, tomlcheck.BadName},
		{`"k1", "k2"`, `"k1", ""`, tomlcheck.BadName},
		{`"k1", "k2"`, `"k1", "k 2"`, tomlcheck.BadName},
		{`priority = 0`, `priority = 101`, tomlcheck.OutOfRange},
		{`rate = 12`, `rate = -1`, tomlcheck.OutOfRange},
		{`rate = 12`, `rate = nan`, tomlcheck.OutOfRange},
		{`rate = 12`, `rate = "12"`, tomlcheck.WrongType},
		{`burst = 30.5`, `burst = inf`, tomlcheck.OutOfRange},
		{`cold_rate = 2.5`, `cold_rate = -1`, tomlcheck.OutOfRange},
		{`"f3bb`, `"xyz`, tomlcheck.BadName},
		{`["f3bb0d`, `["", "f3bb0d`, tomlcheck.BadName},
		{`"plant"`, "\"plant\"\nkeys = [\"k2\"]", tomlcheck.BadName},
		{`["north", "south"]`, `["north", ""]`, tomlcheck.BadName},
		{`public = true`, `public = "yes"`, tomlcheck.WrongType},
	} {
		text := strings.Replace(listWithTenants, c.old, c.new, 1)
		assert.Assert(t, text != listWithTenants, c.old)
		_, err := Parse([]byte(text))
		var invalid *Error
		assert.Assert(t, errors.As(err, &invalid), "%+v: %v", c, err)
		assert.Equal(t, invalid.Problems[0].Kind, c.kind, "%+v: %v", c, err)
		assert.Assert(t, invalid.Problems[0].Line > 0, "%+v: %v", c, err)
		for _, key := range []string{"k1", "k2", "k 2", "f3bb"} {
			assert.Assert(t, !strings.Contains(err.Error(), key), "%+v: %v", c, err)
		}
	}
}
