package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Concurrent requests with one idempotency key must run once, and all of them get its answer.
func TestManager_RunsKeyOnceForConcurrentCallers(t *testing.T) {
	cluster := newCluster(t, 5, 2, nil)
	cluster.submitRequest(0, "keyed", "a", "m")
	require.Len(t, cluster.effectsFor(0, Resume, "a"), 1)
	cluster.submitRequest(1, "keyed", "b", "m")
	cluster.submitRequest(2, "keyed", "c", "m")
	cluster.submitRequest(0, "keyed", "d", "m")
	cluster.tick(1000)
	for k, id := range map[int]string{1: "b", 2: "c", 0: "d"} {
		effects := append(cluster.effectsFor(k, Resume, id), cluster.effectsFor(k, AnswerSuspended, id)...)
		assert.Empty(t, effects, "request %s does not wait for the owner of its key", id)
	}
	assert.True(t, cluster.startAttempt(0, "a"))
	assert.False(t, cluster.finishRequest(0, "a", Succeeded, "rows"), "the answer of an owner with a lease is withheld")
	cluster.tick(1000)
	for k, id := range map[int]string{1: "b", 2: "c", 0: "d"} {
		answers := cluster.effectsFor(k, AnswerSuspended, id)
		require.Len(t, answers, 1, "answers to request %s", id)
		assert.Equal(t, []any{Succeeded, "rows"}, []any{answers[0].Outcome, string(answers[0].Answer)})
	}
	cluster.checkCounts()
}

// An attempt must not be sent before a quorum has stored it, and fails if no quorum does in time.
func TestManager_HoldsAttemptsUntilQuorum(t *testing.T) {
	cluster := newCluster(t, 5, 2, nil)
	cluster.submitRequest(0, "keyed", "a", "m")
	reached := map[int]bool{}
	cluster.drops = func(_, to int, item *Item) bool { return item.Op == OpAttempt && !reached[to] }
	assert.False(t, cluster.startAttempt(0, "a"), "one replica of five is not a quorum")
	reached[1] = true
	cluster.tick(200)
	assert.Empty(t, cluster.effectsFor(0, ReleaseAttempt, "a"), "two replicas of five are not a quorum")
	reached[2] = true
	cluster.tick(100)
	assert.Len(t, cluster.effectsFor(0, ReleaseAttempt, "a"), 1)
	cluster.submitRequest(0, "keyed", "b", "m2")
	cluster.drops = func(_, _ int, item *Item) bool { return item.Op == OpAttempt }
	assert.False(t, cluster.startAttempt(0, "b"))
	cluster.tick(500)
	assert.Len(t, cluster.effectsFor(0, FailAttempt, "b"), 1)
	cluster.step(0, &Event{Kind: AttemptEnded, ID: "b", NeverRan: true})
	cluster.drops = nil
	cluster.finishRequest(0, "b", Rejected, "")
	cluster.tick(1000)
	cluster.submitRequest(3, "keyed", "c", "m2")
	require.Len(t, cluster.effectsFor(3, Resume, "c"), 1)
	assert.Zero(t, cluster.effectsFor(3, Resume, "c")[0].Prior, "no attempt of the key was sent before")
}

// An attempt that its owner's disk still holds has not been sent. A successor of the owner must send the request, and not
// report it as failed.
func TestManager_SuccessorSendsRequestWhoseAttemptWaitedForDisk(t *testing.T) {
	cluster := newCluster(t, 5, 2, nil)
	cluster.submitRequest(0, "keyed", "a", "m")
	cluster.step(0, &Event{Kind: AttemptStarting, ID: "a", Zone: "here"})
	require.Len(t, cluster.effectsFor(0, HoldAttempt, "a"), 1)
	cluster.tick(200)
	assert.Empty(t, cluster.effectsFor(0, ReleaseAttempt, "a"), "the disk still holds the attempt")
	cluster.declareLost(0)
	cluster.tick(2000)
	adopters := cluster.adopters("a")
	require.Len(t, adopters, 1)
	assert.Zero(t, cluster.effectsFor(adopters[0], Adopt, "a")[0].Prior, "no attempt can have run")
	cluster.checkCounts()
}

// An attempt that never leaves the disk's hold leaves no trace, and the next attempt is replicated like a first one.
func TestManager_ForgetsAttemptThatDiskFailed(t *testing.T) {
	cluster := newCluster(t, 5, 2, nil)
	cluster.submitRequest(0, "keyed", "a", "m")
	cluster.step(0, &Event{Kind: AttemptStarting, ID: "a", Zone: "here"})
	cluster.step(0, &Event{Kind: AttemptEnded, ID: "a", NeverRan: true})
	cluster.step(0, &Event{Kind: AttemptPermitted, ID: "a"})
	assert.Empty(t, cluster.effectsFor(0, ReleaseAttempt, "a"), "the attempt has ended")
	assert.Equal(t, NotRun, cluster.managers[1].copies[KeyOf("m", "")].RunState)
	assert.True(t, cluster.startAttempt(0, "a"))
	assert.Equal(t, MayHaveRun, cluster.managers[1].copies[KeyOf("m", "")].RunState)
}

// A non-idempotent request must not be sent by a successor after its owner rejected it, or if its owner never learned
// that it was registered.
func TestManager_WithholdsRejectionOfNonIdempotentUntilQuorum(t *testing.T) {
	cluster := newCluster(t, 6, 2, nil)
	cluster.submitRequest(0, "once", "a", "")
	unreachable := true
	cluster.drops = func(_, _ int, item *Item) bool { return unreachable && item.Op == OpClose }
	assert.True(t, cluster.finishRequest(0, "a", Rejected, ""))
	assert.Empty(t, cluster.effectsFor(0, DeliverAnswer, "a"))
	unreachable = false
	cluster.tick(200)
	require.Len(t, cluster.effectsFor(0, DeliverAnswer, "a"), 1)
	assert.Equal(t, Rejected, cluster.effectsFor(0, DeliverAnswer, "a")[0].Outcome)
	// The owner never learns that a quorum has registered the request, rejects the request, and is then lost.
	cluster.drops = func(_, _ int, item *Item) bool { return item.Op == OpAttempt || item.Op == OpWithdraw }
	cluster.submitRequest(0, "once", "b", "")
	cluster.managers[0].owned[KeyOf("", "b")].phase = phaseDone
	cluster.drops = nil
	cluster.declareLost(0)
	cluster.tick(2000)
	assert.Empty(t, cluster.adopters("b"))
}

// A key whose earlier attempt may have run must run again only while executors are sure to drop the repeat.
func TestManager_ReusedKeyWithinAndPastWindow(t *testing.T) {
	cluster := newCluster(t, 5, 2, nil)
	cluster.submitRequest(0, "keyed", "a", "m")
	require.True(t, cluster.startAttempt(0, "a"))
	cluster.finishRequest(0, "a", Failed, "")
	cluster.tick(500)
	cluster.submitRequest(2, "keyed", "b", "m")
	require.Len(t, cluster.effectsFor(2, Resume, "b"), 1)
	assert.NotZero(t, cluster.effectsFor(2, Resume, "b")[0].Prior.At)
	cluster.finishRequest(2, "b", Failed, "")
	cluster.tick(19_000)
	cluster.submitRequest(3, "keyed", "c", "m")
	require.Len(t, cluster.effectsFor(3, AnswerSuspended, "c"), 1)
	assert.Equal(t, Failed, cluster.effectsFor(3, AnswerSuspended, "c")[0].Outcome)
}

// A withdrawal must reach replicas that missed it at first. Otherwise later requests with the key wait for a request
// that was rejected.
func TestManager_WithdrawsRegistrationEverywhere(t *testing.T) {
	cluster := newCluster(t, 6, 2, nil)
	cluster.drops = func(_, to int, item *Item) bool {
		return to != 1 && item.Op == OpRegister || item.Op == OpWithdraw // no quorum, and no withdrawal arrives
	}
	cluster.submitRequest(0, "keyed", "a", "m")
	cluster.tick(1500)
	require.Len(t, cluster.effectsFor(0, AnswerSuspended, "a"), 1)
	assert.Equal(t, Rejected, cluster.effectsFor(0, AnswerSuspended, "a")[0].Outcome)
	cluster.drops = nil
	cluster.tick(3000)
	for k := range cluster.managers {
		assert.Nil(t, cluster.managers[k].copies[KeyOf("m", "")], "n%d still stores the copy", k)
		assert.Empty(t, cluster.managers[k].withdrawals, "n%d still has a withdrawal", k)
		assert.Empty(t, cluster.managers[k].withdrawalsByID, "n%d still indexes a withdrawal", k)
	}
	cluster.submitRequest(3, "keyed", "b", "m")
	assert.Len(t, cluster.effectsFor(3, Resume, "b"), 1, "the request with the withdrawn key is not resumed at once")
	cluster.checkCounts()
}

// A controller that resends a registration must still learn of an earlier attempt of the key, although the replies to
// the first registration were lost and the controller is not a replica itself.
func TestManager_RepeatsEarlierAttemptOnEachRegistration(t *testing.T) {
	cluster := newCluster(t, 6, 2, nil)
	resumed := 0
	for n := range 40 {
		key := fmt.Sprint("m", n)
		partition, owner, other := KeyOf(key, "").Partition(), -1, -1
		for k := range cluster.managers {
			if cluster.managers[k].isReplica(partition) {
				owner = k
			} else {
				other = k
			}
		}
		id := "a" + key
		cluster.submitRequest(owner, "keyed", id, key)
		require.True(t, cluster.startAttempt(owner, id))
		cluster.finishRequest(owner, id, Failed, "")
		cluster.tick(300)
		cluster.dropAcks = true
		cluster.submitRequest(other, "keyed", "b"+key, key)
		cluster.tick(100)
		cluster.dropAcks = false
		cluster.tick(600)
		for _, effect := range cluster.effectsFor(other, Resume, "b"+key) {
			resumed++
			assert.NotZero(t, effect.Prior.At, "the request is resumed without the earlier attempt of its key")
		}
	}
	assert.NotZero(t, resumed, "no request was resumed")
}

// Any member must answer outcome queries by id or idempotency key, and report unknown requests as Unknown.
func TestManager_AnswersOutcomeQueries(t *testing.T) {
	cluster := newCluster(t, 6, 2, nil)
	cluster.submitRequest(0, "keyed", "a", "m")
	query := func(k int, id, key string) Effect {
		cluster.effects[k][ReplyOutcome] = nil
		cluster.step(k, &Event{Kind: OutcomeQueried, ID: id, IdempotencyKey: key, Token: 7})
		cluster.tick(1000)
		require.Len(t, cluster.effects[k][ReplyOutcome], 1)
		return cluster.effects[k][ReplyOutcome][0]
	}
	assert.Equal(t, Open, query(5, "", "m").Outcome)
	assert.Equal(t, "n0", query(5, "a", "").Owner, "the owner is not found by the request id")
	require.True(t, cluster.startAttempt(0, "a"))
	cluster.finishRequest(0, "a", Succeeded, "rows")
	for k := range 6 {
		reply := query(k, "a", "")
		assert.Equal(t, []any{Succeeded, "rows"}, []any{reply.Outcome, string(reply.Answer)})
		assert.Equal(t, Unknown, query(k, "b", "").Outcome)
	}
}

// Idempotent requests must be copied only after CopyAfterMS, and be run again only within the retry budget.
func TestManager_CopiesLongRunningIdempotentWithinBudget(t *testing.T) {
	cluster := newCluster(t, 5, 2, func(s *Settings) { s.RetryBudget.Floor, s.RetryBudget.Share = 2, 0 })
	for k := range 6 {
		cluster.submitRequest(0, "idempotent", fmt.Sprint("s", k), "")
	}
	cluster.step(0, &Event{Kind: RequestClosed, ID: "s0", Outcome: Succeeded})
	for k := 1; k < 5; k++ {
		assert.Zero(t, cluster.managers[k].Counts().CopiesStored, "a request is copied before CopyAfterMS")
	}
	cluster.tick(200)
	cluster.declareLost(0)
	cluster.tick(2000)
	assert.Empty(t, cluster.adopters("s0"))
	reruns := 0
	for k := 1; k < 6; k++ {
		reruns += len(cluster.adopters(fmt.Sprint("s", k)))
	}
	assert.Positive(t, reruns, "no request was run again")
	for k := 1; k < 5; k++ {
		assert.LessOrEqual(t, len(cluster.effects[k][Adopt]), 2, "n%d exceeds the retry budget", k)
	}
	cluster.checkCounts()
}

// Guards against adopted requests without time left using up the retry budget of those that could still run.
func TestManager_AdoptedRequestsPastTheirDeadlineTakeNoRetryBudget(t *testing.T) {
	m := newCluster(t, 3, 1, func(s *Settings) { s.RetryBudget.Floor, s.RetryBudget.Share = 1, 0 }).managers[0]
	class := &m.classes[m.classIndex("idempotent")]
	adopted := func(deadline float64) *ownedRequest {
		return &ownedRequest{Copy: Copy{RequestData: RequestData{Class: "idempotent"}, Deadline: deadline, Complete: true}}
	}
	assert.False(t, m.canContinue(adopted(m.now), class))
	assert.True(t, m.canContinue(adopted(m.now+5000), class))
	assert.False(t, m.canContinue(adopted(m.now+5000), class), "the budget is one")
}

// Guards against a close that comes twice, the second time late, closing the next request with the key, so that what is
// known of its attempt is lost and it runs twice.
func TestManager_LateCloseDoesNotEndNextRequest(t *testing.T) {
	c := newCluster(t, 3, 1, nil)
	c.tick(100)
	key := KeyOf("m", "")
	var closes []Item
	c.drops = func(from, to int, it *Item) bool {
		if from == 2 && to == 1 && it.Op == OpClose {
			closes = append(closes, *it)
		}
		return false
	}
	c.submitRequest(2, "keyed", "a", "m")
	c.finishRequest(2, "a", Rejected, "")
	require.NotEmpty(t, closes)
	c.drops = func(from, to int, _ *Item) bool { return from == 2 && to == 0 } // n0 misses what follows
	c.submitRequest(2, "keyed", "b", "m")
	require.True(t, c.startAttempt(2, "b"), "b must be sent, known to n1 and n2")
	require.Equal(t, MayHaveRun, c.managers[1].copies[key].RunState)
	late := &Batch{From: Member{"n2", 1}, Version: c.table.Version, Items: closes[:1]}
	c.step(1, &Event{Kind: BatchReceived, Batch: late, Token: 9}) // the close of a, once more
	known := c.managers[1].copies[key]
	t.Logf("n1 knows of %s: sequence %d, outcome %v, %v", known.ID, known.Sequence, known.Outcome, known.RunState)
	c.drops = nil
	c.declareLost(2)
	c.tick(100)
	c.submitRequest(1, "keyed", "c", "m") // the client repeats b
	c.tick(2000)
	resumed := c.effectsFor(1, Resume, "c")
	for _, effect := range resumed {
		assert.NotZero(t, effect.Prior, "c is sent as a request that has not run, though b may have run")
	}
	t.Logf("resumed %d, adopters of b %v", len(resumed), c.adopters("b"))
	assert.Equal(t, MayHaveRun, known.RunState)
}

// A retention that is raised while a controller runs has to hold for the copies that are stored from then on: they expired
// by the earlier one, and the key ran again.
func TestManager_KeepsCopiesByChangedRetention(t *testing.T) {
	for name, raised := range map[string]bool{"as started": false, "raised": true} {
		cluster := newCluster(t, 5, 2, func(s *Settings) { s.KeyRetentionMS = 5000 })
		if raised {
			for k := range cluster.managers {
				cluster.step(k, &Event{Kind: RetentionChanged, KeyRetentionMS: 600_000})
			}
		}
		cluster.submitRequest(0, "keyed", "a", "m")
		require.True(t, cluster.startAttempt(0, "a"))
		cluster.finishRequest(0, "a", Succeeded, "rows")
		cluster.tick(40_000)
		cluster.submitRequest(2, "keyed", "b", "m")
		if raised {
			require.Len(t, cluster.effectsFor(2, AnswerSuspended, "b"), 1, name)
			assert.Equal(t, Succeeded, cluster.effectsFor(2, AnswerSuspended, "b")[0].Outcome, name)
		} else {
			assert.Len(t, cluster.effectsFor(2, Resume, "b"), 1, "%s: the key is new", name)
		}
	}
}
