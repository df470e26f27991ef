// Command soak runs acacialockd processes on loopback under random faults and checks the guarantees that callers and
// targets rely on: a request runs at most once, a refused request does not run, responses are complete, no request starts
// after a drain, the service list version of a node never decreases, and service recovers after the faults. It ends only
// processes that it started.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/acacialock/acacialock/internal/testsite"
)

type arguments struct {
	Seed    uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds   int           `arg:"--seeds" default:"1" help:"number of seeds, one after another"`
	Minutes float64       `arg:"--minutes" help:"go on with further seeds for so long [default: as many as --seeds says]"`
	Faults  time.Duration `arg:"--faults" default:"30s" help:"time with faults for each seed"`
	Nodes   int           `arg:"--nodes" default:"6" help:"acacialockd processes"`
	Callers int           `arg:"--callers" default:"24" help:"callers with connections of their own"`
	Gap     time.Duration `arg:"--gap" default:"500ms" help:"mean time between two faults"`
	Keep    string        `arg:"--keep" help:"directory for the logs of seeds that failed [default: none are kept]"`
	Quiet   bool          `arg:"--quiet" help:"print failed seeds and results only"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	failed, err := run(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// run runs the soak for each seed and returns the number of seeds with violations.
func run(args arguments) (failed int, err error) {
	dir, err := os.MkdirTemp("", "acacialock-soak-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	program, err := testsite.Build(dir)
	if err != nil {
		return 0, err
	}
	end := time.Now().Add(time.Duration(args.Minutes * float64(time.Minute)))
	runs := 0
	for seed := args.Seed; runs < args.Seeds || time.Now().Before(end); seed++ {
		runs++
		var output bytes.Buffer
		seedDir := filepath.Join(dir, fmt.Sprint(seed))
		if err := os.Mkdir(seedDir, 0o700); err != nil {
			return failed, err
		}
		violations, err := runSoak(config{
			seed: seed, faults: args.Faults, nodes: args.Nodes, callers: args.Callers, gap: args.Gap, recovery: requiredRecovery,
			dir: seedDir, program: program, out: &output,
		})
		if err != nil {
			return failed, err
		}
		lines := bytes.Split(bytes.TrimSpace(output.Bytes()), []byte("\n"))
		if args.Quiet && len(violations) == 0 {
			lines = lines[len(lines)-1:]
		}
		for _, line := range lines {
			fmt.Printf("%s\n", line)
		}
		if len(violations) > 0 {
			failed++
			if err := saveLogs(args.Keep, seedDir, seed, output.Bytes()); err != nil {
				return failed, err
			}
		}
	}
	fmt.Printf("%d of %d seeds failed\n", failed, runs)
	return failed, nil
}

// saveLogs copies the settings and logs of a failed seed from src to dst/seed. It does nothing if dst is empty.
func saveLogs(dst, src string, seed uint64, log []byte) error {
	if dst == "" {
		return nil
	}
	dst = filepath.Join(dst, fmt.Sprint(seed))
	if err := os.MkdirAll(dst, 0o700); err != nil {
		return err
	}
	if err := os.CopyFS(dst, os.DirFS(src)); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dst, "soak.log"), log, 0o600)
}
