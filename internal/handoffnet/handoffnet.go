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

// Trustee joins an estate to a desk, to the fleet's carriage and to the council.
type Trustee struct {
	estate  *handoff.Estate
	desk    *dispatch.Desk
	clock   dispatch.Clock
	carrier *clusternet.Transport
	seat    *raftnode.Node
	held    func() bool // of the lease; nil: there is none yet
	log     logrus.FieldLogger
	name    string

	// Of the desk's goroutine.
	where     map[uint32]scheduler.Entry
	tokens    uint64
	refreshed float64
	replies   map[uint64]func([]byte, error)
	questions map[uint64]*dispatch.Question
	copies    *copies // nil: copies are kept in memory alone

	addresses atomic.Pointer[map[string]string]
	mu        sync.Mutex
	lines     map[string]*line
	stop      chan struct{}
	flights   sync.Map // by number: words that went as a datagram and are not answered
	number    atomic.Uint64
	replied   chan reply

	Dropped, Calls, Failed, Datagrams, Silent atomic.Uint64
	counts                                    atomic.Pointer[handoff.Counts]
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
func New(self handoff.Member, given scheduler.Given, seed uint32, d *dispatch.Desk, clock dispatch.Clock, carrier *clusternet.Transport, log logrus.FieldLogger) *Trustee {
	return &Trustee{estate: handoff.New(self, given, seed), desk: d, clock: clock, carrier: carrier, log: log, name: self.Name,
		where: map[uint32]scheduler.Entry{}, replies: map[uint64]func([]byte, error){}, questions: map[uint64]*dispatch.Question{},
		lines: map[string]*line{}, stop: make(chan struct{}), replied: make(chan reply, lineRoom)}
}

// Begin has the trustee hear of the council and of others, once they are there.
func (t *Trustee) Begin(s *raftnode.Node) {
	t.seat, t.held = s, s.LeaseHeld
	s.OnConfiguration = func(r raftnode.Configuration) {
		t.addresses.Store(&r.Addresses)
		go t.desk.Put(dispatch.Item{Note: rolled{r}})
	}
	s.OnIncarnation = func(life uint64) { go t.desk.Put(dispatch.Item{Note: relived{life}}) }
	t.listen()
}

// listen has it hear what others say.
func (t *Trustee) listen() {
	t.carrier.HandoffCall, t.carrier.HandoffDatagram = t.heard, t.heardWord
	t.number.Store(uint64(t.clock.Now()) << 20) // no answer to an earlier life is taken for one to this
	go t.answerWords()
}

// Held tells whether this controller may act on its lease at this moment. It may be called from any goroutine.
func (t *Trustee) Held() bool { return t.held != nil && (lawless || t.held()) }

// heard takes what another member says; any goroutine calls it.
func (t *Trustee) heard(ctx context.Context, data []byte) ([]byte, error) {
	b, err := handoff.ReadBatch(data, t.clock.Now())
	if err != nil {
		return nil, err
	}
	type got struct {
		data []byte
		err  error
	}
	back := make(chan got, 1)
	go t.desk.Put(dispatch.Item{Note: words{b, func(data []byte, err error) { back <- got{data, err} }}})
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
func (t *Trustee) Close() {
	close(t.stop)
	if t.copies != nil {
		t.copies.close(t.log)
	}
}

// Count gives the counters for the log.
func (t *Trustee) Count() logrus.Fields {
	c := handoff.Counts{}
	if p := t.counts.Load(); p != nil {
		c = *p
	}
	return logrus.Fields{"copies": c.Copies, "open": c.Open, "held_copies": c.Held, "settled": c.Settled, "adopted": c.Adopted,
		"written_off": c.Failed, "dropped": c.Dropped, "mine": c.Mine, "waiting": c.Waiting, "registered": c.Registered, "waited": c.Waited,
		"told": c.Told, "refused": c.Refused, "withheld": c.Withheld, "alone": c.Alone, "claims": c.Claims, "taken": c.Taken,
		"taken_done": c.TakenDone, "late": c.Late, "words": c.Words, "lost": c.Lost, "pulled": c.Pulled, "calls": t.Calls.Load(),
		"calls_failed": t.Failed.Load(), "lined_up_too_long": t.Dropped.Load(),
		"datagrams": t.Datagrams.Load(), "datagrams_unanswered": t.Silent.Load()}
}

// ---- as a part of the desk

var outcomes = map[ledger.Outcome]handoff.Outcome{ledger.Handled: handoff.Handled, ledger.Denied: handoff.Denied,
	ledger.WrittenOff: handoff.WrittenOff, ledger.Left: handoff.Left}

var ledgers = map[handoff.Outcome]ledger.Outcome{handoff.Open: ledger.Open, handoff.Handled: ledger.Handled, handoff.Denied: ledger.Denied,
	handoff.WrittenOff: ledger.WrittenOff, handoff.Left: ledger.Left, handoff.Unknown: ledger.Unknown}

// Hear tells the estate, in its own words.
func (t *Trustee) Hear(now float64, h *dispatch.Happening, out []dispatch.Follow) []dispatch.Follow {
	var ev handoff.Event
	switch s := h.Request; h.Kind {
	case dispatch.Arriving:
		ev = handoff.Event{Kind: handoff.Arrives, ID: s.ID, Copy: &handoff.Copy{Until: s.Until, Work: handoff.Work{ID: s.ID, Mark: s.Mark,
			Offering: s.Offering, Order: s.Key, Team: s.Team, Schema: s.Schema, Group: s.Group, NeedMB: s.NeedMB, WorkMS: s.WorkMS, Body: s.Body}}}
	case dispatch.Departed:
		ev = handoff.Event{Kind: handoff.Gone, ID: s.ID}
	case dispatch.Firing:
		at := t.where[h.Executor]
		ev = handoff.Event{Kind: handoff.Firing, ID: s.ID, Shot: h.Attempt, Place: at.Place, Cell: at.Cell}
	case dispatch.ShotOver:
		ev = handoff.Event{Kind: handoff.ShotOver, ID: s.ID, Shot: h.Attempt, Unrun: h.Unrun}
	case dispatch.Ending:
		ev = handoff.Event{Kind: handoff.Ending, ID: s.ID, Outcome: outcomes[h.Outcome], Answer: h.Body}
	case dispatch.Closed:
		ev = handoff.Event{Kind: handoff.Closed, ID: s.ID, Outcome: outcomes[h.Outcome], Answer: h.Body}
	case dispatch.ListNews:
		t.list(h.List)
		return out
	case dispatch.Stopping:
		ev = handoff.Event{Kind: handoff.Leaving}
	case dispatch.Ticks:
		ev = handoff.Event{Kind: handoff.Ticked}
	case dispatch.Inquiry:
		t.tokens++
		t.questions[t.tokens] = h.Ask
		out = append(out, dispatch.Follow{Kind: dispatch.Mine})
		ev = handoff.Event{Kind: handoff.Asked, ID: h.Ask.ID, Mark: h.Ask.Mark, Token: t.tokens}
	case dispatch.Told:
		switch n := h.Note.(type) {
		case words:
			t.tokens++
			t.replies[t.tokens] = n.reply
			ev = handoff.Event{Kind: handoff.Words, Batch: n.batch, Token: t.tokens}
		case answers:
			ev = handoff.Event{Kind: handoff.Answers, To: n.to, Sent: n.sent, Batch: n.back}
		case rolled:
			ev = handoff.Event{Kind: handoff.Seated, Places: n.roll.Members, Table: &n.roll.Table}
		case relived:
			ev = handoff.Event{Kind: handoff.Relived, Life: n.life}
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
	if h.Kind == dispatch.Ticks {
		c := t.estate.Counts()
		t.counts.Store(&c)
		if t.copies != nil {
			t.copies.store.Advance(int64(now))
		}
	}
	return out
}

// list keeps where executors are.
func (t *Trustee) list(l *scheduler.Event) {
	if l.List != scheduler.Changes {
		clear(t.where)
	}
	for _, e := range l.Entries {
		if delete(t.where, e.Executor); e.Standing != scheduler.Gone {
			t.where[e.Executor] = e
		}
	}
}

// Step plays an event from outside of a happening; it is for a call on the desk's goroutine.
func (t *Trustee) Step(now float64, ev *handoff.Event) { t.desk.Follow(t.step(now, ev, nil)) }

// Estate is for a call on the desk's goroutine.
func (t *Trustee) Estate() *handoff.Estate { return t.estate }

func (t *Trustee) step(now float64, ev *handoff.Event, out []dispatch.Follow) []dispatch.Follow {
	ev.Held = t.Held()
	lasts := t.copies != nil && (ev.Kind == handoff.Words)
	effects := t.estate.Step(now, ev)
	token := uint64(0)
	if t.copies != nil {
		token = t.copies.keep(now, effects, lasts)
	}
	for i := range effects {
		switch e := &effects[i]; e.Kind {
		case handoff.Await:
			out = append(out, dispatch.Follow{Kind: dispatch.Await})
		case handoff.Resume:
			out = append(out, dispatch.Follow{Kind: dispatch.Resume, ID: e.ID, Prior: e.Prior, Barred: e.Barred})
		case handoff.Settle:
			out = append(out, dispatch.Follow{Kind: dispatch.Settle, ID: e.ID, Outcome: ledgers[e.Outcome], Body: e.Answer, AfterMS: e.AfterMS})
		case handoff.Hold:
			out = append(out, dispatch.Follow{Kind: dispatch.Hold})
		case handoff.Forbid:
			out = append(out, dispatch.Follow{Kind: dispatch.Hold}, dispatch.Follow{Kind: dispatch.Forbid})
		case handoff.Release:
			out = append(out, dispatch.Follow{Kind: dispatch.Release, ID: e.ID, Attempt: e.Shot})
		case handoff.Withhold:
			out = append(out, dispatch.Follow{Kind: dispatch.Withhold, ID: e.ID, Attempt: e.Shot})
		case handoff.KeepBack:
			out = append(out, dispatch.Follow{Kind: dispatch.KeepBack})
		case handoff.LetGo:
			out = append(out, dispatch.Follow{Kind: dispatch.LetGo, ID: e.ID, Outcome: ledgers[e.Outcome], Body: e.Answer})
		case handoff.Recall:
			out = append(out, dispatch.Follow{Kind: dispatch.Dismiss, ID: e.ID})
		case handoff.Adopt:
			c := e.Copy
			out = append(out, dispatch.Follow{Kind: dispatch.Adopt, Prior: e.Prior, New: &dispatch.Request{ID: c.ID, Offering: c.Offering, Key: c.Order,
				Mark: c.Mark, Group: c.Group, NeedMB: c.NeedMB, WorkMS: c.WorkMS, Until: c.Until, Team: c.Team, Schema: c.Schema,
				Repeat: true, Body: c.Body, Client: nobody{}}})
		case handoff.Say:
			t.say(e.To, e.Batch, now)
		case handoff.Answer:
			t.answer(e, now, token)
		case handoff.Reply:
			out = t.reply(e, out)
		case handoff.Move:
			t.log.WithFields(logrus.Fields{"motion": e.Motion, "member": e.Claim.Name, "life": e.Claim.Life, "parts": e.Claim.Mask}).Info("estate: proposed")
			t.seat.Propose(consensus.Proposal(e.Motion, e.Claim, e.Version))
		case handoff.Refresh:
			if now > t.refreshed+refreshMS {
				t.refreshed = now
				t.seat.RefreshConfiguration()
			}
		case handoff.Note:
			t.log.WithFields(logrus.Fields{"of": e.ID, "count": e.Count}).Warn("estate: " + e.Text)
		}
	}
	return out
}

// answer answers another member, once what it asked to be kept lasts, where that is wanted.
func (t *Trustee) answer(e *handoff.Effect, now float64, token uint64) {
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
func (t *Trustee) reply(e *handoff.Effect, out []dispatch.Follow) []dispatch.Follow {
	q := t.questions[e.Token]
	delete(t.questions, e.Token)
	switch {
	case q == nil:
	case e.Outcome == handoff.Unknown:
		out = append(out, dispatch.Follow{Kind: dispatch.AskOn, Ask: q})
	default:
		q.Reply(ledger.Effect{Kind: ledger.Tell, Outcome: ledgers[e.Outcome], Body: e.Answer, AgeMS: e.AfterMS})
	}
	return out
}

// nobody is the client of a search whose own client went with its controller.
type nobody struct{}

func (nobody) Handled(uint64, []byte) {}
func (nobody) Denied(uint64, float64) {}
func (nobody) Failed(uint64)          {}
