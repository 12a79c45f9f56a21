package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// loadResult is the result of a load.
type loadResult struct {
	perSecond int64 // messages that returned per second
	p99us     int64 // 99th percentile of their latency in microseconds
}

// loadSession is a client that puts load on a server.
type loadSession interface {
	// run sends and receives messages for the duration of the measurement, and records the latency of each.
	run(latencies *latencyHistogram) error
	close()
}

// latencyHistogram records latencies from 1 µs to one minute.
type latencyHistogram struct{ *hdrhistogram.Histogram }

func newLatencyHistogram() *latencyHistogram {
	const minMicroseconds, maxMicroseconds, significantFigures = 1, 60_000_000, 3
	return &latencyHistogram{hdrhistogram.New(minMicroseconds, maxMicroseconds, significantFigures)}
}

// record adds a latency. A latency above the maximum is not counted.
func (h *latencyHistogram) record(d time.Duration) { _ = h.RecordValue(max(d.Microseconds(), 1)) }

// runLoad connects all sessions, then runs them concurrently, and returns their common result and the first error.
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
