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

// hedger decides when a second attempt is sent: after the latency quantile, within the budget.
type hedger struct {
	budget *budget.RetryBudget
	mu     sync.Mutex
	after  time.Duration
}

const (
	hedgeQuantile = 0.95
	hedgeStep     = 0.02 // of the quantile estimate for each answer
)

// learn moves the estimate towards the quantile.
func (h *hedger) learn(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	step := -hedgeStep * (1 - hedgeQuantile)
	if latency > h.after {
		step = hedgeStep * hedgeQuantile
	}
	h.after = time.Duration(float64(h.after) * (1 + step))
}

func (h *hedger) delay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.after
}

// run makes one call with retries of refusals. It reports whether a target answered and whether one was far away.
func (e *entry) run(of *service, result *measured, work float64) (ok, far bool) {
	one := &oneCall{entry: e, of: of, result: result, work: work}
	e.retries[of.name].RecordFirstAttempt()
	e.hedges[of.name].budget.RecordFirstAttempt()
	for send := 1; ; send++ {
		pick, err := e.balancers[of.name].Pick(balance.Request{Exclude: one.tried})
		if err != nil {
			return false, one.far
		}
		class := one.attempt(pick)
		if class == balance.OK {
			return true, one.far
		}
		if class != balance.Refused || send == maxSends || !e.retries[of.name].TrySpend() {
			return false, one.far
		}
		result.retries.Add(1)
	}
}

// oneCall is a call under way.
type oneCall struct {
	entry  *entry
	of     *service
	result *measured
	work   float64
	tried  []string
	far    bool
}

// attempt sends to the picked target, and to a second one when the first is late. The first answer wins and cancels
// the other.
func (c *oneCall) attempt(pick balance.Pick) balance.Class {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	classes := make(chan balance.Class, 2)
	hedges := c.entry.hedges[c.of.name]
	c.start(ctx, pick, classes)
	timer := time.NewTimer(hedges.delay())
	defer timer.Stop()
	for open := 1; ; {
		select {
		case class := <-classes:
			open--
			if class == balance.OK || open == 0 {
				return class
			}
		case <-timer.C:
			if !hedges.budget.TrySpend() {
				continue
			}
			second, err := c.entry.balancers[c.of.name].Pick(balance.Request{Exclude: c.tried})
			if err != nil {
				hedges.budget.Refund()
				continue
			}
			c.result.hedges.Add(1)
			open++
			c.start(ctx, second, classes)
		}
	}
}

func (c *oneCall) start(ctx context.Context, pick balance.Pick, classes chan<- balance.Class) {
	c.tried = append(c.tried, pick.Member.ID)
	c.far = c.far || pick.Member.Region != c.entry.place.Region
	go func() {
		result := c.entry.send(ctx, pick, c.work)
		if result.Class == balance.OK {
			c.entry.hedges[c.of.name].learn(result.Latency)
		}
		pick.Done(result)
		classes <- result.Class
	}()
}

// send makes one attempt.
func (e *entry) send(ctx context.Context, pick balance.Pick, work float64) balance.Result {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+pick.Member.PeerAddr+"/call", nil)
	if err != nil {
		return balance.Result{Class: balance.Failed, Reason: failure.BadRequest}
	}
	request.Header.Set(workHeader, strconv.FormatFloat(work, 'g', 6, 64))
	request.Header.Set(regionHeader, e.place.Region)
	began := time.Now()
	answer, err := e.client.Do(request)
	switch {
	case ctx.Err() != nil:
		return balance.Result{Class: balance.Cancelled}
	case err != nil:
		return balance.Result{Class: balance.Failed, Reason: failure.ConnectionLost}
	}
	defer answer.Body.Close()
	result := balance.Result{SampleReceivedAt: time.Now(), Latency: time.Since(began)}
	if sample, err := wire.ParseLoadSample(answer.Header.Get(wire.Load)); err == nil {
		result.Sample = &sample
	}
	if reason := answer.Header.Get(wire.Reason); reason != "" {
		result.Class, result.Reason = balance.Refused, failure.Reason(reason)
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		result.Class, result.Reason = balance.Failed, failure.ConnectionLost
	}
	return result
}
