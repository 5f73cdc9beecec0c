// Package platform is the adapter to the platform's list of live and leaving
// machines. The list lags and is only a hint: it can stop new work early, but
// never proves that a machine is gone.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// PathMachines is where the list is served.
const PathMachines = "/platform/v1/machines"

const maximumListBytes = 16 << 20

// MachineState is what the platform says of a machine.
type MachineState string

// States of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the list.
type Machine struct {
	Name    string       `json:"name"`
	Address string       `json:"address"`
	State   MachineState `json:"state"`
}

// List is the whole list.
type List struct {
	Machines []Machine `json:"machines"`
}

// Fetch reads the list from a base URL.
func Fetch(ctx context.Context, client *http.Client, baseURL string) (List, error) {
	var list List
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+PathMachines, nil)
	if err != nil {
		return list, fmt.Errorf("asking the platform for its machines: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return list, fmt.Errorf("asking the platform for its machines: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return list, fmt.Errorf("asking the platform for its machines: status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumListBytes)).Decode(&list); err != nil {
		return list, fmt.Errorf("reading the platform's machines: %w", err)
	}
	return list, nil
}
