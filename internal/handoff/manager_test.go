package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A key that another controller owns is not begun a second time, wherever it comes, and its answer goes to all that wait.
func TestManager_RunsKeyOnceForConcurrentCallers(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	c.arrive(0, "keyed", "a", "m")
	require.Len(t, c.effectsFor(0, Resume, "a"), 1)
	c.arrive(1, "keyed", "b", "m")
	c.arrive(2, "keyed", "c", "m")
	c.arrive(0, "keyed", "d", "m")
	c.tick(1000)
	for k, id := range map[int]string{1: "b", 2: "c", 0: "d"} {
		assert.Empty(t, append(c.effectsFor(k, Resume, id), c.effectsFor(k, AnswerSuspended, id)...), id)
	}
	assert.True(t, c.attempt(0, "a"))
	assert.False(t, c.finish(0, "a", Succeeded, "rows"), "its answer is not withheld")
	c.tick(1000)
	for k, id := range map[int]string{1: "b", 2: "c", 0: "d"} {
		require.Len(t, c.effectsFor(k, AnswerSuspended, id), 1, id)
		assert.Equal(t, []any{Succeeded, "rows"}, []any{c.effectsFor(k, AnswerSuspended, id)[0].Outcome, string(c.effectsFor(k, AnswerSuspended, id)[0].Answer)})
	}
	c.checkCounts()
}

// An attempt leaves once a quorum knows of it, not before, and not at all where there is none.
func TestManager_HoldsAttemptsUntilQuorum(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	c.arrive(0, "keyed", "a", "m")
	reached := map[int]bool{}
	c.drops = func(_, to int, it *Item) bool { return it.Op == OpAttempt && !reached[to] }
	assert.False(t, c.attempt(0, "a"), "one of five is no quorum")
	reached[1] = true
	c.tick(200)
	assert.Empty(t, c.effectsFor(0, ReleaseAttempt, "a"), "two are no quorum")
	reached[2] = true
	c.tick(100)
	assert.Len(t, c.effectsFor(0, ReleaseAttempt, "a"), 1)
	c.arrive(0, "keyed", "b", "m2")
	c.drops = func(_, _ int, it *Item) bool { return it.Op == OpAttempt }
	assert.False(t, c.attempt(0, "b"))
	c.tick(500)
	assert.Len(t, c.effectsFor(0, FailAttempt, "b"), 1)
	c.step(0, &Event{Kind: AttemptEnded, ID: "b", NeverRan: true})
	c.drops = nil
	c.finish(0, "b", Rejected, "")
	c.tick(1000)
	c.arrive(3, "keyed", "c", "m2")
	require.Len(t, c.effectsFor(3, Resume, "c"), 1)
	assert.Zero(t, c.effectsFor(3, Resume, "c")[0].Prior, "no attempt of it ever left")
}

// A rejection of a non-idempotent request waits until no successor can go on with it; what was only registered is never sent by one.
func TestManager_WithholdsRejectionOfNonIdempotentUntilQuorum(t *testing.T) {
	c := newCluster(t, 6, 2, nil)
	c.arrive(0, "once", "a", "")
	unreachable := true
	c.drops = func(_, _ int, it *Item) bool { return unreachable && it.Op == OpClose }
	assert.True(t, c.finish(0, "a", Rejected, ""))
	assert.Empty(t, c.effectsFor(0, DeliverAnswer, "a"))
	unreachable = false
	c.tick(200)
	require.Len(t, c.effectsFor(0, DeliverAnswer, "a"), 1)
	assert.Equal(t, Rejected, c.effectsFor(0, DeliverAnswer, "a")[0].Outcome)
	// A request is registered by a quorum, and its owner never learns of that: it rejects it, and is lost.
	c.drops = func(_, _ int, it *Item) bool { return it.Op == OpAttempt || it.Op == OpWithdraw }
	c.arrive(0, "once", "b", "")
	c.managers[0].owned[KeyOf("", "b")].phase = phaseDone
	c.drops = nil
	c.lose(0)
	c.tick(2000)
	assert.Empty(t, c.adopters("b"))
}

// A key that comes again after its outcome was uncertain goes on while it is surely known as a repeat, and no longer.
func TestManager_ReusedKeyWithinAndPastWindow(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	c.arrive(0, "keyed", "a", "m")
	require.True(t, c.attempt(0, "a"))
	c.finish(0, "a", Failed, "")
	c.tick(500)
	c.arrive(2, "keyed", "b", "m")
	require.Len(t, c.effectsFor(2, Resume, "b"), 1)
	assert.NotZero(t, c.effectsFor(2, Resume, "b")[0].Prior.At)
	c.finish(2, "b", Failed, "")
	c.tick(19_000)
	c.arrive(3, "keyed", "c", "m")
	require.Len(t, c.effectsFor(3, AnswerSuspended, "c"), 1)
	assert.Equal(t, Failed, c.effectsFor(3, AnswerSuspended, "c")[0].Outcome)
}

// A request that could not be registered is rejected; replicas that missed its withdrawal receive it later: whoever comes again
// with its key is not held up by one that nobody has.
func TestManager_WithdrawsRegistrationEverywhere(t *testing.T) {
	c := newCluster(t, 6, 2, nil)
	c.drops = func(_, to int, it *Item) bool { return to != 1 && it.Op == OpRegister || it.Op == OpWithdraw } // no quorum, and no withdrawal arrives
	c.arrive(0, "keyed", "a", "m")
	c.tick(1500)
	require.Len(t, c.effectsFor(0, AnswerSuspended, "a"), 1)
	assert.Equal(t, Rejected, c.effectsFor(0, AnswerSuspended, "a")[0].Outcome)
	c.drops = nil
	c.tick(3000)
	for k := range c.managers {
		assert.Nil(t, c.managers[k].copies[KeyOf("m", "")], "n%d", k)
		assert.Empty(t, c.managers[k].withdrawals, "n%d", k)
		assert.Empty(t, c.managers[k].withdrawalsByID, "n%d", k)
	}
	c.arrive(3, "keyed", "b", "m")
	assert.Len(t, c.effectsFor(3, Resume, "b"), 1, "it goes on at once")
	c.checkCounts()
}

// Whoever registers a key that may have run learns of that, however often it has to ask: the replies to its first registration are lost, and
// it is no replica itself. It must not go on as if the key were new.
func TestManager_RepeatsEarlierAttemptOnEachRegistration(t *testing.T) {
	c := newCluster(t, 6, 2, nil)
	resumed := 0
	for n := range 40 {
		key := fmt.Sprint("m", n)
		partition, owner, asker := KeyOf(key, "").Partition(), -1, -1
		for k := range c.managers {
			if c.managers[k].isReplica(partition) {
				owner = k
			} else {
				asker = k
			}
		}
		id := "a" + key
		c.arrive(owner, "keyed", id, key)
		require.True(t, c.attempt(owner, id))
		c.finish(owner, id, Failed, "")
		c.tick(300)
		c.dropAcks = true
		c.arrive(asker, "keyed", "b"+key, key)
		c.tick(100)
		c.dropAcks = false
		c.tick(600)
		for _, f := range c.effectsFor(asker, Resume, "b"+key) {
			resumed++
			assert.NotZero(t, f.Prior.At, "it goes on as if it were new")
		}
	}
	assert.NotZero(t, resumed)
}

// Queries by id or key are answered wherever they are asked; what nobody knows is reported as unknown.
func TestManager_AnswersOutcomeQueries(t *testing.T) {
	c := newCluster(t, 6, 2, nil)
	c.arrive(0, "keyed", "a", "m")
	query := func(k int, id, key string) Effect {
		c.effects[k][ReplyOutcome] = nil
		c.step(k, &Event{Kind: OutcomeQueried, ID: id, IdempotencyKey: key, Token: 7})
		c.tick(1000)
		require.Len(t, c.effects[k][ReplyOutcome], 1)
		return c.effects[k][ReplyOutcome][0]
	}
	assert.Equal(t, Open, query(5, "", "m").Outcome)
	assert.Equal(t, "n0", query(5, "a", "").Owner, "by its id, too")
	require.True(t, c.attempt(0, "a"))
	c.finish(0, "a", Succeeded, "rows")
	for k := range 6 {
		f := query(k, "a", "")
		assert.Equal(t, []any{Succeeded, "rows"}, []any{f.Outcome, string(f.Answer)})
		assert.Equal(t, Unknown, query(k, "b", "").Outcome)
	}
}

// An idempotent request is copied only if it takes long, and run again only within the retry budget.
func TestManager_CopiesLongRunningIdempotentWithinBudget(t *testing.T) {
	c := newCluster(t, 5, 2, func(s *Settings) { s.RetryBudget.Floor, s.RetryBudget.Share = 2, 0 })
	for k := range 6 {
		c.arrive(0, "idempotent", fmt.Sprint("s", k), "")
	}
	c.step(0, &Event{Kind: RequestClosed, ID: "s0", Outcome: Succeeded})
	for k := 1; k < 5; k++ {
		assert.Zero(t, c.managers[k].Counts().CopiesStored, "nothing yet")
	}
	c.tick(200)
	c.lose(0)
	c.tick(2000)
	assert.Empty(t, c.adopters("s0"))
	again := 0
	for k := 1; k < 6; k++ {
		again += len(c.adopters(fmt.Sprint("s", k)))
	}
	assert.Positive(t, again)
	for k := 1; k < 5; k++ {
		assert.LessOrEqual(t, len(c.effects[k][Adopt]), 2)
	}
	c.checkCounts()
}
