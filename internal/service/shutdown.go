package service

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// Times that the platform's protocol prescribes for a planned stop, counted from its signal.
const (
	// newConnectionTime is how long the load balancer opens new connections.
	newConnectionTime = 400 * time.Millisecond
	// deregistrationTime is how long the load balancer may send requests.
	deregistrationTime = 700 * time.Millisecond
	// maxDeadlineWait is the longest request deadline that a shutdown waits for. The process may be killed that long
	// after deregistrationTime.
	maxDeadlineWait = 3 * time.Second
)

const (
	drainPollInterval = 10 * time.Millisecond
	// flushReserve is the end of a shutdown that remains after the last request has been answered: the first half to
	// write the answers, the second half for clients to read them.
	flushReserve = 300 * time.Millisecond
)

// stopRequest says when the signal to stop came. A process that stalls notices it late, and is killed no later for it.
type stopRequest struct {
	earliest time.Time // the earliest time at which it may have been sent
	noticed  time.Time
}

// noteStopRequest sends the request to stop once ctx ends. It does so at once, also while the controller reloads its
// configuration.
func (c *controller) noteStopRequest(ctx context.Context) <-chan stopRequest {
	requests := make(chan stopRequest, 1)
	context.AfterFunc(ctx, func() { requests <- c.stopRequestedNow() })
	return requests
}

// stopRequestedNow returns a request to stop that is noticed now.
func (c *controller) stopRequestedNow() stopRequest {
	now := c.clock.Now()
	stall := (now - c.loop.EarliestArrival(now)) * float64(time.Millisecond)
	noticed := time.Now()
	return stopRequest{earliest: noticed.Add(-time.Duration(stall)), noticed: noticed}
}

// shutdownSchedule holds the times of a graceful shutdown.
type shutdownSchedule struct {
	answersDue time.Time // all requests have their answers
	drainFrom  time.Time // requests are no longer accepted, and connections end as soon as they have none open
	endBy      time.Time // all connections end
}

// newShutdownSchedule returns the schedule that ends all connections before the process may be killed, provided that
// the load balancer's new connections leave time for it.
func newShutdownSchedule(request stopRequest, maxDeadline time.Duration) shutdownSchedule {
	limit := deregistrationTime + min(maxDeadlineWait, maxDeadline)
	drainFrom := later(request.earliest.Add(deregistrationTime), request.noticed.Add(newConnectionTime))
	endBy := later(request.earliest.Add(limit-flushReserve/2), drainFrom)
	return shutdownSchedule{answersDue: endBy.Add(-flushReserve / 2), drainFrom: drainFrom, endBy: endBy}
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// shutDown stops the controller gracefully: it reports not ready, waits within a time limit until the load balancer has
// stopped sending and all requests are answered, and then stops every part.
func (c *controller) shutDown(request stopRequest, reload <-chan os.Signal) {
	began := time.Now()
	schedule := newShutdownSchedule(request, c.maxDeadline)
	c.clients.SetReady(false)
	c.extensions.ShutdownStarted()
	c.loop.BeginShutdown(c.clock.Now() + float64(time.Until(schedule.answersDue))/float64(time.Millisecond))
	c.log.WithFields(logrus.Fields{
		"open":    c.loop.OpenRequests(),
		"within":  (time.Until(schedule.endBy) + flushReserve/2).Round(time.Millisecond),
		"stalled": request.noticed.Sub(request.earliest).Round(time.Millisecond),
	}).Info("stop: begun")
	c.drain(schedule, reload)
	c.clients.Stop(flushReserve / 3)
	c.discovery.Stop()
	c.loop.Stop()
	c.logCounters("sockets: end")
	c.executors.Stop()
	c.peers.Stop()
	c.log.WithFields(logrus.Fields{"open": c.loop.OpenRequests(), "took": time.Since(began)}).Info("stop: done")
}

// drain returns once the load balancer has stopped sending, all requests are answered and all answers are written, or
// when the connections have to end.
func (c *controller) drain(schedule shutdownSchedule, reload <-chan os.Signal) {
	for time.Now().Before(schedule.endBy) {
		select {
		case <-time.After(drainPollInterval):
		case <-reload:
			c.reload(0) // follows a new discovery address, to learn which executors drain meanwhile
		}
		if time.Now().Before(schedule.drainFrom) {
			continue
		}
		c.clients.Drain()
		if c.loop.OpenRequests() == 0 && c.clients.Done() {
			return
		}
	}
}
