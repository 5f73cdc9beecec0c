package machine

import (
	"bufio"
	"encoding/hex"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

// goldenCommands returns a command of each kind that fleets with open membership commit, by the
// name of its line in the golden files.
func goldenCommands() map[string]Command {
	holder := accounts.HolderID{Node: "10.1.0.40:7340#0123456789abcdef", Incarnation: 1}
	contact := accounts.Contact{Index: 12, Clock: 3, MonotonicMS: 1234, WallMS: 1700000000000}
	return map[string]Command{
		"document": {Document: &DocumentCommand{Version: 7, Raw: []byte("raw"), Encoded: []byte("encoded")}, Contact: contact},
		"zone":     {Zone: &ZoneCommand{Zone: "a", Evacuated: true}},
		"lives":    {CloseIncarnations: &CloseIncarnationsCommand{Incarnations: []accounts.HolderID{holder}, TimesSinceContact: []time.Duration{time.Second}}, Contact: contact},
		"reports": {Contact: contact, Reports: []HolderReports{{Holder: holder, LastContact: contact, Allowances: true, Reports: []accounts.Report{{
			Budget: "hule930", Settled: 12000, Returned: 100, Watermark: 20000, WatermarkSettled: 11000, Request: 3, Required: 4, Expected: 5, Desired: 3000,
			Allowance: accounts.Allowance{Sequence: 3, Tokens: 4000, Pace: 100},
		}}}}},
	}
}

// Replicas of two builds share one log during an upgrade of a fleet. So this build must
// encode commands byte by byte as the earlier builds do.
func TestCommandsAreWrittenAsEarlierBuildsWriteThem(t *testing.T) {
	for _, build := range []string{"2b8f16a", "619b733"} {
		file, err := os.Open("testdata/commands-" + build + ".txt")
		assert.NilError(t, err)
		defer file.Close()
		commands := goldenCommands()
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			name, text, _ := strings.Cut(lines.Text(), ": ")
			written, err := hex.DecodeString(text)
			assert.NilError(t, err)
			encoded, err := Encode(commands[name])
			assert.NilError(t, err)
			assert.DeepEqual(t, encoded, written)
			read, err := decode(written)
			assert.NilError(t, err)
			assert.DeepEqual(t, read, commands[name])
			delete(commands, name)
		}
		assert.NilError(t, lines.Err())
		assert.Equal(t, len(commands), 0, "%s wrote no %v", build, commands)
	}
}
