package scheduler

import (
	"cmp"
	"hash/crc32"
	"iter"
	"math"
	"slices"
	"strings"
)

// mostShots is the room for attempts in one place of the slab.
const mostAttempts = 8

// mostTold is the size of the longest message to another controller.
const mostTold = 256

// attempt is one attempt at a request.
type attempt struct {
	executor int // index into Gateway.executors
	sent     float64
	noted    float64 // clock of the last note, or of sending
	ran      float64 // running time so far, waiting left out
	share    float64 // share done, as last noted
	grant    float64
	threads  int
	waits    ProgressKind // 0: runs; else Waits
	out      bool         // no outcome yet
	doubt    bool         // out, or ended without proof that it never ran
}

// request is one place of the slab.
type request struct {
	id       string
	key      string
	prior    PriorAttempt // what may have run under its mark
	offering int
	group    uint64
	need     float64
	estimate float64 // work as estimated by the client, ms
	work     float64 // the same, corrected: work of all threads
	seq      uint64  // order of taking
	due      float64
	until    float64
	p        float64 // the paper's priority
	start    float64 // where it starts; 0: the top
	under    float64 // what it is held under; 0: nothing
	part     float64 // of the memory wanted; 0: all
	now      bool    // sent in this pass, or given back
	earns    float64 // gain for its work, as of this pass
	quanta   int     // quanta of running time already counted
	level    int
	attempts [mostAttempts]attempt
	fired    int
	unsent   int     // of those fired, that never left for want of something on this side
	again    float64 // clock before which no other is sent, after one of them
	out      int     // attempts without an outcome
	state    state
	erred    int // attempts that ended in an error
	used     bool
	bound    bool // a stream has begun: the client owns it
}

// slab keeps the requests in hand and reuses their places.
type slab struct {
	places []request
	free   []int
	byID   map[string]int
}

func newSlab() slab { return slab{byID: make(map[string]int)} }

// take gives a cleared place for id.
func (s *slab) take(id string) int {
	var i int
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		i = len(s.places)
		s.places = append(s.places, request{})
	}
	s.places[i] = request{id: id, used: true}
	s.byID[id] = i
	return i
}

// drop frees the place at i.
func (s *slab) drop(i int) {
	delete(s.byID, s.places[i].id)
	s.places[i] = request{}
	s.free = append(s.free, i)
}

// hold takes a request of the offering at k in hand.
func (g *Scheduler) hold(ev *Event, k int) *request {
	s := &g.slab.places[g.slab.take(ev.Request)]
	g.seq++
	s.seq, s.offering, s.group, s.until = g.seq, k, ev.TableGroup, ev.Deadline
	if g.offerings[k].inOrder {
		s.key = ev.OrderKey
	}
	s.need, s.estimate, s.work, s.prior = ev.MemoryMB, ev.WorkMS, ev.WorkMS, ev.Prior
	s.start, s.part, s.now = ev.PriorityCap, ev.MemoryShare, ev.Immediate
	if !s.now { // else it counts once it is sent
		g.takes.add(g.now, 1)
	}
	return s
}

// find returns the place of id.
func (s *slab) find(id string) (int, bool) {
	i, ok := s.byID[id]
	return i, ok
}

// span is a queue of dated amounts, oldest first, that forgets what is older than it is asked to keep.
type span struct {
	at     []float64
	amount []float64
	head   int
	sum    float64
	copy   []float64
}

func (s *span) add(now, amount float64) {
	if s.head > 64 && s.head*2 > len(s.at) {
		s.at = s.at[:copy(s.at, s.at[s.head:])]
		s.amount = s.amount[:copy(s.amount, s.amount[s.head:])]
		s.head = 0
	}
	s.at = append(s.at, now)
	s.amount = append(s.amount, amount)
	s.sum += amount
}

// remove drops the latest amount of that date.
func (s *span) remove(at float64) {
	for k := len(s.at) - 1; k >= s.head; k-- {
		if s.at[k] == at {
			s.sum -= s.amount[k]
			s.at, s.amount = slices.Delete(s.at, k, k+1), slices.Delete(s.amount, k, k+1)
			return
		}
	}
}

// forget drops what is dated before, but keeps the last few.
func (s *span) forget(before float64, keep int) {
	for s.head < len(s.at)-keep && s.at[s.head] < before {
		s.sum -= s.amount[s.head]
		s.head++
	}
	if s.head == len(s.at) {
		s.at, s.amount, s.head, s.sum = s.at[:0], s.amount[:0], 0, 0
	}
}

// sorted gives the live amounts in order; the next call reuses them.
func (s *span) sorted() []float64 {
	s.copy = append(s.copy[:0], s.live()...)
	slices.Sort(s.copy)
	return s.copy
}

// since counts what is dated from then on.
func (s *span) since(from float64) int {
	k, _ := slices.BinarySearch(s.at[s.head:], from)
	return s.count() - k
}

func (s *span) count() int      { return len(s.at) - s.head }
func (s *span) live() []float64 { return s.amount[s.head:] }
func (s *span) total() float64  { return s.sum }

// state is where a request or an executor stands, input what happens to it; a row of a table in rules.go
// says what follows.
type (
	state uint8
	input uint8
)

type row struct {
	state  state
	input  input
	next   state
	effect func(*Scheduler, int)
}

// turn plays an input to what stands at i, by the table, and tells whether a row was found.
func (g *Scheduler) turn(table []row, st *state, in input, i int) bool {
	for k := range table {
		if r := &table[k]; r.input == in && (r.state == *st || r.state == anyState) {
			*st = r.next
			if r.effect != nil {
				r.effect(g, i)
			}
			g.dirty = true
			return true
		}
	}
	return false
}

// request plays an input to a request, judge to an executor; do adds an action.
func (g *Scheduler) request(i int, in input) { g.turn(requestTable, &g.slab.places[i].state, in, i) }
func (g *Scheduler) judge(x int, in input)   { g.turn(executorTable, &g.executors[x].state, in, x) }
func (g *Scheduler) do(a Action)             { g.out = append(g.out, a) }

// verdict is the answer to whether an attempt may be sent.
type verdict uint8

const (
	yes verdict = iota
	notHere
	notNow
	never
)

// offering is what is known of one offering: what the settings say, and what was learned.
type offering struct {
	name          string
	effect        Effect
	scope         DedupScope
	window        float64
	due, stretch  float64
	gain, late    float64
	inOrder       bool
	holds, behind bool // holds its table group while it runs; stands still behind one that does
	threads       int
	kinds, places []string

	usual     float64 // usual work, ms
	taken     float64 // requests that it was learnt from
	slow      float64 // running time over work per thread, lately
	memory    float64 // memory to grant for each MB estimated
	worked    float64 // work told by answers, fading
	estimated float64 // the estimates of the same requests, fading
}

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

// Scheduler is one instance.
type Scheduler struct {
	settings   Settings
	seed       uint64
	draws      uint32
	now        float64
	out        []Action
	slab       slab
	offerings  []offering
	executors  []executor
	rests      map[string]float64 // order key: rests until
	takes      span
	extras     span
	finished   span // running times of finished requests
	onset      float64
	onsetAt    float64
	target     int  // the executor that the request being placed goes to
	dirty      bool // something changed that may let a waiting request go
	seq        uint64
	waiting    []int
	held       []holding // as of this pass
	seen       []holding // told by notes
	placedAt   float64
	beatAt     float64
	full       bool    // no executor has room, as of this pass
	asks       float64 // probes for load reports that may still be sent
	reportedAt float64
	tellAt     float64
	mail       []byte
	levels     []byte
	told       []telling // by controller, at those that add up
	askAt      float64   // when the list is to be asked for
	unheard    float64   // the last word of the list, where it is out of reach; 0: it is not, or nobody tells
	deemed     []float64 // clocks at which what the list owes counts as told, while it is out of reach
	present    float64   // controllers that share the executors, where that is heard
	traffic    float64   // this controller's share of the traffic
	reaches    []reached // places that are not simply near
	began      float64   // when this instance started
	closing    float64   // when this instance stops; far off unless that is planned
}

// pack appends to the mail what is out at an executor: 12 bits of its id, 6 of threads, 6 of memory as a
// share, rounded by chance so that sums are right.
func (g *Scheduler) pack(e *executor, threads int) {
	if threads > 0 && len(g.mail)+3 <= mostTold {
		share := math.Floor(64*e.memory/e.ram + g.chance())
		n := e.tag()<<12 | uint32(min(63, threads))<<6 | uint32(min(63, share))
		g.mail = append(g.mail, byte(n>>16), byte(n>>8), byte(n))
	}
}

// fitsTelling tells whether the level of each executor that is listed fits a message.
func (g *Scheduler) fitsTelling() bool {
	active := 0
	for x := range g.executors {
		active += count(g.executors[x].standing == Active)
	}
	return 2+(active+1)/2 <= mostTold
}

func (e *executor) tag() uint32 { return e.id * 0x9E3779B1 >> 20 }

// post sends the mail to the first n controllers and tells whether this is one of them.
func (g *Scheduler) post(n int) (here bool) {
	for p := range min(n, g.settings.Controllers) {
		if p == g.settings.Slot {
			here = true
			g.heard(p, g.mail)
		} else {
			g.do(Action{Kind: SendPeer, Peer: p, Payload: g.mail})
		}
	}
	return here
}

// addUp sums what the controllers told of each executor after since.
func (g *Scheduler) addUp(since float64) {
	for x := range g.executors {
		g.executors[x].sum, g.executors[x].sumMemory = 0, 0
	}
	for p := range g.told {
		for mail := g.told[p].mail; g.told[p].at > since && len(mail) >= 3; mail = mail[3:] {
			n := uint32(mail[0])<<16 | uint32(mail[1])<<8 | uint32(mail[2])
			for x := range g.executors {
				if e := &g.executors[x]; e.tag() == n>>12 {
					e.sum += float64(n >> 6 & 63)
					e.sumMemory += float64(n&63) / 64
				}
			}
		}
	}
}

// byID gives the active executors in the order of their ids, and a check on which they are.
func (g *Scheduler) byID() (ordered []int, check byte) {
	for x := range g.executors {
		if g.executors[x].standing == Active {
			ordered = append(ordered, x)
			check += byte(g.executors[x].tag())
		}
	}
	slices.SortFunc(ordered, func(a, b int) int { return cmp.Compare(g.executors[a].id, g.executors[b].id) })
	return ordered, check
}

// publish sends the level of each executor to all, in four bits.
func (g *Scheduler) publish() {
	ordered, check := g.byID()
	g.levels = append(g.levels[:0], 1, check)
	for k, x := range ordered {
		level := byte(min(15, g.executors[x].level))
		if k%2 == 0 {
			g.levels = append(g.levels, level)
		} else {
			g.levels[len(g.levels)-1] |= level << 4
		}
	}
	g.do(Action{Kind: SendPeer, Peer: -1, Payload: g.levels})
	g.heard(g.settings.Slot, g.levels)
}

// unpublish files a mail, or reads levels that are of the executors listed here and tells so.
func (g *Scheduler) unpublish(from int, data []byte) bool {
	ordered, check := g.byID()
	switch {
	case from >= 0 && from < g.settings.Controllers && len(data) > 0 && data[0] == 0:
		for from >= len(g.told) {
			g.told = append(g.told, telling{})
		}
		g.told[from].at, g.told[from].mail = g.now, append(g.told[from].mail[:0], data[1:]...)
	case len(data) == 2+(len(ordered)+1)/2 && data[0] == 1 && data[1] == check:
		for k, x := range ordered {
			g.executors[x].level = float64(data[2+k/2] >> (k % 2 * 4) & 15)
		}
		return true
	}
	return false
}

// telling is what another controller has out, as it last told.
type telling struct {
	at   float64
	mail []byte
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

// facts names what is learnt of an offering, for Learnt and relearn.
var facts = []struct {
	name string
	of   func(*offering) *float64
}{
	{"usual", func(o *offering) *float64 { return &o.usual }},
	{"slow", func(o *offering) *float64 { return &o.slow }},
	{"memory", func(o *offering) *float64 { return &o.memory }},
	{"worked", func(o *offering) *float64 { return &o.worked }},
	{"estimated", func(o *offering) *float64 { return &o.estimated }},
}

// ranName is the name of a finished request's running time among figures: the onset is read from those.
const ranName = "ran"

// Estimates appends what this instance has learnt, the last running times oldest first.
func (g *Scheduler) Estimates(out []Estimate) []Estimate {
	for k := range g.offerings {
		for f := range facts {
			out = append(out, Estimate{g.offerings[k].name + "." + facts[f].name, *facts[f].of(&g.offerings[k])})
		}
	}
	ran := g.finished.live()
	for _, ms := range ran[max(0, len(ran)-keptRuns):] {
		out = append(out, Estimate{ranName, ms})
	}
	return out
}

// recount takes over the counts of the ration, and what Learnt gave; what can't be, is left out.
func (g *Scheduler) recount(ev *Event) {
	for _, at := range ev.Arrivals {
		g.takes.add(at, 1)
	}
	for _, at := range ev.Retries {
		g.extras.add(at, 1)
	}
	for _, f := range ev.Estimates {
		if !(f.Value > 0) || math.IsInf(f.Value, 0) {
			continue
		}
		if f.Name == ranName {
			g.finished.add(g.now, f.Value)
		}
		for k := range g.offerings {
			name, ok := strings.CutPrefix(f.Name, g.offerings[k].name+".")
			for j := range facts {
				if ok && facts[j].name == name {
					*facts[j].of(&g.offerings[k]) = f.Value
					g.offerings[k].taken = 1 / learnt
				}
			}
		}
	}
}

// New starts an instance with nothing but its settings and its seed.
func New(seed uint64, settings Settings) *Scheduler {
	g := &Scheduler{settings: settings, seed: seed, slab: newSlab(), rests: map[string]float64{}, closing: math.Inf(1)}
	g.reckonShare()
	for _, c := range settings.Classes {
		g.offerings = append(g.offerings, offering{name: c.Name, effect: c.Effect, scope: c.DedupScope, window: c.DedupWindowMS,
			due: c.SoftDeadlineMS, stretch: c.SoftDeadlineStretch, gain: c.Value, late: c.LateShare, inOrder: c.InOrder,
			holds: c.HoldsTableGroup, behind: c.BlockedByHolders, threads: c.Threads, kinds: c.Kinds, places: c.Zones,
			slow: 1, memory: memoryStart})
	}
	return g
}

// order hashes a group and an executor, without a seed: the same rank at every controller.
func order(group uint64, id uint32) uint64 {
	h := (group+1)*0x9E3779B97F4A7C15 ^ (uint64(id)+1)*0xC2B2AE3D27D4EB4F
	h = (h ^ h>>30) * 0xBF58476D1CE4E5B9
	h = (h ^ h>>27) * 0x94D049BB133111EB
	return h ^ h>>31
}

// chance draws a number from 0 up to 1.
func (g *Scheduler) chance() float64 {
	g.draws++
	return g.odds(uint64(g.draws))
}

// odds is the number from 0 up to 1 that stands at n.
func (g *Scheduler) odds(n uint64) float64 {
	var b [16]byte
	for k := range 8 {
		b[k] = byte(g.seed >> (8 * k))
	}
	for k := range 8 {
		b[8+k] = byte(n >> (8 * k))
	}
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// share is this controller's part of the traffic.
func (g *Scheduler) share() float64 { return g.traffic }

// reckonShare reckons this controller's share, and its part of each executor, anew.
func (g *Scheduler) reckonShare() {
	g.traffic = 1 / max(1, cmp.Or(g.present, float64(g.settings.Controllers)))
	for x := range g.executors {
		g.executors[x].part = partOf(g.traffic, g.executors[x].cores)
	}
}

// release frees a request that is over once all its attempts have their outcome.
func (g *Scheduler) release(i int) {
	if s := &g.slab.places[i]; s.used && s.state == over && s.out == 0 {
		g.slab.drop(i)
		g.dirty = true
	}
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

// lend counts an attempt of s as out, settle as back.
func (g *Scheduler) lend(s *request, x int, grant float64) *attempt {
	e, h, threads := &g.executors[x], &s.attempts[s.fired], g.offerings[s.offering].threads
	*h = attempt{executor: x, sent: g.now, noted: g.now, threads: threads, grant: grant, out: true, doubt: true}
	if s.begun() > 0 {
		g.extras.add(g.now, 1)
	}
	if s.now {
		s.now = false
		g.takes.add(g.now, 1)
	}
	if e.out == 0 {
		e.busySince = g.now
	}
	s.fired, s.out = s.fired+1, s.out+1
	e.out, e.threads, e.memory = e.out+1, e.threads+threads, e.memory+grant
	g.lent(e.place, threads)
	return h
}

// regrant books the memory that a running request is to have now, and names it where that is another amount.
func (g *Scheduler) regrant(s *request) {
	h := s.last()
	e := &g.executors[h.executor]
	was := h.grant
	h.grant = g.grant(s, e)
	if e.memory += h.grant - was; h.grant != was {
		g.terms(s)
	}
}

// line counts an attempt as standing in a line of its executor, or not.
func (g *Scheduler) line(h *attempt, waits bool) {
	e := &g.executors[h.executor]
	if h.waits != 0 {
		h.waits, e.lined = 0, e.lined-1
	}
	if waits {
		h.waits, e.lined = Waiting, e.lined+1
	}
}

func (g *Scheduler) settle(s *request, h *attempt, doubt bool) {
	e := &g.executors[h.executor]
	g.line(h, false)
	h.out, h.doubt = false, doubt
	s.out, e.out, e.threads, e.memory = s.out-1, e.out-1, e.threads-h.threads, e.memory-h.grant
	g.lent(e.place, -h.threads)
}

// returning counts the requests whose attempt was lost or called off and that wait for their next one. Whoever is called off
// besides them needs one more: without it an attempt would be thrown away that might still have been handled.
func (g *Scheduler) returning() (n int) {
	for i := range g.slab.places {
		s := &g.slab.places[i]
		n += count(s.used && s.begun() > 0 && (s.state == waiting || s.state == recalling))
	}
	return n
}

// holds tells whether a load is known to hold a group on an executor.
func (g *Scheduler) holds(group uint64, x int) bool {
	return slices.ContainsFunc(g.held, func(h holding) bool { return h.group == group && h.executor == x })
}

// shotOf gives the place of a request and the attempt of it that an event speaks of, or nil if that is not out.
func (g *Scheduler) attemptOf(ev *Event) (int, *attempt) {
	i, ok := g.slab.find(ev.Request)
	if !ok || ev.Attempt < 0 || ev.Attempt >= g.slab.places[i].fired || !g.slab.places[i].attempts[ev.Attempt].out {
		return i, nil
	}
	return i, &g.slab.places[i].attempts[ev.Attempt]
}

// doubts gives what may have run of a request: another one of its mark, then its own attempts.
func (g *Scheduler) doubts(s *request) iter.Seq[PriorAttempt] {
	return func(yield func(PriorAttempt) bool) {
		if s.prior.At != 0 && !yield(s.prior) || g.offerings[s.offering].effect == Idempotent {
			return
		}
		for k := range s.fired {
			if h := &s.attempts[k]; h.doubt {
				e := &g.executors[h.executor]
				if !yield(PriorAttempt{h.sent, e.place, e.cell}) {
					return
				}
			}
		}
	}
}

// begun counts the attempts that left, or may have.
func (s *request) begun() int { return s.fired - s.unsent }

// neverLeft takes back what was counted for the latest attempt of s, as it never left, and has the next one wait a while.
func (g *Scheduler) neverLeft(s *request, h *attempt) {
	s.unsent++
	if s.begun() > 0 {
		g.extras.remove(h.sent)
	}
	s.again = g.now + min(againMost, againMS*float64(uint(1)<<(s.unsent-1)))
}

// last is the latest attempt.
func (s *request) last() *attempt { return &s.attempts[s.fired-1] }

// earlier tells whether an earlier request of the same key is still in hand.
func (g *Scheduler) earlier(s *request) bool {
	for k := range g.slab.places {
		if t := &g.slab.places[k]; t.used && t.seq < s.seq && t.key == s.key {
			return true
		}
	}
	return false
}

// reached is a place that is not simply near, with the threads of this instance's attempts there.
type reached struct {
	ZoneReach
	out int
}

// reach takes over how far places are.
func (g *Scheduler) reach(list []ZoneReach) {
	g.reaches, g.dirty = g.reaches[:0], true
	for _, r := range list {
		g.reaches = append(g.reaches, reached{ZoneReach: r})
	}
	g.recountOut()
}

// recountOut counts what is out at each place: executors may have come, or moved.
func (g *Scheduler) recountOut() {
	for k := range g.reaches {
		g.reaches[k].out = 0
		for x := range g.executors {
			if g.executors[x].place == g.reaches[k].Zone {
				g.reaches[k].out += g.executors[x].threads
			}
		}
	}
}

// lent counts threads that went out to a place, or came back.
func (g *Scheduler) lent(place string, threads int) {
	for k := range g.reaches {
		if g.reaches[k].Zone == place {
			g.reaches[k].out += threads
		}
	}
}

// far gives how far a place is for an offering, or nil: it is near.
func (g *Scheduler) far(o *offering, place string) *reached {
	for k := range g.reaches {
		if r := &g.reaches[k]; r.Zone == place && !r.free(o) {
			return r
		}
	}
	return nil
}

func (r *reached) tier() int {
	if r == nil {
		return 0
	}
	return r.Tier
}

// free tells whether an offering runs on kinds alone that are free at a place.
func (r *ZoneReach) free(o *offering) bool {
	return o.kinds != nil && len(r.ExclusiveKinds) > 0 && !slices.ContainsFunc(o.kinds, func(k string) bool { return !slices.Contains(r.ExclusiveKinds, k) })
}

// among tells whether a name is in a list that binds; no list binds nothing.
func among(list []string, name string) bool { return list == nil || slices.Contains(list, name) }

// gather starts a pass: it collects what waits and where loads hold their groups.
func (g *Scheduler) gather() {
	g.dirty, g.placedAt, g.full = false, g.now, false
	g.waiting = g.waiting[:0]
	g.seen = slices.DeleteFunc(g.seen, func(h holding) bool { return h.until <= g.now })
	g.held = append(g.held[:0], g.seen...)
	for i := range g.slab.places {
		if s := &g.slab.places[i]; s.used && s.state == waiting {
			g.waiting, s.earns = append(g.waiting, i), g.density(s)
		} else if s.out > 0 && g.offerings[s.offering].holds {
			g.held = append(g.held, holding{s.group, s.last().executor, math.Inf(1)})
		}
	}
}

// mayHaveRun tells whether an attempt is out or ended without proof that it never ran.
func (s *request) mayHaveRun() bool {
	return s.prior.At != 0 || slices.ContainsFunc(s.attempts[:s.fired], func(h attempt) bool { return h.doubt })
}

// endRests forgets the keys that rest no longer.
func (g *Scheduler) endRests() {
	for key, until := range g.rests {
		if g.now >= until {
			delete(g.rests, key)
		}
	}
}

// count is 1 for what is true.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
