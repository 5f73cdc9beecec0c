package journal

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"github.com/ravenway/ravenway/internal/state/disk"
)

const (
	// identityFile is the name of the file with the identity of a data folder.
	identityFile  = "identity"
	identityBytes = 8
)

// LoadIdentity reads the data folder's identity, or generates a new one for an
// empty folder: a replica that lost its data must not vote under its old identity.
func LoadIdentity(fileSystem disk.FileSystem) (uint64, error) {
	content, err := fileSystem.ReadFile(identityFile)
	if errors.Is(err, disk.ErrNotExist) {
		return newIdentity(fileSystem)
	}
	if err != nil {
		return 0, fmt.Errorf("reading the identity of the data folder: %w", err)
	}
	decoded, err := hex.DecodeString(strings.TrimSpace(string(content)))
	if err != nil || len(decoded) != identityBytes {
		return 0, fmt.Errorf("the file %q of the data folder does not hold an identity", identityFile)
	}
	return binary.BigEndian.Uint64(decoded), nil
}

func newIdentity(fileSystem disk.FileSystem) (uint64, error) {
	names, err := fileSystem.List()
	if err != nil {
		return 0, fmt.Errorf("listing the data folder: %w", err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, ".tmp") {
			return 0, fmt.Errorf("the data folder holds %q but no identity: it belongs to another program or is damaged", name)
		}
	}
	identity := make([]byte, identityBytes)
	_, _ = rand.Read(identity)
	// The identity has 53 bits, so that JSON numbers hold it exactly, and is never 0.
	identity[0], identity[1] = 0, identity[1]&0x1f|0x10
	content := []byte(hex.EncodeToString(identity) + "\n")
	if err := disk.WriteFileSynced(fileSystem, identityFile, content); err != nil {
		return 0, fmt.Errorf("writing the identity of the data folder: %w", err)
	}
	return binary.BigEndian.Uint64(identity), nil
}
