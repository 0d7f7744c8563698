package resp

import (
	"slices"
	"strconv"
	"unicode/utf8"

	"liftshift/internal/dispatch"
	"liftshift/internal/netconn"
)

const (
	maxPages       = 64       // of one answer
	maxAnswerBytes = 64 << 10 // of all pages of one answer
	rowColumns     = 3
)

// requestPages asks for the pages that are missing. The client's lock is held.
func (c *executorConn) requestPages(a *attempt) {
	for page := 1; page < len(a.pages); page++ {
		if a.pages[page] == nil {
			c.send("more", a.spec.Request.ID, strconv.Itoa(page))
		}
	}
}

// resume asks for the rest of an answer over another connection, once, and returns whether it could. The request has run, and its
// pages are lost only when the executor ends; run again, it would cost one more attempt. The client's lock is held.
func (c *executorConn) resume(a *attempt) bool {
	client, e := c.client, c.executor
	if a.pagesReceived == 0 || a.resumed || client.executors[e.id] != e {
		return false
	}
	id := a.spec.Request.ID
	next := client.pickConn(e, id)
	if next == nil {
		return false
	}
	a.conn = next
	a.resumed = true
	a.repliesBefore = next.replies
	next.open[id] = a
	if !next.queueAttempt(a) {
		delete(next.open, id)
		next.drain()
		return false
	}
	client.Resumed.Add(1)
	return true
}

// beginAnswer takes the first page of an answer and asks for the others. The client's lock is held.
func (c *executorConn) beginAnswer(a *attempt, fields replyFields, body []byte) (item dispatch.QueueItem, ok bool, err error) {
	if fields.pages < 1 || fields.pages > maxPages {
		return item, false, netconn.Malformed("an answer of %d pages", fields.pages)
	}
	a.pages = make([][]byte, fields.pages)
	a.end.LoadReport = fields.report
	a.end.CostMS = fields.costMS
	a.end.UsedMB = fields.usedMB
	c.requestPages(a)
	return c.addPage(a, 0, body)
}

// addPage adds a page; the item is the end of the attempt once its answer is complete. The client's lock is held.
func (c *executorConn) addPage(a *attempt, page int, body []byte) (item dispatch.QueueItem, ok bool, err error) {
	if !isCompleteRows(body) {
		return item, false, netconn.Malformed("a page that is not rows: %q", netconn.Clip(body))
	}
	if body == nil {
		body = []byte{}
	}
	a.pages[page] = body
	a.pagesReceived++
	a.bytesReceived += len(body)
	if a.bytesReceived > maxAnswerBytes {
		return item, false, netconn.Malformed("an answer of over %d bytes", maxAnswerBytes)
	}
	if a.pagesReceived < len(a.pages) {
		return item, false, nil
	}
	id := a.spec.Request.ID
	if len(a.pages) > 1 {
		c.send("done", id)
		body = slices.Concat(a.pages...)
	}
	delete(c.open, id)
	return dispatch.QueueItem{Event: a.end, Body: body}, true, nil
}

// isCompleteRows returns whether a page is lines of three columns of text. Where bytes were corrupted, a length may fit by chance; this
// keeps what no executor made from being passed on.
func isCompleteRows(page []byte) bool {
	if len(page) > 0 && page[len(page)-1] != '\n' || !utf8.Valid(page) {
		return false
	}
	tabs := 0
	for _, c := range page {
		switch {
		case c == '\t':
			tabs++
		case c == '\n' && tabs != rowColumns-1, c < ' ' && c != '\n', c == 0x7f:
			return false
		case c == '\n':
			tabs = 0
		}
	}
	return true
}
