package agatefront

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"

	"agategate/core/agatebalance"
	"agategate/core/agatelimit"
	"agategate/io/agateupstream"
)

// observation converts the result of an attempt for the load-balancing table.
func (f *Front) observation(res *agateupstream.Result) agatebalance.Observation {
	o := agatebalance.Observation{Latency: res.Elapsed, RTT: res.RTT, UpstreamDied: res.UpstreamDied, Responded: res.Status != 0}
	o.Running, o.Waiting, o.Reported = parseLoad(res.Header.Get(f.headers.Load))
	o.Limit = parseLimit(res.Header.Get(f.headers.Limit))
	o.Leaving = res.Header.Get(f.headers.Leaving) == headerTrue
	if res.Status == http.StatusServiceUnavailable {
		o.Pause = res.RetryAfter
	}
	if errors.Is(res.Err, agateupstream.ErrWriteRejected) {
		// The caller left, or the upstream asked for a pause, before the request was
		// written.
		o.Outcome = agatebalance.Canceled
		return o
	}
	switch res.Kind {
	case agateupstream.Answered:
		o.Outcome = agatebalance.Answered
		unstamped := f.headers.Stamp != "" && res.Status < 300 && res.Header.Get(f.headers.Stamp) == ""
		if res.Status >= 500 || unstamped {
			o.Outcome = agatebalance.Failed
		}
	case agateupstream.Shed:
		o.Outcome = agatebalance.Shed
		if res.Status == http.StatusMisdirectedRequest {
			o.Outcome = agatebalance.WrongUpstream
		}
	case agateupstream.Refused:
		o.Outcome = agatebalance.NotSent
	case agateupstream.NotWritten:
		o.Outcome = agatebalance.NotSent
		o.Unreachable = res.RTT == 0
	case agateupstream.Busy, agateupstream.Canceled:
		o.Outcome = agatebalance.Canceled
	case agateupstream.TimedOut:
		o.Outcome = agatebalance.TimedOut
	default:
		o.Outcome = agatebalance.Failed
	}
	return o
}

// parseLoad parses a load header of the form "running,waiting,slots" and ignores
// the slots.
func parseLoad(text string) (running, waiting int, ok bool) {
	first, rest, _ := strings.Cut(text, ",")
	second, _, _ := strings.Cut(rest, ",")
	running, err1 := strconv.Atoi(strings.TrimSpace(first))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(second))
	return running, waiting, err1 == nil && err2 == nil && running >= 0 && waiting >= 0
}

// parseLimit parses a limit header, a decimal number of requests per second. A
// malformed or negative value names no limit.
func parseLimit(text string) agatelimit.Limit {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return agatelimit.Limit{}
	}
	return agatelimit.Limit{Named: true, Rate: rate}
}
