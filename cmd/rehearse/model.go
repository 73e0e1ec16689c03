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
	memoryMiB  int64
	timeLimit  time.Duration
	maxStates  uint64
	maxDepth   int
	noLiveness bool
	jsonFile   string
	traceFile  string
	quiet      bool
}

func modelCommand() *cobra.Command {
	var f modelFlags
	cmd := &cobra.Command{
		Use:   "model",
		Short: "Visit every state of a model and check its properties",
		Long: `Visit every state of a model and check its properties.

The models: life, the lifecycle of requests in an environment of gateways, clients and notices; core, the running code
with a simulated clock; connection, the same with established connections; turns, send leases and turns (permissions to
do maintenance on a host); upstream, writes sent up to parent sites. See docs/operate/model.md.

Exit code: 0 all properties hold, 1 one is violated, 2 usage error, 3 not complete.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.check(cmd.OutOrStdout(), cmd.ErrOrStderr()) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.Model, "model", "life", "life, core, connection, turns or upstream")
	flags.IntVar(&f.Gateways, "gateways", 0, "gateways in the fleet (0: the model's default)")
	flags.IntVar(&f.Attempts, "attempts", 0, "attempts that a request may have (0: the model's default)")
	flags.IntVar(&f.Clients, "clients", 0, "clients with one request each (0: the model's default)")
	flags.IntVar(&f.Notices, "notices", 0, "core, connection: notices of discovery in one run (0: the model's default)")
	flags.IntVar(&f.Seeds, "seeds", 0, "core, connection: number of seeds of the balancer's random choices (0: the model's default)")
	flags.IntVar(&f.Lines, "lines", 0, "connection: lines that a client may send in one run (0: the model's default)")
	flags.StringVar(&f.Scenario, "scenario", "", "life, turns, upstream: explore this scenario only; see rehearse model list")
	flags.StringVar(&f.Bug, "plant", "", "inject this bug into the model; see rehearse model list")
	flags.BoolVar(&f.NoSymmetry, "no-symmetry", false, "do not treat symmetric states as one")
	flags.IntVar(&f.workers, "workers", 0, "goroutines (0: one for each CPU core)")
	flags.Int64Var(&f.memoryMiB, "memory", 8192, "MiB of memory that the check may use")
	flags.DurationVar(&f.timeLimit, "within", 0, "time that the exploration may take (0: no bound)")
	flags.Uint64Var(&f.maxStates, "states", 0, "states to visit at most (0: no bound)")
	flags.IntVar(&f.maxDepth, "depth", 0, "steps from the initial state at most (0: no bound)")
	flags.BoolVar(&f.noLiveness, "no-liveness", false, "do not check the liveness properties")
	flags.StringVar(&f.jsonFile, "json", "", "write the numbers and verdicts to this file")
	flags.StringVar(&f.traceFile, "trace", "", "write the counterexample to this file (default MODEL.trace.json)")
	flags.BoolVar(&f.quiet, "quiet", false, "do not print progress")
	cmd.AddCommand(listCommand(), replayCommand())
	return cmd
}

// check runs one check and prints its outcome.
func (f *modelFlags) check(out, progress io.Writer) error {
	if f.memoryMiB < 1 || f.memoryMiB > math.MaxInt64>>20 {
		return fmt.Errorf("--memory: %d MiB makes no sense", f.memoryMiB)
	}
	if f.workers < 0 || f.maxDepth < 0 || f.timeLimit < 0 {
		return fmt.Errorf("--workers, --depth and --within must not be negative")
	}
	job, err := catalog.Prepare(f.Config)
	if err != nil {
		return err
	}
	opt := model.Options{Workers: f.workers, MemoryLimit: f.memoryMiB << 20, MaxStates: f.maxStates, MaxDepth: f.maxDepth,
		TimeLimit: f.timeLimit, NoLiveness: f.noLiveness}
	if !f.quiet {
		opt.Progress = func(p model.Progress) { fmt.Fprintln(progress, progressLine(p)) }
	}
	fmt.Fprintln(out, job.Title())
	res, err := job.Check(opt)
	if err != nil {
		return err
	}
	printResult(out, res)
	if f.jsonFile != "" {
		if err := writeJSON(f.jsonFile, res); err != nil {
			return err
		}
	}
	if res.Trace != nil {
		file := f.traceFile
		if file == "" {
			file = res.Config.Model + ".trace.json"
		}
		if err := writeJSON(file, res.Trace); err != nil {
			return err
		}
		fmt.Fprintf(out, "\ntrace written to %s", file)
		if catalog.Replays(res.Config.Model) {
			fmt.Fprintf(out, "; replay it on the running code: rehearse model replay %s", file)
		}
		fmt.Fprintln(out)
		return exitCode(exitViolated)
	}
	if !res.Complete {
		return exitCode(exitPartial)
	}
	return nil
}

func progressLine(p model.Progress) string {
	if p.Phase == "liveness" {
		return fmt.Sprintf("%7.1fs  %s states; checking the liveness properties, %d MiB", p.Elapsed.Seconds(),
			withSeparators(p.States), p.Bytes>>20)
	}
	return fmt.Sprintf("%7.1fs  depth %d, %s states (%s/s), %s steps, %s not yet expanded at this depth, %s found at the next, %d MiB",
		p.Elapsed.Seconds(), p.Depth, withSeparators(p.States), withSeparators(uint64(float64(p.States)/p.Elapsed.Seconds())),
		withSeparators(p.Transitions), withSeparators(p.Unexpanded), withSeparators(p.Frontier), p.Bytes>>20)
}

// withSeparators formats a number with commas between thousands.
func withSeparators(n uint64) string {
	s := fmt.Sprint(n)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

func printResult(out io.Writer, r *catalog.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row("states", "%s", withSeparators(r.States))
	row("steps", "%s", withSeparators(r.Transitions))
	row("depth", "%d (widest level: %s states)", r.Depth, withSeparators(r.Widest))
	row("time", "%.1f s, liveness %.1f s more; %d workers", r.Seconds, r.LivenessSeconds, r.Workers)
	row("states/s", "%s", withSeparators(uint64(r.StatesPerSecond)))
	row("peak memory", "%d MiB", r.PeakBytes>>20)
	row("missed", "probability that a state was mistaken for another is below %.1e", r.OmissionProbability)
	_ = w.Flush()
	fmt.Fprintln(out)
	for _, property := range r.Properties {
		fmt.Fprintf(out, "%-9s %s\n", property.Verdict, property.Name)
	}
	if r.Complete {
		for _, goal := range r.NotCovered {
			fmt.Fprintf(out, "not seen  %s\n", goal)
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
		fmt.Fprintf(out, "NOT complete: %s\n", r.StopReason)
	}
}

func printTimeline(out io.Writer, t *catalog.Trace) {
	for i, s := range t.Steps {
		if t.Loop == i {
			fmt.Fprintln(out, "      the steps from here on repeat forever:")
		}
		fmt.Fprintf(out, "%4d  %s\n", i+1, s.Text)
	}
	switch {
	case t.Loop >= 0 && t.Loop == len(t.Steps):
		fmt.Fprintln(out, "      and nothing changes from here on")
	case t.Loop >= 0:
		fmt.Fprintf(out, "      and back to the state after step %d\n", t.Loop)
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
		Short: "List the models, their scenarios and the bugs that can be injected",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, e := range catalog.Entries() {
				fmt.Fprintf(w, "model %s\t%s\n", e.Name, e.About)
				for _, s := range e.Scenarios {
					fmt.Fprintf(w, "  --scenario %s\t%s\n", s.Name, s.About)
				}
				for _, p := range e.Bugs {
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
		Short: "Replay a counterexample on the running code",
		Long: `Replay a counterexample on the running code: the real query core, with the balancer's decisions of the trace.

Exit code: 0 the running code keeps all rules, 1 it violates one, 2 usage error.`,
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
			if len(rep.Violations) == 0 {
				fmt.Fprintln(out, "\nthe running code keeps all rules here")
				return nil
			}
			fmt.Fprintln(out, "\nBROKEN by the running code:")
			for _, b := range rep.Violations {
				fmt.Fprintln(out, "  "+b)
			}
			return exitCode(exitViolated)
		},
	}
}
