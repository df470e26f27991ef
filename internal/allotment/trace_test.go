package allotment

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestTrace(t *testing.T) {
	for _, hot := range []int{0, 3, 40} {
		s := newSimulation(2, 79, 2, 82, 330)
		s.demand = func(tenant, _ int, now time.Duration) float64 {
			if tenant == hot && now > 15*time.Second && now < 21*time.Second {
				return 7.5 * s.usual(tenant)
			}
			return s.usual(tenant)
		}
		s.run(15 * time.Second)
		for i := 0; i < 32; i++ {
			s.run(250 * time.Millisecond)
			for j, n := range s.nodes {
				if n.state.keeping() {
					a := n.state.accounts[s.ids[hot]]
					if a != nil && s.now > 15*time.Second {
						t.Logf("%v node %d tokens %.1f demand %.1f fr %.2f nodes %d+%d limits %v", s.now, j, a.tokens, a.demand, a.fraction(s.tenants[hot].Rate), n.state.nodes(), n.state.peerNodes(), n.state.limits[s.ids[hot]])
					}
				}
			}
			if s.now > 15*time.Second {
				t.Logf("%v admitted %d", s.now, s.sum(hot, s.now-250*time.Millisecond, s.now))
			}
		}
		t.Logf("refused by others")
		for i := range s.tenants {
			if s.refused[i] > 0 && i != hot {
				t.Logf("tenant %d rate %.0f refused %d", i, s.tenants[i].Rate, s.refused[i])
			}
		}
	}
}

func TestCost(t *testing.T) {
	for range 1 {
		s := newSimulation(2, 79, 2, 82, 330)
		s.run(10 * time.Second)
		s.sent, s.bytes, s.crossing = 0, 0, 0
		for _, n := range s.nodes {
			n.bytes = 0
		}
		s.run(20 * time.Second)
		most := 0
		for _, n := range s.nodes {
			most = max(most, n.bytes)
		}
		t.Logf("messages/s %d bytes/s %d crossing %d most %d", s.sent/20, s.bytes/20, s.crossing/20, most/20)
	}
}

func TestHerdTrace(t *testing.T) {
	hot := 40
	s := newSimulation(4, 79, 2, 82, 330)
	s.demand = func(tenant, _ int, now time.Duration) float64 {
		if tenant == hot && now > 15*time.Second && now < 21*time.Second {
			return 7.5 * s.usual(tenant)
		}
		return s.usual(tenant)
	}
	s.run(15 * time.Second)
	for step := 0; step < 28; step++ {
		if step == 4 {
			for i := range s.nodes {
				s.nodes[i].dead = i%20 < 11
			}
		}
		if step == 12 {
			for i := range s.nodes {
				if s.nodes[i].dead {
					s.boot(i)
				}
			}
		}
		r := s.refused[hot]
		s.run(250 * time.Millisecond)
		alone, limited, free := 0, 0, 0
		for j, n := range s.nodes {
			if n.dead {
				continue
			}
			if n.state.alone() {
				alone++
			} else if _, ok := n.state.limits[s.ids[hot]]; ok {
				limited++
			} else {
				free++
			}
			if n.state.keeping() && !n.state.alone() {
				a := n.state.accounts[s.ids[hot]]
				if a != nil {
					t.Logf("   keeper %d part %.2f tokens %.1f demand %.1f limit %.2f", j, n.state.part(), a.tokens, a.demand, n.state.limits[s.ids[hot]].fraction)
				}
			}
		}
		t.Logf("%v admitted %d refused %d alone %d limited %d free %d", s.now, s.sum(hot, s.now-250*time.Millisecond, s.now), s.refused[hot]-r, alone, limited, free)
	}
}

func scenario(seed int64, loss float64, each func(s *simulation)) (*simulation, string) {
	r := rand.New(rand.NewSource(seed))
	s := newSimulation(seed, 2+r.Intn(23), 1+r.Intn(2), 3, 100)
	s.loss = loss
	factor := 1.0
	s.demand = func(tenant, _ int, _ time.Duration) float64 { return factor * s.usual(tenant) }
	run := func(d time.Duration) {
		for end := s.now + d; s.now < end; {
			s.run(min(end-s.now, 250*time.Millisecond))
			if each != nil {
				each(s)
			}
		}
	}
	run(6 * time.Second)
	log := ""
	for range 1 + r.Intn(12) {
		n := r.Intn(len(s.nodes))
		f := r.Intn(6)
		log += fmt.Sprint(" ", s.now, []string{"cut", "heal", "kill", "freeze", "hot", "calm"}[f], n)
		switch f {
		case 0:
			zone := s.nodes[n].member.Zone
			for _, other := range s.nodes {
				if other.member.Zone == zone {
					other.side = 1
				}
			}
		case 1:
			for _, other := range s.nodes {
				other.side = 0
			}
		case 2:
			s.boot(n)
		case 3:
			s.nodes[n].frozenTo = s.now + time.Duration(r.Intn(8000))*time.Millisecond
		case 4:
			factor = 7.5
		case 5:
			factor = 1
		}
		run(time.Duration(r.Intn(3000)) * time.Millisecond)
	}
	run(3 * time.Second)
	return s, log
}

func TestSpread(t *testing.T) {
	for _, loss := range []float64{0, 0.05, 0.3} {
		over, worst := 0, 0.0
		for seed := range 300 {
			s, log := scenario(int64(seed), loss, nil)
			tenant, part := s.worst()
			worst = max(worst, part)
			if part > 1 {
				over++
				if over < 8 {
					t.Logf("loss %.2f seed %d nodes %d tenant %d %.2f: %s", loss, seed, len(s.nodes), tenant, part, log)
				}
			}
		}
		t.Logf("loss %.2f: %d over, worst %.2f", loss, over, worst)
	}
}

func TestOne(t *testing.T) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	loss, _ := strconv.ParseFloat(os.Getenv("LOSS"), 64)
	s, _ := scenario(int64(seed), loss, nil)
	tenant, _ := s.worst()
	last := time.Duration(0)
	s, log := scenario(int64(seed), loss, func(s *simulation) {
		line := ""
		for j, n := range s.nodes {
			if s.now < n.frozenTo {
				line += fmt.Sprintf(" [%d frozen side %d]", j, n.side)
				continue
			}
			if n.state.keeping() {
				a := n.state.accounts[s.ids[tenant]]
				if a == nil {
					a = &account{}
				}
				line += fmt.Sprintf(" [%d side %d part %.2f n%d tok %.0f dem %.0f fr %.2f]", j, n.side, n.state.part(), n.state.nodes(), a.tokens, a.demand, a.fraction(s.tenants[tenant].Rate*n.state.part()))
			}
		}
		t.Logf("%v +%d win %.2f %s", s.now, s.sum(tenant, last, s.now), float64(s.sum(tenant, max(0, s.now-quotaWindow), s.now))/s.allowed(tenant), line)
		last = s.now
	})
	t.Log(tenant, s.tenants[tenant].Rate, len(s.nodes), log)
}
