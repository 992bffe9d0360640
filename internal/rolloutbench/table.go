package rolloutbench

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Row holds the totals of one kind under one policy at one rate.
type Row struct {
	Policy Policy
	Kind   Kind
	// Rate is 0 for all rates together.
	Rate Rate
	Runs int
	// OnTime counts runs without a revert in which all traffic had moved by the
	// deadline.
	OnTime int
	// Kept counts runs that ended with the candidate in service.
	Kept     int
	Reverted int
	Before   Exposure
	After    Exposure
	// WorstShare is the largest share that the candidate got, in one run, of
	// all requests from the start to the last one sent to it.
	WorstShare float64
	// delays holds the times from the first evidence to the last request to the
	// candidate, over the reverted runs.
	delays                        []time.Duration
	LateRequests, AfterOwnVerdict int
	MaxInFlight                   int
}

// Tabulate returns the totals of the results at a rate, or at all rates if rate
// is 0.
func Tabulate(p Policy, k Kind, rate Rate, rs []Result) Row {
	row := Row{Policy: p, Kind: k, Rate: rate}
	for i := range rs {
		if rate == 0 || rs[i].Scenario.Rate == rate {
			row.add(&rs[i])
		}
	}
	slices.Sort(row.delays)
	return row
}

func (row *Row) add(r *Result) {
	row.Runs++
	switch {
	case !r.Reverted.IsZero():
		row.Reverted++
	case !r.Done.IsZero():
		row.Kept++
	}
	if r.Reverted.IsZero() && !r.Moved.IsZero() && !r.Moved.After(r.Scenario.deadline()) {
		row.OnTime++
	}
	row.Before.merge(r.Before)
	row.After.merge(r.After)
	row.WorstShare = max(row.WorstShare, r.Share())
	if !r.FirstEvidence.IsZero() && !r.Reverted.IsZero() {
		row.delays = append(row.delays, max(r.LastCandidateRequest.Sub(r.FirstEvidence), 0))
	}
	row.LateRequests += r.LateRequests
	row.AfterOwnVerdict += r.AfterOwnVerdict
	row.MaxInFlight = max(row.MaxInFlight, r.MaxInFlight)
}

// Share returns the candidate's share of all requests from the start to the
// last one sent to it.
func (r *Result) Share() float64 {
	e := r.Before
	e.merge(r.After)
	return e.Share()
}

func (e *Exposure) merge(o Exposure) {
	e.All += o.All
	e.Candidate += o.Candidate
}

// Delay returns a quantile, for q from 0 to 1, of the time from the first
// evidence to the last request sent to the candidate, over the reverted runs.
// It is 0 if there are none.
func (row *Row) Delay(q float64) time.Duration {
	if len(row.delays) == 0 {
		return 0
	}
	i := min(int(q*float64(len(row.delays))), len(row.delays)-1)
	return row.delays[i]
}

// WriteTable writes rows as a Markdown table, sorted by policy.
func WriteTable(w io.Writer, rows []Row) error {
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(a.Policy, b.Policy) })
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| policy\t| candidate\t| rate/s\t| runs\t| reverted\t| moved by deadline\t| kept\t"+
		"| share before\t| share after\t| worst share\t| evidence to last, median\t| 95%\t| longest\t| late\t| own\t| in flight\t|")
	fmt.Fprintln(tw, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for i := range rows {
		rows[i].write(tw)
	}
	return tw.Flush()
}

func (row *Row) write(w io.Writer) {
	rate := "all"
	if row.Rate > 0 {
		rate = fmt.Sprint(float64(row.Rate))
	}
	fmt.Fprintf(w, "| %s\t| %s\t| %s\t| %d\t| %d\t| %d\t| %d\t", row.Policy, row.Kind, rate,
		row.Runs, row.Reverted, row.OnTime, row.Kept)
	fmt.Fprintf(w, "| %s\t| %s\t| %s\t", percent(row.Before.Share()), percent(row.After.Share()), percent(row.WorstShare))
	fmt.Fprintf(w, "| %s\t| %s\t| %s\t", seconds(row.Delay(0.5)), seconds(row.Delay(0.95)), seconds(row.Delay(1)))
	fmt.Fprintf(w, "| %d\t| %d\t| %d\t|\n", row.LateRequests, row.AfterOwnVerdict, row.MaxInFlight)
}

func percent(x float64) string { return fmt.Sprintf("%.2f%%", 100*x) }

func seconds(d time.Duration) string { return fmt.Sprintf("%.0f s", d.Seconds()) }

// String describes a run on one line.
func (r *Result) String() string {
	s := r.Scenario
	return fmt.Sprintf("seed %d rate %v hosts %d deadline %v lag %v failing %.2f slowing %.2f route %d waves %d cuts %d: "+
		"moved %v done %v reverted %v first evidence %v last draw %v share %.4f late %d own %d cause %q",
		s.Seed, s.Rate, s.Hosts, s.Deadline, s.ReportLag, s.failureProbability, s.slowdown, s.badRoute, len(s.waves), len(s.partitions),
		offset(r.Moved), offset(r.Done), offset(r.Reverted), offset(r.FirstEvidence), offset(r.LastCandidateRequest),
		r.Share(), r.LateRequests, r.AfterOwnVerdict, r.Cause)
}

// offset returns the time since the start of the rollout, rounded to 100 ms, or
// 0 for the zero time.
func offset(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(rolloutStart).Round(time.Second / 10)
}
