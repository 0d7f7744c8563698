package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"liftshift/internal/adminapi"
)

func handoffCommand() *cobra.Command {
	cmd := withSocket(group("handoff", "See and steer what becomes of the open requests of lost controllers"))
	cmd.AddCommand(
		&cobra.Command{Use: "show", Short: "What is kept here for others, who the replicas are, and what is claimed", Args: args(0, 0),
			Example: "  liftshift handoff show --file office.hcl", RunE: showReply(adminapi.QuestionHandoff, handoffTable)},
		&cobra.Command{Use: "explain REQ", Short: "Say what is known here of a request, by its req or its opkey", Args: args(1, 1),
			Example: "  liftshift handoff explain 51b2e4 --file office.hcl",
			RunE: func(cmd *cobra.Command, operands []string) error {
				return askAndShow(cmd, adminapi.QuestionCopyExplain, adminapi.NameRequest{Name: operands[0]}, copyTable)
			}},
		orderCommand("adopt NAME", "Have this controller adopt what a lost one left and nobody has claimed", "  liftshift handoff adopt n3 --file office.hcl",
			adminapi.QuestionAdopt, "asked for; see: liftshift handoff show"),
		orderCommand("release REQ", "Give up a request that a lost controller left: it counts as failed", "  liftshift handoff release 51b2e4 --file office.hcl",
			adminapi.QuestionRelease, "given up, where it was kept here and its owner is lost; see: liftshift handoff explain"))
	return cmd
}

// orderCommand makes a command that gives an order about a name.
func orderCommand(use, short, example, question, done string) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Example: example, Args: args(1, 1),
		RunE: func(cmd *cobra.Command, operands []string) error {
			request := adminapi.NameRequest{Name: operands[0], Author: author()}
			if _, err := ask[adminapi.Accepted](cmd, question, request); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), done)
			return nil
		}}
}

func copyTable(out io.Writer, reply adminapi.CopiesReply) {
	for _, c := range reply.Copies {
		fmt.Fprintf(out, "request %s, idempotency key %s, class %s: %s\n  owner %s (incarnation %s), sequence %d; outcome %s; %s", c.ID, c.IdempotencyKey,
			c.Class, c.State, c.Owner, c.Incarnation, c.Sequence, c.Outcome, c.RunState)
		if c.Zone != "" {
			fmt.Fprintf(out, ", in %s", c.Zone)
		}
		fmt.Fprintf(out, "; %s to its deadline; answer kept: %v\n", milliseconds(c.LeftMS), c.AnswerKept)
	}
}

func handoffTable(out io.Writer, reply adminapi.HandoffReply) {
	placement := adminapi.PlacementSummary{}
	if reply.PlacementSummary != nil {
		placement = *reply.PlacementSummary
	}
	fmt.Fprintf(out, "%d copies wanted, %d of %d partitions settled; this controller holds its lease: %v\n", placement.CopiesWanted,
		placement.PartitionsSettled, placement.Partitions, reply.LeaseHeld)
	fmt.Fprintf(out, "copies here: %d, open %d; received so far: %d = %d settled + %d adopted + %d failed + %d dropped + %d open\n", reply.CopiesStored,
		reply.Open, reply.CopiesReceived, reply.Settled, reply.Adopted, reply.Failed, reply.Dropped, reply.Open)
	fmt.Fprintf(out, "own requests: %d registered, %d waited for another's, %d answered from a copy, %d rejected as too few replicas could be asked, %d attempts withheld, %d sent without replicas\n",
		reply.Registered, reply.Waited, reply.AnsweredFromCopy, reply.Refused, reply.Withheld, reply.AttemptsUnreplicated)
	fmt.Fprintf(out, "adopted here: %d in %d claimed partitions, %d of them ended\n", reply.AdoptionsStarted, reply.AdoptionClaims, reply.AdoptionsDone)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\treplica of partitions")
	for _, r := range reply.Replicas {
		fmt.Fprintf(w, "%s\t%d\n", r.Member, r.Partitions)
	}
	_ = w.Flush()
	for _, c := range reply.Claims {
		fmt.Fprintf(out, "%s (incarnation %s): %d partitions claimed by %s\n", c.Member, c.Incarnation, c.Partitions, c.Successor)
	}
	for _, o := range reply.Orphaned {
		fmt.Fprintf(out, "%s: %d open copies here whose owner is lost\n", o.Member, o.Copies)
	}
}
