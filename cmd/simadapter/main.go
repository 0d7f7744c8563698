// Command simadapter plays the bench's batches, read from standard input, to instances of the decision
// module, which share nothing, and writes what they decide to standard output. It decides nothing itself.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"liftshift/internal/simproto"
	"liftshift/scheduler"
)

// hall hosts the instances of this process by number.
type hall struct {
	instances map[int]scheduler.Policy
	reply     []byte
	actions   []scheduler.Action
}

func (h *hall) Attach(instance int, seed uint64, settings scheduler.Settings) error {
	h.instances[instance] = scheduler.New(seed, settings)
	return nil
}

func (h *hall) Stop(instance int) error {
	if h.instances[instance] == nil {
		return fmt.Errorf("instance %d does not run", instance)
	}
	delete(h.instances, instance)
	return nil
}

func (h *hall) Event(instance int, now float64, ev *scheduler.Event) error {
	one := h.instances[instance]
	if one == nil {
		return fmt.Errorf("instance %d does not run", instance)
	}
	h.actions = one.Step(now, ev, h.actions[:0])
	for i := range h.actions {
		h.reply = simproto.Append(h.reply, instance, &h.actions[i])
	}
	return nil
}

func play(in io.Reader, out io.Writer) error {
	h := &hall{instances: map[int]scheduler.Policy{}}
	r := simproto.NewReader(in)
	for {
		h.reply = h.reply[:0]
		seq, err := r.Batch(h)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := out.Write(simproto.AppendEnd(h.reply, seq)); err != nil {
			return err
		}
	}
}

func main() {
	if err := play(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
