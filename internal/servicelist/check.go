package servicelist

import (
	"regexp"
	"slices"
	"strings"

	"github.com/acacialock/acacialock/internal/tomlcheck"
)

// methodPattern matches an HTTP method in upper case.
var methodPattern = regexp.MustCompile(`^[A-Z][A-Z-]{0,31}$`)

// parseRoutes converts and validates routes; problems are added to the document under key.
func parseRoutes(document *tomlcheck.Document, key tomlcheck.Key, texts []routeText) []Route {
	var result []Route
	for _, text := range texts {
		route := Route(text)
		if route.Method != "" && !methodPattern.MatchString(route.Method) {
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

// checkList validates the list as a whole: that it has services and that their dependencies are listed and acyclic.
func checkList(document *tomlcheck.Document, list *List) {
	if len(list.Services) == 0 {
		document.Add(tomlcheck.Missing, tomlcheck.Key{"services"}, "the list has no services")
	}
	for _, name := range sortedNames(list.Services) {
		checkDependencies(document, list, list.Services[name])
	}
	for _, cycle := range findCycles(list) {
		key := tomlcheck.Key{"services", cycle[0], "depends_on"}
		document.Add(tomlcheck.DependencyCycle, key, "dependency cycle: %s", strings.Join(cycle, " -> "))
	}
}

// checkDependencies adds a problem for each unknown or repeated dependency of a service.
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

// findCycles returns the dependency cycles found by a depth-first search, each as a path that ends with its first service.
func findCycles(list *List) [][]string {
	finder := cycleFinder{list: list, done: map[string]bool{}}
	for _, name := range sortedNames(list.Services) {
		finder.visit(name)
	}
	return finder.found
}

// cycleFinder is the state of the depth-first search for dependency cycles.
type cycleFinder struct {
	list  *List
	done  map[string]bool // services whose dependencies were all visited
	path  []string        // services from the root of the search to the current one
	found [][]string
}

func (f *cycleFinder) visit(name string) {
	if start := slices.Index(f.path, name); start >= 0 {
		f.found = append(f.found, append(slices.Clone(f.path[start:]), name))
		return
	}
	service := f.list.Services[name]
	if service == nil || f.done[name] {
		return
	}
	f.path = append(f.path, name)
	for _, dependency := range service.DependsOn {
		f.visit(dependency)
	}
	f.path = f.path[:len(f.path)-1]
	f.done[name] = true
}
