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

// requestPages requests the missing pages of an answer. The client's lock is held.
func (c *executorConn) requestPages(a *attempt) {
	for page := 1; page < len(a.pages); page++ {
		if a.pages[page] == nil {
			c.send("more", a.spec.Request.ID, strconv.Itoa(page))
		}
	}
}

// resume requests the missing pages of an answer over another connection and returns whether it could. It does so once
// per attempt. The executor keeps the pages of a finished request until it exits, and running the request again would
// cost another attempt. The client's lock is held.
func (c *executorConn) resume(a *attempt) bool {
	client, target := c.client, c.executor
	if a.pagesReceived == 0 || a.resumed || client.executors[target.id] != target {
		return false
	}
	id := a.spec.Request.ID
	next := client.pickConn(target, id)
	if next == nil {
		return false
	}
	a.conn = next
	a.resumed = true
	a.repliesBefore = next.replies
	next.openAttempts[id] = a
	if !next.queueAttempt(a) {
		delete(next.openAttempts, id)
		next.drain()
		return false
	}
	client.ResumedAnswers.Add(1)
	return true
}

// beginAnswer stores the first page of an answer and requests the others. It returns the end of the attempt if there is
// one page only. The client's lock is held.
func (c *executorConn) beginAnswer(
	a *attempt, fields replyFields, body []byte,
) (item dispatch.QueueItem, ok bool, err error) {
	if fields.pageCount < 1 || fields.pageCount > maxPages {
		return item, false, netconn.Malformed("answer has %d pages, want 1 to %d", fields.pageCount, maxPages)
	}
	a.pages = make([][]byte, fields.pageCount)
	a.endEvent.LoadReport = fields.report
	a.endEvent.CostMS = fields.costMS
	a.endEvent.UsedMB = fields.usedMB
	c.requestPages(a)
	return c.addPage(a, 0, body)
}

// addPage stores a page of an answer. It returns the end of the attempt once the answer is complete. The client's lock
// is held.
func (c *executorConn) addPage(a *attempt, page int, body []byte) (item dispatch.QueueItem, ok bool, err error) {
	if !isCompleteRows(body) {
		return item, false, netconn.Malformed("page %d is not rows of %d columns: %q", page, rowColumns, netconn.Clip(body))
	}
	if body == nil {
		body = []byte{}
	}
	a.pages[page] = body
	a.pagesReceived++
	a.bytesReceived += len(body)
	if a.bytesReceived > maxAnswerBytes {
		return item, false, netconn.Malformed("answer exceeds %d bytes", maxAnswerBytes)
	}
	if a.pagesReceived < len(a.pages) {
		return item, false, nil
	}
	id := a.spec.Request.ID
	if len(a.pages) > 1 {
		c.send("done", id)
		body = slices.Concat(a.pages...)
	}
	delete(c.openAttempts, id)
	return dispatch.QueueItem{Event: a.endEvent, Body: body}, true, nil
}

// isCompleteRows returns whether a page consists of complete lines of rowColumns columns of text. It detects corrupted
// replies whose lengths happen to be consistent.
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
