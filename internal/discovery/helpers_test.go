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

// fakeQueue is an event queue that a test reads.
type fakeQueue chan dispatch.QueueItem

func (m fakeQueue) Put(it dispatch.QueueItem) { m <- it }

func (m fakeQueue) next(t *testing.T) dispatch.QueueItem {
	select {
	case it := <-m:
		return it
	case <-time.After(3 * time.Second):
		require.Fail(t, "nothing came")
	}
	return dispatch.QueueItem{}
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newReader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 4096) }
