package operatorconfig

import (
	"cmp"
	"net/netip"
	"reflect"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"liftshift/internal/consensus"
	"liftshift/internal/membership"
)

// Cluster holds the settings of the block cluster.
type Cluster struct {
	Name    string
	Member  string // empty: the name that the platform's configuration gives this controller
	Address string // at which other members reach this controller
	Listen  string // on which this controller listens; Address unless the file sets it
	Seeds   []string
	Zone    string
	Region  string
	// Founders are the members that form the consensus group, sorted; empty: there is no group.
	Founders   []string
	Membership membership.Settings
	Consensus  consensus.Settings
}

// maxNameBytes limits the names that members send each other.
const maxNameBytes = 60

// clusterSchema describes the block cluster.
var clusterSchema = &blockSchema{formerName: "fleet", fields: []fieldSchema{
	{name: "name", kind: stringKind, required: true,
		help: "the cluster's name; messages from members of other clusters are ignored"},
	{name: "member", kind: stringKind,
		help: "this controller's name in the cluster; default: its name in the platform's configuration"},
	{name: "address", kind: stringKind, required: true,
		help: "UDP and TCP address at which other members reach this controller: 10.0.0.4:7950"},
	{name: "listen", kind: stringKind,
		help: "address on which this controller listens, if it differs from address"},
	{name: "seeds", kind: stringListKind, required: true,
		help: "addresses at which other members can be found; retried without limit"},
	{name: "zone", kind: stringKind, help: "this controller's zone"},
	{name: "region", kind: stringKind, help: "this controller's region"},
	{name: "founders", kind: stringListKind,
		help: "names of the members that form the consensus group, the same in all files; needs a block store"},
	{name: "voters", kind: integerKind, min: 3, max: 7, defaultValue: 3,
		help: "voters of the consensus group: 3, 5 or 7"},
	{name: "probe", kind: durationKind, min: 100, max: 60e3, defaultValue: 500,
		help: "time between two health checks of other members"},
	{name: "answer", kind: durationKind, min: 20, max: 30e3, defaultValue: 200,
		help: "time without an answer after which other members are asked to probe"},
	{name: "suspect", kind: durationKind, min: 200, max: 600e3, defaultValue: 2500,
		help: "least time in which a suspected member may refute the suspicion"},
	{name: "lease", kind: durationKind, min: 1000, max: 600e3, defaultValue: 6000,
		help: "how long a controller may act on its lease without the consensus group"},
	{name: "replace", kind: durationKind, min: 1000, max: 3600e3, defaultValue: 15000,
		help: "how long a voter must be unreachable before another member takes its place"},
	{name: "declare", kind: durationKind, min: 0, max: 3600e3, defaultValue: 2000,
		help: "how long a member must be unreachable before it is declared lost"},
}}

// newCluster returns the settings of the block cluster after checking them against each other.
func newCluster(v blockValues, hasStore bool) (*Cluster, hcl.Diagnostics) {
	c := &Cluster{
		Name:       v.strings["name"],
		Member:     v.strings["member"],
		Address:    v.strings["address"],
		Listen:     cmp.Or(v.strings["listen"], v.strings["address"]),
		Seeds:      v.lists["seeds"],
		Zone:       v.strings["zone"],
		Region:     v.strings["region"],
		Founders:   v.lists["founders"],
		Membership: membership.DefaultSettings(),
		Consensus:  consensus.DefaultSettings(),
	}
	c.Membership.ProbeMS, c.Membership.AnswerMS = v.numbers["probe"], v.numbers["answer"]
	c.Membership.SuspectMS = v.numbers["suspect"]
	c.Consensus.Voters, c.Consensus.LeaseMS = int(v.numbers["voters"]), v.numbers["lease"]
	c.Consensus.DeclareLostMS, c.Consensus.ReplaceVoterMS = v.numbers["declare"], v.numbers["replace"]
	slices.Sort(c.Founders)
	diags := c.checkNames(v)
	diags = append(diags, c.checkAddresses(v)...)
	diags = append(diags, checkTimes(v)...)
	diags = append(diags, c.checkFounders(v, hasStore)...)
	return c, diags
}

func (c *Cluster) checkNames(v blockValues) (diags hcl.Diagnostics) {
	for _, name := range []string{"name", "member", "zone", "region"} {
		if len(v.strings[name]) > maxNameBytes {
			diags = append(diags, diagnosticf(v.ranges[name], "%s is longer than %d bytes", name, maxNameBytes))
		}
	}
	return diags
}

func (c *Cluster) checkAddresses(v blockValues) (diags hcl.Diagnostics) {
	check := func(field, address string) {
		a, err := netip.ParseAddrPort(address)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			diags = append(diags, diagnosticf(v.ranges[field],
				"%s: %q is not an IP address and port at which a controller can be reached", field, address))
		}
	}
	check("address", c.Address)
	check("listen", c.Listen)
	for _, seed := range c.Seeds {
		check("seeds", seed)
	}
	if len(c.Seeds) == 0 {
		diags = append(diags, diagnosticf(v.ranges["seeds"], "seeds must list at least one address"))
	}
	return diags
}

func checkTimes(v blockValues) (diags hcl.Diagnostics) {
	if v.numbers["answer"] >= v.numbers["probe"] {
		diags = append(diags, diagnosticf(v.ranges["answer"], "answer must be shorter than probe"))
	}
	if v.numbers["suspect"] < 2*v.numbers["probe"] {
		diags = append(diags, diagnosticf(v.ranges["suspect"], "suspect must be at least twice probe"))
	}
	if int(v.numbers["voters"])%2 == 0 {
		diags = append(diags, diagnosticf(v.ranges["voters"], "voters must be 3, 5 or 7"))
	}
	return diags
}

func (c *Cluster) checkFounders(v blockValues, hasStore bool) hcl.Diagnostics {
	n := len(c.Founders)
	switch {
	case n == 0:
		return nil
	case !hasStore:
		return hcl.Diagnostics{diagnosticf(v.ranges["founders"],
			"founders need a block store: a consensus group needs a disk")}
	case n%2 == 0 || n > 7 || n < 3:
		return hcl.Diagnostics{diagnosticf(v.ranges["founders"], "founders must be 3, 5 or 7 names")}
	case len(slices.Compact(slices.Clone(c.Founders))) != n:
		return hcl.Diagnostics{diagnosticf(v.ranges["founders"], "founders must not name a member twice")}
	}
	return nil
}

// Equal reports whether both blocks have the same settings.
func (c *Cluster) Equal(other *Cluster) bool { return reflect.DeepEqual(c, other) }
