// Package service builds a controller from its configuration, serves requests, reloads the configuration and shuts the
// controller down.
//
// It owns the order of start and shutdown and divides the limits of the machine among the parts of the controller. It
// decides nothing about single requests.
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

// Shares of the configured limits of memory and sockets.
const (
	heapMemoryShare     = 0.7  // memory limit of the Go runtime; the rest covers stacks, sockets and unswept memory
	bufferMemoryShare   = 0.12 // bodies of open requests; the same again for messages being read, and for queued output
	clientSocketShare   = 0.55
	executorSocketShare = 0.3

	openRequestShare = 0.1  // of memory, for the state of open requests
	knownIDShare     = 0.15 // of memory, for ids that are remembered
)

// Memory that is reckoned for each item.
const (
	openRequestBytes = 2500 // state of an open request in all parts, without its body
	knownIDBytes     = 200  // id, map entry and deadline timer
)

// gcPercent lets the heap grow far between two collections while it stays well below the memory limit.
const gcPercent = 400

const countersInterval = 10 * time.Second

// listPropagationTime is the time after which the platform presumes every controller notified of a change of the
// endpoint list, received or not.
const listPropagationTime = 7 * time.Second

// controller joins the event loop, the servers and the clients of one running controller.
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
	messageBytes *netconn.ByteBudget // large messages that are being read
	outputBytes  *netconn.ByteBudget // queued output
	maxDeadline  time.Duration       // the longest of all request classes

	reloadRetryTimer  <-chan time.Time // fires when a failed reload is due for a retry; nil if none is
	reloadRetriesLeft int
}

// Run serves until ctx ends, then shuts down gracefully. Each signal from reload makes it reload the configuration.
func Run(
	ctx context.Context, config *Config, extensions Extensions, reload <-chan os.Signal, log *logrus.Logger,
) error {
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
	stopRequests := c.noteStopRequest(ctx)
	c.serve(ctx, reload)
	c.shutDown(<-stopRequests, reload)
	return nil
}

// applyRuntimeLimits configures the Go runtime for the machine's limits of memory and cores.
func applyRuntimeLimits(config *Config) {
	debug.SetMemoryLimit(int64(config.Limits.MemoryMB * heapMemoryShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	if config.Limits.Cores > 0 {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), max(1, int(config.Limits.Cores+0.5))))
	}
}

// newController creates the controller and its event loop, without opening any socket.
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
		messageBytes: netconn.NewByteBudget(bufferBytes),
		outputBytes:  netconn.NewByteBudget(bufferBytes),
	}
}

// open binds the listen addresses and connects the event loop with its transports. Nothing is served before start.
func (c *controller) open() (err error) {
	config, platform := c.config, c.config.settings
	classes, maxDeadline := classLimits(platform.Scheduler.Classes)
	c.maxDeadline = maxDeadline
	c.clients, err = jsonrpc.NewServer(config.Listen, classes, c.loop, c.clock, jsonrpc.Limits{
		MaxConns:        shareOf(config.Limits.Sockets, clientSocketShare),
		MaxOpen:         maxOpenRequests(platform.MaxRequests, config.Limits.MemoryMB),
		RequestBudget:   c.requestBytes,
		MessageBudget:   c.messageBytes,
		OutputBudget:    c.outputBytes,
		RetryAfterMS:    platform.Scheduler.LongestRetryAfterMS(),
		ServeOutcomes:   c.loop.HasLedger(),
		EarliestArrival: c.loop.EarliestArrival,
	}, c.log)
	if err != nil {
		return err
	}
	c.executors = resp.NewClient(c.loop, c.clock, c.outputBytes, resp.Limits{
		ConnectMS:   platform.Executors.ConnectTimeoutMS,
		IdleMS:      platform.Executors.IdleCloseMS,
		MaxPerConn:  platform.Executors.StreamsPerConn,
		MaxConns:    shareOf(config.Limits.Sockets, executorSocketShare),
		ReportNames: platform.Scheduler.ReportNames,
	}, c.log)
	c.executors.LeaseHeld = c.loop.LeaseHeld
	c.peers, err = gossip.New(config.PeerListen, config.Peers, config.AllPeers, c.loop, c.log)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	c.discovery, err = discovery.NewClient(
		config.DiscoveryAddress, config.InitialList, c.executors, c.clock, config.seed, c.loop, c.log)
	if err != nil {
		return err
	}
	c.loop.Executors = c.executors
	c.loop.Peers = c.peers
	c.loop.EndpointList = c.discovery
	c.loop.HealthCheckTimeoutMS = platform.Executors.ConnectTimeoutMS
	c.loop.MaxKnownIDs = itemsWithin(config.Limits.MemoryMB, knownIDShare, knownIDBytes)
	c.loop.RetryAfterMS = platform.Scheduler.LongestRetryAfterMS()
	return nil
}

// start starts all goroutines. The initial endpoint list reaches the event loop before any request does.
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

// serve reloads the configuration on request and logs counters at intervals until ctx ends.
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
		case <-c.reloadRetryTimer:
			c.reload(c.reloadRetriesLeft - 1)
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
		"dial_local_failures":   c.executors.LocalDialFailures.Load(),
		"stray_replies":         c.executors.StrayReplies.Load(),
		"resumed_answers":       c.executors.ResumedAnswers.Load(),
		"blocked_attempts":      c.executors.BlockedAttempts.Load(),
		"malformed_replies":     c.executors.MalformedReplies.Load(),
		"discovery_calls":       c.discovery.Polls.Load(),
		"discovery_lost":        c.discovery.FailedPolls.Load(),
		"discovery_malformed":   c.discovery.MalformedResponses.Load(),
		"gossip_sent":           c.peers.Sent.Load(),
		"gossip_received":       c.peers.Received.Load(),
		"gossip_dropped":        c.peers.Dropped.Load(),
		"gossip_unknown_sender": c.peers.UnknownSender.Load(),
		"request_bytes":         c.requestBytes.Reserved(),
		"message_bytes":         c.messageBytes.Reserved(),
		"unwritten_bytes":       c.outputBytes.Reserved(),
		"goroutines":            runtime.NumGoroutine(),
	}).Info(message)
	c.extensions.LogCounters()
}

// classLimits returns what the client server enforces for each request class, and the longest deadline among them.
func classLimits(classes []scheduler.RequestClass) (map[string]jsonrpc.ClassLimits, time.Duration) {
	limits := map[string]jsonrpc.ClassLimits{}
	longestMS := 0.0
	for _, class := range classes {
		limits[class.Name] = jsonrpc.ClassLimits{
			Keyed:         class.Idempotency == scheduler.Keyed,
			MaxDeadlineMS: class.DeadlineMS,
		}
		longestMS = max(longestMS, class.DeadlineMS)
	}
	return limits, time.Duration(longestMS * float64(time.Millisecond))
}

// maxOpenRequests returns the limit of open requests: the platform's, if it names one, and no more than the memory allows.
func maxOpenRequests(platformLimit int, memoryMB float64) int {
	limit := itemsWithin(memoryMB, openRequestShare, openRequestBytes)
	if platformLimit > 0 {
		limit = min(limit, platformLimit)
	}
	return limit
}

// itemsWithin returns how many items of a size fit into a share of the memory, at least 1.
func itemsWithin(memoryMB, share, itemBytes float64) int {
	return max(1, int(memoryMB*(1<<20)*share/itemBytes))
}

// shareOf returns a share of a total, rounded down but at least 1.
func shareOf(total int, share float64) int { return max(1, int(float64(total)*share)) }
