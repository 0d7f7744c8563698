// Package attribution determines which team a request belongs to: by the team that the client names, the client's
// address, the request class or the schema, in a configured order. It does no I/O and keeps no state per request.
package attribution

import (
	"fmt"
	"net/netip"
	"slices"

	"liftshift/internal/ipprefix"
)

// Source is a property of a request by which it can be attributed to a team. The values are names in the operators'
// file.
type Source string

// The sources.
const (
	Field   Source = "field"    // the team that the client names in the request
	Address Source = "address"  // the IP address of the client
	Class   Source = "offering" // the request class
	Schema  Source = "schema"   // the schema that the request is for
)

// Rules attribute requests to teams. The zero value attributes no request.
type Rules struct {
	Order     []Source               // the sources, in the order in which they are tried
	Teams     map[string]bool        // the teams that a client may name
	Addresses ipprefix.Table[string] // team by address prefix
	Classes   map[string]string      // team by request class
	Schemas   map[string]string      // team by schema
}

// ParseOrder converts the names of sources. It returns an error for an unknown name and for one that is listed twice.
func ParseOrder(order []string) ([]Source, error) {
	var list []Source
	for _, name := range order {
		switch source := Source(name); source {
		case Field, Address, Class, Schema:
			if slices.Contains(list, source) {
				return nil, fmt.Errorf("source %q is listed twice", name)
			}
			list = append(list, source)
		default:
			return nil, fmt.Errorf("unknown source %q, expected field, address, offering or schema", name)
		}
	}
	return list, nil
}

// TeamOf returns the team of a request according to the first source that has one, or "" if none has.
func (r *Rules) TeamOf(field string, from netip.Addr, class, schema string) string {
	for _, source := range r.Order {
		if team := r.teamBy(source, field, from, class, schema); team != "" {
			return team
		}
	}
	return ""
}

// teamBy returns the team of a request according to one source, or "".
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
