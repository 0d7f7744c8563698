package gossip

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
)

// fakeQueue is an EventQueue whose items a test takes with next.
type fakeQueue chan dispatch.QueueItem

func (q fakeQueue) Put(item dispatch.QueueItem) { q <- item }

// next returns the next item and fails the test if none arrives within 3 seconds.
func (q fakeQueue) next(t *testing.T) dispatch.QueueItem {
	select {
	case item := <-q:
		return item
	case <-time.After(3 * time.Second):
		require.Fail(t, "no item arrived in the event queue within 3 s")
	}
	return dispatch.QueueItem{}
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
