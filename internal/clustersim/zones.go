package clustersim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"liftshift/internal/locality"
	"liftshift/scheduler"
)

// Manner is how searches are sent between zones.
type Manner string

// The manners: ours, the program before it, and plainer ones.
const (
	InCommon Manner = "in common"
	Before   Manner = "before"         // zones do not count
	Nearest  Manner = "nearest"        // near ones first, the others without a cap
	Even     Manner = "even"           // no order of groups, and zones do not count
	Alone    Manner = "each by itself" // the same rules, each controller by what it sees alone
)

// Between is what a play of zones is made of.
type Between struct {
	Manner                        Manner
	Zones, Controllers, Executors int
	Load                          float64 // of all room
	Cores                         float64
	WayMS                         float64 // longer to another zone and back
	Lost, Back, End               float64 // ms
	Seed                          uint64
	Cut                           int // controllers of the zone that is lost, cut off from the others as well
}

// Figures are what came of it.
type Figures struct {
	Gain           float64 // earned, of what could be, from the loss to the end
	Near           float64 // share of runs that were near while all was whole
	Over           int     // looks, each 100 ms, at which more threads of a zone were out in another than the caps in force allowed
	Falls          int     // cold executors that were pushed over
	Swings         int     // changes of direction of a pair's share, from the loss on
	OwnLate        float64 // of the zones that stay: 99th percentile during the loss against before
	Handled, Asked int
	InForceMS      float64 // from the loss until 95% of the controllers have a plan that says so
	BytesASecond   float64 // that a controller's watch says to others
	BackMS         float64 // from the return until 95% of its share is near again; 0: it was not
}

const (
	simBeat   = 10.0 // ms of a step
	simWork   = 100.0
	simWarm   = 8000.0
	simFall   = 2000.0
	simLease  = 3000.0
	simStage  = 2000.0
	simWait   = 1500.0
	coldFrom  = 0.1
	listDelay = 500.0
)

type engine struct {
	id    uint32
	zone  int
	up    bool
	since float64
	jobs  []*shotOut
	got   []float64 // work that came while it was cold, as [at, ...]
}

type shotOut struct {
	by, shot int
	search   string
	left     float64
	began    float64
	engine   *engine
}

type timed struct {
	at  float64
	seq int
	do  func()
}

type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(timed)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

type asked struct {
	at    float64
	by    int
	fired int
	over  bool
}

type betweenPlay struct {
	Between
	now     float64
	seq     int
	agenda  agenda
	chance  *rand.Rand
	engines []*engine
	gates   []*scheduler.Scheduler
	watches []*locality.Monitor
	wants   []float64
	open    []map[string]*asked
	plan    locality.Plan
	plans   []inForce
	reaches [][]scheduler.ZoneReach
	applied map[int]uint64
	number  int
	f       Figures
	took    [2][]float64
	due     float64
	earned  float64
	nearN   [2]float64
	share   []float64
	turned  []int
	wasAt   []float64
	backAt  float64
	busy    []float64 // a running mean of threads of the lost zone's controllers in their own zone, and all
}

type inForce struct {
	at   float64
	plan locality.Plan
}

func (p *betweenPlay) zoneOf(k int) int { return k % p.Zones }
func zoneName(z int) string             { return fmt.Sprint("z", z) }

func (p *betweenPlay) after(ms float64, do func()) {
	p.seq++
	heap.Push(&p.agenda, timed{p.now + ms, p.seq, do})
}

// PlayBetween plays a zone that is lost and comes back.
func PlayBetween(b Between) Figures {
	p := &betweenPlay{Between: b, applied: map[int]uint64{}, chance: rand.New(rand.NewPCG(b.Seed, 11)), share: make([]float64, b.Zones), turned: make([]int, b.Zones), wasAt: make([]float64, b.Zones), busy: make([]float64, 2)}
	for k := range b.Executors {
		p.engines = append(p.engines, &engine{id: uint32(k + 1), zone: k % b.Zones, up: true, since: -simWarm})
	}
	settings := scheduler.DefaultSettings()
	settings.Controllers = b.Controllers
	settings.MayCancel, settings.MayHealthCheck, settings.MaxAttempts = true, true, 4
	settings.ReportsByProbe, settings.ReportNames = true, []string{scheduler.ReportInFlight}
	settings.RetryBudget = scheduler.RetryBudget{WindowMS: 10000, Floor: 3, Share: 0.1}
	settings.CollapseWindowMS, settings.CollapseMultiple, settings.ColdCapacity, settings.WarmupMS = simFall, 1, coldFrom, simWarm
	settings.Kinds = []scheduler.ExecutorKind{{Name: "big", Cores: b.Cores, MemoryMB: 65536}}
	look := scheduler.DefaultClass("look", scheduler.Idempotent)
	look.SoftDeadlineMS, look.DeadlineMS, look.LateShare = 1000, 5000, 0.3
	settings.Classes = []scheduler.RequestClass{look}
	settings.NamesRetryAfter, settings.MaxRetryAfterMS = true, 500
	bounds := locality.DefaultSettings()
	bounds.LeaseMS, bounds.StageMS, bounds.RecoveryWaitMS = simLease, simStage, simWait
	for k := range b.Controllers {
		own := settings
		own.ControllerIndex = k
		p.gates = append(p.gates, scheduler.New(b.Seed+uint64(k), own))
		p.watches = append(p.watches, locality.New(fmt.Sprintf("c%03d", k), zoneName(p.zoneOf(k)), "r", bounds))
		p.open, p.wants, p.reaches = append(p.open, map[string]*asked{}), append(p.wants, 0), append(p.reaches, nil)
		p.step(k, &scheduler.Event{Kind: scheduler.Started})
		p.list(k)
		if b.Manner == Nearest {
			var list []scheduler.ZoneReach
			for z := range b.Zones {
				if z != p.zoneOf(k) {
					list = append(list, scheduler.ZoneReach{Zone: zoneName(z), Tier: 1, Capacity: math.Inf(1)})
				}
			}
			p.step(k, &scheduler.Event{Kind: scheduler.ReachabilityChanged, Reaches: list})
		}
	}
	p.play()
	return p.f
}

// list tells a controller what executors there are.
func (p *betweenPlay) list(k int) {
	ev := &scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListComplete}
	for _, e := range p.engines {
		if e.up {
			ev.Endpoints = append(ev.Endpoints, scheduler.Endpoint{Executor: e.id, Zone: zoneName(e.zone), Kind: "big", StartedAt: max(0, e.since)})
		}
	}
	p.step(k, ev)
}

func (p *betweenPlay) step(k int, ev *scheduler.Event) {
	for _, a := range slices.Clone(p.gates[k].Step(p.now+simWarm, ev, nil)) {
		switch a.Kind {
		case scheduler.SetTimer:
			p.after(a.AfterMS, func() { p.step(k, &scheduler.Event{Kind: scheduler.TimerFired, Token: a.Token}) })
		case scheduler.Send:
			p.send(k, &a)
		case scheduler.HealthCheck:
			e := p.engines[a.Executor-1]
			p.after(1+p.way(k, e), func() {
				ev := &scheduler.Event{Kind: scheduler.HealthChecked, Executor: e.id, Outcome: scheduler.ConnectFailed}
				if e.up {
					ev.Outcome, ev.LoadReport = scheduler.Succeeded, []float64{float64(len(e.jobs))}
				}
				p.step(k, ev)
			})
		case scheduler.Cancel:
			p.end(k, a.Request, a.Attempt, scheduler.Cancelled)
		case scheduler.Reject, scheduler.Fail:
			p.answer(k, a.Request, false)
		}
	}
}

func (p *betweenPlay) way(k int, e *engine) float64 {
	if e.zone != p.zoneOf(k) {
		return p.WayMS
	}
	return 0.5
}

func (p *betweenPlay) send(k int, a *scheduler.Action) {
	e, x := p.engines[a.Executor-1], p.open[k][a.Request]
	if x == nil || x.over {
		return
	}
	shot := x.fired
	x.fired++
	p.after(p.way(k, e)/2, func() {
		if !e.up {
			p.after(1, func() {
				p.step(k, &scheduler.Event{Kind: scheduler.AttemptEnded, Request: a.Request, Attempt: shot, Executor: e.id, Outcome: scheduler.ConnectFailed})
			})
			return
		}
		e.jobs = append(e.jobs, &shotOut{by: k, shot: shot, search: a.Request, left: simWork, began: p.now, engine: e})
		p.pushed(e)
		if p.Lost > p.now && p.now > 3000 {
			p.nearN[0]++
			if e.zone == p.zoneOf(k) {
				p.nearN[1]++
			}
		}
	})
}

// pushed counts what a cold executor gets; one that gets too much falls, and begins anew.
func (p *betweenPlay) pushed(e *engine) {
	if p.now >= e.since+simWarm {
		return
	}
	e.got = append(e.got, p.now)
	for len(e.got) > 0 && e.got[0] < p.now-simFall {
		e.got = e.got[1:]
	}
	n := p.capacity(e) * simFall / simWork
	if float64(len(e.got)) > n+3*math.Sqrt(n)+3 {
		p.f.Falls++
		p.fall(e)
		e.since, e.got = p.now, nil
	}
}

// capacity is what an executor does at once, in threads.
func (p *betweenPlay) capacity(e *engine) float64 {
	warm := min(1, max(0, (p.now-e.since)/simWarm))
	return p.Cores * (coldFrom + (1-coldFrom)*warm)
}

// fall loses all that an executor has in hand.
func (p *betweenPlay) fall(e *engine) {
	jobs := e.jobs
	e.jobs = nil
	for _, j := range jobs {
		p.after(1, func() {
			p.step(j.by, &scheduler.Event{Kind: scheduler.AttemptEnded, Request: j.search, Attempt: j.shot, Executor: e.id, Outcome: scheduler.ConnectionLost})
		})
	}
}

func (p *betweenPlay) end(k int, id string, shot int, as scheduler.Outcome) {
	for _, e := range p.engines {
		e.jobs = slices.DeleteFunc(e.jobs, func(j *shotOut) bool { return j.by == k && j.search == id && j.shot == shot })
	}
	p.after(0.1, func() {
		p.step(k, &scheduler.Event{Kind: scheduler.AttemptEnded, Request: id, Attempt: shot, Outcome: as})
	})
}

func (p *betweenPlay) answer(k int, id string, handled bool) {
	x := p.open[k][id]
	if x == nil || x.over {
		return
	}
	x.over = true
	delete(p.open[k], id)
	p.wants[k]--
	took := p.now - x.at
	if x.at >= p.Lost {
		p.due++
		switch {
		case handled && took <= 1000:
			p.earned++
		case handled:
			p.earned += 0.3
		}
	}
	if handled {
		p.f.Handled++
		if p.zoneOf(k) != 0 {
			if x.at > 3000 && x.at < p.Lost-1000 {
				p.took[0] = append(p.took[0], took)
			} else if x.at >= p.Lost && x.at < p.Back {
				p.took[1] = append(p.took[1], took)
			}
		}
	}
}

// play lets time go by.
func (p *betweenPlay) play() {
	rate := p.Load * 1.2 * p.Cores * float64(p.Executors) / simWork / float64(p.Controllers) // a controller's searches a ms
	for k := range p.gates {
		p.arrive(k, rate, 0)
	}
	for look := 0; p.now < p.End; look++ {
		for len(p.agenda) > 0 && p.agenda[0].at <= p.now {
			x := heap.Pop(&p.agenda).(timed)
			x.do()
		}
		if was := p.now - simBeat; was < p.Lost && p.now >= p.Lost {
			p.lose(false)
		} else if was < p.Back && p.now >= p.Back {
			p.lose(true)
			p.backAt = p.now
		}
		p.work()
		if look%5 == 0 && (p.Manner == InCommon || p.Manner == Alone) {
			p.watch(look)
		}
		if look%10 == 0 {
			p.look()
		}
		p.now += simBeat
	}
	p.f.Asked = p.number
	for _, w := range p.watches {
		p.f.BytesASecond += float64(w.Counts.Bytes) / float64(len(p.watches)) / (p.End / 1000)
	}
	p.f.Gain = p.earned / max(1, p.due)
	p.f.Near = p.nearN[1] / max(1, p.nearN[0])
	for k := range p.took {
		slices.Sort(p.took[k])
	}
	if len(p.took[0]) > 100 && len(p.took[1]) > 100 {
		at := func(s []float64) float64 { return s[len(s)*99/100] }
		p.f.OwnLate = at(p.took[1]) / at(p.took[0])
	}
}

// arrive has searches come to a controller, at that rate whatever the step of the play is.
func (p *betweenPlay) arrive(k int, rate, at float64) {
	at += p.chance.ExpFloat64() / rate
	p.after(at-p.now, func() {
		p.number++
		id := fmt.Sprintf("%08x", p.number)
		group := uint64(p.chance.IntN(400))
		if p.Manner == Even {
			group = p.chance.Uint64()
		}
		p.open[k][id] = &asked{at: p.now, by: k}
		p.wants[k]++
		p.step(k, &scheduler.Event{Kind: scheduler.RequestArrived, Request: id, Class: "look", TableGroup: group, MemoryMB: 1, WorkMS: simWork, Deadline: p.now + simWarm + 5000})
		p.arrive(k, rate, at)
	})
}

// lose has the zone 0 gone, or back and cold; the list tells of it a little later.
func (p *betweenPlay) lose(back bool) {
	for _, e := range p.engines {
		if e.zone == 0 {
			if e.up = back; back {
				e.since, e.got = p.now, nil
			} else {
				p.fall(e)
			}
		}
	}
	for k := range p.gates {
		p.after(listDelay*(1+p.chance.Float64()), func() { p.list(k) })
	}
}

// work has executors go on with what they have, shared evenly.
func (p *betweenPlay) work() {
	for _, e := range p.engines {
		if len(e.jobs) == 0 {
			continue
		}
		part := min(1, p.capacity(e)/float64(len(e.jobs)))
		rest := e.jobs[:0]
		for _, j := range e.jobs {
			if j.left -= simBeat * part; j.left > 0 {
				rest = append(rest, j)
				continue
			}
			p.after(p.way(j.by, e)/2, func() {
				p.answer(j.by, j.search, true)
				p.step(j.by, &scheduler.Event{Kind: scheduler.AttemptEnded, Request: j.search, Attempt: j.shot, Executor: e.id, Outcome: scheduler.Succeeded, ElapsedMS: p.now - j.began, Final: true})
			})
		}
		e.jobs = rest
	}
}

// ---- the watches, with a stand-in for the council: it agrees at once, on what follows the plan that is there

func (p *betweenPlay) cutOff(k int) bool {
	return p.now >= p.Lost && p.zoneOf(k) == 0 && k/p.Zones < p.Cut
}

func (p *betweenPlay) watch(look int) {
	var list []locality.Member
	for k := range p.watches {
		list = append(list, locality.Member{Name: fmt.Sprintf("c%03d", k), Zone: zoneName(p.zoneOf(k)), Region: "r", Live: !p.cutOff(k)})
	}
	leader := 1
	for k := range p.watches {
		if look%10 == 0 && look%50 != 0 {
			p.watchStep(k, &locality.Event{Kind: locality.Observed, Executors: p.sees(k), DemandThreads: p.wants[k], Applied: p.applied[k]})
		}
		if look%25 == 0 {
			present := &locality.Event{Kind: locality.MembersChanged, Members: list, Leader: fmt.Sprintf("c%03d", leader), Leads: k == leader}
			seen := &locality.Event{Kind: locality.Observed, Executors: p.sees(k), DemandThreads: p.wants[k], Applied: p.applied[k]}
			if p.Manner == Alone {
				present.Leader, present.Leads = fmt.Sprintf("c%03d", k), true
				seen.DemandThreads *= float64(p.Controllers) / float64(p.Zones)
			}
			p.watchStep(k, present)
			p.watchStep(k, seen)
		}
		if look%100 == k%20*5 && !p.cutOff(k) {
			number := p.plan.Number
			if p.Manner == Alone {
				number = p.watches[k].Plan().Number
			}
			p.watchStep(k, &locality.Event{Kind: locality.PlanConfirmed, PlanNumber: number, At: p.now})
		}
		p.watchStep(k, &locality.Event{Kind: locality.Ticked, UnixMS: int64(p.now)})
	}
}

func (p *betweenPlay) sees(k int) (list []locality.Executor) {
	beliefs := p.gates[k].ExecutorViews(p.now+simWarm, nil)
	for _, b := range beliefs {
		e := p.engines[b.Executor-1]
		list = append(list, locality.Executor{Zone: zoneName(e.zone), Kind: "big", Cores: p.Cores, Listed: b.Availability == scheduler.Active, Ejected: b.Ejected, WarmingUp: b.WarmingUp,
			InFlight: float64(b.Threads), Known: b.Ejected || b.InFlight > 0 || b.SinceSignMS >= 0 && b.SinceSignMS < 10_000 || b.SinceReportMS >= 0 && b.SinceReportMS < 10_000})
	}
	return list
}

func (p *betweenPlay) watchStep(k int, ev *locality.Event) {
	for _, e := range slices.Clone(p.watches[k].Step(p.now, ev)) {
		to := -1
		_, _ = fmt.Sscanf(e.To, "c%d", &to)
		carry := func(do func()) {
			if !p.cutOff(k) && (to < 0 || !p.cutOff(to)) {
				p.after(1+10*p.chance.Float64(), do)
			}
		}
		switch e.Kind {
		case locality.SendReport:
			carry(func() {
				p.watchStep(to, &locality.Event{Kind: locality.ReportReceived, From: fmt.Sprintf("c%03d", k), Data: e.Data})
			})
		case locality.AnnouncePlan:
			carry(func() {
				p.watchStep(to, &locality.Event{Kind: locality.PlanAnnounced, From: fmt.Sprintf("c%03d", k), PlanNumber: e.Number})
			})
		case locality.RequestLoan:
			carry(func() {
				p.watchStep(to, &locality.Event{Kind: locality.LoanRequested, From: fmt.Sprintf("c%03d", k), Zone: e.Zone, PlanNumber: e.Number})
			})
		case locality.GrantLoan:
			carry(func() {
				p.watchStep(to, &locality.Event{Kind: locality.LoanGranted, From: fmt.Sprintf("c%03d", k), Zone: e.Zone, PlanNumber: e.Number, Threads: e.Threads})
			})
		case locality.FetchPlan:
			carry(func() { p.planned(k, p.plan) })
		case locality.ProposePlan:
			plan := *e.Plan
			if p.Manner == Alone {
				p.planned(k, plan)
				continue
			}
			p.after(20, func() {
				if plan.Number == p.plan.Number+1 {
					p.plan = plan
					p.plans = append(p.plans, inForce{p.now, plan})
					p.planned(1, plan)
				}
			})
		case locality.SetReach:
			p.reaches[k], p.applied[k] = e.Reaches, e.Number
			p.step(k, &scheduler.Event{Kind: scheduler.ReachabilityChanged, Reaches: e.Reaches})
		}
	}
}

func (p *betweenPlay) planned(k int, plan locality.Plan) {
	p.watchStep(k, &locality.Event{Kind: locality.PlanAgreed, Plan: &plan})
}

// look counts what is out from each zone in each other, and holds it against what the caps allow.
func (p *betweenPlay) look() {
	out := make([][]float64, p.Zones)
	for z := range out {
		out[z] = make([]float64, p.Zones)
	}
	for _, e := range p.engines {
		for _, j := range e.jobs {
			out[p.zoneOf(j.by)][e.zone]++
		}
	}
	for from := range out {
		sum, far := 0.0, 0.0
		for to, n := range out[from] {
			if sum += n; from == to {
				continue
			}
			far += n
			if p.Manner == InCommon && n > p.allowed(from, to) {
				p.f.Over++
			}
		}
		if p.now > p.Lost && sum > 0 {
			p.swing(from, far/sum)
		}
		if from == 0 && p.backAt > 0 && p.f.BackMS == 0 {
			p.busy[0] += 0.2 * (out[0][0] - p.busy[0])
			if p.busy[1] += 0.2 * (sum - p.busy[1]); p.busy[0] > 0.95*p.busy[1] && p.now > p.backAt+1000 {
				p.f.BackMS = p.now - p.backAt
			}
		}
	}
	if p.now >= p.Lost && p.f.InForceMS == 0 && p.Manner == InCommon {
		n := 0
		for _, w := range p.watches {
			for _, z := range w.Plan().Zones {
				if z.Name == "z0" && z.State == locality.Lost {
					n++
				}
			}
		}
		if 100*n >= 95*(len(p.watches)-p.Cut) {
			p.f.InForceMS = p.now - p.Lost
		}
	}
}

// allowed is the largest cap that can be in force: of the plan that is there, and those before as long as their parts are valid. What is
// on its way when a cap shrinks runs to its end: so long more.
func (p *betweenPlay) allowed(from, to int) (most float64) {
	for n, g := range p.plans {
		if n == len(p.plans)-1 || p.plans[n+1].at+simLease+1000 >= p.now {
			if x := g.plan.Pair(zoneName(from), zoneName(to)); x != nil {
				most = max(most, x.Cap)
			}
		}
	}
	return most
}

// swing counts changes of direction of the share that goes far, past a twentieth.
func (p *betweenPlay) swing(z int, share float64) {
	p.share[z] += 0.1 * (share - p.share[z])
	switch d := p.share[z] - p.wasAt[z]; {
	case d > 0.05 && p.turned[z] != 1, d < -0.05 && p.turned[z] != -1:
		if p.turned[z] != 0 {
			p.f.Swings++
		}
		p.turned[z] = int(math.Copysign(1, d))
		p.wasAt[z] = p.share[z]
	case d > 0 && p.turned[z] == 1, d < 0 && p.turned[z] == -1:
		p.wasAt[z] = p.share[z]
	}
}
