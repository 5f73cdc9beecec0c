package daemon

import (
	"fmt"
	"runtime/debug"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// Build describes the program that runs: the commit that it was built from where the build
// tells it, the Go version, and the dialect of its messages, by which the nodes of a fleet
// that is being upgraded tell each other apart.
type Build struct {
	Commit, Go string
	IsModified bool
	Dialect    peer.ProtocolVersion
}

// shortCommit is the length of a commit's name that people read.
const shortCommit = 8

// unknownCommit stands for the commit of a program whose build doesn't tell.
const unknownCommit = "unknown"

// ShortCommit is the beginning of the commit's name, "" if it is not known.
func (b Build) ShortCommit() string {
	if b.Commit == unknownCommit {
		return ""
	}
	return b.Commit[:min(len(b.Commit), shortCommit)]
}

// ReadBuild reads what the build left in the program.
func ReadBuild() Build {
	build := Build{Commit: unknownCommit, Dialect: peer.OwnProtocol}
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

// String is one line for people.
func (b Build) String() string {
	modified := ""
	if b.IsModified {
		modified = ", modified"
	}
	return fmt.Sprintf("ravenwayd of commit %s%s, %s, dialect %d", b.Commit, modified, b.Go, b.Dialect)
}
