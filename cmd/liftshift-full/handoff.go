package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"liftshift/internal/adminapi"
)

func handoffCommand() *cobra.Command {
	cmd := withControlFlags(groupCommand("handoff", "Show and control the handoff of open requests of lost controllers"))
	cmd.AddCommand(
		&cobra.Command{
			Use:     "show",
			Short:   "Show the copies that this controller keeps for others, the replicas and the adoption claims",
			Example: "  liftshift handoff show --file office.hcl",
			Args:    operandCount(0, 0),
			RunE:    runAndPrint(adminapi.OperationHandoff, printHandoff),
		},
		&cobra.Command{
			Use:     "explain REQ",
			Short:   "Show what this controller knows of a request, given its req or its opkey",
			Example: "  liftshift handoff explain 51b2e4 --file office.hcl",
			Args:    operandCount(1, 1),
			RunE: func(cmd *cobra.Command, operands []string) error {
				request := adminapi.NameRequest{Name: operands[0]}
				return callAndPrint(cmd, adminapi.OperationCopyExplain, request, printCopies)
			},
		},
		orderCommand("adopt NAME", "Make this controller adopt the unclaimed requests of a lost controller",
			"  liftshift handoff adopt n3 --file office.hcl",
			adminapi.OperationAdopt, "asked for; see: liftshift handoff show"),
		orderCommand("release REQ", "Give up a request of a lost controller: it counts as failed",
			"  liftshift handoff release 51b2e4 --file office.hcl",
			adminapi.OperationRelease,
			"given up, where it was kept here and its owner is lost; see: liftshift handoff explain"),
	)
	return cmd
}

// orderCommand returns a command that gives an order about its operand and then prints the text done.
func orderCommand(use, short, example, operation, done string) *cobra.Command {
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: example,
		Args:    operandCount(1, 1),
		RunE: func(cmd *cobra.Command, operands []string) error {
			request := adminapi.NameRequest{Name: operands[0], Author: currentUser()}
			if _, err := call[adminapi.Accepted](cmd, operation, request); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), done)
			return nil
		},
	}
}

func printCopies(out io.Writer, reply adminapi.CopiesReply) {
	for _, c := range reply.Copies {
		fmt.Fprintf(out, "request %s, idempotency key %s, class %s: %s\n"+
			"  owner %s (incarnation %s), sequence %d; outcome %s; %s",
			c.ID, c.IdempotencyKey, c.Class, c.State,
			c.Owner, c.Incarnation, c.Sequence, c.Outcome, c.RunState)
		if c.Zone != "" {
			fmt.Fprintf(out, ", in %s", c.Zone)
		}
		fmt.Fprintf(out, "; %s to its deadline; answer kept: %v\n", formatMS(c.LeftMS), c.AnswerKept)
	}
}

func printHandoff(out io.Writer, reply adminapi.HandoffReply) {
	placement := adminapi.PlacementSummary{}
	if reply.PlacementSummary != nil {
		placement = *reply.PlacementSummary
	}
	fmt.Fprintf(out, "%d copies wanted, %d of %d partitions settled; this controller holds its lease: %v\n",
		placement.CopiesWanted, placement.PartitionsSettled, placement.Partitions, reply.LeaseHeld)
	fmt.Fprintf(out, "copies here: %d, open %d; "+
		"received so far: %d = %d settled + %d adopted + %d failed + %d dropped + %d open\n",
		reply.CopiesStored, reply.Open,
		reply.CopiesReceived, reply.Settled, reply.Adopted, reply.Failed, reply.Dropped, reply.Open)
	fmt.Fprintf(out, "own requests: %d registered, %d waited for another's, %d answered from a copy, "+
		"%d rejected as too few replicas could be asked, %d attempts withheld, %d sent without replicas\n",
		reply.Registered, reply.Waited, reply.AnsweredFromCopy,
		reply.Refused, reply.Withheld, reply.AttemptsUnreplicated)
	fmt.Fprintf(out, "adopted here: %d in %d claimed partitions, %d of them ended\n",
		reply.AdoptionsStarted, reply.AdoptionClaims, reply.AdoptionsDone)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "member\treplica of partitions")
	for _, replica := range reply.Replicas {
		fmt.Fprintf(table, "%s\t%d\n", replica.Member, replica.Partitions)
	}
	_ = table.Flush()
	for _, claim := range reply.Claims {
		fmt.Fprintf(out, "%s (incarnation %s): %d partitions claimed by %s\n",
			claim.Member, claim.Incarnation, claim.Partitions, claim.Successor)
	}
	for _, orphaned := range reply.Orphaned {
		fmt.Fprintf(out, "%s: %d open copies here whose owner is lost\n", orphaned.Member, orphaned.Copies)
	}
}
