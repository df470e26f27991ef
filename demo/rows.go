package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/testsite"
)

// desiredState has one route for purchases and one for lookups.
const desiredState = `{"Version":"00000001","Resources":[
{"ResourceType":"Routes","Metadata":{"Name":"purchases"},"Spec":{"Host":"storefront.example","Prefix":"/purchases/","Kind":"non_idempotent","Timeout":"4s","TargetLatency":"800ms","Priority":1,"Service":"storefront","MaxAttempts":2}},
{"ResourceType":"Routes","Metadata":{"Name":"bales"},"Spec":{"Host":"storefront.example","Prefix":"/bales/","Kind":"idempotent","Timeout":"3s","TargetLatency":"800ms","Priority":2,"Service":"storefront","MaxAttempts":2}},
{"ResourceType":"Services","Metadata":{"Name":"storefront"},"Spec":{"HealthPath":"/health","MaxConnections":260}},
{"ResourceType":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3s","IdleTimeout":"15s"}}]}`

// runRows shows the form of the users' platform: workers check in, and the desired state is a row of the store.
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
	site.Store.Put("op", "config", []byte(desiredState))
	report := func(problem string) { fmt.Fprintln(os.Stderr, problem) }
	for _, zone := range []string{"sj-a", "sj-b", "gc-a"} {
		place := testsite.Place{Name: "storefront-" + zone, Service: "storefront", Zone: zone}
		if _, err := site.Add(dir, program, place, report); err != nil {
			return err
		}
	}
	if err := site.AwaitReady(30 * time.Second); err != nil {
		return err
	}
	entry := site.Nodes[0].Entry
	fmt.Printf("The stand-in of the store listens on %s. Logs: %s. Try:\n\n", site.StoreAddr, strings.TrimSuffix(site.Nodes[0].LogFile, site.Nodes[0].Name+".log"))
	fmt.Printf("  curl -i -H 'Host: storefront.example' -H 'Acacialock-Request-Id: r1' http://%s/bales/\n", entry)
	fmt.Printf("  curl -i -H 'Host: storefront.example' -H 'Acacialock-Request-Id: r2' -d 'lot=7' http://%s/purchases/\n", entry)
	fmt.Printf("  go run ./cmd/acacialock --platform %s status --rows --ask\n\n", site.StoreAddr)
	fmt.Println("Ctrl-C ends the demo.")
	<-ctx.Done()
	return nil
}
