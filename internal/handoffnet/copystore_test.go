package handoffnet

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/handoff"
	"liftshift/internal/vfs"
)

// A replica whose disk did not take a copy that an attempt waits for does not confirm it when its owner repeats the
// message either, until the disk takes it.
func TestCopyStore_ConfirmsRepeatedMessageOnlyOnceOnDisk(t *testing.T) {
	owner := handoff.Member{Name: "a", Incarnation: 1}
	key := handoff.KeyOf("m", "")
	for name, items := range map[string][]handoff.Item{
		"registration": {{Op: handoff.OpRegister, Sequence: 1}},
		"attempt":      {{Op: handoff.OpRegister, Sequence: 1}, {Op: handoff.OpAttempt, Sequence: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			b := startMember(t, "b", nil)
			written := make(chan copiesStored, 8)
			b.loop.Call(func(float64) {
				require.NoError(t, b.agent.PersistCopies(vfs.NewMemory(), func(message any) {
					written <- message.(copiesStored)
				}))
			})
			confirmed := 0
			receive := func(item handoff.Item) {
				item.Key, item.From = key, owner
				if item.Op == handoff.OpRegister {
					item.Copy = &handoff.Copy{
						RequestData: handoff.RequestData{ID: "x", IdempotencyKey: "m", Class: "mark"},
						Owner:       owner, Sequence: 1, Deadline: b.agent.clock.Now() + 5000, Complete: true,
					}
				}
				b.loop.Call(func(now float64) {
					b.agent.replies[1] = func(_ []byte, err error) {
						if err == nil {
							confirmed++
						}
					}
					version := b.agent.manager.Table().Version
					batch := &handoff.Batch{From: owner, Version: version, Items: []handoff.Item{item}}
					b.agent.Step(now, &handoff.Event{Kind: handoff.BatchReceived, Batch: batch, Token: 1})
				})
			}
			complete := func(err error) {
				stored := <-written
				b.loop.Call(func(float64) { b.agent.copies.complete(copiesStored{stored.token, err}) })
			}
			last := len(items) - 1
			for _, item := range items[:last] {
				receive(item)
				complete(nil)
			}
			confirmed = 0
			receive(items[last])
			receive(items[last])
			require.Zero(t, confirmed, "confirmed while the write was under way")
			complete(syscall.ENOSPC)
			receive(items[last])
			require.Zero(t, confirmed, "confirmed after the write had failed")
			complete(nil)
			complete(nil)
			assert.Equal(t, 2, confirmed, "confirmed once the copies were on disk")
		})
	}
}
