package servicelist

import (
	"regexp"
	"slices"
	"strings"

	"github.com/acacialock/acacialock/internal/tomlcheck"
)

// methodToken is an HTTP method as it is written in requests.
var methodToken = regexp.MustCompile(`^[A-Z][A-Z-]{0,31}$`)

func routes(document *tomlcheck.Document, key tomlcheck.Key, texts []routeText) []Route {
	var result []Route
	for _, text := range texts {
		route := Route(text)
		if route.Method != "" && !methodToken.MatchString(route.Method) {
			document.Add(tomlcheck.BadRoute, key, "method %q is not an HTTP method in upper case", route.Method)
		}
		if !strings.HasPrefix(route.PathPrefix, "/") {
			document.Add(tomlcheck.BadRoute, key, "path_prefix %q does not start with \"/\"", route.PathPrefix)
		}
		if slices.Contains(result, route) {
			document.Add(tomlcheck.Duplicate, key, "route %q %q occurs twice", route.Method, route.PathPrefix)
		}
		result = append(result, route)
	}
	return result
}

// checkWhole checks what concerns more than one service.
func checkWhole(document *tomlcheck.Document, list *List) {
	if len(list.Services) == 0 {
		document.Add(tomlcheck.Missing, tomlcheck.Key{"services"}, "the list has no services")
	}
	for _, name := range sortedNames(list.Services) {
		checkDependencies(document, list, list.Services[name])
	}
	for _, cycle := range cycles(list) {
		key := tomlcheck.Key{"services", cycle[0], "depends_on"}
		document.Add(tomlcheck.DependencyCycle, key, "services depend on each other: %s", strings.Join(cycle, " -> "))
	}
}

func checkDependencies(document *tomlcheck.Document, list *List, service *Service) {
	key := tomlcheck.Key{"services", service.Name, "depends_on"}
	for i, dependency := range service.DependsOn {
		if list.Services[dependency] == nil {
			document.Add(tomlcheck.UnknownDependency, key, "service %q is not in the list", dependency)
		}
		if slices.Contains(service.DependsOn[:i], dependency) {
			document.Add(tomlcheck.Duplicate, key, "service %q occurs twice", dependency)
		}
	}
}

// cycles returns the cycles met in a depth-first walk, each as a path that ends where it starts.
func cycles(list *List) [][]string {
	walk := walker{list: list, done: map[string]bool{}}
	for _, name := range sortedNames(list.Services) {
		walk.visit(name)
	}
	return walk.found
}

type walker struct {
	list  *List
	done  map[string]bool
	path  []string
	found [][]string
}

func (w *walker) visit(name string) {
	if start := slices.Index(w.path, name); start >= 0 {
		w.found = append(w.found, append(slices.Clone(w.path[start:]), name))
		return
	}
	service := w.list.Services[name]
	if service == nil || w.done[name] {
		return
	}
	w.path = append(w.path, name)
	for _, dependency := range service.DependsOn {
		w.visit(dependency)
	}
	w.path = w.path[:len(w.path)-1]
	w.done[name] = true
}
