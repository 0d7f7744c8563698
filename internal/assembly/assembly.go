// Package assembly joins what the operators' own file asks for to a controller: the store beneath its memory, and the
// budgets of its teams.
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

// Extensions is what an operators' file makes of a controller.
type Extensions struct {
	file  *operatorconfig.File
	desk  *dispatch.Loop
	keep  *ledgerstore.Store // nil: no store
	team  *teams             // nil: no budgets
	door  *adminapi.Server
	fleet *fleet // nil: none
	heirs *heirs // nil: nobody keeps copies

	lookout *lookout // nil: nothing is decided between zones
	log     logrus.FieldLogger
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

// Open opens the store, if there is to be one, and gives the desk its parts: first the one that asks others, then the budgets, then the
// memory.
func (i *Extensions) Open(name string, d *dispatch.Loop, platform *settings.Settings, clock dispatch.Clock, log logrus.FieldLogger) error {
	i.desk, i.log = d, log
	if i.file.Quotas != nil {
		t, err := newTeams(clock.Now(), i.file.Quotas, &platform.Scheduler)
		if err != nil {
			return fmt.Errorf("budgets: %w", err)
		}
		i.team = t
	}
	if err := i.openStore(d, platform, clock); err != nil {
		return err
	}
	if err := i.openFleet(name, platform, clock); err != nil {
		return err
	}
	if i.heirs != nil {
		d.Register(i.heirs.trustee)
		d.LeaseHeld = i.heirs.trustee.LeaseHeld
	}
	if i.team != nil {
		d.Register(dispatch.QuotaExtension(i.team))
	}
	if i.lookout != nil {
		d.Register(i.lookout.scout)
	}
	if i.keep != nil {
		d.Register(dispatch.LedgerExtension(i.keep))
		i.recallLimits()
	}
	return i.openDoor()
}

// syncSlots is how many of the runtime's slots syncs of a disk may occupy: a thread in a sync keeps its slot until the runtime notices,
// and what is ready to run would wait for the disk meanwhile. It is no more processor time: a sync takes none.
const syncSlots = 2

func (i *Extensions) openStore(d *dispatch.Loop, platform *settings.Settings, clock dispatch.Clock) error {
	s, log := i.file.Store, i.log
	if s == nil {
		return nil
	}
	dir, err := vfs.OpenDir(s.Directory, true)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	var k *ledgerstore.Store
	var found store.Recovery
	err = retry.For(retry.AtStart, func() error { // the process before this one may still be ending
		k, found, err = ledgerstore.Open(vfs.WithFaults(dir), store.Options{SegmentBytes: s.SegmentBytes, FlushDelay: s.FlushDelay}, *ledgerSettings(platform, s, i.file.Handoff), clock.Now,
			func(ev ledger.Event) { d.Put(dispatch.QueueItem{Message: &ev}) }, log)
		return err
	}, vfs.ErrInUse)
	if err != nil {
		return fmt.Errorf("%w (folder %s; see: liftshift store verify %s)", err, s.Directory, s.Directory)
	}
	if found.InDoubt {
		log.WithField("why", found.Reason).Warn("store: the last records may be missing")
	}
	if found.DiskError != nil {
		log.WithField("why", found.DiskError).Error("store: the disk takes nothing; what needs a record is denied until it does")
	}
	i.keep = k
	runtime.GOMAXPROCS(runtime.GOMAXPROCS(0) + syncSlots)
	return nil
}

// ledgerSettings returns what the ledger goes by: the platform's settings, and the operators' own.
func ledgerSettings(platform *settings.Settings, s *operatorconfig.Store, h *operatorconfig.Handoff) *ledger.Settings {
	of := &ledger.Settings{Classes: platform.Scheduler.Classes, RetryBudget: platform.Scheduler.RetryBudget,
		RetryAfterMS: platform.Scheduler.LongestRetryAfterMS(), RememberMS: s.RememberMS, MaxAnswerBytes: s.MaxAnswerBytes, MaxRecords: s.MaxRecords}
	if h != nil { // what was open at a crash is for the successors to end
		of.SuccessorsResume, of.SkipDiskWait = true, !h.WaitForOwnDisk
	}
	return of
}

// Start tells the module what it needs from before, ahead of all else.
func (i *Extensions) Start() {
	if i.keep != nil {
		for _, ev := range i.keep.RestoredEvents() {
			i.desk.Put(dispatch.QueueItem{Event: ev})
		}
	}
	i.fleet.begin()
}

// Reload reads the file again.
func (i *Extensions) Reload(platform *settings.Settings) (func() []string, error) {
	next, err := operatorconfig.Read(i.file.Path)
	if err != nil {
		return nil, err
	}
	return func() []string {
		if i.keep != nil && next.Store != nil {
			i.desk.Put(dispatch.QueueItem{Message: &ledger.Event{Kind: ledger.SettingsChanged, Settings: ledgerSettings(platform, next.Store, i.file.Handoff)}})
		}
		if i.team != nil && next.Quotas != nil && i.file.Quotas.SameTree(next.Quotas) {
			i.desk.Put(dispatch.QueueItem{Call: func(now float64) { i.team.reset(i.desk, now, next.Quotas) }})
		}
		return i.file.Differs(next)
	}, nil
}

// LogCounters logs the counters.
func (i *Extensions) LogCounters() {
	if i.keep != nil {
		i.log.WithFields(i.keep.Fields()).Info("store")
	}
	i.fleet.count()
	i.heirs.count()
	i.lookout.count()
}

// ShutdownStarted tells the fleet that this controller is on its way out.
func (i *Extensions) ShutdownStarted() { i.fleet.stopping() }

// Close ends the store and shuts the door.
func (i *Extensions) Close() {
	if i.door != nil {
		i.door.Close()
	}
	i.fleet.close()
	i.heirs.close()
	i.lookout.close()
	if i.keep == nil {
		return
	}
	if err := i.keep.Close(); err != nil {
		i.log.WithField("why", err).Warn("store: not closed well")
	}
}
