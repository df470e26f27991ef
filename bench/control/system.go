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
	listBytes         = 20000 // size of the text of a list of 69 services
	storeDelay        = 2 * time.Millisecond
	settleTimeout     = 30 * time.Second
	pollInterval      = 10 * time.Millisecond
)

// nodeSpec is the name, service and zone of a node, which all its incarnations share.
type nodeSpec struct{ name, service, zone string }

// system holds the nodes of one measurement and the store that they share.
type system struct {
	store   *controltest.Store
	specs   []nodeSpec
	hosts   []*host // one per entry of specs
	version uint64
	http2   bool // use HTTP/2 between nodes instead of HTTP/1.1
}

// newSystem starts a system with an accepted service list and waits until it has settled.
func newSystem(members, zones int, http2 bool) (*system, error) {
	s := &system{store: controltest.NewStore(), http2: http2}
	s.setStoreDown(false)
	services := max(1, members/membersPerService)
	for i := range members {
		s.specs = append(s.specs, nodeSpec{
			name:    fmt.Sprintf("node-%04d", i),
			service: serviceName(i / zones % services),
			zone:    zoneName(i % zones),
		})
	}
	if err := s.acceptNextList(); err != nil {
		return nil, err
	}
	var seeds []string
	for _, spec := range s.specs {
		h, err := startHost(s, spec, "127.0.0.1:0", seeds)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, h.member.PeerAddr)
		}
	}
	_, err := s.waitFor(settleTimeout, s.isSettled)
	return s, err
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// setStoreDown starts or ends a store outage. Operations take storeDelay in both cases.
func (s *system) setStoreDown(down bool) {
	s.store.SetFault(func(string, string) controltest.Fault {
		return controltest.Fault{Delay: storeDelay, Down: down}
	})
}

// acceptNextList writes the next version of the service list to the store.
func (s *system) acceptNextList() error {
	ctx := context.Background()
	s.version++
	text := listText(len(s.specs)/membersPerService, s.version)
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

// listText returns a service list with one line per service, the service and its dependencies, padded to listBytes.
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

// parseList parses the format of listText.
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

// isSettled reports whether each zone has exactly one leader, and each node has the current list in force and reports to
// a leader that holds the lease.
func (s *system) isSettled() bool {
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
	for _, spec := range s.specs {
		if leaders[spec.zone] != 1 {
			return false
		}
	}
	return true
}

// listInForce reports whether the current list is in force at all nodes.
func (s *system) listInForce() bool {
	for _, h := range s.hosts {
		if h.node.Status().ListVersion != s.version {
			return false
		}
	}
	return true
}

// waitFor polls the condition and returns the time until it holds. It returns an error after the timeout.
func (s *system) waitFor(timeout time.Duration, condition func() bool) (time.Duration, error) {
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			return 0, fmt.Errorf("system of %d members did not reach the expected state within %s", len(s.specs), timeout)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start), nil
}

// restartZone kills all nodes of a zone and starts new incarnations of them at the same addresses.
func (s *system) restartZone(zone string) error {
	for i, spec := range s.specs {
		if spec.zone == zone {
			s.hosts[i].kill()
		}
	}
	seeds := []string{s.hosts[0].member.PeerAddr, s.hosts[1].member.PeerAddr, s.hosts[2].member.PeerAddr}
	for i, spec := range s.specs {
		if spec.zone != zone {
			continue
		}
		h, err := startHost(s, spec, s.hosts[i].member.PeerAddr, seeds)
		if err != nil {
			return err
		}
		s.hosts[i] = h
	}
	return nil
}

// stop kills all nodes.
func (s *system) stop() {
	for _, h := range s.hosts {
		h.kill()
	}
}
