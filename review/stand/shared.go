package main

import (
	"fmt"
	"sync"
)

var (
	openMutex sync.Mutex
	open      []*deployment
)

// endAll ends the processes of all deployments.
func endAll() {
	openMutex.Lock()
	defer openMutex.Unlock()
	for _, one := range open {
		one.close()
	}
	open = nil
}

// opened registers a deployment, so that its processes end with this one.
func opened(one *deployment) *deployment {
	openMutex.Lock()
	defer openMutex.Unlock()
	open = append(open, one)
	return one
}

const (
	serviceName = "portal"
	healthPath  = "/healthz"
)

func configuration(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-1","host":"portal.example","path_prefix":"/upload/","route_type":"unsafe","timeout_ms":20000,"slo_ms":300,"priority":1,"service":%q,"max_attempts":1,"public":true},`+
		`{"name":"r-2","host":"portal.example","path_prefix":"/lookup/","route_type":"safe","timeout_ms":1500,"slo_ms":300,"priority":1,"service":%q,"max_attempts":2,"public":true},`+
		`{"name":"r-3","host":"portal.example","path_prefix":"/report/","route_type":"unsafe","timeout_ms":12000,"slo_ms":4000,"priority":1,"service":%q,"max_attempts":1,"public":true}],`+
		`"services":[{"name":%q,"health_path":%q,"max_conns":370,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`, version, serviceName, serviceName, serviceName, serviceName, healthPath)
}
