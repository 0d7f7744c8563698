package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"liftshift/internal/adminapi"
)

func consensusCommand() *cobra.Command {
	cmd := withSocket(group("consensus", "See what the cluster agrees on, and who votes"))
	cmd.AddCommand(
		&cobra.Command{Use: "show", Short: "Who leads, which incarnations are admitted and lost, and this controller's lease", Args: args(0, 0),
			Example: "  liftshift consensus show --file office.hcl", RunE: showReply(adminapi.QuestionConsensus, consensusTable)},
		&cobra.Command{Use: "voters", Short: "Who votes", Args: args(0, 0), Example: "  liftshift consensus voters --file office.hcl",
			RunE: showReply(adminapi.QuestionConsensus, voterTable)},
		&cobra.Command{Use: "move FROM TO", Short: "Have one voter replaced by another; ask the member that leads", Args: args(2, 2),
			Example: "  liftshift consensus move n2 n5 --file office.hcl",
			RunE: func(cmd *cobra.Command, operands []string) error {
				request := adminapi.ReplaceVoterRequest{From: operands[0], To: operands[1]}
				if _, err := ask[adminapi.Accepted](cmd, adminapi.QuestionReplaceVoter, request); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), "asked for; see: liftshift consensus voters")
				return nil
			}})
	return cmd
}

func voterTable(out io.Writer, reply adminapi.ConsensusReply) {
	for _, v := range reply.Voters {
		fmt.Fprintf(out, "%s  %s  zone %s\n", v.Name, v.State, v.Zone)
	}
}

func consensusTable(out io.Writer, reply adminapi.ConsensusReply) {
	fmt.Fprintf(out, "leader %s, term %d, %d entries committed, %d in the log; this member votes: %v, holds its lease: %v (%s left); incarnations declared lost: %d\n",
		reply.Leader, reply.Term, reply.Commit, reply.LogEntries, reply.Voter, reply.LeaseHeld, milliseconds(reply.LeaseLeftMS), reply.DeclaredLost)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "name\tincarnation\tterm\tstate")
	for _, m := range reply.Members {
		state := "admitted"
		if m.LeftGracefully {
			state = "left"
		} else if m.Lost {
			state = "lost"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", m.Name, m.Incarnation, m.Term, state)
	}
	_ = w.Flush()
}
