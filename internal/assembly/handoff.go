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

// copiesFolder is beneath the folder of the store; its name is on disk.
const copiesFolder = "estate"

// handoffExtension joins the handoff of open requests to a controller.
type handoffExtension struct {
	x     *Extensions
	agent *handoffnet.Agent
}

// openHandoff makes the agent, where the file has a block handoff; the transport does not listen yet.
func (x *Extensions) openHandoff(c *cluster, seed uint32, platform *settings.Settings) error {
	file := x.file.Handoff
	for _, name := range file.AdoptClasses {
		if platform.Scheduler.Class(name) == nil {
			return fmt.Errorf("handoff: adopt names %q, which is no request class", name)
		}
	}
	s := handoff.Settings{
		Classes:              platform.Scheduler.Classes,
		RetryBudget:          platform.AdoptionBudget,
		RetryAfterMS:         platform.Scheduler.LongestRetryAfterMS(),
		AdoptClasses:         file.AdoptClasses,
		MaxAdoptionsInFlight: file.AdoptAtOnce,
		CopyAfterMS:          file.CopyAfterMS,
		MaxCopies:            file.MaxCopies,
		MaxAnswerBytes:       file.MaxAnswerBytes,
		KeyRetentionMS:       x.file.Store.RememberMS,
		QuorumLossMS:         file.DoubtMS,
		SendWithoutReplicas:  file.SendWithoutReplicas,
	}
	self := c.view.Self()
	agent := handoffnet.New(handoff.Member{Name: self.Name, Incarnation: self.Incarnation}, s, seed, x.loop, c.clock, c.transport, x.log)
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
	agent.Start(c.node)
	x.handoff = &handoffExtension{x: x, agent: agent}
	return nil
}

func (h *handoffExtension) logCounters() {
	if h != nil {
		h.x.log.WithFields(adminapi.Describe(h.counts())).Info("handoff")
	}
}

func (h *handoffExtension) close() {
	if h != nil {
		h.agent.Close()
	}
}
