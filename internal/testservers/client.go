package testservers

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// The error codes of the client protocol.
const (
	CodeRejected = -32008
	CodeFailed   = -32000
)

const (
	dialInterval     = 2 * time.Millisecond
	replySlack       = 2 * time.Second // that a client waits past the deadline of its request
	maxMessageBytes  = 1 << 20
	contentLengthKey = "Content-Length:"
)

// Reply is the reply to a call of a client.
type Reply struct {
	Code         int // of the error; 0: handled
	Message      string
	Data         string // base64, of a result
	Outcome      string // of the method outcome
	RetryAfterMS int
	Waits        []WaitEstimate // received before the reply
}

// WaitEstimate is an estimate of when a queued request starts and ends.
type WaitEstimate struct {
	Start, End float64
	Unknown    bool
	At         time.Time
}

// Client is one connection of a client, for one call at a time.
type Client struct {
	conn   net.Conn
	r      *bufio.Reader
	lastID int
}

// Dial connects a client; it tries again until the timeout.
func Dial(address string, timeout time.Duration) (*Client, error) {
	start := time.Now()
	for {
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err == nil {
			return &Client{conn: conn, r: bufio.NewReader(conn)}, nil
		}
		if time.Since(start) > timeout {
			return nil, err
		}
		time.Sleep(dialInterval)
	}
}

// Close ends the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Submit sends a request of a class with an idempotency key, which may be empty, and waits for the reply.
func (c *Client) Submit(class, id, key string, timeout time.Duration) (Reply, error) {
	params := map[string]any{"req": id, "timeout": timeout.Milliseconds(), "ms": 5, "ram": 1, "data": "c2VsZWN0IDE="}
	if key != "" {
		params["opkey"] = key
	}
	return c.Call(class, params, timeout+replySlack)
}

// Call makes one call and waits for the reply.
func (c *Client) Call(method string, params any, timeout time.Duration) (Reply, error) {
	c.lastID++
	text, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": c.lastID, "method": method, "params": params})
	if err != nil {
		return Reply{}, err
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(c.conn, "Content-Length: %d\r\n\r\n%s", len(text), text); err != nil {
		return Reply{}, err
	}
	var waits []WaitEstimate
	for {
		m, err := c.read()
		switch {
		case err != nil:
			return Reply{Waits: waits}, err
		case m.Method == "wait":
			m.Params.At = time.Now()
			waits = append(waits, m.Params.WaitEstimate)
		case m.ID != c.lastID:
			return Reply{Waits: waits}, errors.New("an answer to something else")
		default:
			return Reply{Code: m.Error.Code, Message: m.Error.Message, Data: m.Result.Data, Outcome: m.Result.Outcome,
				RetryAfterMS: m.Error.Data.HoldOff, Waits: waits}, nil
		}
	}
}

// message is a message of a controller to a client.
type message struct {
	ID     int
	Method string
	Params struct{ WaitEstimate }
	Result struct{ Data, Outcome string }
	Error  struct {
		Code    int
		Message string
		Data    struct{ HoldOff int }
	}
}

// read reads one message.
func (c *Client) read() (m message, err error) {
	header, err := c.r.ReadString('\n')
	if err != nil {
		return m, err
	}
	length, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(header, contentLengthKey)))
	if err != nil || length < 0 || length > maxMessageBytes {
		return m, fmt.Errorf("header %q", header)
	}
	body := make([]byte, len("\r\n")+length)
	if _, err := io.ReadFull(c.r, body); err != nil {
		return m, err
	}
	return m, json.Unmarshal(body, &m)
}
