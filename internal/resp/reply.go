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

// outcomeByReply maps the replies that end an attempt without an answer to its outcome.
var outcomeByReply = map[string]scheduler.Outcome{
	"full":   scheduler.Overloaded,
	"failed": scheduler.Errored,
	"moot":   scheduler.NeverSent,
}

// progressKindByName maps the kinds of progress on the wire to those of the scheduler.
var progressKindByName = map[string]scheduler.ProgressKind{
	"pct":      scheduler.Progress,
	"overflow": scheduler.Spilling,
	"queued":   scheduler.Waiting,
}

// handleReply handles one reply: the id of an attempt or the tag of a health check, the reply's type, its list of
// fields and its body. It returns the item for the event queue that results, if any. An error ends the connection.
func (c *executorConn) handleReply(
	id, replyType, fieldList string, body []byte,
) (item dispatch.QueueItem, ok bool, err error) {
	fields, err := parseReplyFields(fieldList, c.client.reportNames)
	if err != nil {
		return item, false, err
	}
	client := c.client
	client.mu.Lock()
	defer client.mu.Unlock()
	defer c.endIfDrained()
	c.lastUsed = time.Now()
	c.replies++
	if token, ok := c.healthChecks[id]; ok && (replyType == "well" || replyType == "ill") {
		return c.healthCheckResult(id, token, replyType == "well", fields.report), true, nil
	}
	a := c.openAttempts[id]
	if a == nil {
		client.StrayReplies.Add(1)
		return item, false, nil
	}
	if c.replies == a.repliesBefore+1 {
		client.losses.Record(a.onUsedConn, false)
	}
	if outcome, ended := outcomeByReply[replyType]; ended {
		return c.endWithoutAnswer(a, outcome, fields.report), true, nil
	}
	switch replyType {
	case "news":
		item, ok = c.progress(a, fields)
		return item, ok, nil
	case "data":
		if a.pages == nil {
			return c.beginAnswer(a, fields, body)
		}
		client.StrayReplies.Add(1) // duplicate of the first page
		return item, false, nil
	case "page":
		return c.handlePage(a, fields.pageIndex, body)
	}
	return item, false, a.unexpectedReply(replyType)
}

// handlePage handles a page other than the first one. The client's lock is held.
func (c *executorConn) handlePage(a *attempt, page int, body []byte) (item dispatch.QueueItem, ok bool, err error) {
	switch {
	case a.pages == nil: // no page was requested
		c.client.StrayReplies.Add(1)
		return item, false, nil
	case page < 1 || page >= len(a.pages):
		return item, false, a.unexpectedReply("page")
	case a.pages[page] != nil: // duplicate
		c.client.StrayReplies.Add(1)
		return item, false, nil
	}
	return c.addPage(a, page, body)
}

// unexpectedReply returns the error for a reply that does not fit the state of the attempt.
func (a *attempt) unexpectedReply(replyType string) error {
	return netconn.Malformed("unexpected reply %q to attempt %d of request %q, which has received %d of %d pages",
		netconn.Clip([]byte(replyType)), a.spec.Number, a.spec.Request.ID, a.pagesReceived, len(a.pages))
}

// endWithoutAnswer ends an attempt. It excludes the request's id from the connection, because a duplicate of the reply
// would end the next attempt of the request. The client's lock is held.
func (c *executorConn) endWithoutAnswer(a *attempt, outcome scheduler.Outcome, report []float64) dispatch.QueueItem {
	id := a.spec.Request.ID
	a.endEvent.Outcome = outcome
	a.endEvent.LoadReport = report
	delete(c.openAttempts, id)
	c.excludeID(id)
	return dispatch.QueueItem{Event: a.endEvent}
}

// progress returns the progress event of an attempt, or false if the kind of progress is unknown.
func (c *executorConn) progress(a *attempt, fields replyFields) (item dispatch.QueueItem, ok bool) {
	kind := progressKindByName[fields.progressKind]
	if kind == 0 {
		return item, false
	}
	return dispatch.QueueItem{Event: scheduler.Event{
		Kind:     scheduler.ProgressReported,
		Request:  a.spec.Request.ID,
		Attempt:  a.spec.Number,
		Executor: c.executor.id,
		Progress: kind,
		Value:    fields.progressValue,
	}}, true
}

// replyFields are the parsed fields of a reply.
type replyFields struct {
	pageCount, pageIndex          int // pageIndex -1: the reply has no index
	progressKind                  string
	progressValue, costMS, usedMB float64
	report                        []float64
}

// parseReplyFields parses the list of a reply's fields. It ignores unknown fields.
func parseReplyFields(list string, reportNames []string) (fields replyFields, err error) {
	fields.pageCount = 1
	fields.pageIndex = -1
	err = forEachField(list, func(name, value string) (err error) {
		switch name {
		case "batches":
			fields.pageCount, err = strconv.Atoi(value)
		case "batch":
			fields.pageIndex, err = strconv.Atoi(value)
		case "remark":
			fields.progressKind = value
		case "num":
			fields.progressValue, err = parseNumber(value)
		case "cpu":
			fields.costMS, err = parseNumber(value)
		case "used":
			fields.usedMB, err = parseNumber(value)
		case "report":
			fields.report = parseLoadReport(value, reportNames)
		}
		if err != nil {
			return netconn.Malformed("field %s=%q is not a valid number", name, netconn.Clip([]byte(value)))
		}
		return nil
	})
	return fields, err
}

// parseNumber parses a finite number.
func parseNumber(s string) (float64, error) {
	number, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(number) || math.IsInf(number, 0)) {
		err = netconn.ErrMalformed
	}
	return number, err
}

// parseLoadReport parses a load report: either name:value;name:value in any order, or the values alone in the order of
// names. A named report may omit values, which are then 0. An invalid report yields nil instead of an error, so that
// the answer that carries it is not lost.
func parseLoadReport(s string, names []string) []float64 {
	report := make([]float64, len(names))
	for k, part := range strings.FieldsFunc(s, func(c rune) bool { return strings.ContainsRune(",; []", c) }) {
		name, value, named := strings.Cut(part, ":")
		if !named {
			value = name
		} else if k = slices.Index(names, settings.ReportName(name)); k < 0 {
			continue // not among the names in the settings
		}
		number, err := parseNumber(value)
		if err != nil || k >= len(report) {
			return nil
		}
		report[k] = number
	}
	return report
}
