package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

func membersCommand() *cobra.Command {
	cmd := withSocket(&cobra.Command{
		Use: "members", Short: "See the fleet as a running controller sees it", Args: args(0, 0),
		Long: "See the fleet as a running controller sees it. What it holds is heard, not agreed. On a terminal the view is drawn anew\n" +
			"with --watch, into a pipe it goes on line by line.",
		Example: "  liftshift members --file office.hcl\n  liftshift members --watch 2s --file office.hcl",
		RunE: func(cmd *cobra.Command, _ []string) error {
			every, _ := cmd.Flags().GetDuration("watch")
			for n := 0; n == 0 || every > 0; n++ {
				if n > 0 {
					time.Sleep(max(every, 100*time.Millisecond))
				}
				a, err := ask(cmd, "members", nil)
				if err != nil {
					return err
				}
				if info, err := os.Stdout.Stat(); every > 0 && err == nil && info.Mode()&os.ModeCharDevice != 0 {
					fmt.Fprint(cmd.OutOrStdout(), "\x1b[H\x1b[2J")
				}
				if err := show(cmd, a, memberTable); err != nil {
					return err
				}
			}
			return nil
		},
	})
	cmd.Flags().Duration("watch", 0, "draw it anew so often; 0: once")
	cmd.AddCommand(&cobra.Command{Use: "explain NAME", Short: "Say why a member is thought to be what it is", Args: args(1, 1),
		Example: "  liftshift members explain n3 --file office.hcl",
		RunE: func(cmd *cobra.Command, given []string) error {
			a, err := ask(cmd, "members explain", map[string]any{"name": given[0]})
			if err != nil {
				return err
			}
			return show(cmd, a, func(out io.Writer, a map[string]any) {
				fmt.Fprintf(out, "%v (life %v, incarnation %v) at %v: %v for %s\n", a["name"], a["life"], a["incarnation"], a["address"], a["phase"],
					ms(a["for_ms"]))
				for _, x := range items(a["evidence"]) {
					fmt.Fprintf(out, "  %s ago: %v (%v)\n", ms(x["ago_ms"]), x["what"], x["who"])
				}
			})
		}})
	return cmd
}

// items gives the objects of a list.
func items(v any) (list []map[string]any) {
	all, _ := v.([]any)
	for _, x := range all {
		if m, ok := x.(map[string]any); ok {
			list = append(list, m)
		}
	}
	return list
}

// ms shows a time told in ms.
func ms(v any) string {
	n, _ := v.(float64)
	return (time.Duration(n) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func memberTable(out io.Writer, a map[string]any) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\tphase\tfor\tmarks\tzone\tregion\taddress\tlife")
	for _, m := range items(a["members"]) {
		var marks []string
		list, _ := m["marks"].([]any)
		for _, x := range list {
			marks = append(marks, fmt.Sprint(x))
		}
		self := ""
		if m["name"] == a["self"] {
			self = " (this one)"
		}
		fmt.Fprintf(w, "%v%s\t%v\t%s\t%s\t%v\t%v\t%v\t%v\n", m["name"], self, m["phase"], ms(m["for_ms"]), strings.Join(marks, ","), m["zone"],
			m["region"], m["address"], m["life"])
	}
	_ = w.Flush()
	fmt.Fprintf(out, "fleet %v: %v to go by; own slowness %v; probes %v, unanswered %v\n", a["fleet"], a["present"], a["slow"], a["probes"], a["unanswered"])
}
