package resp

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"liftshift/internal/dispatch"
	"liftshift/internal/netconn"
	"liftshift/internal/settings"
	"liftshift/scheduler"
)

// endOutcomes are the outcomes of attempts that end without an answer, by the word on the wire.
var endOutcomes = map[string]scheduler.Outcome{"full": scheduler.Overloaded, "failed": scheduler.Errored, "moot": scheduler.NeverSent}

// progressKinds are the kinds of progress, by the word on the wire.
var progressKinds = map[string]scheduler.ProgressKind{"pct": scheduler.Progress, "overflow": scheduler.Spilling, "queued": scheduler.Waiting}

// handleReply handles one reply and returns the item for the event queue that comes of it, if any. An error ends the connection.
func (c *executorConn) handleReply(id, word, list string, body []byte) (item dispatch.QueueItem, ok bool, err error) {
	fields, err := parseReplyFields(list, c.client.reportNames)
	if err != nil {
		return item, false, err
	}
	client := c.client
	client.mu.Lock()
	defer client.mu.Unlock()
	defer c.endIfDrained()
	c.lastUsed = time.Now()
	c.replies++
	if token, ok := c.healthChecks[id]; ok && (word == "well" || word == "ill") {
		return c.healthCheckResult(id, token, word == "well", fields.report), true, nil
	}
	a := c.open[id]
	if a == nil {
		client.Strays.Add(1)
		return item, false, nil
	}
	if c.replies == a.repliesBefore+1 {
		client.losses.Record(a.onUsedConn, false)
	}
	if outcome, ended := endOutcomes[word]; ended {
		return c.endWithoutAnswer(a, outcome, fields.report), true, nil
	}
	switch word {
	case "news":
		item, ok = c.progress(a, fields)
		return item, ok, nil
	case "data":
		if a.pages == nil {
			return c.beginAnswer(a, fields, body)
		}
		client.Strays.Add(1) // a second copy: the first one counts
		return item, false, nil
	case "page":
		return c.handlePage(a, fields.page, body)
	}
	return item, false, a.unexpected(word)
}

// handlePage handles a page behind the first one. The client's lock is held.
func (c *executorConn) handlePage(a *attempt, page int, body []byte) (item dispatch.QueueItem, ok bool, err error) {
	switch {
	case a.pages == nil: // nothing that was asked for
		c.client.Strays.Add(1)
		return item, false, nil
	case page < 1 || page >= len(a.pages):
		return item, false, a.unexpected("page")
	case a.pages[page] != nil: // a second copy
		c.client.Strays.Add(1)
		return item, false, nil
	}
	return c.addPage(a, page, body)
}

// unexpected returns the error for a reply that does not fit the state of the attempt.
func (a *attempt) unexpected(word string) error {
	return netconn.Malformed("a reply %q to an attempt that has %d pages of %d", netconn.Clip([]byte(word)), a.pagesReceived, len(a.pages))
}

// endWithoutAnswer ends an attempt. Its id is excluded from the connection: a second copy of the end, some ms later, must not end the
// next attempt of the request. The client's lock is held.
func (c *executorConn) endWithoutAnswer(a *attempt, outcome scheduler.Outcome, report []float64) dispatch.QueueItem {
	id := a.spec.Request.ID
	a.end.Outcome = outcome
	a.end.LoadReport = report
	delete(c.open, id)
	c.excludeID(id)
	return dispatch.QueueItem{Event: a.end}
}

// progress returns the progress that an executor reports of an attempt; false if its kind is not known.
func (c *executorConn) progress(a *attempt, fields replyFields) (item dispatch.QueueItem, ok bool) {
	kind := progressKinds[fields.remark]
	if kind == 0 {
		return item, false
	}
	return dispatch.QueueItem{Event: scheduler.Event{
		Kind:     scheduler.ProgressReported,
		Request:  a.spec.Request.ID,
		Attempt:  a.spec.Number,
		Executor: c.executor.id,
		Progress: kind,
		Value:    fields.value,
	}}, true
}

// replyFields are the fields of a reply.
type replyFields struct {
	pages, page           int // how many there are; which one this is, -1: not said
	remark                string
	value, costMS, usedMB float64
	report                []float64
}

// parseReplyFields parses the list of a reply's fields. Unknown fields are ignored.
func parseReplyFields(list string, reportNames []string) (fields replyFields, err error) {
	fields.pages = 1
	fields.page = -1
	err = forEachField(list, func(name, value string) (err error) {
		switch name {
		case "batches":
			fields.pages, err = strconv.Atoi(value)
		case "batch":
			fields.page, err = strconv.Atoi(value)
		case "remark":
			fields.remark = value
		case "num":
			fields.value, err = parseNumber(value)
		case "cpu":
			fields.costMS, err = parseNumber(value)
		case "used":
			fields.usedMB, err = parseNumber(value)
		case "report":
			fields.report = parseLoadReport(value, reportNames)
		}
		if err != nil {
			return netconn.Malformed("%s=%q", name, netconn.Clip([]byte(value)))
		}
		return nil
	})
	return fields, err
}

// parseNumber parses a finite number.
func parseNumber(s string) (float64, error) {
	n, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(n) || math.IsInf(n, 0)) {
		err = netconn.ErrMalformed
	}
	return n, err
}

// parseLoadReport parses a load report: name:value;name:value in any order, or the values alone in the order of names. A value that
// it does not name is 0. A report that can't be parsed counts as none: it costs no answer.
func parseLoadReport(s string, names []string) []float64 {
	report := make([]float64, len(names))
	for k, part := range strings.FieldsFunc(s, func(c rune) bool { return strings.ContainsRune(",; []", c) }) {
		name, value, named := strings.Cut(part, ":")
		if !named {
			value = name
		} else if k = slices.Index(names, settings.ReportName(name)); k < 0 {
			continue // more than the settings name
		}
		n, err := parseNumber(value)
		if err != nil || k >= len(report) {
			return nil
		}
		report[k] = n
	}
	return report
}
