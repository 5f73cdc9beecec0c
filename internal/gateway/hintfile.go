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
	instancesHintFile  = "instances"
	quarantineHintFile = "quarantine"
)

// hintFile keeps state that a control node knows on its disk, as a hint for its next start:
// after a power loss of the whole fleet no node would have the state until it is reported again.
// The content that is read may be outdated; anything received later takes precedence.
type hintFile[Content any] struct {
	node *Node
	name string
	// digest is the digest of the content that was last queued for writing.
	digest uint64
	// queue is the content to be written. If the channel is full, the disk is slow.
	queue chan Content
}

func newHintFile[Content any](node *Node, name string) *hintFile[Content] {
	return &hintFile[Content]{node: node, name: name, queue: make(chan Content, 1)}
}

// writeIfChanged queues the content for writing if its digest has changed.
func (h *hintFile[Content]) writeIfChanged(digest uint64, content func() Content) {
	if digest == h.digest {
		return
	}
	select {
	case h.queue <- content():
		h.digest = digest
	default:
		// The digest stays outdated, so the next call tries again.
	}
}

// run writes queued content on a goroutine of its own, so that a disk that hangs blocks no duty.
func (h *hintFile[Content]) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case content := <-h.queue:
			if err := h.write(content); err != nil {
				h.node.log.Warn().Str("event", "not_remembered").Str("file", h.name).Err(err).Send()
			}
		}
	}
}

func (h *hintFile[Content]) write(content Content) error {
	encoded, err := msgpack.Marshal(content)
	if err != nil {
		return fmt.Errorf("encoding %s: %w", h.name, err)
	}
	framed, err := journal.AppendFrame(nil, encoded)
	if err != nil {
		return fmt.Errorf("framing %s: %w", h.name, err)
	}
	return disk.WriteFileSynced(h.node.options.FileSystem, h.name, framed)
}

// load returns the content that an earlier process wrote. A file that can't be read is treated as
// missing, since all of its content will be reported again.
func (h *hintFile[Content]) load() (content Content) {
	read, err := h.read()
	if err != nil {
		h.node.log.Warn().Str("event", "not_recalled").Str("file", h.name).Err(err).Send()
		return content
	}
	return read
}

func (h *hintFile[Content]) read() (content Content, err error) {
	file, err := h.node.options.FileSystem.ReadFile(h.name)
	if errors.Is(err, disk.ErrNotExist) {
		return content, nil
	}
	if err != nil {
		return content, fmt.Errorf("reading %s: %w", h.name, err)
	}
	encoded, valid := journal.FrameAt(file)
	if !valid {
		return content, fmt.Errorf("reading %s: the checksum does not match", h.name)
	}
	if err := msgpack.Unmarshal(encoded, &content); err != nil {
		return content, fmt.Errorf("decoding %s: %w", h.name, err)
	}
	return content, nil
}
