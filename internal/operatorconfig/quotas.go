package operatorconfig

import (
	"net/netip"
	"reflect"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"liftshift/internal/attribution"
	"liftshift/internal/quota"
)

// Quotas is the block quotas.
type Quotas struct {
	Teams       []quota.Team
	Default     string
	Attribution attribution.Rules
	AgeMS       float64 // of waiting, past which the oldest requests get a share of their own

	rules      map[string]map[string]string // team by kind of rule and name, as written
	deprecated []string
}

// classSource is how the file names the attribution by request class.
const classSource = "class"

var teamOnly = []field{{name: "team", kind: text, required: true, help: "whose it is"}}

// quotasBlock is what may stand in the block quotas.
var quotasBlock = &block{
	was: "budgets",
	fields: []field{
		{name: "default", kind: text, required: true, help: "the team of what is nobody's"},
		{name: "age", kind: duration, min: 100, max: 600e3, usual: 3000, help: "wait past which the oldest get a part of all work"},
		{name: "attribution", was: "whose", kind: names, help: "the order in which rules are looked at: field, address, class, schema"},
	},
	blocks: map[string]*block{
		"team": {label: "name", fields: []field{
			{name: "parent", kind: text, help: "the team that it stands under"},
			{name: "weight", kind: number, min: 1e-3, max: 1e6, usual: 1, help: "against its siblings"},
			{name: "guaranteed", kind: number, min: 0, max: 1, help: "share of its parent's, whatever the weights"},
			{name: "ceiling", kind: number, min: 0.001, max: 1, usual: 1, help: "share of the installation that it never passes for long"},
			{name: "burst", kind: duration, min: 10, max: 60e3, usual: 1000, help: "of its ceiling, at once after a pause"},
			{name: "requests", was: "searches", kind: whole, min: 1, max: 1e6, help: "in flight past the queue"},
			{name: "threads", kind: number, min: 1, max: 1e6, help: "on executors"},
			{name: "memory", kind: size, min: miB, max: 1 << 50, help: "granted there"},
			{name: "queue", kind: whole, min: 1, max: 10e6, help: "that may wait"},
		}},
		"address":   {label: "prefix", fields: teamOnly},
		classSource: {was: "offering", label: "name", fields: teamOnly},
		"schema":    {label: "name", fields: teamOnly},
	},
}

// newQuotas reads the block quotas and checks that its parts fit together.
func newQuotas(v values) (*Quotas, hcl.Diagnostics) {
	q := &Quotas{Default: v.texts["default"], AgeMS: v.nums["age"], rules: map[string]map[string]string{}}
	q.Attribution = attribution.Rules{Teams: map[string]bool{}, Classes: map[string]string{}, Schemas: map[string]string{}}
	diags := q.readOrder(v)
	for _, t := range v.blocks["team"] {
		q.Teams = append(q.Teams, quota.Team{Name: t.label, Parent: t.texts["parent"], Weight: t.nums["weight"],
			GuaranteedShare: t.nums["guaranteed"], Ceiling: t.nums["ceiling"], BurstMS: t.nums["burst"], MaxInFlight: int(t.nums["requests"]),
			Threads: t.nums["threads"], MemoryMB: t.nums["memory"] / miB, MaxQueued: int(t.nums["queue"])})
		q.Attribution.Teams[t.label] = true
	}
	diags = append(diags, q.readRules(v)...)
	if _, err := quota.New(q.Teams, q.Default, quota.DefaultSettings()); err != nil {
		diags = append(diags, complaint(v.at, "quotas: %v", err))
	}
	return q, diags
}

// readOrder reads the order in which the rules of attribution are looked at.
func (q *Quotas) readOrder(v values) (diags hcl.Diagnostics) {
	order, given := v.lists["attribution"]
	if !given {
		order = []string{"field", "address", classSource, "schema"}
	}
	order = slices.Clone(order)
	for k, source := range order {
		switch source {
		case "offering":
			q.deprecated = append(q.deprecated, deprecation(source, classSource))
		case classSource:
			order[k] = string(attribution.Class)
		}
	}
	var err error
	if q.Attribution.Order, err = attribution.ParseOrder(order); err != nil {
		diags = append(diags, complaint(v.set["attribution"], "attribution: %v", err))
	}
	return diags
}

// readRules reads the rules that give a team what comes from an address, of a class or for a schema.
func (q *Quotas) readRules(v values) (diags hcl.Diagnostics) {
	put := map[string]func(name, team string) error{
		"address": func(name, team string) error {
			p, err := netip.ParsePrefix(name)
			if err == nil {
				q.Attribution.Addresses.Put(p, team)
			}
			return err
		},
		classSource: func(name, team string) error { q.Attribution.Classes[name] = team; return nil },
		"schema":    func(name, team string) error { q.Attribution.Schemas[name] = team; return nil },
	}
	for _, kind := range []string{"address", classSource, "schema"} { // in an order, so that complaints have one
		q.rules[kind] = map[string]string{}
		for _, rule := range v.blocks[kind] {
			team := rule.texts["team"]
			if !q.Attribution.Teams[team] {
				diags = append(diags, complaint(rule.set["team"], "there is no team %q", team))
			}
			if err := put[kind](rule.label, team); err != nil {
				diags = append(diags, complaint(rule.at, "%s %q: %v", kind, rule.label, err))
			}
			q.rules[kind][rule.label] = team
		}
	}
	return diags
}

// SameTree tells whether two have the same teams in the same places, and attribute requests in the same way.
func (q *Quotas) SameTree(o *Quotas) bool {
	return reflect.DeepEqual(q.parents(), o.parents()) && q.Default == o.Default && reflect.DeepEqual(q.rules, o.rules) &&
		reflect.DeepEqual(q.Attribution.Order, o.Attribution.Order) && q.AgeMS == o.AgeMS
}

// parents lists each team with the one that it stands under.
func (q *Quotas) parents() (list [][2]string) {
	for _, t := range q.Teams {
		list = append(list, [2]string{t.Name, t.Parent})
	}
	return list
}
