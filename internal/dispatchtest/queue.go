// Package dispatchtest helps the tests of packages that put items into the queue of the event loop.
package dispatchtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// nextTimeout is how long Next waits for an item.
const nextTimeout = 3 * time.Second

// Queue is an event queue whose items a test takes with Next. Putting an item blocks while the queue is full.
type Queue chan dispatch.QueueItem

// Put queues an item.
func (q Queue) Put(item dispatch.QueueItem) { q <- item }

// Submit queues a request.
func (q Queue) Submit(request *dispatch.Request) {
	q <- dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: request}
}

// OpenRequests returns 0: the queue does not know which requests are answered.
func (q Queue) OpenRequests() int { return 0 }

// Next returns the next item and fails the test if none arrives in time.
func (q Queue) Next(t testing.TB) dispatch.QueueItem {
	t.Helper()
	select {
	case item := <-q:
		return item
	case <-time.After(nextTimeout):
		require.Fail(t, "the event queue got no item in time")
	}
	return dispatch.QueueItem{}
}
