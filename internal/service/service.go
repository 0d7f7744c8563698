package service

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/internal/wire"
	"liftshift/scheduler"
)

// Shares of the limits. They bound memory and sockets and decide nothing.
const (
	heapShare    = 0.7  // of the memory, for Go's own limit: the rest is for stacks, sockets and what is not yet swept
	heldShare    = 0.12 // of the memory, for each of the bodies of open requests, and what waits to be written
	heapGrowth   = 400  // percent that the heap grows between collections, as long as the limit is far
	clientsShare = 0.55 // of the descriptors
	linksShare   = 0.3  // of the descriptors, for executors
	logRoom      = 1024 // lines that may wait to be written
	countEvery   = 10 * time.Second
	reloadTries  = 4 // looks at a configuration that could not be read, after the first
	reloadAgain  = 250 * time.Millisecond
)

// The protocol's times, for a list out of reach and for a planned stop.
const (
	frontLeaves = 700 * time.Millisecond // the front has left by then, and its last request has come
	longestStop = 3 * time.Second        // the longest hard limit that the stop waits for
	toldWithin  = 7 * time.Second        // what the change log has to tell counts as told by then, heard or not
	stopLook    = 10 * time.Millisecond
	stopSpare   = 300 * time.Millisecond // for the last answers to be written and read: half of it for each
)

// Run serves until ctx ends, then stops as planned. At each reload it reads the configuration again.
func Run(ctx context.Context, n *Config, beside Extensions, reload <-chan os.Signal, log *logrus.Logger) error {
	debug.SetMemoryLimit(int64(n.Limits.MemoryMB * heapShare * (1 << 20)))
	debug.SetGCPercent(heapGrowth)
	if n.Limits.Cores > 0 {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), max(1, int(n.Limits.Cores+0.5))))
	}
	set, clock := n.settings, dispatch.NewClock()
	held := int64(n.Limits.MemoryMB * heldShare * (1 << 20))
	bodies, out := wire.NewByteBudget(held), wire.NewByteBudget(held)
	d := dispatch.New(clock, scheduler.New(n.seed, set.Scheduler), log)
	if err := beside.Open(n.Name, d, set, clock, log); err != nil {
		return err
	}
	defer beside.Close()
	offerings, longest := classLimits(set.Scheduler.Classes)
	front, err := wire.NewClientServer(n.Listen, offerings, d, clock, wire.ServerLimits{
		Clients: share(n.Limits.Sockets, clientsShare), MaxHeld: set.MaxHeld, BodyBudget: bodies,
		AnswerBudget: out, RetryAfterMS: set.Scheduler.LongestRetryAfterMS(), ServeOutcomes: d.HasLedger(), Arrival: d.Arrival}, log)
	if err != nil {
		return err
	}
	connect := set.Executors.ConnectTimeoutMS
	fleet := wire.NewExecutorClient(d, clock, out, wire.ExecutorLimits{ConnectMS: connect, IdleMS: set.Executors.IdleCloseMS,
		MaxPerConn: set.Executors.StreamsPerConn, MaxConns: share(n.Limits.Sockets, linksShare),
		ReportNames: set.Scheduler.ReportNames, Seed: n.seed}, log)
	fleet.LeaseHeld = d.LeaseHeld
	peers, err := wire.NewPeerNetwork(n.PeerListen, n.Peers, n.AllPeers, d, log)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	d.Executors, d.Peers, d.HealthCheckTimeoutMS = fleet, peers, connect
	feed, err := wire.NewDiscoveryClient(n.Discovery, n.Known, fleet, d, log)
	if err != nil {
		return err
	}
	d.List = feed
	go d.Run()
	beside.Start()
	feed.Start()
	go peers.Run()
	go feed.Run()
	go front.Run()
	front.SetReady(ctx.Err() == nil)
	log.WithFields(logrus.Fields{"name": n.Name, "listen": n.Listen, "memory_mb": n.Limits.MemoryMB,
		"sockets": n.Limits.Sockets, "procs": runtime.GOMAXPROCS(0)}).Info("start: serving")
	count := func(line string) {
		log.WithFields(logrus.Fields{"accepted": front.Accepted.Load(), "bad": front.Bad.Load(),
			"framing_lost": front.LostFraming.Load(), "pauses": front.Pauses.Load(), "too_many": front.Refused.Load(), "silent": front.TimedOut.Load(), "gave_way": front.Evicted.Load(),
			"dials": fleet.Dials.Load(), "dials_failed": fleet.DialFailures.Load(), "dials_unsent": fleet.LocalFailures.Load(), "strays": fleet.Strays.Load(), "moved": fleet.Resumed.Load(), "barred": fleet.Blocked.Load(),
			"malformed": fleet.Malformed.Load(), "polls": feed.Calls.Load(), "polls_lost": feed.Lost.Load(),
			"polls_malformed": feed.Malformed.Load(), "told": peers.Sent.Load(), "heard": peers.Heard.Load(),
			"told_dropped": peers.Dropped.Load(), "foreign": peers.Foreign.Load(), "bodies": bodies.Held(),
			"unwritten": out.Held(), "goroutines": runtime.NumGoroutine()}).Info(line)
		beside.LogCounters()
	}
	var again <-chan time.Time // when a file that could not be read is looked at once more: it may not have been whole yet
	tries := 0
	renew := func(left int) {
		var done bool
		if n, done = n.reload(feed, beside, log); done {
			left = 0
		}
		if tries, again = left, nil; left > 0 {
			again = time.After(reloadAgain)
		}
	}
	for tick := time.NewTicker(countEvery); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			tick.Stop()
		case <-tick.C:
			count("sockets")
		case <-reload:
			renew(reloadTries)
		case <-again:
			renew(tries - 1)
		}
	}

	began := time.Now()
	limit := frontLeaves + min(longestStop, longest)
	front.SetReady(false)
	beside.ShutdownStarted()
	d.BeginShutdown(clock.Now() + float64(limit-stopSpare)/float64(time.Millisecond))
	log.WithFields(logrus.Fields{"open": d.OpenRequests(), "within": limit}).Info("stop: begun")
	for time.Since(began) < limit-stopSpare/2 {
		select {
		case <-time.After(stopLook):
		case <-reload: // the change log may move once more: what drains meanwhile has to be heard of
			renew(0)
		}
		if time.Since(began) < frontLeaves {
			continue
		}
		if front.Drain(); d.OpenRequests() == 0 && front.Done() {
			break
		}
	}
	front.Stop(stopSpare / 3)
	feed.Stop()
	d.Stop()
	count("sockets: end")
	fleet.Stop()
	peers.Stop()
	log.WithFields(logrus.Fields{"open": d.OpenRequests(), "took": time.Since(began)}).Info("stop: done")
	return nil
}

// classLimits returns what a client server has to know of each class, and the longest deadline.
func classLimits(classes []scheduler.RequestClass) (map[string]wire.ClassLimits, time.Duration) {
	limits, longest := map[string]wire.ClassLimits{}, 0.0
	for _, c := range classes {
		limits[c.Name] = wire.ClassLimits{Keyed: c.Effect == scheduler.Keyed, LimitMS: c.DeadlineMS}
		longest = max(longest, c.DeadlineMS)
	}
	return limits, time.Duration(longest * float64(time.Millisecond))
}

func share(n int, of float64) int { return max(1, int(float64(n)*of)) }
