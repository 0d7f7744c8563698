package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/scheduler"
)

// Guards against a full replica storing further copies or blocking registration, and against a replica that missed a
// registration staying without the copy.
func TestManager_ToleratesFullAndLaggingReplicas(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	c.managers[3].maxCopies = 1
	c.drops = func(_, to int, item *Item) bool { return to == 4 && item.Op == OpRegister }
	for k := range 5 {
		id := fmt.Sprint(k)
		c.submitRequest(0, "keyed", id, "m"+id)
		require.Len(t, c.effectsFor(0, Resume, id), 1, "request %s is not registered", id)
	}
	assert.LessOrEqual(t, c.managers[3].Counts().CopiesStored, 3, "one copy, and id mappings")
	c.drops = nil
	require.True(t, c.startAttempt(0, "1"))
	c.tick(300)
	assert.Equal(t, MayHaveRun, c.managers[4].copies[KeyOf("m1", "1")].RunState)
	assert.True(t, c.managers[4].copies[KeyOf("m1", "1")].Complete)
}

// Guards against idempotency keys being forgotten while replicas are lost and replaced one after the other.
func TestManager_TransfersPartitionsToNewReplicas(t *testing.T) {
	c := newCluster(t, 9, 2, nil)
	for k := range 300 {
		id := fmt.Sprint(k)
		c.submitRequest(0, "keyed", id, "m"+id)
		require.True(t, c.startAttempt(0, id))
		c.finishRequest(0, id, Failed, "")
	}
	for _, k := range []int{3, 5, 7} {
		c.declareLost(k)
		c.tick(3000)
	}
	for k, partition := range c.table.Partitions {
		assert.Nil(t, partition.Previous, "transfer of partition %d has not ended", k)
	}
	for k := range 300 {
		id := fmt.Sprint("x", k)
		c.submitRequest(1, "keyed", id, fmt.Sprint("m", k))
		resumed := c.effectsFor(1, Resume, id)
		require.Len(t, resumed, 1, "request %s is not registered", id)
		require.NotZero(t, resumed[0].Prior.At, "request %s lacks the attempt of its key", id)
	}
	c.checkCounts()
}

// Guards against a partition that lost its quorum registering requests before the keys that its replicas knew have
// expired.
func TestManager_RejectsAfterQuorumLossUntilReinitialized(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	for k := range 3 {
		c.declareLost(k)
	}
	c.submitRequest(4, "keyed", "a", "m")
	require.Len(t, c.effectsFor(4, AnswerSuspended, "a"), 1)
	assert.Equal(t, Rejected, c.effectsFor(4, AnswerSuspended, "a")[0].Outcome)
	for k := range 3 { // they return without their copies
		c.down[k] = false
		c.members[k].Lost, c.members[k].Incarnation = false, 2
		settings := DefaultSettings()
		settings.Classes = []scheduler.RequestClass{{Name: "keyed", Idempotency: scheduler.Keyed, DedupWindowMS: 20e3}}
		c.managers[k] = New(Member{c.members[k].Name, 2}, settings, 9)
	}
	c.table.Reassign(c.members, 0)
	c.announce()
	c.tick(15_000)
	c.submitRequest(4, "keyed", "b", "m")
	assert.Len(t, c.effectsFor(4, AnswerSuspended, "b"), 1)
	c.tick(10_000)
	c.submitRequest(4, "keyed", "c", "m")
	assert.Len(t, c.effectsFor(4, Resume, "c"), 1)
}

// Guards against copies restored from disk being adopted, and against their attempts being forgotten.
func TestManager_RestoredCopiesAreNeverSent(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	written := Copy{
		RequestData:    RequestData{ID: "a", IdempotencyKey: "m", Class: "keyed"},
		Owner:          Member{"n9", 1},
		Sequence:       3,
		RunState:       MayHaveRun,
		FirstAttemptAt: c.now,
		Deadline:       c.now + 5000,
		Complete:       true,
	}
	data := AppendCopy(nil, &written, c.now)
	for k := range c.managers {
		restored, err := ReadCopy(data, c.now)
		require.NoError(t, err)
		c.step(k, &Event{Kind: CopyRestored, Copy: &restored})
	}
	c.members = append(c.members, c.members[0])
	c.members[5].Name, c.members[5].Lost = "n9", true
	c.table.Reassign(c.members, 0)
	c.announce()
	c.tick(2000)
	assert.Empty(t, c.adopters("a"))
	c.submitRequest(1, "keyed", "b", "m")
	c.tick(500)
	require.Len(t, c.effectsFor(1, AnswerSuspended, "b"), 1)
	assert.Equal(t, Failed, c.effectsFor(1, AnswerSuspended, "b")[0].Outcome)
}

// Guards against two transitions for the same state and input, of which only the first would ever apply.
func TestCopyTransitions_AreUnambiguous(t *testing.T) {
	for state := range copyStateCount {
		for input := range copyInputCount {
			found := 0
			for _, transition := range copyTransitions {
				if transition.state == state && transition.input == input {
					found++
				}
			}
			assert.LessOrEqual(t, found, 1, "transitions of state %q at input %q", state, input)
		}
	}
}
