// Package loader sends load to a serving system and measures the answers.
//
// With a positive rate the load is open-loop: requests start at the arrival
// times of a Poisson process, however slow the answers are, and each latency
// counts from the scheduled start. This avoids coordinated omission, where a
// stall is hidden because the requests that it delayed were never sent; Gil
// Tene's HdrHistogram, which this package uses, was made to address it. With a
// rate of 0 the load is closed-loop: each of Plan.Concurrency workers sends its
// next request when the previous one has been answered.
//
// # Usage
//
//	report, err := loader.Run(ctx, loader.Plan{
//		Targets: []string{"http://127.0.0.1:8080"}, Path: "/v1/chat/completions",
//		Body: body, Key: key, Stream: true, Rate: 50, Duration: 10 * time.Second,
//	})
//	report.WriteTable(os.Stdout)
package loader
