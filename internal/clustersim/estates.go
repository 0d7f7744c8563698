package clustersim

import (
	"fmt"
	"math"
	"slices"

	"liftshift/internal/consensus"
	"liftshift/internal/handoff"
	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// Asked is a search of a client, as it was asked at one node.
type Asked struct {
	ID, Mark, Offering string
	Node               int
	At                 float64
	Answers            []string // more than one is wrong
	Cut                bool     // the node went before it answered
	ask                *ask
}

// ask is what a client wants, however often it comes for it.
type ask struct {
	mark, offering string
	tries          int
	first          float64
	done           bool
	impatient      bool
}

// search is one in a node's hands.
type search struct {
	id, mark, offering string
	until              float64 // by the node's clock
	asked              *Asked  // nil: adopted
	prior, prepared    bool
	fired              int
	out                bool
	over               bool
}

// End is a node's estate, and a stand-in for its module and sockets.
type End struct {
	Estate  *handoff.Manager
	run     int
	life    uint64
	step    uint64
	open    map[string]*search
	waiting map[string]*search
	tokens  uint64
	replies map[uint64]func(*handoff.Batch)
}

// Estates is a hall whose nodes keep copies of their open work.
type Estates struct {
	*Hall
	Ends     []*End
	Asked    []*Asked
	Runs     map[string]int // by mark, or id: what had an effect
	ran      map[string]float64
	ids      map[string]int
	Window   float64 // for which engines drop repeats; 0: they drop none
	Lawless  bool    // leases are not looked at: what the tests must be able to see
	number   int
	settings handoff.Settings
}

// NewEstates returns a hall of so many, with so many copies.
func NewEstates(n, copies int, seed uint64, window float64) *Estates {
	s := &Estates{Hall: NewHall(n, 3, seed), Runs: map[string]int{}, ran: map[string]float64{}, ids: map[string]int{}, Window: window}
	s.Consensus.LeaseMS, s.Consensus.DeclareLostMS, s.Consensus.Copies = 2000, 500, copies
	s.settings = handoff.DefaultSettings()
	s.settings.KeyRetentionMS = 60e3
	s.settings.Classes = []scheduler.RequestClass{
		{Name: "mark", Effect: scheduler.Keyed, DedupWindowMS: window, DeadlineMS: limitMS},
		{Name: "once", Effect: scheduler.NonIdempotent, DeadlineMS: limitMS},
	}
	for range n {
		s.Ends = append(s.Ends, &End{})
	}
	return s
}

// OpenEnd starts a node with its estate.
func (s *Estates) OpenEnd(k int) {
	s.Open(k)
	s.Ends[k] = &End{run: s.Nodes[k].run, life: s.Seats[k].life, open: map[string]*search{}, waiting: map[string]*search{},
		replies: map[uint64]func(*handoff.Batch){}}
	s.Ends[k].Estate = handoff.New(handoff.Member{Name: s.Nodes[k].Name, Incarnation: s.Seats[k].life}, s.settings, s.chance.Uint32())
	s.Ends[k].tokens = uint64(k) << 32
	s.beat(k, s.Nodes[k].run)
}

// KillEnd ends a node without a word.
func (s *Estates) KillEnd(k int) {
	s.Kill(k)
	for _, x := range s.Asked {
		if x.Node == k && len(x.Answers) == 0 && !x.Cut {
			x.Cut = true
			s.return_(x.ask)
		}
	}
}

// return_ has a client come again elsewhere, with its mark.
func (s *Estates) return_(a *ask) {
	at := s.Now + 100 + 900*s.chance.Float64()
	if a.done || a.tries > 3 || a.offering != "mark" || at > a.first+max(limitMS, s.Window) {
		return // a mark is known for no longer where a part has lost its chairs beyond a quorum
	}
	s.At(at, func() { s.askAnywhere(a) })
}

func (s *Estates) askAnywhere(a *ask) {
	for range 20 {
		if k := s.chance.IntN(len(s.Nodes)); s.Nodes[k].Up {
			s.Ask(k, a)
			return
		}
	}
}

const limitMS = 6000.0 // the longest hard limit

// Ask has a client ask a node.
func (s *Estates) Ask(k int, a *ask) {
	s.number++
	if a.tries++; a.tries == 1 {
		a.first = s.Now
	}
	x := &Asked{ID: fmt.Sprintf("%016x", s.number), Mark: a.mark, Offering: a.offering, Node: k, At: s.Now, ask: a, Cut: true}
	s.Asked = append(s.Asked, x)
	s.at(k, func() {
		x.Cut = false // it has arrived
		c := &handoff.Copy{RequestData: handoff.RequestData{ID: x.ID, IdempotencyKey: x.Mark, Class: x.Offering, Body: []byte("select")}, Deadline: s.Local(k) + 5000}
		s.Ends[k].waiting[x.ID] = &search{id: x.ID, mark: x.Mark, offering: x.Offering, until: c.Deadline, asked: x}
		s.play(k, &handoff.Event{Kind: handoff.RequestArriving, ID: x.ID, Copy: c})
	})
	if a.impatient && a.tries == 1 {
		for range 2 {
			s.At(s.Now+300*s.chance.Float64(), func() {
				if !a.done {
					s.askAnywhere(a)
				}
			})
		}
	}
}

// at has something done at a node, once it does not stand still, if it is the same run of it then.
func (s *Estates) at(k int, do func()) {
	nd, run := s.Nodes[k], s.Nodes[k].run
	if !nd.Up {
		return
	}
	if s.Now < nd.until {
		s.At(nd.until, func() {
			if s.Nodes[k].run == run {
				s.at(k, do)
			}
		})
		return
	}
	do()
}

func (s *Estates) held(k int) bool { return s.Lawless || s.Seats[k].Council.LeaseHeld(s.Local(k)) }

// beat gives a node its ticks, and what is agreed.
func (s *Estates) beat(k, run int) {
	nd, end := s.Nodes[k], s.Ends[k]
	if !nd.Up || nd.run != run {
		return
	}
	if s.Now < nd.until {
		s.At(nd.until, func() { s.beat(k, run) })
		return
	}
	if l := s.Seats[k].life; l != end.life {
		end.life = l
		s.play(k, &handoff.Event{Kind: handoff.IncarnationChanged, Incarnation: l})
	}
	s.look(k)
	s.play(k, &handoff.Event{Kind: handoff.Ticked})
	for _, id := range sorted(end.open) {
		if x := end.open[id]; x != nil && s.Local(k) >= x.until-20 {
			out := handoff.Failed
			if x.fired == 0 && !x.prior {
				out = handoff.Rejected
			}
			s.conclude(k, x, out)
		}
	}
	s.At(s.Now+100, func() { s.beat(k, run) })
}

func sorted(m map[string]*search) (ids []string) {
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// look brings a node what is agreed: a voter's own record, and that of the one who leads: it may have been replaced without having heard.
func (s *Estates) look(k int) {
	c := s.Seats[k].Council
	if st := c.Status(s.Local(k)); st.Voter {
		s.roll(k, c)
	}
	for to := range s.Nodes {
		if st := s.Seats[to].Council; st != nil && to != k && st.Status(s.Local(to)).Leader == s.Nodes[to].Name {
			s.later(k, to, func() {
				places, table := s.Seats[to].Council.Configuration()
				s.later(to, k, func() { s.seat(k, places, table) }, nil)
			}, nil)
		}
	}
}

func (s *Estates) roll(k int, c *consensus.Group) {
	places, table := c.Configuration()
	s.seat(k, places, table)
}

func (s *Estates) seat(k int, places []placement.Member, table placement.Table) {
	if table.Step > s.Ends[k].step {
		s.Ends[k].step = table.Step
		s.play(k, &handoff.Event{Kind: handoff.PlacementChanged, Members: places, Table: &table})
	}
}

// play plays an event to a node's estate and carries what follows.
func (s *Estates) play(k int, ev *handoff.Event) (verdict handoff.EffectKind) {
	ev.LeaseHeld = s.held(k)
	end, now := s.Ends[k], s.Local(k)
	verdict = handoff.Admit
	effects := slices.Clone(end.Estate.Step(now, ev))
	said := make([][]byte, len(effects)) // as it is at the end of the step, as the carriage does it
	for n, e := range effects {
		if e.Kind == handoff.SendBatch {
			said[n] = e.Batch.Append(nil, now)
		}
	}
	for n, e := range effects {
		switch e.Kind {
		case handoff.HoldAttempt, handoff.BlockAttempt, handoff.WithholdAnswer:
			verdict = e.Kind
		case handoff.Admit:
			if x := end.waiting[ev.ID]; x != nil {
				s.begin(k, x, false)
			}
		case handoff.Resume:
			if x := end.waiting[e.ID]; x != nil {
				s.begin(k, x, e.Prior.At != 0)
			}
		case handoff.AnswerSuspended:
			if x := end.waiting[e.ID]; x != nil {
				delete(end.waiting, e.ID)
				s.answer(k, x, e.Outcome)
			}
		case handoff.DeliverAnswer:
			if x := end.open[e.ID]; x != nil {
				delete(end.open, e.ID)
				s.answer(k, x, e.Outcome)
			}
		case handoff.ReleaseAttempt:
			if x := end.open[e.ID]; x != nil {
				s.fire(k, x)
			}
		case handoff.FailAttempt:
			if x := end.open[e.ID]; x != nil && x.out && !x.prepared {
				x.out = false
				s.play(k, &handoff.Event{Kind: handoff.AttemptEnded, ID: x.id, Attempt: e.Attempt, NeverRan: true})
				s.conclude(k, x, s.unsent(x))
			}
		case handoff.Adopt:
			x := &search{id: e.Copy.ID, mark: e.Copy.IdempotencyKey, offering: e.Copy.Class, until: e.Copy.Deadline}
			if end.open[x.id] == nil {
				end.waiting[x.id] = x
				s.begin(k, x, e.Prior.At != 0)
			}
		case handoff.CancelLocal:
			delete(end.open, e.ID)
		case handoff.SendBatch:
			s.say(k, e, said[n])
		case handoff.ReplyBatch:
			if reply := end.replies[e.Token]; reply != nil {
				delete(end.replies, e.Token)
				reply(e.Batch)
			}
		case handoff.Propose:
			data := consensus.Proposal(consensus.EntryKind(e.Proposal), e.Claim, e.Version)
			for to := range s.Nodes { // whoever leads takes it up
				s.later(k, to, func() { s.step(to, consensus.Event{Kind: consensus.ProposalReceived, Data: data}) }, nil)
			}
		case handoff.RefreshPlacement:
			s.look(k)
		}
	}
	return verdict
}

// say carries a batch as it goes over the wire, and what comes back.
func (s *Estates) say(k int, e handoff.Effect, data []byte) {
	to, sent := s.named(e.To), e.Batch
	run := s.Nodes[k].run
	failed := func() {
		s.at(k, func() {
			if s.Nodes[k].run == run {
				s.play(k, &handoff.Event{Kind: handoff.BatchAnswered, To: e.To, Sent: sent})
			}
		})
	}
	if to < 0 {
		failed()
		return
	}
	// What is answered late, or not, is lost to the one who asked; whoever was asked may do it all the same.
	deliver := func() {
		b, err := handoff.ReadBatch(data, s.Local(to))
		if err != nil {
			s.Broken = append(s.Broken, err.Error())
			return
		}
		end := s.Ends[to]
		end.tokens++
		end.replies[end.tokens] = func(back *handoff.Batch) {
			reply := back.Append(nil, s.Local(to))
			s.later(to, k, func() {
				if s.Nodes[k].run != run {
					return
				}
				got, err := handoff.ReadBatch(reply, s.Local(k))
				if err != nil {
					s.Broken = append(s.Broken, err.Error())
					return
				}
				s.play(k, &handoff.Event{Kind: handoff.BatchAnswered, To: e.To, Sent: sent, Batch: got})
			}, nil)
		}
		s.play(to, &handoff.Event{Kind: handoff.BatchReceived, Batch: b, Token: end.tokens})
	}
	s.later(k, to, deliver, failed)
	if s.chance.Float64() < doubled { // what went as a datagram comes again, or goes again by a call
		s.At(s.Now+doubledMS*s.chance.Float64(), func() { s.later(k, to, deliver, nil) })
	}
}

const (
	doubled   = 0.03  // share of batches that come twice
	doubledMS = 400.0 // by which the second is later: a lane's patience, and a call's
)

// ---- the module's stand-in

func (s *Estates) begin(k int, x *search, prior bool) {
	end := s.Ends[k]
	delete(end.waiting, x.id)
	end.open[x.id] = x
	if x.prior = prior; prior && (x.offering == "once" || s.Window == 0) {
		s.conclude(k, x, handoff.Failed) // it may have run, and nobody would drop it
		return
	}
	run := s.Nodes[k].run
	s.At(s.Now+20*s.chance.Float64(), func() {
		s.at(k, func() {
			if s.Nodes[k].run == run && end.open[x.id] == x && !x.over {
				s.shoot(k, x)
			}
		})
	})
}

func (s *Estates) shoot(k int, x *search) {
	x.out, x.prepared = true, false
	x.fired++
	switch s.play(k, &handoff.Event{Kind: handoff.AttemptStarting, ID: x.id, Attempt: x.fired - 1, Zone: "z"}) {
	case handoff.HoldAttempt:
	case handoff.BlockAttempt:
		x.out = false
		x.fired--
		s.conclude(k, x, s.unsent(x))
	default:
		s.fire(k, x)
	}
}

// unsent is what becomes of a search whose shot must not leave.
func (s *Estates) unsent(x *search) handoff.Outcome {
	if x.prior {
		return handoff.Failed
	}
	return handoff.Rejected
}

// fire has a shot leave; one in three waits for its connection to come up.
func (s *Estates) fire(k int, x *search) {
	run := s.Nodes[k].run
	if s.chance.IntN(3) > 0 {
		s.write(k, x)
		return
	}
	s.At(s.Now+250*s.chance.Float64(), func() {
		s.at(k, func() {
			if s.Nodes[k].run == run {
				s.write(k, x)
			}
		})
	})
}

// write looks at the lease at the last step before anything leaves.
func (s *Estates) write(k int, x *search) {
	if !x.out || x.prepared || x.over {
		return
	}
	if x.prepared = true; !s.held(k) {
		x.out = false
		s.play(k, &handoff.Event{Kind: handoff.AttemptEnded, ID: x.id, Attempt: x.fired - 1, NeverRan: true})
		s.conclude(k, x, s.unsent(x))
		return
	}
	run := s.Nodes[k].run
	work := 5 + 300*math.Pow(s.chance.Float64(), 3)
	if s.chance.IntN(20) == 0 {
		work = 2500
	}
	s.At(s.Now+1+3*s.chance.Float64(), func() { s.effect(x) })
	s.At(s.Now+5+work, func() {
		s.at(k, func() {
			if s.Nodes[k].run == run && s.Ends[k].open[x.id] == x && !x.over {
				x.out = false
				s.play(k, &handoff.Event{Kind: handoff.AttemptEnded, ID: x.id, Attempt: x.fired - 1})
				s.conclude(k, x, handoff.Succeeded)
			}
		})
	})
}

// effect is a run at an engine, unless that drops it as a repeat.
func (s *Estates) effect(x *search) {
	key := x.mark
	if key == "" {
		key = x.id
	}
	if at, ran := s.ran[key]; ran && s.Now < at+s.Window {
		s.ids[x.id]++
		return
	}
	s.ran[key] = s.Now
	s.Runs[key]++
	s.ids[x.id]++
}

// conclude answers a search, or keeps the answer back as the estate wants it.
func (s *Estates) conclude(k int, x *search, out handoff.Outcome) {
	if x.over {
		return
	}
	x.over = true
	kept := s.play(k, &handoff.Event{Kind: handoff.RequestEnding, ID: x.id, Outcome: out, Answer: []byte("rows")}) == handoff.WithholdAnswer
	if !kept {
		delete(s.Ends[k].open, x.id)
		s.answer(k, x, out)
	}
	s.play(k, &handoff.Event{Kind: handoff.RequestClosed, ID: x.id, Outcome: out, Answer: []byte("rows")})
}

func (s *Estates) answer(_ int, x *search, out handoff.Outcome) {
	if x.asked == nil {
		return
	}
	x.asked.Answers = append(x.asked.Answers, out.String())
	if out == handoff.Succeeded {
		x.asked.ask.done = true
	} else if out == handoff.Rejected {
		s.return_(x.asked.ask)
	}
}

// ---- histories

// Story is what a history of estates came to.
type Story struct {
	Seed                                        uint64
	Faults                                      []Fault
	Broken                                      []string
	Marks, Asked, Handled, Cut, Adopted, Claims int
}

// PlayEstates plays one history: five nodes that keep two copies, clients that come again elsewhere, and faults, or those that the seed
// draws. At its end all is made whole.
func PlayEstates(seed uint64, window float64, faults []Fault, lawless bool) Story {
	const until = 40_000.0
	s := NewEstates(5, 2, seed, window)
	s.Lawless = lawless
	s.Net.Doubling = 0
	if faults == nil {
		faults = Faults(s.Hall, until)
	}
	for k := range s.Nodes {
		s.OpenEnd(k)
	}
	for at := 9000.0; at < until; at += 100 * s.chance.Float64() {
		s.At(at, func() {
			a := &ask{offering: "mark", mark: fmt.Sprintf("m%d", s.number), impatient: s.chance.IntN(8) == 0}
			if s.chance.IntN(3) == 0 {
				a.offering, a.mark, a.impatient = "once", "", false
			}
			s.askAnywhere(a)
		})
	}
	for _, f := range faults {
		s.Run(f.At)
		s.causeEnd(f)
	}
	s.Run(until)
	s.causeEnd(Fault{Kind: "heal"})
	for k, nd := range s.Nodes {
		if s.Run(max(s.Now, nd.until)); !nd.Up {
			s.OpenEnd(k)
		}
	}
	s.Run(s.Now + 25_000 + s.Window) // a part that lost its chairs beyond a quorum begins anew once its marks are past
	return s.check(seed, faults)
}

func (s *Estates) causeEnd(f Fault) {
	switch nd := s.Nodes[f.Node]; f.Kind {
	case "kill":
		if nd.Up {
			s.KillEnd(f.Node)
		}
	case "open":
		if !nd.Up {
			s.OpenEnd(f.Node)
		}
	case "wipe", "diskfull": // the council's own histories have these
	default:
		s.cause(f)
	}
}

// check holds what clients heard against what ran.
func (s *Estates) check(seed uint64, faults []Fault) Story {
	o := Story{Seed: seed, Faults: faults, Broken: s.Broken, Asked: len(s.Asked)}
	wrong := func(format string, args ...any) { o.Broken = append(o.Broken, fmt.Sprintf(format, args...)) }
	for _, key := range sortedKeys(s.Runs) {
		if o.Marks++; s.Runs[key] > 1 {
			wrong("%s ran %d times", key, s.Runs[key])
		}
	}
	for _, x := range s.Asked {
		key := x.Mark
		if key == "" {
			key = x.ID
		}
		switch {
		case len(x.Answers) > 1:
			wrong("%s has two answers: %v", x.ID, x.Answers)
		case len(x.Answers) == 0 && !x.Cut:
			wrong("%s (%s at %d since %.0f) has no answer", x.ID, x.Offering, x.Node, x.At)
		case len(x.Answers) == 0:
			o.Cut++
		case x.Answers[0] == "handled":
			if o.Handled++; s.Runs[key] == 0 {
				wrong("%s is handled and never ran", x.ID)
			}
		case x.Answers[0] == "denied" && x.Offering == "once" && s.Runs[key] > 0:
			wrong("%s is denied, ran, and may not run again", x.ID)
		}
	}
	for k, end := range s.Ends {
		c := end.Estate.Counts()
		o.Adopted, o.Claims = o.Adopted+int(c.AdoptionsStarted), o.Claims+int(c.AdoptionClaims)
		if c.CopiesReceived != c.Settled+c.Adopted+c.Failed+c.Dropped+c.Open {
			wrong("the counts of %d do not add up: %+v", k, c)
		}
		for name, n := range end.Estate.OrphanedRequests() {
			wrong("%d copies of %s are open at %d, and nobody has gone on with them", n, name, k)
		}
	}
	return o
}

func sortedKeys(m map[string]int) (keys []string) {
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
