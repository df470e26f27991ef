// Command demo starts a platform stand-in, targets and a node beside each target, applies a service list, prints curl
// commands to try, and stops what it started on Ctrl-C. By default it uses acacialock's own platform with two services of
// three targets each; with --rows it uses the row store of the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/acacialock/acacialock/internal/testcluster"
)

const entryAddr = "127.0.0.1:8080"

const serviceList = `[services.storefront]
depends_on = ["inventory"]
home_region = "sanjose"

[services.inventory]
home_region = "sanjose"
`

var nodeConfigs = []testcluster.NodeConfig{
	{Service: "storefront", Region: "sanjose", Zone: "sj-a", EntryServices: []string{"inventory"}},
	{Service: "storefront", Region: "sanjose", Zone: "sj-b"},
	{Service: "storefront", Region: "guanacaste", Zone: "gc-a"},
	{Service: "inventory", Region: "sanjose", Zone: "sj-a"},
	{Service: "inventory", Region: "sanjose", Zone: "sj-b"},
	{Service: "inventory", Region: "guanacaste", Zone: "gc-b"},
}

type arguments struct {
	Rows bool `arg:"--rows" help:"run in the form of the users' platform"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	start := run
	if args.Rows {
		start = runRows
	}
	if err := start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "acacialock-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	cluster, err := testcluster.Start(testcluster.Config{Dir: dir, FirstEntryAddr: entryAddr})
	if err != nil {
		return err
	}
	defer cluster.Stop(true)
	for _, config := range nodeConfigs {
		config.ServiceTime = 2 * time.Millisecond
		if _, err := cluster.Add(config); err != nil {
			return err
		}
	}
	out, code := cluster.Apply(serviceList)
	fmt.Print(out)
	if code != 0 {
		return fmt.Errorf("acacialock apply exited with code %d", code)
	}
	if err := cluster.WaitReady(30 * time.Second); err != nil {
		return err
	}
	fmt.Printf("\nThe platform stand-in listens on %s. Try:\n\n", cluster.PlatformAddr)
	fmt.Printf("  curl -i -H 'Host: storefront' http://%s/bales\n", entryAddr)
	fmt.Printf("  curl -i -H 'Host: storefront' -H 'Idempotency-Key: order-1' -H 'X-Order: order-1' -d 'lot=7' http://%s/purchases\n\n", entryAddr)
	fmt.Println("Ctrl-C ends the demo.")
	<-ctx.Done()
	fmt.Println("draining")
	return nil
}
