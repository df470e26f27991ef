// Command control measures the cost of the control plane: CPU time, memory, traffic and store operations. It runs many
// control nodes in one process, with twirp over loopback HTTP and an in-memory store, without the other roles of the
// nodes.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"
)

type arguments struct {
	Members    string `arg:"--members" default:"10,30,100,300" help:"numbers of members, separated by commas"`
	Zones      int    `arg:"--zones" default:"4" help:"availability zones"`
	Wide       int    `arg:"--wide" default:"12" help:"zones of an additional run with the most members; 0: none"`
	HTTP2      bool   `arg:"--http2" help:"unencrypted HTTP/2 between nodes"`
	Leader     int    `arg:"--leader" help:"measure the process of one leader with this many members instead"`
	LeaderAddr string `arg:"--of" help:"run members of the leader at this address; used by --leader"`
	Threads    int    `arg:"--threads" default:"2" help:"GOMAXPROCS"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	klog.LogToStderr(false)
	runtime.GOMAXPROCS(args.Threads)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	if args.LeaderAddr != "" {
		return runMembers(args.LeaderAddr, args.Leader, args.HTTP2)
	}
	if args.Leader > 0 {
		return measureLeader(args.Leader, args.HTTP2)
	}
	sizes, err := parseSizes(args.Members)
	if err != nil {
		return err
	}
	fmt.Println(tableHeader)
	var results []result
	for _, members := range sizes {
		if results, err = measureAndPrint(results, members, args.Zones, args.HTTP2); err != nil {
			return err
		}
	}
	if args.Wide > 0 {
		if results, err = measureAndPrint(results, sizes[len(sizes)-1], args.Wide, args.HTTP2); err != nil {
			return err
		}
	}
	printFit(results)
	return nil
}

// measureAndPrint runs one measurement, prints its table row and appends it to results.
func measureAndPrint(results []result, members, zones int, http2 bool) ([]result, error) {
	r, err := measure(members, zones, http2)
	if err != nil {
		return results, err
	}
	fmt.Println(r.tableRow())
	return append(results, r), nil
}

// parseSizes parses numbers of members separated by commas. Each must be at least 3, because the first three nodes are
// the seeds of the others.
func parseSizes(text string) ([]int, error) {
	var sizes []int
	for field := range strings.SplitSeq(text, ",") {
		size, err := strconv.Atoi(field)
		if err != nil || size < 3 {
			return nil, fmt.Errorf("members %q is not a number of at least 3", field)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}
