package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// loadResult holds the rate and latency that clients measured.
type loadResult struct {
	perSecond int64 // messages per second that returned to their client
	p99us     int64 // 99th percentile of their latency in microseconds
}

// loadSession is a client connection that generates load on a server.
type loadSession interface {
	// run sends and receives messages until the end of the measurement, and records the latency of each message.
	run(latencies *latencyHistogram) error
	close()
}

// latencyHistogram counts latencies from 1 µs to one minute, with three significant digits.
type latencyHistogram struct{ *hdrhistogram.Histogram }

func newLatencyHistogram() *latencyHistogram {
	const minMicroseconds, maxMicroseconds, significantFigures = 1, 60_000_000, 3
	return &latencyHistogram{hdrhistogram.New(minMicroseconds, maxMicroseconds, significantFigures)}
}

// record adds a latency. It counts a latency below 1 µs as 1 µs, and ignores one above the maximum.
func (h *latencyHistogram) record(d time.Duration) { _ = h.RecordValue(max(d.Microseconds(), 1)) }

// runLoad connects all sessions and then runs them concurrently, each for the given duration. It returns the result of all
// sessions together and the first error.
func runLoad(sessions int, duration time.Duration, connect func(index int) (loadSession, error)) (loadResult, error) {
	var mu sync.Mutex
	var firstErr error
	total := newLatencyHistogram()
	start := make(chan struct{})
	var ready, done sync.WaitGroup
	ready.Add(sessions)
	for i := range sessions {
		done.Go(func() {
			latencies := newLatencyHistogram()
			session, err := connect(i)
			ready.Done()
			if err == nil {
				defer session.close()
				<-start
				err = session.run(latencies)
			}
			mu.Lock()
			defer mu.Unlock()
			if firstErr == nil {
				firstErr = err
			}
			total.Merge(latencies.Histogram)
		})
	}
	ready.Wait()
	close(start)
	done.Wait()
	perSecond := float64(total.TotalCount()) / duration.Seconds()
	return loadResult{perSecond: int64(perSecond), p99us: total.ValueAtQuantile(99)}, firstErr
}
