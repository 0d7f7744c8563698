package assembly

import (
	"liftshift/internal/locality"
	"liftshift/internal/localityagent"
	"liftshift/scheduler"
)

// localityExtension joins the decisions between zones to a controller.
type localityExtension struct {
	x       *Extensions
	cluster *cluster
	agent   *localityagent.Agent
}

// openLocality makes the agent, where the file has a block zones; the transport does not listen yet.
func (x *Extensions) openLocality(c *cluster, platform *scheduler.Settings) {
	file, self := x.file.Locality, c.view.Self()
	s := locality.DefaultSettings()
	s.ThreadsPerCore, s.SpillShare = file.ThreadsPerCore, file.SpillShare
	s.StageMS, s.RecoveryWaitMS = file.StageMS, file.RecoveryWaitMS
	s.LeaseMS = c.file.Consensus.LeaseMS
	for _, class := range platform.Classes {
		s.MinShare = max(s.MinShare, float64(class.Threads))
	}
	for name, region := range file.Regions {
		path := [2]string{self.Region, name}
		s.LatencyMS[path], s.MinDensity[path] = region.LatencyMS, region.MinDensity
	}
	monitor := locality.New(self.Name, self.Zone, self.Region, s)
	agent := localityagent.New(monitor, self.Name, platform, x.loop, c.transport, c.view, c.node, x.log)
	agent.Start()
	x.locality = &localityExtension{x: x, cluster: c, agent: agent}
}

func (l *localityExtension) logCounters() {
	if l != nil {
		l.x.log.WithFields(l.agent.Counters()).Info("locality")
	}
}

func (l *localityExtension) close() {
	if l != nil {
		l.agent.Close()
	}
}
