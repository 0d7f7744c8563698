package handoff

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// testCluster is a set of managers that exchange messages without delay. Members are referred to by their index.
type testCluster struct {
	t         *testing.T
	now       float64
	managers  []*Manager
	members   []placement.Member
	table     placement.Table
	down      map[int]bool                      // members that process no events
	leaseOver map[int]bool                      // members that do not hold their lease
	drops     func(from, to int, it *Item) bool // reports whether an item is lost in transit
	dropAcks  bool                              // replies with an OpStored are lost in transit
	paused    map[int][]func()                  // by paused member, the deliveries that wait for it
	effects   []map[EffectKind][]Effect         // by member, the effects that step does not carry out
	proposals []Effect                          // proposals that are not agreed on yet
}

// newCluster returns a cluster of n members whose table asks for the given number of copies. Change may modify the
// settings.
func newCluster(t *testing.T, n, copies int, change func(*Settings)) *testCluster {
	c := &testCluster{t: t, now: 1000, down: map[int]bool{}, leaseOver: map[int]bool{}, paused: map[int][]func(){}}
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
	require.NotEmpty(t, c.table.Partitions, "the table has no replicas assigned")
	c.announce()
	return c
}

// announce sends the agreed members and table to all members.
func (c *testCluster) announce() {
	c.table.Step++
	for k := range c.managers {
		c.announceTo(k)
	}
}

func (c *testCluster) announceTo(k int) {
	table := c.table.Clone()
	c.step(k, &Event{Kind: PlacementChanged, Members: slices.Clone(c.members), Table: &table})
}

// declareLost stops a member and has the consensus group declare it lost.
func (c *testCluster) declareLost(k int) {
	c.down[k] = true
	c.members[k].Lost = true
	c.table.Reassign(c.members, 0)
	c.announce()
}

// pause stops members that receive what is sent to them meanwhile when they resume.
func (c *testCluster) pause(members ...int) {
	for _, k := range members {
		c.paused[k] = []func(){}
	}
}

// resume ends the pause of members.
func (c *testCluster) resume(members ...int) {
	for _, k := range members {
		deliveries := c.paused[k]
		delete(c.paused, k)
		for _, deliver := range deliveries {
			deliver()
		}
	}
}

// tick advances the time in steps of 100 ms, and agrees to all proposals.
func (c *testCluster) tick(ms float64) {
	for until := c.now + ms; c.now < until; {
		c.now += 100
		for k := range c.managers {
			if _, paused := c.paused[k]; !paused {
				c.step(k, &Event{Kind: Ticked})
			}
		}
		c.applyProposals()
	}
}

// applyProposals applies the pending proposals to the table.
func (c *testCluster) applyProposals() {
	for len(c.proposals) > 0 {
		proposal := c.proposals[0]
		c.proposals = c.proposals[1:]
		if c.apply(proposal) {
			c.announce()
		}
	}
}

// apply applies a proposal to the table, and reports whether the table changed.
func (c *testCluster) apply(proposal Effect) (changed bool) {
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

// step sends an event to a member, delivers the batches that it sends, and records its other effects.
func (c *testCluster) step(k int, ev *Event) []Effect {
	if c.down[k] {
		return nil
	}
	ev.LeaseHeld = !c.leaseOver[k]
	effects := slices.Clone(c.managers[k].Step(c.now, ev))
	batches := make([][]byte, len(effects)) // encoded before later steps change the copies that they point to
	for i, effect := range effects {
		if effect.Kind == SendBatch {
			batches[i] = effect.Batch.Append(nil, c.now)
		}
	}
	for i, effect := range effects {
		switch effect.Kind {
		case SendBatch:
			c.deliver(k, effect, batches[i])
		case Propose:
			c.proposals = append(c.proposals, effect)
		default:
			c.effects[k][effect.Kind] = append(c.effects[k][effect.Kind], effect)
		}
	}
	return effects
}

// deliver takes a batch to its receiver, and the reply back, both encoded and decoded as on the wire.
func (c *testCluster) deliver(from int, effect Effect, data []byte) {
	sent := effect.Batch
	deliverReply := func(reply *Batch) {
		c.step(from, &Event{Kind: BatchAnswered, To: effect.To, Sent: sent, Batch: reply})
	}
	to := slices.IndexFunc(c.members[:len(c.managers)], func(m placement.Member) bool { return m.Name == effect.To })
	lost := to < 0 || c.down[to]
	for i := range sent.Items {
		lost = lost || c.drops != nil && c.drops(from, to, &sent.Items[i])
	}
	if lost {
		deliverReply(nil)
		return
	}
	receive := func() { c.receive(to, data, deliverReply) }
	if deliveries, paused := c.paused[to]; paused {
		c.paused[to] = append(deliveries, receive)
		return
	}
	receive()
}

// receive has a member handle an encoded batch, and delivers its reply.
func (c *testCluster) receive(to int, data []byte, deliverReply func(*Batch)) {
	batch, err := ReadBatch(data, c.now)
	require.NoError(c.t, err)
	for i := range batch.Items {
		if item := &batch.Items[i]; item.Op == OpRegister && item.Copy != nil {
			require.Equal(c.t, item.Sequence, item.Copy.Sequence,
				"the copy in a registration has the sequence of a later message")
		}
	}
	isStored := func(item Item) bool { return item.Op == OpStored }
	for _, effect := range c.step(to, &Event{Kind: BatchReceived, Batch: batch, Token: 1}) {
		if effect.Kind != ReplyBatch || c.dropAcks && slices.ContainsFunc(effect.Batch.Items, isStored) {
			continue
		}
		reply, err := ReadBatch(effect.Batch.Append(nil, c.now), c.now)
		require.NoError(c.t, err)
		deliverReply(reply)
	}
}

// submitRequest sends a client's request to a member.
func (c *testCluster) submitRequest(k int, class, id, idempotencyKey string) []Effect {
	return c.step(k, &Event{Kind: RequestArriving, ID: id, Copy: &Copy{
		RequestData: RequestData{ID: id, IdempotencyKey: idempotencyKey, Class: class, Body: []byte("select")},
		Deadline:    c.now + 5000,
	}})
}

// effectsFor returns the recorded effects of a kind that a member returned for a request.
func (c *testCluster) effectsFor(k int, kind EffectKind, id string) (list []Effect) {
	for _, effect := range c.effects[k][kind] {
		if effect.ID == id || effect.Copy != nil && effect.Copy.ID == id && kind == Adopt {
			list = append(list, effect)
		}
	}
	return list
}

// startAttempt starts an attempt of a request, and reports whether an attempt of the request has been released.
func (c *testCluster) startAttempt(k int, id string) bool {
	c.step(k, &Event{Kind: AttemptStarting, ID: id, Zone: "here"})
	c.step(k, &Event{Kind: AttemptPermitted, ID: id})
	return len(c.effectsFor(k, ReleaseAttempt, id)) > 0
}

// finishRequest ends a request, and reports whether its answer is withheld.
func (c *testCluster) finishRequest(k int, id string, outcome Outcome, answer string) (withheld bool) {
	for _, effect := range c.step(k, &Event{Kind: RequestEnding, ID: id, Outcome: outcome, Answer: []byte(answer)}) {
		withheld = withheld || effect.Kind == WithholdAnswer
	}
	c.step(k, &Event{Kind: RequestClosed, ID: id, Outcome: outcome, Answer: []byte(answer)})
	return withheld
}

// queryOutcome asks a member for the outcome of the request with an id.
func (c *testCluster) queryOutcome(k int, id string) Outcome {
	c.effects[k][ReplyOutcome] = nil
	c.step(k, &Event{Kind: OutcomeQueried, ID: id, Token: 3})
	c.tick(200)
	require.Len(c.t, c.effects[k][ReplyOutcome], 1)
	return c.effects[k][ReplyOutcome][0].Outcome
}

// checkCounts checks on all members that each received copy is counted under exactly one result.
func (c *testCluster) checkCounts() {
	for k, m := range c.managers {
		counts := m.Counts()
		results := counts.Settled + counts.Adopted + counts.Failed + counts.Dropped + counts.Open
		require.Equal(c.t, counts.CopiesReceived, results, "n%d: copies received and their results differ: %+v", k, counts)
	}
}

// adopters returns the members that have adopted a request.
func (c *testCluster) adopters(id string) (members []int) {
	for k := range c.managers {
		if len(c.effectsFor(k, Adopt, id)) > 0 {
			members = append(members, k)
		}
	}
	return members
}
