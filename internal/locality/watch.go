package locality

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"

	"liftshift/scheduler"
)

// EventKind tells what an Event reports.
type EventKind uint8

// The events.
const (
	Observed       EventKind = iota // Executors, Wants and Deaf are as this controller has them
	MembersChanged                  // Members are those of the view; Leader is who leads the council, Leads whether this one does
	ReportReceived                  // Data, a report, came from the member From
	PlanAgreed                      // Plan is agreed, and Orders are
	PlanConfirmed                   // the plan numbered Number was in force after the time At, which is when that was asked
	PlanAnnounced                   // the member From says that the plan numbered Number is there
	LoanRequested                   // the member From asks for a loan of its part of Zone; Number goes back with it
	LoanGranted                     // the member From lends so many Threads
	Ticked                          // each 50 ms or so
)

// Event is one thing that a watch hears. Only the fields of its kind are set.
type Event struct {
	Kind          EventKind
	Executors     []Executor
	DemandThreads float64
	WithoutList   bool
	Members       []Member
	Leader        string
	Leads         bool
	From          string
	Data          []byte
	Plan          *Plan
	Orders        []Order
	PlanNumber    uint64
	At            float64
	Applied       uint64 // Observed: of what the module had been told by then
	Zone          string
	Threads       float64
	UnixMS        int64 // Ticked: the machine's clock, ms: orders without a span end by it
}

// EffectKind tells what an Effect asks for.
type EffectKind uint8

// The effects.
const (
	SendReport   EffectKind = iota // Data, a report, to the member To
	AnnouncePlan                   // Number, a plan's, to the member To
	FetchPlan                      // a plan numbered Number is there, which is not known here
	ProposePlan                    // Plan is to be agreed
	SetReach                       // the decision module is to know Reaches; Number comes back as Applied once it does
	LogWarning                     // Text, for the log
	RequestLoan                    // Zone and Number to the member To
	GrantLoan                      // Zone, Number and Threads to the member To
)

// Effect is one thing that a watch wants done.
type Effect struct {
	Kind    EffectKind
	To      string
	Data    []byte
	Plan    *Plan
	Reaches []scheduler.ZoneReach
	Number  uint64
	Text    string
	Zone    string
	Threads float64
}

// told is a report as it came.
type told struct {
	at     float64
	number uint64
	report Report
	from   string // zone
}

// letter is a report on its way.
type letter struct {
	N      uint64 `json:"N"`
	Report Report `json:"Report"`
}

// Monitor is one controller's part.
type Monitor struct {
	name, zone, region string
	bounds             Settings
	now                float64
	unix               int64
	effects            []Effect

	own       Report
	ownAt     float64
	executors []Executor
	deaf      bool
	members   []Member
	mates     []string // living members of its zone, in order
	leader    string
	leads     bool
	led       bool // it led at the last look
	children  map[string]*told
	zonesTold map[string]*told // at the one who leads: by zone
	number    uint64
	sentAt    float64
	planAt    float64

	plan        Plan
	orders      []Order
	lasts       map[Order]float64 // clock until which those with a span hold
	began       float64           // clock of the first step
	confirmed   uint64            // a number that is later than the plan known here, and
	confirms    float64           // when it was asked for
	confirmedAt float64
	announcedAt float64
	fetchedAt   float64
	latest      uint64 // of all numbers that were announced
	planner     planner
	proposed    uint64
	proposedAt  float64
	reaches     []scheduler.ZoneReach
	strange     bool // its own zone has no executors, and never had
	loans       loans
	gen         uint64 // of what the module was told
	Counts      Counts
}

// Counts are what a watch counts.
type Counts struct{ Lent, Borrowed, ReportsSent, ReportsReceived, Stale, Malformed, Proposed, Plans, Bytes uint64 }

// New gives the watch of a controller.
func New(name, zone, region string, b Settings) *Monitor {
	return &Monitor{name: name, zone: zone, region: region, bounds: b, children: map[string]*told{}, zonesTold: map[string]*told{}, loans: newLoans(), lasts: map[Order]float64{}, confirmedAt: math.Inf(-1)}
}

func (w *Monitor) do(e Effect) { w.effects = append(w.effects, e) }

// Plan returns the plan that is agreed, as far as it is known here.
func (w *Monitor) Plan() *Plan { return &w.plan }

// Explanations returns the reasons for the latest plan where this controller leads.
func (w *Monitor) Explanations() []string { return w.planner.Lines }

// Orders are those that are agreed.
func (w *Monitor) Orders() []Order { return w.orders }

// Reaches is what the module was told last.
func (w *Monitor) Reaches() []scheduler.ZoneReach { return w.reaches }

// Reports are those that count now, where this controller leads.
func (w *Monitor) Reports() map[string]Report { return w.reports() }

// Step takes one event at the caller's clock in ms. The effects hold until the next call.
func (w *Monitor) Step(now float64, ev *Event) []Effect {
	w.effects, w.now = w.effects[:0], max(w.now, now)
	if w.began == 0 {
		w.began = now
	}
	switch ev.Kind {
	case Observed:
		w.see(ev)
		w.lapse()
		w.weighLoans(ev)
	case LoanRequested:
		w.lapse()
		w.loanAsked(ev)
	case LoanGranted:
		w.lapse()
		w.loanGiven(ev)
	case MembersChanged:
		w.present(ev)
	case ReportReceived:
		w.heard(ev)
	case PlanAgreed:
		if ev.Plan != nil && ev.Plan.Number >= w.plan.Number {
			if ev.Plan.Number > w.plan.Number {
				w.Counts.Plans++
			}
			w.plan = *ev.Plan
		}
		w.orders = ev.Orders
		w.time(ev.Orders)
		if w.plan.Number >= w.confirmed {
			w.confirmedAt = max(w.confirmedAt, w.confirms)
		}
		w.announce(true)
		w.open()
	case PlanConfirmed:
		// A part of a plan is another's only so long after a later one is there; and that one is later than what was in force here.
		if w.confirmed, w.confirms = ev.PlanNumber, ev.At; ev.PlanNumber <= w.plan.Number {
			w.confirmedAt = max(w.confirmedAt, ev.At)
		} else {
			w.fetch(ev.PlanNumber)
		}
	case PlanAnnounced:
		if parent := w.parentOf(w.name); ev.From == parent || parent == "" && ev.From == w.leader {
			w.fetch(ev.PlanNumber)
		}
	case Ticked:
		w.unix = ev.UnixMS
		w.lapse()
		w.report()
		w.lead()
		w.announce(false)
		w.fetch(w.latest)
		w.open()
	}
	w.Counts.Lent, w.Counts.Borrowed = w.loans.Lent, w.loans.Borrowed
	return w.effects
}

// time notes until when orders hold here: for their span from when they are heard of. At the start they may have been there for
// long, and the wall clock is all there is; it shortens them, and never lengthens them past their span.
func (w *Monitor) time(orders []Order) {
	maps.DeleteFunc(w.lasts, func(o Order, _ float64) bool { return !slices.Contains(orders, o) })
	for _, o := range orders {
		if _, known := w.lasts[o]; known || o.SpanMS <= 0 {
			continue
		}
		left := o.SpanMS
		if w.now < w.began+settleMS {
			left = min(left, max(0, float64(o.Until-w.unix)))
		}
		w.lasts[o] = w.now + left
	}
}

// inForce gives the orders that hold now.
func (w *Monitor) inForce() (list []Order) {
	for _, o := range w.orders {
		if until, timed := w.lasts[o]; timed && w.now < until || !timed && (o.Until == 0 || w.unix < o.Until) {
			list = append(list, o)
		}
	}
	return list
}

// see makes this controller's own report.
func (w *Monitor) see(ev *Event) {
	w.executors, w.deaf, w.ownAt = ev.Executors, ev.WithoutList, w.now
	w.own = Report{Zone: w.zone, Observers: 1, DemandThreads: ev.DemandThreads}
	if ev.WithoutList {
		w.own.WithoutList = 1
	}
	type sum struct{ known, up, listed float64 }
	sums, order := map[string]*sum{}, []string{}
	for k := range ev.Executors {
		x := &ev.Executors[k]
		s := sums[x.Zone]
		if s == nil {
			s = &sum{}
			sums[x.Zone] = s
			order = append(order, x.Zone)
		}
		if x.Listed {
			s.listed += x.Cores
		}
		if x.Known && x.Listed { // one that is leaving says nothing
			if s.known += x.Cores; !x.Ejected {
				s.up += x.Cores
			}
		}
	}
	slices.Sort(order)
	for _, zone := range order[:min(len(order), mostZones)] {
		s, sight := sums[zone], Observation{Zone: zone}
		switch {
		case s.known == 0: // no evidence, no voice
		case s.up < goneShare*s.known:
			sight.Unreachable = 1
		case s.up < thinShare*s.known:
			sight.Degraded = 1
		default:
			sight.Healthy = 1
		}
		for k := range ev.Executors {
			if ev.Executors[k].Zone == zone {
				sight.InFlight += ev.Executors[k].InFlight
			}
		}
		w.own.Observations = append(w.own.Observations, sight)
	}
}

// present takes who is there.
func (w *Monitor) present(ev *Event) {
	w.members, w.leader, w.leads = ev.Members, ev.Leader, ev.Leads
	w.mates = w.mates[:0]
	for _, m := range ev.Members {
		if m.Living && m.Zone == w.zone {
			w.mates = append(w.mates, m.Name)
		}
	}
	slices.Sort(w.mates)
	for name := range w.children {
		if w.parentOf(name) != w.name {
			delete(w.children, name)
		}
	}
}

// parentOf gives who sums up a member's reports: in a tree of those of its zone, in the order of their names; "" for the first.
func (w *Monitor) parentOf(name string) string {
	k, found := slices.BinarySearch(w.mates, name)
	if !found || k == 0 {
		return ""
	}
	return w.mates[(k-1)/fan]
}

// report sums up what is known here and hands it on: to its parent, or the first of a zone to the one who leads.
func (w *Monitor) report() {
	if w.now < w.sentAt+reportMS || w.ownAt == 0 {
		return
	}
	w.sentAt = w.now
	sum := Report{Zone: w.zone}
	if w.now < w.ownAt+staleMS {
		sum.add(&w.own)
	}
	for name, t := range w.children {
		if w.now > t.at+staleMS {
			delete(w.children, name)
			continue
		}
		sum.add(&t.report)
	}
	to := w.parentOf(w.name)
	if to == "" {
		to = w.leader
	}
	w.number++
	switch data, err := json.Marshal(letter{w.number, sum}); {
	case to == w.name:
		w.zonesTold[w.zone] = &told{w.now, w.number, sum, w.zone}
	case to != "" && err == nil:
		w.Counts.ReportsSent++
		w.Counts.Bytes += uint64(len(data))
		w.do(Effect{Kind: SendReport, To: to, Data: data})
	}
}

// announce tells those whose reports this one sums up which plan is there, and, where it leads, the first of each zone.
func (w *Monitor) announce(now bool) {
	if w.plan.Number == 0 || !now && w.now < w.announcedAt+2*reportMS {
		return
	}
	w.announcedAt = w.now
	for k, name := range w.mates {
		if k > 0 && w.mates[(k-1)/fan] == w.name {
			w.do(Effect{Kind: AnnouncePlan, To: name, Number: w.plan.Number})
		}
	}
	if !w.leads {
		return
	}
	first := map[string]string{}
	for _, m := range w.members {
		if m.Living && (first[m.Zone] == "" || m.Name < first[m.Zone]) {
			first[m.Zone] = m.Name
		}
	}
	for _, name := range first {
		if name != w.name {
			w.do(Effect{Kind: AnnouncePlan, To: name, Number: w.plan.Number})
		}
	}
}

// fetch has a plan brought that is not known here; again after a while if it does not come.
func (w *Monitor) fetch(number uint64) {
	if w.latest = max(w.latest, number); w.latest > w.plan.Number && w.now >= w.fetchedAt+reportMS {
		w.fetchedAt = w.now
		w.do(Effect{Kind: FetchPlan, Number: w.latest})
	}
}

// add adds another's report to this one.
func (r *Report) add(o *Report) {
	r.Observers, r.WithoutList, r.DemandThreads = r.Observers+o.Observers, r.WithoutList+o.WithoutList, r.DemandThreads+o.DemandThreads
	for _, s := range o.Observations {
		k := slices.IndexFunc(r.Observations, func(x Observation) bool { return x.Zone == s.Zone })
		if k < 0 {
			if len(r.Observations) < mostZones {
				r.Observations = append(r.Observations, s)
			}
			continue
		}
		x := &r.Observations[k]
		x.Healthy, x.Degraded, x.Unreachable, x.InFlight = x.Healthy+s.Healthy, x.Degraded+s.Degraded, x.Unreachable+s.Unreachable, x.InFlight+s.InFlight
	}
	slices.SortFunc(r.Observations, func(a, b Observation) int { return cmp.Compare(a.Zone, b.Zone) })
}

// sound tells whether a report can be believed at all: nobody has more voices than there are members, and no figure is absurd.
func (w *Monitor) sound(r *Report) bool {
	if r.Observers < 0 || r.Observers > len(w.members) || r.WithoutList < 0 || r.WithoutList > r.Observers || !(r.DemandThreads >= 0) || math.IsInf(r.DemandThreads, 0) ||
		len(r.Zone) > mostText || len(r.Observations) > mostZones {
		return false
	}
	return !slices.ContainsFunc(r.Observations, func(s Observation) bool {
		return s.Healthy < 0 || s.Degraded < 0 || s.Unreachable < 0 || s.Healthy+s.Degraded+s.Unreachable > r.Observers || !(s.InFlight >= 0) || len(s.Zone) > mostText
	})
}

// heard files a report: of one whose reports this controller sums up, or, where it leads, of a whole zone. Of two the later counts.
func (w *Monitor) heard(ev *Event) {
	var l letter
	if json.Unmarshal(ev.Data, &l) != nil || !w.sound(&l.Report) {
		w.Counts.Malformed++
		return
	}
	w.Counts.ReportsReceived++
	by, key := w.children, ev.From
	if l.Report.Zone != w.zone || w.parentOf(ev.From) != w.name {
		if by, key = w.zonesTold, l.Report.Zone; !w.leads || len(by) >= mostZones && by[key] == nil {
			w.Counts.Stale++
			return
		}
	}
	if old := by[key]; old != nil && old.from == ev.From && l.N <= old.number && w.now < old.at+staleMS {
		w.Counts.Stale++ // it came twice, or late
		return
	}
	by[key] = &told{w.now, l.N, l.Report, ev.From}
}

// reports gives those of zones that count now.
func (w *Monitor) reports() map[string]Report {
	list := map[string]Report{}
	for zone, t := range w.zonesTold {
		if w.now <= t.at+staleMS {
			list[zone] = t.report
		}
	}
	return list
}

// lead makes the next plan, where this controller leads.
func (w *Monitor) lead() {
	if !w.leads {
		w.led = false
		clear(w.zonesTold)
		return
	}
	if !w.led {
		w.led, w.planAt = true, w.now+2*reportMS // until reports have come
		w.planner.begin(w.now, &w.plan, &w.bounds)
	}
	if w.now < w.planAt || w.proposed > w.plan.Number && w.now < w.proposedAt+staleMS {
		return
	}
	w.planAt = w.now + planMS
	in := &seen{now: w.now, reports: w.reports(), members: w.members, orders: w.inForce(), bounds: &w.bounds}
	if !w.deaf {
		in.cores, in.kinds = map[string]float64{}, map[string][]string{}
		for k := range w.executors {
			if x := &w.executors[k]; x.Listed {
				in.cores[x.Zone] += x.Cores
				if !slices.Contains(in.kinds[x.Zone], x.Kind) {
					in.kinds[x.Zone] = append(in.kinds[x.Zone], x.Kind)
					slices.Sort(in.kinds[x.Zone])
				}
			}
		}
	}
	if plan, changed := w.planner.next(&w.plan, in); changed {
		w.proposed, w.proposedAt = plan.Number, w.now
		w.Counts.Proposed++
		w.do(Effect{Kind: ProposePlan, Plan: &plan})
	}
}

// valid is the part of a part that may be used still: all while what confirms it is fresh, then less and less, and nothing once the
// lease that confirmed it is over. It never grows by itself.
func (w *Monitor) valid() float64 {
	return max(0, min(1, 2*(w.bounds.LeaseMS-(w.now-w.confirmedAt))/w.bounds.LeaseMS))
}

// open tells the module how far searches may go now.
func (w *Monitor) open() {
	valid := w.valid()
	var list []scheduler.ZoneReach
	names := w.places()
	if strange := len(w.executors) > 0 && !slices.Contains(names, w.zone); strange != w.strange {
		if w.strange = strange; strange {
			w.do(Effect{Kind: LogWarning, Text: "no executor was ever listed in this controller's zone " + w.zone + ": all are taken for near"})
		}
	}
	if w.strange {
		names = nil // a name that is written otherwise must not shut all doors
	}
	for _, name := range names {
		if name == w.zone {
			pair, z := w.plan.Pair(name, name), w.plan.zone(name)
			if pair == nil || z == nil {
				continue // near, and whole
			}
			r := scheduler.ZoneReach{Zone: name, Capacity: w.room(name, valid)}
			if z.State == Evacuated && orderOf(w.inForce(), name) != Evacuate && valid == 0 {
				r.Capacity = w.bounds.MinShare // the order has lapsed, and nobody can agree on what follows: one search at a time
			}
			list = append(list, r)
			continue
		}
		list = append(list, w.far(name, valid))
	}
	if slices.EqualFunc(list, w.reaches, same) {
		return
	}
	w.reaches = list
	w.gen++
	w.do(Effect{Kind: SetReach, Reaches: list, Number: w.gen})
}

// places gives all zones that are known here, in order.
func (w *Monitor) places() (names []string) {
	for k := range w.plan.Zones {
		names = append(names, w.plan.Zones[k].Name)
	}
	for k := range w.executors {
		if zone := w.executors[k].Zone; !slices.Contains(names, zone) {
			names = append(names, zone)
		}
	}
	slices.Sort(names)
	return names
}

// far is how far another zone is. One that is in no plan yet is closed, but for kinds that there are nowhere near.
func (w *Monitor) far(name string, valid float64) scheduler.ZoneReach {
	self, z := w.plan.zone(w.zone), w.plan.zone(name)
	r := scheduler.ZoneReach{Zone: name, Tier: 2}
	if z == nil || z.State <= Suspected {
		near, there := w.kinds(w.zone, self), w.kinds(name, z)
		for _, kind := range there {
			if !slices.Contains(near, kind) {
				r.ExclusiveKinds = append(r.ExclusiveKinds, kind)
			}
		}
	}
	if z == nil || self == nil {
		return r
	}
	way := [2]string{self.Region, z.Region}
	r.Tier, r.Capacity = tierOf(self, z), w.room(name, valid)
	r.LatencyMS, r.MinDensity = w.bounds.LatencyMS[way], w.bounds.MinDensity[way]
	return r
}

// kinds gives those of a zone's executors: as agreed when it was whole, else as the list has them.
func (w *Monitor) kinds(zone string, z *Zone) (kinds []string) {
	if z != nil && len(z.Kinds) > 0 {
		return z.Kinds
	}
	for k := range w.executors {
		if x := &w.executors[k]; x.Zone == zone && !slices.Contains(kinds, x.Kind) {
			kinds = append(kinds, x.Kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

func same(a, b scheduler.ZoneReach) bool {
	return a.Zone == b.Zone && a.Tier == b.Tier && a.Capacity == b.Capacity && a.LatencyMS == b.LatencyMS && a.MinDensity == b.MinDensity && slices.Equal(a.ExclusiveKinds, b.ExclusiveKinds)
}
