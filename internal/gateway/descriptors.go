package gateway

// callerDescriptorShare is the share of the process's file descriptors that callers' connections may take. Each
// request needs a connection to an engine too, and the rest is for other nodes, files and polls.
const callerDescriptorShare = 0.45

// maximumCallerConnections returns how many connections of callers may be open at once in a process with some
// file descriptors; 0 means any number, if the descriptors are not known.
func maximumCallerConnections(descriptors uint64) int64 {
	if descriptors == 0 {
		return 0
	}
	return max(1, int64(callerDescriptorShare*float64(descriptors)))
}
