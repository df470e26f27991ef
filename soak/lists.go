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

// lists changes the service list and asks each node which one it has in force. Version n has the route /v/k/ for the last
// three k up to n, so an answer other than 404 shows that a node knew a version from k to k+2.
type lists struct {
	store   *standin.Store
	mu      sync.Mutex
	version int
	changed time.Time
}

const routeLife = 3 // versions

// watchTimeout bounds a question about a route.
const watchTimeout = 1500 * time.Millisecond

func routePath(k int) string { return fmt.Sprintf("/v/%d/", k) }

// next accepts a new version.
func (l *lists) next() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.changed = time.Now()
	route := func(name, prefix string, idempotent bool) standin.Route {
		return standin.Route{
			Name: name, Host: host, Prefix: prefix, Service: "shop", Idempotent: idempotent, Timeout: 1900 * time.Millisecond,
			TargetLatency: 500 * time.Millisecond, Priority: 1, MaxAttempts: 3,
		}
	}
	routes := []standin.Route{route("buy", "/buy/", false), route("browse", "/browse/", true)}
	for k := max(1, l.version-routeLife+1); k <= l.version; k++ {
		routes = append(routes, route(fmt.Sprintf("v%d", k), routePath(k), true))
	}
	l.store.SetDesired(l.version, routes)
	return l.version
}

func (l *lists) current() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// watcher asks one node which routes it knows.
type watcher struct {
	node    *testsite.Node
	lists   *lists
	client  *http.Client
	boot    int
	atLeast int // version that this boot of the node has shown
	count   int
}

// ask sends a request for a route and returns a violation, if any. A node that showed a version may not handle a later
// request as only an older one allows.
func (w *watcher) ask() string {
	newest := w.lists.current()
	if newest == 0 {
		return ""
	}
	boot := w.node.Boots()
	if boot != w.boot {
		w.boot, w.atLeast = boot, 0
	}
	w.count++
	k := max(1, newest-w.count%routeLife)
	status := w.status(k)
	if w.node.Boots() != boot || status == 0 || status == http.StatusServiceUnavailable {
		return "" // another process may have answered, or none
	}
	if status != http.StatusNotFound {
		w.atLeast = max(w.atLeast, k)
		if w.atLeast >= k+routeLife {
			return fmt.Sprintf("node %s boot %d served route %d, which version %d dropped and it had shown %d", w.node.Name, boot, k, k+routeLife, w.atLeast)
		}
		return ""
	}
	// 404: the node has a version below k, or one from k+routeLife on.
	if w.atLeast >= k && w.lists.current() < k+routeLife {
		return fmt.Sprintf("node %s boot %d showed version %d and then refused route %d", w.node.Name, boot, w.atLeast, k)
	}
	return ""
}

// status sends one request on a connection of its own.
func (w *watcher) status(k int) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.node.Entry+routePath(k), nil)
	if err != nil {
		return 0
	}
	request.Host = host
	standin.Stamp(request.Header, fmt.Sprintf("w-%s-%d", w.node.Name, w.count), watchTimeout)
	answer, err := w.client.Do(request)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close() // the status says it all
	return answer.StatusCode
}
