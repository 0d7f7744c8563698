package operatorconfig

import (
	"reflect"

	"github.com/hashicorp/hcl/v2"
)

// Locality is the block zones.
type Locality struct {
	ThreadsPerCore float64 // that a zone's executors may have
	SpillShare     float64 // of what a zone leaves of that, for other zones
	StageMS        float64 // of a zone's recovery
	RecoveryWaitMS float64 // until a recovery begins
	Regions        map[string]Region
}

// Region is how far another one is from this controller's.
type Region struct{ LatencyMS, MinDensity float64 }

// zonesBlock is what may stand in the block zones.
var zonesBlock = &block{fields: []field{
	{name: "room", kind: number, min: 0.1, max: 16, usual: 1.2, help: "threads a core that a zone's executors may have, of all"},
	{name: "spill", kind: number, min: 0, max: 1, usual: 0.8, help: "share of what a zone's own requests leave of that, which others may have"},
	{name: "stage", kind: duration, min: 100, max: 3600e3, usual: 10e3, help: "how long each stage of a zone's return takes"},
	{name: "return_wait", kind: duration, min: 100, max: 3600e3, usual: 5e3, help: "how long a lost zone must be in reach until its return begins; doubles with each loss soon after"},
}, blocks: map[string]*block{"region": {label: "name", fields: []field{
	{name: "latency", was: "way", kind: duration, min: 0, max: 10e3, help: "how much longer an answer from there takes than one from here"},
	{name: "min_density", was: "price", kind: number, min: 0, max: 1e9, help: "value for its work, for each ms of one thread, that a request must have to go there"},
}}}}

// newLocality reads the block zones and checks that its parts fit together.
func newLocality(v values, cluster *Cluster) (*Locality, hcl.Diagnostics) {
	var diags hcl.Diagnostics
	z := &Locality{Regions: map[string]Region{}, ThreadsPerCore: v.nums["room"], SpillShare: v.nums["spill"],
		StageMS: v.nums["stage"], RecoveryWaitMS: v.nums["return_wait"]}
	switch {
	case cluster == nil || len(cluster.Founders) == 0:
		diags = append(diags, complaint(v.at, "zones are agreed on by a consensus group: there is no block cluster with founders"))
	case cluster.Zone == "":
		diags = append(diags, complaint(v.at, "it is not said in which zone this controller is: give zone in the block cluster"))
	}
	for _, r := range v.blocks["region"] {
		if cluster != nil && r.label == cluster.Region {
			diags = append(diags, complaint(r.at, "region %q is this controller's own", r.label))
		}
		z.Regions[r.label] = Region{r.nums["latency"], r.nums["min_density"]}
	}
	return z, diags
}

// Same tells whether two say the same.
func (z *Locality) Same(o *Locality) bool { return reflect.DeepEqual(z, o) }
