// Case 3: a node that restarts while the store is down acknowledges the departure of its worker and forgets it.
package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/acacialock/acacialock/platform/standin"
	"github.com/acacialock/acacialock/review/deployment"
)

// Bounds of the site kilotica-mesh.
const (
	drain   = 2500 * time.Millisecond
	contact = 4 * time.Second
)

// Times of the disruption, counted from its start.
const (
	killAt      = 300 * time.Millisecond
	restartAt   = 800 * time.Millisecond
	lastCheckIn = 1800 * time.Millisecond // sent; it arrives at lateArrival
	departAt    = 2 * time.Second
	lateArrival = 3500 * time.Millisecond
	storeBackAt = 4500 * time.Millisecond
	// workerEnds is when the departed worker exits: it continues to serve for Drain after the ack and some seconds longer.
	workerEnds = 12 * time.Second
)

func main() { deployment.Main("review/3", run) }

func run(d *deployment.Deployment, trouble bool) (bool, error) {
	for _, zone := range []string{"sj-a", "sj-b", "sj-c"} {
		m, err := d.Add("sidecar-"+zone+"-1", "storefront", zone, "sanjose")
		if err != nil {
			return false, err
		}
		m.Worker.Work = 200 * time.Millisecond
		if err := m.Start(); err != nil {
			return false, err
		}
	}
	d.Store.PutDesiredState(7, []standin.Route{{Name: "r-browse", Host: deployment.Host, Prefix: "/browse/", Service: "storefront",
		Idempotent: true, Timeout: 3 * time.Second, TargetLatency: 800 * time.Millisecond, Priority: 2, MaxAttempts: 2}})
	if err := d.AwaitReady(); err != nil {
		return false, err
	}
	leaving, entries := d.Machines[0], d.Machines[1:]
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var consumers sync.WaitGroup
	for c := range 24 {
		consumers.Go(func() { browse(ctx, entries[c%len(entries)], c) })
	}
	time.Sleep(2 * time.Second)
	ackedAt, start, err := leave(d, leaving, trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(start.Add(workerEnds)))
	stop()
	consumers.Wait()
	// In touch: the node has run and the store has been stable for Contact.
	from := start.Add(storeBackAt + contact)
	if bound := ackedAt.Add(drain); bound.After(from) || !trouble {
		from = bound
	}
	late := 0
	for _, r := range leaving.Worker.Runs() {
		if r.At.After(from) {
			late++
		}
	}
	d.Record.Printf("%d requests of consumers on calm machines ran at the worker later than %v after the ack of its departure, "+
		"the last %v after it", late, from.Sub(ackedAt).Round(time.Millisecond), lastRun(leaving, ackedAt))
	return late > 0, nil
}

// leave lets the worker send its departure and returns when that was acknowledged, and the start of the disruption.
func leave(d *deployment.Deployment, m *deployment.Machine, trouble bool) (ackedAt, start time.Time, err error) {
	start = time.Now()
	at := func(offset time.Duration) { time.Sleep(time.Until(start.Add(offset))) }
	if trouble {
		d.SetStoreDown(true)
		defer func() {
			at(storeBackAt)
			d.SetStoreDown(false)
		}()
		at(killAt)
		m.Kill()
		at(restartAt)
		if err := m.Start(); err != nil {
			return ackedAt, start, err
		}
	}
	at(lastCheckIn)
	m.Worker.StopCheckIns()
	late := m.Worker.CheckIn("ready")
	d.Record.Printf("worker %s sends its last check-in; it arrives late: %v", m.Worker.ID, trouble)
	if !trouble {
		if err := m.Worker.Send(context.Background(), http.MethodPut, late, m.Control); err != nil {
			return ackedAt, start, err
		}
	}
	at(departAt)
	m.Worker.SetLeaving()
	if err := m.Worker.Send(context.Background(), http.MethodDelete, m.Worker.Departure(), m.Control); err != nil {
		return ackedAt, start, fmt.Errorf("the departure was not acknowledged: %w", err)
	}
	ackedAt = time.Now()
	d.Record.Printf("worker %s sent its departure, node %s acknowledged it", m.Worker.ID, m.Name)
	if trouble {
		at(lateArrival)
		err := m.Worker.Send(context.Background(), http.MethodPut, late, m.Control)
		d.Record.Printf("the last check-in has arrived (error: %v)", err)
	}
	return ackedAt, start, nil
}

// browse sends idempotent requests one after another until ctx ends.
func browse(ctx context.Context, m *deployment.Machine, consumer int) {
	for i := 0; ctx.Err() == nil; i++ {
		deployment.Send(m, &deployment.Attempt{ID: fmt.Sprintf("c%d-%d", consumer, i), Method: http.MethodGet,
			Path: fmt.Sprintf("/browse/%d-%d", consumer, i), Deadline: 3 * time.Second})
		time.Sleep(50 * time.Millisecond)
	}
}

func lastRun(m *deployment.Machine, after time.Time) time.Duration {
	runs := m.Worker.Runs()
	if len(runs) == 0 {
		return 0
	}
	return runs[len(runs)-1].At.Sub(after).Round(time.Millisecond)
}
