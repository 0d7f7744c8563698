package membership

import (
	"hash/crc32"
	"math"
	"slices"
)

const (
	// Probing. The times are those of a fleet on one site; the operators' file may name others.
	probeMS    = 500  // between two probes of this controller, each of another member
	answerMS   = 200  // until a probe is taken to others: many times the way there, less than half of probeMS
	helpers    = 3    // members that are asked to probe in one's stead: with a tenth of all messages lost, 1 in 25 fails still
	nackShare  = 0.8  // share of the time left after which a helper says that it has heard nothing
	manyLeast  = 2    // suspects at a time, and
	manyShare  = 0.05 // of all, from which on one looks faster: who goes with others would be found last
	manyFaster = 3.0
	mostHealth = 5 // steps by which a member that is slow itself waits longer

	// Suspicion.
	suspectMS   = 2500 // least time to say that one is here: a stall of two seconds is borne
	suspectLogs = 2.0  // probe intervals for each tenfold of members, where that is more: news needs them
	suspectMost = 6.0  // times the least time, while only one accuses: three in a row seldom err together
	accusers    = 3    // who bring it down to the least
	mostProbes  = 8    // under way at a time
	inquireMS   = 900  // before one is given up: others are asked whether they have heard from it since, each gossipMS
	inquireOf   = 2    // so many each time: nine answers in all, of which one in five is lost on a network that loses a tenth
	mostInquire = 16   // suspects at a time
	mostHeld    = 4    // suspects that a probe tells of, and corrections that its answer brings
	lookers     = 5.0  // members that look for themselves where one is accused, of all: the news finds its subject, or accusers

	// News.
	gossipMS     = 200 // between rounds of news, while there are any
	gossipTo     = 3   // members that each round goes to
	newsLogs     = 4   // times that news is told, for each tenfold of members
	exchangeMS   = 30000
	equalViews   = 3    // in a row that are one's own, after which there is no news
	calmMS       = 2000 // without news after which views that differ are exchanged
	hotChanges   = 3    // changes by one exchange after which another follows at once: two halves meet
	hotRounds    = 3    // so many
	returnMS     = 2000 // between tries to reach a seed, or one that is gone: parted halves meet again within it
	cutShare     = 0.1  // share of all that go within cutMS after which it may be oneself who is cut off
	cutLeast     = 3
	cutMS        = 5000
	twinMS       = 5000 // without a word of a twin after which there is none
	joinAloneMS  = 3000 // without any answer of the seeds after which one is the first
	mostAsked    = 256  // probes in others' stead that are kept
	forgetMS     = 2 * 3600e3
	stallMS      = 400 // by which a tick is late only if the whole controller stood still
	mistrustMS   = 1000
	mostMembers  = 4096
	keptEvidence = 12
)

// asked is a probe that is under way in somebody's stead.
type asked struct {
	to     string
	number uint64 // theirs
	until  float64
	nackAt float64
}

// member is a Member with what this view goes by.
type member struct {
	Member
	tells     int // how often news of it is still to be told
	queued    bool
	accusers  []string
	accusedAt float64
	until     float64 // while it is Suspect
	hurried   bool
	hash      uint64
	evidence  []Evidence
}

// probe is one that this controller has out.
type probe struct {
	of       *member
	number   uint64
	indirect bool
	nacks    int
	answered bool
	indirAt  float64
	endAt    float64
}

// View is one controller's view.
type View struct {
	fleet   string
	now     float64
	self    *member
	seeds   []string
	byName  map[string]*member
	names   []string  // all of them, sorted: no map order reaches an effect
	ring    []*member // in the order in which they are probed
	next    int
	news    []*member // to be told, the next first
	probes  []probe
	stead   map[uint64]asked
	numbers uint64
	hash    uint64
	health  int
	seed    uint32
	drawn   uint64
	living  int       // others
	accused []*member // those that are Suspect, and some that were
	effects []Effect

	probeMS, answerMS, suspectMS, exchangeMS float64
	most                                     int
	selfAware                                bool

	probeAt, gossipAt, exchangeAt, returnAt, calmAt, wakeAt float64
	joinedBy, trustAt, cutAt, twinAt, sweepAt               float64
	hot, gones, equal                                       int
	twin                                                    Member
	counts                                                  Counts
}

// New returns the view of a controller that has just started and knows its seeds alone.
func New(now float64, fleet string, self Member, seeds []string, settings Settings, seed uint32) *View {
	self.State, self.Since = Joining, now
	self.Refutation = max(1, self.Refutation)
	v := &View{fleet: fleet, now: now, byName: map[string]*member{}, stead: map[uint64]asked{}, seed: seed,
		probeMS: settings.ProbeMS, answerMS: settings.AnswerMS, suspectMS: settings.SuspectMS, exchangeMS: settings.ExchangeMS,
		most: settings.MaxMembers, selfAware: !settings.IgnoreOwnHealth}
	for _, s := range seeds {
		if s != self.Address && !slices.Contains(v.seeds, s) {
			v.seeds = append(v.seeds, s)
		}
	}
	v.self = &member{Member: self}
	v.byName[self.Name], v.names = v.self, []string{self.Name}
	v.numbers = uint64(v.chance() * (1 << 40)) // answers to a former life of this name match nothing
	v.rehash(v.self)
	v.probeAt, v.gossipAt = now+v.chance()*v.probeMS, now
	v.exchangeAt, v.returnAt, v.joinedBy = now+v.exchangeMS*v.chance(), now, now+joinAloneMS
	v.sweepAt, v.wakeAt = now+cutMS, now
	return v
}

// chance draws from [0, 1), the same for the same seed.
func (v *View) chance() float64 {
	var b [12]byte
	v.drawn++
	for k := range 8 {
		b[k] = byte(v.drawn >> (8 * k))
	}
	for k := range 4 {
		b[8+k] = byte(v.seed >> (8 * k))
	}
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// Next is when the view wants to be Ticked.
func (v *View) Next() float64 { return v.wakeAt }

// Self is this controller as it tells of itself.
func (v *View) Self() Member { return v.self.Member }

// Size is how many others are living.
func (v *View) Size() int { return v.living }

// Present is how many controllers there are to go by where that bounds what each may do, this one among them. One that hears fewer
// than half of those that have not left takes it that it is cut off, and goes by all of them.
func (v *View) Present() float64 {
	known := 0
	for _, m := range v.byName {
		known += count(m.State != Left && m.State != Unknown)
	}
	if here := v.living + 1; 2*here > known {
		return float64(here)
	}
	return float64(known)
}

// Hash is equal where two views are.
func (v *View) Hash() uint64 { return v.hash }

// Counts gives the counters.
func (v *View) Counts() Counts { return v.counts }

// Health tells how slow this controller takes itself to be; 0: not at all.
func (v *View) Health() int { return v.health }

// Members gives all that the view holds, by name, the controller itself among them.
func (v *View) Members() []Member {
	list := make([]Member, 0, len(v.names))
	for _, name := range v.names {
		list = append(list, v.byName[name].Member)
	}
	return list
}

// Find gives one member by its name.
func (v *View) Find(name string) (Member, bool) {
	if m := v.byName[name]; m != nil {
		return m.Member, true
	}
	return Member{}, false
}

// Explain gives what was noticed of a member lately, the oldest first.
func (v *View) Explain(name string) []Evidence {
	if m := v.byName[name]; m != nil {
		return slices.Clone(m.evidence)
	}
	return nil
}

// Step takes an event at a time in ms and gives what follows. The slice is good until the next call.
func (v *View) Step(now float64, ev *Event) []Effect {
	v.effects = v.effects[:0]
	late := now - max(v.wakeAt, v.now)
	v.now = max(now, v.now)
	if late > stallMS {
		v.stood(late)
	}
	switch ev.Kind {
	case DatagramReceived:
		v.heard(ev)
	case ExchangeRequested:
		v.exchanged(ev, true)
	case ExchangeAnswered:
		v.exchanged(ev, false)
	case ExchangeFailed:
	case FlagsChanged:
		v.mark(ev.Flags&^(Duplicated|Stalled) | v.self.Flags&(Duplicated|Stalled))
	case IncarnationRaised:
		v.relive(v.self.Incarnation + 1)
	case LeaveStarted:
		v.say(Leaving)
	case LeaveFinished:
		v.say(Left)
		v.farewell()
	}
	v.tick()
	return v.effects
}

// tick does what is due.
func (v *View) tick() {
	if v.self.State == Left {
		v.wakeAt = math.Inf(1)
		return
	}
	if v.self.State == Joining && v.living == 0 && v.now >= v.joinedBy {
		v.say(Alive) // nobody is there: the first one
	}
	v.watchProbes()
	if v.now >= v.probeAt {
		v.ask()
	}
	v.endSuspicions()
	v.endStead()
	if v.now >= v.gossipAt {
		v.gossipAt = v.now + gossipMS
		v.spread()
		v.inquire()
	}
	if v.now >= v.returnAt {
		v.returnAt = v.now + returnMS*(0.5+v.chance())
		v.seekLost()
	}
	if v.now >= v.exchangeAt {
		v.exchangeAt = v.now + v.exchangeMS*(0.5+v.chance())
		if v.hot > 0 {
			v.hot--
			v.exchangeAt = v.now + v.probeMS*(0.5+v.chance())
		}
		if m := v.anyone(nil); m != nil {
			v.exchange(m.Address)
		}
	}
	if v.now >= v.sweepAt {
		v.sweep()
	}
	v.wakeAt = min(v.probeAt, v.returnAt, v.exchangeAt, v.sweepAt)
	if len(v.news) > 0 || v.suspects() > 0 {
		v.wakeAt = min(v.wakeAt, v.gossipAt)
	}
	for k := range v.probes {
		if v.wakeAt = min(v.wakeAt, v.probes[k].endAt); !v.probes[k].indirect {
			v.wakeAt = min(v.wakeAt, v.probes[k].indirAt)
		}
	}
	for _, m := range v.accused {
		if m.State == Suspect {
			v.wakeAt = min(v.wakeAt, max(m.until, v.trustAt))
		}
	}
	for _, a := range v.stead {
		if v.wakeAt = min(v.wakeAt, a.until); a.nackAt > 0 {
			v.wakeAt = min(v.wakeAt, a.nackAt)
		}
	}
	v.wakeAt = max(v.wakeAt, v.now)
}

// ---- probes

// slower stretches a time for one that is slow itself.
func (v *View) slower(ms float64) float64 { return ms * float64(1+v.health) }

func (v *View) trust(steps int) {
	if v.selfAware {
		v.health = min(mostHealth, max(0, v.health+steps))
	}
}

// ask probes the next member in the ring.
func (v *View) ask() {
	v.probeAt = v.now + v.slower(v.probeMS)
	if n := len(v.accused); n >= manyLeast && float64(n) >= manyShare*float64(v.living) {
		v.probeAt = v.now + v.slower(v.probeMS/manyFaster)
	}
	for range len(v.ring) + 1 {
		if v.next >= len(v.ring) {
			v.next = 0
			for k := len(v.ring) - 1; k > 0; k-- {
				j := int(v.chance() * float64(k+1))
				v.ring[k], v.ring[j] = v.ring[j], v.ring[k]
			}
			if len(v.ring) == 0 {
				return
			}
		}
		m := v.ring[v.next]
		v.next++
		if m.State.IsLive() && v.probeOf(m) {
			return
		}
	}
}

// probeOf probes a member, unless that is under way.
func (v *View) probeOf(m *member) bool {
	if len(v.probes) >= mostProbes || slices.ContainsFunc(v.probes, func(p probe) bool { return p.of == m }) {
		return false
	}
	v.numbers++
	v.counts.Probes++
	v.probes = append(v.probes, probe{of: m, number: v.numbers, indirAt: v.now + v.slower(v.answerMS),
		endAt: v.now + v.slower(v.probeMS)})
	v.send(m, &message{kind: ping, number: v.numbers, target: m.Name, life: m.Incarnation, news: v.held()}, m)
	return true
}

// watchProbes takes probes to others, and ends them.
func (v *View) watchProbes() {
	for k := 0; k < len(v.probes); k++ {
		p := v.probes[k]
		if !p.answered && p.of.State.IsLive() && v.now < p.endAt {
			if !p.indirect && v.now >= p.indirAt {
				v.indirect(&v.probes[k])
			}
			continue
		}
		v.probes = append(v.probes[:k], v.probes[k+1:]...)
		k--
		if p.answered || !p.of.State.IsLive() {
			continue
		}
		v.counts.Unanswered++
		if p.nacks == 0 { // one helper that hears us and says so tells that it is not us
			v.trust(1)
		}
		v.note(p.of, "no answer to a probe, nor by way of others", v.self.Name)
		v.input(p.of, silent, &Member{Name: p.of.Name, Incarnation: p.of.Incarnation, Refutation: p.of.Refutation, State: Suspect, AccusedBy: v.self.Name})
	}
}

// indirect asks others to probe a member that has not answered.
func (v *View) indirect(p *probe) {
	p.indirect = true
	v.counts.Indirect++
	var with []*member
	for range helpers {
		if h := v.anyone(func(m *member) bool { return m == p.of || m.State != Alive || slices.Contains(with, m) }); h != nil {
			with = append(with, h)
			v.send(h, &message{kind: request, number: p.number, target: p.of.Address, life: p.of.Incarnation}, p.of)
		}
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// anyone draws a living member that is not left out.
func (v *View) anyone(out func(*member) bool) *member {
	if v.living == 0 {
		return nil
	}
	at := int(v.chance() * float64(len(v.ring)))
	for k := range v.ring {
		m := v.ring[(at+k)%len(v.ring)]
		if m.State.IsLive() && m.State != Suspect && (out == nil || !out(m)) {
			return m
		}
		if k > 64 { // far past what is usual: most are gone
			at = int(v.chance() * float64(len(v.ring)))
		}
	}
	return nil
}

// endStead ends probes in others' stead.
func (v *View) endStead() {
	for n, a := range v.stead {
		if v.now >= a.until {
			delete(v.stead, n)
		}
	}
	if len(v.stead) == 0 {
		return
	}
	var late []uint64
	for n, a := range v.stead {
		if a.nackAt > 0 && v.now >= a.nackAt {
			late = append(late, n)
		}
	}
	slices.Sort(late) // no map order reaches an effect
	for _, n := range late {
		a := v.stead[n]
		a.nackAt = 0
		v.stead[n] = a
		v.sendTo(a.to, &message{kind: nack, number: a.number}, nil)
	}
}

// heard takes a datagram.
func (v *View) heard(ev *Event) {
	m, ok := v.read(ev.Data)
	if !ok {
		return
	}
	if m.own.Name == v.self.Name {
		if m.own.Address != v.self.Address || m.own.Incarnation != v.self.Incarnation {
			v.heardTwin(&m.own, true)
		}
		if m.kind == ping {
			v.sendTo(ev.From, &message{kind: ack, number: m.number}, nil)
		}
		return
	}
	knew := v.byName[m.own.Name]
	wasGone := knew != nil && knew.State == Dead
	v.merge(&m.own, m.own.Name)
	var known []Member
	for k := range m.news {
		if v.merge(&m.news[k], m.own.Name); m.kind == ping {
			known = v.correct(known, &m.news[k])
		}
	}
	if m.kind == ping || m.kind == ack { // rounds of news go where news is, and say nothing of the rest
		v.quieten(m.hash)
	}
	from := v.byName[m.own.Name]
	if wasGone && knew.State.IsLive() { // one was cut off from the other: what each holds of all is compared at once
		v.exchange(knew.Address)
		v.warm()
	}
	switch m.kind {
	case ping:
		if m.target != "" && (m.target != v.self.Name || m.life > v.self.Incarnation) {
			v.counts.Stale++ // meant for another that had this address
			return
		}
		v.sendTo(ev.From, &message{kind: ack, number: m.number, target: v.self.Name, life: v.self.Incarnation, news: known}, from)
		v.compare(m.hash, from)
	case ack:
		v.acked(&m, from)
	case request:
		if len(v.stead) < mostAsked {
			v.numbers++
			left := v.slower(v.probeMS - v.answerMS)
			v.stead[v.numbers] = asked{to: ev.From, number: m.number, until: v.now + 2*left, nackAt: v.now + nackShare*left/2}
			v.sendTo(m.target, &message{kind: ping, number: v.numbers, life: m.life}, nil)
		}
	case nack:
		if p := v.probeNumbered(m.number); p != nil {
			p.nacks++
		}
	}
}

func (v *View) probeNumbered(n uint64) *probe {
	for k := range v.probes {
		if v.probes[k].number == n {
			return &v.probes[k]
		}
	}
	return nil
}

// acked takes an answer to a probe of ours, or to one in somebody's stead.
func (v *View) acked(m *message, from *member) {
	if p := v.probeNumbered(m.number); p != nil {
		if !p.answered {
			p.answered = true
			v.trust(-1)
		}
		v.compare(m.hash, from)
		return
	}
	if a, ok := v.stead[m.number]; ok && from != nil {
		delete(v.stead, m.number)
		v.sendTo(a.to, &message{kind: ack, number: a.number, news: []Member{from.Member}}, nil)
		return
	}
	if from != nil && v.self.State == Joining {
		v.exchange(from.Address)
	}
	v.counts.Stale++
}

// read takes a message apart and counts what is none.
func (v *View) read(data []byte) (message, bool) {
	m, err := parse(v.fleet, data)
	switch err {
	case nil:
		v.counts.Heard++
		return m, true
	case errForeign:
		v.counts.Foreign++
	case errNewer:
		v.counts.Newer++
	default:
		v.counts.Malformed++
	}
	return m, false
}

// ---- own slowness

// stood is called when this controller stood still: nobody is judged by what was not heard meanwhile.
func (v *View) stood(ms float64) {
	v.counts.Stalls++
	v.effects = append(v.effects, Effect{Kind: SelfStalled, MS: ms})
	if !v.selfAware {
		return
	}
	v.probes = v.probes[:0]
	v.health = min(mostHealth, v.health+1+int(ms/v.probeMS))
	for _, m := range v.accused {
		if m.State == Suspect {
			m.until += ms
			m.accusedAt += ms
		}
	}
	v.trustAt = v.now + mistrustMS
	if ms >= v.suspectMS/2 && v.self.State != Leaving { // it may have been given up meanwhile: said at once that it is here
		v.self.Refutation++
		v.mark(v.self.Flags | Stalled)
		v.tellAll(v.self)
		v.warm()
	}
}

// mark sets this controller's own marks.
func (v *View) mark(marks Flags) {
	if marks == v.self.Flags {
		return
	}
	v.self.Flags = marks
	v.self.Refutation++
	v.rehash(v.self)
	v.tellAll(v.self)
	v.effects = append(v.effects, Effect{Kind: MemberChanged, Member: v.self.Member, From: v.self.State, Reason: "its own word"})
}

// say gives this controller's own phase out.
func (v *View) say(p State) {
	if v.self.State == p || v.self.State == Left || v.self.State == Leaving && p == Alive {
		return
	}
	was := v.self.State
	v.self.State, v.self.Since = p, v.now
	v.self.Refutation++
	v.rehash(v.self)
	v.tellAll(v.self)
	v.effects = append(v.effects, Effect{Kind: MemberChanged, Member: v.self.Member, From: was, Reason: "its own word"})
}

// farewell tells some at once that this controller has left.
func (v *View) farewell() {
	var told []*member
	for range 2 * gossipTo {
		if m := v.anyone(func(m *member) bool { return slices.Contains(told, m) }); m != nil {
			told = append(told, m)
			v.send(m, &message{kind: gossip}, nil)
		}
	}
}

// ---- twins

// heardTwin takes news of this controller's own name with another life or address: a former life of its own, or another process
// that bears its name. Directly heard, it is one that lives.
func (v *View) heardTwin(m *Member, direct bool) {
	if !direct {
		if m.Incarnation <= v.self.Incarnation || m.State == Left {
			return // a former one
		}
		if m.Address == v.self.Address {
			v.relive(m.Incarnation + 1) // it was here itself, while its clock was ahead
			return
		}
		if v.now >= v.twinAt { // asked whether it lives, before anything is taken from it
			v.twinAt = v.now + v.probeMS
			v.numbers++
			v.sendTo(m.Address, &message{kind: ping, number: v.numbers}, nil)
			if v.twin.Incarnation < m.Incarnation {
				v.twin = *m
				v.twin.Since = v.now
			}
		}
		return
	}
	if m.Address == v.self.Address {
		if m.Incarnation > v.self.Incarnation {
			v.relive(m.Incarnation + 1)
		}
		return // an echo of a former life, or of itself
	}
	if v.twin = *m; v.self.Flags&Duplicated == 0 {
		v.counts.DuplicateNames++
		v.effects = append(v.effects, Effect{Kind: DuplicateName, Member: *m, Reason: "another process bears this name"})
		v.mark(v.self.Flags | Duplicated)
	}
	v.twin.Since, v.twin.State = v.now, Alive
}

// relive takes on a later life than the fleet has heard of.
func (v *View) relive(life uint64) {
	v.self.Incarnation, v.self.Refutation = life, v.self.Refutation+1
	v.rehash(v.self)
	v.tellAll(v.self)
	v.effects = append(v.effects, Effect{Kind: SelfIncarnationRaised, Member: v.self.Member})
}

// watchTwin asks after a twin, and ends it once it is not heard of any more.
func (v *View) watchTwin() {
	if v.twin.Incarnation == 0 && v.twin.Address == "" {
		return
	}
	if v.now-v.twin.Since < twinMS {
		v.numbers++
		v.sendTo(v.twin.Address, &message{kind: ping, number: v.numbers}, nil)
		return
	}
	was := v.twin
	v.twin = Member{}
	if was.Incarnation >= v.self.Incarnation { // others know the later life alone
		v.relive(was.Incarnation + 1)
	}
	if v.self.Flags&Duplicated != 0 {
		v.effects = append(v.effects, Effect{Kind: DuplicateName, Member: was, Reason: "it is not heard of any more"})
		v.mark(v.self.Flags &^ Duplicated)
	}
}
