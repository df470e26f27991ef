package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
)

// task identifies a periodic task of the control goroutine.
type task int

const (
	taskHeartbeat task = iota // send a heartbeat to the leader
	taskPoll                  // read the lease row while no leader is known
	taskRoster                // read the roster index while no leader confirms it
	taskStart                 // query the seeds and the table for the newest service list
	taskFetch                 // fetch a newer service list
	taskRenew                 // renew the lease
	taskScan                  // read the lease rows, the list row and the roster index
	taskPrune                 // remove silent members and expired soft state
	taskCount
)

// state is the control state of a node. Only the control goroutine accesses it.
type state struct {
	node *Node
	cfg  *Config
	ctx  context.Context
	rand *rand.Rand

	due      [taskCount]time.Time // next run of each task; zero: not scheduled
	inFlight map[string]bool      // operations in flight by name, at most one of each

	self     cluster.Member
	leaving  bool
	departed chan struct{} // closed once a leader has recorded the departure
	dirty    bool          // a new snapshot must be published

	zones map[string]*zoneView // by zone
	soft  softState
	list  listState

	leader  leaderView // receiver of the heartbeats
	watch   leaseWatch // observations of the lease row while no leader is known
	lease   *tenure    // non-nil while this node holds the lease
	table   tableView  // rows that the leader has read from the table
	storeUp bool

	clients map[string]rpc.Control // by peer address
}

// zoneView holds the members of a zone at one version of its members row.
type zoneView struct {
	version uint64
	members []cluster.Member // sorted by id; nodes other than a leader hold only the services they need
}

// tableView holds the rows that a leader has read from the table.
type tableView struct {
	leases        map[string]cluster.LeaseRow // by zone
	list          *cluster.ListRow
	rosterCommits map[string]uint64 // commit number of the key roster by service
	rosterReadAt  time.Time         // when the read of the roster index was sent; zero: not read yet
}

func newState(ctx context.Context, n *Node) *state {
	s := &state{
		node:     n,
		cfg:      &n.cfg,
		ctx:      ctx,
		rand:     newRand(n.cfg.Seed),
		inFlight: map[string]bool{},
		self:     n.cfg.Self,
		dirty:    true,
		zones:    map[string]*zoneView{},
		clients:  map[string]rpc.Control{},
		storeUp:  true,
		leader:   leaderView{interval: n.cfg.HeartbeatInterval},
	}
	s.soft = newSoftState(s.rand)
	s.table.leases = map[string]cluster.LeaseRow{}
	return s
}

func (s *state) start() {
	s.list.starting = true
	s.due[taskStart] = time.Now()
	s.due[taskPoll] = time.Now().Add(s.randomBelow(s.cfg.StartSpread))
	s.scheduleAfter(taskPrune, time.Second)
	s.scheduleAfter(taskRoster, s.cfg.StartSpread+s.jittered(s.cfg.PollInterval))
}

// nextDue returns the time of the next scheduled task, at most one minute from now.
func (s *state) nextDue() time.Time {
	earliest := time.Now().Add(time.Minute)
	for _, at := range s.due {
		if !at.IsZero() && at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// runDue runs the tasks that are due. Each task schedules its own next run.
func (s *state) runDue() {
	handlers := [taskCount]func(){
		taskHeartbeat: s.sendHeartbeat,
		taskPoll:      s.pollLease,
		taskRoster:    s.pollRoster,
		taskStart:     s.queryStartupState,
		taskFetch:     s.fetchList,
		taskRenew:     s.renew,
		taskScan:      s.scan,
		taskPrune:     s.prune,
	}
	now := time.Now()
	for t, at := range s.due {
		if !at.IsZero() && !at.After(now) {
			s.due[t] = time.Time{}
			handlers[t]()
		}
	}
}

// compensatePause extends the timeouts of the members after the process itself was paused, because it could not
// receive their heartbeats meanwhile. due is when the control goroutine should have run.
func (s *state) compensatePause(due time.Time) {
	const maxSchedulingDelay = 500 * time.Millisecond // scheduling delays up to this are normal on a busy instance
	delay := time.Since(due)
	if delay < maxSchedulingDelay || s.lease == nil {
		return
	}
	s.incrementCounter("pause")
	for _, r := range s.lease.records {
		r.lastSeen = r.lastSeen.Add(delay)
	}
}

func (s *state) scheduleAfter(t task, d time.Duration) { s.due[t] = time.Now().Add(d) }

func (s *state) scheduleNow(t task) { s.due[t] = time.Now() }

// jittered returns a random duration within 10% of d.
func (s *state) jittered(d time.Duration) time.Duration {
	return d*9/10 + s.randomBelow(d/5)
}

// randomBelow returns a random duration in [0, d), or 0 if d is not positive.
func (s *state) randomBelow(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rand.Int64N(int64(d)))
}

// incrementCounter adds 1 to the counter "control." + name.
func (s *state) incrementCounter(name string) { s.cfg.Metrics.Counter("control." + name).Inc(1) }

// beginOperation marks an operation as in flight. It returns false if the operation already is; otherwise the caller
// must call endOperation when it is done.
func (s *state) beginOperation(operation string) bool {
	if s.inFlight[operation] {
		return false
	}
	s.inFlight[operation] = true
	return true
}

func (s *state) endOperation(operation string) { delete(s.inFlight, operation) }

// client returns the client for a peer address, creating it if necessary.
func (s *state) client(addr string) rpc.Control {
	const maxClients = 4096 // the cache is cleared when full, to drop addresses of replaced members
	if c, ok := s.clients[addr]; ok {
		return c
	}
	if len(s.clients) >= maxClients {
		clear(s.clients)
	}
	s.clients[addr] = s.cfg.Client(addr)
	return s.clients[addr]
}

// neededServices returns the sorted names of the services whose members the node needs.
func (s *state) neededServices() []string {
	names := []string{s.self.Service}
	names = append(names, s.cfg.EntryServices...)
	if own := s.list.service(s.self.Service); own != nil {
		names = append(names, own.DependsOn...)
	}
	return sortedUnique(names)
}

// service returns an entry of the list in force, or nil.
func (l *listState) service(name string) *servicelist.Service {
	if l.current == nil {
		return nil
	}
	return l.current.Services[name]
}
