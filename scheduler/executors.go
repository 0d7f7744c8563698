package scheduler

import "slices"

// executor is what this instance knows of one executor.
type executor struct {
	id         uint32
	place      string
	kind       string
	cell       int64
	cores, ram float64
	part       float64 // this controller's part of it
	standing   Availability
	upSince    float64
	tookAt     float64 // when the latest attempt was sent that it took: one that drains turns away what is new
	state      state
	threads    int     // of this instance's attempts there
	memory     float64 // granted to them, MB
	lined      int     // of them, known to stand in line
	out        int     // attempts there without an outcome
	heard      float64 // last sign of work: a note or an outcome
	busySince  float64
	probeOut   bool
	probed     float64 // when the last probe went out
	missed     bool    // the last probe failed
	answers    int     // probes answered in a row
	bad        int     // errors, refusals and breaks in a row
	proven     bool    // has done work since it came back
	pace       float64 // slowness against the other executors
	asideAt    float64
	strikes    int
	restUntil  float64
	coldUntil  float64
	coldSent   span
	owed       float64 // work sent beyond what this controller's part has done, as of owedAt
	owedAt     float64
	seen       float64 // threads there of all controllers, as last reported, and ours since
	seenMemory float64
	seenAt     float64
	sum        float64 // threads there, while told figures are added up
	sumMemory  float64
	level      float64 // how full, as told
}

// holding is a table group that a load holds on an executor.
type holding struct {
	group    uint64
	executor int
	until    float64
}

// ExecutorViews appends what is held of each executor that is listed or has attempts out.
func (g *Scheduler) ExecutorViews(now float64, out []ExecutorView) []ExecutorView {
	since := func(at float64) float64 {
		if at == 0 {
			return -1
		}
		return now - at
	}
	for x := range g.executors {
		if e := &g.executors[x]; e.standing != Removed || e.out > 0 {
			out = append(out, ExecutorView{Executor: e.id, InFlight: e.out, Threads: e.threads, ConsecutiveFailures: e.bad, Availability: e.standing,
				Ejected: e.state == aside, Ejections: e.strikes, WarmingUp: now < e.coldUntil, WarmupUntil: e.coldUntil, SinceSignMS: since(e.heard), SinceReportMS: since(e.seenAt)})
		}
	}
	return out
}

// reported gives the figure of a load report that goes by a name, or 0.
func (g *Scheduler) reported(ev *Event, name string) float64 {
	if k := slices.Index(g.settings.ReportNames, name); k >= 0 && k < len(ev.LoadReport) {
		return ev.LoadReport[k]
	}
	return 0
}

// quiet is how long an executor with attempts out has shown no sign of work.
func (g *Scheduler) quiet(e *executor) float64 {
	if e.out == 0 {
		return 0
	}
	return g.now - max(e.heard, e.busySince)
}

// at gives the place of an executor, or -1.
func (g *Scheduler) at(id uint32) int {
	for x := range g.executors {
		if g.executors[x].id == id {
			return x
		}
	}
	return -1
}

// enter gives the place of a listed executor, which starts as fresh if it is new.
func (g *Scheduler) enter(n *Endpoint, fresh executor) int {
	x := g.at(n.Executor)
	if x < 0 {
		if x = g.vacant(); x == len(g.executors) {
			g.executors = append(g.executors, fresh)
		}
		g.executors[x] = fresh
		g.seen = slices.DeleteFunc(g.seen, func(h holding) bool { return h.executor == x })
	}
	g.executors[x].read(&g.settings, n)
	g.executors[x].part = partOf(g.traffic, g.executors[x].cores)
	g.recountOut()
	return x
}

// vacant gives the first place of an executor that is gone and that no request in hand names, or the end: ids are
// always new, so places that were never used again would grow without end.
func (g *Scheduler) vacant() int {
	x := 0
	for x < len(g.executors) && (g.executors[x].standing != Removed || g.executors[x].out > 0 || g.named(x)) {
		x++
	}
	return x
}

// named tells whether a request in hand had an attempt at x.
func (g *Scheduler) named(x int) bool {
	return slices.ContainsFunc(g.slab.places, func(s request) bool {
		return s.used && slices.ContainsFunc(s.attempts[:s.fired], func(h attempt) bool { return h.executor == x })
	})
}

// read takes over what the list says of an executor's machine.
func (e *executor) read(settings *Settings, n *Endpoint) {
	e.place, e.kind, e.cell = n.Zone, n.Kind, n.Cell
	kind := settings.Kind(n.Kind)
	e.cores, e.ram = kind.Cores, kind.MemoryMB
}

// holds tells whether a load is known to hold a group on an executor.
func (g *Scheduler) holds(group uint64, x int) bool {
	return slices.ContainsFunc(g.held, func(h holding) bool { return h.group == group && h.executor == x })
}

// ExecutorView is what an instance holds of one executor, for the front's log.
type ExecutorView struct {
	Executor            uint32
	InFlight            int // attempts there without an outcome
	Threads             int // of them
	ConsecutiveFailures int // failures in a row
	Availability        Availability
	Ejected             bool    // gets nothing until it has answered probes
	Ejections           int     // how often it was set aside lately
	WarmingUp           bool    // gets its part of a cold budget
	WarmupUntil         float64 // clock until which it does
	SinceSignMS         float64 // since the last sign of work; below 0: none yet
	SinceReportMS       float64 // since the last load report or telling; below 0: none yet
}
