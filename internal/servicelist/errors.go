package servicelist

import (
	"fmt"
	"strings"

	"github.com/acacialock/acacialock/internal/tomlcheck"
)

// Error reports an invalid service list, with all problems found.
type Error struct{ Problems []tomlcheck.Problem }

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return fmt.Sprintf("the service list has %d problems:\n%s", len(lines), strings.Join(lines, "\n"))
}
