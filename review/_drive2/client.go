package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// client is one connection of a client, for one call at a time.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	lastID int
}

// answer is what a call got.
type answer struct {
	kind    string // served, refused, failed, or none: the connection ended, or nothing came in time
	text    string // the whole message, or why there is none
	data    string // of a result
	outcome string // of the method outcome
	after   time.Duration
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// call makes a call and waits for its answer.
func (c *client) call(method string, params map[string]any, timeout time.Duration) answer {
	c.lastID++
	message := map[string]any{"jsonrpc": "2.0", "id": c.lastID, "method": method}
	if params != nil {
		message["params"] = params
	}
	text, _ := json.Marshal(message)
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(timeout))
	if _, err := fmt.Fprintf(c.conn, "Content-Length: %d\r\n\r\n%s", len(text), text); err != nil {
		return answer{kind: "none", text: err.Error(), after: time.Since(began)}
	}
	for {
		body, err := c.readMessage()
		if err != nil {
			return answer{kind: "none", text: err.Error(), after: time.Since(began)}
		}
		var m struct {
			ID     *int
			Result *struct{ Data, Outcome string }
			Error  *struct{ Code int }
		}
		if json.Unmarshal(body, &m) != nil || m.ID == nil || *m.ID != c.lastID {
			continue
		}
		a := answer{text: string(body), after: time.Since(began)}
		switch {
		case m.Error != nil && m.Error.Code == -32008:
			a.kind = "refused"
		case m.Error != nil:
			a.kind = "failed"
		case m.Result != nil:
			a.kind, a.outcome = "served", m.Result.Outcome
			data, _ := base64.StdEncoding.DecodeString(m.Result.Data)
			a.data = string(data)
		}
		return a
	}
}

func (c *client) readMessage() ([]byte, error) {
	length := -1
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		if name, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "Content-Length") {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
	if length < 0 {
		return nil, fmt.Errorf("no length")
	}
	body := make([]byte, length)
	_, err := io.ReadFull(c.reader, body)
	return body, err
}

var lastRequest atomic.Uint64

// newRequestID returns a request id of 16 hex digits that is new in this play.
func newRequestID() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().Unix()), uint32(lastRequest.Add(1)))
}

// newKey returns an idempotency key of 32 hex digits.
func newKey() string { return newRequestID() + "5c0f6e1a2b3d4c59" }

// submit sends a request on a new connection and records what it got.
func (p *play) submit(n *node, class, id, key string, timeout time.Duration, more map[string]any) answer {
	params := map[string]any{"req": id, "timeout": timeout.Milliseconds(), "ms": 50, "ram": 16,
		"data": base64.StdEncoding.EncodeToString([]byte("insert into sales_17.orders select 1 -- " + id))}
	if key != "" {
		params["opkey"] = key
	}
	for name, value := range more {
		params[name] = value
	}
	p.note("client -> %s: %s req=%s opkey=%s timeout=%v", n.name, class, id, key, timeout)
	c, err := dial(n.listen)
	if err != nil {
		p.note("client <- %s: req=%s not connected: %v", n.name, id, err)
		return answer{kind: "none", text: err.Error()}
	}
	defer c.close()
	a := c.call(class, params, timeout+2*time.Second)
	p.note("client <- %s: req=%s %s after %.3f s: %s", n.name, id, a.kind, a.after.Seconds(), a.text)
	return a
}

// outcome asks a controller for the outcome of an idempotency key or a request and records it.
func (p *play) outcome(n *node, name, value string) string {
	c, err := dial(n.listen)
	if err != nil {
		return ""
	}
	defer c.close()
	a := c.call("outcome", map[string]any{name: value}, 3*time.Second)
	p.note("client <- %s: outcome of %s=%s: %s", n.name, name, value, a.text)
	return a.outcome
}
