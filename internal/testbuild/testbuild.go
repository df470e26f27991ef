// Package testbuild compiles programs of this module for tests, demos and benchmarks that run them as processes.
package testbuild

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
)

// Program compiles the package pkg ("./cmd/acacialockd") of the module that holds the current directory to dir/name and
// returns that path. The flags go to "go build".
func Program(dir, name, pkg string, flags ...string) (string, error) {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", fmt.Errorf("find the module: %w", err)
	}
	program := filepath.Join(dir, name)
	build := exec.Command("go", append(append([]string{"build", "-o", program}, flags...), pkg)...)
	build.Dir = string(bytes.TrimSpace(root))
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w\n%s", pkg, err, out)
	}
	return program, nil
}
