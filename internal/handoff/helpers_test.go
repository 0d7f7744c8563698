package handoff

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// cluster is some managers whose messages arrive at once.
type cluster struct {
	t         *testing.T
	now       float64
	managers  []*Manager
	members   []placement.Member
	table     placement.Table
	down      map[int]bool
	drops     func(from, to int, it *Item) bool // whether an item is lost in transit
	dropAcks  bool                              // replies that something is stored are lost in transit
	effects   []map[EffectKind][]Effect         // by member, those that are not carried out here
	proposals []Effect
}

func newCluster(t *testing.T, n, copies int, change func(*Settings)) *cluster {
	c := &cluster{t: t, now: 1000, down: map[int]bool{}}
	settings := DefaultSettings()
	settings.Classes = []scheduler.RequestClass{
		{Name: "keyed", Idempotency: scheduler.Keyed, DedupWindowMS: 20e3, DeadlineMS: 5e3},
		{Name: "once", Idempotency: scheduler.NonIdempotent, DeadlineMS: 5e3},
		{Name: "idempotent", Idempotency: scheduler.Idempotent, DeadlineMS: 5e3},
	}
	settings.AdoptClasses = []string{"idempotent"}
	if change != nil {
		change(&settings)
	}
	for k := range n {
		name := fmt.Sprint("n", k)
		c.members = append(c.members, placement.Member{Name: name, Incarnation: 1})
		c.managers = append(c.managers, New(Member{name, 1}, settings, uint32(k)))
		c.effects = append(c.effects, map[EffectKind][]Effect{})
	}
	c.table.Reassign(c.members, copies)
	require.NotEmpty(t, c.table.Partitions)
	c.announce()
	return c
}

// announce tells all members what is agreed.
func (c *cluster) announce() {
	c.table.Step++
	for k := range c.managers {
		c.announceTo(k)
	}
}

func (c *cluster) announceTo(k int) {
	table := c.table.Clone()
	c.step(k, &Event{Kind: PlacementChanged, Members: slices.Clone(c.members), Table: &table})
}

// lose has it agreed that a member is lost.
func (c *cluster) lose(k int) {
	c.down[k] = true
	c.members[k].Lost = true
	c.table.Reassign(c.members, 0)
	c.announce()
}

// tick lets time go by, and agrees to what is proposed.
func (c *cluster) tick(ms float64) {
	for until := c.now + ms; c.now < until; {
		c.now += 100
		for k := range c.managers {
			c.step(k, &Event{Kind: Ticked})
		}
		c.agree()
	}
}

func (c *cluster) agree() {
	for len(c.proposals) > 0 {
		proposal := c.proposals[0]
		c.proposals = c.proposals[1:]
		if c.apply(proposal) {
			c.announce()
		}
	}
}

func (c *cluster) apply(proposal Effect) (changed bool) {
	claim := proposal.Claim
	switch proposal.Proposal {
	case ProposalReady:
		return c.table.MarkReady(c.members, claim.Name, claim.Incarnation, claim.Partitions, proposal.Version)
	case ProposalClaim:
		return c.table.Claim(c.members, claim)
	case ProposalSettled:
		return c.table.Settle(claim)
	case ProposalReinitialize:
		return c.table.Reinitialize(c.members, claim.Partitions)
	}
	return false
}

func (c *cluster) step(k int, ev *Event) []Effect {
	if c.down[k] {
		return nil
	}
	ev.LeaseHeld = true
	effects := slices.Clone(c.managers[k].Step(c.now, ev))
	batches := make([][]byte, len(effects)) // as they are at the end of the step: what they point at goes on changing
	for n, e := range effects {
		if e.Kind == SendBatch {
			batches[n] = e.Batch.Append(nil, c.now)
		}
	}
	for n, e := range effects {
		switch e.Kind {
		case SendBatch:
			c.deliver(k, e, batches[n])
		case Propose:
			c.proposals = append(c.proposals, e)
		default:
			c.effects[k][e.Kind] = append(c.effects[k][e.Kind], e)
		}
	}
	return effects
}

// deliver brings a batch to its member and the reply back, both as they go over the wire.
func (c *cluster) deliver(from int, e Effect, data []byte) {
	sent := e.Batch
	answer := func(reply *Batch) { c.step(from, &Event{Kind: BatchAnswered, To: e.To, Sent: sent, Batch: reply}) }
	to := slices.IndexFunc(c.members[:len(c.managers)], func(m placement.Member) bool { return m.Name == e.To })
	lost := to < 0 || c.down[to]
	for n := range sent.Items {
		lost = lost || c.drops != nil && c.drops(from, to, &sent.Items[n])
	}
	if lost {
		answer(nil)
		return
	}
	batch, err := ReadBatch(data, c.now)
	require.NoError(c.t, err)
	for n := range batch.Items {
		if it := &batch.Items[n]; it.Op == OpRegister && it.Copy != nil {
			require.Equal(c.t, it.Sequence, it.Copy.Sequence, "a message does not bear the sequence of a later one")
		}
	}
	for _, f := range c.step(to, &Event{Kind: BatchReceived, Batch: batch, Token: 1}) {
		if f.Kind != ReplyBatch || c.dropAcks && slices.ContainsFunc(f.Batch.Items, func(it Item) bool { return it.Op == OpStored }) {
			continue
		}
		reply, err := ReadBatch(f.Batch.Append(nil, c.now), c.now)
		require.NoError(c.t, err)
		answer(reply)
	}
}

// arrive has a request arrive at a member.
func (c *cluster) arrive(k int, class, id, idempotencyKey string) []Effect {
	return c.step(k, &Event{Kind: RequestArriving, ID: id, Copy: &Copy{
		RequestData: RequestData{ID: id, IdempotencyKey: idempotencyKey, Class: class, Body: []byte("select")}, Deadline: c.now + 5000}})
}

// effectsFor returns a member's effects of a kind for a request, so far.
func (c *cluster) effectsFor(k int, kind EffectKind, id string) (list []Effect) {
	for _, e := range c.effects[k][kind] {
		if e.ID == id || e.Copy != nil && e.Copy.ID == id && kind == Adopt {
			list = append(list, e)
		}
	}
	return list
}

// attempt has an attempt of a request made, and reports whether it leaves.
func (c *cluster) attempt(k int, id string) bool {
	c.step(k, &Event{Kind: AttemptStarting, ID: id, Zone: "here"})
	return len(c.effectsFor(k, ReleaseAttempt, id)) > 0
}

// finish ends a request, and reports whether its answer is withheld.
func (c *cluster) finish(k int, id string, outcome Outcome, answer string) (withheld bool) {
	for _, e := range c.step(k, &Event{Kind: RequestEnding, ID: id, Outcome: outcome, Answer: []byte(answer)}) {
		withheld = withheld || e.Kind == WithholdAnswer
	}
	c.step(k, &Event{Kind: RequestClosed, ID: id, Outcome: outcome, Answer: []byte(answer)})
	return withheld
}

// checkCounts checks that the counters of copies add up everywhere.
func (c *cluster) checkCounts() {
	for k, m := range c.managers {
		n := m.Counts()
		require.Equal(c.t, n.CopiesReceived, n.Settled+n.Adopted+n.Failed+n.Dropped+n.Open, "n%d: %+v", k, n)
	}
}

// adopters returns the members that adopt a request.
func (c *cluster) adopters(id string) (members []int) {
	for k := range c.managers {
		if len(c.effectsFor(k, Adopt, id)) > 0 {
			members = append(members, k)
		}
	}
	return members
}
