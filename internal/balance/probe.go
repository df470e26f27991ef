package balance

import (
	"context"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/budget"
)

// prober runs asynchronous probes.
type prober struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// The pool's lock guards the fields below.
	credit float64
	active int
}

const (
	// probesPerPick bounds the probes by the calls; the byte budget bounds them further.
	probesPerPick = 0.5
	// probeAge is the age of a sample at which its member is probed. Answers keep the others fresh: probing every
	// member within the byte budget cost 25 KB per 1,000 calls and did not change p99; 250 ms costs 4 KB.
	probeAge = 250 * time.Millisecond
	// ProbeBytes is charged for a probe and its answer, with headers.
	ProbeBytes = 300
	// maxActiveProbes bounds the goroutines.
	maxActiveProbes = 4
	probeTimeout    = 250 * time.Millisecond
)

// nextProbe credits one pick and returns the member to probe now, or nil: the one with the oldest sample.
func (p *Pool) nextProbe(now time.Time) *peer {
	if p.config.Probe == nil || p.probes.ctx.Err() != nil {
		return nil
	}
	p.probes.credit = min(maxActiveProbes, p.probes.credit+probesPerPick)
	if p.probes.credit < 1 || p.probes.active >= maxActiveProbes {
		return nil
	}
	var oldest *peer
	for _, candidate := range p.peers {
		if candidate.probing || candidate.member.Draining || now.Sub(candidate.sample.at) < probeAge {
			continue
		}
		if oldest == nil || candidate.sample.at.Before(oldest.sample.at) {
			oldest = candidate
		}
	}
	if oldest == nil || !p.mayProbe(oldest) {
		return nil
	}
	p.probes.credit--
	p.probes.active++
	p.probes.running.Add(1)
	oldest.probing = true
	return oldest
}

func (p *Pool) mayProbe(target *peer) bool {
	if p.config.Bytes == nil {
		return true
	}
	link := budget.Region
	if target.distance == otherRegion {
		link = budget.Paid
	}
	return p.config.Bytes.Take(budget.Probe, link, ProbeBytes)
}

func (p *Pool) startProbe(target *peer) {
	if target != nil {
		go p.probe(target)
	}
}

func (p *Pool) probe(target *peer) {
	defer p.probes.running.Done()
	ctx, cancel := context.WithTimeout(p.probes.ctx, probeTimeout)
	defer cancel()
	p.mu.Lock()
	member := target.member
	p.mu.Unlock()
	reported, err := p.config.Probe(ctx, member)
	now := p.config.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes.active--
	target.probing = false
	if err != nil {
		p.count("probe-failed")
		target.reach.doubt(now)
		return
	}
	target.observe(reported, now)
}
