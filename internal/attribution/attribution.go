// Package attribution tells whose a search is: by what the client says, by where it comes from, by offering or by schema, in the
// order that the operators give. It is free of I/O, and keeps nothing of names that nobody configured.
package attribution

import (
	"fmt"
	"net/netip"

	"liftshift/internal/ipprefix"
)

// Source is a way to tell.
type Source string

// The ways.
const (
	Field   Source = "field"
	Address Source = "address"
	Class   Source = "offering"
	Schema  Source = "schema"
)

// Rules tell whose a search is. Empty ones know nobody.
type Rules struct {
	Order     []Source
	Teams     map[string]bool // those that a client may name
	Addresses ipprefix.Table[string]
	Classes   map[string]string
	Schemas   map[string]string
}

// ParseOrder tells what is wrong with an order.
func ParseOrder(order []string) ([]Source, error) {
	var list []Source
	seen := map[Source]bool{}
	for _, name := range order {
		switch by := Source(name); by {
		case Field, Address, Class, Schema:
			if seen[by] {
				return nil, fmt.Errorf("%q stands there twice", name)
			}
			seen[by] = true
			list = append(list, by)
		default:
			return nil, fmt.Errorf("%q is none of field, address, offering, schema", name)
		}
	}
	return list, nil
}

// TeamOf gives the team of a search, or nothing: then it is the default team's.
func (r *Rules) TeamOf(field string, from netip.Addr, offering, schema string) string {
	for _, by := range r.Order {
		team := ""
		switch by {
		case Field:
			if r.Teams[field] {
				team = field
			}
		case Address:
			team, _ = r.Addresses.Get(from)
		case Class:
			team = r.Classes[offering]
		case Schema:
			team = r.Schemas[schema]
		}
		if team != "" {
			return team
		}
	}
	return ""
}
