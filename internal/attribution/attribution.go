// Package attribution tells which team a request belongs to: by what the client says, by the client's address, by request class or by
// schema, in the order that the operators give. It has no I/O, and keeps nothing of names that nobody configured.
package attribution

import (
	"fmt"
	"net/netip"
	"slices"

	"liftshift/internal/ipprefix"
)

// Source is what a team is told by. Its values are those of the operators' file.
type Source string

// The sources.
const (
	Field   Source = "field"
	Address Source = "address"
	Class   Source = "offering"
	Schema  Source = "schema"
)

// Rules tell which team a request belongs to. The zero value knows none.
type Rules struct {
	Order     []Source
	Teams     map[string]bool // those that a client may name
	Addresses ipprefix.Table[string]
	Classes   map[string]string
	Schemas   map[string]string
}

// ParseOrder returns the sources of an order, or what is wrong with it.
func ParseOrder(order []string) ([]Source, error) {
	var list []Source
	for _, name := range order {
		switch source := Source(name); source {
		case Field, Address, Class, Schema:
			if slices.Contains(list, source) {
				return nil, fmt.Errorf("%q stands there twice", name)
			}
			list = append(list, source)
		default:
			return nil, fmt.Errorf("%q is none of field, address, offering, schema", name)
		}
	}
	return list, nil
}

// TeamOf returns the team of a request, by the first source that knows one; empty where none does.
func (r *Rules) TeamOf(field string, from netip.Addr, class, schema string) string {
	for _, source := range r.Order {
		if team := r.teamBy(source, field, from, class, schema); team != "" {
			return team
		}
	}
	return ""
}

func (r *Rules) teamBy(source Source, field string, from netip.Addr, class, schema string) string {
	switch source {
	case Field:
		if r.Teams[field] {
			return field
		}
	case Address:
		team, _ := r.Addresses.Get(from)
		return team
	case Class:
		return r.Classes[class]
	case Schema:
		return r.Schemas[schema]
	}
	return ""
}
