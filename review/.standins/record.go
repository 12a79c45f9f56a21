package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with seconds since the start of the test.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// unavailable ends the test with exit code 2: the case couldn't run.
type unavailable struct{ reason string }

func cannotRun(format string, args ...any) { panic(unavailable{fmt.Sprintf(format, args...)}) }

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}
