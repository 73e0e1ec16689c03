package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"lichenhitch/rehearsal/catalog"
	"lichenhitch/rehearsal/model"
)

// modelFlags are the flags of rehearse model.
type modelFlags struct {
	catalog.Config
	workers    int
	memory     int64
	within     time.Duration
	maxStates  uint64
	maxDepth   int
	noLiveness bool
	json       string
	trace      string
	quiet      bool
}

func modelCommand() *cobra.Command {
	var f modelFlags
	cmd := &cobra.Command{
		Use:   "model",
		Short: "Visit every state of a model and check its properties",
		Long: `Visit every state of a model and check its properties.

The models: life, the life of queries in a world of gateways, clients and notices; core, the running code under a
stepped clock; connection, the same once connections stand; turns, rights to send and turns for work; upstream, writes
that travel up. See docs/operate/model.md.

Exit code: 0 all properties hold, 1 one is violated, 2 usage, 3 not complete.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.check(cmd.OutOrStdout(), cmd.ErrOrStderr()) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.Model, "model", "life", "life, core, connection, turns or upstream")
	flags.IntVar(&f.Gateways, "gateways", 0, "gateways in the fleet (0: the model's own choice)")
	flags.IntVar(&f.Attempts, "attempts", 0, "attempts that a query may have (0: the model's own choice)")
	flags.IntVar(&f.Clients, "clients", 0, "clients with one query each (0: the model's own choice)")
	flags.IntVar(&f.Notices, "notices", 0, "core: notices of discovery in one run (0: the model's own choice)")
	flags.IntVar(&f.Seeds, "seeds", 0, "core: seeds of the balancer's chance (0: the model's own choice)")
	flags.IntVar(&f.Lines, "lines", 0, "connection: lines that a client may send in one run (0: the model's own choice)")
	flags.StringVar(&f.Scenario, "scenario", "", "life, turns, upstream: this hard case, in every order; see rehearse model list")
	flags.StringVar(&f.Plant, "plant", "", "plant a bug into the model's copy of a rule; see rehearse model list")
	flags.BoolVar(&f.NoSymmetry, "no-symmetry", false, "keep apart what symmetry would take for one state")
	flags.IntVar(&f.workers, "workers", 0, "goroutines (0: one for each core)")
	flags.Int64Var(&f.memory, "memory", 8192, "MiB that the check may take")
	flags.DurationVar(&f.within, "within", 0, "time that the exploration may take (0: no bound)")
	flags.Uint64Var(&f.maxStates, "states", 0, "states to visit at most (0: no bound)")
	flags.IntVar(&f.maxDepth, "depth", 0, "steps from the start at most (0: no bound)")
	flags.BoolVar(&f.noLiveness, "no-liveness", false, "leave the promises out")
	flags.StringVar(&f.json, "json", "", "write the figures and verdicts to this file")
	flags.StringVar(&f.trace, "trace", "", "write the counterexample to this file (default MODEL.trace.json)")
	flags.BoolVar(&f.quiet, "quiet", false, "no progress")
	cmd.AddCommand(listCommand(), replayCommand())
	return cmd
}

// check runs one check and prints it.
func (f *modelFlags) check(out, errs io.Writer) error {
	if f.memory < 1 || f.memory > math.MaxInt64>>20 {
		return fmt.Errorf("--memory: %d MiB makes no sense", f.memory)
	}
	if f.workers < 0 || f.maxDepth < 0 || f.within < 0 {
		return fmt.Errorf("--workers, --depth and --within must not be negative")
	}
	job, err := catalog.Find(f.Config)
	if err != nil {
		return err
	}
	opt := model.Options{Workers: f.workers, MemoryLimit: f.memory << 20, MaxStates: f.maxStates, MaxDepth: f.maxDepth,
		TimeLimit: f.within, NoLiveness: f.noLiveness}
	if !f.quiet {
		opt.Progress = func(p model.Progress) { fmt.Fprintln(errs, progressLine(p)) }
	}
	fmt.Fprintln(out, job.Title())
	res, err := job.Check(opt)
	if err != nil {
		return err
	}
	printResult(out, res)
	if f.json != "" {
		if err := writeJSON(f.json, res); err != nil {
			return err
		}
	}
	if res.Trace != nil {
		file := f.trace
		if file == "" {
			file = res.Config.Model + ".trace.json"
		}
		if err := writeJSON(file, res.Trace); err != nil {
			return err
		}
		fmt.Fprintf(out, "\ntrace written to %s", file)
		if catalog.Replays(res.Config.Model) {
			fmt.Fprintf(out, "; show it on the running code: rehearse model replay %s", file)
		}
		fmt.Fprintln(out)
		return verdict(exitViolated)
	}
	if !res.Complete {
		return verdict(exitPartial)
	}
	return nil
}

func progressLine(p model.Progress) string {
	if p.Phase == "liveness" {
		return fmt.Sprintf("%7.1fs  %s states; checking the promises, %d MiB", p.Elapsed.Seconds(), grouped(p.States), p.Bytes>>20)
	}
	return fmt.Sprintf("%7.1fs  depth %d, %s states (%s/s), %s steps, %s left here, %s found beyond, %d MiB", p.Elapsed.Seconds(),
		p.Depth, grouped(p.States), grouped(uint64(float64(p.States)/p.Elapsed.Seconds())), grouped(p.Transitions),
		grouped(p.Unexpanded), grouped(p.Frontier), p.Bytes>>20)
}

// grouped writes a number with a thin mark between thousands.
func grouped(n uint64) string {
	s := fmt.Sprint(n)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

func printResult(out io.Writer, r *catalog.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row("states", "%s", grouped(r.States))
	row("steps", "%s", grouped(r.Transitions))
	row("depth", "%d (widest: %s states)", r.Depth, grouped(r.Widest))
	row("time", "%.1f s, promises %.1f s more; %d workers", r.Seconds, r.LiveSeconds, r.Workers)
	row("states/s", "%s", grouped(uint64(r.StatesPerSecond)))
	row("peak memory", "%d MiB", r.PeakBytes>>20)
	row("missed", "a state was taken for another with probability below %.1e", r.Missed)
	_ = w.Flush()
	fmt.Fprintln(out)
	for _, f := range r.Properties {
		fmt.Fprintf(out, "%-9s %s\n", f.Verdict, f.Name)
	}
	if r.Complete {
		for _, s := range r.NotSeen {
			fmt.Fprintf(out, "not seen  %s\n", s)
		}
	}
	fmt.Fprintln(out)
	switch {
	case r.Trace != nil:
		fmt.Fprintf(out, "VIOLATED: %s\n\n", r.Trace.Property)
		printTimeline(out, r.Trace)
	case r.Complete:
		fmt.Fprintln(out, "complete")
	default:
		fmt.Fprintf(out, "NOT complete: %s\n", r.Stopped)
	}
}

func printTimeline(out io.Writer, t *catalog.Trace) {
	for i, s := range t.Steps {
		if t.Loop == i {
			fmt.Fprintln(out, "      from here on, again and again:")
		}
		fmt.Fprintf(out, "%4d  %s\n", i+1, s.Text)
	}
	switch {
	case t.Loop >= 0 && t.Loop == len(t.Steps):
		fmt.Fprintln(out, "      and so it stays")
	case t.Loop >= 0:
		fmt.Fprintf(out, "      and back to after step %d\n", t.Loop)
	}
}

func writeJSON(file string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

func listCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the models, their scenarios and the bugs that can be planted",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, e := range catalog.Entries() {
				fmt.Fprintf(w, "model %s\t%s\n", e.Name, e.About)
				for _, s := range e.Scenarios {
					fmt.Fprintf(w, "  --scenario %s\t%s\n", s.Name, s.About)
				}
				for _, p := range e.Plants {
					about := p.About
					if p.Scenario != "" {
						about += " (found in " + p.Scenario + ")"
					}
					fmt.Fprintf(w, "  --plant %s\t%s\n", p.Name, about)
				}
			}
			return w.Flush()
		},
	}
}

func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay TRACE",
		Short: "Drive the running code through a counterexample",
		Long: `Drive the running code through a counterexample: the real query core, with what the trace's balancer decided.

Exit code: 0 the running code keeps all rules, 1 it shows the break, 2 usage.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			t, err := catalog.ParseTrace(text)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			rep, err := catalog.Replay(t)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			out := cmd.OutOrStdout()
			for _, l := range rep.Lines {
				fmt.Fprintln(out, l)
			}
			if len(rep.Broken) == 0 {
				fmt.Fprintln(out, "\nthe running code keeps all rules here")
				return nil
			}
			fmt.Fprintln(out, "\nBROKEN by the running code:")
			for _, b := range rep.Broken {
				fmt.Fprintln(out, "  "+b)
			}
			return verdict(exitViolated)
		},
	}
}
