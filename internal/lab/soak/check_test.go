package soak

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/lab/standin"
	"github.com/ravenway/ravenway/platform"
)

// judged returns a run without processes, with the results of calls that the checks are to judge.
func judged(results ...result) *run {
	entry := &machine{name: "entry-0", host: "127.0.0.1"}
	of := &fleet{truth: newTruth(), prepaid: map[string]uint64{}, wanted: firstConfiguration()}
	r := &run{fleet: of, callers: newCallers(of, time.Now()), report: io.Discard, held: map[*machine]bool{}, endsBeforeQuarantine: map[Kind]int{}}
	for _, one := range results {
		one.entry = entry
		r.callers.results = append(r.callers.results, one)
	}
	return r
}

func TestChecksNoticeBrokenPromises(t *testing.T) {
	for want, prepare := range map[string]func() *run{
		"got a wrong answer":  func() *run { return judged(result{id: "x", kind: Safe, outcome: Wrong}) },
		"ran 2 times":         func() *run { return ranTwice(judged(result{id: "x", kind: Once, outcome: Whole})) },
		"was refused with":    func() *run { return ranTwice(judged(result{id: "x", kind: Safe, outcome: NotRun})) },
		"tokens of 5 prepaid": overspent,
		"only 7 are charged or held": func() *run {
			r := judged()
			r.judgeLedger([]ledgerEntry{{tenant: "t", limit: 100, settled: 4, outstanding: 3, got: 8}})
			return r
		},
		"planned stop of entry-0": func() *run {
			return ranTwice(judged(result{id: "x", kind: Resumable, outcome: Cut, stopping: true}))
		},
	} {
		r := prepare()
		r.judge()
		_, err := r.summarize()
		assert.Assert(t, errors.Is(err, ErrBroken) && strings.Contains(err.Error(), want), "%q: %v", want, err)
	}
	r := judged(result{id: "x", kind: Resumable, outcome: Cut, stopping: true, began: time.Second, ended: 2 * time.Second})
	r.rough = []span{{from: 0, until: 1500 * time.Millisecond}}
	ranTwice(r).judge()
	_, err := r.summarize()
	assert.NilError(t, err, "a call that was cut near another fault is not counted against the planned stop")
}

func ranTwice(r *run) *run {
	for range 2 {
		r.fleet.truth.begin(standin.EngineRequest{ID: "x", Tenant: "t", TokensIn: 3})
	}
	return r
}

func overspent() *run {
	r := judged()
	r.fleet.prepaid["t"] = 5
	r.fleet.truth.receive("t", 3)
	r.fleet.truth.receive("t", 3)
	return r
}

func TestStreamsAreHeldAgainstTheOnlyRightOne(t *testing.T) {
	var whole strings.Builder
	for number := 1; number <= streamEvents; number++ {
		whole.WriteString(eventText("x", number))
	}
	for text, want := range map[string]Outcome{
		whole.String(): Whole, whole.String()[:20]: Wrong, whole.String() + eventText("x", 1): Wrong, "": Wrong,
	} {
		got, _, _ := readStream(strings.NewReader(text), "x")
		assert.Equal(t, got, want, "%q", text)
	}
	broken := io.MultiReader(strings.NewReader(whole.String()[:20]), brokenReader{})
	got, _, _ := readStream(broken, "x")
	assert.Equal(t, got, Cut)
	mixed := io.MultiReader(strings.NewReader(eventText("y", 1)), brokenReader{})
	got, _, _ = readStream(mixed, "x")
	assert.Equal(t, got, Wrong)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

func TestRelayModes(t *testing.T) {
	target, err := net.Listen("tcp", "127.81.0.1:0")
	assert.NilError(t, err)
	defer target.Close()
	go func() {
		for {
			connection, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(connection, connection) }()
		}
	}()
	relay, err := startRelay("127.81.0.2:0", target.Addr().String())
	assert.NilError(t, err)
	defer relay.close()
	connection, err := net.Dial("tcp", relay.listener.Addr().String())
	assert.NilError(t, err)
	defer connection.Close()
	echoes := func(within time.Duration) bool {
		_, _ = connection.Write([]byte("x"))
		_ = connection.SetReadDeadline(time.Now().Add(within))
		_, err := io.ReadFull(connection, make([]byte, 1))
		return err == nil
	}
	assert.Assert(t, echoes(5*time.Second))
	for _, mode := range []RelayMode{Silent, OneWay} {
		relay.set(mode)
		assert.Assert(t, !echoes(200*time.Millisecond), "%s", mode)
		relay.set(Passing)
		// The delayed byte is delivered now, and the next one too.
		_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := io.ReadFull(connection, make([]byte, 1))
		assert.NilError(t, err)
		assert.Assert(t, echoes(5*time.Second))
	}
	relay.set(Resetting)
	assert.Assert(t, !echoes(5*time.Second))
}

func TestChecksNoticeRequestsInAPauseAndAfterLeaving(t *testing.T) {
	entry := &machine{name: "entry-0"}
	for want, prepare := range map[string]func(e *engine){
		"in a pause": func(e *engine) {
			e.backoff.pause = time.Minute
			e.refuses(http.Header{}, "x")
			e.limit.began = e.limit.began.Add(-time.Second)
			for range 3 {
				e.refuses(http.Header{}, "x")
			}
		},
		"had announced its shutdown": func(e *engine) {
			e.backoff.isLeaving = true
			e.refuses(http.Header{}, "x")
			e.limit.began = e.limit.began.Add(-3 * time.Second)
			e.refuses(http.Header{}, "x")
		},
	} {
		r := judged()
		r.fleet.truth.senders.note("x", entry)
		one := &engine{wire: platform.StandIn{}, truth: r.fleet.truth, limit: limitRecord{began: time.Now()}}
		r.fleet.everyLife = append(r.fleet.everyLife, one)
		prepare(one)
		r.checkBackoff()
		assert.Equal(t, len(r.broken), 1, "%v", r.broken)
		assert.Assert(t, strings.Contains(r.broken[0], want) && strings.Contains(r.broken[0], "entry-0/0"), "%q", r.broken)
	}
}

// A process that was restarted or suspended can't know of a pause that was requested before, so it
// counts as another sender and its requests don't break the earlier pause.
func TestProcessThatStoodStillIsAnotherSender(t *testing.T) {
	entry, of := &machine{name: "entry-0"}, &senders{machines: map[string]*machine{}}
	of.note("x", entry)
	before := of.of("x")
	entry.signal(syscall.SIGSTOP)
	assert.Equal(t, of.of("x"), before)
	entry.signal(syscall.SIGCONT)
	assert.Assert(t, of.of("x") != before)
}
