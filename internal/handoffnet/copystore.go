package handoffnet

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"liftshift/internal/handoff"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
)

// copyStore persists the copies that this replica stores, so that they survive a restart. Unless noted otherwise, its
// methods are called on the dispatch loop's goroutine.
type copyStore struct {
	store   *store.Store
	batch   store.Batch
	buffer  []byte                 // scratch for encoded copies
	token   uint64                 // of the latest batch that was written with notify
	waiting map[uint64]func(error) // by token: replies that wait until the copies that they confirm are on disk
	post    func(copiesStored)
}

// PersistCopies opens the store of copies in a folder and passes the copies in it to the manager; copies that cannot be
// read are skipped. It must be called before the dispatch loop runs; post queues messages for the loop.
func (a *Agent) PersistCopies(folder vfs.FS, post func(message any)) error {
	c := &copyStore{waiting: map[uint64]func(error){}, post: func(s copiesStored) { post(s) }}
	now := a.clock.Now()
	found := map[store.Key][]byte{}
	opened, recovery, err := store.Open(folder, store.Options{}, func(key store.Key, _ int64, value []byte) {
		delete(found, key)
		if value != nil {
			found[key] = bytes.Clone(value)
		}
	})
	if err != nil {
		return fmt.Errorf("handoff: open copies: %w", err)
	}
	keys := slices.SortedFunc(maps.Keys(found), func(a, b store.Key) int { return bytes.Compare(a[:], b[:]) })
	for _, key := range keys {
		restored, err := handoff.ReadCopy(found[key], now)
		if err == nil && handoff.KeyOf(restored.IdempotencyKey, restored.ID) == handoff.Key(key) {
			a.manager.Step(now, &handoff.Event{Kind: handoff.CopyRestored, Copy: &restored})
		}
	}
	c.store = opened
	a.copies = c
	a.log.WithFields(logrus.Fields{"records": recovery.Records, "copies": len(found), "reason": recovery.Reason}).
		Info("handoff: copies opened")
	return nil
}

// write persists the copies among the effects of a step. With notify, it returns the token of the copiesStored that is
// posted once they are on disk. It returns 0 if there are no copies or notify is not set.
func (c *copyStore) write(now float64, effects []handoff.Effect, notify bool) uint64 {
	c.batch.Reset()
	for i := range effects {
		effect := &effects[i]
		if effect.Kind != handoff.PersistCopy {
			continue
		}
		if effect.Copy == nil {
			c.batch.Delete(store.Key(effect.Key))
			continue
		}
		c.buffer = handoff.AppendCopy(c.buffer[:0], effect.Copy, now)
		c.batch.Put(store.Key(effect.Key), int64(effect.Version), c.buffer)
	}
	if c.batch.Len() == 0 {
		return 0
	}
	if !notify {
		_ = c.store.Append(int64(now), &c.batch, nil, 0) // nothing waits for it, and other replicas store the same copies
		return 0
	}
	c.token++
	token := c.token
	if err := c.store.Append(int64(now), &c.batch, c, token); err != nil {
		go c.Stored(token, err)
	}
	return token
}

// Stored implements store.Notifier: it posts the outcome of a batch to the dispatch loop. It may be called from any
// goroutine.
func (c *copyStore) Stored(token uint64, err error) { c.post(copiesStored{token, err}) }

// complete sends the reply that waits for a stored batch, if there is one.
func (c *copyStore) complete(s copiesStored) {
	if done := c.waiting[s.token]; done != nil {
		delete(c.waiting, s.token)
		done(s.err)
	}
}

func (c *copyStore) close(log logrus.FieldLogger) {
	if err := c.store.Close(); err != nil {
		log.WithError(err).Warn("handoff: copies not closed cleanly")
	}
}
