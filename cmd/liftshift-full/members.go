package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"liftshift/internal/adminapi"
)

func membersCommand() *cobra.Command {
	cmd := withControlFlags(&cobra.Command{
		Use:   "members",
		Short: "Show the cluster as a running controller sees it",
		Long: "Show the cluster as a running controller sees it. The view is spread by gossip; the consensus group does\n" +
			"not agree on it. --watch redraws it on a terminal, and appends to a pipe.",
		Example: "  liftshift members --file office.hcl\n  liftshift members --watch 2s --file office.hcl",
		Args:    operandCount(0, 0),
		RunE:    watchMembers,
	})
	cmd.Flags().Duration("watch", 0, "time between two views; 0: print one")
	cmd.AddCommand(&cobra.Command{
		Use:     "explain NAME",
		Short:   "Show the observations behind a member's state",
		Example: "  liftshift members explain n3 --file office.hcl",
		Args:    operandCount(1, 1),
		RunE: func(cmd *cobra.Command, operands []string) error {
			request := adminapi.NameRequest{Name: operands[0]}
			return callAndPrint(cmd, adminapi.OperationMemberExplain, request, printEvidence)
		},
	})
	return cmd
}

func watchMembers(cmd *cobra.Command, _ []string) error {
	interval, _ := cmd.Flags().GetDuration("watch")
	for n := 0; n == 0 || interval > 0; n++ {
		if n > 0 {
			time.Sleep(max(interval, minRefreshInterval))
		}
		reply, err := call[adminapi.MembersReply](cmd, adminapi.OperationMembers, adminapi.Empty{})
		if err != nil {
			return err
		}
		if interval > 0 && isTerminal() {
			clearTerminal(cmd.OutOrStdout())
		}
		if err := printReply(cmd, reply, printMembers); err != nil {
			return err
		}
	}
	return nil
}

func printEvidence(out io.Writer, reply adminapi.MemberExplanation) {
	fmt.Fprintf(out, "%s (incarnation %s, refutation %d) at %s: %s for %s\n",
		reply.Name, reply.Incarnation, reply.Refutation, reply.Address, reply.State, formatMS(reply.InStateMS))
	for _, evidence := range reply.Evidence {
		fmt.Fprintf(out, "  %s ago: %s (%s)\n", formatMS(evidence.AgoMS), evidence.Observation, evidence.Reporter)
	}
}

func printMembers(out io.Writer, reply adminapi.MembersReply) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "member\tstate\tfor\tflags\tzone\tregion\taddress\tincarnation")
	for _, m := range reply.Members {
		self := ""
		if m.Name == reply.Self {
			self = " (this one)"
		}
		fmt.Fprintf(table, "%s%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, self, m.State,
			formatMS(m.InStateMS), strings.Join(m.Flags, ","), m.Zone, m.Region, m.Address, m.Incarnation)
	}
	_ = table.Flush()
	fmt.Fprintf(out, "cluster %s: %v controllers count; own slowness %d; probes %d, unanswered %d\n",
		reply.Cluster, reply.Present, reply.Slowness, reply.Probes, reply.Unanswered)
}

// formatMS formats a time in milliseconds, rounded to tenths of a second.
func formatMS(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
