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
	cmd := withSocket(&cobra.Command{
		Use: "members", Short: "See the cluster as a running controller sees it", Args: args(0, 0),
		Long: "See the cluster as a running controller sees it. The view is gossip, not agreed. On a terminal it is drawn anew\n" +
			"with --watch, into a pipe it goes on line by line.",
		Example: "  liftshift members --file office.hcl\n  liftshift members --watch 2s --file office.hcl",
		RunE:    watchMembers,
	})
	cmd.Flags().Duration("watch", 0, "draw it anew so often; 0: once")
	cmd.AddCommand(&cobra.Command{Use: "explain NAME", Short: "Say why a member is thought to be what it is", Args: args(1, 1),
		Example: "  liftshift members explain n3 --file office.hcl",
		RunE: func(cmd *cobra.Command, operands []string) error {
			return askAndShow(cmd, adminapi.QuestionMemberExplain, adminapi.NameRequest{Name: operands[0]}, evidenceTable)
		}})
	return cmd
}

func watchMembers(cmd *cobra.Command, _ []string) error {
	every, _ := cmd.Flags().GetDuration("watch")
	for n := 0; n == 0 || every > 0; n++ {
		if n > 0 {
			time.Sleep(max(every, shortestView))
		}
		reply, err := ask[adminapi.MembersReply](cmd, adminapi.QuestionMembers, adminapi.Empty{})
		if err != nil {
			return err
		}
		if every > 0 && isTerminal() {
			clearTerminal(cmd.OutOrStdout())
		}
		if err := show(cmd, reply, memberTable); err != nil {
			return err
		}
	}
	return nil
}

func evidenceTable(out io.Writer, reply adminapi.MemberExplanation) {
	fmt.Fprintf(out, "%s (incarnation %s, refutation %d) at %s: %s for %s\n", reply.Name, reply.Incarnation, reply.Refutation, reply.Address,
		reply.State, milliseconds(reply.InStateMS))
	for _, e := range reply.Evidence {
		fmt.Fprintf(out, "  %s ago: %s (%s)\n", milliseconds(e.AgoMS), e.Observation, e.Reporter)
	}
}

func memberTable(out io.Writer, reply adminapi.MembersReply) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\tstate\tfor\tflags\tzone\tregion\taddress\tincarnation")
	for _, m := range reply.Members {
		self := ""
		if m.Name == reply.Self {
			self = " (this one)"
		}
		fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, self, m.State, milliseconds(m.InStateMS), strings.Join(m.Flags, ","), m.Zone,
			m.Region, m.Address, m.Incarnation)
	}
	_ = w.Flush()
	fmt.Fprintf(out, "cluster %s: %v controllers count; own slowness %d; probes %d, unanswered %d\n", reply.Cluster, reply.Present, reply.Slowness,
		reply.Probes, reply.Unanswered)
}

// milliseconds shows a time.
func milliseconds(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
