package discovery

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
)

// fakeQueue is an event queue from which a test reads.
type fakeQueue chan dispatch.QueueItem

// Put implements EventQueue.
func (q fakeQueue) Put(item dispatch.QueueItem) { q <- item }

// next returns the next item. It fails the test if there is none within 3 s.
func (q fakeQueue) next(t *testing.T) dispatch.QueueItem {
	select {
	case item := <-q:
		return item
	case <-time.After(3 * time.Second):
		require.Fail(t, "no item was queued within 3 s")
	}
	return dispatch.QueueItem{}
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newReader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 4096) }
