package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	must(err)
	return &recorder{file: file, begun: time.Now()}
}

func (re *recorder) add(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.file, "%8.3f  %s\n", time.Since(re.begun).Seconds(), fmt.Sprintf(format, args...))
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// short returns the beginning of a long text and its length.
func short(text string) string {
	const shown = 60
	if len(text) <= shown {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:shown], len(text))
}
