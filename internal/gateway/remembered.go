package gateway

import (
	"context"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/state/disk"
	"github.com/ravenway/ravenway/internal/state/journal"
)

// Names of the files in which control nodes keep hints for their next start.
const (
	rememberedInstances  = "instances"
	rememberedQuarantine = "quarantine"
)

// rememberedFile keeps state that a control node knows on its disk, as a hint for its next start:
// after a power loss of the whole fleet no node would have the state until it is reported again.
// The content that is read may be outdated; anything received later takes precedence.
type rememberedFile[Content any] struct {
	node *Node
	name string
	// digest is the digest of the content that was last queued for writing.
	digest uint64
	// due is the content to be written. If the channel is full, the disk is slow.
	due chan Content
}

func newRememberedFile[Content any](node *Node, name string) *rememberedFile[Content] {
	return &rememberedFile[Content]{node: node, name: name, due: make(chan Content, 1)}
}

// look queues the content for writing if its digest has changed.
func (r *rememberedFile[Content]) look(digest uint64, content func() Content) {
	if digest == r.digest {
		return
	}
	select {
	case r.due <- content():
		r.digest = digest
	default:
		// The digest stays outdated, so the next call tries again.
	}
}

// run writes queued content on a goroutine of its own, so that a disk that hangs blocks no duty.
func (r *rememberedFile[Content]) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case content := <-r.due:
			if err := r.write(content); err != nil {
				r.node.log.Warn().Str("event", "not_remembered").Str("file", r.name).Err(err).Send()
			}
		}
	}
}

func (r *rememberedFile[Content]) write(content Content) error {
	encoded, err := msgpack.Marshal(content)
	if err != nil {
		return fmt.Errorf("encoding %s: %w", r.name, err)
	}
	framed, err := journal.AppendFrame(nil, encoded)
	if err != nil {
		return fmt.Errorf("framing %s: %w", r.name, err)
	}
	return disk.WriteFileSynced(r.node.options.FileSystem, r.name, framed)
}

// recall returns the content that an earlier process wrote. A file that can't be read is treated as
// missing, since all of its content will be reported again.
func (r *rememberedFile[Content]) recall() (content Content) {
	read, err := r.read()
	if err != nil {
		r.node.log.Warn().Str("event", "not_recalled").Str("file", r.name).Err(err).Send()
		return content
	}
	return read
}

func (r *rememberedFile[Content]) read() (content Content, err error) {
	file, err := r.node.options.FileSystem.ReadFile(r.name)
	if errors.Is(err, disk.ErrNotExist) {
		return content, nil
	}
	if err != nil {
		return content, fmt.Errorf("reading %s: %w", r.name, err)
	}
	encoded, valid := journal.FrameAt(file)
	if !valid {
		return content, fmt.Errorf("reading %s: the checksum does not match", r.name)
	}
	if err := msgpack.Unmarshal(encoded, &content); err != nil {
		return content, fmt.Errorf("decoding %s: %w", r.name, err)
	}
	return content, nil
}
