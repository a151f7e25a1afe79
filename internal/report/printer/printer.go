// Package printer writes the burn report as text for a terminal.
package printer

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	"verbenareach/internal/report/assessor"
)

const legend = `
Times are those of 50, 95 and 99 in 100. Refused: for the contract's limits / for lack of room.
A burn of 1 spends the error budget exactly; 2 spends it twice as fast. ACT: someone should look now.
`

// Print writes the report, the most urgent series first.
func Print(w io.Writer, r assessor.Report) error {
	fmt.Fprintf(w, "Service-level burn at %s, from %s\n", r.At.Format("2006-01-02 15:04:05 MST"), plural(len(r.Entries), "entry", "entries"))
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, "Not counted, since they did not answer: %s\n", strings.Join(r.Missing, ", "))
	}
	if r.Partial {
		fmt.Fprintln(w, "Only the series that burn fastest are shown; name a workspace for all of its own.")
	}
	if len(r.Series) == 0 {
		_, err := fmt.Fprintln(w, "\nNothing has been counted yet.")
		return err
	}
	for _, s := range r.Series {
		if err := printSeries(w, s); err != nil {
			return err
		}
	}
	_, err := fmt.Fprint(w, legend)
	return err
}

// Duration formats a window's length in days, hours or minutes.
func Duration(d time.Duration) string {
	switch {
	case d >= 48*time.Hour:
		return fmt.Sprintf("%g d", d.Hours()/24)
	case d >= time.Hour:
		return fmt.Sprintf("%g h", d.Hours())
	}
	return fmt.Sprintf("%g min", d.Minutes())
}

// Goal describes the targets and the objective in words.
func Goal(t assessor.Targets) string {
	var parts []string
	if t.FirstTokenMillis > 0 {
		parts = append(parts, fmt.Sprintf("first token within %s", Millis(t.FirstTokenMillis)))
	}
	if t.BetweenTokensMillis > 0 {
		parts = append(parts, fmt.Sprintf("%s between tokens", Millis(t.BetweenTokensMillis)))
	}
	if len(parts) == 0 {
		return "no latency targets"
	}
	return fmt.Sprintf("%s for %g in 100", strings.Join(parts, ", "), math.Round(t.Objective*1e4)/100)
}

// Millis formats a time given in milliseconds, in seconds from 995 ms on.
func Millis(ms float64) string {
	switch {
	case ms >= 9950:
		return fmt.Sprintf("%.0f s", ms/1000)
	case ms >= 995:
		return fmt.Sprintf("%.1f s", ms/1000)
	case ms >= 9.95:
		return fmt.Sprintf("%.0f ms", ms)
	}
	return fmt.Sprintf("%.1f ms", ms)
}

// Budget formats the share of an error budget that is left.
func Budget(left float64) string {
	if left < 0 {
		return fmt.Sprintf("none (%s times spent)", Rate(1-left))
	}
	return fmt.Sprintf("%.0f%%", left*100)
}

func printSeries(w io.Writer, s assessor.Series) error {
	fmt.Fprintf(w, "\n%s  %s / %s  (%s)\n", strings.ToUpper(s.State), s.Workspace, s.Model, Goal(s.Targets))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "WINDOW\tREQUESTS\tFIRST TOKEN\tBURN\tBETWEEN TOKENS\tBURN\tSTALLS\tPREEMPTED\tINCOMPLETE\tREFUSED\tBURN\t")
	for _, win := range s.Windows {
		fmt.Fprintf(tw, "%s\t%d\t%s\t%s\t%s\t%d\t%d\t%d/%d\t%s\t\n",
			Duration(win.Length()), win.Requests, latency(win.FirstToken), latency(win.BetweenTokens), stalls(win),
			win.Preemptions, win.Incomplete, win.RefusedLimit, win.RefusedRoom, Rate(win.WholeBurn))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	b := s.BudgetLeft
	_, err := fmt.Fprintf(w, "  budget left over %s: first token %s; between tokens %s; whole answers %s\n",
		Duration(s.Windows[len(s.Windows)-1].Length()), Budget(b.FirstToken), Budget(b.BetweenTokens), Budget(b.Whole))
	return err
}

// Rate formats a burn, with one decimal below 9.95.
func Rate(burn float64) string {
	if burn >= 9.95 {
		return fmt.Sprintf("%.0f", burn)
	}
	return fmt.Sprintf("%.1f", burn)
}

func latency(l assessor.Latency) string {
	if l.Count == 0 {
		return "-\t-"
	}
	if l.P99 >= 9950 {
		return fmt.Sprintf("%.1f/%.1f/%.1f s\t%s", l.P50/1000, l.P95/1000, l.P99/1000, Rate(l.Burn))
	}
	return fmt.Sprintf("%.0f/%.0f/%.0f ms\t%s", l.P50, l.P95, l.P99, Rate(l.Burn))
}

func plural(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}

func stalls(w assessor.Window) string {
	if w.Stalls == 0 {
		return "0"
	}
	return fmt.Sprintf("%d (%s)", w.Stalls, Millis(w.StallSeconds*1000))
}
