package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/scheduler"
)

// A replica that is full stores nothing more; the others are enough. A replica that missed a message is sent the whole copy.
func TestManager_FullAndLaggingReplicas(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	c.managers[3].maxCopies = 1
	c.drops = func(_, to int, it *Item) bool { return to == 4 && it.Op == OpRegister }
	for k := range 5 {
		id := fmt.Sprint(k)
		c.arrive(0, "keyed", id, "m"+id)
		require.Len(t, c.effectsFor(0, Resume, id), 1, id)
	}
	assert.LessOrEqual(t, c.managers[3].Counts().CopiesStored, 3, "id mappings besides")
	c.drops = nil
	require.True(t, c.attempt(0, "1"))
	c.tick(300)
	assert.Equal(t, MayHaveRun, c.managers[4].copies[KeyOf("m1", "1")].RunState)
	assert.True(t, c.managers[4].copies[KeyOf("m1", "1")].Complete)
}

// Copies move to whoever takes the place of a lost replica, and their keys are known there.
func TestManager_TransfersPartitionsToNewReplicas(t *testing.T) {
	c := newCluster(t, 9, 2, nil)
	for k := range 300 {
		id := fmt.Sprint(k)
		c.arrive(0, "keyed", id, "m"+id)
		require.True(t, c.attempt(0, id))
		c.finish(0, id, Failed, "")
	}
	for _, k := range []int{3, 5, 7} {
		c.lose(k)
		c.tick(3000)
	}
	for _, p := range c.table.Partitions {
		assert.Nil(t, p.Previous, "all transfers have ended")
	}
	for k := range 300 {
		id := fmt.Sprint("x", k)
		c.arrive(1, "keyed", id, fmt.Sprint("m", k))
		f := c.effectsFor(1, Resume, id)
		require.Len(t, f, 1)
		require.NotZero(t, f[0].Prior.At)
	}
	c.checkCounts()
}

// A partition that lost its quorum rejects until its keys have expired, then begins anew.
func TestManager_RejectsAfterQuorumLossUntilReinitialized(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	for k := range 3 {
		c.lose(k)
	}
	c.arrive(4, "keyed", "a", "m")
	require.Len(t, c.effectsFor(4, AnswerSuspended, "a"), 1)
	assert.Equal(t, Rejected, c.effectsFor(4, AnswerSuspended, "a")[0].Outcome)
	for k := range 3 { // they come back, and know nothing
		c.down[k] = false
		c.members[k].Lost, c.members[k].Incarnation = false, 2
		settings := DefaultSettings()
		settings.Classes = []scheduler.RequestClass{{Name: "keyed", Idempotency: scheduler.Keyed, DedupWindowMS: 20e3}}
		c.managers[k] = New(Member{c.members[k].Name, 2}, settings, 9)
	}
	c.table.Reassign(c.members, 0)
	c.announce()
	c.tick(15_000)
	c.arrive(4, "keyed", "b", "m")
	assert.Len(t, c.effectsFor(4, AnswerSuspended, "b"), 1)
	c.tick(10_000)
	c.arrive(4, "keyed", "c", "m")
	assert.Len(t, c.effectsFor(4, Resume, "c"), 1)
}

// What a replica reads from its disk proves what ran, and is no reason to send anything.
func TestManager_RestoredCopiesAreNeverSent(t *testing.T) {
	c := newCluster(t, 5, 2, nil)
	written := Copy{RequestData: RequestData{ID: "a", IdempotencyKey: "m", Class: "keyed"}, Owner: Member{"n9", 1}, Sequence: 3, RunState: MayHaveRun,
		FirstAttemptAt: c.now, Deadline: c.now + 5000, Complete: true}
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
	c.arrive(1, "keyed", "b", "m")
	c.tick(500)
	require.Len(t, c.effectsFor(1, AnswerSuspended, "b"), 1)
	assert.Equal(t, Failed, c.effectsFor(1, AnswerSuspended, "b")[0].Outcome)
}

func TestCopyTransitions_AreUnambiguous(t *testing.T) {
	for state := range copyStateCount {
		for input := range copyInputCount {
			found := 0
			for _, transition := range copyTransitions {
				if transition.state == state && transition.input == input {
					found++
				}
			}
			assert.LessOrEqual(t, found, 1, "%s, %s", state, input)
		}
	}
}
