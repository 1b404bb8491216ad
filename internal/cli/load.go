package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"topazmoor/internal/caller"
	"topazmoor/internal/pipeline"
)

// loadCmd sends requests at a fixed rate, whatever the answers do (open loop).
type loadCmd struct {
	Nodes     []string      `arg:"--nodes,separate,required" placeholder:"ADDR" help:"IP:port of the caller listeners, used in turn"`
	TokenFile string        `arg:"--token-file,required" placeholder:"FILE" help:"file with the account's token"`
	Pipeline  string        `arg:"--pipeline,required"`
	Class     []string      `arg:"--class,separate" help:"priority classes to send, in turn (default: the pipeline's)"`
	Rate      float64       `arg:"--rate" default:"10" help:"requests a second"`
	For       time.Duration `arg:"--for" default:"10s" help:"how long to send"`
	Deadline  time.Duration `arg:"--deadline" help:"deadline of each request (default: the pipeline's)"`
	Input     string        `arg:"--input" default:"load test" help:"input of each request"`
	Stream    bool          `arg:"--stream" help:"ask for a stream of tokens"`
	Keys      bool          `arg:"--keys" help:"give each request a key of its own"`
}

const (
	// maxInFlight bounds the requests without an answer; more are counted as
	// not sent.
	maxInFlight = 10_000
	// histogramMax and histogramDigits set the range (1 us to 5 min) and the
	// precision of the latency histograms.
	histogramMax    = int64(5 * time.Minute / time.Microsecond)
	histogramDigits = 3
	// waitAfter is how long answers are waited for after the last request.
	waitAfter = time.Minute
)

// LoadReport is the output of load.
type LoadReport struct {
	Sent    int                     `json:"sent"`
	Skipped int                     `json:"skipped"`
	Classes map[string]*ClassReport `json:"classes"`
	// Stages is the cost by stage per answered request.
	Stages map[string]*StageReport `json:"stages"`
}

// ClassReport describes the requests of one priority class.
type ClassReport struct {
	Sent int `json:"sent"`
	// Met were answered completely within their deadline.
	Met        int            `json:"met"`
	Attainment float64        `json:"attainment_percent"`
	Refused    map[string]int `json:"refused"`
	NoAnswer   int            `json:"no_answer"`
	LatencyMS  Quantiles      `json:"latency_ms"`
	FirstMS    Quantiles      `json:"first_token_ms"`
	GapMS      Quantiles      `json:"token_gap_ms"`

	latency, first, gap *hdrhistogram.Histogram
}

// Quantiles of a time, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// StageReport is the cost of one stage.
type StageReport struct {
	TargetMSPerAnswer float64 `json:"target_ms_per_answer"`
	WastedMSPerAnswer float64 `json:"wasted_ms_per_answer"`
	TokensPerAnswer   float64 `json:"tokens_per_answer"`

	target, wasted float64
	tokens         int
}

// loadRun is a running load.
type loadRun struct {
	mu       sync.Mutex
	report   LoadReport
	answered int
}

func (l *loadCmd) run(ctx context.Context, c *console) error {
	if l.Rate <= 0 {
		return usage(eris.New("--rate: write a number above zero"))
	}
	token, err := readToken(l.TokenFile)
	if err != nil {
		return usage(err)
	}
	if len(l.Class) == 0 {
		l.Class = []string{""}
	}
	run := &loadRun{report: LoadReport{Classes: make(map[string]*ClassReport), Stages: make(map[string]*StageReport)}}
	l.send(ctx, run, token)
	rep := run.finish()
	return c.print(rep, func(w io.Writer) { printLoad(w, rep) })
}

// send starts requests on schedule and waits for their answers.
func (l *loadCmd) send(ctx context.Context, run *loadRun, token string) {
	cl := caller.New((&net.Dialer{Timeout: dialTimeout}).DialContext)
	defer cl.Close()
	reqCtx, cancel := context.WithTimeout(ctx, l.For+waitAfter)
	defer cancel()
	slots := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	start := time.Now()
	total := int(l.Rate * l.For.Seconds())
	for i := range total {
		due := start.Add(time.Duration(float64(i) / l.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-time.After(time.Until(due)):
		}
		select {
		case slots <- struct{}{}:
		default:
			run.skip()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			class := l.Class[i%len(l.Class)]
			res, err := cl.Run(reqCtx, l.request(i, token, class))
			// Measured from the time it was due: a late start is the load
			// generator's or the system's delay, not a gain.
			run.note(class, res, err, time.Since(due))
		})
	}
	wg.Wait()
}

func (l *loadCmd) request(i int, token, class string) caller.Request {
	q := caller.Request{
		Addr: l.Nodes[i%len(l.Nodes)], Token: token, Pipeline: l.Pipeline, Input: l.Input,
		Class: class, Deadline: l.Deadline, Stream: l.Stream,
	}
	if l.Keys {
		q.Key = newID()
	}
	return q
}

func (r *loadRun) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Skipped++
}

func (r *loadRun) class(name string) *ClassReport {
	if name == "" {
		name = "default"
	}
	c := r.report.Classes[name]
	if c == nil {
		newHist := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
		c = &ClassReport{Refused: make(map[string]int), latency: newHist(), first: newHist(), gap: newHist()}
		r.report.Classes[name] = c
	}
	return c
}

func (r *loadRun) note(class string, res *caller.Result, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	c := r.class(class)
	c.Sent++
	switch {
	case err != nil:
		c.NoAnswer++
	case res.Problem != nil:
		c.Refused[string(res.Problem.Code)]++
		r.cost(res.Problem.Stages)
	default:
		r.answer(c, res, took)
	}
}

func (r *loadRun) answer(c *ClassReport, res *caller.Result, took time.Duration) {
	r.answered++
	if res.Reply.DeadlineMet {
		c.Met++
	}
	record(c.latency, took)
	if res.TimeToFirstToken > 0 {
		record(c.first, res.TimeToFirstToken)
	}
	for _, g := range res.TokenGaps {
		record(c.gap, g)
	}
	r.cost(res.Reply.Stages)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value out of range counts as the largest.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func (r *loadRun) cost(stages []pipeline.StageCost) {
	for _, s := range stages {
		st := r.report.Stages[s.Stage]
		if st == nil {
			st = &StageReport{}
			r.report.Stages[s.Stage] = st
		}
		st.target += s.TargetMS
		st.wasted += s.WastedMS
		st.tokens += s.Tokens
	}
}

func (r *loadRun) finish() LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.report.Classes {
		c.Attainment = 100 * float64(c.Met) / float64(max(c.Sent, 1))
		c.LatencyMS, c.FirstMS, c.GapMS = quantiles(c.latency), quantiles(c.first), quantiles(c.gap)
	}
	n := float64(max(r.answered, 1))
	for _, s := range r.report.Stages {
		s.TargetMSPerAnswer, s.WastedMSPerAnswer, s.TokensPerAnswer = s.target/n, s.wasted/n, float64(s.tokens)/n
	}
	return r.report
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

func printLoad(out io.Writer, rep LoadReport) {
	fmt.Fprintf(out, "sent %d, not sent for lack of room %d\n", rep.Sent, rep.Skipped)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CLASS\tSENT\tMET\tATTAINMENT %\tNO ANSWER\tREFUSED\tP50 MS\tP95 MS\tP99 MS")
	for _, name := range sortedNames(rep.Classes) {
		c := rep.Classes[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%d\t%v\t%.1f\t%.1f\t%.1f\n", name, c.Sent, c.Met, c.Attainment, c.NoAnswer,
			c.Refused, c.LatencyMS.P50, c.LatencyMS.P95, c.LatencyMS.P99)
	}
	fmt.Fprintln(w, "STAGE\tTARGET MS\tWASTED MS\tTOKENS (per answer)")
	for _, name := range sortedNames(rep.Stages) {
		s := rep.Stages[name]
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\n", name, s.TargetMSPerAnswer, s.WastedMSPerAnswer, s.TokensPerAnswer)
	}
	w.Flush()
}

func sortedNames[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
