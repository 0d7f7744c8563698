package simproto

import (
	"io"

	"liftshift/scheduler"
)

// availabilities maps the protocol's words for the state of an executor in the endpoint list.
var availabilities = map[string]scheduler.Availability{
	"active":  scheduler.Active,
	"leaving": scheduler.Draining,
	"left":    scheduler.Removed,
}

// readList reads a numbered endpoint list, which is a SNAPSHOT_ROWS line followed by an ITEM line for each entry, and
// stores it for later events.
func (r *Reader) readList(line string) error {
	number := 0
	count := 0
	_, err := r.eachField(line, "", func(name, value string) (err error) {
		switch name {
		case "Bank":
			number, err = parseInt(value)
		case "Records":
			count, err = parseInt(value)
		}
		return err
	})
	if err != nil {
		return err
	}
	if number < 0 || number >= listCount || count < 0 {
		return r.errorf("SNAPSHOT_ROWS: invalid Bank %d (from 0 to %d) or Records %d", number, listCount-1, count)
	}
	list := r.lists[number][:0]
	for len(list) < count {
		line, err := r.next()
		if err == io.EOF {
			return r.errorf("SNAPSHOT_ROWS: input ends after %d of %d ITEM lines", len(list), count)
		}
		if err != nil {
			return err
		}
		endpoint, err := r.parseEndpoint(line)
		if err != nil {
			return err
		}
		list = append(list, endpoint)
	}
	r.lists[number] = list
	r.hasList[number] = true
	return nil
}

// parseEndpoint parses an ITEM line.
func (r *Reader) parseEndpoint(line string) (scheduler.Endpoint, error) {
	var endpoint scheduler.Endpoint
	hasExecutor := false
	tag, err := r.eachField(line, "", func(name, value string) (err error) {
		switch name {
		case "Executor":
			endpoint.Executor, err = parseExecutor(value)
			hasExecutor = true
		case "Hall":
			endpoint.Zone = r.intern(value)
		case "Type":
			endpoint.Kind = r.intern(value)
		case "UnitGroup":
			var cell int
			cell, err = parseInt(value)
			endpoint.Cell = int64(cell)
		case "Availability":
			endpoint.Availability, err = parseWord(availabilities, "availability", value)
		case "Units":
			endpoint.Units, err = parseNumber(value)
		case "UpSince":
			endpoint.StartedAt, err = parseTime(value)
		}
		return err
	})
	if err != nil {
		return scheduler.Endpoint{}, err
	}
	if tag != "ITEM" || !hasExecutor {
		return scheduler.Endpoint{}, r.errorf("SNAPSHOT_ROWS: expected an ITEM line with the field Executor, got %.80q", line)
	}
	return endpoint, nil
}
