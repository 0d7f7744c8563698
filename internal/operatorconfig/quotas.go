package operatorconfig

import (
	"net/netip"
	"reflect"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"liftshift/internal/attribution"
	"liftshift/internal/quota"
)

// Quotas holds the settings of the block quotas.
type Quotas struct {
	Teams       []quota.Team
	Default     string // team of the requests that no rule attributes
	Attribution attribution.Rules
	AgeMS       float64 // wait after which the oldest requests get a share of their own

	rules      map[string]map[string]string // team by kind of rule and label, as in the file
	deprecated []string
}

// classSource is the file's name of the attribution by request class; attribution.Class is its former one.
const classSource = "class"

// ruleFields are the fields of the blocks address, class and schema.
var ruleFields = []fieldSchema{{name: "team", kind: stringKind, required: true, help: "team of the matching requests"}}

// quotasSchema describes the block quotas.
var quotasSchema = &blockSchema{
	formerName: "budgets",
	fields: []fieldSchema{
		{name: "default", kind: stringKind, required: true, help: "team of the requests that no rule attributes"},
		{name: "age", kind: durationKind, min: 100, max: 600e3, defaultValue: 3000,
			help: "wait after which the oldest requests get a share of their own"},
		{name: "attribution", formerName: "whose", kind: stringListKind,
			help: "order in which the rules are tried: field, address, class, schema"},
	},
	blocks: map[string]*blockSchema{
		"team": {label: "name", fields: []fieldSchema{
			{name: "parent", kind: stringKind, help: "parent team; default: none, the team is at the top level"},
			{name: "weight", kind: numberKind, min: 1e-3, max: 1e6, defaultValue: 1,
				help: "weight among the teams with the same parent"},
			{name: "guaranteed", kind: numberKind, min: 0, max: 1,
				help: "guaranteed share of its parent's share, regardless of weights"},
			{name: "ceiling", kind: numberKind, min: 0.001, max: 1, defaultValue: 1,
				help: "share of the installation that the team does not exceed in the long run"},
			{name: "burst", kind: durationKind, min: 10, max: 60e3, defaultValue: 1000,
				help: "time's worth of its ceiling that the team may use at once after a pause"},
			{name: "requests", formerName: "searches", kind: integerKind, min: 1, max: 1e6,
				help: "limit of requests in flight past the queue"},
			{name: "threads", kind: numberKind, min: 1, max: 1e6, help: "limit of threads on executors"},
			{name: "memory", kind: sizeKind, min: miB, max: 1 << 50, help: "limit of memory granted on executors"},
			{name: "queue", kind: integerKind, min: 1, max: 10e6, help: "limit of queued requests"},
		}},
		"address":   {label: "prefix", fields: ruleFields},
		classSource: {formerName: "offering", label: "name", fields: ruleFields},
		"schema":    {label: "name", fields: ruleFields},
	},
}

// newQuotas returns the settings of the block quotas after checking its teams and rules.
func newQuotas(v blockValues) (*Quotas, hcl.Diagnostics) {
	q := &Quotas{Default: v.strings["default"], AgeMS: v.numbers["age"], rules: map[string]map[string]string{}}
	q.Attribution = attribution.Rules{
		Teams:   map[string]bool{},
		Classes: map[string]string{},
		Schemas: map[string]string{},
	}
	diags := q.readOrder(v)
	for _, team := range v.blocks["team"] {
		q.Teams = append(q.Teams, quota.Team{
			Name:            team.label,
			Parent:          team.strings["parent"],
			Weight:          team.numbers["weight"],
			GuaranteedShare: team.numbers["guaranteed"],
			Ceiling:         team.numbers["ceiling"],
			BurstMS:         team.numbers["burst"],
			MaxInFlight:     int(team.numbers["requests"]),
			Threads:         team.numbers["threads"],
			MemoryMB:        team.numbers["memory"] / miB,
			MaxQueued:       int(team.numbers["queue"]),
		})
		q.Attribution.Teams[team.label] = true
	}
	diags = append(diags, q.readRules(v)...)
	if _, err := quota.New(q.Teams, q.Default, quota.DefaultSettings()); err != nil {
		diags = append(diags, diagnosticf(v.header, "quotas: %v", err))
	}
	return q, diags
}

// readOrder sets the order in which the attribution rules are tried.
func (q *Quotas) readOrder(v blockValues) (diags hcl.Diagnostics) {
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
		diags = append(diags, diagnosticf(v.ranges["attribution"], "attribution: %v", err))
	}
	return diags
}

// readRules sets the rules that attribute requests to teams by client address, request class or schema.
func (q *Quotas) readRules(v blockValues) (diags hcl.Diagnostics) {
	addRule := map[string]func(label, team string) error{
		"address": func(label, team string) error {
			prefix, err := netip.ParsePrefix(label)
			if err == nil {
				q.Attribution.Addresses.Put(prefix, team)
			}
			return err
		},
		classSource: func(label, team string) error { q.Attribution.Classes[label] = team; return nil },
		"schema":    func(label, team string) error { q.Attribution.Schemas[label] = team; return nil },
	}
	for _, kind := range []string{"address", classSource, "schema"} { // a fixed order, for the order of errors
		q.rules[kind] = map[string]string{}
		for _, rule := range v.blocks[kind] {
			team := rule.strings["team"]
			if !q.Attribution.Teams[team] {
				diags = append(diags, diagnosticf(rule.ranges["team"], "there is no team %q", team))
			}
			if err := addRule[kind](rule.label, team); err != nil {
				diags = append(diags, diagnosticf(rule.header, "%s %q: %v", kind, rule.label, err))
			}
			q.rules[kind][rule.label] = team
		}
	}
	return diags
}

// SameTree reports whether both blocks have the same teams with the same parents, the same attribution and the same
// AgeMS. If so, they differ only in the limits and weights of teams, which can change without a restart.
func (q *Quotas) SameTree(other *Quotas) bool {
	return reflect.DeepEqual(q.parents(), other.parents()) && q.Default == other.Default &&
		reflect.DeepEqual(q.rules, other.rules) && reflect.DeepEqual(q.Attribution.Order, other.Attribution.Order) &&
		q.AgeMS == other.AgeMS
}

// parents returns pairs of a team's name and its parent's name, in the order of the file.
func (q *Quotas) parents() (pairs [][2]string) {
	for _, team := range q.Teams {
		pairs = append(pairs, [2]string{team.Name, team.Parent})
	}
	return pairs
}
