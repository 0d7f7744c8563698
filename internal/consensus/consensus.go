package consensus

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"strings"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// Council is one member's end of it: a voter, or one that only asks.
type Council struct {
	name     string
	life     uint64
	folder   string
	id       uint64 // 0: it has no disk, and never votes
	founders []string
	want     int // voters

	leaseMS, declareMS, replaceMS float64
	copies                        int // wanted of open work; 0: nobody keeps any

	now      float64
	node     *raft.RawNode
	log      *raft.MemoryStorage
	conf     *raftpb.ConfState
	record   Record
	applied  uint64
	snapped  uint64
	ready    *raft.Ready // what is being kept
	keeping  uint64
	tokens   uint64
	broken   bool
	reformed bool // who votes is another since the last snapshot
	seed     uint32
	drawn    uint64
	effects  []Effect

	tickAt, electAt, lookAt, helloAt, wakeAt float64
	lead                                     uint64
	leads                                    bool
	quietUntil                               float64 // nobody is declared lost before
	granted                                  map[string]float64
	goneAt                                   map[string]float64 // names, since when they are not seen
	doomed                                   map[string]uint64  // lives whose loss is proposed
	asking                                   []asking           // that wait until the leader knows that it leads
	reads                                    map[uint64][]asking
	hellos                                   map[string]Hello
	newcomer                                 Hello
	retiring                                 uint64 // the voter that the newcomer takes the place of
	move                                     [2]string
	proposedAt                               float64
	sights                                   map[string]Sight
	callers                                  map[uint64]string // voters that spoke to this one, which may not know the record yet

	// this controller's own lease
	askAt, askedAt, until float64
	asked                 uint64
	held                  bool
	leader                string // who is thought to lead, by name
	tries                 int
	askedOf               string
	astray                string // held for the leader by the library, and is not
}

// asking is somebody's wish for a lease.
type asking struct {
	name  string
	life  uint64
	token uint64
}

// New returns the end of a member. Folder names what it keeps on disk; without one it never votes. Founders are the names that found
// the council together; kept is what was on disk, if anything. Given: voters, lease_ms, declare_ms, replace_ms.
func New(now float64, name string, life uint64, folder string, founders []string, kept Kept, given scheduler.Given, seed uint32) *Council {
	c := &Council{name: name, life: life, folder: folder, founders: founders, now: now, seed: seed, want: int(given.Num("voters", 3)),
		leaseMS: given.Num("lease_ms", leaseMS), declareMS: given.Num("declare_ms", declareMS), replaceMS: given.Num("replace_ms", replaceMS),
		copies: int(given.Num("copies", 0)),
		record: Record{Places: map[string]Place{}}, granted: map[string]float64{}, goneAt: map[string]float64{}, doomed: map[string]uint64{},
		reads: map[uint64][]asking{}, hellos: map[string]Hello{}, sights: map[string]Sight{}, callers: map[uint64]string{}, wakeAt: now}
	c.tokens = uint64(c.chance() * (1 << 32))
	if folder != "" {
		c.id = Identity(name, folder)
	}
	if kept.Snap != nil {
		c.begin(kept)
	}
	return c
}

// chance draws from [0, 1), the same for the same seed.
func (c *Council) chance() float64 {
	c.drawn++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d/%d", c.seed, c.drawn))) / (1 << 32)
}

// begin starts to take part, with what is on disk.
func (c *Council) begin(kept Kept) {
	c.log = raft.NewMemoryStorage()
	if kept.Snap != nil {
		c.must(c.log.ApplySnapshot(kept.Snap))
		c.take(kept.Snap)
	}
	if kept.State != nil {
		c.must(c.log.SetHardState(kept.State))
	}
	c.must(c.log.Append(kept.Entries))
	node, err := raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: int(electMS / heartMS), HeartbeatTick: 1, Storage: c.log,
		Applied: c.applied, MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: quiet{},
		MaxUncommittedEntriesSize: 4 << 20, DisableProposalForwarding: true})
	if c.must(err); err == nil {
		c.node = node
	}
	c.tickAt, c.electAt = c.now, c.now+electMS*(1+c.chance())
}

// must stops this voter where the library finds that it can't go on.
func (c *Council) must(err error) {
	if err != nil {
		c.fail(err.Error())
	}
}

func (c *Council) fail(why string) {
	if !c.broken {
		c.broken = true
		c.do(Effect{Kind: Broken, Why: why})
	}
}

func (c *Council) do(e Effect) { c.effects = append(c.effects, e) }

// Next is when the council wants to be Ticked.
func (c *Council) Next() float64 { return c.wakeAt }

// Held tells whether this controller may act on its lease at a time. It is asked at the last step before anything leaves.
func (c *Council) Held(now float64) bool { return now < c.until }

// Until is when the lease ends, by this controller's clock.
func (c *Council) Until() float64 { return c.until }

// Hello is what this member says of itself.
func (c *Council) Hello() Hello {
	h := Hello{Name: c.name, Folder: c.folder, ID: c.id, Founding: c.record.Founding}
	h.Voter = c.conf != nil && slices.Contains(c.conf.GetVoters(), c.id)
	return h
}

// See takes what the view has of members; all of them if whole.
func (c *Council) See(list []Sight) {
	clear(c.sights)
	for _, s := range list {
		c.sights[s.Name] = s
	}
}

// Status tells how things stand.
func (c *Council) Status(now float64) Status {
	s := Status{Founded: c.conf != nil || len(c.record.Founding) > 0, Broken: c.broken, Leader: c.thought(), Applied: c.applied, Held: c.Held(now), LeftMS: max(0, c.until-now),
		Record: c.record}
	if c.node != nil {
		b := c.node.BasicStatus()
		s.Term, s.Commit = b.GetTerm(), b.GetCommit()
		s.Voter = c.Hello().Voter
		first, _ := c.log.FirstIndex()
		last, _ := c.log.LastIndex()
		s.Log = last + 1 - first
	}
	return s
}

// Step takes an event at a time in ms and gives what follows. The slice is good until the next call.
func (c *Council) Step(now float64, ev *Event) (effects []Effect) {
	c.effects = c.effects[:0]
	c.now = max(now, c.now)
	defer func() { // the library stops where its log and what it is told can't both be true: the process goes on without this voter
		if r := recover(); r != nil {
			c.fail(fmt.Sprint(r))
		}
		c.wake()
		effects = c.effects
	}()
	c.play(ev)
	c.tick()
	c.flush()
	return
}

func (c *Council) play(ev *Event) {
	switch ev.Kind {
	case Heard:
		c.heard(ev.Name, ev.Data)
	case Stored:
		c.stored(ev)
	case Asked:
		c.asks(ev)
	case Replied:
		c.replied(ev)
	case Met:
		c.met(&ev.Hello)
	case Relived:
		c.life, c.until, c.askAt = ev.Life, 0, c.now
	case GivenBack:
		c.until, c.asked, c.askAt = 0, 0, math.Inf(1)
	case Moved:
		c.move = [2]string{ev.Name, ev.To}
	case Proposed:
		c.proposed(ev.Data)
	}
}

// tick does what is due.
func (c *Council) tick() {
	if c.node == nil && c.id != 0 && !c.broken {
		c.found()
	}
	if c.node != nil && !c.broken {
		for ; c.now >= c.tickAt; c.tickAt += heartMS {
			if c.now > c.tickAt+2*electMS { // it stood still: that time is not played tick by tick
				c.tickAt = c.now
			}
			if c.leads {
				c.node.Tick()
			} else {
				c.node.TickQuiesced() // elections begin below, by this package's own chance
			}
		}
		if !c.leads && c.now >= c.electAt {
			c.electAt = c.now + electMS*(1+c.chance())
			if c.Hello().Voter {
				c.must(c.node.Campaign())
			}
		}
		if c.leads && c.now >= c.lookAt {
			c.lookAt = c.now + lookMS
			c.look()
		}
	}
	c.renew()
}

func (c *Council) wake() {
	c.wakeAt = c.askAt
	if c.held {
		c.wakeAt = min(c.wakeAt, c.until)
	}
	if c.asked != 0 {
		c.wakeAt = min(c.wakeAt, c.askedAt+answerMS)
	}
	if c.node != nil && !c.broken {
		c.wakeAt = min(c.wakeAt, c.tickAt)
		if !c.leads {
			c.wakeAt = min(c.wakeAt, c.electAt)
		}
	} else if c.node == nil && c.id != 0 && !c.broken && slices.Contains(c.founders, c.name) {
		c.wakeAt = min(c.wakeAt, c.helloAt)
	}
	c.wakeAt = max(c.wakeAt, c.now+1)
}

// ---- what is said among voters

// heard takes what a voter says.
func (c *Council) heard(from string, data []byte) {
	m := &raftpb.Message{}
	if c.id == 0 || c.broken || proto.Unmarshal(data, m) != nil || m.GetTo() != c.id {
		return // for a folder that is no more, or nothing that a voter says
	}
	if len(c.callers) > mostCallers {
		clear(c.callers)
	}
	c.callers[m.GetFrom()] = from
	if c.node == nil { // this one is to become a voter
		if t := m.GetType(); t != raftpb.MsgApp && t != raftpb.MsgSnap && t != raftpb.MsgHeartbeat {
			return
		}
		c.begin(Kept{})
		if c.node == nil {
			return
		}
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= c.node.BasicStatus().GetTerm() {
			c.electAt = c.now + electMS*(1+c.chance())
		}
	case raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgProp, raftpb.MsgCheckQuorum, raftpb.MsgTransferLeader:
		return // nothing that comes from outside
	}
	_ = c.node.Step(m) // what it does not want it says by an error; nothing follows from it
}

// flush takes what the library wants done: it is kept first, then said, then applied. One such batch is under way at a time.
func (c *Council) flush() {
	for c.node != nil && !c.broken && c.ready == nil && c.node.HasReady() {
		rd := c.node.Ready()
		c.ready = &rd
		if rd.SoftState != nil {
			c.led(rd.SoftState)
		}
		if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 || len(rd.Entries) > 0 || rd.HardState != nil {
			c.tokens++
			c.keeping = c.tokens
			e := Effect{Kind: Keep, Token: c.keeping, Entries: rd.Entries, State: rd.HardState}
			if rd.Snapshot.GetMetadata().GetIndex() > 0 {
				e.Snap = rd.Snapshot
			}
			c.do(e)
			return
		}
		c.finish()
	}
}

// stored hears what became of the batch.
func (c *Council) stored(ev *Event) {
	if c.ready == nil || ev.Token != c.keeping {
		return
	}
	if ev.Failed {
		c.fail("the disk of this voter does not take what must last")
		return
	}
	c.finish()
}

// finish says and applies what has been kept.
func (c *Council) finish() {
	rd := c.ready
	if rd.Snapshot.GetMetadata().GetIndex() > 0 {
		c.must(c.log.ApplySnapshot(rd.Snapshot))
		c.take(rd.Snapshot)
	}
	if rd.HardState != nil {
		c.must(c.log.SetHardState(rd.HardState))
	}
	c.must(c.log.Append(rd.Entries))
	for _, m := range rd.Messages {
		if data, err := proto.Marshal(m); err == nil {
			c.do(Effect{Kind: Say, To: c.nameOf(m.GetTo()), Data: data})
		}
		if m.GetType() == raftpb.MsgSnap { // whether it arrives shows by what the other asks for next
			c.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	for _, e := range rd.CommittedEntries {
		c.apply(e)
	}
	for _, r := range rd.ReadStates {
		c.confirmed(r)
	}
	c.ready, c.keeping = nil, 0
	c.node.Advance(*rd)
	c.compact()
}

func (c *Council) nameOf(id uint64) string {
	for _, v := range slices.Concat(c.record.Voters, c.record.Founding) {
		if v.ID == id {
			return v.Name
		}
	}
	if id == c.newcomer.ID {
		return c.newcomer.Name
	}
	return c.callers[id]
}

// led takes who leads now.
func (c *Council) led(s *raft.SoftState) {
	leads := s.RaftState == raft.StateLeader
	if leads && !c.leads { // what the one before it granted is not known here
		c.quietUntil = c.now + c.leaseMS*(1+2*drift)
		clear(c.granted)
		clear(c.goneAt)
		clear(c.doomed)
		c.newcomer, c.retiring, c.proposedAt, c.lookAt = Hello{}, 0, 0, c.now
	}
	if !leads && c.leads {
		for _, a := range c.drain() {
			c.do(Effect{Kind: Answer, Token: a.token, Reply: Reply{Verdict: NotLeader}})
		}
		c.electAt = c.now + electMS*(1+c.chance())
	}
	if c.leads = leads; s.Lead != c.lead {
		c.lead, c.astray = s.Lead, ""
		c.do(Effect{Kind: Led, Name: c.leaderName()})
	}
}

// drain gives all askings that wait.
func (c *Council) drain() []asking {
	all := c.asking
	tokens := make([]uint64, 0, len(c.reads))
	for t := range c.reads {
		tokens = append(tokens, t)
	}
	slices.Sort(tokens)
	for _, t := range tokens {
		all = append(all, c.reads[t]...)
	}
	c.asking = nil
	clear(c.reads)
	return all
}

func (c *Council) leaderName() string {
	if c.lead == 0 {
		return ""
	}
	return c.nameOf(c.lead)
}

// compact makes the log into a snapshot where it is long, so that neither disk nor memory grows.
func (c *Council) compact() {
	if c.applied < c.snapped+keepLog && !c.reformed { // a newcomer's first snapshot has to name it
		return
	}
	c.reformed = false
	data, err := json.Marshal(&c.record)
	if err != nil {
		c.must(err)
		return
	}
	snap, err := c.log.CreateSnapshot(c.applied, c.conf, data)
	if err != nil {
		c.must(err)
		return
	}
	c.snapped = c.applied
	if first, err := c.log.FirstIndex(); err == nil && c.applied > keepTail+first {
		c.must(c.log.Compact(c.applied - keepTail))
	}
	c.do(Effect{Kind: Keep, Snap: snap}) // nobody waits for it
}

// ---- founding

// found greets the other founders until each has said which folder it votes with, then begins with all of them: each comes to the
// same beginning by itself.
func (c *Council) found() {
	if !slices.Contains(c.founders, c.name) || c.now < c.helloAt {
		return
	}
	c.helloAt = c.now + helloMS*(0.75+0.5*c.chance())
	for _, name := range c.founders {
		if name != c.name {
			c.do(Effect{Kind: Greet, To: name})
		}
	}
}

// met takes what another says of itself.
func (c *Council) met(h *Hello) {
	if c.leads {
		c.meetNewcomer(h)
		return
	}
	if c.node != nil || c.id == 0 || !slices.Contains(c.founders, c.name) {
		return
	}
	if len(h.Founding) > 0 { // the council is there
		if slices.ContainsFunc(h.Founding, func(v Voter) bool { return v.ID == c.id }) {
			c.enact(h.Founding)
		}
		return // else this folder is a later one: it waits to be made a voter
	}
	if h.Folder == "" || !slices.Contains(c.founders, h.Name) {
		return
	}
	c.hellos[h.Name] = *h
	voters := []Voter{{ID: c.id, Name: c.name}}
	for _, name := range c.founders {
		if other, met := c.hellos[name]; met {
			voters = append(voters, Voter{ID: Identity(name, other.Folder), Name: name})
		}
	}
	if len(voters) == len(c.founders) {
		c.enact(sortVoters(voters))
	}
}

// enact begins with the founders.
func (c *Council) enact(founding []Voter) {
	r := Record{Places: map[string]Place{}, Voters: founding, Founding: founding}
	data, err := json.Marshal(&r)
	if err != nil {
		c.must(err)
		return
	}
	conf := &raftpb.ConfState{}
	for _, v := range founding {
		conf.Voters = append(conf.Voters, v.ID)
	}
	slices.Sort(conf.Voters)
	snap := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	state := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	c.do(Effect{Kind: Keep, Snap: snap, State: state})
	c.begin(Kept{Snap: snap, State: state})
	c.do(Effect{Kind: Founded})
}

// take goes on from a snapshot.
func (c *Council) take(snap *raftpb.Snapshot) {
	r := Record{}
	if err := json.Unmarshal(snap.GetData(), &r); err != nil {
		c.must(err)
		return
	}
	if r.Places == nil {
		r.Places = map[string]Place{}
	}
	before := c.record.Places
	c.record, c.conf = r, snap.GetMetadata().GetConfState()
	c.applied, c.snapped = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	names := make([]string, 0, len(r.Places))
	for name := range r.Places {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if p := r.Places[name]; p != before[name] {
			c.told(name, p)
		}
	}
	if r.Chairs.Copies > 0 {
		c.do(Effect{Kind: Reseated})
	}
	if r.Number > 0 || len(r.Orders) > 0 {
		c.do(Effect{Kind: Replanned})
	}
}

// Roll gives the places and a copy of the table of chairs, where anybody keeps copies.
func (c *Council) Roll() ([]placement.Place, placement.Table) {
	return c.record.places(), c.record.Chairs.Clone()
}

// Roll gives the same of a record that came from elsewhere.
func (r *Record) Roll() ([]placement.Place, placement.Table) { return r.places(), r.Chairs.Clone() }

// told says what has become of a name.
func (c *Council) told(name string, p Place) {
	kind := Admitted
	if p.Lost {
		kind = Declared
	}
	c.do(Effect{Kind: kind, Name: name, Life: p.Life, Term: p.Term, Why: whyOf(p)})
}

func whyOf(p Place) string {
	if p.Left {
		return "it left"
	}
	return ""
}

// quiet is the library's log, which says nothing; what matters is told by effects.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Fatal(v ...any)          { panic(strings.TrimSpace(fmt.Sprintln(v...))) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any)            { panic(strings.TrimSpace(fmt.Sprintln(v...))) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
