// Package testbuild compiles programs of this module for tests, demos and benchmarks that run them as separate processes.
package testbuild

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
)

// Program compiles the package pkg, such as "./cmd/acacialockd", of the module that contains the current directory and
// returns the path of the program, dir/name. The flags are passed to go build. An error contains the compiler output.
func Program(dir, name, pkg string, flags ...string) (string, error) {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", fmt.Errorf("find module root: %w", err)
	}
	program := filepath.Join(dir, name)
	build := exec.Command("go", append(append([]string{"build", "-o", program}, flags...), pkg)...)
	build.Dir = string(bytes.TrimSpace(root))
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w\n%s", pkg, err, out)
	}
	return program, nil
}
