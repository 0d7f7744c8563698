package testservers

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxPollWait is the longest that a poll for events waits.
const maxPollWait = 5 * time.Second

// StartEmptyDiscovery starts a discovery service that never publishes an event.
func StartEmptyDiscovery() (address string, stop func(), err error) {
	d, err := NewDiscovery()
	if err != nil {
		return "", nil, err
	}
	return d.Address, d.Stop, nil
}

// Discovery is a discovery service that publishes watch events. Event 1 is the endpoint list in the configuration that
// NodeConfig returns.
type Discovery struct {
	Address string
	server  *http.Server

	mu      sync.Mutex
	events  []json.RawMessage // from event 2 on
	changed chan struct{}     // closed when the next event is published
}

// NewDiscovery starts a discovery service.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: listener.Addr().String(), changed: make(chan struct{})}
	d.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(d.serve)}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Stop ends the service.
func (d *Discovery) Stop() { _ = d.server.Close() }

// Publish publishes a status of an executor: Ready, Terminating or Gone.
func (d *Discovery) Publish(e *Executor, status string) error { return d.PublishSince(e, status, 0) }

// PublishSince publishes a status of an executor with its start time, a Unix time in milliseconds.
func (d *Discovery) PublishSince(e *Executor, status string, sinceMS int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	sequence := len(d.events) + 2
	entry := endpoint(e, status)
	entry["since_ms"] = sinceMS
	update := object{"index": sequence, "snapshot": false, "endpoints": []any{entry}}
	text, err := json.Marshal(object{"seq": sequence, "fleet": update})
	if err != nil {
		return err
	}
	d.events = append(d.events, text)
	close(d.changed)
	d.changed = make(chan struct{})
	return nil
}

// serve answers a poll as soon as there are events from its sequence number on, and with no events at its timeout.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	timeoutMS, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	timeout := time.After(min(maxPollWait, time.Duration(timeoutMS)*time.Millisecond))
	for {
		d.mu.Lock()
		changed, last := d.changed, len(d.events)+1
		newer := d.events[min(len(d.events), max(0, since-1)):]
		d.mu.Unlock()
		if len(newer) > 0 || since > last {
			text, _ := json.Marshal(object{"seq": last, "results": newer})
			_, _ = w.Write(text)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_, _ = fmt.Fprintf(w, `{"seq":%d,"results":[]}`, last)
			return
		case <-r.Context().Done():
			return
		}
	}
}
