package transport

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"io"
)

const (
	// MaximumFrameBytes bounds the size of one frame; snapshots are the largest ones.
	MaximumFrameBytes = 64 << 20
	// maximumHandshakeBytes bounds the bytes that a node reads from an unauthenticated peer in
	// one frame.
	maximumHandshakeBytes = 4 << 10
	// frameMACBytes is the length of each frame's message authentication code.
	frameMACBytes = 16
	lengthBytes   = 4
	// FrameOverheadBytes is the number of bytes that a frame adds to its payload.
	FrameOverheadBytes = lengthBytes + frameMACBytes
)

// Errors of frames.
var (
	// ErrFrameTooLong is returned for a frame whose length exceeds the limit.
	ErrFrameTooLong = errors.New("transport: frame too long")
	// ErrFrameNotAuthentic is returned for a frame whose authentication code does not match: it
	// was corrupted, forged, replayed or reordered.
	ErrFrameNotAuthentic = errors.New("transport: frame not authentic")
)

// writePlain writes a frame without an authentication code, for the handshake only.
func writePlain(writer io.Writer, payload []byte) error {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	_, err := writer.Write(append(frame, payload...))
	return err
}

// readPlain reads a frame without an authentication code, for the handshake only.
func readPlain(reader io.Reader) ([]byte, error) {
	return readBounded(reader, maximumHandshakeBytes)
}

func readBounded(reader io.Reader, maximum uint32) ([]byte, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maximum {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrFrameTooLong, length, maximum)
	}
	payload := make([]byte, length)
	_, err := io.ReadFull(reader, payload)
	return payload, err
}

// frameAuthenticator authenticates the frames of one direction of one connection. A frame's
// number is part of its authentication code, so replayed or reordered frames are refused.
type frameAuthenticator struct {
	mac hash.Hash
	// number is the number of the next frame, from 0.
	number uint64
}

func newFrameAuthenticator(key []byte) *frameAuthenticator {
	return &frameAuthenticator{mac: hmac.New(sha256.New, key)}
}

func (a *frameAuthenticator) authenticationCode(payload []byte) []byte {
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], a.number)
	a.number++
	a.mac.Reset()
	a.mac.Write(number[:])
	a.mac.Write(payload)
	return a.mac.Sum(nil)[:frameMACBytes]
}

// write writes one authenticated frame.
func (a *frameAuthenticator) write(writer *bufio.Writer, payload []byte) error {
	if len(payload) > MaximumFrameBytes-frameMACBytes {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLong, len(payload))
	}
	var header [lengthBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(payload)+frameMACBytes))
	if _, err := writer.Write(header[:]); err != nil {
		return err
	}
	if _, err := writer.Write(payload); err != nil {
		return err
	}
	_, err := writer.Write(a.authenticationCode(payload))
	return err
}

// read reads one authenticated frame.
func (a *frameAuthenticator) read(reader io.Reader) ([]byte, error) {
	frame, err := readBounded(reader, MaximumFrameBytes)
	if err != nil {
		return nil, err
	}
	if len(frame) < frameMACBytes {
		return nil, ErrFrameNotAuthentic
	}
	payload, code := frame[:len(frame)-frameMACBytes], frame[len(frame)-frameMACBytes:]
	if !hmac.Equal(code, a.authenticationCode(payload)) {
		return nil, ErrFrameNotAuthentic
	}
	return payload, nil
}
