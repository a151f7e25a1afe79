package experimenter

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// Summary is a Row prepared for output. Latencies are in milliseconds.
	Summary struct {
		Load              string    `json:"load"`
		Policy            string    `json:"policy"`
		Runs              int       `json:"runs"`
		Preemptions       float64   `json:"preemptions"`
		EnginePreemptions float64   `json:"enginePreemptions"`
		StallSeconds      float64   `json:"stallSeconds"`
		FirstToken        Quantiles `json:"firstToken"`
		BetweenTokens     Quantiles `json:"betweenTokens"`
		TokensPerSecond   float64   `json:"tokensPerSecond"`
		Unfinished        float64   `json:"unfinished"`
	}

	// Quantiles holds quantiles of a latency, in milliseconds.
	Quantiles struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}
)

// WriteTable writes the rows as a Markdown table. Preemptions, stall time and
// throughput are means over the runs.
func WriteTable(w io.Writer, rows []Row) error {
	const head = "| load | policy | preemptions | by the engine | stall time s | first token p50/p95/p99 s |" +
		" between tokens p50/p95/p99 ms | tokens/s | unfinished |\n" +
		"| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n"
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for _, s := range Summaries(rows) {
		first, between := s.FirstToken, s.BetweenTokens
		_, err := fmt.Fprintf(w, "| %s | %s | %.1f | %.1f | %.1f | %.2f/%.2f/%.2f | %.1f/%.1f/%.1f | %.0f | %.1f |\n",
			s.Load, s.Policy, s.Preemptions, s.EnginePreemptions, s.StallSeconds,
			first.P50/1000, first.P95/1000, first.P99/1000, between.P50, between.P95, between.P99,
			s.TokensPerSecond, s.Unfinished)
		if err != nil {
			return err
		}
	}
	return nil
}

// Summaries returns the summaries of the rows.
func Summaries(rows []Row) []Summary {
	list := make([]Summary, 0, len(rows))
	for _, row := range rows {
		r := row.Result
		runs := float64(r.Runs)
		list = append(list, Summary{
			Load:              row.Load,
			Policy:            row.Policy,
			Runs:              r.Runs,
			Preemptions:       float64(r.Preemptions) / runs,
			EnginePreemptions: float64(r.EnginePreemptions) / runs,
			StallSeconds:      r.Stalled.Seconds() / runs,
			FirstToken:        quantilesOf(r.First),
			BetweenTokens:     quantilesOf(r.Between),
			TokensPerSecond:   r.Throughput(),
			Unfinished:        float64(r.Unfinished) / runs,
		})
	}
	return list
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}
