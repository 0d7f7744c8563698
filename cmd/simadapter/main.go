// Command simadapter connects the simulator to the scheduler. It reads batches of events from standard input, feeds
// each event to the scheduler instance that it is for, and writes the resulting actions to standard output. The
// instances share no state.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"liftshift/internal/simproto"
	"liftshift/scheduler"
)

// host holds the scheduler instances of this process by number. It implements simproto.Host.
type host struct {
	instances map[int]scheduler.Policy
	reply     []byte             // encoded actions of the current batch
	actions   []scheduler.Action // reused by HandleEvent
}

// StartInstance creates an instance, in place of any earlier one with the same number.
func (h *host) StartInstance(instance int, seed uint64, settings scheduler.Settings) error {
	h.instances[instance] = scheduler.New(seed, settings)
	return nil
}

// StopInstance discards a running instance.
func (h *host) StopInstance(instance int) error {
	if _, err := h.running(instance); err != nil {
		return err
	}
	delete(h.instances, instance)
	return nil
}

// HandleEvent feeds an event to a running instance and appends the actions that it returns to the reply.
func (h *host) HandleEvent(instance int, now float64, event *scheduler.Event) error {
	policy, err := h.running(instance)
	if err != nil {
		return err
	}
	h.actions = policy.Step(now, event, h.actions[:0])
	for i := range h.actions {
		h.reply = simproto.AppendAction(h.reply, instance, &h.actions[i])
	}
	return nil
}

// running returns the running instance with a number.
func (h *host) running(instance int) (scheduler.Policy, error) {
	policy, ok := h.instances[instance]
	if !ok {
		return nil, fmt.Errorf("instance %d is not running", instance)
	}
	return policy, nil
}

// serve replies to each batch until the input ends.
func serve(in io.Reader, out io.Writer) error {
	h := &host{instances: map[int]scheduler.Policy{}}
	reader := simproto.NewReader(in)
	for {
		h.reply = h.reply[:0]
		number, err := reader.ReadBatch(h)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := out.Write(simproto.AppendBatchEnd(h.reply, number)); err != nil {
			return err
		}
	}
}

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
