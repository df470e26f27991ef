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

// metricsRole is the role label of refusal counts.
const metricsRole = "keys"

// Service takes part in the key roster of the node's service, as owner, runner and roster member. It is safe for
// concurrent use.
type Service struct {
	cfg     Config
	gate    *gate
	records *store
	machine *machine                 // used only by the goroutine of Run
	posts   chan func(now time.Time) // functions to call on the goroutine of Run
	// confirmations is buffered so that the control plane never waits for Run. When it is full, further confirmations
	// are dropped: the control plane sends one every second.
	confirmations chan confirmation
	stopped       chan struct{}
	calls         sync.WaitGroup
	// runOnLoop calls fn on the goroutine that owns the machine and waits until it returns. The simulation replaces it.
	runOnLoop func(ctx context.Context, fn func(now time.Time)) error
}

// confirmation reports that the roster row had the commit number at asOf.
type confirmation struct {
	commit uint64
	asOf   time.Time
}

// New validates the configuration and returns a service that is inactive until Run is called. Errors are *ConfigError.
func New(cfg Config) (*Service, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	s := &Service{cfg: cfg, posts: make(chan func(time.Time)), confirmations: make(chan confirmation, 4), stopped: make(chan struct{})}
	s.gate = &gate{self: cfg.Self.ID, service: cfg.Self.Service}
	s.records = newStore(cfg.Clock.Now(), cfg.MaxRecords, cfg.MaxBytes)
	s.machine = newMachine(&s.cfg, s.gate, s.records)
	s.runOnLoop = s.postAndWait
	return s, nil
}

// Run drives the roster state machine until ctx ends and returns once its calls have ended. It must be called at most
// once.
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
		case c := <-s.confirmations:
			s.machine.confirm(s.cfg.Clock.Now(), c.commit, c.asOf)
		case <-ticker.C:
			s.records.sweepNext(s.cfg.Clock.Now(), configuredRetention(&s.cfg))
		}
	}
}

// step advances the machine by one tick and starts the calls that it returns.
func (s *Service) step(ctx context.Context) {
	before := s.machine.installed
	for _, c := range s.machine.tick(s.cfg.Clock.Now()) {
		s.calls.Add(1)
		go s.perform(ctx, c)
	}
	s.reportInstall(before)
}

func (s *Service) perform(ctx context.Context, c call) {
	defer s.calls.Done()
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	r := perform(callCtx, &s.cfg, c)
	s.post(ctx, func(now time.Time) { s.machine.finish(now, r) })
}

// post passes fn to the goroutine of Run. It returns false when the service stopped or ctx ended first.
func (s *Service) post(ctx context.Context, fn func(now time.Time)) bool {
	select {
	case s.posts <- fn:
		return true
	case <-ctx.Done():
	case <-s.stopped:
	}
	return false
}

// postAndWait calls fn on the goroutine of Run and waits until it returns. It fails with a twirp error if the service
// is not running or ctx ends first.
func (s *Service) postAndWait(ctx context.Context, fn func(now time.Time)) error {
	done := make(chan struct{})
	if !s.post(ctx, func(now time.Time) { fn(now); close(done) }) {
		return twirp.Unavailable.Error("the key service is not running")
	}
	<-done
	return nil
}

// reportInstall updates the gauges, and logs and counts the installation of a new roster version.
func (s *Service) reportInstall(before *Roster) {
	after := s.machine.installed
	s.cfg.Metrics.Gauge("keys.records").Update(s.records.count.Load())
	s.cfg.Metrics.Gauge("keys.bytes").Update(s.records.bytes.Load())
	if after == nil || before != nil && before.Version == after.Version {
		return
	}
	s.cfg.Metrics.Counter("keys.roster-installs").Inc(1)
	klog.Infof("keys: installed roster version %d of %s with %d members, %d lost", after.Version, after.Service, len(after.Members), len(after.Lost))
}

// ConfirmRoster reports that the row cluster.RosterIndexKey showed the given commit number for this service's roster
// row at asOf. asOf must have a monotonic clock reading and must not be later than the read. A commit of 0 is ignored.
func (s *Service) ConfirmRoster(commit uint64, asOf time.Time) {
	if commit == 0 {
		return
	}
	select {
	case s.confirmations <- confirmation{commit, asOf}:
	default:
	}
}

// Check is the runner's final check, immediately before dispatch. It returns the time, on this node's clock, until
// which this node may run an attempt that owner granted at rosterVersion, or the reason why it may not, with the
// outcome not-run. The Runner must list the attempt before Check is called.
func (s *Service) Check(service, key, owner string, rosterVersion uint64) (notAfter time.Time, err *failure.Error) {
	notAfter, err = s.gate.checkDispatch(s.cfg.Clock.Now(), service, key, owner, rosterVersion)
	if err != nil {
		s.cfg.Metrics.CountRefusal(metricsRole, err.Reason)
	}
	return notAfter, err
}

// Claim implements rpc.Keys: it grants or refuses a claim of a key that this member owns.
func (s *Service) Claim(_ context.Context, req *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	if req.Key == "" || len(req.Attempt) != len(attemptID{}) || len(req.Replaces) != 0 && len(req.Replaces) != len(attemptID{}) {
		return nil, twirp.InvalidArgument.Error("a claim needs a key and an attempt of 16 bytes")
	}
	response := s.gate.claim(s.cfg.Clock.Now(), req, s.records, configuredRetention(&s.cfg))
	if response.Reason != "" {
		s.cfg.Metrics.CountRefusal(metricsRole, failure.Reason(response.Reason))
	}
	return response, nil
}

// Collect implements rpc.Keys: it returns the records that the requester must hold at its roster version, once that
// version is installed here.
func (s *Service) Collect(ctx context.Context, req *rpc.CollectRequest) (*rpc.CollectResponse, error) {
	if err := s.checkService(req.Service); err != nil {
		return nil, err
	}
	roster, err := parseRoster(req.Roster)
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	response := &rpc.CollectResponse{}
	var installed *Roster
	err = s.runOnLoop(ctx, func(now time.Time) {
		response.Installed = s.machine.handleCollect(now, req, roster)
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

// collect returns the records that the requester must hold at the installed roster, including those of local attempts.
func collect(cfg *Config, records *store, installed *Roster, requester string) []*rpc.KeyRecord {
	include := func(key string) bool { return installed.isRecordHolder(requester, key) }
	found := localRecords(cfg, include)
	records.export(cfg.Clock.Now(), include, func(rec *rpc.KeyRecord) { found = append(found, rec) })
	return found
}

// Promise implements rpc.Keys: it may promise, for a time of G, not to install a roster that lists the requester as
// lost.
func (s *Service) Promise(ctx context.Context, req *rpc.PromiseRequest) (response *rpc.PromiseResponse, err error) {
	if err := s.checkService(req.Service); err != nil {
		return nil, err
	}
	err = s.runOnLoop(ctx, func(now time.Time) { response = s.machine.handlePromise(now, req) })
	return response, err
}

// Roster implements rpc.Keys: it returns the latest roster and this member's state.
func (s *Service) Roster(ctx context.Context, req *rpc.RosterRequest) (response *rpc.RosterResponse, err error) {
	if err := s.checkService(req.Service); err != nil {
		return nil, err
	}
	err = s.runOnLoop(ctx, func(time.Time) { response = s.machine.handleRoster() })
	return response, err
}

// checkService returns a twirp error unless the service is this node's service.
func (s *Service) checkService(service string) error {
	if service != s.cfg.Self.Service {
		return twirp.FailedPrecondition.Errorf("node %s serves %s", s.cfg.Self.ID, s.cfg.Self.Service)
	}
	return nil
}

// Leave hands over this member's records and removes it from the roster. The node must have finished its requests.
// Leave returns nil when the node is no longer a member, and *LeaveError when ctx ends or the service stops before
// that; the other members then remove it as lost.
func (s *Service) Leave(ctx context.Context) error {
	poll := time.NewTicker(s.cfg.Tick)
	defer poll.Stop()
	for {
		hasLeft := false
		err := s.runOnLoop(ctx, func(time.Time) {
			s.machine.leaveRequested = true
			hasLeft = s.machine.hasLeft()
		})
		if hasLeft {
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

// LeaveError reports that a member stopped before its records were handed over.
type LeaveError struct{ Cause error }

// Error implements error.
func (e *LeaveError) Error() string { return "keys: left without a handover: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LeaveError) Unwrap() error { return e.Cause }

var _ rpc.Keys = (*Service)(nil)
