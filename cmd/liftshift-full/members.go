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

func councilCommand() *cobra.Command {
	cmd := withSocket(&cobra.Command{Use: "council", Short: "See what the fleet agrees on, and who votes", Args: args(1, 0),
		RunE: func(*cobra.Command, []string) error { return nil }})
	ask1 := func(table func(io.Writer, map[string]any)) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, _ []string) error {
			a, err := ask(cmd, "council", nil)
			if err != nil {
				return err
			}
			return show(cmd, a, table)
		}
	}
	cmd.AddCommand(
		&cobra.Command{Use: "show", Short: "Who leads, whose life is in, whose is lost, and this controller's lease", Args: args(0, 0),
			Example: "  liftshift council show --file office.hcl", RunE: ask1(councilTable)},
		&cobra.Command{Use: "voters", Short: "Who votes", Args: args(0, 0), Example: "  liftshift council voters --file office.hcl",
			RunE: ask1(func(out io.Writer, a map[string]any) {
				for _, v := range items(a["voters"]) {
					fmt.Fprintf(out, "%v  %v  zone %v\n", v["name"], v["phase"], v["zone"])
				}
			})},
		&cobra.Command{Use: "move FROM TO", Short: "Have one voter replaced by another; ask the member that leads", Args: args(2, 2),
			Example: "  liftshift council move n2 n5 --file office.hcl",
			RunE: func(cmd *cobra.Command, given []string) error {
				_, err := ask(cmd, "council move", map[string]any{"from": given[0], "to": given[1]})
				if err == nil {
					fmt.Fprintln(cmd.OutOrStdout(), "asked for; see: liftshift council voters")
				}
				return err
			}})
	return cmd
}

func councilTable(out io.Writer, a map[string]any) {
	fmt.Fprintf(out, "leader %v, term %v, %v entries agreed, %v kept; this member votes: %v, holds its lease: %v (%s left); lives declared lost: %v\n",
		a["leader"], a["term"], a["commit"], a["log"], a["voter"], a["held"], ms(a["lease_ms"]), a["declared"])
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "name\tlife\tterm\tstate")
	for _, p := range items(a["places"]) {
		state := "in"
		if p["left"] == true {
			state = "left"
		} else if p["lost"] == true {
			state = "lost"
		}
		fmt.Fprintf(w, "%v\t%v\t%v\t%s\n", p["name"], p["life"], p["term"], state)
	}
	_ = w.Flush()
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
