package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is a message of a controller to a client.
type answer struct {
	ID     int `json:"id"`
	Result *struct {
		Data string `json:"data"`
		Fit  bool   `json:"fit"`
	} `json:"result"`
	Error *struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	at time.Time
}

// rows returns the rows of a result.
func (a *answer) rows() string {
	if a == nil || a.Result == nil {
		return ""
	}
	text, err := base64.StdEncoding.DecodeString(a.Result.Data)
	if err != nil {
		return "not base64: " + a.Result.Data
	}
	return string(text)
}

// word returns what an answer means by the protocol page.
func (a *answer) word() string {
	switch {
	case a == nil:
		return "none"
	case a.Result != nil:
		return "served"
	case a.Error != nil && a.Error.Code == -32008:
		return "refused"
	default:
		return "failed"
	}
}

// call is one request of a client.
type call struct {
	id, class, key, subject, statement string
	workMS, memoryMB                   float64
	timeout                            time.Duration
}

// client is one connection to a controller.
type client struct {
	name   string
	record *record
	conn   net.Conn

	mu      sync.Mutex
	lastID  int
	answers map[int][]*answer
	changed chan struct{} // closed at the next answer or at the end
	ended   error         // why the connection ended
	endTime time.Time     // when it ended
}

func dial(name, address string, record *record) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, record: record, conn: conn, answers: map[int][]*answer{}, changed: make(chan struct{})}
	go c.read()
	return c, nil
}

func (c *client) read() {
	reader := bufio.NewReader(c.conn)
	for {
		got, err := readAnswer(reader)
		c.mu.Lock()
		if err != nil {
			c.ended, c.endTime = err, time.Now()
		} else {
			got.at = time.Now()
			c.answers[got.ID] = append(c.answers[got.ID], got)
			if c.record != nil {
				c.record.add(got.at, "client %s: answer %d %s %q", c.name, got.ID, got.word(), clip(got.rows()))
			}
		}
		close(c.changed)
		c.changed = make(chan struct{})
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// send sends a message and returns its number.
func (c *client) send(method string, params any) int {
	c.mu.Lock()
	c.lastID++
	number := c.lastID
	c.mu.Unlock()
	_, _ = c.conn.Write(appendMessage(nil, number, method, params))
	return number
}

// appendMessage appends a message with its head.
func appendMessage(b []byte, number int, method string, params any) []byte {
	text, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": number, "method": method, "params": params})
	return append(fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(text)), text...)
}

// params returns the params of a request.
func (r *call) params() map[string]any {
	params := map[string]any{
		"req": r.id, "timeout": r.timeout.Milliseconds(), "ms": r.workMS, "ram": r.memoryMB,
		"data": base64.StdEncoding.EncodeToString([]byte(r.statement)),
	}
	if r.key != "" {
		params["opkey"] = r.key
	}
	if r.subject != "" {
		params["subject"] = r.subject
	}
	return params
}

// submit sends a request and returns its number.
func (c *client) submit(r call) int {
	number := c.send(r.class, r.params())
	if c.record != nil {
		c.record.add(time.Now(), "client %s: sent %d %s %s key %q subject %q statement %q",
			c.name, number, r.class, r.id, r.key, r.subject, clip(r.statement))
	}
	return number
}

// wait waits for the answer to a message. It returns nil if the connection ends or the time is over before.
func (c *client) wait(number int, until time.Time) *answer {
	for {
		c.mu.Lock()
		list, ended, changed := c.answers[number], c.ended, c.changed
		c.mu.Unlock()
		if len(list) > 0 {
			return list[0]
		}
		if ended != nil {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
			return nil
		}
	}
}

// count returns how many answers a message has got.
func (c *client) count(number int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.answers[number])
}

// over returns why the connection has ended, or nil.
func (c *client) over() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// close closes the connection.
func (c *client) close() { _ = c.conn.Close() }

// probe asks a controller whether it is fit.
func probe(address string) bool {
	c, err := dial("probe", address, nil)
	if err != nil {
		return false
	}
	defer c.close()
	got := c.wait(c.send("probe", map[string]any{}), time.Now().Add(time.Second))
	return got != nil && got.Result != nil && got.Result.Fit
}

func readAnswer(r *bufio.Reader) (*answer, error) {
	length := -1
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		if strings.EqualFold(name, "Content-Length") {
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil {
				return nil, err
			}
		}
	}
	if length < 0 || length > 1<<20 {
		return nil, fmt.Errorf("message of %d bytes", length)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, err
	}
	got := &answer{}
	return got, json.Unmarshal(text, got)
}

// newID returns n random bytes as hex digits.
func newID(n int) string {
	text := make([]byte, n)
	_, _ = rand.Read(text)
	return hex.EncodeToString(text)
}

// submitAll sends requests in one write and returns their numbers.
func (c *client) submitAll(calls []call) (numbers []int) {
	var text []byte
	for _, r := range calls {
		c.mu.Lock()
		c.lastID++
		numbers = append(numbers, c.lastID)
		c.mu.Unlock()
		text = appendMessage(text, c.lastID, r.class, r.params())
		if c.record != nil {
			c.record.add(time.Now(), "client %s: sent %d %s %s", c.name, c.lastID, r.class, r.id)
		}
	}
	_, _ = c.conn.Write(text)
	return numbers
}

// endedAt returns when the connection ended, or now.
func (c *client) endedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == nil {
		return time.Now()
	}
	return c.endTime
}

// clip shortens a text for the record.
func clip(text string) string {
	if len(text) <= 120 {
		return text
	}
	return text[:120] + "..."
}
