package daemon

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"strings"
)

// leadingKeys are the keys at the start of each line, in this order.
var leadingKeys = []string{"time", "level", "node", "event"}

// keyValueWriter converts zerolog's JSON events to lines of key=value pairs.
type keyValueWriter struct{ writer io.Writer }

func newKeyValueWriter(writer io.Writer) io.Writer { return &keyValueWriter{writer: writer} }

// Write implements io.Writer: one call is one event.
func (k *keyValueWriter) Write(event []byte) (int, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(event, &fields); err != nil {
		return k.writer.Write(event)
	}
	keys := make([]string, 0, len(fields))
	for key := range fields {
		if !slices.Contains(leadingKeys, key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var line bytes.Buffer
	for _, key := range append(slices.Clone(leadingKeys), keys...) {
		if value, found := fields[key]; found {
			if line.Len() > 0 {
				line.WriteByte(' ')
			}
			line.WriteString(key + "=" + formatValue(value))
		}
	}
	line.WriteByte('\n')
	if _, err := k.writer.Write(line.Bytes()); err != nil {
		return 0, err
	}
	return len(event), nil
}

// formatValue returns a value unquoted if it is one simple word, and quoted otherwise.
func formatValue(raw json.RawMessage) string {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		text = string(raw)
	}
	if text == "" || strings.ContainsAny(text, " =\"\n\t") {
		return strconv.Quote(text)
	}
	return text
}
