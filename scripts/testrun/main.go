// Command testrun runs all tests with the race detector and prints a verdict. Tests listed in KNOWN-RED.txt are skipped and
// printed; any other failure fails the run.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

const knownRedFile = "KNOWN-RED.txt"

// entryLine matches the line "test: NAME" that starts an entry of KNOWN-RED.txt; the following lines describe the failure.
var entryLine = regexp.MustCompile(`^test: (\S+)$`)

func main() {
	known, err := knownRed(knownRedFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	flags := []string{"test", "-race", "-count=1", "-timeout=20m"}
	for _, name := range known {
		fmt.Printf("known red, passed over: %s\n", name)
	}
	if len(known) > 0 {
		flags = append(flags, "-skip", "^("+strings.Join(known, "|")+")$")
	}
	packages, err := otherPackages()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	// The tests of the crowd measure the memory of processes, so nothing else runs beside them.
	failed := errors.Join(runGo(append(flags, packages...)), runGo(append(flags, aloneSuffix)))
	if failed != nil {
		fmt.Printf("verdict: failed (%v)\n", failed)
		os.Exit(1)
	}
	fmt.Printf("verdict: passed, %d known red\n", len(known))
}

// aloneSuffix is the path of the package whose tests run after all others.
const aloneSuffix = "./internal/crowd"

// otherPackages returns the import paths of all packages except the one whose tests run alone.
func otherPackages() ([]string, error) {
	list, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("list the packages: %w", err)
	}
	return slices.DeleteFunc(strings.Fields(string(list)), func(path string) bool {
		return strings.HasSuffix(path, strings.TrimPrefix(aloneSuffix, "."))
	}), nil
}

// runGo runs the go command with its output passed on.
func runGo(args []string) error {
	command := exec.Command("go", args...)
	command.Stdout = os.Stdout
	command.Stderr = os.Stderr
	return command.Run()
}

// knownRed returns the names of the tests listed in the file, quoted for a regular expression. A missing file lists none.
func knownRed(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	var names []string
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if match := entryLine.FindStringSubmatch(lines.Text()); match != nil {
			names = append(names, regexp.QuoteMeta(match[1]))
		}
	}
	return names, lines.Err()
}
