package machine

// LogVersion determines which kinds of commands the log may hold. During an upgrade of a
// fleet, replicas of several builds share one log and must apply each entry in the same way.
// So a command of a newer kind is proposed only after the log holds a VersionCommand that
// allows it; that command is proposed once all replicas have reported that they support the
// version. The version never decreases. Until it is raised, a fleet can be downgraded to its
// earlier build.
type LogVersion uint32

const (
	// VersionFirst logs hold configurations, accounts, incarnations and evacuated zones.
	VersionFirst LogVersion = iota
	// VersionRollouts logs hold rollouts as well.
	VersionRollouts
	// VersionConditions logs apply an order that changes a zone only if it names the zone's last
	// order.
	VersionConditions
	// versionEnd is one above the newest version.
	versionEnd
)

// OwnLogVersion is the newest log version that this build supports.
const OwnLogVersion = versionEnd - 1

// VersionCommand raises the log's version. A replica whose build doesn't know the command
// refuses it and leaves the state unchanged, as with any unknown command.
type VersionCommand struct {
	Version LogVersion `msgpack:"v"`
}

// LogVersion returns the version of the applied log. A log with a version above OwnLogVersion
// may hold commands that this build can't read. The state of this replica then no longer
// matches that of the group.
func (m *Machine) LogVersion() LogVersion { return m.logVersion }

func (m *Machine) applyVersion(command *VersionCommand) Result {
	m.logVersion = max(m.logVersion, command.Version)
	return Result{}
}
