// Command stand plays the cases of the review: each starts a small deployment of the project's daemons on
// loopback addresses beside stand-ins for the platform, its operator, engines and clients.
//
//	stand CASE RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// cases are the functions that play the cases. Each returns its result.
var cases = map[string]func(log *record, trouble bool) (int, error){
	"evacuation": playEvacuation,
	"silence":    playSilence,
	"uploads":    playUploads,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return cantRun
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	results := make(chan int, 1)
	go func() {
		result, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
		if err != nil {
			log.event("the case can't run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			result = cantRun
		}
		log.event("result %d", result)
		results <- result
	}()
	select {
	case result := <-results:
		return result
	case <-signals:
		endAll()
		return cantRun
	}
}
