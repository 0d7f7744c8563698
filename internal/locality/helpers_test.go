package locality

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/scheduler"
)

// testZone is a zone of a world: the true state of its executors, and its controllers' demand.
type testZone struct {
	cores   float64
	up      float64 // share of them that is reachable
	listed  float64 // share of them in the endpoint list
	wants   float64 // threads of each controller
	region  string
	kinds   []string
	hidden  map[int]bool // controllers of its own that can't reach them
	foreign bool         // other zones' controllers can't reach them
}

// world is a simulated fleet: monitors, a consensus group with the first three controllers as voters, and a network.
type world struct {
	t               *testing.T
	now             float64
	unix            int64
	sites           []*testZone
	monitors        []*Monitor
	zoneOf          []int
	down            map[int]bool
	partitioned     map[int]bool // partitioned from all others
	listUnavailable bool         // the endpoint list is unavailable
	leader          int
	plan            Plan
	orders          []Order
	random          *rand.Rand
	deliveries      []func()
	deliveryAt      []float64
	loss            float64
	reaches         []map[string]scheduler.ZoneReach
	applied         map[int]uint64
	inFlight        map[int]map[string]float64 // threads in flight by controller and zone, where a test sets them
	plans           []agreedPlan               // that were agreed
	violations      []string
	bytes           int
}

type agreedPlan struct {
	at   float64
	plan Plan
}

func newWorld(t *testing.T, zones, each int, b Settings) *world {
	w := &world{t: t, now: 1000, unix: 1, applied: map[int]uint64{}, inFlight: map[int]map[string]float64{}, down: map[int]bool{}, partitioned: map[int]bool{}, random: rand.New(rand.NewPCG(uint64(zones), uint64(each)))}
	for range zones {
		w.sites = append(w.sites, &testZone{cores: 100, up: 1, listed: 1, region: "r", kinds: []string{"big"}, hidden: map[int]bool{}})
	}
	for k := range zones * each {
		z := k % zones
		w.zoneOf = append(w.zoneOf, z)
		w.monitors = append(w.monitors, New(w.name(k), fmt.Sprint("z", z), w.sites[z].region, b))
		w.reaches = append(w.reaches, nil)
	}
	return w
}

func (w *world) name(k int) string { return fmt.Sprintf("c%03d", k) }

func testSettings() Settings {
	b := DefaultSettings()
	b.LeaseMS, b.StageMS, b.RecoveryWaitMS = 3000, 1000, 1000
	return b
}

func (w *world) send(from, to int, do func()) {
	if w.down[to] || w.down[from] || w.partitioned[from] != w.partitioned[to] || w.partitioned[from] && from != to || w.random.Float64() < w.loss {
		return
	}
	w.deliveries, w.deliveryAt = append(w.deliveries, do), append(w.deliveryAt, w.now+1+20*w.random.Float64())
}

func (w *world) index(name string) int {
	return slices.IndexFunc(w.monitors, func(x *Monitor) bool { return x.name == name })
}

func (w *world) step(k int, ev *Event) {
	if w.down[k] {
		return
	}
	for _, e := range slices.Clone(w.monitors[k].Step(w.now, ev)) {
		switch e.Kind {
		case SendReport:
			w.bytes += len(e.Data)
			if to := w.index(e.To); to >= 0 {
				w.send(k, to, func() { w.step(to, &Event{Kind: ReportReceived, From: w.name(k), Data: e.Data}) })
			}
		case AnnouncePlan:
			if to := w.index(e.To); to >= 0 {
				w.send(k, to, func() { w.step(to, &Event{Kind: PlanAnnounced, From: w.name(k), PlanNumber: e.Number}) })
			}
		case FetchPlan:
			w.send(k, w.leader, func() { w.send(w.leader, k, func() { w.deliverPlan(k) }) })
		case ProposePlan:
			plan := *e.Plan
			w.send(k, w.leader, func() {
				if w.hasMajority() && plan.Number == w.plan.Number+1 {
					w.plan = plan
					w.plans = append(w.plans, agreedPlan{w.now, plan})
					w.deliverPlan(w.leader)
				}
			})
		case RequestLoan:
			if to := w.index(e.To); to >= 0 {
				w.send(k, to, func() { w.step(to, &Event{Kind: LoanRequested, From: w.name(k), Zone: e.Zone, PlanNumber: e.Number}) })
			}
		case GrantLoan:
			if to := w.index(e.To); to >= 0 {
				w.send(k, to, func() {
					w.step(to, &Event{Kind: LoanGranted, From: w.name(k), Zone: e.Zone, PlanNumber: e.Number, Threads: e.Threads})
				})
			}
		case SetReach:
			w.applied[k] = e.Number
			w.reaches[k] = map[string]scheduler.ZoneReach{}
			for _, r := range e.Reaches {
				w.reaches[k][r.Zone] = r
			}
		}
	}
}

func (w *world) deliverPlan(k int) {
	plan := w.plan
	w.step(k, &Event{Kind: PlanAgreed, Plan: &plan, Orders: w.orders})
}

// hasMajority reports whether a majority of the voters is up and connected.
func (w *world) hasMajority() bool {
	n := 0
	for k := range 3 {
		if !w.down[k] && !w.partitioned[k] {
			n++
		}
	}
	return n >= 2
}

// run simulates some time.
func (w *world) run(ms float64) {
	for until := w.now + ms; w.now < until; {
		w.now += 10
		w.unix += 10
		for n := 0; n < len(w.deliveries); n++ {
			if w.deliveryAt[n] <= w.now {
				do := w.deliveries[n]
				w.deliveries, w.deliveryAt = slices.Delete(w.deliveries, n, n+1), slices.Delete(w.deliveryAt, n, n+1)
				n--
				do()
			}
		}
		if int(w.now)%50 == 0 {
			w.tick()
			w.check()
		}
	}
}

func (w *world) tick() {
	if w.down[w.leader] || w.partitioned[w.leader] {
		for k := range 3 {
			if !w.down[k] && !w.partitioned[k] && w.hasMajority() {
				w.leader = k
			}
		}
	}
	for k, x := range w.monitors {
		if w.down[k] {
			continue
		}
		if int(w.now)%250 == 0 {
			var list []Member
			for o := range w.monitors {
				list = append(list, Member{Name: w.name(o), Zone: fmt.Sprint("z", w.zoneOf[o]), Region: w.sites[w.zoneOf[o]].region,
					Live: !w.down[o] && (w.partitioned[o] == w.partitioned[k] && !w.partitioned[k] || o == k)})
			}
			w.step(k, &Event{Kind: MembersChanged, Members: list, Leader: w.name(w.leader), Leads: k == w.leader && w.hasMajority()})
			w.step(k, &Event{Kind: Observed, Executors: w.executorsSeenBy(k), DemandThreads: w.demandOf(k), WithoutList: w.listUnavailable, Applied: w.applied[k]})
		}
		if int(w.now)%1000 == k%20*50 && w.hasMajority() { // a lease is requested, and granted by the leader
			asked, number := w.now, w.plan.Number
			w.send(k, w.leader, func() {
				w.send(w.leader, k, func() { w.step(k, &Event{Kind: PlanConfirmed, PlanNumber: number, At: asked}) })
			})
		}
		w.step(k, &Event{Kind: Ticked, UnixMS: w.unix})
		_ = x
	}
}

// executorsSeenBy returns the executors as a controller sees them: it uses those of its own zone, and has evidence of others only where
// it sends requests there.
func (w *world) executorsSeenBy(k int) (list []Executor) {
	for z, s := range w.sites {
		for n := range 10 {
			x := Executor{Zone: fmt.Sprint("z", z), Kind: s.kinds[n%len(s.kinds)], Cores: s.cores / 10, Listed: float64(n) < 10*s.listed}
			reach := float64(n) < 10*s.up && !(z == w.zoneOf[k] && s.hidden[k]) && !(z != w.zoneOf[k] && s.foreign)
			if z == w.zoneOf[k] || w.state(w.zoneOf[k]) != Healthy && w.reaches[k] != nil && w.reaches[k][x.Zone].Capacity > 0 {
				x.Known, x.Ejected = true, !reach
			}
			if n == 0 {
				x.InFlight = w.inFlight[k][x.Zone]
			}
			list = append(list, x)
		}
	}
	return list
}

// demandOf returns a controller's demand: that of its zone, unless a test sets another.
func (w *world) demandOf(k int) float64 {
	if out := w.inFlight[k]; out != nil {
		return out["wants"]
	}
	return w.sites[w.zoneOf[k]].wants
}

// check compares what all controllers together may send to each zone with the caps that may be in force: those of the agreed plan, and of
// earlier ones as long as their shares are valid.
func (w *world) check() {
	for z := range w.sites {
		to := fmt.Sprint("z", z)
		for from := range w.sites {
			if from == z {
				continue
			}
			sum, most := 0.0, 0.0
			for k := range w.monitors {
				if w.zoneOf[k] == from && !w.down[k] && w.reaches[k] != nil {
					sum += w.reaches[k][to].Capacity
				}
			}
			for n, g := range w.plans {
				if n == len(w.plans)-1 || w.plans[n+1].at+3000 >= w.now {
					if p := g.plan.Pair(fmt.Sprint("z", from), to); p != nil {
						most = max(most, p.Cap)
					}
				}
			}
			if sum > most {
				w.violations = append(w.violations, fmt.Sprintf("at %.0f z%d may send %.0f threads to %s, the cap is %.0f", w.now, from, sum, to, most))
			}
		}
	}
}

func (w *world) state(z int) State {
	if x := w.plan.findZone(fmt.Sprint("z", z)); x != nil {
		return x.State
	}
	return stateCount
}

func (w *world) assertNoViolations() { assert.Empty(w.t, w.violations) }

// reachableThreads returns what all controllers of a zone together may use in another.
func (w *world) reachableThreads(from, to int) (sum float64) {
	for k := range w.monitors {
		if w.zoneOf[k] == from && !w.down[k] && w.reaches[k] != nil {
			sum += w.reaches[k][fmt.Sprint("z", to)].Capacity
		}
	}
	return sum
}
