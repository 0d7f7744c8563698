package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pausedSuccessors returns a cluster of three in which a request at member 2 is registered, both other members are
// paused, and member 2 has asked them to store the record of its first attempt.
func pausedSuccessors(t *testing.T) *testCluster {
	c := newCluster(t, 3, 1, nil)
	c.tick(100)
	c.submitRequest(2, "keyed", "a", "m")
	require.Len(t, c.effectsFor(2, Resume, "a"), 1)
	c.pause(0, 1)
	require.False(t, c.startAttempt(2, "a"), "an attempt was released without a quorum")
	return c
}

// assertSent checks that one successor adopts request a of lost member 2, and may send it as one that has not run.
func assertSent(t *testing.T, c *testCluster) {
	t.Helper()
	c.declareLost(2)
	c.tick(2000)
	successors := c.adopters("a")
	require.Len(t, successors, 1)
	adopt := c.effectsFor(successors[0], Adopt, "a")
	require.Len(t, adopt, 1)
	assert.Zero(t, adopt[0].Prior, "an attempt that was never sent counts as one that may have run")
	c.checkCounts()
}

// Guards against a request that was never sent being failed because its successors were paused, and stored the record of
// its attempt when nobody waited for their replies any more.
func TestManager_PausedReplicasStoreNoExpiredRecord(t *testing.T) {
	for name, pauseMS := range map[string]float64{"short": 50, "long": 300} {
		t.Run(name, func(t *testing.T) {
			c := pausedSuccessors(t)
			c.now += pauseMS
			c.down[2] = true
			c.resume(0, 1)
			assertSent(t, c)
			assert.NotZero(t, c.managers[0].Counts().RecordsExpired)
		})
	}
}

// Guards against an attempt failing because a replica refuses a record that reached it too late: its owner sends the
// record again.
func TestManager_SendsExpiredRecordAgain(t *testing.T) {
	c := pausedSuccessors(t)
	c.now += 100
	c.resume(0)
	assert.Len(t, c.effectsFor(2, ReleaseAttempt, "a"), 1, "a quorum has stored the record")
}

// Guards against replicas that resume storing the record of an attempt that its owner has failed meanwhile.
func TestManager_SendsNoRecordOfFailedAttempt(t *testing.T) {
	c := pausedSuccessors(t)
	c.tick(400)
	require.Len(t, c.effectsFor(2, FailAttempt, "a"), 1)
	c.down[2] = true
	c.resume(0, 1)
	for k := range 2 {
		assert.Equal(t, NotRun, c.managers[k].copies[KeyOf("m", "")].RunState, "run state at n%d", k)
	}
	assertSent(t, c)
}

// Guards against a replica's older record of an attempt overruling the owner's later report to another replica that the
// attempt has not run.
func TestManager_LaterReportOfOwnerSupersedesRecord(t *testing.T) {
	c := newCluster(t, 3, 1, nil)
	c.submitRequest(2, "keyed", "a", "m")
	c.dropAcks = true // the owner learns of no quorum
	require.False(t, c.startAttempt(2, "a"))
	c.dropAcks = false
	c.drops = func(from, to int, _ *Item) bool { return from == 2 && to == 0 }
	c.step(2, &Event{Kind: AttemptEnded, ID: "a", NeverRan: true})
	require.Equal(t, MayHaveRun, c.managers[0].copies[KeyOf("m", "")].RunState)
	require.Equal(t, NotRun, c.managers[1].copies[KeyOf("m", "")].RunState)
	assertSent(t, c)
}

// Guards against a request that its owner ended, and that one of two live replicas still has as open, being asked for
// again and again, so that its key can't be used.
func TestManager_KeyIsFreeAfterEndThatOneReplicaMissed(t *testing.T) {
	for name, test := range map[string]struct {
		missed  int
		outcome Outcome
	}{
		"first replica, rejected":  {0, Rejected},
		"second replica, rejected": {1, Rejected},
		"first replica, failed":    {0, Failed},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 1, nil)
			c.submitRequest(2, "keyed", "a", "m")
			c.drops = func(from, to int, _ *Item) bool { return from == 2 && to == test.missed }
			c.finishRequest(2, "a", test.outcome, "")
			c.drops = nil
			c.declareLost(2)
			c.tick(2000)
			assert.Empty(t, c.adopters("a"), "a request that has ended was sent again")
			for k := range 2 {
				assert.Equal(t, test.outcome, c.managers[k].copies[KeyOf("m", "")].Outcome, "outcome at n%d", k)
				assert.Empty(t, c.managers[k].OrphanedRequests(), "orphaned requests at n%d", k)
			}
			c.submitRequest(test.missed, "keyed", "b", "m")
			c.tick(500)
			assert.Len(t, c.effectsFor(test.missed, Resume, "b"), 1, "the client's next request must be registered")
			c.checkCounts()
		})
	}
}

// Guards against a client being rejected for ever although one of two live replicas has the answer of its key.
func TestManager_AnswersFromSingleReplica(t *testing.T) {
	c := newCluster(t, 3, 1, nil)
	c.drops = func(from, to int, _ *Item) bool { return from == 2 && to == 0 }
	c.submitRequest(2, "keyed", "a", "m")
	require.True(t, c.startAttempt(2, "a"))
	c.finishRequest(2, "a", Succeeded, "rows")
	c.drops = nil
	c.declareLost(2)
	c.submitRequest(0, "keyed", "b", "m")
	answers := c.effectsFor(0, AnswerSuspended, "b")
	require.Len(t, answers, 1)
	assert.Equal(t, Succeeded, answers[0].Outcome)
	assert.Equal(t, "rows", string(answers[0].Answer))
}

// Guards against attempts failing when the way to the replicas takes longer from one moment to the next: each message is
// in transit for wayMS, each reply comes at once.
func TestManager_ReleasesAttemptsOnSlowerWay(t *testing.T) {
	for _, wayMS := range []float64{20, 30, 40, 60, 80, 100} {
		t.Run(fmt.Sprint(wayMS), func(t *testing.T) {
			c := newCluster(t, 3, 1, nil)
			c.tick(100)
			for n := range 20 { // round trips of 0 ms are known
				c.submitRequest(2, "keyed", fmt.Sprint("w", n), fmt.Sprint("w", n))
			}
			c.submitRequest(2, "keyed", "a", "m")
			require.Len(t, c.effectsFor(2, Resume, "a"), 1)
			c.pause(0, 1)
			c.startAttempt(2, "a")
			began, nextTick := c.now, c.now+100
			for len(c.effectsFor(2, ReleaseAttempt, "a")) == 0 && len(c.effectsFor(2, FailAttempt, "a")) == 0 {
				deliveries := append(c.paused[0], c.paused[1]...)
				c.now += wayMS
				c.pause(0, 1)
				for _, deliver := range deliveries {
					deliver()
				}
				if c.now >= nextTick {
					nextTick += 100
					c.step(2, &Event{Kind: Ticked})
				}
				require.Less(t, c.now, began+1000)
			}
			t.Logf("way %g ms: released %d, failed %d after %g ms; refused as late: %d", wayMS,
				len(c.effectsFor(2, ReleaseAttempt, "a")), len(c.effectsFor(2, FailAttempt, "a")), c.now-began,
				c.managers[0].Counts().RecordsExpired)
			assert.Len(t, c.effectsFor(2, ReleaseAttempt, "a"), 1, "the attempt must be sent")
		})
	}
}

// Guards against a pause under load stretching the time for which records may be stored in the next pause.
func TestManager_SecondPauseStoresNoExpiredRecord(t *testing.T) {
	c := newCluster(t, 3, 1, nil)
	c.tick(100)
	c.pause(0, 1)
	for n := range 50 {
		c.submitRequest(2, "keyed", fmt.Sprint("w", n), fmt.Sprint("w", n))
		c.now += 5
	}
	c.resume(0, 1)
	c.submitRequest(2, "keyed", "a", "m")
	require.Len(t, c.effectsFor(2, Resume, "a"), 1)
	c.pause(0, 1)
	require.False(t, c.startAttempt(2, "a"))
	c.now += 100 // as in TestManager_PausedReplicasStoreNoExpiredRecord
	c.down[2] = true
	c.resume(0, 1)
	for k := range 2 {
		assert.Equal(t, NotRun, c.managers[k].copies[KeyOf("m", "")].RunState, "run state at n%d", k)
	}
}

// Guards against a replica that an adoption reaches after its withdrawal storing the request under a controller that does
// not own it. The withdrawal is sent on the first reply, while the adoption is on its way to the other replicas.
func TestManager_KeyIsFreeAfterWithdrawalOvertookAdoption(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	c.tick(100)
	key := KeyOf("m", "")
	c.submitRequest(4, "keyed", "a", "m")
	c.drops = func(from, to int, _ *Item) bool { return from == 4 && to != 0 }
	c.finishRequest(4, "a", Rejected, "")
	c.drops = nil
	c.down[0] = true // n0 knows the end, and comes back after another one has claimed the partition
	c.drops = func(_, _ int, it *Item) bool { return it.Op == OpAdopt }
	c.declareLost(4)
	c.tick(1500)
	c.down[0] = false
	c.announceTo(0)
	c.drops = nil
	c.tick(3000)
	assert.Empty(t, c.adopters("a"))
	for k, m := range c.managers[:4] {
		t.Logf("n%d: owner %v, state %s, outcome %v, owned %v", k, m.copies[key].Owner, m.copies[key].state,
			m.copies[key].Outcome, m.owned[key] != nil)
	}
	t.Logf("claims %+v", c.table.Claims)
	for k := range 4 {
		if stored := c.managers[k].copies[key]; stored.state.open() {
			owner := stored.Owner.Name
			assert.Failf(t, "a copy is open", "n%d stores it for %s", k, owner)
		}
	}
	c.submitRequest(1, "keyed", "b", "m")
	c.tick(500)
	assert.Len(t, c.effectsFor(1, Resume, "b"), 1, "the client's next request must be registered")
}

// Guards against a rejected request's key being blocked at its own owner while one replica is stopped.
func TestManager_RejectedKeyIsFreeWhileReplicaIsPaused(t *testing.T) {
	c := newCluster(t, 3, 1, nil)
	c.tick(100)
	c.submitRequest(2, "keyed", "a", "m")
	c.pause(0)
	c.finishRequest(2, "a", Rejected, "")
	began := c.now
	c.submitRequest(2, "keyed", "b", "m")
	for len(c.effectsFor(2, Resume, "b"))+len(c.effectsFor(2, AnswerSuspended, "b")) == 0 {
		c.tick(100)
	}
	t.Logf("answered %v after %g ms", c.effectsFor(2, AnswerSuspended, "b"), c.now-began)
	assert.Len(t, c.effectsFor(2, Resume, "b"), 1)
}

// Guards against a replica that missed the end of a request forgetting its attempt when the next request with the key is
// registered.
func TestManager_NextRequestKeepsAttemptOfMissedEnd(t *testing.T) {
	c := newCluster(t, 3, 1, nil)
	c.submitRequest(2, "keyed", "a", "m")
	require.True(t, c.startAttempt(2, "a"))
	c.drops = func(_, to int, item *Item) bool {
		return to == 0 && item.Op == OpClose || to == 1 && item.Op == OpRegister
	}
	c.finishRequest(2, "a", Failed, "")
	c.submitRequest(2, "keyed", "b", "m")
	require.Len(t, c.effectsFor(2, Resume, "b"), 1, "n0 has registered the request")
	assert.NotZero(t, c.effectsFor(2, Resume, "b")[0].Prior)
	known := c.managers[0].copies[KeyOf("m", "")]
	assert.Equal(t, "b", known.ID)
	assert.Equal(t, MayHaveRun, known.RunState)
}

// Guards against a request that its owner rejected being adopted and sent, as repeated adoptions raise the sequence past
// that of the end which a replica knows.
func TestManager_RepeatedAdoptionsDoNotPassKnownEnd(t *testing.T) {
	c := newCluster(t, 3, 1, nil)
	c.tick(100)
	c.submitRequest(2, "keyed", "a", "m")
	c.drops = func(from, to int, _ *Item) bool { return from == 2 && to == 0 }
	c.finishRequest(2, "a", Rejected, "")
	c.drops = func(_, to int, it *Item) bool { return to == 1 && it.Op == OpAdopt }
	require.Equal(t, Rejected, c.managers[1].copies[KeyOf("m", "")].Outcome)
	require.Equal(t, Open, c.managers[0].copies[KeyOf("m", "")].Outcome)
	c.declareLost(2)
	c.tick(500)
	for range 3 { // the claim ends before the adoption is answered, and is made again
		c.table.Claims = nil
		c.announce()
		c.tick(700)
		t.Logf("claims %+v, adoption attempts %d", c.table.Claims, c.managers[0].copies[KeyOf("m", "")].adoptionAttempts)
	}
	c.drops = nil
	c.tick(1500)
	assert.Empty(t, c.adopters("a"), "a request that its owner rejected is sent")
}

// Guards against a request that its owner and then its successor left open being asked for again and again: two of five
// are lost, and the first successor's adoption reached one replica.
func TestManager_AdoptsAfterSuccessorWhoseAdoptionOneReplicaKnows(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	c.tick(100)
	key := KeyOf("m", "")
	c.submitRequest(4, "keyed", "a", "m")
	require.Len(t, c.effectsFor(4, Resume, "a"), 1)
	var successor, informed = -1, -1
	c.drops = func(from, to int, it *Item) bool {
		if it.Op != OpAdopt {
			return false
		}
		successor = from
		if informed < 0 {
			informed = to
		}
		return to != informed
	}
	c.declareLost(4)
	for range 20 {
		c.tick(100)
		if successor >= 0 {
			break
		}
	}
	require.GreaterOrEqual(t, successor, 0)
	require.Empty(t, c.adopters("a"))
	c.drops = nil
	c.declareLost(successor)
	c.tick(4000)
	for k, m := range c.managers {
		if !c.down[k] {
			known := m.copies[key]
			t.Logf("n%d: owner %v, state %s, outcome %v", k, known.Owner, known.state, known.Outcome)
		}
	}
	t.Logf("claims %+v", c.table.Claims)
	assert.Len(t, c.adopters("a"), 1, "nobody has adopted the request")
	c.checkCounts()
}
