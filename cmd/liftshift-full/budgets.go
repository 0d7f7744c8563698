package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"liftshift/internal/adminapi"
	"liftshift/internal/operatorconfig"
)

// ask asks the controller whose socket --socket or the operators' file names.
func ask(cmd *cobra.Command, question string, fields map[string]any) (map[string]any, error) {
	path, _ := cmd.Flags().GetString("socket")
	if path == "" {
		name, _ := cmd.Flags().GetString("file")
		if name == "" {
			return nil, usage{errors.New("which controller? give --socket, or --file with a block control")}
		}
		file, err := operatorconfig.Read(name)
		if err != nil {
			return nil, err
		}
		if path = file.Control; path == "" {
			return nil, usage{fmt.Errorf("%s has no block control", name)}
		}
	}
	answer, err := adminapi.Call(cmd.Context(), path, question, fields)
	var wrong adminapi.RequestError
	if errors.As(err, &wrong) {
		return nil, usage{err}
	}
	return answer, err
}

func withSocket(cmd *cobra.Command) *cobra.Command {
	cmd.PersistentFlags().String("socket", "", "the controller's control socket")
	cmd.PersistentFlags().Bool("json", false, "print JSON")
	return cmd
}

func budgetsCommand() *cobra.Command {
	cmd := withSocket(&cobra.Command{
		Use: "budgets", Short: "See and set the budgets of a running controller",
		Args: args(1, 0), // a command of its own is needed
		RunE: func(*cobra.Command, []string) error { return nil },
	})
	set := &cobra.Command{
		Use: "set TEAM", Short: "Change a team's limits; with a store they last", Args: args(1, 1),
		Example: "  liftshift budgets set render --weight 2 --file office.hcl\n  liftshift budgets set render --searches 20 --socket /run/liftshift.sock",
		RunE: func(cmd *cobra.Command, given []string) error {
			fields := map[string]any{"team": given[0], "who": author()}
			for _, name := range limits {
				if flag := cmd.Flags().Lookup(name); flag.Changed {
					fields[limitFields[name]], _ = cmd.Flags().GetFloat64(name)
				}
			}
			if len(fields) == 2 {
				return usage{errors.New("nothing to set: see the flags")}
			}
			a, err := ask(cmd, "set", fields)
			if err != nil {
				return err
			}
			if a["lasts"] == true {
				fmt.Fprintln(cmd.OutOrStdout(), "set; it lasts")
			} else {
				fmt.Fprintln(cmd.OutOrStdout(), "set; it will not last through a restart, as there is no store")
			}
			return nil
		},
	}
	for _, name := range limits {
		set.Flags().Float64(name, 0, "new "+limitFields[name])
	}
	cmd.AddCommand(
		&cobra.Command{Use: "show", Short: "Who has what, and who borrows from whom", Args: args(0, 0),
			Example: "  liftshift budgets show --file office.hcl",
			RunE: func(cmd *cobra.Command, _ []string) error {
				a, err := ask(cmd, "budgets", nil)
				if err != nil {
					return err
				}
				return show(cmd, a, teamTable)
			}},
		&cobra.Command{Use: "explain REQ", Short: "Say why a search waits", Args: args(1, 1),
			Example: "  liftshift budgets explain 9b1f03aa5c7e2d41 --file office.hcl",
			RunE: func(cmd *cobra.Command, given []string) error {
				a, err := ask(cmd, "explain", map[string]any{"id": given[0]})
				if err != nil {
					return err
				}
				return show(cmd, a, func(out io.Writer, a map[string]any) { fmt.Fprintln(out, a["why"]) })
			}},
		set)
	return cmd
}

var (
	limits      = []string{"weight", "ceiling", "threads", "memory-mb", "searches", "queue"}
	limitFields = map[string]string{"weight": "weight", "ceiling": "ceiling", "threads": "threads", "memory-mb": "memory_mb",
		"searches": "searches", "queue": "queue"}
)

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func show(cmd *cobra.Command, a map[string]any, table func(io.Writer, map[string]any)) error {
	if asJSON, _ := cmd.Flags().GetBool("json"); asJSON {
		return printJSON(cmd.OutOrStdout(), a)
	}
	table(cmd.OutOrStdout(), a)
	return nil
}

func teamTable(out io.Writer, a map[string]any) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tqueued\tin hand\tthreads\tdue\tborrows\tlends\tpressed\toldest ms\twork ms\tstopped by\t")
	list, _ := a["teams"].([]any)
	for _, x := range list {
		t, _ := x.(map[string]any)
		fmt.Fprintf(w, "%v\t%v\t%v\t%.1f\t%.1f\t%.1f\t%.1f\t%v\t%.0f\t%.0f\t%v\t\n", t["team"], t["queued"], t["hand"], t["threads"], t["due"],
			t["borrows"], t["lends"], t["pressed"], t["oldest_ms"], t["work_ms"], t["blocked"])
	}
	_ = w.Flush()
	fmt.Fprintf(out, "queued %v, offered %v, for age %v, out of time %v, turned away %v, of nobody's team %v; longest wait %.0f ms; part %.2f\n",
		a["queued"], a["offered"], a["aged"], a["overdue"], a["overflow"], a["unknown"], a["longest_ms"], a["part"])
}

func waitsCommand() *cobra.Command {
	return withSocket(&cobra.Command{
		Use: "waits", Short: "Show how well the waits told to clients hold", Args: args(0, 0),
		Example: "  liftshift waits --file office.hcl",
		RunE: func(cmd *cobra.Command, _ []string) error {
			a, err := ask(cmd, "waits", nil)
			if err != nil {
				return err
			}
			return show(cmd, a, func(out io.Writer, a map[string]any) {
				w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
				fmt.Fprintln(w, "team\toffering\tstarts told\twithin\tends told\twithin\t")
				list, _ := a["waits"].([]any)
				for _, x := range list {
					t, _ := x.(map[string]any)
					fmt.Fprintf(w, "%v\t%v\t%v\t%v\t%v\t%v\t\n", t["team"], t["offering"], t["starts"], t["starts_kept"], t["ends"], t["ends_kept"])
				}
				_ = w.Flush()
			})
		},
	})
}

func topCommand() *cobra.Command {
	cmd := withSocket(&cobra.Command{
		Use: "top", Short: "Watch the budgets of a running controller", Args: args(0, 0),
		Long:    "Watch the budgets: on a terminal the view is drawn anew, into a pipe it goes on line by line.",
		Example: "  liftshift top --file office.hcl\n  liftshift top --every 10s --times 6 --file office.hcl > teams.txt",
		RunE: func(cmd *cobra.Command, _ []string) error {
			every, _ := cmd.Flags().GetDuration("every")
			times, _ := cmd.Flags().GetInt("times")
			if every < 100*time.Millisecond {
				return usage{errors.New("--every must be 100ms at least")}
			}
			terminal := false
			if info, err := os.Stdout.Stat(); err == nil {
				terminal = info.Mode()&os.ModeCharDevice != 0
			}
			for n := 0; times == 0 || n < times; n++ {
				if n > 0 {
					time.Sleep(every)
				}
				a, err := ask(cmd, "budgets", nil)
				if err != nil {
					return err
				}
				if terminal {
					fmt.Fprint(cmd.OutOrStdout(), "\x1b[H\x1b[2J")
				}
				fmt.Fprintln(cmd.OutOrStdout(), time.Now().Format(time.TimeOnly))
				if err := show(cmd, a, teamTable); err != nil {
					return err
				}
			}
			return nil
		},
	})
	cmd.Flags().Duration("every", time.Second, "time between two views")
	cmd.Flags().Int("times", 0, "how many views; 0: until Ctrl-C")
	return cmd
}
