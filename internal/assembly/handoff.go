package assembly

import (
	"fmt"
	"path/filepath"

	"liftshift/internal/adminapi"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/internal/handoffnet"
	"liftshift/internal/settings"
	"liftshift/internal/vfs"
)

// copiesFolder is the folder of the stored copies inside the store's folder, as it is on disk.
const copiesFolder = "estate"

// handoffExtension connects the handoff of open requests to a controller.
type handoffExtension struct {
	extensions *Extensions
	agent      *handoffnet.Agent
}

// openHandoff creates and starts the agent for the block handoff, which the file must have. It must be called before
// the transport starts.
func (x *Extensions) openHandoff(cluster *clusterExtension, seed uint32, platform *settings.Settings) error {
	file := x.file.Handoff
	for _, name := range file.AdoptClasses {
		if platform.Scheduler.Class(name) == nil {
			return fmt.Errorf("handoff: adopt lists %q, which is not a request class of the platform", name)
		}
	}
	handoffSettings := handoff.Settings{
		Classes:              platform.Scheduler.Classes,
		RetryBudget:          platform.AdoptionBudget,
		RetryAfterMS:         platform.Scheduler.LongestRetryAfterMS(),
		AdoptClasses:         file.AdoptClasses,
		MaxAdoptionsInFlight: file.MaxAdoptionsInFlight,
		CopyAfterMS:          file.CopyAfterMS,
		MaxCopies:            file.MaxCopies,
		MaxAnswerBytes:       file.MaxAnswerBytes,
		KeyRetentionMS:       x.file.Store.RetentionMS,
		QuorumLossMS:         file.QuorumLossMS,
		SendWithoutReplicas:  file.SendWithoutReplicas,
	}
	self := cluster.view.Self()
	agent := handoffnet.New(
		handoff.Member{Name: self.Name, Incarnation: self.Incarnation},
		handoffSettings, seed, x.loop, cluster.clock, cluster.transport, x.log,
	)
	if file.CopiesOnDisk {
		dir, err := vfs.OpenDir(filepath.Join(x.file.Store.Directory, copiesFolder), true)
		if err != nil {
			return fmt.Errorf("handoff: %w", err)
		}
		post := func(message any) { x.loop.Put(dispatch.QueueItem{Message: message}) }
		if err := agent.PersistCopies(vfs.WithFaults(dir), post); err != nil {
			return err
		}
	}
	agent.Start(cluster.node)
	x.handoff = &handoffExtension{extensions: x, agent: agent}
	return nil
}

func (h *handoffExtension) logCounters() {
	if h != nil {
		h.extensions.log.WithFields(adminapi.Describe(h.counts())).Info("handoff")
	}
}

func (h *handoffExtension) close() {
	if h != nil {
		h.agent.Close()
	}
}
