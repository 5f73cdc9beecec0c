package machine

// LogVersion tells which commands the log may hold. Replicas of several builds hold one log
// while a fleet is upgraded, and each has to do the same with each entry. So a command of a
// newer kind is proposed only once the log itself says that all replicas know it: a
// VersionCommand, which is proposed when all have told so. The version only rises; until
// it does, a fleet may be given its earlier build again.
type LogVersion uint32

const (
	// VersionFirst logs hold configurations, accounts, lives and evacuated zones.
	VersionFirst LogVersion = iota
	// VersionRollouts logs hold rollouts too.
	VersionRollouts
	// versionEnd is behind the newest version.
	versionEnd
)

// OwnLogVersion is the newest one that this build reads.
const OwnLogVersion = versionEnd - 1

// VersionCommand raises the log's version. A replica whose build doesn't know the command
// refuses it and keeps the state as it is, as it does with each command that it doesn't know.
type VersionCommand struct {
	Version LogVersion `msgpack:"v"`
}

// LogVersion is the version of the applied log. One above OwnLogVersion holds commands that
// this build can't read: what it has applied since is not the state of the group.
func (m *Machine) LogVersion() LogVersion { return m.logVersion }

func (m *Machine) applyVersion(command *VersionCommand) Result {
	m.logVersion = max(m.logVersion, command.Version)
	return Result{}
}
