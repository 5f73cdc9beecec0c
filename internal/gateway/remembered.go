package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/state/disk"
	"github.com/ravenway/ravenway/internal/state/journal"
)

const (
	// rememberedFile holds the instances that a control node knew.
	rememberedFile = "instances"
	// rememberTicks is the number of ticks, 3 s, between looks whether they changed.
	rememberTicks = 10
)

// rememberedInstances keeps the registry of a control node on its disk. Instances say
// who they are each second or so; after a loss of all power nobody would know one of
// them until then. What is read is a hint: an instance that has changed meanwhile says
// so, one that is gone can't be reached or refuses what is not for it.
type rememberedInstances struct {
	node *Node
	// digest is that of the instances written last.
	digest uint64
	// due are the instances to be written; a full channel means that the disk is slow.
	due chan []registry.Instance
}

func newRememberedInstances(node *Node) *rememberedInstances {
	return &rememberedInstances{node: node, due: make(chan []registry.Instance, 1)}
}

// look has the instances written if they have changed.
func (r *rememberedInstances) look(now time.Duration, known *registry.Registry) {
	digest := known.Digest()
	if digest == r.digest {
		return
	}
	select {
	case r.due <- known.Instances(now):
		r.digest = digest
	default:
		// The next look finds them changed still.
	}
}

// run writes what is offered, away from all duties: a disk may hang.
func (r *rememberedInstances) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case instances := <-r.due:
			if err := r.write(instances); err != nil {
				r.node.log.Warn().Str("event", "instances_not_remembered").Err(err).Send()
			}
		}
	}
}

func (r *rememberedInstances) write(instances []registry.Instance) error {
	encoded, err := msgpack.Marshal(instances)
	if err != nil {
		return fmt.Errorf("encoding the instances: %w", err)
	}
	framed, err := journal.AppendFrame(nil, encoded)
	if err != nil {
		return fmt.Errorf("framing the instances: %w", err)
	}
	return disk.WriteFileSynced(r.node.options.FileSystem, rememberedFile, framed)
}

// read returns the instances that an earlier process wrote, or none.
func (r *rememberedInstances) read() ([]registry.Instance, error) {
	content, err := r.node.options.FileSystem.ReadFile(rememberedFile)
	if errors.Is(err, disk.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading the instances: %w", err)
	}
	encoded, valid := journal.FrameAt(content)
	if !valid {
		return nil, errors.New("reading the instances: the checksum does not match")
	}
	var instances []registry.Instance
	if err := msgpack.Unmarshal(encoded, &instances); err != nil {
		return nil, fmt.Errorf("decoding the instances: %w", err)
	}
	return instances, nil
}
