package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

func zonesCommand() *cobra.Command {
	cmd := withSocket(&cobra.Command{Use: "zones", Short: "See and steer what goes from one zone to another", Args: args(1, 0),
		RunE: func(*cobra.Command, []string) error { return nil }})
	order := func(kind, usual, short, example string) *cobra.Command {
		c := &cobra.Command{Use: kind + " ZONE", Short: short, Args: args(1, 1), Example: example,
			RunE: func(cmd *cobra.Command, given []string) error {
				span, _ := cmd.Flags().GetString("for")
				why, _ := cmd.Flags().GetString("why")
				a, err := ask(cmd, "zones order", map[string]any{"kind": kind, "zone": given[0], "for": span, "why": why, "who": author()})
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "asked for, until %v; see: liftshift zones show\n", a["until"])
				}
				return err
			}}
		c.Flags().String("for", usual, "how long the order holds")
		c.Flags().String("why", "", "why, for those who look later")
		return c
	}
	cmd.AddCommand(
		&cobra.Command{Use: "show", Short: "How zones stand, what may go where, and this controller's part of it", Args: args(0, 0),
			Example: "  liftshift zones show --file office.hcl",
			RunE: func(cmd *cobra.Command, _ []string) error {
				a, err := ask(cmd, "zones", nil)
				if err != nil {
					return err
				}
				return show(cmd, a, zonesTable)
			}},
		&cobra.Command{Use: "explain", Short: "Why the latest plan is as it is, line by line, at the controller that leads", Args: args(0, 0),
			Example: "  liftshift zones explain --file office.hcl",
			RunE: func(cmd *cobra.Command, _ []string) error {
				a, err := ask(cmd, "zones", nil)
				if err != nil {
					return err
				}
				return show(cmd, a, func(out io.Writer, a map[string]any) {
					zonesLines(out, a)
					if lines, _ := a["lines"].([]any); len(lines) == 0 {
						fmt.Fprintf(out, "this controller makes no plans; %v leads\n", a["leader"])
					}
				})
			}},
		&cobra.Command{Use: "plan ZONE", Short: "What if a zone, or a region, were lost now", Args: args(1, 1),
			Example: "  liftshift zones plan kurume-2 --file office.hcl",
			RunE: func(cmd *cobra.Command, given []string) error {
				a, err := ask(cmd, "zones plan", map[string]any{"zone": given[0]})
				if err != nil {
					return err
				}
				return show(cmd, a, zonesLines)
			}},
		order("evacuate", "30m", "Have nothing new go to a zone, for a time", "  liftshift zones evacuate kurume-2 --for 45m --why \"new switches\" --file office.hcl"),
		order("hold", "30m", "Have a zone's return not go on, for a time", "  liftshift zones hold kurume-2 --for 10m --file office.hcl"),
		order("return", "", "End an evacuation or a hold; a lost zone that is in reach begins its return", "  liftshift zones return kurume-2 --file office.hcl"))
	return cmd
}

// zonesLines prints what is said line by line.
func zonesLines(out io.Writer, a map[string]any) {
	lines, _ := a["lines"].([]any)
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
}

func zonesTable(out io.Writer, a map[string]any) {
	fmt.Fprintf(out, "plan %v; %v leads the council; this controller holds its lease: %v\n", a["plan"], a["leader"], a["held"])
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "zone\tregion\tstate\tstage\tcores\tcontrollers\twhy")
	for _, z := range items(a["zones"]) {
		fmt.Fprintf(w, "%v\t%v\t%v\t%v\t%v\t%v\t%v\n", z["zone"], z["region"], z["state"], z["stage"], z["cores"], z["controllers"], z["why"])
	}
	_ = w.Flush()
	for _, p := range items(a["pairs"]) {
		fmt.Fprintf(out, "from %v to %v: %v threads at most, in %v parts\n", p["from"], p["to"], p["cap"], p["parts"])
	}
	for _, r := range items(a["reaches"]) {
		fmt.Fprintf(out, "from here to %v (tier %v): %v threads at most\n", r["zone"], r["tier"], r["threads"])
	}
	for _, r := range items(a["reports"]) {
		fmt.Fprintf(out, "%v: %v controllers report, their searches want %v threads\n", r["zone"], r["voices"], r["wants"])
	}
	for _, o := range items(a["orders"]) {
		fmt.Fprintf(out, "order: %v %v until %v, by %v %v\n", o["kind"], o["zone"], o["until"], o["author"], o["why"])
	}
}
