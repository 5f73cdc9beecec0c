package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/lab/soak"
	"github.com/ravenway/ravenway/platform"
)

// earliestBuild is the earliest commit from which a fleet can be upgraded without downtime. Its
// message format differs from today's: its hello lacks a field, and its instances have no
// incarnations.
const earliestBuild = "2b8f16a"

// buildEarlierDaemon builds the daemon of an earlier commit out of the repository's history.
func buildEarlierDaemon(t *testing.T, commit string) string {
	t.Helper()
	git := func(arguments ...string) string {
		output, err := exec.Command("git", arguments...).CombinedOutput()
		assert.NilError(t, err, "the repository's history is needed, down to %s: git %s: %s", commit, strings.Join(arguments, " "), output)
		return strings.TrimSpace(string(output))
	}
	tree := filepath.Join(t.TempDir(), "tree")
	git("worktree", "add", "--detach", tree, commit)
	t.Cleanup(func() { git("worktree", "remove", "--force", tree) })
	program := filepath.Join(t.TempDir(), "ravenwayd-"+commit)
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "./cmd/ravenwayd")
	build.Dir = tree
	output, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return program
}

// Guards against an upgrade that refuses calls while nodes of two builds run together: no more
// calls may be left unserved than when nodes of one build are restarted. Before messages were
// decoded by their fields' names, the two builds could not read each other's hello, and one in five
// calls was refused in the worst seconds.
func TestFleetIsUpgradedWithoutDowntime(t *testing.T) {
	t.Parallel()
	daemon, earlier := buildDaemon(t), buildEarlierDaemon(t, earliestBuild)
	folder := t.TempDir()
	report, err := os.Create(filepath.Join(folder, "report.txt"))
	assert.NilError(t, err)
	defer report.Close()
	summary, err := soak.Run(t.Context(), soak.Options{
		Daemon: daemon, EarlierDaemon: earlier, Order: soak.MixedOrder, Wire: platform.StandIn{}, Seed: 5, Entries: 3, Folder: folder, Lane: 82, Report: report,
	})
	timeline, _ := os.ReadFile(report.Name())
	assert.NilError(t, err, "%s", timeline)
	assert.Assert(t, summary.Calls > 500 && summary.Outcomes[soak.Complete] > summary.Calls*3/4, "%+v", summary)
	assert.Equal(t, strings.Count(string(timeline), "upgrade: planned stop of"), 6, "%s", timeline)
}
