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

// copyStore writes copies to this replica's disk, so that they are there when it starts again. Its methods are called by the dispatch
// loop's goroutine, unless they say otherwise.
type copyStore struct {
	store   *store.Store
	batch   store.Batch
	buffer  []byte
	token   uint64
	waiting map[uint64]func(error) // by token: replies that wait until what they confirm is on disk
	post    func(copiesStored)
}

// PersistCopies has copies written to a folder, and gives the manager those that are there. It is called before the dispatch loop runs;
// post brings messages to that.
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
	a.log.WithFields(logrus.Fields{"records": recovery.Records, "copies": len(found), "reason": recovery.Reason}).Info("handoff: copies opened")
	return nil
}

// write writes the copies that a step wants persisted. With notify, it returns a token for which copiesStored is posted once they are on
// disk, or 0 if there are none.
func (c *copyStore) write(now float64, effects []handoff.Effect, notify bool) uint64 {
	c.batch.Reset()
	for i := range effects {
		e := &effects[i]
		if e.Kind != handoff.PersistCopy {
			continue
		}
		if e.Copy == nil {
			c.batch.Delete(store.Key(e.Key))
			continue
		}
		c.buffer = handoff.AppendCopy(c.buffer[:0], e.Copy, now)
		c.batch.Put(store.Key(e.Key), int64(e.Version), c.buffer)
	}
	if c.batch.Len() == 0 {
		return 0
	}
	if !notify {
		_ = c.store.Append(int64(now), &c.batch, nil, 0) // nobody waits: what is lost is copied from other replicas
		return 0
	}
	c.token++
	token := c.token
	if err := c.store.Append(int64(now), &c.batch, c, token); err != nil {
		go c.Stored(token, err)
	}
	return token
}

// Stored is called by the store with the outcome of a batch. Any goroutine may call it.
func (c *copyStore) Stored(token uint64, err error) { c.post(copiesStored{token, err}) }

// complete lets the reply go that waited for a batch.
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
