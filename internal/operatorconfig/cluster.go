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

// Cluster is the block cluster.
type Cluster struct {
	Name    string
	Member  string // empty: the platform's name of this controller
	Address string
	Listen  string // where it listens, if not there
	Seeds   []string
	Zone    string
	Region  string
	// Founders are the members that form the consensus group; empty: there is none.
	Founders   []string
	Membership membership.Settings
	Consensus  consensus.Settings
}

// maxNameBytes is the longest name that goes over the wire.
const maxNameBytes = 60

// clusterBlock is what may stand in the block cluster.
var clusterBlock = &block{was: "fleet", fields: []field{
	{name: "name", kind: text, required: true, help: "the cluster's name; members of another are not heard"},
	{name: "member", kind: text, help: "this controller's name in the cluster; else the platform's"},
	{name: "address", kind: text, required: true, help: "where it listens, UDP and TCP, as others reach it: 10.0.0.4:7950"},
	{name: "listen", kind: text, help: "where it listens, if that is another address"},
	{name: "seeds", kind: names, required: true, help: "addresses at which others can be found; tried again for ever"},
	{name: "zone", kind: text, help: "its zone"},
	{name: "region", kind: text, help: "its region"},
	{name: "founders", kind: names, help: "names of the members that form the consensus group, the same in all files; needs a block store"},
	{name: "voters", kind: whole, min: 3, max: 7, usual: 3, help: "voters of the consensus group: 3, 5 or 7"},
	{name: "probe", kind: duration, min: 100, max: 60e3, usual: 500, help: "time between two health checks by this controller"},
	{name: "answer", kind: duration, min: 20, max: 30e3, usual: 200, help: "time after which a health check goes by way of others"},
	{name: "suspect", kind: duration, min: 200, max: 600e3, usual: 2500, help: "least time in which one that does not answer may say that it is here"},
	{name: "lease", kind: duration, min: 1000, max: 600e3, usual: 6000, help: "how long a controller may act on its lease without the council"},
	{name: "replace", kind: duration, min: 1000, max: 3600e3, usual: 15000, help: "how long a voter must be gone before another takes its place"},
	{name: "declare", kind: duration, min: 0, max: 3600e3, usual: 2000, help: "how long a member must be gone before it is declared lost"},
}}

// newCluster reads the block cluster and checks that its parts fit together.
func newCluster(v values, hasStore bool) (*Cluster, hcl.Diagnostics) {
	c := &Cluster{
		Name:       v.texts["name"],
		Member:     v.texts["member"],
		Address:    v.texts["address"],
		Listen:     cmp.Or(v.texts["listen"], v.texts["address"]),
		Seeds:      v.lists["seeds"],
		Zone:       v.texts["zone"],
		Region:     v.texts["region"],
		Founders:   v.lists["founders"],
		Membership: membership.DefaultSettings(),
		Consensus:  consensus.DefaultSettings(),
	}
	c.Membership.ProbeMS, c.Membership.AnswerMS, c.Membership.SuspectMS = v.nums["probe"], v.nums["answer"], v.nums["suspect"]
	c.Consensus.Voters, c.Consensus.LeaseMS = int(v.nums["voters"]), v.nums["lease"]
	c.Consensus.DeclareLostMS, c.Consensus.ReplaceVoterMS = v.nums["declare"], v.nums["replace"]
	slices.Sort(c.Founders)
	diags := c.checkNames(v)
	diags = append(diags, c.checkAddresses(v)...)
	diags = append(diags, checkTimes(v)...)
	diags = append(diags, c.checkFounders(v, hasStore)...)
	return c, diags
}

func (c *Cluster) checkNames(v values) (diags hcl.Diagnostics) {
	for _, name := range []string{"name", "member", "zone", "region"} {
		if len(v.texts[name]) > maxNameBytes {
			diags = append(diags, complaint(v.set[name], "%s is longer than %d bytes", name, maxNameBytes))
		}
	}
	return diags
}

func (c *Cluster) checkAddresses(v values) (diags hcl.Diagnostics) {
	check := func(field, address string) {
		a, err := netip.ParseAddrPort(address)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			diags = append(diags, complaint(v.set[field], "%q is no address with a port at which others reach this controller", address))
		}
	}
	check("address", c.Address)
	check("listen", c.Listen)
	for _, seed := range c.Seeds {
		check("seeds", seed)
	}
	if len(c.Seeds) == 0 {
		diags = append(diags, complaint(v.set["seeds"], "seeds names nobody"))
	}
	return diags
}

func checkTimes(v values) (diags hcl.Diagnostics) {
	if v.nums["answer"] >= v.nums["probe"] {
		diags = append(diags, complaint(v.set["answer"], "answer must be shorter than probe"))
	}
	if v.nums["suspect"] < 2*v.nums["probe"] {
		diags = append(diags, complaint(v.set["suspect"], "suspect must be twice probe at least"))
	}
	if int(v.nums["voters"])%2 == 0 {
		diags = append(diags, complaint(v.set["voters"], "voters must be 3, 5 or 7"))
	}
	return diags
}

func (c *Cluster) checkFounders(v values, hasStore bool) hcl.Diagnostics {
	n := len(c.Founders)
	switch {
	case n == 0:
		return nil
	case !hasStore:
		return hcl.Diagnostics{complaint(v.set["founders"], "a consensus group needs a disk: there is no block store")}
	case n%2 == 0 || n > 7 || n < 3:
		return hcl.Diagnostics{complaint(v.set["founders"], "founders must be 3, 5 or 7 names")}
	case len(slices.Compact(slices.Clone(c.Founders))) != n:
		return hcl.Diagnostics{complaint(v.set["founders"], "founders names one twice")}
	}
	return nil
}

// Same tells whether two say the same.
func (c *Cluster) Same(o *Cluster) bool { return reflect.DeepEqual(c, o) }
