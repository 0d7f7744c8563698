package testservers

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is what a client got.
type Answer struct {
	Code         int // of an error; 0: handled
	Message      string
	Data         string // base64, of a result
	Outcome      string // of the method outcome
	RetryAfterMS int
	Waits        []WaitEstimate // told before the answer
}

// WaitEstimate is a figure told of a search that waits.
type WaitEstimate struct {
	Start, End float64
	Unknown    bool
	At         time.Time
}

// Codes of the protocol.
const (
	CodeRejected = -32008
	CodeFailed   = -32000
)

// Client is one connection of a client, for one call at a time.
type Client struct {
	conn net.Conn
	r    *bufio.Reader
	id   int
}

// Dial connects a client, trying for so long.
func Dial(address string, patience time.Duration) (*Client, error) {
	for began := time.Now(); ; time.Sleep(2 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", address, patience)
		if err == nil {
			return &Client{conn: conn, r: bufio.NewReader(conn)}, nil
		}
		if time.Since(began) > patience {
			return nil, err
		}
	}
}

// Close ends the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Submit asks for a search and waits for its answer.
func (c *Client) Submit(offering, req, mark string, timeout time.Duration) (Answer, error) {
	p := map[string]any{"req": req, "timeout": timeout.Milliseconds(), "ms": 5, "ram": 1, "data": "c2VsZWN0IDE="}
	if mark != "" {
		p["opkey"] = mark
	}
	return c.Call(offering, p, timeout+2*time.Second)
}

// Call makes one call.
func (c *Client) Call(method string, params any, patience time.Duration) (a Answer, err error) {
	var waits []WaitEstimate
	defer func() { a.Waits = waits }()
	c.id++
	text, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": c.id, "method": method, "params": params})
	if err != nil {
		return a, err
	}
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	if _, err := fmt.Fprintf(c.conn, "Content-Length: %d\r\n\r\n%s", len(text), text); err != nil {
		return a, err
	}
	for {
		m, err := c.read()
		switch {
		case err != nil:
			return a, err
		case m.Method == "wait":
			m.Params.At = time.Now()
			waits = append(waits, m.Params.WaitEstimate)
		case m.ID != c.id:
			return a, errors.New("an answer to something else")
		default:
			return Answer{m.Error.Code, m.Error.Message, m.Result.Data, m.Result.Outcome, m.Error.Data.HoldOff, nil}, nil
		}
	}
}

// message is what a controller sends.
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
	head, err := c.r.ReadString('\n')
	if err != nil {
		return m, err
	}
	n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(head, "Content-Length:")))
	if err != nil || n < 0 || n > 1<<20 {
		return m, fmt.Errorf("head %q", head)
	}
	body := make([]byte, n+2)
	if _, err := io.ReadFull(c.r, body); err != nil {
		return m, err
	}
	return m, json.Unmarshal(body[2:], &m)
}

// NodeConfig gives a configuration for a controller before some engines: three offerings, look (redoable), mark (labelled, its
// repeats dropped by the engines of a place for a window) and once (irreversible).
func NodeConfig(listen, changelog string, window time.Duration, engines ...*Executor) []byte {
	type m = map[string]any
	var list []m
	for _, e := range engines {
		list = append(list, m{"name": e.Name, "address": e.Address(), "zone": e.Zone, "type": "big", "group": 0, "status": "Ready",
			"weight": 8})
	}
	class := func(name, effect string) m {
		return m{"Name": name, "Idempotency": effect, "DedupScope": "zone", "DedupWindow": window.Microseconds(), "Aim": 1000000,
			"AimStretch": 1.5, "HardLimit": 5000000, "LateWorth": 0.5, "Worth": 1}
	}
	text, err := json.Marshal(m{"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "changelog": changelog,
		"limits": m{"cores": 2, "memory_mb": 192, "sockets": 1024},
		"known":  m{"seq": 1, "results": []m{{"seq": 1, "fleet": m{"index": 1, "snapshot": true, "endpoints": list}}}},
		"settings": m{"Bounds": m{"Cancelling": true, "ConnectTimeout": 250000, "IdleClose": 15000000, "MaxAttempts": 6,
			"MaxRetryAfter": 500000, "Probing": true, "RetryAfter": true, "StreamsPerConn": 100},
			"Classes": []m{class("look", "safe"), class("mark", "keyed"), class("once", "unsafe")},
			"FamilyInfo": m{"ClassThreads": []int{1, 1, 1}, "KindCores": []int{8}, "RamOfKindMb": []float64{16384},
				"LargestShare": 0.4, "TellsEvery": 0},
			"Invariants": m{"DrainGrace": 500000, "ExtraFloor": 3.0, "ExtraPerRequest": 0.1, "RatioSpan": 10000000},
			"Kinds":      []string{"big"}, "Siblings": 1, "Resolution": 5000}})
	if err != nil {
		panic(err) // of texts and numbers alone
	}
	return text
}

// EndpointList is a change log that never has news.
func EndpointList() (address string, stop func(), err error) {
	c, err := NewDiscovery()
	if err != nil {
		return "", nil, err
	}
	return c.Address, c.Stop, nil
}

// Discovery is a change log to which events can be added. The first is the one that Node has.
type Discovery struct {
	Address string
	server  *http.Server
	mu      sync.Mutex
	events  []json.RawMessage
	changed chan struct{} // closed by the next event
}

// NewDiscovery starts one.
func NewDiscovery() (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Discovery{Address: l.Addr().String(), changed: make(chan struct{})}
	c.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(c.serve)}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// Stop ends it.
func (c *Discovery) Stop() { _ = c.server.Close() }

// Publish adds what has become of an engine: Ready, Terminating or Gone.
func (c *Discovery) Publish(e *Executor, status string) error { return c.PublishSince(e, status, 0) }

// PublishSince is Tell of an engine that has started late, at a Unix ms by its own wall clock.
func (c *Discovery) PublishSince(e *Executor, status string, since int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	seq := len(c.events) + 2
	text, err := json.Marshal(map[string]any{"seq": seq, "fleet": map[string]any{"index": seq, "snapshot": false, "endpoints": []any{map[string]any{
		"name": e.Name, "address": e.Address(), "zone": e.Zone, "type": "big", "group": 0, "status": status, "weight": 8,
		"since_ms": since}}}})
	if err != nil {
		return err
	}
	c.events = append(c.events, text)
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

func (c *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	late := time.After(min(5*time.Second, time.Duration(ms)*time.Millisecond))
	for {
		c.mu.Lock()
		news, last, later := c.changed, len(c.events)+1, c.events[min(len(c.events), max(0, since-1)):]
		c.mu.Unlock()
		if len(later) > 0 || since > last {
			text, _ := json.Marshal(map[string]any{"seq": last, "results": later})
			_, _ = w.Write(text)
			return
		}
		select {
		case <-news:
		case <-late:
			_, _ = fmt.Fprintf(w, `{"seq":%d,"results":[]}`, last)
			return
		case <-r.Context().Done():
			return
		}
	}
}
