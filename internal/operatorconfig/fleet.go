package operatorconfig

import (
	"net/netip"
	"reflect"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"liftshift/internal/consensus"
	"liftshift/internal/membership"
)

// Cluster is the block fleet.
type Cluster struct {
	Name    string
	Member  string // empty: the platform's name of this controller
	Address string
	Listen  string // where it listens, if not there
	Seeds   []string
	Zone    string
	Region  string
	// Founders are the members that found the council together; empty: there is none.
	Founders   []string
	Membership membership.Settings
	Consensus  consensus.Settings
}

const mostName = 60 // bytes of a name that goes over the wire

// fleetBlock is what may stand in the block fleet.
var fleetBlock = &block{fields: []field{
	{name: "name", kind: text, required: true, help: "the fleet's name; members of another are not heard"},
	{name: "member", kind: text, help: "this controller's name in the fleet; else the platform's"},
	{name: "address", kind: text, required: true, help: "where it listens, UDP and TCP, as others reach it: 10.0.0.4:7950"},
	{name: "listen", kind: text, help: "where it listens, if that is another address"},
	{name: "seeds", kind: names, required: true, help: "addresses at which others can be found; tried again for ever"},
	{name: "zone", kind: text, help: "its zone"},
	{name: "region", kind: text, help: "its region"},
	{name: "founders", kind: names, help: "names of the members that found the council, the same in all files; needs a block store"},
	{name: "voters", kind: whole, least: 3, most: 7, usual: 3, help: "voters of the council: 3, 5 or 7"},
	{name: "probe", kind: span, least: 100, most: 60e3, usual: 500, help: "time between two probes of this controller"},
	{name: "answer", kind: span, least: 20, most: 30e3, usual: 200, help: "time after which a probe goes by way of others"},
	{name: "suspect", kind: span, least: 200, most: 600e3, usual: 2500, help: "least time in which one that does not answer may say that it is here"},
	{name: "lease", kind: span, least: 1000, most: 600e3, usual: 6000, help: "how long a controller may act on its lease without the council"},
	{name: "replace", kind: span, least: 1000, most: 3600e3, usual: 15000, help: "how long a voter must be gone before another takes its place"},
	{name: "declare", kind: span, least: 0, most: 3600e3, usual: 2000, help: "how long one must be gone before the council declares it lost"},
}}

// fleetOf reads the block fleet and checks that its parts fit together.
func fleetOf(v values, store bool) (*Cluster, hcl.Diagnostics) {
	var diags hcl.Diagnostics
	f := &Cluster{Name: v.texts["name"], Member: v.texts["member"], Address: v.texts["address"], Listen: v.texts["listen"], Seeds: v.lists["seeds"],
		Zone: v.texts["zone"], Region: v.texts["region"], Founders: v.lists["founders"], Membership: membership.DefaultSettings(), Consensus: consensus.DefaultSettings()}
	f.Membership.ProbeMS, f.Membership.AnswerMS, f.Membership.SuspectMS = v.nums["probe"], v.nums["answer"], v.nums["suspect"]
	f.Consensus.Voters, f.Consensus.LeaseMS = int(v.nums["voters"]), v.nums["lease"]
	f.Consensus.DeclareLostMS, f.Consensus.ReplaceVoterMS = v.nums["declare"], v.nums["replace"]
	for _, name := range []string{"name", "member", "zone", "region"} {
		if len(v.texts[name]) > mostName {
			diags = append(diags, wrong(v.set[name], "%s is longer than %d bytes", name, mostName))
		}
	}
	if f.Listen == "" {
		f.Listen = f.Address
	}
	for k, at := range append([]string{f.Address, f.Listen}, f.Seeds...) {
		place := v.set["seeds"]
		if k < 2 {
			place = v.set[[]string{"address", "listen"}[k]]
		}
		if a, err := netip.ParseAddrPort(at); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			diags = append(diags, wrong(place, "%q is no address with a port at which others reach this controller", at))
		}
	}
	if len(f.Seeds) == 0 {
		diags = append(diags, wrong(v.set["seeds"], "seeds names nobody"))
	}
	if v.nums["answer"] >= v.nums["probe"] {
		diags = append(diags, wrong(v.set["answer"], "answer must be shorter than probe"))
	}
	if v.nums["suspect"] < 2*v.nums["probe"] {
		diags = append(diags, wrong(v.set["suspect"], "suspect must be twice probe at least"))
	}
	if int(v.nums["voters"])%2 == 0 {
		diags = append(diags, wrong(v.set["voters"], "voters must be 3, 5 or 7"))
	}
	if n := len(f.Founders); n > 0 {
		sorted := slices.Sorted(slices.Values(f.Founders))
		switch {
		case !store:
			diags = append(diags, wrong(v.set["founders"], "a council needs a disk: there is no block store"))
		case n%2 == 0 || n > 7 || n < 3:
			diags = append(diags, wrong(v.set["founders"], "founders must be 3, 5 or 7 names"))
		case len(slices.Compact(sorted)) != n:
			diags = append(diags, wrong(v.set["founders"], "founders names one twice"))
		}
		slices.Sort(f.Founders)
	}
	return f, diags
}

// Same tells whether two say the same.
func (f *Cluster) Same(o *Cluster) bool { return reflect.DeepEqual(f, o) }
