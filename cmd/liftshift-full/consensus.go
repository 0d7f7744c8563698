package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"liftshift/internal/adminapi"
)

func consensusCommand() *cobra.Command {
	cmd := withControlFlags(groupCommand("consensus", "Show the consensus group and its record, and replace voters"))
	cmd.AddCommand(
		&cobra.Command{
			Use:     "show",
			Short:   "Show the leader, the admitted and lost incarnations, and this controller's lease",
			Example: "  liftshift consensus show --file office.hcl",
			Args:    operandCount(0, 0),
			RunE:    runAndPrint(adminapi.OperationConsensus, printConsensus),
		},
		&cobra.Command{
			Use:     "voters",
			Short:   "Show the voters",
			Example: "  liftshift consensus voters --file office.hcl",
			Args:    operandCount(0, 0),
			RunE:    runAndPrint(adminapi.OperationConsensus, printVoters),
		},
		&cobra.Command{
			Use:     "move FROM TO",
			Short:   "Replace the voter FROM by the member TO; only the leader accepts this",
			Example: "  liftshift consensus move n2 n5 --file office.hcl",
			Args:    operandCount(2, 2),
			RunE: func(cmd *cobra.Command, operands []string) error {
				request := adminapi.ReplaceVoterRequest{From: operands[0], To: operands[1]}
				if _, err := call[adminapi.Accepted](cmd, adminapi.OperationReplaceVoter, request); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), "asked for; see: liftshift consensus voters")
				return nil
			},
		},
	)
	return cmd
}

func printVoters(out io.Writer, reply adminapi.ConsensusReply) {
	for _, voter := range reply.Voters {
		fmt.Fprintf(out, "%s  %s  zone %s\n", voter.Name, voter.State, voter.Zone)
	}
}

func printConsensus(out io.Writer, reply adminapi.ConsensusReply) {
	fmt.Fprintf(out, "leader %s, term %d, %d entries committed, %d in the log; "+
		"this member votes: %v, holds its lease: %v (%s left); incarnations declared lost: %d\n",
		reply.Leader, reply.Term, reply.Commit, reply.LogEntries,
		reply.Voter, reply.LeaseHeld, formatMS(reply.LeaseLeftMS), reply.DeclaredLost)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\tincarnation\tterm\tstate")
	for _, member := range reply.Members {
		state := "admitted"
		if member.LeftGracefully {
			state = "left"
		} else if member.Lost {
			state = "lost"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", member.Name, member.Incarnation, member.Term, state)
	}
	_ = table.Flush()
}
