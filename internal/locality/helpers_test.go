package locality

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/scheduler"
)

// testZone is a simulated zone: the true state of its executors, and the demand of its controllers.
type testZone struct {
	cores            float64
	reachable        float64 // fraction of the executors that are reachable
	listed           float64 // fraction of the executors in the endpoint list
	demandThreads    float64 // of each controller
	region           string
	kinds            []string
	hiddenFrom       map[int]bool // controllers of the zone that can't reach its executors
	hiddenFromOthers bool         // no controller of another zone can reach the executors
}

// simulatedFleet is a set of monitors with a network and a consensus group. The first three controllers are its voters.
type simulatedFleet struct {
	t               *testing.T
	now             float64
	unixMS          int64
	zones           []*testZone
	monitors        []*Monitor
	zoneOf          []int // zone by controller
	down            map[int]bool
	partitioned     map[int]bool // controllers that are partitioned from all others
	listUnavailable bool
	leader          int
	plan            Plan
	orders          []Order
	random          *rand.Rand
	deliveries      []func() // messages in flight
	deliveryAt      []float64
	loss            float64 // probability that a message is lost
	reaches         []map[string]scheduler.ZoneReach
	applied         map[int]uint64
	inFlight        map[int]map[string]float64 // threads in flight by controller and zone, where a test sets them
	demandThreads   map[int]float64            // by controller, where a test sets it
	plans           []agreedPlan               // all plans that the group agreed on
	violations      []string
	reportBytes     int
}

type agreedPlan struct {
	at   float64
	plan Plan
}

// newSimulatedFleet returns a fleet with the given number of zones and of controllers in each zone.
func newSimulatedFleet(t *testing.T, zones, controllersPerZone int, settings Settings) *simulatedFleet {
	fleet := &simulatedFleet{
		t:             t,
		now:           1000,
		unixMS:        1,
		applied:       map[int]uint64{},
		inFlight:      map[int]map[string]float64{},
		demandThreads: map[int]float64{},
		down:          map[int]bool{},
		partitioned:   map[int]bool{},
		random:        rand.New(rand.NewPCG(uint64(zones), uint64(controllersPerZone))),
	}
	for range zones {
		fleet.zones = append(fleet.zones, &testZone{cores: 100, reachable: 1, listed: 1, region: "r", kinds: []string{"big"},
			hiddenFrom: map[int]bool{}})
	}
	for k := range zones * controllersPerZone {
		zone := k % zones
		fleet.zoneOf = append(fleet.zoneOf, zone)
		monitor := New(fleet.name(k), zoneName(zone), fleet.zones[zone].region, settings)
		fleet.monitors = append(fleet.monitors, monitor)
		fleet.reaches = append(fleet.reaches, nil)
	}
	return fleet
}

// name returns the name of a controller.
func (f *simulatedFleet) name(k int) string { return fmt.Sprintf("c%03d", k) }

func zoneName(zone int) string { return fmt.Sprint("z", zone) }

// testSettings returns the default settings with shorter times.
func testSettings() Settings {
	settings := DefaultSettings()
	settings.LeaseMS, settings.StageMS, settings.RecoveryWaitMS = 3000, 1000, 1000
	return settings
}

// send delivers a message after 1 to 21 ms, unless it is lost or one of the controllers is down or partitioned.
func (f *simulatedFleet) send(from, to int, deliver func()) {
	if f.down[to] || f.down[from] || f.partitioned[from] != f.partitioned[to] || f.partitioned[from] && from != to ||
		f.random.Float64() < f.loss {
		return
	}
	f.deliveries = append(f.deliveries, deliver)
	f.deliveryAt = append(f.deliveryAt, f.now+1+20*f.random.Float64())
}

// sendEvent sends an event to the named controller, if there is one.
func (f *simulatedFleet) sendEvent(from int, name string, ev *Event) {
	if to := f.index(name); to >= 0 {
		f.send(from, to, func() { f.step(to, ev) })
	}
}

func (f *simulatedFleet) index(name string) int {
	return slices.IndexFunc(f.monitors, func(monitor *Monitor) bool { return monitor.name == name })
}

// step passes an event to a controller's monitor and carries out the effects.
func (f *simulatedFleet) step(k int, ev *Event) {
	if f.down[k] {
		return
	}
	for _, effect := range slices.Clone(f.monitors[k].Step(f.now, ev)) {
		f.execute(k, &effect)
	}
}

func (f *simulatedFleet) execute(k int, effect *Effect) {
	from, to := f.name(k), effect.To
	switch effect.Kind {
	case SendReport:
		f.reportBytes += len(effect.Data)
		f.sendEvent(k, to, &Event{Kind: ReportReceived, From: from, Data: effect.Data})
	case AnnouncePlan:
		f.sendEvent(k, to, &Event{Kind: PlanAnnounced, From: from, Number: effect.Number})
	case FetchPlan:
		f.send(k, f.leader, func() { f.send(f.leader, k, func() { f.deliverPlan(k) }) })
	case ProposePlan:
		plan := *effect.Plan
		f.send(k, f.leader, func() {
			if f.hasMajority() && plan.Number == f.plan.Number+1 {
				f.plan = plan
				f.plans = append(f.plans, agreedPlan{f.now, plan})
				f.deliverPlan(f.leader)
			}
		})
	case RequestLoan:
		f.sendEvent(k, to, &Event{Kind: LoanRequested, From: from, Zone: effect.Zone, Number: effect.Number})
	case GrantLoan:
		f.sendEvent(k, to, &Event{Kind: LoanGranted, From: from, Zone: effect.Zone, Number: effect.Number,
			Threads: effect.Threads})
	case SetReach:
		f.applied[k] = effect.Number
		f.reaches[k] = map[string]scheduler.ZoneReach{}
		for _, reach := range effect.Reaches {
			f.reaches[k][reach.Zone] = reach
		}
	}
}

// deliverPlan passes the agreed plan and orders to a controller.
func (f *simulatedFleet) deliverPlan(k int) {
	plan := f.plan
	f.step(k, &Event{Kind: PlanAgreed, Plan: &plan, Orders: f.orders})
}

// hasMajority reports whether a majority of the voters is up and connected.
func (f *simulatedFleet) hasMajority() bool {
	connected := 0
	for k := range 3 {
		if !f.down[k] && !f.partitioned[k] {
			connected++
		}
	}
	return connected >= 2
}

// run advances the simulation by a duration in steps of 10 ms.
func (f *simulatedFleet) run(ms float64) {
	for until := f.now + ms; f.now < until; {
		f.now += 10
		f.unixMS += 10
		for n := 0; n < len(f.deliveries); n++ {
			if f.deliveryAt[n] <= f.now {
				deliver := f.deliveries[n]
				f.deliveries = slices.Delete(f.deliveries, n, n+1)
				f.deliveryAt = slices.Delete(f.deliveryAt, n, n+1)
				n--
				deliver()
			}
		}
		if int(f.now)%50 == 0 {
			f.tick()
			f.checkCaps()
		}
	}
}

// tick elects a leader if need be, and passes each live monitor its observations, lease confirmations and tick.
func (f *simulatedFleet) tick() {
	if f.down[f.leader] || f.partitioned[f.leader] {
		for k := range 3 {
			if !f.down[k] && !f.partitioned[k] && f.hasMajority() {
				f.leader = k
			}
		}
	}
	for k := range f.monitors {
		if f.down[k] {
			continue
		}
		if int(f.now)%250 == 0 {
			f.step(k, &Event{Kind: MembersChanged, Members: f.membersSeenBy(k), Leader: f.name(f.leader),
				Leads: k == f.leader && f.hasMajority()})
			f.step(k, &Event{Kind: Observed, Executors: f.executorsSeenBy(k), DemandThreads: f.demandOf(k),
				ListUnavailable: f.listUnavailable, AppliedReachVersion: f.applied[k]})
		}
		if int(f.now)%1000 == k%20*50 && f.hasMajority() {
			f.confirmPlan(k)
		}
		f.step(k, &Event{Kind: Ticked, UnixMS: f.unixMS})
	}
}

// confirmPlan sends a controller's request for a lease to the leader, and the leader's confirmation back.
func (f *simulatedFleet) confirmPlan(k int) {
	requestedAt, number := f.now, f.plan.Number
	f.send(k, f.leader, func() {
		f.send(f.leader, k, func() { f.step(k, &Event{Kind: PlanConfirmed, Number: number, RequestedAt: requestedAt}) })
	})
}

// membersSeenBy returns the membership view of a controller.
func (f *simulatedFleet) membersSeenBy(k int) (members []Member) {
	for other := range f.monitors {
		isConnected := f.partitioned[other] == f.partitioned[k] && !f.partitioned[k] || other == k
		members = append(members, Member{Name: f.name(other), Zone: zoneName(f.zoneOf[other]),
			Region: f.zones[f.zoneOf[other]].region, Live: !f.down[other] && isConnected})
	}
	return members
}

// executorsSeenBy returns the executors as a controller observes them. A controller uses the executors of its own zone,
// and has evidence of others only while it may send requests to them.
func (f *simulatedFleet) executorsSeenBy(k int) (executors []Executor) {
	for zone, z := range f.zones {
		for n := range 10 {
			executor := Executor{Zone: zoneName(zone), Kind: z.kinds[n%len(z.kinds)], Cores: z.cores / 10,
				Listed: float64(n) < 10*z.listed}
			isOwn := zone == f.zoneOf[k]
			isReachable := float64(n) < 10*z.reachable && !(isOwn && z.hiddenFrom[k]) && !(!isOwn && z.hiddenFromOthers)
			if isOwn || f.state(f.zoneOf[k]) != Healthy && f.reaches[k] != nil && f.reaches[k][executor.Zone].Capacity > 0 {
				executor.HasEvidence, executor.Ejected = true, !isReachable
			}
			if n == 0 {
				executor.InFlight = f.inFlight[k][executor.Zone]
			}
			executors = append(executors, executor)
		}
	}
	return executors
}

// demandOf returns a controller's demand: that of its zone, unless a test sets another.
func (f *simulatedFleet) demandOf(k int) float64 {
	if threads, isSet := f.demandThreads[k]; isSet {
		return threads
	}
	return f.zones[f.zoneOf[k]].demandThreads
}

// checkCaps records a violation if the controllers of a zone together may send more to another zone than the largest
// cap that may be in force: that of the agreed plan, or of an earlier plan whose shares may still be valid.
func (f *simulatedFleet) checkCaps() {
	for target := range f.zones {
		to := zoneName(target)
		for from := range f.zones {
			if from == target {
				continue
			}
			sum, most := f.reachableThreads(from, target), 0.0
			for n, agreed := range f.plans {
				if n == len(f.plans)-1 || f.plans[n+1].at+3000 >= f.now {
					if pair := agreed.plan.Pair(zoneName(from), to); pair != nil {
						most = max(most, pair.Cap)
					}
				}
			}
			if sum > most {
				f.violations = append(f.violations, fmt.Sprintf(
					"at %.0f ms the controllers of z%d may use %.0f threads in %s, the cap is %.0f", f.now, from, sum, to, most))
			}
		}
	}
}

// state returns a zone's state in the agreed plan, or stateCount if the plan does not have the zone.
func (f *simulatedFleet) state(zone int) State {
	if z := f.plan.findZone(zoneName(zone)); z != nil {
		return z.State
	}
	return stateCount
}

// assertNoViolations fails the test if a cap was exceeded at any time so far.
func (f *simulatedFleet) assertNoViolations() {
	assert.Empty(f.t, f.violations, "caps were exceeded")
}

// reachableThreads returns the threads that the live controllers of a zone together may use in another zone.
func (f *simulatedFleet) reachableThreads(from, to int) (sum float64) {
	for k := range f.monitors {
		if f.zoneOf[k] == from && !f.down[k] && f.reaches[k] != nil {
			sum += f.reaches[k][zoneName(to)].Capacity
		}
	}
	return sum
}
