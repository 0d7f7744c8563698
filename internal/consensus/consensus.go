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
)

// Group is one member's end of it: a voter, or one that only asks.
type Group struct {
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
	sights                                   map[string]Observation
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
func New(now float64, name string, life uint64, folder string, founders []string, kept PersistedState, settings Settings, seed uint32) *Group {
	c := &Group{name: name, life: life, folder: folder, founders: founders, now: now, seed: seed, want: settings.Voters,
		leaseMS: settings.LeaseMS, declareMS: settings.DeclareLostMS, replaceMS: settings.ReplaceVoterMS, copies: settings.Copies,
		record: Record{Members: map[string]Member{}}, granted: map[string]float64{}, goneAt: map[string]float64{}, doomed: map[string]uint64{},
		reads: map[uint64][]asking{}, hellos: map[string]Hello{}, sights: map[string]Observation{}, callers: map[uint64]string{}, wakeAt: now}
	c.tokens = uint64(c.chance() * (1 << 32))
	if folder != "" {
		c.id = NodeID(name, folder)
	}
	if kept.Snapshot != nil {
		c.begin(kept)
	}
	return c
}

// chance draws from [0, 1), the same for the same seed.
func (c *Group) chance() float64 {
	c.drawn++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d/%d", c.seed, c.drawn))) / (1 << 32)
}

// begin starts to take part, with what is on disk.
func (c *Group) begin(kept PersistedState) {
	c.log = raft.NewMemoryStorage()
	if kept.Snapshot != nil {
		c.must(c.log.ApplySnapshot(kept.Snapshot))
		c.take(kept.Snapshot)
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
func (c *Group) must(err error) {
	if err != nil {
		c.fail(err.Error())
	}
}

func (c *Group) fail(why string) {
	if !c.broken {
		c.broken = true
		c.do(Effect{Kind: VoterFailed, Reason: why})
	}
}

func (c *Group) do(e Effect) { c.effects = append(c.effects, e) }

// Next is when the council wants to be Ticked.
func (c *Group) Next() float64 { return c.wakeAt }

// LeaseHeld tells whether this controller may act on its lease at a time. It is asked at the last step before anything leaves.
func (c *Group) LeaseHeld(now float64) bool { return now < c.until }

// LeaseUntil is when the lease ends, by this controller's clock.
func (c *Group) LeaseUntil() float64 { return c.until }

// Hello is what this member says of itself.
func (c *Group) Hello() Hello {
	h := Hello{Name: c.name, Folder: c.folder, ID: c.id, Founders: c.record.Founders}
	h.Voter = c.conf != nil && slices.Contains(c.conf.GetVoters(), c.id)
	return h
}

// Observe takes what the view has of members; all of them if whole.
func (c *Group) Observe(list []Observation) {
	clear(c.sights)
	for _, s := range list {
		c.sights[s.Name] = s
	}
}

// Status tells how things stand.
func (c *Group) Status(now float64) Status {
	s := Status{Formed: c.conf != nil || len(c.record.Founders) > 0, Failed: c.broken, Leader: c.thought(), Applied: c.applied, LeaseHeld: c.LeaseHeld(now), LeaseLeftMS: max(0, c.until-now),
		Record: c.record}
	if c.node != nil {
		b := c.node.BasicStatus()
		s.Term, s.Commit = b.GetTerm(), b.GetCommit()
		s.Voter = c.Hello().Voter
		first, _ := c.log.FirstIndex()
		last, _ := c.log.LastIndex()
		s.LogEntries = last + 1 - first
	}
	return s
}

// Step takes an event at a time in ms and gives what follows. The slice is good until the next call.
func (c *Group) Step(now float64, ev *Event) (effects []Effect) {
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

func (c *Group) play(ev *Event) {
	switch ev.Kind {
	case MessageReceived:
		c.heard(ev.Name, ev.Data)
	case Stored:
		c.stored(ev)
	case LeaseRequested:
		c.asks(ev)
	case LeaseReplied:
		c.replied(ev)
	case HelloReceived:
		c.met(&ev.Hello)
	case IncarnationChanged:
		c.life, c.until, c.askAt = ev.Incarnation, 0, c.now
	case LeaseReturned:
		c.until, c.asked, c.askAt = 0, 0, math.Inf(1)
	case VoterMoveRequested:
		c.move = [2]string{ev.Name, ev.To}
	case ProposalReceived:
		c.proposed(ev.Data)
	}
}

// tick does what is due.
func (c *Group) tick() {
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

func (c *Group) wake() {
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
func (c *Group) heard(from string, data []byte) {
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
		c.begin(PersistedState{})
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
func (c *Group) flush() {
	for c.node != nil && !c.broken && c.ready == nil && c.node.HasReady() {
		rd := c.node.Ready()
		c.ready = &rd
		if rd.SoftState != nil {
			c.led(rd.SoftState)
		}
		if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 || len(rd.Entries) > 0 || rd.HardState != nil {
			c.tokens++
			c.keeping = c.tokens
			e := Effect{Kind: Persist, Token: c.keeping, Entries: rd.Entries, State: rd.HardState}
			if rd.Snapshot.GetMetadata().GetIndex() > 0 {
				e.Snapshot = rd.Snapshot
			}
			c.do(e)
			return
		}
		c.finish()
	}
}

// stored hears what became of the batch.
func (c *Group) stored(ev *Event) {
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
func (c *Group) finish() {
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
			c.do(Effect{Kind: SendMessage, To: c.nameOf(m.GetTo()), Data: data})
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

func (c *Group) nameOf(id uint64) string {
	for _, v := range slices.Concat(c.record.Voters, c.record.Founders) {
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
func (c *Group) led(s *raft.SoftState) {
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
			c.do(Effect{Kind: ReplyLease, Token: a.token, Reply: LeaseReply{Verdict: NotLeader}})
		}
		c.electAt = c.now + electMS*(1+c.chance())
	}
	if c.leads = leads; s.Lead != c.lead {
		c.lead, c.astray = s.Lead, ""
		c.do(Effect{Kind: LeaderChanged, Name: c.leaderName()})
	}
}

// drain gives all askings that wait.
func (c *Group) drain() []asking {
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

func (c *Group) leaderName() string {
	if c.lead == 0 {
		return ""
	}
	return c.nameOf(c.lead)
}

// compact makes the log into a snapshot where it is long, so that neither disk nor memory grows.
func (c *Group) compact() {
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
	c.do(Effect{Kind: Persist, Snapshot: snap}) // nobody waits for it
}

// ---- founding

// found greets the other founders until each has said which folder it votes with, then begins with all of them: each comes to the
// same beginning by itself.
func (c *Group) found() {
	if !slices.Contains(c.founders, c.name) || c.now < c.helloAt {
		return
	}
	c.helloAt = c.now + helloMS*(0.75+0.5*c.chance())
	for _, name := range c.founders {
		if name != c.name {
			c.do(Effect{Kind: SendHello, To: name})
		}
	}
}

// met takes what another says of itself.
func (c *Group) met(h *Hello) {
	if c.leads {
		c.meetNewcomer(h)
		return
	}
	if c.node != nil || c.id == 0 || !slices.Contains(c.founders, c.name) {
		return
	}
	if len(h.Founders) > 0 { // the council is there
		if slices.ContainsFunc(h.Founders, func(v Voter) bool { return v.ID == c.id }) {
			c.enact(h.Founders)
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
			voters = append(voters, Voter{ID: NodeID(name, other.Folder), Name: name})
		}
	}
	if len(voters) == len(c.founders) {
		c.enact(sortVoters(voters))
	}
}

// enact begins with the founders.
func (c *Group) enact(founding []Voter) {
	r := Record{Members: map[string]Member{}, Voters: founding, Founders: founding}
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
	c.do(Effect{Kind: Persist, Snapshot: snap, State: state})
	c.begin(PersistedState{Snapshot: snap, State: state})
	c.do(Effect{Kind: GroupFormed})
}

// take goes on from a snapshot.
func (c *Group) take(snap *raftpb.Snapshot) {
	r := Record{}
	if err := json.Unmarshal(snap.GetData(), &r); err != nil {
		c.must(err)
		return
	}
	if r.Members == nil {
		r.Members = map[string]Member{}
	}
	before := c.record.Members
	c.record, c.conf = r, snap.GetMetadata().GetConfState()
	c.applied, c.snapped = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	names := make([]string, 0, len(r.Members))
	for name := range r.Members {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if p := r.Members[name]; p != before[name] {
			c.told(name, p)
		}
	}
	if r.Placement.Copies > 0 {
		c.do(Effect{Kind: PlacementChanged})
	}
	if r.PlanNumber > 0 || len(r.Orders) > 0 {
		c.do(Effect{Kind: PlanChanged})
	}
}

// Configuration gives the places and a copy of the table of chairs, where anybody keeps copies.
func (c *Group) Configuration() ([]placement.Member, placement.Table) {
	return c.record.places(), c.record.Placement.Clone()
}

// Configuration gives the same of a record that came from elsewhere.
func (r *Record) Configuration() ([]placement.Member, placement.Table) {
	return r.places(), r.Placement.Clone()
}

// told says what has become of a name.
func (c *Group) told(name string, p Member) {
	kind := MemberAdmitted
	if p.Lost {
		kind = MemberLost
	}
	c.do(Effect{Kind: kind, Name: name, Incarnation: p.Incarnation, Term: p.Term, Reason: whyOf(p)})
}

func whyOf(p Member) string {
	if p.LeftGracefully {
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
