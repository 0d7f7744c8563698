package operatorconfig

import (
	"reflect"

	"github.com/hashicorp/hcl/v2"
)

// Locality holds the settings of the block zones.
type Locality struct {
	ThreadsPerCore float64 // limit of threads on a zone's executors, for each of their cores
	SpillShare     float64 // share of a zone's unused capacity that other zones may use
	StageMS        float64 // duration of each stage of a zone's recovery
	RecoveryWaitMS float64 // how long a lost zone must be reachable before its recovery begins
	Regions        map[string]Region
}

// Region holds what sending a request to another region costs.
type Region struct {
	LatencyMS  float64 // time that an answer from there takes longer than a local one
	MinDensity float64 // least value for each millisecond of one thread that a request must have to be sent there
}

// zonesSchema describes the block zones.
var zonesSchema = &blockSchema{fields: []fieldSchema{
	{name: "room", kind: numberKind, min: 0.1, max: 16, defaultValue: 1.2,
		help: "limit of threads of all controllers on a zone's executors, for each of their cores"},
	{name: "spill", kind: numberKind, min: 0, max: 1, defaultValue: 0.8,
		help: "share of the capacity unused by a zone's own requests that other zones may use"},
	{name: "stage", kind: durationKind, min: 100, max: 3600e3, defaultValue: 10e3,
		help: "duration of each stage of a zone's recovery"},
	{name: "return_wait", kind: durationKind, min: 100, max: 3600e3, defaultValue: 5e3,
		help: "how long a lost zone must be reachable before its recovery begins; doubles with each further loss soon after"},
}, blocks: map[string]*blockSchema{"region": {label: "name", fields: []fieldSchema{
	{name: "latency", formerName: "way", kind: durationKind, min: 0, max: 10e3,
		help: "time that an answer from there takes longer than a local one"},
	{name: "min_density", formerName: "price", kind: numberKind, min: 0, max: 1e9,
		help: "least value for each millisecond of one thread that a request must have to be sent there"},
}}}}

// newLocality returns the settings of the block zones after checking them against the block cluster, which may be nil.
func newLocality(v blockValues, cluster *Cluster) (*Locality, hcl.Diagnostics) {
	var diags hcl.Diagnostics
	z := &Locality{
		Regions:        map[string]Region{},
		ThreadsPerCore: v.numbers["room"],
		SpillShare:     v.numbers["spill"],
		StageMS:        v.numbers["stage"],
		RecoveryWaitMS: v.numbers["return_wait"],
	}
	switch {
	case cluster == nil || len(cluster.Founders) == 0:
		diags = append(diags, diagnosticf(v.header,
			"zones need a consensus group: there is no block cluster with founders"))
	case cluster.Zone == "":
		diags = append(diags, diagnosticf(v.header,
			"zones need this controller's zone: the block cluster does not set zone"))
	}
	for _, region := range v.blocks["region"] {
		if cluster != nil && region.label == cluster.Region {
			diags = append(diags, diagnosticf(region.header, "region %q is this controller's own", region.label))
		}
		z.Regions[region.label] = Region{
			LatencyMS:  region.numbers["latency"],
			MinDensity: region.numbers["min_density"],
		}
	}
	return z, diags
}

// Equal reports whether both blocks have the same settings.
func (z *Locality) Equal(other *Locality) bool { return reflect.DeepEqual(z, other) }
