package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func validFile(t *testing.T) string {
	t.Helper()
	key := filepath.Join(t.TempDir(), "peer.key")
	assert.NilError(t, os.WriteFile(key, []byte(strings.Repeat("k", 32)), 0o600))
	return `[node]
name = "a-1"
zone = "a"
roles = ["entry", "control"]

[listen]
callers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
peers = "127.0.0.1:7003"
health = "127.0.0.1:7004"

[control]
data_dir = "data"

[[peers]]
name = "a-1"
zone = "a"
address = "127.0.0.1:7003"
control = true

[security]
peer_key_file = "` + key + `"

[limits]
body_timeout = "5s"
`
}

func TestValidFileHasNoFindings(t *testing.T) {
	settings, err := Parse("node.toml", []byte(validFile(t)))
	assert.NilError(t, err)
	assert.Equal(t, settings.Limits.BodyTimeout.String(), "5s")
	assert.Equal(t, settings.Log.Level, "info")
}

func TestFiveMistakesAreFiveFindingsInOneReport(t *testing.T) {
	content := validFile(t)
	for wrong, right := range map[string]string{
		`roles = ["entry", "kontrol"]`: `roles = ["entry", "control"]`,
		`callers = "localhost:7001"`:   `callers = "127.0.0.1:7001"`,
		`health = 7004`:                `health = "127.0.0.1:7004"`,
		`body_timeout = "soon"`:        `body_timeout = "5s"`,
		"[limits]\nbody_timeouts = 1":  "[limits]",
	} {
		content = strings.Replace(content, right, wrong, 1)
	}
	content = strings.Replace(content, "control = true", "control = false", 1)
	content = strings.Replace(content, "[control]\ndata_dir = \"data\"\n", "", 1)
	_, err := Parse("node.toml", []byte(content))
	findings, isFindings := err.(Findings)
	assert.Assert(t, isFindings, "got %v", err)
	report := findings.Error()
	for _, expected := range []string{
		`node.toml:4: node.roles: "kontrol" is none of entry, control`,
		`node.toml:7: listen.callers: "localhost:7001": the host must be an IP number`,
		`node.toml:10: listen.health: must be a text, not 7004`,
		`limits.body_timeout: must be a duration above 0 such as "30s", not soon`,
		`limits.body_timeouts: is not a setting; allowed here:`,
	} {
		assert.Assert(t, strings.Contains(report, expected), "%q is missing from:\n%s", expected, report)
	}
}

func TestProductionRefusesOpenListeners(t *testing.T) {
	content := strings.NewReplacer(
		`zone = "a"`+"\nroles", `zone = "a"`+"\nprofile = \"production\"\nroles",
		`operators = "127.0.0.1:7002"`, `operators = "192.0.2.1:7002"`,
		`peers = "127.0.0.1:7003"`, `peers = "192.0.2.1:7003"`,
	).Replace(validFile(t))
	_, err := Parse("node.toml", []byte(content))
	assert.ErrorContains(t, err, "listen.operators: profile production needs")
	assert.ErrorContains(t, err, "listen.peers: profile production needs")
}

func TestDebugListenerIsForLoopbackOnly(t *testing.T) {
	file := func(debug string) string {
		key := filepath.Join(t.TempDir(), "peer.key")
		assert.NilError(t, os.WriteFile(key, []byte(strings.Repeat("k", 32)), 0o600))
		return `[node]
name = "a-1"
zone = "a"
roles = ["entry"]

[listen]
callers = "127.0.0.1:7001"
peers = "127.0.0.1:7003"
ready = "127.0.0.1:7004"
debug = "` + debug + `"

[fleet]
dialect = "platform"
seeds = ["127.0.0.1:7005"]
peer_port = 7003

[security]
peer_key_file = "` + key + `"
`
	}
	_, err := Parse("node.toml", []byte(file("127.0.0.1:7006")))
	assert.NilError(t, err)
	_, err = Parse("node.toml", []byte(file("10.0.0.1:7006")))
	assert.ErrorContains(t, err, `node.toml:10: listen.debug: "10.0.0.1:7006" is not a loopback address`)
}
