// Package handoffnet carries what a controller's estate says to other controllers, and brings it what they say, what its own desk does and
// what the council agrees on. It decides nothing of what is kept or taken over. The estate belongs to the desk's goroutine; words to others
// line up for a goroutine a member, which sends them as datagrams where these get through (lane.go), else has one call under way at a
// time, so that what waits meanwhile goes together.
package handoffnet

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/clusternet"
	"liftshift/internal/consensus"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/internal/ledger"
	"liftshift/internal/raftnode"
	"liftshift/scheduler"
)

const (
	lineRoom  = 4096                   // batches that wait for one member; past it they are dropped, and said again later
	mostBatch = 1 << 20                // bytes of one call
	mostLines = 512                    // members that there is a line to
	staleMS   = 200                    // a batch that has waited for so long is dropped: its times would not be true
	refreshMS = 20                     // between two askings for what is agreed
	patience  = 900 * time.Millisecond // of one who waits for an answer here: less than a caller's
)

// Agent joins an estate to a desk, to the fleet's carriage and to the council.
type Agent struct {
	estate  *handoff.Manager
	desk    *dispatch.Loop
	clock   dispatch.Clock
	carrier *clusternet.Transport
	seat    *raftnode.Node
	held    func() bool // of the lease; nil: there is none yet
	log     logrus.FieldLogger
	name    string

	// Of the desk's goroutine.
	where     map[uint32]scheduler.Endpoint
	tokens    uint64
	refreshed float64
	replies   map[uint64]func([]byte, error)
	questions map[uint64]*dispatch.OutcomeQuery
	copies    *copies // nil: copies are kept in memory alone

	addresses atomic.Pointer[map[string]string]
	mu        sync.Mutex
	lines     map[string]*line
	stop      chan struct{}
	flights   sync.Map // by number: words that went as a datagram and are not answered
	number    atomic.Uint64
	replied   chan reply

	Dropped, Calls, Failed, Datagrams, Unanswered atomic.Uint64
	counts                                        atomic.Pointer[handoff.Counts]
}

// What reaches the estate by the desk's queue.
type (
	words struct {
		batch *handoff.Batch
		reply func([]byte, error)
	}
	answers struct {
		to         string
		sent, back *handoff.Batch
	}
	rolled  struct{ roll raftnode.Configuration }
	relived struct{ life uint64 }
	stored  struct {
		token uint64
		err   error
	}
)

// New joins one. Folder, if any, is where copies are kept so that they last; it must be this trustee's alone.
func New(self handoff.Member, settings handoff.Settings, seed uint32, d *dispatch.Loop, clock dispatch.Clock, carrier *clusternet.Transport, log logrus.FieldLogger) *Agent {
	return &Agent{estate: handoff.New(self, settings, seed), desk: d, clock: clock, carrier: carrier, log: log, name: self.Name,
		where: map[uint32]scheduler.Endpoint{}, replies: map[uint64]func([]byte, error){}, questions: map[uint64]*dispatch.OutcomeQuery{},
		lines: map[string]*line{}, stop: make(chan struct{}), replied: make(chan reply, lineRoom)}
}

// Start has the trustee hear of the council and of others, once they are there.
func (t *Agent) Start(s *raftnode.Node) {
	t.seat, t.held = s, s.LeaseHeld
	s.OnConfiguration = func(r raftnode.Configuration) {
		t.addresses.Store(&r.Addresses)
		go t.desk.Put(dispatch.QueueItem{Message: rolled{r}})
	}
	s.OnIncarnation = func(life uint64) { go t.desk.Put(dispatch.QueueItem{Message: relived{life}}) }
	t.listen()
}

// listen has it hear what others say.
func (t *Agent) listen() {
	t.carrier.HandoffCall, t.carrier.HandoffDatagram = t.heard, t.heardWord
	t.number.Store(uint64(t.clock.Now()) << 20) // no answer to an earlier life is taken for one to this
	go t.answerWords()
}

// LeaseHeld tells whether this controller may act on its lease at this moment. It may be called from any goroutine.
func (t *Agent) LeaseHeld() bool { return t.held != nil && (lawless || t.held()) }

// heard takes what another member says; any goroutine calls it.
func (t *Agent) heard(ctx context.Context, data []byte) ([]byte, error) {
	b, err := handoff.ReadBatch(data, t.clock.Now())
	if err != nil {
		return nil, err
	}
	type got struct {
		data []byte
		err  error
	}
	back := make(chan got, 1)
	go t.desk.Put(dispatch.QueueItem{Message: words{b, func(data []byte, err error) { back <- got{data, err} }}})
	late := time.NewTimer(patience)
	defer late.Stop()
	select {
	case g := <-back:
		return g.data, g.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-late.C:
		return nil, errors.New("no answer in time")
	case <-t.stop:
		return nil, errors.New("this member stops")
	}
}

// Close ends the lines. The desk has ended.
func (t *Agent) Close() {
	close(t.stop)
	if t.copies != nil {
		t.copies.close(t.log)
	}
}

// Counters gives the counters for the log.
func (t *Agent) Counters() logrus.Fields {
	c := handoff.Counts{}
	if p := t.counts.Load(); p != nil {
		c = *p
	}
	return logrus.Fields{"copies": c.CopiesStored, "open": c.Open, "held_copies": c.CopiesReceived, "settled": c.Settled, "adopted": c.Adopted,
		"written_off": c.Failed, "dropped": c.Dropped, "mine": c.OwnedRequests, "waiting": c.SuspendedRequests, "registered": c.Registered, "waited": c.Waited,
		"told": c.AnsweredFromCopy, "refused": c.Refused, "withheld": c.Withheld, "alone": c.AttemptsUnreplicated, "claims": c.AdoptionClaims, "taken": c.AdoptionsStarted,
		"taken_done": c.AdoptionsDone, "late": c.AdoptionsLate, "words": c.MessagesSent, "lost": c.MessagesLost, "pulled": c.CopiesFetched, "calls": t.Calls.Load(),
		"calls_failed": t.Failed.Load(), "lined_up_too_long": t.Dropped.Load(),
		"datagrams": t.Datagrams.Load(), "datagrams_unanswered": t.Unanswered.Load()}
}

// ---- as a part of the desk

var outcomes = map[ledger.Outcome]handoff.Outcome{ledger.Succeeded: handoff.Succeeded, ledger.Rejected: handoff.Rejected,
	ledger.Failed: handoff.Failed, ledger.Abandoned: handoff.Abandoned}

var ledgers = map[handoff.Outcome]ledger.Outcome{handoff.Open: ledger.Open, handoff.Succeeded: ledger.Succeeded, handoff.Rejected: ledger.Rejected,
	handoff.Failed: ledger.Failed, handoff.Abandoned: ledger.Abandoned, handoff.Unknown: ledger.Unknown}

// Handle tells the estate, in its own words.
func (t *Agent) Handle(now float64, h *dispatch.Event, out []dispatch.Command) []dispatch.Command {
	var ev handoff.Event
	switch s := h.Request; h.Kind {
	case dispatch.RequestArriving:
		ev = handoff.Event{Kind: handoff.RequestArriving, ID: s.ID, Copy: &handoff.Copy{Deadline: s.Deadline, RequestData: handoff.RequestData{ID: s.ID, IdempotencyKey: s.IdempotencyKey,
			Class: s.Class, OrderKey: s.OrderKey, Team: s.Team, Schema: s.Schema, TableGroup: s.TableGroup, MemoryMB: s.MemoryMB, WorkMS: s.WorkMS, Body: s.Body}}}
	case dispatch.SuspendedClientLeft:
		ev = handoff.Event{Kind: handoff.ClientLeft, ID: s.ID}
	case dispatch.AttemptStarting:
		at := t.where[h.Executor]
		ev = handoff.Event{Kind: handoff.AttemptStarting, ID: s.ID, Attempt: h.Attempt, Zone: at.Zone, Cell: at.Cell}
	case dispatch.AttemptEnded:
		ev = handoff.Event{Kind: handoff.AttemptEnded, ID: s.ID, Attempt: h.Attempt, NeverRan: h.NeverRan}
	case dispatch.RequestEnding:
		ev = handoff.Event{Kind: handoff.RequestEnding, ID: s.ID, Outcome: outcomes[h.Outcome], Answer: h.Body}
	case dispatch.RequestClosed:
		ev = handoff.Event{Kind: handoff.RequestClosed, ID: s.ID, Outcome: outcomes[h.Outcome], Answer: h.Body}
	case dispatch.EndpointsUpdated:
		t.list(h.List)
		return out
	case dispatch.ShutdownStarted:
		ev = handoff.Event{Kind: handoff.ShutdownStarted}
	case dispatch.Ticked:
		ev = handoff.Event{Kind: handoff.Ticked}
	case dispatch.OutcomeQueried:
		t.tokens++
		t.questions[t.tokens] = h.Query
		out = append(out, dispatch.Command{Kind: dispatch.Consume})
		ev = handoff.Event{Kind: handoff.OutcomeQueried, ID: h.Query.ID, IdempotencyKey: h.Query.IdempotencyKey, Token: t.tokens}
	case dispatch.MessagePosted:
		switch n := h.Message.(type) {
		case words:
			t.tokens++
			t.replies[t.tokens] = n.reply
			ev = handoff.Event{Kind: handoff.BatchReceived, Batch: n.batch, Token: t.tokens}
		case answers:
			ev = handoff.Event{Kind: handoff.BatchAnswered, To: n.to, Sent: n.sent, Batch: n.back}
		case rolled:
			ev = handoff.Event{Kind: handoff.PlacementChanged, Members: n.roll.Members, Table: &n.roll.Table}
		case relived:
			ev = handoff.Event{Kind: handoff.IncarnationChanged, Incarnation: n.life}
		case stored:
			t.copies.stored(n, t)
			return out
		default:
			return out
		}
	default:
		return out
	}
	out = t.step(now, &ev, out)
	if h.Kind == dispatch.Ticked {
		c := t.estate.Counts()
		t.counts.Store(&c)
		if t.copies != nil {
			t.copies.store.Advance(int64(now))
		}
	}
	return out
}

// list keeps where executors are.
func (t *Agent) list(l *scheduler.Event) {
	if l.List != scheduler.ListDelta {
		clear(t.where)
	}
	for _, e := range l.Endpoints {
		if delete(t.where, e.Executor); e.Availability != scheduler.Removed {
			t.where[e.Executor] = e
		}
	}
}

// Step plays an event from outside of a happening; it is for a call on the desk's goroutine.
func (t *Agent) Step(now float64, ev *handoff.Event) { t.desk.Execute(t.step(now, ev, nil)) }

// Manager is for a call on the desk's goroutine.
func (t *Agent) Manager() *handoff.Manager { return t.estate }

func (t *Agent) step(now float64, ev *handoff.Event, out []dispatch.Command) []dispatch.Command {
	ev.LeaseHeld = t.LeaseHeld()
	lasts := t.copies != nil && (ev.Kind == handoff.BatchReceived)
	effects := t.estate.Step(now, ev)
	token := uint64(0)
	if t.copies != nil {
		token = t.copies.keep(now, effects, lasts)
	}
	for i := range effects {
		switch e := &effects[i]; e.Kind {
		case handoff.Suspend:
			out = append(out, dispatch.Command{Kind: dispatch.Suspend})
		case handoff.Resume:
			out = append(out, dispatch.Command{Kind: dispatch.Resume, ID: e.ID, Prior: e.Prior, Blocked: e.Blocked})
		case handoff.AnswerSuspended:
			out = append(out, dispatch.Command{Kind: dispatch.AnswerSuspended, ID: e.ID, Outcome: ledgers[e.Outcome], Body: e.Answer, AfterMS: e.AfterMS})
		case handoff.HoldAttempt:
			out = append(out, dispatch.Command{Kind: dispatch.HoldAttempt})
		case handoff.BlockAttempt:
			out = append(out, dispatch.Command{Kind: dispatch.HoldAttempt}, dispatch.Command{Kind: dispatch.BlockAttempt})
		case handoff.ReleaseAttempt:
			out = append(out, dispatch.Command{Kind: dispatch.ReleaseAttempt, ID: e.ID, Attempt: e.Attempt})
		case handoff.FailAttempt:
			out = append(out, dispatch.Command{Kind: dispatch.FailAttempt, ID: e.ID, Attempt: e.Attempt})
		case handoff.WithholdAnswer:
			out = append(out, dispatch.Command{Kind: dispatch.WithholdAnswer})
		case handoff.DeliverAnswer:
			out = append(out, dispatch.Command{Kind: dispatch.DeliverAnswer, ID: e.ID, Outcome: ledgers[e.Outcome], Body: e.Answer})
		case handoff.CancelLocal:
			out = append(out, dispatch.Command{Kind: dispatch.Discard, ID: e.ID})
		case handoff.Adopt:
			c := e.Copy
			out = append(out, dispatch.Command{Kind: dispatch.Adopt, Prior: e.Prior, Request: &dispatch.Request{ID: c.ID, Class: c.Class, OrderKey: c.OrderKey,
				IdempotencyKey: c.IdempotencyKey, TableGroup: c.TableGroup, MemoryMB: c.MemoryMB, WorkMS: c.WorkMS, Deadline: c.Deadline, Team: c.Team, Schema: c.Schema,
				Retried: true, Body: c.Body, Client: nopClient{}}})
		case handoff.SendBatch:
			t.say(e.To, e.Batch, now)
		case handoff.ReplyBatch:
			t.answer(e, now, token)
		case handoff.ReplyOutcome:
			out = t.reply(e, out)
		case handoff.Propose:
			t.log.WithFields(logrus.Fields{"motion": e.Proposal, "member": e.Claim.Name, "life": e.Claim.Incarnation, "parts": e.Claim.Partitions}).Info("estate: proposed")
			t.seat.Propose(consensus.Proposal(e.Proposal, e.Claim, e.Version))
		case handoff.RefreshPlacement:
			if now > t.refreshed+refreshMS {
				t.refreshed = now
				t.seat.RefreshConfiguration()
			}
		case handoff.LogMessage:
			t.log.WithFields(logrus.Fields{"of": e.ID, "count": e.Count}).Warn("estate: " + e.Text)
		}
	}
	return out
}

// answer answers another member, once what it asked to be kept lasts, where that is wanted.
func (t *Agent) answer(e *handoff.Effect, now float64, token uint64) {
	reply := t.replies[e.Token]
	delete(t.replies, e.Token)
	if reply == nil {
		return
	}
	data := e.Batch.Append(nil, now)
	if token != 0 {
		t.copies.wait[token] = func(err error) { reply(data, err) }
		return
	}
	reply(data, nil)
}

// reply tells what became of a search; where the others know nothing, the parts behind are asked.
func (t *Agent) reply(e *handoff.Effect, out []dispatch.Command) []dispatch.Command {
	q := t.questions[e.Token]
	delete(t.questions, e.Token)
	switch {
	case q == nil:
	case e.Outcome == handoff.Unknown:
		out = append(out, dispatch.Command{Kind: dispatch.ForwardQuery, Query: q})
	default:
		q.Reply(ledger.Effect{Kind: ledger.AnswerFromRecord, Outcome: ledgers[e.Outcome], Body: e.Answer, AgeMS: e.AfterMS})
	}
	return out
}

// nopClient is the client of a search whose own client went with its controller.
type nopClient struct{}

func (nopClient) Succeeded(uint64, []byte) {}
func (nopClient) Rejected(uint64, float64) {}
func (nopClient) Failed(uint64)            {}
