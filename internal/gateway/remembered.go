package gateway

import (
	"context"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/state/disk"
	"github.com/ravenway/ravenway/internal/state/journal"
)

// Files that control nodes keep hints for their next start in.
const (
	rememberedInstances  = "instances"
	rememberedQuarantine = "quarantine"
)

// rememberedFile keeps what a control node knows of something on its disk, as a hint for
// its next start: after a loss of all power nobody would know it until it is told anew.
// What is read may be outdated; whatever comes later goes before it.
type rememberedFile[Content any] struct {
	node *Node
	name string
	// digest is that of the content written last.
	digest uint64
	// due is the content to be written; a full channel means that the disk is slow.
	due chan Content
}

func newRememberedFile[Content any](node *Node, name string) *rememberedFile[Content] {
	return &rememberedFile[Content]{node: node, name: name, due: make(chan Content, 1)}
}

// look has the content written if it has changed.
func (r *rememberedFile[Content]) look(digest uint64, content func() Content) {
	if digest == r.digest {
		return
	}
	select {
	case r.due <- content():
		r.digest = digest
	default:
		// The next look finds it changed still.
	}
}

// run writes what is offered, away from all duties: a disk may hang.
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

// recall returns what an earlier process wrote. A file that can't be read is as good as
// none: all that it holds is told again.
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
