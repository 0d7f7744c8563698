package operatorconfig

import (
	"net/netip"
	"reflect"

	"github.com/hashicorp/hcl/v2"

	"liftshift/internal/attribution"
	"liftshift/internal/quota"
)

// Quotas is the block budgets.
type Quotas struct {
	Teams       []quota.Team
	Default     string
	Attribution attribution.Rules
	AgeMS       float64 // of waiting, past which the oldest requests get a share of their own
	said        map[string]map[string]string
}

var teamOnly = []field{{name: "team", kind: text, required: true, help: "whose it is"}}

// budgetsBlock is what may stand in the block budgets.
var budgetsBlock = &block{
	fields: []field{
		{name: "default", kind: text, required: true, help: "the team of what is nobody's"},
		{name: "age", kind: span, least: 100, most: 600e3, usual: 3000, help: "wait past which the oldest get a part of all work"},
		{name: "whose", kind: names, help: "the order in which it is told: field, address, offering, schema"},
	},
	blocks: map[string]*block{
		"team": {label: "name", fields: []field{
			{name: "parent", kind: text, help: "the team that it stands under"},
			{name: "weight", kind: number, least: 1e-3, most: 1e6, usual: 1, help: "against its siblings"},
			{name: "guaranteed", kind: number, least: 0, most: 1, help: "share of its parent's, whatever the weights"},
			{name: "ceiling", kind: number, least: 0.001, most: 1, usual: 1, help: "share of the installation that it never passes for long"},
			{name: "burst", kind: span, least: 10, most: 60e3, usual: 1000, help: "of its ceiling, at once after a pause"},
			{name: "searches", kind: whole, least: 1, most: 1e6, help: "in hand past the queue"},
			{name: "threads", kind: number, least: 1, most: 1e6, help: "on executors"},
			{name: "memory", kind: size, least: miB, most: 1 << 50, help: "granted there"},
			{name: "queue", kind: whole, least: 1, most: 10e6, help: "that may wait"},
		}},
		"address":  {label: "prefix", fields: teamOnly},
		"offering": {label: "name", fields: teamOnly},
		"schema":   {label: "name", fields: teamOnly},
	},
}

// budgetsOf reads the block budgets and checks that its parts fit together.
func budgetsOf(v values) (*Quotas, hcl.Diagnostics) {
	var diags hcl.Diagnostics
	b := &Quotas{Default: v.texts["default"], AgeMS: v.nums["age"], said: map[string]map[string]string{}}
	b.Attribution = attribution.Rules{Teams: map[string]bool{}, Classes: map[string]string{}, Schemas: map[string]string{}}
	order, given := v.lists["whose"]
	if !given {
		order = []string{"field", "address", "offering", "schema"}
	}
	var err error
	if b.Attribution.Order, err = attribution.ParseOrder(order); err != nil {
		diags = append(diags, wrong(v.set["whose"], "whose: %v", err))
	}
	for _, t := range v.kids["team"] {
		b.Teams = append(b.Teams, quota.Team{Name: t.label, Parent: t.texts["parent"], Weight: t.nums["weight"],
			GuaranteedShare: t.nums["guaranteed"], Ceiling: t.nums["ceiling"], BurstMS: t.nums["burst"], MaxInFlight: int(t.nums["searches"]),
			Threads: t.nums["threads"], MemoryMB: t.nums["memory"] / miB, MaxQueued: int(t.nums["queue"])})
		b.Attribution.Teams[t.label] = true
	}
	puts := map[string]func(name, team string) error{
		"address": func(name, team string) error {
			p, err := netip.ParsePrefix(name)
			if err == nil {
				b.Attribution.Addresses.Put(p, team)
			}
			return err
		},
		"offering": func(name, team string) error { b.Attribution.Classes[name] = team; return nil },
		"schema":   func(name, team string) error { b.Attribution.Schemas[name] = team; return nil },
	}
	for _, kind := range []string{"address", "offering", "schema"} { // in an order, so that complaints have one
		put := puts[kind]
		b.said[kind] = map[string]string{}
		for _, x := range v.kids[kind] {
			team := x.texts["team"]
			if !b.Attribution.Teams[team] {
				diags = append(diags, wrong(x.set["team"], "there is no team %q", team))
			}
			if err := put(x.label, team); err != nil {
				diags = append(diags, wrong(x.at, "%s %q: %v", kind, x.label, err))
			}
			b.said[kind][x.label] = team
		}
	}
	if _, err := quota.New(b.Teams, b.Default, quota.DefaultSettings()); err != nil {
		diags = append(diags, wrong(v.at, "budgets: %v", err))
	}
	return b, diags
}

// SameTree tells whether two have the same teams in the same places, and tell in the same way whose a search is.
func (b *Quotas) SameTree(o *Quotas) bool {
	shape := func(b *Quotas) (list [][2]string) {
		for _, t := range b.Teams {
			list = append(list, [2]string{t.Name, t.Parent})
		}
		return list
	}
	return reflect.DeepEqual(shape(b), shape(o)) && b.Default == o.Default && reflect.DeepEqual(b.said, o.said) &&
		reflect.DeepEqual(b.Attribution.Order, o.Attribution.Order) && b.AgeMS == o.AgeMS
}
