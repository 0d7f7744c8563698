// Command simadapter plays the batches of the simulator, read from standard input, to instances of the scheduler, and writes what
// they decide to standard output. The instances share nothing. It decides nothing itself.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"liftshift/internal/simproto"
	"liftshift/scheduler"
)

// host runs the instances of this process, by number.
type host struct {
	instances map[int]scheduler.Policy
	reply     []byte
	actions   []scheduler.Action
}

// StartInstance implements simproto.Host.
func (h *host) StartInstance(instance int, seed uint64, settings scheduler.Settings) error {
	h.instances[instance] = scheduler.New(seed, settings)
	return nil
}

// StopInstance implements simproto.Host.
func (h *host) StopInstance(instance int) error {
	if _, err := h.running(instance); err != nil {
		return err
	}
	delete(h.instances, instance)
	return nil
}

// HandleEvent implements simproto.Host: it appends the actions to the reply.
func (h *host) HandleEvent(instance int, now float64, ev *scheduler.Event) error {
	policy, err := h.running(instance)
	if err != nil {
		return err
	}
	h.actions = policy.Step(now, ev, h.actions[:0])
	for i := range h.actions {
		h.reply = simproto.AppendAction(h.reply, instance, &h.actions[i])
	}
	return nil
}

// running returns an instance that runs.
func (h *host) running(instance int) (scheduler.Policy, error) {
	policy, ok := h.instances[instance]
	if !ok {
		return nil, fmt.Errorf("instance %d does not run", instance)
	}
	return policy, nil
}

// serve answers batches until the input ends.
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
