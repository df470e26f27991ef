package keys

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/rpc"
)

// metricsRole is the role under which refusals are counted.
const metricsRole = "keys"

// Service takes part in the key roster of its node's service. Safe for concurrent use.
type Service struct {
	cfg     Config
	gate    *gate
	records *store
	machine *machine // only the goroutine of Run uses it
	posts   chan func(now time.Time)
	// confirms is a queue, so that control never waits for Run; a full queue drops, because control confirms each second.
	confirms chan confirmation
	stopped  chan struct{}
	calls    sync.WaitGroup
	// call runs do on the goroutine that owns the machine and waits for its end.
	call func(ctx context.Context, do func(now time.Time)) error
}

// confirmation is what control read of the roster row.
type confirmation struct {
	commit uint64
	asOf   time.Time
}

// New checks the settings and returns a service that acts once Run runs. It fails with *ConfigError.
func New(cfg Config) (*Service, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &Service{cfg: cfg, posts: make(chan func(time.Time)), confirms: make(chan confirmation, 4), stopped: make(chan struct{})}
	s.gate = &gate{self: cfg.Self.ID, service: cfg.Self.Service}
	s.records = newStore(cfg.Clock.Now(), cfg.MaxRecords, cfg.MaxBytes)
	s.machine = newMachine(&s.cfg, s.gate, s.records)
	s.call = s.postAndWait
	return s, nil
}

// Run drives the roster state machine until ctx ends. It may be called once.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.Tick)
	defer ticker.Stop()
	defer s.calls.Wait()
	defer close(s.stopped)
	for {
		s.step(ctx)
		select {
		case <-ctx.Done():
			return
		case post := <-s.posts:
			post(s.cfg.Clock.Now())
		case c := <-s.confirms:
			s.machine.confirm(s.cfg.Clock.Now(), c.commit, c.asOf)
		case <-ticker.C:
			s.records.sweepNext(s.cfg.Clock.Now(), keepTime(&s.cfg))
		}
	}
}

// step ticks the machine and starts the calls that it asks for.
func (s *Service) step(ctx context.Context) {
	before := s.machine.installed
	for _, c := range s.machine.tick(s.cfg.Clock.Now()) {
		s.calls.Add(1)
		go s.perform(ctx, c)
	}
	s.report(before)
}

func (s *Service) perform(ctx context.Context, c call) {
	defer s.calls.Done()
	timed, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	r := perform(timed, &s.cfg, c)
	s.post(ctx, func(now time.Time) { s.machine.finish(now, r) })
}

// post runs do on the goroutine of Run; false: the service has stopped or ctx ended first.
func (s *Service) post(ctx context.Context, do func(now time.Time)) bool {
	select {
	case s.posts <- do:
		return true
	case <-ctx.Done():
	case <-s.stopped:
	}
	return false
}

// postAndWait runs do on the goroutine of Run and waits for its end.
func (s *Service) postAndWait(ctx context.Context, do func(now time.Time)) error {
	done := make(chan struct{})
	if !s.post(ctx, func(now time.Time) { do(now); close(done) }) {
		return twirp.Unavailable.Error("the key service is not running")
	}
	<-done
	return nil
}

// report logs and counts changes of the roster.
func (s *Service) report(before *Roster) {
	after := s.machine.installed
	s.cfg.Metrics.Gauge("keys.records").Update(s.records.count.Load())
	s.cfg.Metrics.Gauge("keys.bytes").Update(s.records.bytes.Load())
	if after == nil || before != nil && before.Version == after.Version {
		return
	}
	s.cfg.Metrics.Counter("keys.roster-installs").Inc(1)
	klog.Infof("keys: installed roster version %d of %s with %d members, %d lost", after.Version, after.Service, len(after.Members), len(after.Lost))
}

// ConfirmRoster tells that the commit count of this service's roster row was rowVersion at asOf, as the row
// cluster.RosterIndexKey shows it. asOf must carry a monotonic reading and must not be later than the read.
func (s *Service) ConfirmRoster(rowVersion uint64, asOf time.Time) {
	if rowVersion == 0 {
		return
	}
	select {
	case s.confirms <- confirmation{rowVersion, asOf}:
	default:
	}
}

// Check is the runner's last gate, at the moment of dispatch: it tells whether this node may run an attempt that owner
// granted at rosterVersion, and until when. The Runner must list the attempt before. Failures have the outcome not-run.
func (s *Service) Check(service, key, owner string, rosterVersion uint64) (notAfter time.Time, err *failure.Error) {
	notAfter, err = s.gate.check(s.cfg.Clock.Now(), service, key, owner, rosterVersion)
	if err != nil {
		s.cfg.Metrics.Refused(metricsRole, err.Reason)
	}
	return notAfter, err
}

// Claim implements rpc.Keys.
func (s *Service) Claim(_ context.Context, req *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	if req.Key == "" || len(req.Attempt) != len(attemptID{}) || len(req.Replaces) != 0 && len(req.Replaces) != len(attemptID{}) {
		return nil, twirp.InvalidArgument.Error("a claim needs a key and an attempt of 16 bytes")
	}
	response := s.gate.claim(s.cfg.Clock.Now(), req, s.records, keepTime(&s.cfg))
	if response.Reason != "" {
		s.cfg.Metrics.Refused(metricsRole, failure.Reason(response.Reason))
	}
	return response, nil
}

// Collect implements rpc.Keys.
func (s *Service) Collect(ctx context.Context, req *rpc.CollectRequest) (*rpc.CollectResponse, error) {
	if err := s.serves(req.Service); err != nil {
		return nil, err
	}
	roster, err := parseRoster(req.Roster)
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	response := &rpc.CollectResponse{}
	var installed *Roster
	err = s.call(ctx, func(now time.Time) {
		response.Installed = s.machine.install(now, req, roster)
		installed = s.machine.installed
	})
	if err != nil {
		return nil, err
	}
	if response.Installed {
		response.Records = collect(&s.cfg, s.records, installed, req.Requester)
	}
	return response, nil
}

// collect lists the records that the requester must hold at the installed roster.
func collect(cfg *Config, records *store, installed *Roster, requester string) []*rpc.KeyRecord {
	wanted := func(key string) bool { return installed.holds(requester, key) }
	found := runnerRecords(cfg, wanted)
	records.export(cfg.Clock.Now(), wanted, func(rec *rpc.KeyRecord) { found = append(found, rec) })
	return found
}

// Promise implements rpc.Keys.
func (s *Service) Promise(ctx context.Context, req *rpc.PromiseRequest) (response *rpc.PromiseResponse, err error) {
	if err := s.serves(req.Service); err != nil {
		return nil, err
	}
	err = s.call(ctx, func(now time.Time) { response = s.machine.promise(now, req) })
	return response, err
}

// Roster implements rpc.Keys.
func (s *Service) Roster(ctx context.Context, req *rpc.RosterRequest) (response *rpc.RosterResponse, err error) {
	if err := s.serves(req.Service); err != nil {
		return nil, err
	}
	err = s.call(ctx, func(time.Time) { response = s.machine.status() })
	return response, err
}

func (s *Service) serves(service string) error {
	if service != s.cfg.Self.Service {
		return twirp.FailedPrecondition.Errorf("node %s serves %s", s.cfg.Self.ID, s.cfg.Self.Service)
	}
	return nil
}

// Leave hands this member's records over and removes it from the roster. The node must have finished its requests. It
// returns nil when the member is out, else *LeaveError once ctx ends; the member is then removed as lost.
func (s *Service) Leave(ctx context.Context) error {
	poll := time.NewTicker(s.cfg.Tick)
	defer poll.Stop()
	for {
		out := false
		err := s.call(ctx, func(time.Time) {
			s.machine.wantLeave = true
			out = s.machine.out()
		})
		if out {
			return nil
		}
		if err != nil {
			return &LeaveError{Cause: err}
		}
		select {
		case <-ctx.Done():
			return &LeaveError{Cause: ctx.Err()}
		case <-poll.C:
		}
	}
}

// LeaveError reports a member that stopped before its records were handed over.
type LeaveError struct{ Cause error }

// Error implements error.
func (e *LeaveError) Error() string { return "keys: left without a handover: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LeaveError) Unwrap() error { return e.Cause }

var _ rpc.Keys = (*Service)(nil)
