// Command stand-2 plays the cases of the review that are scripts. It starts the project's daemons as
// separate processes on loopback addresses, beside stand-ins for clients, engines, the operator and the
// platform, which speak what the users' pages say.
//
//	stand-2 CASE FOLDER
//
// It runs in the root of the repository, after the build of the deploy file, and writes FOLDER/record.txt.
// It exits with 1 if the case's rule was broken, with 0 if it held, and with 2 if the case couldn't run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	maximumTime  = 115 * time.Second
	recordName   = "record.txt"
	troubleName  = "TROUBLE"
	withoutValue = "0"
)

// cases are the cases by name.
var cases = map[string]func(ctx context.Context, stage *stage) (broken bool, err error){
	"home":            playHome,
	"rollout":         playRollout,
	"leave-forgotten": playLeaveForgotten,
}

// stage is what a case plays on.
type stage struct {
	record  *record
	trouble bool
	folder  string
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(os.Args[1], os.Args[2]))
}

// playCase plays one case and returns the exit code.
func playCase(name, folder string) int {
	play, found := cases[name]
	if !found {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	written, err := newRecord(filepath.Join(folder, recordName))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer written.close()
	temporary, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(temporary)
	// A signal ends the case like its time limit does, so that the daemons are ended too.
	signalled, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	ctx, cancel := context.WithTimeout(signalled, maximumTime)
	defer cancel()
	broken, err := play(ctx, &stage{record: written, trouble: os.Getenv(troubleName) != withoutValue, folder: temporary})
	if err == nil {
		err = ctx.Err()
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		written.line("result", "not run: out of time")
		return exitNotRun
	case err != nil:
		written.line("result", "not run: "+err.Error())
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		written.line("result", "the rule was broken")
		return exitBroken
	}
	written.line("result", "the rule held")
	return exitHeld
}
