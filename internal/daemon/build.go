package daemon

import (
	"fmt"
	"runtime/debug"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// Build describes the running program: the commit that it was built from if the build recorded
// it, the Go version, and the protocol version of its messages. During an upgrade the
// nodes of a fleet recognize each other's builds by the protocol version.
type Build struct {
	Commit, Go string
	IsModified bool
	Protocol   peer.ProtocolVersion
}

// shortCommitLength is the length of an abbreviated commit hash.
const shortCommitLength = 8

// unknownCommit is the commit of a program whose build did not record one.
const unknownCommit = "unknown"

// ShortCommit returns the abbreviated commit hash, or "" if the commit is not known.
func (b Build) ShortCommit() string {
	if b.Commit == unknownCommit {
		return ""
	}
	return b.Commit[:min(len(b.Commit), shortCommitLength)]
}

// ReadBuild reads the build information that is embedded in the program.
func ReadBuild() Build {
	build := Build{Commit: unknownCommit, Protocol: peer.OwnProtocol}
	information, found := debug.ReadBuildInfo()
	if !found {
		return build
	}
	build.Go = information.GoVersion
	for _, setting := range information.Settings {
		switch setting.Key {
		case "vcs.revision":
			build.Commit = setting.Value
		case "vcs.modified":
			build.IsModified = setting.Value == "true"
		}
	}
	return build
}

// String returns a one-line description for operators.
func (b Build) String() string {
	modified := ""
	if b.IsModified {
		modified = ", modified"
	}
	return fmt.Sprintf("ravenwayd of commit %s%s, %s, dialect %d", b.Commit, modified, b.Go, b.Protocol)
}
