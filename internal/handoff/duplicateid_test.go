package handoff

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// assertFailedOnce checks that a member has answered a suspended request by a failure, and not otherwise.
func assertFailedOnce(t *testing.T, c *testCluster, k int, id string) {
	t.Helper()
	answers := c.effectsFor(k, AnswerSuspended, id)
	require.Len(t, answers, 1)
	assert.Equal(t, Failed, answers[0].Outcome)
	assert.Nil(t, answers[0].Answer)
	assert.Empty(t, c.effectsFor(k, Resume, id))
}

// Guards against a client that sends the id of a request of another controller getting that request's answer: an id is
// never used twice, so it is no repeat. It must fail at once, and the first request must go on.
func TestManager_FailsRequestWithIDOfAnother(t *testing.T) {
	for name, tc := range map[string]struct{ class, key string }{
		"non-idempotent":           {"once", ""},
		"non-idempotent, with key": {"once", "m"},
		"keyed":                    {"keyed", "m"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5, 2, nil)
			c.submitRequest(0, tc.class, "a", tc.key)
			c.submitRequest(1, tc.class, "a", tc.key)
			assertFailedOnce(t, c, 1, "a")
			require.True(t, c.startAttempt(0, "a"))
			c.submitRequest(2, tc.class, "a", tc.key)
			assertFailedOnce(t, c, 2, "a")
			assert.False(t, c.finishRequest(0, "a", Succeeded, "rows"))
			c.submitRequest(3, tc.class, "a", tc.key)
			assertFailedOnce(t, c, 3, "a")
			c.tick(2000)
			assertFailedOnce(t, c, 1, "a")
			assert.Equal(t, Succeeded, c.queryOutcome(4, "a"))
			c.checkCounts()
		})
	}
}

// Guards against a request with a used id waiting for the other request because its controller learns of that late: its
// lease is over when the replicas refuse the registration, or too few of them answer.
func TestManager_FailsRequestWithUsedIDLate(t *testing.T) {
	for name, tc := range map[string]struct{ hinder, recover func(c *testCluster) }{
		"lease over": {
			func(c *testCluster) { c.pause(0, 2, 3, 4) },
			func(c *testCluster) {
				c.leaseOver[1] = true
				c.resume(0, 2, 3, 4)
				require.Empty(t, c.effectsFor(1, AnswerSuspended, "a"))
				c.leaseOver[1] = false
			},
		},
		"one replica answers": {
			func(c *testCluster) {
				c.drops = func(from, to int, _ *Item) bool { return from == 1 && to != 0 && to != 1 }
			},
			func(*testCluster) {},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5, 2, nil)
			c.submitRequest(0, "once", "a", "")
			tc.hinder(c)
			c.submitRequest(1, "once", "a", "")
			tc.recover(c)
			c.tick(1500)
			assertFailedOnce(t, c, 1, "a")
			c.checkCounts()
		})
	}
}

// Guards against a controller that was declared lost while it registered a request taking its successor's copy of that
// very request for another one: the client must get the successor's answer.
func TestManager_ReturningOwnerKnowsItsOwnRegistration(t *testing.T) {
	for name, aware := range map[string]bool{"before it knows of the loss": false, "after": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6, 2, nil)
			c.dropAcks = true
			c.submitRequest(0, "keyed", "a", "m")
			c.dropAcks = false
			c.declareLost(0)
			c.tick(900)
			require.Len(t, c.adopters("a"), 1)
			c.down[0] = false
			c.leaseOver[0] = true
			if aware {
				c.leaseOver[0] = false
				c.step(0, &Event{Kind: IncarnationChanged, Incarnation: 2})
			}
			c.announceTo(0)
			c.tick(500)
			assert.Empty(t, c.effectsFor(0, AnswerSuspended, "a"))
			c.finishRequest(c.adopters("a")[0], "a", Succeeded, "rows")
			c.tick(1000)
			answers := c.effectsFor(0, AnswerSuspended, "a")
			require.Len(t, answers, 1)
			assert.Equal(t, "rows", string(answers[0].Answer))
			c.checkCounts()
		})
	}
}

// Guards against a request with the id of an orphaned one, sent to the successor, taking its place or its answer.
func TestManager_AdoptsDespiteRequestWithSameID(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	c.submitRequest(0, "keyed", "a", "m")
	c.drops = func(from, to int, _ *Item) bool { return from != to } // nobody learns of anything
	for k := 1; k < 5; k++ {
		c.submitRequest(k, "keyed", "a", "m")
	}
	c.drops = nil
	c.declareLost(0)
	c.tick(2000)
	require.Len(t, c.adopters("a"), 1)
	for k := 1; k < 5; k++ {
		assertFailedOnce(t, c, k, "a")
	}
	c.finishRequest(c.adopters("a")[0], "a", Succeeded, "rows")
	c.tick(1000)
	assert.Equal(t, Succeeded, c.queryOutcome(2, "a"))
	c.checkCounts()
}
