package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/testsite"
	"github.com/acacialock/acacialock/platform/standin"
)

// listPublisher publishes versions of the service list. Version n has the routes /v/k/ of the last routeVersions values
// of k up to n, so a response other than 404 to /v/k/ shows that the node had a version from k to k+2 in force.
type listPublisher struct {
	store     *standin.Store
	mu        sync.Mutex
	version   int
	changedAt time.Time
}

const routeVersions = 3 // number of list versions that contain a route

// probeTimeout is the request timeout that a route probe declares to the node.
const probeTimeout = 1500 * time.Millisecond

func routePath(k int) string { return fmt.Sprintf("/v/%d/", k) }

// publishNext publishes a new version and returns its number.
func (l *listPublisher) publishNext() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.changedAt = time.Now()
	l.write()
	return l.version
}

// publishAgain publishes the current version again, after the store has lost it.
func (l *listPublisher) publishAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write()
}

// write writes the current version to the store. l.mu must be held.
func (l *listPublisher) write() {
	route := func(name, prefix string, idempotent bool) standin.Route {
		return standin.Route{
			Name: name, Host: host, Prefix: prefix, Service: "shop", Idempotent: idempotent, Timeout: 1900 * time.Millisecond,
			TargetLatency: 500 * time.Millisecond, Priority: 1, MaxAttempts: 3,
		}
	}
	routes := []standin.Route{route("buy", "/buy/", false), route("browse", "/browse/", true)}
	for k := max(1, l.version-routeVersions+1); k <= l.version; k++ {
		routes = append(routes, route(fmt.Sprintf("v%d", k), routePath(k), true))
	}
	l.store.PutDesiredState(l.version, routes)
}

func (l *listPublisher) currentVersion() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// listWatcher probes routes at one node to detect a service list version that decreases.
type listWatcher struct {
	node       *testsite.Node
	lists      *listPublisher
	client     *http.Client
	boot       int
	minVersion int // lowest version that this boot of the node can have in force
	probes     int
}

// probe sends a request for one route and returns a description of a violation, or "". It is a violation if a boot of the
// node gives a response that is possible only with an older version than an earlier response required.
func (w *listWatcher) probe() string {
	newest := w.lists.currentVersion()
	if newest == 0 {
		return ""
	}
	boot := w.node.Boots()
	if boot != w.boot {
		w.boot, w.minVersion = boot, 0
	}
	w.probes++
	k := max(1, newest-w.probes%routeVersions)
	status := w.probeStatus(k)
	if w.node.Boots() != boot || status == 0 || status == http.StatusServiceUnavailable {
		return "" // no node process answered, or it is unclear which one
	}
	if status != http.StatusNotFound {
		w.minVersion = max(w.minVersion, k)
		if w.minVersion >= k+routeVersions {
			return fmt.Sprintf("node %s boot %d served route %d, which version %d removed, after showing version %d", w.node.Name, boot, k, k+routeVersions, w.minVersion)
		}
		return ""
	}
	// 404: the node has a version below k or one from k+routeVersions on.
	if w.minVersion >= k && w.lists.currentVersion() < k+routeVersions {
		return fmt.Sprintf("node %s boot %d showed version %d and then did not find route %d", w.node.Name, boot, w.minVersion, k)
	}
	return ""
}

// probeStatus requests route k on a new connection and returns the HTTP status, or 0 without a response.
func (w *listWatcher) probeStatus(k int) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.node.Entry+routePath(k), nil)
	if err != nil {
		return 0
	}
	request.Host = host
	standin.SetRequestHeaders(request.Header, fmt.Sprintf("w-%s-%d", w.node.Name, w.probes), probeTimeout)
	response, err := w.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // only the status is needed
	return response.StatusCode
}
