// Package assembly joins what the operators' own file asks for to a controller: the store beneath its ledger, the quotas of its teams,
// the cluster with its consensus group, the handoff of open requests, the locality of zones and the administrative socket. It owns
// which of them there are, starts and stops them in order, logs what they report and answers questions about them. It decides nothing.
package assembly

import (
	"fmt"
	"runtime"

	"github.com/sirupsen/logrus"

	"liftshift/internal/adminapi"
	"liftshift/internal/dispatch"
	"liftshift/internal/ledger"
	"liftshift/internal/ledgerstore"
	"liftshift/internal/operatorconfig"
	"liftshift/internal/retry"
	"liftshift/internal/service"
	"liftshift/internal/settings"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
)

// storeSyncThreads is how many threads a sync of the disk may block: a thread in a sync keeps its slot of the Go scheduler until that
// notices, and what is ready to run would wait for the disk meanwhile. A sync takes no processor time.
const storeSyncThreads = 2

// Extensions are what an operators' file adds to a controller.
type Extensions struct {
	file     *operatorconfig.File
	loop     *dispatch.Loop
	store    *ledgerstore.Store // nil: no store
	quotas   *quotaManager      // nil: no quotas
	cluster  *cluster           // nil: no cluster
	handoff  *handoffExtension  // nil: nobody keeps copies
	locality *localityExtension // nil: nothing is decided between zones
	admin    *adminapi.Server
	log      logrus.FieldLogger
}

// New reads the operators' file at a path; without one there is nothing besides the platform's side.
func New(path string) (service.Extensions, error) {
	if path == "" {
		return service.NoExtensions{}, nil
	}
	file, err := operatorconfig.Read(path)
	if err != nil {
		return nil, err
	}
	return &Extensions{file: file}, nil
}

// Open opens what the file asks for and registers it with the event loop: first the handoff, which asks other controllers, then the
// quotas, the locality and the ledger.
func (x *Extensions) Open(name string, loop *dispatch.Loop, platform *settings.Settings, clock dispatch.Clock, log logrus.FieldLogger) error {
	x.loop, x.log = loop, log
	if len(x.file.Deprecated) > 0 {
		log.WithField("names", x.file.Deprecated).Warn("operator file: deprecated names; the page of the block has the new ones")
	}
	if x.file.Quotas != nil {
		quotas, err := newQuotaManager(clock.Now(), x.file.Quotas, &platform.Scheduler)
		if err != nil {
			return fmt.Errorf("quotas: %w", err)
		}
		x.quotas = quotas
	}
	if err := x.openStore(platform, clock); err != nil {
		return err
	}
	if err := x.openCluster(name, platform, clock); err != nil {
		return err
	}
	x.register()
	return x.openAdmin()
}

// register gives the event loop its extensions, in the order in which they hear of events.
func (x *Extensions) register() {
	if x.handoff != nil {
		x.loop.Register(x.handoff.agent)
		x.loop.LeaseHeld = x.handoff.agent.LeaseHeld
	}
	if x.quotas != nil {
		x.loop.Register(dispatch.QuotaExtension(x.quotas))
	}
	if x.locality != nil {
		x.loop.Register(x.locality.agent)
	}
	if x.store != nil {
		x.loop.Register(dispatch.LedgerExtension(x.store))
		x.restoreLimits()
	}
}

// openStore opens the store, where the file has a block store.
func (x *Extensions) openStore(platform *settings.Settings, clock dispatch.Clock) error {
	block := x.file.Store
	if block == nil {
		return nil
	}
	dir, err := vfs.OpenDir(block.Directory, true)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	options := store.Options{SegmentBytes: block.SegmentBytes, FlushDelay: block.FlushDelay}
	post := func(event ledger.Event) { x.loop.Put(dispatch.QueueItem{Message: &event}) }
	var opened *ledgerstore.Store
	var found store.Recovery
	err = retry.Do(retry.StartTimeout, func() error { // the process before this one may still be ending
		opened, found, err = ledgerstore.Open(vfs.WithFaults(dir), options, *ledgerSettings(platform, block, x.file.Handoff), clock.Now, post, x.log)
		return err
	}, vfs.ErrInUse)
	if err != nil {
		return fmt.Errorf("%w (folder %s; see: liftshift store verify %s)", err, block.Directory, block.Directory)
	}
	if found.InDoubt {
		x.log.WithField("reason", found.Reason).Warn("store: the last records may be missing")
	}
	if found.DiskError != nil {
		x.log.WithField("reason", found.DiskError).Error("store: the disk takes no writes; what needs a record is rejected until it does")
	}
	x.store = opened
	runtime.GOMAXPROCS(runtime.GOMAXPROCS(0) + storeSyncThreads)
	return nil
}

// ledgerSettings returns what the ledger goes by: the platform's settings, and the operators' own.
func ledgerSettings(platform *settings.Settings, block *operatorconfig.Store, handoff *operatorconfig.Handoff) *ledger.Settings {
	s := &ledger.Settings{
		Classes:        platform.Scheduler.Classes,
		RetryBudget:    platform.Scheduler.RetryBudget,
		RetryAfterMS:   platform.Scheduler.LongestRetryAfterMS(),
		RetentionMS:    block.RememberMS,
		MaxAnswerBytes: block.MaxAnswerBytes,
		MaxRecords:     block.MaxRecords,
	}
	if handoff != nil { // what was open at a crash is for the successors to end
		s.SuccessorsResume, s.SkipDiskWait = true, !handoff.WaitForOwnDisk
	}
	return s
}

// Start tells the scheduler what was restored, ahead of all else, and the cluster that this controller serves.
func (x *Extensions) Start() {
	if x.store != nil {
		for _, event := range x.store.RestoredEvents() {
			x.loop.Put(dispatch.QueueItem{Event: event})
		}
	}
	x.cluster.start()
}

// Reload reads the file again. What it returns puts it in force and names what needs a restart.
func (x *Extensions) Reload(platform *settings.Settings) (func() []string, error) {
	next, err := operatorconfig.Read(x.file.Path)
	if err != nil {
		return nil, err
	}
	return func() []string {
		if x.store != nil && next.Store != nil {
			changed := &ledger.Event{Kind: ledger.SettingsChanged, Settings: ledgerSettings(platform, next.Store, x.file.Handoff)}
			x.loop.Put(dispatch.QueueItem{Message: changed})
		}
		if x.quotas != nil && next.Quotas != nil && x.file.Quotas.SameTree(next.Quotas) {
			x.loop.Put(dispatch.QueueItem{Call: func(now float64) { x.quotas.reload(x.loop, now, next.Quotas) }})
		}
		return x.file.Differs(next)
	}, nil
}

// LogCounters logs the counters of all that there is.
func (x *Extensions) LogCounters() {
	if x.store != nil {
		x.log.WithFields(x.store.Fields()).Info("store")
	}
	x.cluster.logCounters()
	x.handoff.logCounters()
	x.locality.logCounters()
}

// ShutdownStarted tells the cluster that this controller is draining.
func (x *Extensions) ShutdownStarted() { x.cluster.shutdownStarted() }

// Close ends the store and closes the administrative socket. The event loop has ended.
func (x *Extensions) Close() {
	if x.admin != nil {
		x.admin.Close()
	}
	x.cluster.close()
	x.handoff.close()
	x.locality.close()
	if x.store == nil {
		return
	}
	if err := x.store.Close(); err != nil {
		x.log.WithField("reason", err).Warn("store: not closed cleanly")
	}
}
