// Package loader sends load to a serving system and measures the answers.
//
// Arrivals are open-loop: requests start when a Poisson process says so, however
// slow the answers are, and each latency counts from the intended start, so that
// a stall is not hidden by requests that were never sent (the fault known as
// coordinated omission; Gil Tene's HdrHistogram, used here, was made against
// it). With a rate of 0 the load is closed-loop: each of Plan.Concurrency
// workers sends its next request once the last is answered.
//
// # Usage
//
//	report, err := loader.Run(ctx, loader.Plan{
//		Targets: []string{"http://127.0.0.1:8080"}, Path: "/v1/chat/completions",
//		Body: body, Key: key, Stream: true, Rate: 50, Duration: 10 * time.Second,
//	})
//	report.WriteTable(os.Stdout)
package loader
