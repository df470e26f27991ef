package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/testsite"
	"github.com/acacialock/acacialock/platform/standin"
)

// routes has one route for purchases and one for lookups.
var routes = []standin.Route{
	{
		Name: "purchases", Host: "storefront.example", Prefix: "/purchases/", Service: "storefront",
		Timeout: 4 * time.Second, TargetLatency: 800 * time.Millisecond, Priority: 1, MaxAttempts: 2,
	},
	{
		Name: "bales", Host: "storefront.example", Prefix: "/bales/", Service: "storefront", Idempotent: true,
		Timeout: 3 * time.Second, TargetLatency: 800 * time.Millisecond, Priority: 2, MaxAttempts: 2,
	},
}

// runRows runs the demo with the row store of the users' platform: workers check in with their nodes, and the desired state
// is a row of the store.
func runRows(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "acacialock-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program, err := testsite.Build(dir)
	if err != nil {
		return err
	}
	site, err := testsite.New()
	if err != nil {
		return err
	}
	defer site.Close()
	site.Store.PutDesiredState(1, routes)
	printProblem := func(problem string) { fmt.Fprintln(os.Stderr, problem) }
	for _, zone := range []string{"sj-a", "sj-b", "gc-a"} {
		config := testsite.NodeConfig{Name: "storefront-" + zone, Service: "storefront", Zone: zone}
		if _, err := site.Add(dir, program, config, printProblem); err != nil {
			return err
		}
	}
	if err := site.AwaitReady(30 * time.Second); err != nil {
		return err
	}
	entry := site.Nodes[0].Entry
	fmt.Printf("The store stand-in listens on %s. Logs: %s. Try:\n\n", site.StoreAddr, strings.TrimSuffix(site.Nodes[0].LogFile, site.Nodes[0].Name+".log"))
	fmt.Printf("  curl -i -H 'Host: storefront.example' %s http://%s/bales/\n", standin.CurlOptions("r1"), entry)
	fmt.Printf("  curl -i -H 'Host: storefront.example' %s -d 'lot=7' http://%s/purchases/\n", standin.CurlOptions("r2"), entry)
	fmt.Printf("  go run ./cmd/acacialock --platform %s status --rows --ask\n\n", site.StoreAddr)
	fmt.Println("Ctrl-C ends the demo.")
	<-ctx.Done()
	return nil
}
