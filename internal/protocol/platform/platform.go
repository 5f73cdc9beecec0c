// Package platform reads the list of live and leaving machines from the platform
// that runs the machines. The list may be out of date and is only a hint: it can stop
// new requests early, but never proves that a machine is gone.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// PathMachines is the URL path of the list.
const PathMachines = "/platform/v1/machines"

const maximumListBytes = 16 << 20

// MachineState is the state of a machine according to the platform.
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

// List is the response of the platform: all of its machines.
type List struct {
	Machines []Machine `json:"machines"`
}

// Fetch requests the list from the platform at a base URL.
func Fetch(ctx context.Context, client *http.Client, baseURL string) (List, error) {
	var list List
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+PathMachines, nil)
	if err != nil {
		return list, fmt.Errorf("requesting the list of machines from the platform: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return list, fmt.Errorf("requesting the list of machines from the platform: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return list, fmt.Errorf("requesting the list of machines from the platform: status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumListBytes)).Decode(&list); err != nil {
		return list, fmt.Errorf("decoding the platform's list of machines: %w", err)
	}
	return list, nil
}
