package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// hedger decides when a second attempt of a call is sent: after the latency quantile, if the budget allows it.
type hedger struct {
	budget    *budget.RetryBudget
	mu        sync.Mutex
	threshold time.Duration // estimate of the latency quantile
}

const (
	hedgeQuantile = 0.95
	hedgeStep     = 0.02 // relative step of the quantile estimate per response
)

// observe moves the estimate of the latency quantile by one step according to the latency of a response.
func (h *hedger) observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	step := -hedgeStep * (1 - hedgeQuantile)
	if latency > h.threshold {
		step = hedgeStep * hedgeQuantile
	}
	h.threshold = time.Duration(float64(h.threshold) * (1 + step))
}

// delay returns the current estimate of the latency quantile.
func (h *hedger) delay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.threshold
}

// call makes one call and retries refused attempts. It reports whether a target answered, and whether an attempt was
// sent to another region.
func (e *entryNode) call(svc *service, result *measurement, work float64) (ok, crossRegion bool) {
	state := &callState{entry: e, service: svc, result: result, work: work}
	e.retries[svc.name].RecordFirstAttempt()
	e.hedges[svc.name].budget.RecordFirstAttempt()
	for attempts := 1; ; attempts++ {
		pick, err := e.balancers[svc.name].Pick(balance.Request{Exclude: state.tried})
		if err != nil {
			return false, state.crossRegion
		}
		class := state.attemptWithHedge(pick)
		if class == balance.OK {
			return true, state.crossRegion
		}
		if class != balance.Refused || attempts == maxAttempts || !e.retries[svc.name].TrySpend() {
			return false, state.crossRegion
		}
		result.retries.Add(1)
	}
}

// callState is the state of a call in flight.
type callState struct {
	entry       *entryNode
	service     *service
	result      *measurement
	work        float64
	tried       []string
	crossRegion bool
}

// attemptWithHedge sends an attempt to the picked target, and a hedge to a second target if the first is late. The first
// response cancels the other attempt.
func (c *callState) attemptWithHedge(pick balance.Pick) balance.Class {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	classes := make(chan balance.Class, 2)
	hedges := c.entry.hedges[c.service.name]
	c.startAttempt(ctx, pick, classes)
	timer := time.NewTimer(hedges.delay())
	defer timer.Stop()
	for pending := 1; ; {
		select {
		case class := <-classes:
			pending--
			if class == balance.OK || pending == 0 {
				return class
			}
		case <-timer.C:
			if !hedges.budget.TrySpend() {
				continue
			}
			hedge, err := c.entry.balancers[c.service.name].Pick(balance.Request{Exclude: c.tried})
			if err != nil {
				hedges.budget.Refund()
				continue
			}
			c.result.hedges.Add(1)
			pending++
			c.startAttempt(ctx, hedge, classes)
		}
	}
}

// startAttempt sends an attempt in the background and delivers its class on classes.
func (c *callState) startAttempt(ctx context.Context, pick balance.Pick, classes chan<- balance.Class) {
	c.tried = append(c.tried, pick.Member.ID)
	c.crossRegion = c.crossRegion || pick.Member.Region != c.entry.place.Region
	go func() {
		result := c.entry.sendAttempt(ctx, pick, c.work)
		if result.Class == balance.OK {
			c.entry.hedges[c.service.name].observe(result.Latency)
		}
		pick.Done(result)
		classes <- result.Class
	}()
}

// sendAttempt sends one attempt and returns its result for the balancer.
func (e *entryNode) sendAttempt(ctx context.Context, pick balance.Pick, work float64) balance.Result {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+pick.Member.PeerAddr+"/call", nil)
	if err != nil {
		return balance.Result{Class: balance.Failed, Reason: failure.BadRequest}
	}
	request.Header.Set(workHeader, strconv.FormatFloat(work, 'g', 6, 64))
	request.Header.Set(regionHeader, e.place.Region)
	start := time.Now()
	response, err := e.client.Do(request)
	switch {
	case ctx.Err() != nil:
		return balance.Result{Class: balance.Cancelled}
	case err != nil:
		return balance.Result{Class: balance.Failed, Reason: failure.ConnectionLost}
	}
	defer response.Body.Close()
	result := balance.Result{SampleReceivedAt: time.Now(), Latency: time.Since(start)}
	if sample, err := wire.ParseLoadSample(response.Header.Get(wire.Load)); err == nil {
		result.Sample = &sample
	}
	if reason := response.Header.Get(wire.Reason); reason != "" {
		result.Class, result.Reason = balance.Refused, failure.Reason(reason)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		result.Class, result.Reason = balance.Failed, failure.ConnectionLost
	}
	return result
}
