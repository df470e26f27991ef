package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/wire"
)

// tenantsOf returns tenants by their only keys.
func tenantsOf(t require, byKey map[string]*servicelist.Tenant) servicelist.TenantSet {
	var builder servicelist.TenantSetBuilder
	for key, tenant := range byKey {
		assert.NilError(t, builder.Add(tenant))
		assert.NilError(t, builder.AddKey(tenant, key))
	}
	return builder.Set()
}

// require is what assertions need of a test.
type require interface {
	FailNow()
	Fail()
	Log(args ...any)
}

// accessRules are a rule that needs a key and a public one.
func accessRules() []*servicelist.Rule {
	needsKey := ordersRule()[0]
	needsKey.MaxAttempts = 3
	public := ordersRule()[0]
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	return []*servicelist.Rule{needsKey, public}
}

// publish puts a changed copy of the list in force.
func (f *fixture) publish(change func(list *servicelist.List)) {
	snapshot := *f.handler.config.View.Load()
	list := *snapshot.List
	change(&list)
	list.Version++
	snapshot.List = &list
	f.handler.config.View.Publish(&snapshot)
}

// callWith sends a request with these headers to the entry node.
func (f *fixture) callWith(t *testing.T, path string, header http.Header) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, f.entry.URL+path, strings.NewReader("x"))
	assert.NilError(t, err)
	request.Host = "orders"
	request.Header = header
	response, err := f.entry.Client().Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	return response
}

// Guards against a request that is served as another tenant's, a key that leaves the node, a tenant's name that a caller
// forged, and a credential in an odd form that passes.
func TestKeyDecidesTheTenant(t *testing.T) {
	var mu sync.Mutex
	var seen http.Header
	f := newFixtureWithRules(t, []string{"r"}, accessRules(), func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen = r.Header.Clone()
	})
	key := func(values ...string) http.Header { return http.Header{"Authorization": values} }
	forged := func(header http.Header) http.Header {
		header[wire.TenantName] = []string{"plant"}
		return header
	}
	tenants := tenantsOf(t, map[string]*servicelist.Tenant{"k-mill": {Name: "mill"}, "k-plant": {Name: "plant"}})
	for name, c := range map[string]struct {
		path       string
		header     http.Header
		wantTenant string // "": refused with 401, or none on a public rule
	}{
		"known":                {"/", key("Bearer k-mill"), "mill"},
		"scheme in lower case": {"/", key("bearer   k-mill"), "mill"},
		"forged tenant":        {"/", forged(key("Bearer k-mill")), "mill"},
		"forged without key":   {"/", forged(key()), ""},
		"unknown":              {"/", key("Bearer k-mil"), ""},
		"missing":              {"/", http.Header{}, ""},
		"two headers":          {"/", key("Bearer k-mill", "Bearer k-mill"), ""},
		"two in one":           {"/", key("Bearer k-mill,Bearer k-mill"), ""},
		"two words":            {"/", key("Bearer k-mill k-mill"), ""},
		"other scheme":         {"/", key("Basic k-mill"), ""},
		"no scheme":            {"/", key("k-mill"), ""},
		"no key":               {"/", key("Bearer "), ""},
		"public":               {"/open/", http.Header{}, ""},
		"public with key":      {"/open/", forged(key("Bearer k-mill")), ""},
		"public, unknown key":  {"/open/", key("Bearer nobody"), ""},
	} {
		t.Run(name, func(t *testing.T) {
			f.publish(func(list *servicelist.List) { list.Tenants = tenants })
			seen = nil
			response := f.callWith(t, c.path, c.header)
			if c.wantTenant == "" && c.path == "/" {
				assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
				assert.Equal(t, response.Header.Get(wire.Outcome), string(failure.NotRun))
				assert.Equal(t, response.Header.Get("Www-Authenticate"), "Bearer")
				assert.Assert(t, seen == nil, "the request reached a target")
				return
			}
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, seen.Get(wire.TenantName), c.wantTenant)
			assert.Equal(t, len(seen.Values("Authorization")), 0)
		})
	}
	f.publish(func(list *servicelist.List) { list.Tenants = servicelist.TenantSet{} })
	assert.Equal(t, f.callWith(t, "/", key("Basic of the application")).StatusCode, http.StatusOK)
	assert.Equal(t, seen.Get("Authorization"), "Basic of the application", "a list without tenants")
}

// Guards against a key that is served after the list that withdrew it is in force, and against a node that accepts or
// refuses keys for good although it can't know them, while public requests go on.
func TestWithdrawnAndUnconfirmedKeys(t *testing.T) {
	f := newFixtureWithRules(t, []string{"r"}, accessRules(), func(http.ResponseWriter, *http.Request) {})
	age := time.Duration(0)
	f.handler.config.ListConfirmed = func() time.Duration { return age }
	f.handler.config.KeyWithdrawalBound = 5 * time.Second
	header := func() http.Header { return http.Header{"Authorization": {"Bearer k"}} }
	f.publish(func(list *servicelist.List) {
		list.Tenants = tenantsOf(t, map[string]*servicelist.Tenant{"k": {Name: "mill"}, "other": {Name: "plant"}})
	})
	for _, c := range []struct {
		path string
		age  time.Duration
		want int
	}{
		{"/", 4900 * time.Millisecond, http.StatusOK},
		{"/", 4960 * time.Millisecond, http.StatusServiceUnavailable},
		{"/open/", time.Hour, http.StatusOK},
	} {
		age = c.age
		response := f.callWith(t, c.path, header())
		assert.Equal(t, response.StatusCode, c.want, "%+v", c)
		if c.want == http.StatusServiceUnavailable {
			assert.Equal(t, response.Header.Get(wire.Reason), string(failure.KeysUnconfirmed))
			assert.Assert(t, response.Header.Get("Retry-After") != "")
		}
	}
	age = 0
	f.publish(func(list *servicelist.List) {
		list.Tenants = tenantsOf(t, map[string]*servicelist.Tenant{"other": {Name: "plant"}})
	})
	assert.Equal(t, f.callWith(t, "/", header()).StatusCode, http.StatusUnauthorized)
	age = 3 * time.Second
	assert.Equal(t, f.callWith(t, "/", header()).StatusCode, http.StatusServiceUnavailable, "the key may have been added")
	f.handler.config.KeyWithdrawalBound = 0
	assert.Equal(t, f.callWith(t, "/", header()).StatusCode, http.StatusUnauthorized, "without a bound no proofs are passed on")
}

// Guards against a key that is accepted longer than the bound after its withdrawal, and against one that is called unknown
// although it was added long ago, at a node that hears of lists late, in bursts, or not at all.
func TestKeysFollowTheListWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 5 * time.Second
		// The key is held in every other span between two changes. A proof shows the state of the operators' list at its time.
		millis := rapid.IntRange(0, 20000)
		changes := rapid.SliceOfN(millis, 1, 6).Draw(t, "changes")
		slices.Sort(changes)
		held := func(at int) bool {
			passed, _ := slices.BinarySearch(changes, at+1)
			return passed%2 == 1
		}
		heldWithin := func(from, to int) (ever, always bool) {
			ever, always = held(from), held(from)
			for _, change := range changes {
				if change > from && change <= to {
					ever, always = ever || held(change), always && held(change)
				}
			}
			return ever, always
		}
		now := 20000 + rapid.IntRange(0, 10000).Draw(t, "now")
		proof := rapid.IntRange(max(0, now-8000), now).Draw(t, "proof")
		keys := map[string]*servicelist.Tenant{"other": {Name: "plant"}}
		if held(proof) {
			keys["k"] = &servicelist.Tenant{Name: "mill"}
		}
		tenants := tenantsOf(t, keys)
		tenant, failed := authorize(accessRequest{
			tenants: &tenants, key: "k", listAge: time.Duration(now-proof) * time.Millisecond, withdrawalBound: bound,
		})
		if tenant != nil {
			ever, _ := heldWithin(now-int(bound.Milliseconds()), now)
			assert.Assert(t, ever, "a key withdrawn before the bound was accepted")
		}
		if failed != nil && failed.Reason == failure.UnknownKey {
			_, always := heldWithin(now-3000, now) // the time in which a list must be in force
			assert.Assert(t, !always, "a key that every list holds was refused for good")
		}
		assert.Assert(t, tenant == nil != (failed == nil))
	})
}

// countedAllotments admits a number of requests.
type countedAllotments struct {
	mu             sync.Mutex
	left, returned int
}

func (a *countedAllotments) Admit(*servicelist.Tenant) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return 1500 * time.Millisecond, false
	}
	a.left--
	return 0, true
}

func (a *countedAllotments) Return(*servicelist.Tenant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returned++
}

// Guards against requests beyond a tenant's allotment that run, against public ones that use it up, and against credit that
// is lost for requests that reached no target or returned for one that did.
func TestAllotmentIsTakenOnceAndReturned(t *testing.T) {
	f := newFixtureWithRules(t, []string{"r"}, accessRules(), func(http.ResponseWriter, *http.Request) {})
	allotments := &countedAllotments{left: 2}
	f.handler.config.Allotments = allotments
	f.publish(func(list *servicelist.List) {
		list.Tenants = tenantsOf(t, map[string]*servicelist.Tenant{"k": {Name: "mill", Rate: 1}})
	})
	send := func(path string) *http.Response {
		return f.callWith(t, path, http.Header{"Authorization": {"Bearer k"}})
	}
	assert.Equal(t, send("/open/").StatusCode, http.StatusOK)
	assert.Equal(t, send("/").StatusCode, http.StatusOK)
	assert.Equal(t, allotments.left, 1)
	assert.Equal(t, allotments.returned, 0)
	f.targets[0].Close() // its node refuses, as it can't connect
	assert.Equal(t, send("/").StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, allotments.returned, 1)
	refused := send("/")
	assert.Equal(t, refused.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, refused.Header.Get("Retry-After"), "2")
	assert.Equal(t, refused.Header.Get(wire.Outcome), string(failure.NotRun))
	assert.Equal(t, allotments.returned, 1)

	unknown := failure.New(failure.ConnectionLost, failure.Unknown, "lost")
	f.handler.returnAllotment(&call{allotted: true, tenant: &servicelist.Tenant{}}, unknown)
	reached := failure.New(failure.QueueFull, failure.NotRun, "the second send")
	f.handler.returnAllotment(&call{allotted: true, tenant: &servicelist.Tenant{}, reached: 1}, reached)
	assert.Equal(t, allotments.returned, 1, "an earlier send may have run")
}

// Guards against a rank of the rule that goes before the tenant's, and against Idempotency-Keys of two tenants that meet.
func TestTenantReplacesPriorityAndScopesKeys(t *testing.T) {
	f := newFixtureWithRules(t, []string{"r"}, accessRules(), func(http.ResponseWriter, *http.Request) {})
	f.publish(func(list *servicelist.List) {
		list.Tenants = tenantsOf(t, map[string]*servicelist.Tenant{
			"k1": {Name: "mill", Priority: 3}, "k2": {Name: "plant", InheritPriority: true},
		})
		list.Rules.Match("orders", "/").Priority = 7
	})
	claimed := map[string]bool{}
	for key, want := range map[string]string{"k1": "3,", "k2": "7,"} {
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("x"))
		request.Host = "orders"
		request.Header = http.Header{"Authorization": {"Bearer " + key}, wire.IdempotencyKey: {"order-7"}}
		c, failed := f.handler.newCall(request, false)
		assert.Assert(t, failed == nil, "%v", failed)
		a := &attempt{handler: f.handler, call: c, member: cluster.Member{PeerAddr: "127.0.0.1:1", Region: "r"}}
		sent := a.newRequest(context.Background()).Header
		assert.Assert(t, strings.HasPrefix(sent.Get(wire.Rank), want), sent.Get(wire.Rank))
		assert.Equal(t, sent.Get("Authorization"), "")
		claimed[c.key] = true

		relayed := c.relayRequest(context.Background(), a.member)
		relayed.RequestURI = "/"
		again, failed := f.handler.newCall(relayed, true)
		assert.Assert(t, failed == nil, "%v", failed)
		assert.Equal(t, again.tenant, c.tenant)
		relayed.Header.Set(wire.TenantName, "gone")
		_, failed = f.handler.newCall(relayed, true)
		assert.Equal(t, failed.Reason, failure.KeysUnconfirmed)
	}
	assert.Equal(t, len(claimed), 2)
}

// Guards against requests that leave the allowed regions in first sends, retries or overflow, that wait in a region which may
// not serve them, or that are held when no region may.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	for name, c := range map[string]struct {
		rule, tenant []string
		dead         int // index of a target that has died; -1: none
		want         []int
		wantReason   failure.Reason
	}{
		"any":                   {nil, nil, -1, []int{0}, ""},
		"another region":        {[]string{"other"}, nil, -1, []int{1, 2}, ""},
		"another region, retry": {[]string{"other"}, nil, 1, []int{2}, ""},
		"tenant's":              {nil, []string{"other"}, 2, []int{1}, ""},
		"both bind":             {[]string{"r", "other"}, []string{"other", "third"}, -1, []int{1, 2}, ""},
		"own region, dead":      {[]string{"r"}, nil, 0, nil, failure.TargetUnreachable},
		"no member":             {[]string{"third"}, nil, -1, nil, failure.RegionNotAllowed},
		"nothing in common":     {[]string{"r"}, []string{"other"}, -1, nil, failure.RegionNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			reached := map[string]bool{}
			f := newFixtureWithRules(t, []string{"r", "other", "other"}, accessRules(), func(_ http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				reached[r.Context().Value(http.LocalAddrContextKey).(interface{ String() string }).String()] = true
			})
			f.publish(func(list *servicelist.List) {
				list.Tenants = tenantsOf(t, map[string]*servicelist.Tenant{"k": {Name: "mill", AllowedRegions: c.tenant}})
				list.Rules.Match("orders", "/").AllowedRegions = c.rule
			})
			if c.dead >= 0 {
				f.targets[c.dead].Close()
			}
			for range 12 {
				response := f.callWith(t, "/", http.Header{"Authorization": {"Bearer k"}})
				if c.wantReason != "" {
					assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
					assert.Equal(t, response.Header.Get(wire.Outcome), string(failure.NotRun))
					continue
				}
				assert.Equal(t, response.StatusCode, http.StatusOK, response.Header.Get(wire.Reason))
			}
			if c.wantReason == failure.RegionNotAllowed {
				assert.Equal(t, f.metrics.Counter("refusal.entry."+string(c.wantReason)).Count(), int64(12))
			}
			for i, target := range f.targets {
				if reached[target.Listener.Addr().String()] {
					assert.Assert(t, slices.Contains(c.want, i), "target %d was reached", i)
				}
			}
			assert.Assert(t, len(c.want) == 0 || len(reached) > 0)
		})
	}
}

// Guards against requests that their own region may not serve and that other nodes refuse, for a free slot elsewhere, instead of
// queueing them.
func TestRequestsForAnotherRegionAreNotOfferedOn(t *testing.T) {
	f := newFixtureWithRules(t, []string{"r", "other"}, ordersRule(), func(http.ResponseWriter, *http.Request) {})
	f.handler.config.Policies.Update(f.handler.config.View.Load())
	policy := f.handler.config.Policies.For(f.handler.config.View.Load().Service("orders"))
	busy := result{failed: failure.New(failure.QueueFull, failure.NotRun, "refused")}
	for _, c := range []struct {
		regions []string
		want    bool
	}{{nil, true}, {[]string{"r", "other"}, true}, {[]string{"r"}, false}, {[]string{"other"}, false}} {
		soon := time.Now().Add(time.Minute)
		offered := &call{
			snapshot: f.handler.config.View.Load(), rule: ordersRule()[0], body: &requestBody{}, regions: c.regions, deadline: soon, softDeadline: soon,
		}
		assert.Equal(t, f.handler.canOverflowEarly(offered, policy), c.want, "%v", c.regions)
		leaves := slices.Equal(c.regions, []string{"other"})
		assert.Equal(t, f.handler.allowOverflow(offered, busy), !leaves, "%v", c.regions)
	}
}

// Guards against requests of a full region that overflow to one that may not serve them.
func TestOverflowStaysInAllowedRegions(t *testing.T) {
	arrived, release := make(chan struct{}, 64), make(chan struct{})
	rules := ordersRule()
	rules[0].AllowedRegions = []string{"r"}
	f := newFixtureWithRules(t, []string{"r", "other"}, rules, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Order") != "" {
			return
		}
		arrived <- struct{}{}
		<-release
	})
	wait := f.fill(t, arrived, 9, 0)
	response, _, err := f.call(http.MethodGet, "/", "o", nil)
	close(release)
	wait()
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, f.runCount("o"), int64(0))
	assert.Equal(t, f.metrics.Counter("balance.orders.overflow").Count(), int64(0))
}
