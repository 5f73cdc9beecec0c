package document

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

const (
	// compressionMarker is the first byte of compressed data. Neither an encoded document nor
	// one that an operator sends begins with it. So uncompressed data of earlier
	// versions can be told apart.
	compressionMarker = 0x01
	// maximumDecompressedBytes bounds the size of decompressed data, in bytes.
	maximumDecompressedBytes = 64 << 20
)

// Compress compresses data for the log and for other nodes. Documents are repetitive, so they
// compress well, and each version is sent to every node.
func Compress(data []byte) ([]byte, error) {
	compressed := bytes.NewBuffer([]byte{compressionMarker})
	writer, err := newWriter(compressed)
	if err == nil {
		_, err = writer.Write(data)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("compressing a configuration document: %w", err)
	}
	writers.Put(writer)
	return compressed.Bytes(), nil
}

// writers holds *flate.Writer for use again: each has over a megabyte of tables.
var writers sync.Pool

func newWriter(target io.Writer) (*flate.Writer, error) {
	if used, found := writers.Get().(*flate.Writer); found {
		used.Reset(target)
		return used, nil
	}
	return flate.NewWriter(target, flate.BestSpeed)
}

// Decompress decompresses data that Compress returned. Data that is not compressed is
// returned unchanged.
func Decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressionMarker {
		return data, nil
	}
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maximumDecompressedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpacking a configuration document: %w", err)
	}
	if len(decompressed) > maximumDecompressedBytes {
		return nil, fmt.Errorf("unpacking a configuration document: it has over %d bytes", maximumDecompressedBytes)
	}
	return decompressed, nil
}
