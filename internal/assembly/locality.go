package assembly

import (
	"liftshift/internal/locality"
	"liftshift/internal/localityagent"
	"liftshift/scheduler"
)

// localityExtension connects the decisions about traffic between zones to a controller.
type localityExtension struct {
	extensions *Extensions
	cluster    *clusterExtension
	agent      *localityagent.Agent
}

// openLocality creates and starts the agent for the block zones, which the file must have. It must be called before the
// transport starts.
func (x *Extensions) openLocality(cluster *clusterExtension, platform *scheduler.Settings) {
	file, self := x.file.Locality, cluster.view.Self()
	localitySettings := locality.DefaultSettings()
	localitySettings.ThreadsPerCore, localitySettings.SpillShare = file.ThreadsPerCore, file.SpillShare
	localitySettings.StageMS, localitySettings.RecoveryWaitMS = file.StageMS, file.RecoveryWaitMS
	localitySettings.LeaseMS = cluster.file.Consensus.LeaseMS
	for _, class := range platform.Classes {
		localitySettings.MinShare = max(localitySettings.MinShare, float64(class.Threads))
	}
	for name, region := range file.Regions {
		path := [2]string{self.Region, name}
		localitySettings.LatencyMS[path], localitySettings.MinDensity[path] = region.LatencyMS, region.MinDensity
	}
	monitor := locality.New(self.Name, self.Zone, self.Region, localitySettings)
	agent := localityagent.New(
		monitor, self.Name, platform, x.loop, cluster.transport, cluster.view, cluster.node, x.log,
	)
	agent.Start()
	x.locality = &localityExtension{extensions: x, cluster: cluster, agent: agent}
}

func (l *localityExtension) logCounters() {
	if l != nil {
		l.extensions.log.WithFields(l.agent.Counters()).Info("locality")
	}
}

func (l *localityExtension) close() {
	if l != nil {
		l.agent.Close()
	}
}
