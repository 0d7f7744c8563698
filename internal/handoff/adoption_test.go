package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What a lost owner had open goes to one successor, with what may have run of it.
func TestManager_SuccessorAdoptsOrphans(t *testing.T) {
	for name, tc := range map[string]struct {
		class, key string
		attempted  bool
	}{
		"keyed":                     {"keyed", "m", false},
		"keyed, attempted":          {"keyed", "m", true},
		"non-idempotent":            {"once", "", false},
		"non-idempotent, attempted": {"once", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6, 2, nil)
			c.arrive(0, tc.class, "a", tc.key)
			require.Len(t, c.effectsFor(0, Resume, "a"), 1)
			if tc.attempted {
				require.True(t, c.attempt(0, "a"))
			}
			c.lose(0)
			c.tick(1500)
			successors := c.adopters("a")
			require.Len(t, successors, 1)
			adopt := c.effectsFor(successors[0], Adopt, "a")
			require.Len(t, adopt, 1)
			assert.Equal(t, tc.attempted, adopt[0].Prior.At != 0)
			assert.Equal(t, "select", string(adopt[0].Copy.Body))
			if tc.attempted {
				assert.Equal(t, "here", adopt[0].Prior.Zone)
			}
			c.finish(successors[0], "a", Succeeded, "rows")
			c.tick(1000)
			if tc.key != "" {
				c.arrive(5, tc.class, "b", tc.key)
				c.tick(500)
				require.Len(t, c.effectsFor(5, AnswerSuspended, "b"), 1)
				assert.Equal(t, Succeeded, c.effectsFor(5, AnswerSuspended, "b")[0].Outcome)
			}
			c.checkCounts()
			for k := 1; k < 6; k++ {
				assert.Empty(t, c.managers[k].OrphanedRequests())
			}
			assert.Empty(t, c.table.Claims, "the claim is given back")
		})
	}
}

// The successor is lost, too, before or after it has begun: the next one goes on, and only that one.
func TestManager_NextSuccessorAdoptsAfterFirstIsLost(t *testing.T) {
	for name, begun := range map[string]bool{"before it adopts": false, "after an attempt": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 7, 2, nil)
			c.arrive(0, "keyed", "a", "m")
			c.lose(0)
			first := -1
			if begun {
				c.tick(1500)
				require.Len(t, c.adopters("a"), 1)
				first = c.adopters("a")[0]
				require.True(t, c.attempt(first, "a"))
			} else { // it claims, and is lost before it learns that the claim is agreed
				require.NotEmpty(t, c.proposals)
				for k := range c.managers {
					if c.members[k].Name == c.proposals[0].Claim.Successor {
						first = k
					}
				}
				c.down[first] = true
				c.agree()
				require.NotEmpty(t, c.table.Claims)
			}
			c.effects[first] = map[EffectKind][]Effect{}
			c.lose(first)
			c.tick(3000)
			successors := c.adopters("a")
			require.Len(t, successors, 1)
			adopt := c.effectsFor(successors[0], Adopt, "a")
			require.Len(t, adopt, 1)
			assert.Equal(t, begun, adopt[0].Prior.At != 0, "what the first successor sent is known to the second")
			c.checkCounts()
		})
	}
}

// An owner that was declared lost returns: it sends nothing, and an answer that it has goes to its client only if nobody ended the request.
func TestManager_LostOwnerReturning(t *testing.T) {
	for name, adopted := range map[string]bool{"before adoption": false, "after adoption": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6, 2, func(s *Settings) { s.MaxAdoptionsInFlight = 1000 })
			c.arrive(0, "keyed", "a", "m")
			c.arrive(0, "keyed", "unsent", "m2")
			require.True(t, c.attempt(0, "a"))
			c.lose(0)
			if adopted {
				c.tick(1500)
				require.Len(t, c.adopters("a"), 1)
			}
			c.down[0] = false
			c.step(0, &Event{Kind: IncarnationChanged, Incarnation: 2})
			c.announceTo(0)
			assert.False(t, c.attempt(0, "unsent"))
			assert.Len(t, c.effectsFor(0, BlockAttempt, "unsent"), 1)
			assert.True(t, c.finish(0, "a", Succeeded, "rows"), "replicas are asked first")
			if !adopted {
				require.Len(t, c.effectsFor(0, DeliverAnswer, "a"), 1)
				assert.Equal(t, Succeeded, c.effectsFor(0, DeliverAnswer, "a")[0].Outcome)
				c.tick(2000)
				assert.Empty(t, c.adopters("a"), "it has ended")
				return
			}
			assert.Empty(t, c.effectsFor(0, DeliverAnswer, "a"))
			c.finish(c.adopters("a")[0], "a", Succeeded, "other")
			c.tick(1500)
			require.Len(t, c.effectsFor(0, DeliverAnswer, "a"), 1)
			assert.Equal(t, "other", string(c.effectsFor(0, DeliverAnswer, "a")[0].Answer), "all give the first answer")
		})
	}
}

// failedBySuccessor has a request succeed at member 0, which then is lost and cut off; its successor records the request as failed.
func failedBySuccessor(t *testing.T) *cluster {
	c := newCluster(t, 6, 2, nil)
	c.arrive(0, "once", "a", "")
	require.True(t, c.attempt(0, "a"))
	c.drops = func(from, to int, _ *Item) bool { return from == 0 || to == 0 }
	assert.False(t, c.finish(0, "a", Succeeded, "rows"), "it holds its lease: its client is answered")
	c.lose(0)
	c.tick(1500)
	successors := c.adopters("a")
	require.Len(t, successors, 1)
	c.finish(successors[0], "a", Failed, "")
	c.tick(500)
	return c
}

// What succeeded under a lease, and was recorded as failed by a successor that could not know, is reported as succeeded by all, whichever
// quorum is asked.
func TestManager_LateSuccessCorrectsFailure(t *testing.T) {
	c := failedBySuccessor(t)
	c.down[0] = false
	received := 0
	c.drops = func(from, _ int, it *Item) bool { // three of five receive it
		if from == 0 && it.Op == OpClose {
			received++
		}
		return from == 0 && it.Op == OpClose && received > 3
	}
	c.step(0, &Event{Kind: IncarnationChanged, Incarnation: 2})
	c.announceTo(0)
	c.tick(500)
	for k := 1; k < 6; k++ {
		c.effects[k][ReplyOutcome] = nil
		c.step(k, &Event{Kind: OutcomeQueried, ID: "a", Token: 3})
		c.tick(200)
		require.Len(t, c.effects[k][ReplyOutcome], 1)
		assert.Equal(t, Succeeded, c.effects[k][ReplyOutcome][0].Outcome, "asked at n%d", k)
	}
}

// An incarnation that does not know yet that it was declared lost reports a success: its successor has recorded a failure meanwhile. The
// report is not given up, and corrects it.
func TestManager_LateSuccessFromUnawareLostOwner(t *testing.T) {
	c := failedBySuccessor(t)
	c.down[0], c.drops = false, nil // it has the table by now, and does not know yet that it goes on as another incarnation
	c.announceTo(0)
	c.tick(2000)
	for k := 1; k < 6; k++ {
		if stored := c.managers[k].copies[KeyOf("", "a")]; stored != nil {
			assert.Equal(t, Succeeded, stored.Outcome, "n%d", k)
		}
	}
}

// Twenty thousand orphans at once: never more in flight than there is room for, the nearest deadline first.
func TestManager_PacesAdoptionByDeadline(t *testing.T) {
	const n = 20_000
	c := newCluster(t, 5, 2, func(s *Settings) { s.MaxAdoptionsInFlight = 50 })
	for k := range n {
		c.step(0, &Event{Kind: RequestArriving, ID: fmt.Sprint(k), Copy: &Copy{RequestData: RequestData{ID: fmt.Sprint(k), IdempotencyKey: fmt.Sprint("m", k), Class: "keyed"},
			Deadline: c.now + 60e3 + float64(k%1000)}})
	}
	c.lose(0)
	done, last := 0, make([]float64, 5)
	for range 3000 {
		c.tick(100)
		for k := 1; k < 5; k++ {
			list := c.effects[k][Adopt]
			c.effects[k] = map[EffectKind][]Effect{}
			require.LessOrEqual(t, c.managers[k].adoptionsInFlight, 50)
			for _, f := range list {
				assert.GreaterOrEqual(t, f.Copy.Deadline+1, last[k], "the nearest deadline first")
				last[k] = max(last[k], f.Copy.Deadline)
				c.finish(k, f.Copy.ID, Succeeded, "r")
				done++
			}
		}
		if done == n {
			break
		}
	}
	assert.Equal(t, n, done)
	c.checkCounts()
	for k := 1; k < 5; k++ {
		assert.Equal(t, len("r")*n, c.managers[k].copyBytes, "bodies go with the outcome, short answers stay")
	}
}

// An operator gives a request up: it is recorded as failed, and queries are answered so.
func TestManager_ReleasesOrphanOnRequest(t *testing.T) {
	c := newCluster(t, 5, 2, func(s *Settings) { s.MaxAdoptionsInFlight = 0 })
	c.arrive(0, "keyed", "a", "m")
	c.lose(0)
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
