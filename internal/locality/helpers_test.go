package locality

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/scheduler"
)

// site is a zone of a world: what its executors really are, and what its controllers want.
type site struct {
	cores   float64
	up      float64 // share of them that answers
	listed  float64 // share of them that the list has
	wants   float64 // threads, of each controller
	region  string
	kinds   []string
	hidden  map[int]bool // controllers of its own that can't reach them all the same
	foreign bool         // others can't reach them
}

// world is a fleet of watches with a council that needs a majority of its first three, and a network.
type world struct {
	t       *testing.T
	now     float64
	unix    int64
	sites   []*site
	watches []*Monitor
	zoneOf  []int
	down    map[int]bool
	away    map[int]bool // cut off from all others
	deaf    bool         // the list is out of reach
	leader  int
	plan    Plan
	orders  []Order
	chance  *rand.Rand
	late    []func()
	at      []float64
	loss    float64
	reaches []map[string]scheduler.ZoneReach
	applied map[int]uint64
	outs    map[int]map[string]float64 // threads that controllers have out, where a test says so
	caps    []granted                  // plans, with when they came into force
	over    []string
	bytes   int
}

type granted struct {
	at   float64
	plan Plan
}

func newWorld(t *testing.T, zones, each int, b Settings) *world {
	w := &world{t: t, now: 1000, unix: 1, applied: map[int]uint64{}, outs: map[int]map[string]float64{}, down: map[int]bool{}, away: map[int]bool{}, chance: rand.New(rand.NewPCG(uint64(zones), uint64(each)))}
	for range zones {
		w.sites = append(w.sites, &site{cores: 100, up: 1, listed: 1, region: "r", kinds: []string{"big"}, hidden: map[int]bool{}})
	}
	for k := range zones * each {
		z := k % zones
		w.zoneOf = append(w.zoneOf, z)
		w.watches = append(w.watches, New(w.name(k), fmt.Sprint("z", z), w.sites[z].region, b))
		w.reaches = append(w.reaches, nil)
	}
	return w
}

func (w *world) name(k int) string { return fmt.Sprintf("c%03d", k) }

func testBounds() Settings {
	b := DefaultSettings()
	b.LeaseMS, b.StageMS, b.RecoveryWaitMS = 3000, 1000, 1000
	return b
}

func (w *world) send(from, to int, do func()) {
	if w.down[to] || w.down[from] || w.away[from] != w.away[to] || w.away[from] && from != to || w.chance.Float64() < w.loss {
		return
	}
	w.late, w.at = append(w.late, do), append(w.at, w.now+1+20*w.chance.Float64())
}

func (w *world) index(name string) int {
	return slices.IndexFunc(w.watches, func(x *Monitor) bool { return x.name == name })
}

func (w *world) step(k int, ev *Event) {
	if w.down[k] {
		return
	}
	for _, e := range slices.Clone(w.watches[k].Step(w.now, ev)) {
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
			w.send(k, w.leader, func() { w.send(w.leader, k, func() { w.planned(k) }) })
		case ProposePlan:
			plan := *e.Plan
			w.send(k, w.leader, func() {
				if w.agreed() && plan.Number == w.plan.Number+1 {
					w.plan = plan
					w.caps = append(w.caps, granted{w.now, plan})
					w.planned(w.leader)
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

func (w *world) planned(k int) {
	plan := w.plan
	w.step(k, &Event{Kind: PlanAgreed, Plan: &plan, Orders: w.orders})
}

// agreed tells whether the council has a majority of its three.
func (w *world) agreed() bool {
	n := 0
	for k := range 3 {
		if !w.down[k] && !w.away[k] {
			n++
		}
	}
	return n >= 2
}

// run lets time go by.
func (w *world) run(ms float64) {
	for until := w.now + ms; w.now < until; {
		w.now += 10
		w.unix += 10
		for n := 0; n < len(w.late); n++ {
			if w.at[n] <= w.now {
				do := w.late[n]
				w.late, w.at = slices.Delete(w.late, n, n+1), slices.Delete(w.at, n, n+1)
				n--
				do()
			}
		}
		if int(w.now)%50 == 0 {
			w.beat()
			w.check()
		}
	}
}

func (w *world) beat() {
	if w.down[w.leader] || w.away[w.leader] {
		for k := range 3 {
			if !w.down[k] && !w.away[k] && w.agreed() {
				w.leader = k
			}
		}
	}
	for k, x := range w.watches {
		if w.down[k] {
			continue
		}
		if int(w.now)%250 == 0 {
			var list []Member
			for o := range w.watches {
				list = append(list, Member{Name: w.name(o), Zone: fmt.Sprint("z", w.zoneOf[o]), Region: w.sites[w.zoneOf[o]].region,
					Living: !w.down[o] && (w.away[o] == w.away[k] && !w.away[k] || o == k)})
			}
			w.step(k, &Event{Kind: MembersChanged, Members: list, Leader: w.name(w.leader), Leads: k == w.leader && w.agreed()})
			w.step(k, &Event{Kind: Observed, Executors: w.sees(k), DemandThreads: w.wants(k), WithoutList: w.deaf, Applied: w.applied[k]})
		}
		if int(w.now)%1000 == k%20*50 && w.agreed() { // a lease is asked for, and granted by one who leads
			asked, number := w.now, w.plan.Number
			w.send(k, w.leader, func() {
				w.send(w.leader, k, func() { w.step(k, &Event{Kind: PlanConfirmed, PlanNumber: number, At: asked}) })
			})
		}
		w.step(k, &Event{Kind: Ticked, UnixMS: w.unix})
		_ = x
	}
}

// sees gives what a controller's list and module have: it uses those of its own zone, and has evidence of others only where it sends
// there.
func (w *world) sees(k int) (list []Executor) {
	for z, s := range w.sites {
		for n := range 10 {
			x := Executor{Zone: fmt.Sprint("z", z), Kind: s.kinds[n%len(s.kinds)], Cores: s.cores / 10, Listed: float64(n) < 10*s.listed}
			reach := float64(n) < 10*s.up && !(z == w.zoneOf[k] && s.hidden[k]) && !(z != w.zoneOf[k] && s.foreign)
			if z == w.zoneOf[k] || w.state(w.zoneOf[k]) != Healthy && w.reaches[k] != nil && w.reaches[k][x.Zone].Capacity > 0 {
				x.Known, x.Ejected = true, !reach
			}
			if n == 0 {
				x.InFlight = w.outs[k][x.Zone]
			}
			list = append(list, x)
		}
	}
	return list
}

// wants is what a controller's searches want: as its zone's do, unless a test says otherwise.
func (w *world) wants(k int) float64 {
	if out := w.outs[k]; out != nil {
		return out["wants"]
	}
	return w.sites[w.zoneOf[k]].wants
}

// check holds what all may send to each zone against the caps that can be in force: of the plan that is agreed, and of those before it
// as long as parts of them are valid.
func (w *world) check() {
	for z := range w.sites {
		to := fmt.Sprint("z", z)
		for from := range w.sites {
			if from == z {
				continue
			}
			sum, most := 0.0, 0.0
			for k := range w.watches {
				if w.zoneOf[k] == from && !w.down[k] && w.reaches[k] != nil {
					sum += w.reaches[k][to].Capacity
				}
			}
			for n, g := range w.caps {
				if n == len(w.caps)-1 || w.caps[n+1].at+3000 >= w.now {
					if p := g.plan.Pair(fmt.Sprint("z", from), to); p != nil {
						most = max(most, p.Cap)
					}
				}
			}
			if sum > most {
				w.over = append(w.over, fmt.Sprintf("at %.0f z%d may send %.0f threads to %s, the cap is %.0f", w.now, from, sum, to, most))
			}
		}
	}
}

func (w *world) state(z int) State {
	if x := w.plan.zone(fmt.Sprint("z", z)); x != nil {
		return x.State
	}
	return states
}

func (w *world) clean() { assert.Empty(w.t, w.over) }

// may gives what all controllers of a zone may have out in another, together.
func (w *world) may(from, to int) (sum float64) {
	for k := range w.watches {
		if w.zoneOf[k] == from && !w.down[k] && w.reaches[k] != nil {
			sum += w.reaches[k][fmt.Sprint("z", to)].Capacity
		}
	}
	return sum
}
