package testservers

import (
	"bufio"
	"encoding/json"
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
	replySlack       = 2 * time.Second // how long Submit waits for the reply past the deadline of its request
	maxMessageBytes  = 1 << 20
	contentLengthKey = "Content-Length:"
)

// Reply is a controller's reply to a call.
type Reply struct {
	Code         int // error code; 0: the request succeeded
	Message      string
	Data         string // base64, of a result
	Outcome      string // of the method "outcome"
	RetryAfterMS int
	Waits        []WaitEstimate // received before the reply
}

// WaitEstimate is an estimate of when a queued request starts and ends.
type WaitEstimate struct {
	Start, End float64 // milliseconds
	Unknown    bool
	At         time.Time // when the client received the estimate
}

// Client is one connection of a client, for one call at a time.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
	lastID int
}

// Dial connects a client and retries until the timeout has passed.
func Dial(address string, timeout time.Duration) (*Client, error) {
	start := time.Now()
	for {
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err == nil {
			return &Client{conn: conn, reader: bufio.NewReader(conn)}, nil
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

// Call makes one call and waits for the reply. It collects the wait estimates that arrive before the reply.
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
		msg, err := c.read()
		switch {
		case err != nil:
			return Reply{Waits: waits}, err
		case msg.Method == "wait":
			msg.Params.At = time.Now()
			waits = append(waits, msg.Params.WaitEstimate)
		case msg.ID != c.lastID:
			return Reply{Waits: waits}, fmt.Errorf("reply with ID %d, expected a reply to call %d", msg.ID, c.lastID)
		default:
			return Reply{
				Code:         msg.Error.Code,
				Message:      msg.Error.Message,
				Data:         msg.Result.Data,
				Outcome:      msg.Result.Outcome,
				RetryAfterMS: msg.Error.Data.HoldOff,
				Waits:        waits,
			}, nil
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

// read reads one message, whose only header is its length.
func (c *Client) read() (msg message, err error) {
	header, err := c.reader.ReadString('\n')
	if err != nil {
		return msg, err
	}
	length, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(header, contentLengthKey)))
	if err != nil || length < 0 || length > maxMessageBytes {
		return msg, fmt.Errorf("message header %q: expected %q and at most %d", header, contentLengthKey, maxMessageBytes)
	}
	body := make([]byte, len("\r\n")+length)
	if _, err := io.ReadFull(c.reader, body); err != nil {
		return msg, err
	}
	return msg, json.Unmarshal(body, &msg)
}
