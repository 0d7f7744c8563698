package clustersim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"liftshift/internal/locality"
	"liftshift/scheduler"
)

// LocalityPolicy is how requests are sent between zones.
type LocalityPolicy int

// The policies: the one in use, the one before it, and plainer ones.
const (
	SharedPlan    LocalityPolicy = iota // the controllers agree on a plan
	NoLocality                          // zones do not count
	LocalFirst                          // the own zone first, the others without a cap
	RandomGroup                         // zones do not count, and requests have no preferred executors
	Uncoordinated                       // the rules of SharedPlan, but each controller follows a plan of what it alone sees
)

var policyNames = [...]string{"shared plan", "no locality", "local first", "random group", "uncoordinated"}

// String returns the name of the policy.
func (p LocalityPolicy) String() string { return policyNames[p] }

// usesMonitor reports whether controllers run a locality monitor.
func (p LocalityPolicy) usesMonitor() bool { return p == SharedPlan || p == Uncoordinated }

// LocalityScenario is the loss and the return of a zone under load. Times are in milliseconds.
type LocalityScenario struct {
	Policy                        LocalityPolicy
	Zones, Controllers, Executors int
	Load                          float64 // of the whole capacity
	Cores                         float64 // of an executor
	CrossZoneRTTMS                float64 // to another zone and back
	LostAtMS, BackAtMS, EndMS     float64
	Seed                          uint64
	CutOffControllers             int // of the lost zone: the others don't reach them either
}

// LocalityResult is what a LocalityScenario came to.
type LocalityResult struct {
	ValueShare           float64 // earned, of what could be, from the loss to the end
	LocalShare           float64 // of the attempts while all zones were there
	CapViolations        int     // looks at a pair of zones at which more threads were in use than the caps in force allow
	Collapses            int     // of executors that got too much while they warmed up
	Oscillations         int     // changes of direction of a zone's remote share, from the loss on
	OtherZonesP99Ratio   float64 // of the latency in zones that stay: during the loss against before
	Succeeded, Requests  int
	PlanInForceMS        float64 // from the loss until 95% of the controllers have a plan that says so
	ReportBytesPerSecond float64 // that a controller's monitor sends
	RecoveryMS           float64 // from the return until 95% of the zone's requests are local again; 0: they were not
}

const (
	localityStepMS     = 10.0
	requestWorkMS      = 100.0
	warmupMS           = 8000.0
	collapseWindowMS   = 2000.0
	coldCapacity       = 0.1 // of an executor that starts
	localityLeaseMS    = 3000.0
	localityStageMS    = 2000.0
	recoveryWaitMS     = 1500.0
	listDelayMS        = 500.0 // until the endpoint list tells of a change: up to twice as long
	localRTTMS         = 0.5
	threadsPerCore     = 1.2
	softDeadlineMS     = 1000.0
	localityLimitMS    = 5000.0
	lateValue          = 0.3 // of a request that succeeds past its soft deadline
	requestGroups      = 400
	settledAtMS        = 3000.0 // measurements of the time before the loss begin here
	beforeLossMarginMS = 1000.0 // and end this long before the loss
)

// lookupClass is the class of all requests.
const lookupClass = "look"

// localityController is a simulated controller.
type localityController struct {
	scheduler   *scheduler.Scheduler
	monitor     *locality.Monitor
	demand      float64 // its open requests
	open        map[string]*localityRequest
	appliedPlan uint64
}

// localityRequest is an open request.
type localityRequest struct {
	arrivedAt float64
	attempts  int
	finished  bool
}

// localitySim is a LocalityScenario that runs.
type localitySim struct {
	LocalityScenario
	now          float64
	queue        eventQueue[func()]
	random       *rand.Rand
	executors    []*localityExecutor
	controllers  []*localityController
	agreed       []agreedPlan // by time
	requestCount int
	metrics      localityMetrics
	result       LocalityResult
}

func zoneName(zone int) string         { return fmt.Sprint("z", zone) }
func controllerName(number int) string { return fmt.Sprintf("c%03d", number) }

func (s *localitySim) zoneOf(controller int) int { return controller % s.Zones }

// schedulerTime is the time that schedulers get: the executors are warm at its beginning.
func (s *localitySim) schedulerTime() float64 { return s.now + warmupMS }

func (s *localitySim) after(ms float64, call func()) { s.queue.schedule(s.now+ms, call) }

// RunLocality runs a scenario in which zone 0 is lost and comes back.
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

func newLocalitySim(scenario LocalityScenario) *localitySim {
	s := &localitySim{LocalityScenario: scenario, random: rand.New(rand.NewPCG(scenario.Seed, 11)), metrics: newLocalityMetrics(scenario.Zones)}
	for k := range s.Executors {
		s.executors = append(s.executors, &localityExecutor{id: uint32(k + 1), zone: k % s.Zones, up: true, startedAt: -warmupMS})
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
			s.reachAllZones(k)
		}
	}
	return s
}

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
	settings.ColdCapacity = coldCapacity
	settings.WarmupMS = warmupMS
	settings.Kinds = []scheduler.ExecutorKind{{Name: "big", Cores: scenario.Cores, MemoryMB: 65536}}
	lookup := scheduler.DefaultClass(lookupClass, scheduler.Idempotent)
	lookup.SoftDeadlineMS = softDeadlineMS
	lookup.DeadlineMS = localityLimitMS
	lookup.LateValueShare = lateValue
	settings.Classes = []scheduler.RequestClass{lookup}
	settings.SendsRetryAfter = true
	settings.MaxRetryAfterMS = 500
	return settings
}

// reachAllZones has a controller send to all other zones without a cap.
func (s *localitySim) reachAllZones(k int) {
	var reaches []scheduler.ZoneReach
	for zone := range s.Zones {
		if zone != s.zoneOf(k) {
			reaches = append(reaches, scheduler.ZoneReach{Zone: zoneName(zone), Tier: 1, Capacity: math.Inf(1)})
		}
	}
	s.stepScheduler(k, &scheduler.Event{Kind: scheduler.ReachabilityChanged, RemoteZones: reaches})
}

// runStep does what is due, and what happens in one step of time.
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
	for _, e := range s.executors {
		s.runJobs(e)
	}
	if s.Policy.usesMonitor() {
		s.runMonitors(step)
	}
	if step%10 == 0 {
		s.measure()
	}
}

func (s *localitySim) isFirstStepFrom(at float64) bool {
	return s.now-localityStepMS < at && s.now >= at
}

// loseZone ends the executors of zone 0.
func (s *localitySim) loseZone() {
	for _, e := range s.executors {
		if e.zone == 0 {
			e.up = false
			s.dropJobs(e)
		}
	}
	s.announceEndpoints()
}

// recoverZone starts the executors of zone 0 anew.
func (s *localitySim) recoverZone() {
	for _, e := range s.executors {
		if e.zone == 0 {
			e.up = true
			e.restart(s.now)
		}
	}
	s.announceEndpoints()
	s.metrics.backAt = s.now
}

// announceEndpoints has the controllers get the endpoint list a little later.
func (s *localitySim) announceEndpoints() {
	for k := range s.controllers {
		s.after(listDelayMS*(1+s.random.Float64()), func() { s.sendEndpointList(k) })
	}
}

// sendEndpointList gives a controller the executors there are.
func (s *localitySim) sendEndpointList(k int) {
	ev := &scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListComplete}
	for _, e := range s.executors {
		if e.up {
			ev.Endpoints = append(ev.Endpoints, scheduler.Endpoint{Executor: e.id, Zone: zoneName(e.zone), Kind: "big", StartedAt: max(0, e.startedAt)})
		}
	}
	s.stepScheduler(k, ev)
}
