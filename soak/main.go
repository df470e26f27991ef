// Command soak runs acacialockd processes on loopback under random faults and checks the promises that callers and targets
// rely on: at most once, honest refusals, whole answers, no work after a drain, a service list that never goes back, and
// service again after the faults. It ends only what it started.
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

// run plays the seeds and returns the number of those that failed.
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
	played := 0
	for seed := args.Seed; played < args.Seeds || time.Now().Before(end); seed++ {
		played++
		var log bytes.Buffer
		seedDir := filepath.Join(dir, fmt.Sprint(seed))
		if err := os.Mkdir(seedDir, 0o700); err != nil {
			return failed, err
		}
		violations, err := runSoak(config{
			seed: seed, faults: args.Faults, nodes: args.Nodes, callers: args.Callers, gap: args.Gap, recovery: statedRecovery,
			dir: seedDir, program: program, out: &log,
		})
		if err != nil {
			return failed, err
		}
		lines := bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n"))
		if args.Quiet && len(violations) == 0 {
			lines = lines[len(lines)-1:]
		}
		for _, line := range lines {
			fmt.Printf("%s\n", line)
		}
		if len(violations) > 0 {
			failed++
			if err := keep(args.Keep, seedDir, seed, log.Bytes()); err != nil {
				return failed, err
			}
		}
	}
	fmt.Printf("%d of %d seeds failed\n", failed, played)
	return failed, nil
}

// keep copies what belongs to a failed seed.
func keep(to, from string, seed uint64, log []byte) error {
	if to == "" {
		return nil
	}
	to = filepath.Join(to, fmt.Sprint(seed))
	if err := os.MkdirAll(to, 0o700); err != nil {
		return err
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(to, "soak.log"), log, 0o600)
}
