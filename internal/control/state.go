package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
)

// task is a kind of periodic work of the control goroutine.
type task int

const (
	taskHeartbeat task = iota // to the leader
	taskPoll                  // read the lease row while no leader is known
	taskRoster                // read the roster index while no leader reports it
	taskStart                 // ask seeds and table for the newest service list
	taskFetch                 // fetch a newer service list
	taskRenew                 // renew the lease
	taskScan                  // read the rows of the other zones
	taskPrune                 // drop silent members and outdated soft state
	taskCount
)

// state is owned by the control goroutine.
type state struct {
	node *Node
	cfg  *Config
	ctx  context.Context
	rand *rand.Rand

	due  [taskCount]time.Time // zero: not scheduled
	busy map[string]bool      // operations in flight, at most one of each name

	self    cluster.Member
	leaving bool
	left    chan struct{} // closed when a leader has recorded the departure
	dirty   bool          // the snapshot is out of date

	zones map[string]*zoneView // by zone
	soft  softState
	list  listState

	leader  leaderView // where heartbeats go
	watch   leaseWatch // the lease row while no leader is known
	lease   *tenure    // not nil while this node holds the lease
	table   tableView  // what the leader read from the table
	storeUp bool

	clients map[string]rpc.Control // by peer address
}

// zoneView is the members of a zone at one version of its members row.
type zoneView struct {
	version uint64
	members []cluster.Member // sorted by id; a plain node holds only those of the services it needs
}

// tableView is what a leader read from the table.
type tableView struct {
	leases     map[string]cluster.LeaseRow // by zone
	current    *cluster.ListRow
	roster     map[string]uint64 // row version by service
	rosterRead time.Time         // when the read of roster was sent; zero: none
}

func newState(ctx context.Context, n *Node) *state {
	s := &state{
		node:    n,
		cfg:     &n.cfg,
		ctx:     ctx,
		rand:    newRand(n.cfg.Seed),
		busy:    map[string]bool{},
		self:    n.cfg.Self,
		dirty:   true,
		zones:   map[string]*zoneView{},
		clients: map[string]rpc.Control{},
		storeUp: true,
		leader:  leaderView{interval: n.cfg.HeartbeatInterval},
	}
	s.soft = newSoftState(s.rand)
	s.table.leases = map[string]cluster.LeaseRow{}
	return s
}

// start schedules the first work.
func (s *state) start() {
	s.list.starting = true
	s.due[taskStart] = time.Now()
	s.due[taskPoll] = time.Now().Add(s.upTo(s.cfg.StartSpread))
	s.after(taskPrune, time.Second)
	s.after(taskRoster, s.cfg.StartSpread+s.jittered(s.cfg.PollInterval))
}

// earliest is the time of the next scheduled work.
func (s *state) earliest() time.Time {
	next := time.Now().Add(time.Minute)
	for _, at := range s.due {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// runDue runs the work that is due. Each kind schedules its next run itself.
func (s *state) runDue() {
	run := [taskCount]func(){
		taskHeartbeat: s.sendHeartbeat,
		taskPoll:      s.pollLease,
		taskRoster:    s.pollRoster,
		taskStart:     s.askForLists,
		taskFetch:     s.fetchList,
		taskRenew:     s.renew,
		taskScan:      s.scan,
		taskPrune:     s.prune,
	}
	now := time.Now()
	for t, at := range s.due {
		if !at.IsZero() && !at.After(now) {
			s.due[t] = time.Time{}
			run[t]()
		}
	}
}

// noticePause extends the members' time when the process was stopped: their heartbeats could not be received.
func (s *state) noticePause(due time.Time) {
	const tolerated = 500 * time.Millisecond // scheduling delay of a busy instance
	late := time.Since(due)
	if late < tolerated || s.lease == nil {
		return
	}
	s.count("pause")
	for _, r := range s.lease.records {
		r.seen = r.seen.Add(late)
	}
}

func (s *state) after(t task, d time.Duration) { s.due[t] = time.Now().Add(d) }

// sooner moves a task forward to now.
func (s *state) sooner(t task) { s.due[t] = time.Now() }

// jittered returns d with 10% jitter.
func (s *state) jittered(d time.Duration) time.Duration {
	return d*9/10 + s.upTo(d/5)
}

// upTo returns a random duration below d.
func (s *state) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rand.Int64N(int64(d)))
}

func (s *state) count(name string) { s.cfg.Metrics.Counter("control." + name).Inc(1) }

// begin reports whether the operation may start; finish ends it.
func (s *state) begin(operation string) bool {
	if s.busy[operation] {
		return false
	}
	s.busy[operation] = true
	return true
}

func (s *state) finish(operation string) { delete(s.busy, operation) }

// client returns the client for a peer address.
func (s *state) client(addr string) rpc.Control {
	const most = 4096 // addresses of replaced members are forgotten in bulk
	if c, ok := s.clients[addr]; ok {
		return c
	}
	if len(s.clients) >= most {
		clear(s.clients)
	}
	s.clients[addr] = s.cfg.Client(addr)
	return s.clients[addr]
}

// needed returns the services whose members the node needs.
func (s *state) needed() []string {
	names := []string{s.self.Service}
	names = append(names, s.cfg.EntryServices...)
	if own := s.list.service(s.self.Service); own != nil {
		names = append(names, own.DependsOn...)
	}
	return sortedUnique(names)
}

func (l *listState) service(name string) *servicelist.Service {
	if l.current == nil {
		return nil
	}
	return l.current.Services[name]
}
