package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, a line for each, with the time since its start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	lines *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, lines: bufio.NewWriter(file), began: time.Now()}, nil
}

// line writes one line.
func (r *record) line(kind, text string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.lines, "%9.3f %-9s %s\n", time.Since(r.began).Seconds(), kind, text)
	if kind == "result" || kind == "phase" {
		fmt.Printf("%9.3f %-9s %s\n", time.Since(r.began).Seconds(), kind, text)
	}
}

func (r *record) linef(kind, format string, values ...any) {
	r.line(kind, fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.lines.Flush()
	_ = r.file.Close()
}
