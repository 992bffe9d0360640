package dispatcher

import "github.com/VictoriaMetrics/metrics"

// counters count the results of attempts and requests.
type counters struct {
	attempts, retries, resumes, recomputedBytes *metrics.Counter
	crossed, truncated, late, broken            *metrics.Counter
	events, withheld, silent, unsent, unsettled *metrics.Counter
}

func newCounters(s *metrics.Set) counters {
	dropped := func(reason string) *metrics.Counter {
		return s.GetOrCreateCounter(`cyclamen_answers_dropped_total{reason="` + reason + `"}`)
	}
	return counters{
		attempts:        s.GetOrCreateCounter("cyclamen_attempts_total"),
		retries:         s.GetOrCreateCounter("cyclamen_retries_total"),
		withheld:        s.GetOrCreateCounter("cyclamen_retries_withheld_total"),
		resumes:         s.GetOrCreateCounter("cyclamen_resumes_total"),
		recomputedBytes: s.GetOrCreateCounter("cyclamen_resumed_text_bytes_total"),
		unsettled:       s.GetOrCreateCounter("cyclamen_claims_unsettled_total"),
		events:          s.GetOrCreateCounter("cyclamen_stream_events_total"),
		unsent:          s.GetOrCreateCounter("cyclamen_attempts_unsent_total"),
		crossed:         dropped("crossed"),
		truncated:       dropped("truncated"),
		late:            dropped("late"),
		broken:          dropped("broken"),
		silent:          dropped("silent"),
	}
}
