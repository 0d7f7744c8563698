// Package assembly builds the optional subsystems that the operators' file configures and connects them to a
// controller: the ledger's store, the quotas of the teams, the cluster with its consensus group, the handoff of open
// requests, the locality decisions between zones, and the administrative socket. It starts and stops them in order,
// logs what they report and answers administrative requests about them. The decisions themselves are made by the
// subsystems.
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

// storeSyncThreads is the number of threads that the store may block in fsync. A blocked thread keeps its Go scheduler
// slot (GOMAXPROCS) for a while, so openStore adds this many slots to let other goroutines run meanwhile. Waiting in
// fsync uses no processor time.
const storeSyncThreads = 2

// Extensions implements service.Extensions for a controller with an operators' file.
type Extensions struct {
	file     *operatorconfig.File
	loop     *dispatch.Loop
	store    *ledgerstore.Store // nil without block store
	quotas   *quotaManager      // nil without block quotas
	cluster  *clusterExtension  // nil without block cluster
	handoff  *handoffExtension  // nil without block handoff
	locality *localityExtension // nil without block zones
	admin    *adminapi.Server   // nil without block control
	log      logrus.FieldLogger
}

// New reads the operators' file at path. If path is empty, it returns service.NoExtensions.
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

// Open opens the subsystems that the file configures and registers them with the event loop.
func (x *Extensions) Open(
	name string, loop *dispatch.Loop, platform *settings.Settings, clock dispatch.Clock, log logrus.FieldLogger,
) error {
	x.loop, x.log = loop, log
	if len(x.file.Deprecated) > 0 {
		log.WithField("names", x.file.Deprecated).
			Warn("operator file: deprecated names; the page of the block has the new ones")
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

// register adds the extensions to the event loop, in the order in which they handle events. The handoff is first, since
// it may suspend an arriving request until other controllers have replied.
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

// openStore opens the store if the file has a block store.
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
	var recovery store.Recovery
	// The previous process may still be shutting down.
	err = retry.Do(retry.StartTimeout, func() error {
		opened, recovery, err = ledgerstore.Open(
			vfs.WithFaults(dir), options, *ledgerSettings(platform, block, x.file.Handoff), clock.Now, post, x.log,
		)
		return err
	}, vfs.ErrInUse)
	if err != nil {
		return fmt.Errorf("%w (folder %s; see: liftshift store verify %s)", err, block.Directory, block.Directory)
	}
	if recovery.InDoubt {
		x.log.WithField("reason", recovery.Reason).Warn("store: the last records may be missing")
	}
	if recovery.DiskError != nil {
		x.log.WithField("reason", recovery.DiskError).
			Error("store: the disk takes no writes; what needs a record is rejected until it does")
	}
	x.store = opened
	runtime.GOMAXPROCS(runtime.GOMAXPROCS(0) + storeSyncThreads)
	return nil
}

// ledgerSettings combines the platform's settings with the blocks store and handoff. The parameter handoff is nil
// without block handoff.
func ledgerSettings(
	platform *settings.Settings, block *operatorconfig.Store, handoff *operatorconfig.Handoff,
) *ledger.Settings {
	s := &ledger.Settings{
		Classes:        platform.Scheduler.Classes,
		RetryBudget:    platform.Scheduler.RetryBudget,
		RetryAfterMS:   platform.Scheduler.LongestRetryAfterMS(),
		RetentionMS:    block.RetentionMS,
		MaxAnswerBytes: block.MaxAnswerBytes,
		MaxRecords:     block.MaxRecords,
	}
	if handoff != nil { // requests that were open at a crash are completed by the successors
		s.SuccessorsResume, s.SkipDiskWait = true, !handoff.WaitForOwnDisk
	}
	return s
}

// Start queues the restored state for the scheduler, before any other event, and announces to the cluster that this
// controller is ready.
func (x *Extensions) Start() {
	if x.store != nil {
		for _, event := range x.store.RestoredEvents() {
			x.loop.Put(dispatch.QueueItem{Event: event})
		}
	}
	x.cluster.start()
}

// Reload reads the file again without changing anything. The function that it returns puts the new values into force
// and returns the names of the changed settings that take effect only after a restart.
func (x *Extensions) Reload(platform *settings.Settings) (func() []string, error) {
	next, err := operatorconfig.Read(x.file.Path)
	if err != nil {
		return nil, err
	}
	return func() []string {
		if x.store != nil && next.Store != nil {
			changed := &ledger.Event{
				Kind:     ledger.SettingsChanged,
				Settings: ledgerSettings(platform, next.Store, x.file.Handoff),
			}
			x.loop.Put(dispatch.QueueItem{Message: changed})
		}
		if x.handoff != nil && next.Store != nil {
			x.handoff.agent.SetKeyRetention(next.Store.RetentionMS)
		}
		if x.quotas != nil && next.Quotas != nil && x.file.Quotas.SameTree(next.Quotas) {
			x.loop.Put(dispatch.QueueItem{Call: func(now float64) { x.quotas.reload(x.loop, now, next.Quotas) }})
		}
		return x.file.ChangesNeedingRestart(next)
	}, nil
}

// LogCounters logs the counters of the subsystems that are configured.
func (x *Extensions) LogCounters() {
	if x.store != nil {
		x.log.WithFields(x.store.Fields()).Info("store")
	}
	x.cluster.logCounters()
	x.handoff.logCounters()
	x.locality.logCounters()
}

// ShutdownStarted announces to the cluster that this controller is draining.
func (x *Extensions) ShutdownStarted() { x.cluster.shutdownStarted() }

// Close closes the administrative socket, then the cluster, the handoff, the locality and the store. The event loop
// must have ended.
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
