package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
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

func (re *recorder) note(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fmt.Fprintf(re.file, "%8.3f  %s\n", time.Since(re.start).Seconds(), fmt.Sprintf(format, args...))
}
