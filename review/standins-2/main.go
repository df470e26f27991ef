// Command standins2 runs one case of the review: it starts processes of the system with stand-ins of the store, the workers and
// the consumers, and checks one rule. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// caseFunc runs a case on a site without nodes and returns the breaks of the rule.
type caseFunc func(s *site, trouble bool) (breaks []string, err error)

var cases = map[string]caseFunc{
	"late-rejection": lateRejection,
	"late-failure":   lateFailure,
	"stalled-body":   stalledBody,
	"caller-name":    callerName,
	"withdrawn-key":  withdrawnKey,
}

func main() {
	runtime.LockOSThread() // the processes that it starts are killed when their parent's thread ends
	os.Exit(runCase())
}

// maxFDs is the limit of descriptors of a machine in the site file.
const maxFDs = 4100

// limitFDs sets the limit of descriptors for the processes that are started from now on.
func limitFDs() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxFDs
	}
	limit.Max = min(limit.Max, maxFDs)
	limit.Cur = limit.Max
	_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	return int(limit.Cur)
}

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE REPOSITORY FOLDER")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		rec.printf("could not run: %v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	s, err := newSite(os.Args[2], dir, rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	s.fds = limitFDs()
	rec.printf("case %s, with the disruption: %v", os.Args[1], trouble)
	breaks, err := cases[os.Args[1]](s, trouble)
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, text := range breaks {
		rec.printf("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	if len(breaks) > 0 {
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}

// smallSite starts two machines of storefront and two of inventory in the zones of sanjose. prepare, if given, is called with each
// worker before it serves.
func smallSite(s *site, serviceTime time.Duration, prepare ...func(*worker)) error {
	for _, config := range [][3]string{
		{"sidecar-sj-a-1", "sj-a", "storefront"}, {"sidecar-sj-b-1", "sj-b", "storefront"},
		{"sidecar-sj-a-2", "sj-a", "inventory"}, {"sidecar-sj-b-2", "sj-b", "inventory"},
	} {
		if _, err := s.add(config[0], config[1], config[2], serviceTime, prepare); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// salesRoutes are the routes of Kilo Sales Platform.
var salesRoutes = []route{
	{name: "lot-purchase", prefix: "/pufi791/", kind: "non_idempotent", service: "storefront", timeout: 2 * time.Second, target: 800 * time.Millisecond, priority: 1},
	{name: "bale-browse", prefix: "/lohu930/", kind: "idempotent", service: "storefront", timeout: 1500 * time.Millisecond, target: 800 * time.Millisecond, priority: 2},
	{name: "stock-lookup", prefix: "/volo102/", kind: "idempotent", service: "inventory", timeout: 3 * time.Second, target: 1500 * time.Millisecond, priority: 2},
}

var salesServices = []string{"storefront", "inventory"}
