package document

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// packMark begins packed bytes. Neither an encoded document nor one as an
	// operator sends it begins with it, so bytes of earlier versions, which were
	// not packed, are known.
	packMark = 0x01
	// maximumUnpacked bounds what packed bytes may become, in bytes.
	maximumUnpacked = 64 << 20
)

// Pack makes bytes smaller for the log and for other nodes: a document is mostly
// the same few words, and every node is sent each version.
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
		return nil, fmt.Errorf("packing a configuration document: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack is the other direction of Pack. Bytes that were not packed are
// returned as they are.
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
