package handoffnet

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"liftshift/internal/handoff"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
)

// copies keeps copies on this holder's disk, so that they are there when it starts again.
type copies struct {
	store *store.Store
	batch store.Batch
	room  []byte
	token uint64
	wait  map[uint64]func(error)
	back  func(stored)
}

// PersistCopies has copies kept in a folder, and gives the estate those that are there. It is called before the desk runs.
func (t *Agent) PersistCopies(folder vfs.FS, put func(note any)) error {
	c := &copies{wait: map[uint64]func(error){}, back: func(s stored) { put(s) }}
	now := t.clock.Now()
	found := map[store.Key][]byte{}
	s, at, err := store.Open(folder, store.Options{}, func(k store.Key, _ int64, value []byte) {
		if delete(found, k); value != nil {
			found[k] = append([]byte(nil), value...)
		}
	})
	if err != nil {
		return fmt.Errorf("estate: %w", err)
	}
	for k, value := range found {
		if one, err := handoff.ReadCopy(value, now); err == nil && handoff.KeyOf(one.IdempotencyKey, one.ID) == handoff.Key(k) {
			t.estate.Step(now, &handoff.Event{Kind: handoff.CopyRestored, Copy: &one})
		}
	}
	c.store = s
	t.copies = c
	t.log.WithFields(logrus.Fields{"records": at.Records, "copies": len(found), "doubt": at.Reason}).Info("estate: copies opened")
	return nil
}

// keep writes what a step wants kept; the token is told once it lasts. 0: nobody waits for it.
func (c *copies) keep(now float64, effects []handoff.Effect, lasts bool) uint64 {
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
		c.room = handoff.AppendCopy(c.room[:0], e.Copy, now)
		c.batch.Put(store.Key(e.Key), int64(e.Version), c.room)
	}
	if c.batch.Len() == 0 {
		return 0
	}
	teller, token := store.Notifier(nil), uint64(0)
	if lasts {
		c.token++
		teller, token = c, c.token
	}
	if err := c.store.Append(int64(now), &c.batch, teller, token); err != nil && lasts {
		go c.Stored(token, err) // whoever waits for it is told
	}
	return token
}

// Stored hears from the store what became of a batch.
func (c *copies) Stored(token uint64, err error) { c.back(stored{token, err}) }

// stored lets answers go that waited.
func (c *copies) stored(s stored, _ *Agent) {
	if tell := c.wait[s.token]; tell != nil {
		delete(c.wait, s.token)
		tell(s.err)
	}
}

func (c *copies) close(log logrus.FieldLogger) {
	if err := c.store.Close(); err != nil {
		log.WithField("why", err).Warn("estate: copies were not closed well")
	}
}
