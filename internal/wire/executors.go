package wire

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"

	"liftshift/internal/connpool"
	"liftshift/internal/dispatch"
	"liftshift/internal/settings"
	"liftshift/scheduler"
)

// Limits of the executors' side.
const (
	mostPages    = 64       // pages of one answer
	mostAnswer   = 64 << 10 // bytes of one answer, all pages
	columns      = 3        // of a row
	mostLinedUp  = 1 << 20  // bytes that may line up at one connection
	mostRetired  = 1024     // ids ended on a connection but by their answer, until it is replaced
	idleShare    = 0.8      // share of the executors' idle time after which a connection is closed here
	idleLook     = time.Second
	answerBuffer = 4 << 10

	// apartMS is the least time between calling an attempt off and sending its request to the same executor again. Both
	// go over connections of their own, which overtake one another, and a call-off that comes last ends the new attempt,
	// unanswered. It is far above the way to an executor and far below what a request takes.
	apartMS = 5
)

// ExecutorClient is the executors' side: connections to each of them, and the attempts and probes under way.
type ExecutorClient struct {
	LeaseHeld func() bool // whether an attempt that was held may leave at this moment; nil: it may. Set before the first one

	queue   EventQueue
	clock   dispatch.Clock
	log     logrus.FieldLogger
	budget  *ByteBudget
	connect time.Duration // for dialing, and for a write to get through
	idle    time.Duration // unused connections are closed by then
	perLink int           // attempts on one connection
	links   int           // most connections, over all executors
	seed    uint64
	dial    func(network, address string) (net.Conn, error)
	probe   string // the word that asks for a sign of life
	reports []string

	mu       sync.Mutex
	machines map[uint32]*machine
	all      map[*link]struct{} // connections, those of executors that are gone included
	seq      uint64
	fates    connpool.LossStats
	conns    []connpool.Conn // scratch of pick
	retired  []int

	Strays, Malformed, Dials, DialFailures, LocalFailures, Resumed, Blocked atomic.Uint64
}

// machine is one executor as listed. Its connections belong to it, not to its address.
type machine struct {
	id            uint32
	name, address string
	entry         scheduler.Endpoint // as it was listed first
	since         float64
	links         []*link
	halted        map[string]float64 // ids called off there within the last apartMS
	closed        bool               // the list tells that it drains or is gone, or that another has its address
}

// link is one connection to an executor.
type link struct {
	pipe
	fleet   *ExecutorClient
	machine *machine
	up      bool // connected; before, attempts and probes wait
	leaving bool // gets nothing new, and ends once nothing is open on it
	used    time.Time
	signs   uint64 // messages that came
	open    map[string]*run
	pending []*run          // of those open: what the goroutine has still to write
	ends    map[string]bool // ended here but by their answer; another word of that end may still come
	probes  map[string]uint64
}

// run is an attempt on a link.
type run struct {
	fleet   *ExecutorClient
	link    *link
	attempt dispatch.Attempt
	seq     uint64
	signs   uint64 // of the link, when it went out
	used    bool   // its connection had carried others
	moved   bool   // its connection was lost between pages: the rest comes over another
	pages   [][]byte
	have    int
	size    int
	held    bool // until Release
	left    bool // its bytes were handed to the socket
	event   scheduler.Event
}

// ExecutorLimits are the figures that a Fleet keeps to.
type ExecutorLimits struct {
	ConnectMS, IdleMS    float64
	MaxPerConn, MaxConns int
	ReportNames          []string // the figures of load reports, where there are any
	Seed                 uint64   // of chance
}

// NewExecutorClient returns a Fleet without executors.
func NewExecutorClient(queue EventQueue, clock dispatch.Clock, budget *ByteBudget, reach ExecutorLimits, log logrus.FieldLogger) *ExecutorClient {
	probe := "alive"
	if len(reach.ReportNames) > 0 {
		probe = "stats"
	}
	dialer := &net.Dialer{Timeout: millis(reach.ConnectMS), KeepAlive: -1}
	return &ExecutorClient{dial: dialer.Dial, seed: reach.Seed, probe: probe, reports: reach.ReportNames, queue: queue, clock: clock, budget: budget, log: log, machines: map[uint32]*machine{},
		all: map[*link]struct{}{}, connect: millis(reach.ConnectMS), idle: millis(reach.IdleMS * idleShare),
		perLink: max(1, reach.MaxPerConn), links: max(1, reach.MaxConns)}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// update takes over what the list says, and gives what follows from it beside: an executor whose address a new one has is
// gone, though the list does not say so yet. It comes before the module gets it.
func (f *ExecutorClient) update(whole bool, list []listed) (displaced []listed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := map[uint32]bool{}
	for _, e := range list {
		kept[e.entry.Executor] = e.entry.Availability != scheduler.Removed
		m := f.machines[e.entry.Executor]
		if m != nil {
			m.closed = e.entry.Availability != scheduler.Active
		}
		if m != nil && m.name != e.name {
			f.log.WithFields(logrus.Fields{"one": m.name, "other": e.name}).Error("executor ids collide")
		}
		if m != nil && (m.address != e.address || e.entry.StartedAt != m.since || e.entry.Availability == scheduler.Removed) {
			f.retire(m)
			m = nil
		}
		if e.entry.Availability == scheduler.Removed {
			delete(f.machines, e.entry.Executor)
		} else if m == nil {
			f.machines[e.entry.Executor] = &machine{id: e.entry.Executor, name: e.name, address: e.address, entry: e.entry,
				since: e.entry.StartedAt, halted: map[string]float64{}, closed: e.entry.Availability != scheduler.Active}
		}
	}
	for id, m := range f.machines {
		if whole && !kept[id] {
			f.retire(m)
			delete(f.machines, id)
		}
	}
	owners := map[string]bool{}
	for _, e := range list {
		if e.entry.Availability == scheduler.Active {
			owners[e.address] = true
		}
	}
	for id, m := range f.machines {
		if owners[m.address] && !kept[id] {
			f.retire(m)
			delete(f.machines, id)
			gone := listed{entry: m.entry, name: m.name, address: m.address}
			gone.entry.Availability = scheduler.Removed
			displaced = append(displaced, gone)
		}
	}
	slices.SortFunc(displaced, func(a, b listed) int { return cmp.Compare(a.entry.Executor, b.entry.Executor) })
	return displaced
}

// odds is a number below 256, of this controller's own and of n.
func (f *ExecutorClient) odds(n uint32) uint8 {
	return uint8(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, f.seed), n)))
}

// Stop ends all connections.
func (f *ExecutorClient) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links = 0
	for l := range f.all {
		l.leaving = true
		l.end(true)
	}
}

func (f *ExecutorClient) retire(m *machine) {
	m.closed = true // also for what still waits for a connection to come up
	for _, l := range m.links {
		l.leave()
	}
}

// leave keeps new attempts off a link; called under the fleet's lock.
func (l *link) leave() {
	l.leaving = true
	l.settle()
}

// settle ends a link that gets nothing new and has nothing open.
func (l *link) settle() {
	if l.leaving && len(l.open) == 0 {
		l.end(false)
	}
}

// pick gives the connection that an attempt of id takes, by package pool, or makes one; nil if there can't be one more.
// Where all there may be are out, the one that has been idle for longest, at another executor, gives way to a first one.
func (f *ExecutorClient) pick(m *machine, id string) *link {
	now := time.Now()
	f.conns = f.conns[:0]
	for _, l := range m.links {
		f.conns = append(f.conns, connpool.Conn{Up: l.up, Draining: l.leaving, Excluded: l.open[id] != nil || l.ends[id],
			Attempts: len(l.open), HealthChecks: len(l.probes), IdleMS: float64(now.Sub(l.used)) / float64(time.Millisecond)})
	}
	limits := connpool.Limits{MaxPerConn: f.perLink, MaxConns: f.links, IdleMS: float64(f.idle) / float64(time.Millisecond)}
	k, retired := limits.Pick(f.conns, len(f.all), &f.fates, f.retired[:0])
	f.retired = retired
	links := m.links[:len(m.links):len(m.links)]
	for _, k := range retired {
		links[k].leave()
	}
	if k >= 0 {
		return links[k]
	}
	if k == connpool.NoConn && (f.links == 0 || !f.giveWay()) {
		return nil
	}
	l := &link{fleet: f, machine: m, used: now, open: map[string]*run{}, ends: map[string]bool{},
		probes: map[string]uint64{}}
	l.budget, l.patient, l.most = f.budget, f.connect, mostLinedUp
	l.quiet, l.until, l.fill = l.stale, func() time.Time { return time.Now().Add(idleLook) }, l.write
	m.links = append(m.links, l)
	f.all[l] = struct{}{}
	go l.serve()
	return l
}

// giveWay ends the connection that has been idle for longest, if there is one. It counts until it has ended, which is at once.
func (f *ExecutorClient) giveWay() bool {
	var oldest *link
	for l := range f.all {
		if l.up && !l.leaving && len(l.open)+len(l.probes) == 0 && (oldest == nil || l.used.Before(oldest.used)) {
			oldest = l
		}
	}
	if oldest != nil {
		oldest.leave()
	}
	return oldest != nil
}

// stale tells that a link has been unused for long.
func (l *link) stale() error {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if len(l.open) == 0 && len(l.probes) == 0 && time.Since(l.used) > l.fleet.idle {
		l.leaving = true
	}
	if l.leaving && len(l.open) == 0 {
		return errClosed
	}
	return nil
}

// Send puts an attempt on a connection of its executor, or holds it back for a time.
func (f *ExecutorClient) Send(shot dispatch.Attempt) (dispatch.RunningAttempt, float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[shot.Executor]
	if m == nil {
		return nil, 0
	}
	l := f.pick(m, shot.Request.ID)
	if l == nil {
		return nil, 0
	}
	wait := 0.0
	if at, ok := m.halted[shot.Request.ID]; ok {
		wait = max(0, at+apartMS-f.clock.Now())
	}
	f.seq++
	r := &run{fleet: f, link: l, attempt: shot, seq: f.seq}
	r.event = scheduler.Event{Kind: scheduler.AttemptEnded, Request: shot.Request.ID, Attempt: shot.Number}
	if l.signs > 0 {
		r.used = true
	}
	l.open[shot.Request.ID] = r
	r.held = wait > 0 || shot.Held
	if !r.held && !l.lineUp(r) {
		delete(l.open, shot.Request.ID)
		l.leave()
		return nil, 0
	}
	return r, wait
}

// Release lets an attempt go that was held back, unless it was called off meanwhile.
func (r *run) Release() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.held && r.link.open[r.attempt.Request.ID] == r {
		r.held = false
		r.link.lineUp(r) // on a connection that has ended meanwhile it never left: finish tells so
	}
}

// lineUp has the goroutine of the link write an attempt, or ask for the pages that are missing, once it is up. Nothing is put into
// bytes before that: what is called off, or may not begin any more, until the socket takes it has surely never run.
// Called under the fleet's lock.
func (l *link) lineUp(r *run) bool {
	l.pending = append(l.pending, r)
	return !l.up || l.rouse()
}

// write puts what is pending into bytes. It is the last step before the socket, and the last look at whether an attempt may
// begin: an attempt whose client has gone, whose executor drains, whose time is over, or whose holder lost its right never leaves.
func (l *link) write() {
	f := l.fleet
	f.mu.Lock()
	if len(l.pending) == 0 || l.busy() {
		f.mu.Unlock()
		return
	}
	var barred []dispatch.QueueItem
	for _, r := range l.pending {
		if l.open[r.attempt.Request.ID] != r {
			continue // called off
		}
		if r.pages != nil {
			l.more(r)
			continue
		}
		last := connpool.FinalCheck{ClientGone: r.attempt.Request.Abandoned(), ExecutorClosed: l.machine.closed, NowMS: f.clock.Now(), LatestStartMS: r.attempt.LatestStart,
			LeaseLost: r.attempt.Held && f.LeaseHeld != nil && !f.LeaseHeld()}
		if why := last.Reason(); why != 0 {
			f.Blocked.Add(1)
			delete(l.open, r.attempt.Request.ID)
			ev := r.event
			ev.Outcome, ev.Blocked = scheduler.NeverSent, why == connpool.LeaseLost
			barred = append(barred, dispatch.QueueItem{Event: ev})
			continue
		}
		l.fetch(r)
	}
	clear(l.pending)
	l.pending = l.pending[:0]
	l.settle()
	f.mu.Unlock()
	for _, it := range barred {
		f.queue.Put(it) // not under the lock
	}
}

// more asks for the pages that are missing; called under the fleet's lock.
func (l *link) more(r *run) {
	for k := 1; k < len(r.pages); k++ {
		if r.pages[k] == nil {
			l.say("more", r.attempt.Request.ID, strconv.Itoa(k))
		}
	}
}

// move asks for the rest of an answer over another connection, once: the request has run, and its pages are lost only
// when their executor ends. Run again, it would cost a further attempt. Called under the fleet's lock.
func (l *link) move(r *run) bool {
	f, m := l.fleet, l.machine
	if r.have == 0 || r.moved || f.machines[m.id] != m {
		return false
	}
	to := f.pick(m, r.attempt.Request.ID)
	if to == nil {
		return false
	}
	r.link, r.moved, r.signs = to, true, to.signs
	to.open[r.attempt.Request.ID] = r
	if !to.lineUp(r) {
		delete(to.open, r.attempt.Request.ID)
		to.leave()
		return false
	}
	f.Resumed.Add(1)
	return true
}

// fetch puts an attempt into bytes; called under the fleet's lock.
func (l *link) fetch(r *run) {
	s := r.attempt.Request
	l.used, r.signs = time.Now(), l.signs
	list := make([]byte, 0, 128)
	list = append(append(list, "profile="...), s.Class...)
	list = strconv.AppendInt(append(list, ",max="...), int64(max(1, s.Deadline-l.fleet.clock.Now())), 10)
	if s.IdempotencyKey != "" {
		list = append(append(list, ",replay="...), s.IdempotencyKey...)
	}
	if r.attempt.GrantMB > 0 {
		list = strconv.AppendInt(append(list, ",mb="...), int64(math.Ceil(r.attempt.GrantMB)), 10)
	}
	list = strconv.AppendInt(append(list, ",nice="...), int64(r.attempt.Level), 10)
	r.left = l.push(func(b []byte) []byte { return appendArray(b, "fetch", s.ID, string(list), string(s.Body)) })
}

func (l *link) say(words ...string) bool {
	l.used = time.Now()
	return l.push(func(b []byte) []byte { return appendArray(b, words...) })
}

// Cancel gives an attempt up.
func (r *run) Cancel() dispatch.CancelResult {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	l := r.link
	id := r.attempt.Request.ID
	if l.open[id] != r {
		return dispatch.AlreadyEnded
	}
	delete(l.open, id)
	defer l.settle()
	if !r.left && r.pages == nil {
		return dispatch.CancelledUnsent
	}
	if r.pages != nil { // only pages are still under way
		l.say("done", id)
	} else {
		l.say("abort", id)
	}
	now := l.fleet.clock.Now()
	for other, at := range l.machine.halted {
		if now > at+apartMS {
			delete(l.machine.halted, other)
		}
	}
	l.machine.halted[id] = now
	l.ended(id)
	// It may be the connection that is lost, not the executor: it gets nothing new, unless others still hear there.
	if len(l.open) == 0 || l.signs == r.signs {
		l.leaving = true
	}
	return dispatch.CancelSent
}

// ended keeps an id off this connection: what still comes for it here would pass for the next attempt's.
func (l *link) ended(id string) {
	l.ends[id] = true
	l.leaving = l.leaving || len(l.ends) >= mostRetired
}

// SetLevel changes the level of an attempt that runs.
func (r *run) SetLevel(level int) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	l := r.link
	r.attempt.Level = level
	if r.left && l.open[r.attempt.Request.ID] == r && r.pages == nil {
		l.say("renice", r.attempt.Request.ID, strconv.Itoa(level))
	}
}

// HealthCheck asks an executor for a sign of life, and for its load report where there are any.
func (f *ExecutorClient) HealthCheck(executor uint32, token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[executor]
	if m == nil {
		return false
	}
	l := f.pick(m, "")
	if l == nil {
		return false
	}
	tag := probeTag(token)
	l.probes[tag] = token
	if l.up && !l.say(f.probe, tag) {
		delete(l.probes, tag)
		l.leave()
		return false
	}
	return true
}

func probeTag(token uint64) string { return "probe-" + strconv.FormatUint(token, 10) }

// ForgetHealthCheck forgets a probe. A connection that left one unanswered gets no new attempts: on a new one a dead
// executor shows by never coming up, which proves that nothing ran.
func (f *ExecutorClient) ForgetHealthCheck(executor uint32, token uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[executor]; m != nil {
		for _, l := range m.links {
			if _, ok := l.probes[probeTag(token)]; ok {
				delete(l.probes, probeTag(token))
				l.leave()
			}
		}
	}
}

// ConnectionState tells what there is of an executor here.
func (f *ExecutorClient) ConnectionState(executor uint32) dispatch.ConnectionState {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[executor]
	if m == nil {
		return dispatch.ConnectionState{}
	}
	h, last := dispatch.ConnectionState{Name: m.name, Connections: len(m.links), IdleMS: -1}, time.Time{}
	for _, l := range m.links {
		if h.Attempts += len(l.open); l.used.After(last) {
			last = l.used
			h.IdleMS = float64(time.Since(last)) / float64(time.Millisecond)
		}
	}
	return h
}

// serve is the goroutine of a link: it connects, then reads until the end.
func (l *link) serve() {
	f := l.fleet
	f.Dials.Add(1)
	conn, err := f.dial("tcp", l.machine.address)
	if err != nil {
		f.DialFailures.Add(1)
		as := scheduler.ConnectFailed
		if isLocal(err) {
			f.LocalFailures.Add(1)
			as = scheduler.LocalFailure
		}
		l.finish(as)
		return
	}
	f.mu.Lock()
	l.conn, l.up = conn, true
	tags := make([]string, 0, len(l.probes))
	for tag := range l.probes {
		tags = append(tags, tag)
	}
	slices.Sort(tags)
	for _, tag := range tags {
		l.say(f.probe, tag)
	}
	l.settle()
	f.mu.Unlock()
	err = l.listen(bufio.NewReaderSize(&l.pipe, answerBuffer))
	if errors.Is(err, errMalformed) {
		f.Malformed.Add(1)
		f.log.WithFields(logrus.Fields{"executor": l.machine.name, "why": err}).Warn("executor: malformed answer")
	}
	l.close()
	if shots := l.finish(scheduler.ConnectionLost); shots > 0 {
		f.log.WithFields(logrus.Fields{"executor": l.machine.name, "why": err, "shots": shots, "messages": l.signs}).
			Info("executor: connection lost")
	}
}

// runs gives the open attempts in the order they were sent.
func (l *link) runs() []*run {
	list := make([]*run, 0, len(l.open))
	for _, r := range l.open {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// finish takes a link out, ends all that was open on it and tells how many attempts that were.
func (l *link) finish(as scheduler.Outcome) int {
	f := l.fleet
	f.mu.Lock()
	l.leaving = true
	delete(f.all, l)
	l.machine.links = slices.DeleteFunc(l.machine.links, func(o *link) bool { return o == l })
	runs := l.runs()
	for _, r := range runs {
		if r.left && l.signs == r.signs {
			f.fates.Record(r.used, true)
		}
	}
	var tokens []uint64
	for _, token := range l.probes {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	clear(l.open)
	clear(l.probes)
	l.pending = nil
	runs = slices.DeleteFunc(runs, l.move)
	f.mu.Unlock()
	for _, r := range runs {
		if r.event.Outcome = as; r.pages != nil {
			r.event.Outcome = scheduler.ConnectionLost // it ran, whatever became of the second connection
		} else if !r.left && as == scheduler.ConnectionLost {
			r.event.Outcome = scheduler.ConnectFailed // no byte of it left
		}
		f.queue.Put(dispatch.QueueItem{Event: r.event})
	}
	for _, token := range tokens {
		f.queue.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.HealthChecked, Executor: l.machine.id, Outcome: as}, Token: token})
	}
	return len(runs)
}

// listen reads answers until the connection ends.
func (l *link) listen(r *bufio.Reader) error {
	var parts [][]byte
	for {
		var err error
		if parts, err = readArray(r, parts); err != nil {
			return err
		}
		if len(parts) < 2 {
			return malformed("an answer of %d parts", len(parts))
		}
		parts = append(parts, nil, nil)[:4]
		item, ok, err := l.answer(string(parts[0]), string(parts[1]), string(parts[2]), parts[3])
		if err != nil {
			return err
		}
		if ok {
			l.fleet.queue.Put(item)
		}
	}
}

// ends are the words that end an attempt, with what they mean.
var ends = map[string]scheduler.Outcome{"full": scheduler.Overloaded, "failed": scheduler.Errored, "moot": scheduler.NeverSent}

// notes are the words of a remark.
var notes = map[string]scheduler.ProgressKind{"pct": scheduler.Progress, "overflow": scheduler.Spilling, "queued": scheduler.Waiting}

// answer takes one answer and gives what is to be told of it, if anything.
func (l *link) answer(id, word, list string, body []byte) (it dispatch.QueueItem, ok bool, err error) {
	a, err := readAnswer(list, l.fleet.reports)
	if err != nil {
		return it, false, err
	}
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	defer l.settle()
	l.used = time.Now()
	l.signs++
	if token, ok := l.probes[id]; ok && (word == "well" || word == "ill") {
		delete(l.probes, id)
		it = dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.HealthChecked, Executor: l.machine.id, LoadReport: a.report}, Token: token}
		if word == "ill" {
			it.Event.Outcome = scheduler.Errored
		}
		return it, true, nil
	}
	r := l.open[id]
	if r != nil && l.signs == r.signs+1 {
		f.fates.Record(r.used, false)
	}
	if r == nil { // an end told twice keeps its id off this connection all the same: it may be told a third time
		f.Strays.Add(1)
		return it, false, nil
	}
	switch outcome, end := ends[word]; {
	case end:
		r.event.Outcome, r.event.LoadReport = outcome, a.report
		delete(l.open, id)
		l.ended(id) // its second copy, some ms later, must not end the next attempt of this id
		return dispatch.QueueItem{Event: r.event}, true, nil
	case word == "news":
		kind := notes[a.remark]
		if kind == 0 {
			return it, false, nil
		}
		return dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.ProgressReported, Request: id, Attempt: r.attempt.Number, Executor: l.machine.id,
			Progress: kind, Value: a.value}}, true, nil
	case word == "data" && r.pages == nil:
		if a.pages < 1 || a.pages > mostPages {
			return it, false, malformed("an answer of %d pages", a.pages)
		}
		r.pages = make([][]byte, a.pages)
		r.event.LoadReport, r.event.CostMS, r.event.UsedMB = a.report, a.spent, a.used
		l.more(r)
		a.page = 0
	case word == "data", word == "page" && r.pages == nil:
		f.Strays.Add(1) // a second copy, or nothing that was asked for: the good answer still counts
		return it, false, nil
	case word != "page" || a.page < 1 || a.page >= len(r.pages):
		return it, false, malformed("an answer %q to a shot that has %d pages of %d", clip([]byte(word)), r.have,
			len(r.pages))
	case r.pages[a.page] != nil:
		f.Strays.Add(1)
		return it, false, nil
	}
	if !wholeRows(body) {
		return it, false, malformed("a page that is no rows: %q", clip(body))
	}
	if body == nil {
		body = []byte{}
	}
	r.pages[a.page], r.have, r.size = body, r.have+1, r.size+len(body)
	if r.size > mostAnswer {
		return it, false, malformed("an answer of over %d bytes", mostAnswer)
	}
	if r.have < len(r.pages) {
		return it, false, nil
	}
	if len(r.pages) > 1 {
		l.say("done", id)
		body = slices.Concat(r.pages...)
	}
	delete(l.open, id)
	return dispatch.QueueItem{Event: r.event, Body: body}, true, nil
}

// wholeRows tells whether a page is what pages are: lines of three columns of text. Another length may fit by chance
// where bytes were spoilt; what is passed on then is nothing that an executor made.
func wholeRows(page []byte) bool {
	if len(page) > 0 && page[len(page)-1] != '\n' || !utf8.Valid(page) {
		return false
	}
	tabs := 0
	for _, c := range page {
		switch {
		case c == '\t':
			tabs++
		case c == '\n' && tabs != columns-1, c < ' ' && c != '\n', c == 0x7f:
			return false
		case c == '\n':
			tabs = 0
		}
	}
	return true
}

// told is what the fields of an answer say.
type told struct {
	pages, page        int
	remark             string
	value, spent, used float64
	report             []float64
}

func readAnswer(list string, reports []string) (a told, err error) {
	a.pages, a.page = 1, -1
	err = fields(list, func(name, value string) (err error) {
		switch name {
		case "batches":
			a.pages, err = strconv.Atoi(value)
		case "batch":
			a.page, err = strconv.Atoi(value)
		case "remark":
			a.remark = value
		case "num":
			a.value, err = figure(value)
		case "cpu":
			a.spent, err = figure(value)
		case "used":
			a.used, err = figure(value)
		case "report":
			a.report = figures(value, reports)
		}
		if err != nil {
			return malformed("%s=%q", name, clip([]byte(value)))
		}
		return nil
	})
	return a, err
}

func figure(s string) (float64, error) {
	n, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(n) || math.IsInf(n, 0)) {
		err = errMalformed
	}
	return n, err
}

// figures reads a load report: name:value;name:value, in any order, or the values alone in the order of names,
// which are ours. What it does not name is 0. One that can't be read counts as none: it costs no answer.
func figures(s string, names []string) []float64 {
	list := make([]float64, len(names))
	for k, part := range strings.FieldsFunc(s, func(c rune) bool { return strings.ContainsRune(",; []", c) }) {
		name, value, named := strings.Cut(part, ":")
		if !named {
			value = name
		} else if k = slices.Index(names, settings.ReportName(name)); k < 0 {
			continue // more than the settings name
		}
		n, err := figure(value)
		if err != nil || k >= len(list) {
			return nil
		}
		list[k] = n
	}
	return list
}
