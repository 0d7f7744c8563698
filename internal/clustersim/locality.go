package clustersim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"liftshift/internal/locality"
	"liftshift/scheduler"
)

// LocalityPolicy determines how controllers send requests to executors of other zones.
type LocalityPolicy int

// SharedPlan is the policy that controllers use in production. The other policies are baselines for comparison.
const (
	SharedPlan    LocalityPolicy = iota // the controllers agree on one plan with caps between zones
	NoLocality                          // zones are ignored
	LocalFirst                          // the own zone is preferred, and all others are used without caps
	RandomGroup                         // zones are ignored, and random table groups spread requests evenly
	Uncoordinated                       // as SharedPlan, but each controller plans from its own observations alone
)

var policyNames = [...]string{"shared plan", "no locality", "local first", "random group", "uncoordinated"}

// String returns the name of the policy.
func (p LocalityPolicy) String() string { return policyNames[p] }

// usesMonitor reports whether controllers run a locality monitor.
func (p LocalityPolicy) usesMonitor() bool { return p == SharedPlan || p == Uncoordinated }

// LocalityScenario describes the loss and the return of zone 0 under load.
type LocalityScenario struct {
	Policy                        LocalityPolicy
	Zones, Controllers, Executors int
	Load                          float64 // offered load as a fraction of the total capacity
	Cores                         float64 // per executor
	CrossZoneRTTMS                float64 // round-trip time between zones
	LostAtMS, BackAtMS, EndMS     float64
	Seed                          uint64
	CutOffControllers             int // controllers of the lost zone that the other controllers can't reach either
}

// LocalityResult is the result of a LocalityScenario.
type LocalityResult struct {
	ValueShare           float64 // earned share of the possible value, from the loss to the end
	LocalShare           float64 // share of attempts sent to the own zone before the loss
	CapViolations        int     // samples of zone pairs with more threads in use than the caps in force allow
	Collapses            int     // executors that collapsed under too much load during their warmup
	Oscillations         int     // changes of direction in the remote shares of zones after the loss
	OtherZonesP99Ratio   float64 // p99 latency in the other zones during the loss, relative to that before it
	Succeeded, Requests  int
	PlanInForceMS        float64 // from the loss until 95% of the reachable controllers have a plan that reflects it
	ReportBytesPerSecond float64 // sent by the monitor of one controller
	RecoveryMS           float64 // from the return until 95% of the zone's threads are local again; 0 if they never are
}

const (
	localityStepMS     = 10.0
	requestWorkMS      = 100.0
	warmupMS           = 8000.0
	collapseWindowMS   = 2000.0
	coldCapacityShare  = 0.1 // share of its capacity that an executor has when it starts
	localityLeaseMS    = 3000.0
	localityStageMS    = 2000.0
	recoveryWaitMS     = 1500.0
	listDelayMS        = 500.0 // minimum delay of an endpoint list update; the maximum is twice as long
	localRTTMS         = 0.5
	threadsPerCore     = 1.2
	softDeadlineMS     = 1000.0
	localityDeadlineMS = 5000.0
	lateValueShare     = 0.3 // value share of a request that succeeds after its soft deadline
	requestGroups      = 400
	measuredFromMS     = 3000.0 // start of the measurements of the time before the loss
	beforeLossMarginMS = 1000.0 // the latency measurements of that time end this long before the loss
)

// lookupClass is the request class of all requests.
const lookupClass = "look"

// localityController is a simulated controller with its scheduler and locality monitor.
type localityController struct {
	scheduler   *scheduler.Scheduler
	monitor     *locality.Monitor
	demand      float64                     // number of open requests, each of which needs one thread
	open        map[string]*localityRequest // by request id
	appliedPlan uint64                      // number of the plan whose reach the scheduler uses
}

// localityRequest is an open request of a controller.
type localityRequest struct {
	arrivedAt float64
	attempts  int
	finished  bool
}

// localitySim is a running simulation of a LocalityScenario. Controllers and zones are identified by their indexes,
// and times are in milliseconds.
type localitySim struct {
	LocalityScenario
	now          float64
	queue        eventQueue[func()]
	random       *rand.Rand
	executors    []*localityExecutor
	controllers  []*localityController
	agreed       []agreedPlan // ordered by time
	requestCount int
	metrics      localityMetrics
	result       LocalityResult
}

func zoneName(zone int) string                  { return fmt.Sprint("z", zone) }
func controllerName(controllerIndex int) string { return fmt.Sprintf("c%03d", controllerIndex) }

// zoneOf returns the zone of a controller.
func (s *localitySim) zoneOf(controller int) int { return controller % s.Zones }

// schedulerTime returns the time that is passed to schedulers. It is offset by the warmup time so that the executors,
// which started at schedulerTime 0, are warm when the simulation starts.
func (s *localitySim) schedulerTime() float64 { return s.now + warmupMS }

// after calls a function after a delay.
func (s *localitySim) after(ms float64, call func()) { s.queue.schedule(s.now+ms, call) }

// RunLocality simulates a scenario in which zone 0 is lost and comes back.
func RunLocality(scenario LocalityScenario) LocalityResult {
	s := newLocalitySim(scenario)
	rate := s.Load * threadsPerCore * s.Cores * float64(s.Executors) / requestWorkMS / float64(s.Controllers)
	for k := range s.controllers {
		s.scheduleArrival(k, rate, 0)
	}
	for step := 0; s.now < s.EndMS; step++ {
		s.runStep(step)
		s.now += localityStepMS
	}
	return s.summarize()
}

// newLocalitySim returns a simulation at time 0, whose controllers know all executors.
func newLocalitySim(scenario LocalityScenario) *localitySim {
	s := &localitySim{
		LocalityScenario: scenario,
		random:           rand.New(rand.NewPCG(scenario.Seed, 11)),
		metrics:          newLocalityMetrics(scenario.Zones),
	}
	for k := range s.Executors {
		s.executors = append(s.executors, &localityExecutor{
			id: uint32(k + 1), zone: k % s.Zones, up: true, startedAt: -warmupMS,
		})
	}
	settings := localitySchedulerSettings(scenario)
	bounds := locality.DefaultSettings()
	bounds.LeaseMS = localityLeaseMS
	bounds.StageMS = localityStageMS
	bounds.RecoveryWaitMS = recoveryWaitMS
	for k := range s.Controllers {
		settings.ControllerIndex = k
		s.controllers = append(s.controllers, &localityController{
			scheduler: scheduler.New(s.Seed+uint64(k), settings),
			monitor:   locality.New(controllerName(k), zoneName(s.zoneOf(k)), "r", bounds),
			open:      map[string]*localityRequest{},
		})
		s.stepScheduler(k, &scheduler.Event{Kind: scheduler.Started})
		s.sendEndpointList(k)
		if s.Policy == LocalFirst {
			s.allowAllZones(k)
		}
	}
	return s
}

// localitySchedulerSettings returns the scheduler settings of all controllers, without the controller index.
func localitySchedulerSettings(scenario LocalityScenario) scheduler.Settings {
	settings := scheduler.DefaultSettings()
	settings.Controllers = scenario.Controllers
	settings.MayCancel = true
	settings.MayHealthCheck = true
	settings.MaxAttempts = 4
	settings.ReportsByProbe = true
	settings.ReportNames = []string{scheduler.ReportInFlight}
	settings.RetryBudget = scheduler.RetryBudget{WindowMS: 10000, Floor: 3, Share: 0.1}
	settings.CollapseWindowMS = collapseWindowMS
	settings.CollapseMultiple = 1
	settings.ColdCapacity = coldCapacityShare
	settings.WarmupMS = warmupMS
	settings.Kinds = []scheduler.ExecutorKind{{Name: "big", Cores: scenario.Cores, MemoryMB: 65536}}
	lookup := scheduler.DefaultClass(lookupClass, scheduler.Idempotent)
	lookup.SoftDeadlineMS = softDeadlineMS
	lookup.DeadlineMS = localityDeadlineMS
	lookup.LateValueShare = lateValueShare
	settings.Classes = []scheduler.RequestClass{lookup}
	settings.SendsRetryAfter = true
	settings.MaxRetryAfterMS = 500
	return settings
}

// allowAllZones lets a controller send to all other zones without a cap.
func (s *localitySim) allowAllZones(controllerIndex int) {
	var reaches []scheduler.ZoneReach
	for zone := range s.Zones {
		if zone != s.zoneOf(controllerIndex) {
			reaches = append(reaches, scheduler.ZoneReach{Zone: zoneName(zone), Tier: 1, Capacity: math.Inf(1)})
		}
	}
	s.stepScheduler(controllerIndex, &scheduler.Event{Kind: scheduler.ReachabilityChanged, RemoteZones: reaches})
}

// runStep simulates one step of time: it runs the due events, applies the loss or return of the zone, and lets
// executors and monitors work.
func (s *localitySim) runStep(step int) {
	for {
		_, call, due := s.queue.popDue(s.now)
		if !due {
			break
		}
		call()
	}
	if s.isFirstStepFrom(s.LostAtMS) {
		s.loseZone()
	} else if s.isFirstStepFrom(s.BackAtMS) {
		s.recoverZone()
	}
	for _, executor := range s.executors {
		s.runJobs(executor)
	}
	if s.Policy.usesMonitor() {
		s.runMonitors(step)
	}
	if step%10 == 0 {
		s.measure()
	}
}

// isFirstStepFrom reports whether the current step is the first one at or after a time.
func (s *localitySim) isFirstStepFrom(at float64) bool {
	return s.now-localityStepMS < at && s.now >= at
}

// loseZone stops all executors of zone 0.
func (s *localitySim) loseZone() {
	for _, executor := range s.executors {
		if executor.zone == 0 {
			executor.up = false
			s.dropJobs(executor)
		}
	}
	s.announceEndpoints()
}

// recoverZone restarts all executors of zone 0, which are cold then.
func (s *localitySim) recoverZone() {
	for _, executor := range s.executors {
		if executor.zone == 0 {
			executor.up = true
			executor.restart(s.now)
		}
	}
	s.announceEndpoints()
	s.metrics.backAt = s.now
}

// announceEndpoints schedules an endpoint list update for each controller after a random delay.
func (s *localitySim) announceEndpoints() {
	for k := range s.controllers {
		s.after(listDelayMS*(1+s.random.Float64()), func() { s.sendEndpointList(k) })
	}
}

// sendEndpointList passes the list of all running executors to a controller's scheduler.
func (s *localitySim) sendEndpointList(controllerIndex int) {
	event := &scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListComplete}
	for _, executor := range s.executors {
		if executor.up {
			event.Endpoints = append(event.Endpoints, scheduler.Endpoint{
				Executor: executor.id, Zone: zoneName(executor.zone), Kind: "big", StartedAt: max(0, executor.startedAt),
			})
		}
	}
	s.stepScheduler(controllerIndex, event)
}
