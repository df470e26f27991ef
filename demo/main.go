// Command demo starts the platform's stand-in and two services with three targets each, with a node beside each
// target, applies a service list, prints a curl line, and ends what it started on Ctrl-C.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/acacialock/acacialock/internal/testcluster"
)

const callersAddr = "127.0.0.1:8080"

const serviceList = `[services.storefront]
depends_on = ["inventory"]
home_region = "sanjose"

[services.inventory]
home_region = "sanjose"
`

var places = []testcluster.Place{
	{Service: "storefront", Region: "sanjose", Zone: "sj-a", EntryServices: []string{"inventory"}},
	{Service: "storefront", Region: "sanjose", Zone: "sj-b"},
	{Service: "storefront", Region: "guanacaste", Zone: "gc-a"},
	{Service: "inventory", Region: "sanjose", Zone: "sj-a"},
	{Service: "inventory", Region: "sanjose", Zone: "sj-b"},
	{Service: "inventory", Region: "guanacaste", Zone: "gc-b"},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
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
	cluster, err := testcluster.Start(testcluster.Config{Dir: dir, FirstEntryAddr: callersAddr})
	if err != nil {
		return err
	}
	defer cluster.Stop(true)
	for _, place := range places {
		place.ServiceTime = 2 * time.Millisecond
		if _, err := cluster.Add(place); err != nil {
			return err
		}
	}
	out, code := cluster.Apply(serviceList)
	fmt.Print(out)
	if code != 0 {
		return fmt.Errorf("acacialock apply ended with exit code %d", code)
	}
	if err := cluster.WaitReady(30 * time.Second); err != nil {
		return err
	}
	fmt.Printf("\nThe platform's stand-in listens on %s. Try:\n\n", cluster.PlatformAddr)
	fmt.Printf("  curl -i -H 'Host: storefront' http://%s/bales\n", callersAddr)
	fmt.Printf("  curl -i -H 'Host: storefront' -H 'Idempotency-Key: order-1' -H 'X-Order: order-1' -d 'lot=7' http://%s/purchases\n\n", callersAddr)
	fmt.Println("Ctrl-C ends the demo.")
	<-ctx.Done()
	fmt.Println("draining")
	return nil
}
