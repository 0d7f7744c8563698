// Package service builds a controller from its configuration, serves, reloads and stops it.
//
// It owns the order of start and shutdown and the shares of the machine's limits, and takes no decision about requests.
package service

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/discovery"
	"liftshift/internal/dispatch"
	"liftshift/internal/gossip"
	"liftshift/internal/jsonrpc"
	"liftshift/internal/netconn"
	"liftshift/internal/resp"
	"liftshift/scheduler"
)

// Shares of the limits. They bound memory and sockets and decide nothing.
const (
	heapMemoryShare     = 0.7  // of the memory, for Go's own limit: the rest is for stacks, sockets and what is not yet swept
	bufferMemoryShare   = 0.12 // of the memory, for each of the bodies of open requests and what waits to be written
	gcPercent           = 400  // growth of the heap between collections, as long as the limit is far
	clientSocketShare   = 0.55 // of the descriptors
	executorSocketShare = 0.3  // of the descriptors
	countersInterval    = 10 * time.Second
)

// The protocol's times.
const (
	balancerLeaveTime = 700 * time.Millisecond // after which the load balancer has stopped sending, and its last request has come
	maxDeadlineWait   = 3 * time.Second        // the longest deadline that a shutdown waits for
	notifiedWithin    = 7 * time.Second        // after which a change of the endpoint list counts as known, notified or not
)

const (
	drainPollInterval = 10 * time.Millisecond
	flushReserve      = 300 * time.Millisecond // for the last answers to be written and read: half of it for each
)

// controller is what Run has started.
type controller struct {
	config     *Config
	extensions Extensions
	log        *logrus.Logger
	clock      dispatch.Clock
	loop       *dispatch.Loop
	clients    *jsonrpc.Server
	executors  *resp.Client
	peers      *gossip.Network
	discovery  *discovery.Client

	requestBytes *netconn.ByteBudget // bodies of open requests
	outputBytes  *netconn.ByteBudget // what waits to be written
	maxDeadline  time.Duration       // of all request classes

	retryReload       <-chan time.Time // when a configuration that could not be read is read again; nil: not at all
	reloadRetriesLeft int
}

// Run serves until ctx ends, then shuts down gracefully. It reads the configuration again at each signal from reload.
func Run(ctx context.Context, config *Config, extensions Extensions, reload <-chan os.Signal, log *logrus.Logger) error {
	applyRuntimeLimits(config)
	c := newController(config, extensions, log)
	if err := extensions.Open(config.Name, c.loop, config.settings, c.clock, log); err != nil {
		return err
	}
	defer extensions.Close()
	if err := c.open(); err != nil {
		return err
	}
	c.start(ctx)
	c.serve(ctx, reload)
	c.shutDown(reload)
	return nil
}

// applyRuntimeLimits sets the limits of Go's runtime.
func applyRuntimeLimits(config *Config) {
	debug.SetMemoryLimit(int64(config.Limits.MemoryMB * heapMemoryShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	if config.Limits.Cores > 0 {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), max(1, int(config.Limits.Cores+0.5))))
	}
}

func newController(config *Config, extensions Extensions, log *logrus.Logger) *controller {
	bufferBytes := int64(config.Limits.MemoryMB * bufferMemoryShare * (1 << 20))
	clock := dispatch.NewClock()
	return &controller{
		config:       config,
		extensions:   extensions,
		log:          log,
		clock:        clock,
		loop:         dispatch.New(clock, scheduler.New(config.seed, config.settings.Scheduler), log),
		requestBytes: netconn.NewByteBudget(bufferBytes),
		outputBytes:  netconn.NewByteBudget(bufferBytes),
	}
}

// open listens and connects the loop with its protocols. Nothing is served yet.
func (c *controller) open() (err error) {
	config, set := c.config, c.config.settings
	classes, maxDeadline := classLimits(set.Scheduler.Classes)
	c.maxDeadline = maxDeadline
	c.clients, err = jsonrpc.NewServer(config.Listen, classes, c.loop, c.clock, jsonrpc.Limits{
		MaxConns:      share(config.Limits.Sockets, clientSocketShare),
		MaxOpen:       set.MaxRequests,
		RequestBudget: c.requestBytes,
		OutputBudget:  c.outputBytes,
		RetryAfterMS:  set.Scheduler.LongestRetryAfterMS(),
		ServeOutcomes: c.loop.HasLedger(),
		Arrival:       c.loop.Arrival,
	}, c.log)
	if err != nil {
		return err
	}
	c.executors = resp.NewClient(c.loop, c.clock, c.outputBytes, resp.Limits{
		ConnectMS:   set.Executors.ConnectTimeoutMS,
		IdleMS:      set.Executors.IdleCloseMS,
		MaxPerConn:  set.Executors.StreamsPerConn,
		MaxConns:    share(config.Limits.Sockets, executorSocketShare),
		ReportNames: set.Scheduler.ReportNames,
	}, c.log)
	c.executors.LeaseHeld = c.loop.LeaseHeld
	c.peers, err = gossip.New(config.PeerListen, config.Peers, config.AllPeers, c.loop, c.log)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	c.discovery, err = discovery.NewClient(config.Discovery, config.Known, c.executors, c.clock, config.seed, c.loop, c.log)
	if err != nil {
		return err
	}
	c.loop.Executors = c.executors
	c.loop.Peers = c.peers
	c.loop.List = c.discovery
	c.loop.HealthCheckTimeoutMS = set.Executors.ConnectTimeoutMS
	return nil
}

// start starts all goroutines. The endpoints that are known at the start reach the loop before anything else does.
func (c *controller) start(ctx context.Context) {
	go c.loop.Run()
	c.extensions.Start()
	c.discovery.Start()
	go c.peers.Run()
	go c.discovery.Run()
	go c.clients.Run()
	c.clients.SetReady(ctx.Err() == nil)
	c.log.WithFields(logrus.Fields{
		"name":      c.config.Name,
		"listen":    c.config.Listen,
		"memory_mb": c.config.Limits.MemoryMB,
		"sockets":   c.config.Limits.Sockets,
		"procs":     runtime.GOMAXPROCS(0),
	}).Info("start: serving")
}

// serve reloads and logs counters until ctx ends.
func (c *controller) serve(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(countersInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			c.logCounters("sockets")
		case <-reload:
			c.reload(reloadRetries)
		case <-c.retryReload:
			c.reload(c.reloadRetriesLeft - 1)
		}
	}
}

// shutDown stops the controller gracefully: it is not ready any more, waits until the balancer has stopped sending and all requests
// are answered, but not past the limit, then ends everything.
func (c *controller) shutDown(reload <-chan os.Signal) {
	began := time.Now()
	limit := balancerLeaveTime + min(maxDeadlineWait, c.maxDeadline)
	c.clients.SetReady(false)
	c.extensions.ShutdownStarted()
	c.loop.BeginShutdown(c.clock.Now() + float64(limit-flushReserve)/float64(time.Millisecond))
	c.log.WithFields(logrus.Fields{"open": c.loop.OpenRequests(), "within": limit}).Info("stop: begun")
	c.drain(began, limit, reload)
	c.clients.Stop(flushReserve / 3)
	c.discovery.Stop()
	c.loop.Stop()
	c.logCounters("sockets: end")
	c.executors.Stop()
	c.peers.Stop()
	c.log.WithFields(logrus.Fields{"open": c.loop.OpenRequests(), "took": time.Since(began)}).Info("stop: done")
}

// drain waits until all requests are answered and all clients have their answers, or the limit is near.
func (c *controller) drain(began time.Time, limit time.Duration, reload <-chan os.Signal) {
	for time.Since(began) < limit-flushReserve/2 {
		select {
		case <-time.After(drainPollInterval):
		case <-reload: // the discovery address may still move: executors that begin to drain have to be noticed
			c.reload(0)
		}
		if time.Since(began) < balancerLeaveTime {
			continue
		}
		c.clients.Drain()
		if c.loop.OpenRequests() == 0 && c.clients.Done() {
			return
		}
	}
}

// logCounters logs the counters of the protocols and of the extensions.
func (c *controller) logCounters(message string) {
	c.log.WithFields(logrus.Fields{
		"accepted":              c.clients.Accepted.Load(),
		"bad_requests":          c.clients.BadRequests.Load(),
		"framing_errors":        c.clients.FramingErrors.Load(),
		"accept_pauses":         c.clients.AcceptPauses.Load(),
		"connections_rejected":  c.clients.Rejected.Load(),
		"connections_timed_out": c.clients.TimedOut.Load(),
		"connections_evicted":   c.clients.Evicted.Load(),
		"dials":                 c.executors.Dials.Load(),
		"dial_failures":         c.executors.DialFailures.Load(),
		"dial_local_failures":   c.executors.LocalFailures.Load(),
		"stray_replies":         c.executors.Strays.Load(),
		"resumed_answers":       c.executors.Resumed.Load(),
		"blocked_attempts":      c.executors.Blocked.Load(),
		"malformed_replies":     c.executors.Malformed.Load(),
		"discovery_calls":       c.discovery.Calls.Load(),
		"discovery_lost":        c.discovery.Lost.Load(),
		"discovery_malformed":   c.discovery.Malformed.Load(),
		"gossip_sent":           c.peers.Sent.Load(),
		"gossip_received":       c.peers.Received.Load(),
		"gossip_dropped":        c.peers.Dropped.Load(),
		"gossip_unknown_sender": c.peers.UnknownSender.Load(),
		"request_bytes":         c.requestBytes.Held(),
		"unwritten_bytes":       c.outputBytes.Held(),
		"goroutines":            runtime.NumGoroutine(),
	}).Info(message)
	c.extensions.LogCounters()
}

// classLimits returns what a client server has to know of each request class, and the longest deadline.
func classLimits(classes []scheduler.RequestClass) (map[string]jsonrpc.ClassLimits, time.Duration) {
	limits := map[string]jsonrpc.ClassLimits{}
	longest := 0.0
	for _, c := range classes {
		limits[c.Name] = jsonrpc.ClassLimits{Keyed: c.Effect == scheduler.Keyed, MaxDeadlineMS: c.DeadlineMS}
		longest = max(longest, c.DeadlineMS)
	}
	return limits, time.Duration(longest * float64(time.Millisecond))
}

// share returns a part of n, at least 1.
func share(n int, part float64) int { return max(1, int(float64(n)*part)) }
