package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/control/controltest"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/servicelist"
)

const (
	membersPerService = 17    // 1,200 members of 69 services
	dependencies      = 3     // services that each service depends on
	listBytes         = 20000 // text of a list of 69 services
	storeDelay        = 2 * time.Millisecond
	settleLimit       = 30 * time.Second
	poll              = 10 * time.Millisecond
)

// place is where a node runs, over all its incarnations.
type place struct{ name, service, zone string }

// system is all nodes of one measurement with their store.
type system struct {
	store   *controltest.Store
	places  []place
	hosts   []*host // by place
	version uint64
	http2   bool // between nodes, instead of HTTP/1.1
}

func newSystem(members, zones int, http2 bool) (*system, error) {
	s := &system{store: controltest.NewStore(), http2: http2}
	s.setDown(false)
	services := max(1, members/membersPerService)
	for i := range members {
		s.places = append(s.places, place{
			name:    fmt.Sprintf("node-%04d", i),
			service: serviceName(i / zones % services),
			zone:    zoneName(i % zones),
		})
	}
	if err := s.accept(); err != nil {
		return nil, err
	}
	var seeds []string
	for _, p := range s.places {
		h, err := startHost(s, p, "127.0.0.1:0", seeds)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, h.member.PeerAddr)
		}
	}
	_, err := s.waitFor(settleLimit, s.settled)
	return s, err
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

func (s *system) setDown(down bool) {
	s.store.SetFault(func(string, string) controltest.Fault {
		return controltest.Fault{Delay: storeDelay, Down: down}
	})
}

// accept stores the next version of the service list.
func (s *system) accept() error {
	ctx := context.Background()
	s.version++
	text := listText(len(s.places)/membersPerService, s.version)
	sum := sha256.Sum256(text)
	name := fmt.Sprintf("%s%020d", cluster.ListObjectPrefix, s.version)
	if err := s.store.Objects().Put(ctx, name, text); err != nil {
		return err
	}
	row, err := json.Marshal(cluster.ListRow{Version: s.version, Object: name, SHA256: hex.EncodeToString(sum[:])})
	if err != nil {
		return err
	}
	write := platform.Write{Key: cluster.CurrentListKey, IfVersion: s.version - 1, Value: row}
	_, err = s.store.Table().Commit(ctx, []platform.Write{write})
	return err
}

// listText has a line for each service with its dependencies, filled up to listBytes.
func listText(services int, version uint64) []byte {
	services = max(1, services)
	var text strings.Builder
	fmt.Fprintf(&text, "# version %d\n", version)
	for i := range services {
		text.WriteString(serviceName(i))
		for d := range dependencies {
			text.WriteString(" " + serviceName((i+d+1)%services))
		}
		text.WriteString("\n")
	}
	text.WriteString("# " + strings.Repeat("x", max(0, listBytes-text.Len())))
	return []byte(text.String())
}

func parseList(text []byte) (*servicelist.List, error) {
	list := &servicelist.List{Text: text, Services: map[string]*servicelist.Service{}}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 0 && fields[0] != "#" {
			list.Services[fields[0]] = &servicelist.Service{Name: fields[0], DependsOn: fields[1:]}
		}
	}
	return list, nil
}

// settled reports whether each zone has a leader, the list is in force and each node's own row is written.
func (s *system) settled() bool {
	leaders := map[string]int{}
	for _, h := range s.hosts {
		status := h.node.Status()
		if status.ListVersion != s.version || status.LeaderAddr == "" || status.Acting {
			return false
		}
		if status.Leader {
			leaders[h.member.Zone]++
		}
	}
	for _, p := range s.places {
		if leaders[p.zone] != 1 {
			return false
		}
	}
	return true
}

func (s *system) inForce() bool {
	for _, h := range s.hosts {
		if h.node.Status().ListVersion != s.version {
			return false
		}
	}
	return true
}

// waitFor returns the time until the condition holds.
func (s *system) waitFor(limit time.Duration, holds func() bool) (time.Duration, error) {
	start := time.Now()
	for !holds() {
		if time.Since(start) > limit {
			return 0, fmt.Errorf("system of %d members: not settled within %s", len(s.places), limit)
		}
		time.Sleep(poll)
	}
	return time.Since(start), nil
}

// restartZone kills all nodes of a zone and starts their next incarnations at the same addresses.
func (s *system) restartZone(zone string) error {
	for i, p := range s.places {
		if p.zone == zone {
			s.hosts[i].kill()
		}
	}
	seeds := []string{s.hosts[0].member.PeerAddr, s.hosts[1].member.PeerAddr, s.hosts[2].member.PeerAddr}
	for i, p := range s.places {
		if p.zone != zone {
			continue
		}
		h, err := startHost(s, p, s.hosts[i].member.PeerAddr, seeds)
		if err != nil {
			return err
		}
		s.hosts[i] = h
	}
	return nil
}

func (s *system) stop() {
	for _, h := range s.hosts {
		h.kill()
	}
}
