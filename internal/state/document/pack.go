package document

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// packMark is the first byte of compressed data. Neither an encoded document nor
	// one that an operator sends begins with it. So uncompressed data of earlier
	// versions can be told apart.
	packMark = 0x01
	// maximumUnpacked bounds the size of decompressed data, in bytes.
	maximumUnpacked = 64 << 20
)

// Pack compresses data for the log and for other nodes. Documents are repetitive, so they
// compress well, and each version is sent to every node.
func Pack(data []byte) ([]byte, error) {
	packed := bytes.NewBuffer([]byte{packMark})
	writer, err := flate.NewWriter(packed, flate.BestSpeed)
	if err == nil {
		_, err = writer.Write(data)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("compressing a configuration document: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack decompresses data that Pack returned. Data that is not compressed is
// returned unchanged.
func Unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packMark {
		return data, nil
	}
	unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maximumUnpacked+1))
	if err != nil {
		return nil, fmt.Errorf("unpacking a configuration document: %w", err)
	}
	if len(unpacked) > maximumUnpacked {
		return nil, fmt.Errorf("unpacking a configuration document: it has over %d bytes", maximumUnpacked)
	}
	return unpacked, nil
}
