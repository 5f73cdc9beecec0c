package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// callControl calls control nodes as engines and the operator do, in a random order, until one answers with
// a 2xx, or refuses the call. It returns the node that answered last.
func (f *fleet) callControl(ctx context.Context, method, path string, body []byte) (status int, answer []byte, node string) {
	for _, position := range rand.Perm(controlCount) {
		one := f.controls()[position]
		status, answer = f.callNode(ctx, one, method, path, body)
		node = one.name
		if status >= 200 && status < 300 || status == http.StatusBadRequest {
			return status, answer, node
		}
	}
	return status, answer, node
}

// callNode sends one call to one control node; status 0 means no answer.
func (f *fleet) callNode(ctx context.Context, one *machine, method, path string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+one.address(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// configuration is a configuration on the wire.
type configuration struct {
	Version  uint64    `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"path_prefix"`
	RouteType   string `json:"route_type"`
	TimeoutMS   int    `json:"timeout_ms"`
	SloMS       int    `json:"slo_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	GapTargetMS int    `json:"gap_target_ms"`
	// AllowedRegions are the regions in which requests may be served; none means any.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	Engine     *engine `json:"engine,omitempty"`
}

type engine struct {
	Slots        int    `json:"slots"`
	KVCapacity   int    `json:"kv_capacity"`
	KVTokenBytes int    `json:"kv_token_bytes"`
	Stride       int    `json:"stride"`
	Most         int    `json:"most"`
	Models       []name `json:"models"`
}

type name struct {
	Name string `json:"name"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Prepaid  uint64   `json:"prepaid"`
}

// Names in the configurations of the cases.
const (
	hostName     = "ficu95.example"
	plainService = "daftar-app"
	modelService = "qalam-llm"
	tenantName   = "hule930"
	tenantKey    = "n2ctnfzs989anu6wsjnb"
)

// firstConfiguration has a safe and an unsafe route to the plain service, a resumable stream, and one tenant.
func firstConfiguration() configuration {
	return configuration{
		Version: 7,
		Routes: []route{
			{Name: "notice-fetch", Host: hostName, PathPrefix: "/fetch/", RouteType: "safe", TimeoutMS: 1000, SloMS: 150, Priority: 2, Service: plainService, MaxAttempts: 2},
			{Name: "case-status", Host: hostName, PathPrefix: "/status/", RouteType: "unsafe", TimeoutMS: 1000, SloMS: 150, Priority: 2, Service: plainService, MaxAttempts: 1},
			{Name: "patwari-query", Host: hostName, PathPrefix: "/query/", RouteType: "streaming", TimeoutMS: 15000, SloMS: 600, Priority: 2, Service: modelService, MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMS: 400},
		},
		Services: []service{
			{Name: plainService, HealthPath: "/healthz", MaxConns: 100, Protocol: "h1"},
			{Name: modelService, HealthPath: "/healthz", MaxConns: 360, Protocol: "h1", Engine: &engine{Slots: 64, KVCapacity: 418121, KVTokenBytes: 327680, Stride: 3, Most: 12, Models: []name{{Name: "m"}}}},
		},
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []tenant{{Name: tenantName, APIKeys: []string{tenantKey}, Priority: 1, Prepaid: 100_000_000}},
	}
}

// configure sends a configuration, as the operator does, until it is acknowledged.
func (f *fleet) configure(ctx context.Context, sent configuration) error {
	body, err := json.Marshal(sent)
	if err != nil {
		return err
	}
	for range 60 {
		status, answer, node := f.callControl(ctx, http.MethodPut, "/ravenway/config", body)
		f.record.linef("operator", "PUT /ravenway/config version %d: %s answers %d %s", sent.Version, node, status, bytes.TrimSpace(answer))
		if status == http.StatusOK {
			return nil
		}
		if status == http.StatusBadRequest {
			return errors.New("the configuration was refused")
		}
		sleep(ctx, 300*time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}
