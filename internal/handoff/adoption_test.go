package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a lost owner's open request being adopted by no successor or by several, or without its earlier
// attempt.
func TestManager_SuccessorAdoptsOrphans(t *testing.T) {
	for name, attempted := range map[string]bool{"unsent": false, "attempted": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6, 2, nil)
			c.submitRequest(0, "keyed", "a", "m")
			require.Len(t, c.effectsFor(0, Resume, "a"), 1)
			if attempted {
				require.True(t, c.startAttempt(0, "a"))
			}
			c.declareLost(0)
			c.tick(1500)
			successors := c.adopters("a")
			require.Len(t, successors, 1)
			adopt := c.effectsFor(successors[0], Adopt, "a")
			require.Len(t, adopt, 1)
			assert.Equal(t, attempted, adopt[0].Prior.At != 0)
			assert.Equal(t, "select", string(adopt[0].Copy.Body))
			if attempted {
				assert.Equal(t, "here", adopt[0].Prior.Zone)
			}
			c.finishRequest(successors[0], "a", Succeeded, "rows")
			c.tick(1000)
			c.submitRequest(5, "keyed", "b", "m")
			c.tick(500)
			require.Len(t, c.effectsFor(5, AnswerSuspended, "b"), 1)
			assert.Equal(t, Succeeded, c.effectsFor(5, AnswerSuspended, "b")[0].Outcome)
			c.checkCounts()
			for k := 1; k < 6; k++ {
				assert.Empty(t, c.managers[k].OrphanedRequests(), "orphaned requests at n%d", k)
			}
			assert.Empty(t, c.table.Claims, "claims that were not settled")
		})
	}
}

// Guards against a non-idempotent request running twice: once for its client, which could not reach the lost owner and
// sent it again elsewhere under a new id, and once more for the successor.
func TestManager_SuccessorSendsNoNonIdempotentRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		key      string
		attempts func(c *testCluster)
		outcome  Outcome
	}{
		"unsent":           {"", func(*testCluster) {}, Rejected},
		"unsent, with key": {"m", func(*testCluster) {}, Rejected},
		"attempt that never ran": {"", func(c *testCluster) {
			require.True(t, c.startAttempt(0, "a"))
			c.step(0, &Event{Kind: AttemptEnded, ID: "a", NeverRan: true})
		}, Rejected},
		"attempted": {"", func(c *testCluster) { require.True(t, c.startAttempt(0, "a")) }, Failed},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6, 2, nil)
			c.submitRequest(0, "once", "a", tc.key)
			require.Len(t, c.effectsFor(0, Resume, "a"), 1)
			for k := 1; k < 6; k++ { // successors of earlier versions send confirmed requests
				stored := c.managers[k].copies[KeyOf(tc.key, "a")]
				assert.False(t, stored != nil && stored.Confirmed, "confirmed before any attempt at n%d", k)
			}
			tc.attempts(c)
			c.declareLost(0)
			c.tick(3000)
			assert.Empty(t, c.adopters("a"))
			for k := 1; k < 6; k++ {
				assert.Equal(t, tc.outcome, c.queryOutcome(k, "a"), "outcome asked for at n%d", k)
				assert.Empty(t, c.managers[k].OrphanedRequests(), "orphaned requests at n%d", k)
			}
			c.checkCounts()
			assert.Empty(t, c.table.Claims, "claims that were not settled")
		})
	}
}

// Guards against an owner that stood still until it was declared lost sending or failing a non-idempotent request that
// its successor has rejected.
func TestManager_ReturningOwnerRejectsNonIdempotentRequest(t *testing.T) {
	c := newCluster(t, 6, 2, nil)
	c.submitRequest(0, "once", "a", "")
	c.declareLost(0)
	c.tick(1500)
	c.down[0] = false
	c.step(0, &Event{Kind: IncarnationChanged, Incarnation: 2})
	c.announceTo(0)
	assert.False(t, c.startAttempt(0, "a"))
	assert.Len(t, c.effectsFor(0, BlockAttempt, "a"), 1)
	assert.True(t, c.finishRequest(0, "a", Rejected, ""), "the answer must wait for the replicas")
	c.tick(500)
	require.Len(t, c.effectsFor(0, DeliverAnswer, "a"), 1)
	assert.Equal(t, Rejected, c.effectsFor(0, DeliverAnswer, "a")[0].Outcome)
}

// Guards against a request being stranded, or its attempt forgotten, when its successor is lost too.
func TestManager_NextSuccessorAdoptsAfterFirstIsLost(t *testing.T) {
	for name, attempted := range map[string]bool{"before it adopts": false, "after an attempt": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 7, 2, nil)
			c.submitRequest(0, "keyed", "a", "m")
			c.declareLost(0)
			first := -1
			if attempted {
				c.tick(1500)
				require.Len(t, c.adopters("a"), 1)
				first = c.adopters("a")[0]
				require.True(t, c.startAttempt(first, "a"))
			} else { // the successor claims, and is lost before it learns that the claim is agreed
				require.NotEmpty(t, c.proposals)
				for k := range c.managers {
					if c.members[k].Name == c.proposals[0].Claim.Successor {
						first = k
					}
				}
				c.down[first] = true
				c.applyProposals()
				require.NotEmpty(t, c.table.Claims)
			}
			c.effects[first] = map[EffectKind][]Effect{}
			c.declareLost(first)
			c.tick(3000)
			successors := c.adopters("a")
			require.Len(t, successors, 1)
			adopt := c.effectsFor(successors[0], Adopt, "a")
			require.Len(t, adopt, 1)
			assert.Equal(t, attempted, adopt[0].Prior.At != 0, "the second successor knows of the first one's attempt")
			c.checkCounts()
		})
	}
}

// Guards against an owner that returns after it was declared lost sending attempts, or answering its client otherwise
// than the successor that adopted the request.
func TestManager_ReturningOwnerDefersToSuccessor(t *testing.T) {
	for name, adopted := range map[string]bool{"before adoption": false, "after adoption": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6, 2, func(s *Settings) { s.MaxAdoptionsInFlight = 1000 })
			c.submitRequest(0, "keyed", "a", "m")
			c.submitRequest(0, "keyed", "unsent", "m2")
			require.True(t, c.startAttempt(0, "a"))
			c.declareLost(0)
			if adopted {
				c.tick(1500)
				require.Len(t, c.adopters("a"), 1)
			}
			c.down[0] = false
			c.step(0, &Event{Kind: IncarnationChanged, Incarnation: 2})
			c.announceTo(0)
			assert.False(t, c.startAttempt(0, "unsent"))
			assert.Len(t, c.effectsFor(0, BlockAttempt, "unsent"), 1)
			assert.True(t, c.finishRequest(0, "a", Succeeded, "rows"), "the answer must wait for the replicas")
			if !adopted {
				require.Len(t, c.effectsFor(0, DeliverAnswer, "a"), 1)
				assert.Equal(t, Succeeded, c.effectsFor(0, DeliverAnswer, "a")[0].Outcome)
				c.tick(2000)
				assert.Empty(t, c.adopters("a"), "an ended request was adopted")
				return
			}
			assert.Empty(t, c.effectsFor(0, DeliverAnswer, "a"))
			c.finishRequest(c.adopters("a")[0], "a", Succeeded, "other")
			c.tick(1500)
			require.Len(t, c.effectsFor(0, DeliverAnswer, "a"), 1)
			assert.Equal(t, "other", string(c.effectsFor(0, DeliverAnswer, "a")[0].Answer), "the first answer counts")
		})
	}
}

// failedBySuccessor returns a cluster in which a request succeeded at member 0, which is cut off and then lost, and
// whose successor recorded the request as failed.
func failedBySuccessor(t *testing.T) *testCluster {
	c := newCluster(t, 6, 2, nil)
	c.submitRequest(0, "once", "a", "")
	require.True(t, c.startAttempt(0, "a"))
	c.drops = func(from, to int, _ *Item) bool { return from == 0 || to == 0 }
	assert.False(t, c.finishRequest(0, "a", Succeeded, "rows"), "an owner that holds its lease must answer at once")
	c.declareLost(0)
	c.tick(2000)
	require.Equal(t, Failed, c.queryOutcome(1, "a"))
	return c
}

// Guards against a success under a lease staying recorded as the failure that an unaware successor assumed, whichever
// quorum is asked.
func TestManager_LateSuccessCorrectsFailure(t *testing.T) {
	c := failedBySuccessor(t)
	c.down[0] = false
	received := 0
	c.drops = func(from, _ int, item *Item) bool { // only the first three of the five replicas receive the close
		if from == 0 && item.Op == OpClose {
			received++
		}
		return from == 0 && item.Op == OpClose && received > 3
	}
	c.step(0, &Event{Kind: IncarnationChanged, Incarnation: 2})
	c.announceTo(0)
	c.tick(500)
	for k := 1; k < 6; k++ {
		assert.Equal(t, Succeeded, c.queryOutcome(k, "a"), "outcome asked for at n%d", k)
	}
}

// Guards against an owner giving up its report of a success when a successor has recorded a failure and the owner does
// not know yet that it was declared lost.
func TestManager_LateSuccessFromUnawareLostOwner(t *testing.T) {
	c := failedBySuccessor(t)
	c.down[0], c.drops = false, nil // it receives the table, but does not know of its new incarnation yet
	c.announceTo(0)
	c.tick(2000)
	for k := 1; k < 6; k++ {
		if stored := c.managers[k].copies[KeyOf("", "a")]; stored != nil {
			assert.Equal(t, Succeeded, stored.Outcome, "outcome stored at n%d", k)
		}
	}
}

// Guards against more adoptions in flight than the settings allow, and against adoption in another order than by
// deadline, when many requests are orphaned at once.
func TestManager_PacesAdoptionByDeadline(t *testing.T) {
	const requests = 20_000
	c := newCluster(t, 5, 2, func(s *Settings) { s.MaxAdoptionsInFlight = 50 })
	for k := range requests {
		c.step(0, &Event{Kind: RequestArriving, ID: fmt.Sprint(k), Copy: &Copy{
			RequestData: RequestData{ID: fmt.Sprint(k), IdempotencyKey: fmt.Sprint("m", k), Class: "keyed"},
			Deadline:    c.now + 60e3 + float64(k%1000),
		}})
	}
	c.declareLost(0)
	done, lastDeadline := 0, make([]float64, 5)
	for range 3000 {
		c.tick(100)
		for k := 1; k < 5; k++ {
			adoptions := c.effects[k][Adopt]
			c.effects[k] = map[EffectKind][]Effect{}
			require.LessOrEqual(t, c.managers[k].adoptionsInFlight, 50, "adoptions in flight at n%d", k)
			for _, adopt := range adoptions {
				assert.GreaterOrEqual(t, adopt.Copy.Deadline+1, lastDeadline[k], "adoption by deadline at n%d", k)
				lastDeadline[k] = max(lastDeadline[k], adopt.Copy.Deadline)
				c.finishRequest(k, adopt.Copy.ID, Succeeded, "r")
				done++
			}
		}
		if done == requests {
			break
		}
	}
	assert.Equal(t, requests, done, "adopted requests")
	c.checkCounts()
	for k := 1; k < 5; k++ {
		assert.Equal(t, len("r")*requests, c.managers[k].copyBytes, "n%d must keep the answers and free the bodies", k)
	}
}

// Guards against a request that an operator gave up staying open for queries.
func TestManager_ReleasesOrphanOnRequest(t *testing.T) {
	c := newCluster(t, 5, 2, func(s *Settings) { s.MaxAdoptionsInFlight = 0 })
	c.submitRequest(0, "keyed", "a", "m")
	c.declareLost(0)
	c.tick(1000)
	for k := 1; k < 5; k++ {
		c.step(k, &Event{Kind: ReleaseRequested, ID: "a"})
	}
	c.effects[2][ReplyOutcome] = nil
	c.step(2, &Event{Kind: OutcomeQueried, IdempotencyKey: "m", Token: 1})
	c.tick(900)
	assert.Equal(t, Failed, c.effects[2][ReplyOutcome][0].Outcome)
	c.checkCounts()
}

// A lease that is over may be regained, so an attempt that starts meanwhile does not end its request, own or adopted.
func TestManager_AttemptWithoutLeaseIsPostponed(t *testing.T) {
	c := newCluster(t, 6, 2, nil)
	c.submitRequest(0, "keyed", "a", "m")
	manager := c.managers[0]
	starting := &Event{Kind: AttemptStarting, ID: "a", Zone: "here"} // without LeaseHeld
	assert.Equal(t, []EffectKind{PostponeAttempt}, kindsOf(manager.Step(c.now, starting)))
	ended := &Event{Kind: AttemptEnded, ID: "a", NeverRan: true}
	assert.Empty(t, manager.Step(c.now, ended), "replicas were told nothing")
	assert.True(t, c.startAttempt(0, "a"), "the lease is held again")
}

// kindsOf returns the kinds of effects.
func kindsOf(effects []Effect) (kinds []EffectKind) {
	for _, effect := range effects {
		kinds = append(kinds, effect.Kind)
	}
	return kinds
}
