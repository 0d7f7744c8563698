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
	{name: "room", kind: number, least: 0.1, most: 16, usual: 1.2, help: "threads a core that a zone's executors may have, of all"},
	{name: "spill", kind: number, least: 0, most: 1, usual: 0.8, help: "share of what a zone's own searches leave of that, which others may have"},
	{name: "stage", kind: span, least: 100, most: 3600e3, usual: 10e3, help: "how long each stage of a zone's return takes"},
	{name: "return_wait", kind: span, least: 100, most: 3600e3, usual: 5e3, help: "how long a lost zone must be in reach until its return begins; doubles with each loss soon after"},
}, blocks: map[string]*block{"region": {label: "name", fields: []field{
	{name: "way", kind: span, least: 0, most: 10e3, help: "how much longer an answer from there takes than one from here"},
	{name: "price", kind: number, least: 0, most: 1e9, help: "gain for its work, for each ms of one thread, that a search must have to go there"},
}}}}

// zonesOf reads the block zones and checks that its parts fit together.
func zonesOf(v values, fleet *Cluster) (*Locality, hcl.Diagnostics) {
	var diags hcl.Diagnostics
	z := &Locality{Regions: map[string]Region{}, ThreadsPerCore: v.nums["room"], SpillShare: v.nums["spill"],
		StageMS: v.nums["stage"], RecoveryWaitMS: v.nums["return_wait"]}
	switch {
	case fleet == nil || len(fleet.Founders) == 0:
		diags = append(diags, wrong(v.at, "zones are agreed on by a council: there is no block fleet with founders"))
	case fleet.Zone == "":
		diags = append(diags, wrong(v.at, "it is not said in which zone this controller is: give zone in the block fleet"))
	}
	for _, r := range v.kids["region"] {
		if fleet != nil && r.label == fleet.Region {
			diags = append(diags, wrong(r.at, "region %q is this controller's own", r.label))
		}
		z.Regions[r.label] = Region{r.nums["way"], r.nums["price"]}
	}
	return z, diags
}

// Same tells whether two say the same.
func (z *Locality) Same(o *Locality) bool { return reflect.DeepEqual(z, o) }
