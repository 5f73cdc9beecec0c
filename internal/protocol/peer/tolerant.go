package peer

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// OlderFields is implemented by structs to which a field was added anywhere but at the
// end.
type OlderFields interface {
	// OlderFields returns the field names, in order, of an array with count fields that
	// earlier builds encode; nil if they encode none of that length.
	OlderFields(count int) []string
}

// unmarshal decodes a message of this or another build. The library decodes messages of this
// build, which are nearly all. If it refuses one, the message's arrays are first converted to
// maps with field names.
func unmarshal(data []byte, message any) error {
	err := msgpack.Unmarshal(data, message)
	if err == nil {
		return nil
	}
	target := reflect.ValueOf(message).Elem()
	named, nameErr := nameFields(data, target.Type())
	if nameErr != nil {
		// The data is damaged; the library's error says where.
		return err
	}
	target.SetZero()
	return msgpack.Unmarshal(named, message)
}

// nameFields converts the structs of a message that are encoded as arrays to maps.
func nameFields(data []byte, of reflect.Type) ([]byte, error) {
	reader := bytes.NewReader(data)
	var named bytes.Buffer
	n := fieldNamer{decoder: msgpack.NewDecoder(reader), encoder: msgpack.NewEncoder(&named)}
	if err := n.copyValue(of); err != nil {
		return nil, err
	}
	return named.Bytes(), nil
}

// fieldNamer copies one message from its decoder to its encoder and adds field names to arrays.
type fieldNamer struct {
	decoder *msgpack.Decoder
	encoder *msgpack.Encoder
}

var customDecoder = reflect.TypeFor[msgpack.CustomDecoder]()

// copyValue copies a value that will be decoded into a type.
func (n *fieldNamer) copyValue(of reflect.Type) error {
	for of.Kind() == reflect.Pointer {
		of = of.Elem()
	}
	code, err := n.decoder.PeekCode()
	if err != nil {
		return err
	}
	isArray := msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
	isMap := msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
	switch {
	case reflect.PointerTo(of).Implements(customDecoder):
		return n.copyRaw()
	case of.Kind() == reflect.Struct && isArray:
		return n.copyArrayAsMap(of)
	case of.Kind() == reflect.Struct && isMap:
		return n.copyMap(of)
	case of.Kind() == reflect.Slice && isArray:
		return n.copyList(of.Elem())
	}
	return n.copyRaw()
}

// copyRaw copies a value unchanged.
func (n *fieldNamer) copyRaw() error {
	value, err := n.decoder.DecodeRaw()
	if err != nil {
		return err
	}
	return n.encoder.Encode(value)
}

func (n *fieldNamer) copyList(element reflect.Type) error {
	length, err := n.decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if err := n.encoder.EncodeArrayLen(length); err != nil {
		return err
	}
	for range length {
		if err := n.copyValue(element); err != nil {
			return err
		}
	}
	return nil
}

func (n *fieldNamer) copyArrayAsMap(of reflect.Type) error {
	count, err := n.decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	known := fieldsOfArray(of, count)
	if err := n.encoder.EncodeMapLen(min(count, len(known))); err != nil {
		return err
	}
	for position := range count {
		if position >= len(known) {
			// The field was added by a newer build.
			if err := n.decoder.Skip(); err != nil {
				return err
			}
			continue
		}
		if err := n.encoder.EncodeString(known[position].name); err != nil {
			return err
		}
		if err := n.copyValue(known[position].fieldType); err != nil {
			return err
		}
	}
	return nil
}

func (n *fieldNamer) copyMap(of reflect.Type) error {
	count, err := n.decoder.DecodeMapLen()
	if err != nil {
		return err
	}
	if err := n.encoder.EncodeMapLen(count); err != nil {
		return err
	}
	types := map[string]reflect.Type{}
	for _, known := range fieldsOf(of) {
		types[known.name] = known.fieldType
	}
	for range count {
		name, err := n.decoder.DecodeString()
		if err != nil {
			return err
		}
		if err := n.encoder.EncodeString(name); err != nil {
			return err
		}
		known, found := types[name]
		if !found {
			known = reflect.TypeFor[any]()
		}
		if err := n.copyValue(known); err != nil {
			return err
		}
	}
	return nil
}

// field is one encoded field of a struct.
type field struct {
	name      string
	fieldType reflect.Type
}

// fieldsOfArray returns the fields of an array with count fields: those of this build, unless
// earlier builds encode arrays of that length with other fields.
func fieldsOfArray(of reflect.Type, count int) []field {
	fields := fieldsOf(of)
	older, hasOlder := reflect.Zero(of).Interface().(OlderFields)
	if !hasOlder {
		return fields
	}
	names := older.OlderFields(count)
	if names == nil {
		return fields
	}
	var ordered []field
	for _, name := range names {
		for _, one := range fields {
			if one.name == name {
				ordered = append(ordered, one)
			}
		}
	}
	return ordered
}

// fieldsOf returns the fields of a struct in the order in which the library encodes them. An
// embedded struct is replaced by its fields.
func fieldsOf(of reflect.Type) []field {
	var fields []field
	for structField := range of.Fields() {
		name, _, _ := strings.Cut(structField.Tag.Get("msgpack"), ",")
		switch {
		case name == "-" || !structField.IsExported() && !structField.Anonymous:
		case structField.Anonymous && name == "" && structField.Type.Kind() == reflect.Struct:
			fields = append(fields, fieldsOf(structField.Type)...)
		case name == "":
			fields = append(fields, field{name: structField.Name, fieldType: structField.Type})
		default:
			fields = append(fields, field{name: name, fieldType: structField.Type})
		}
	}
	return fields
}

// Shape describes the encoding of a type: one line with name and kind for each field of each
// struct in it, in order. Two builds with equal shapes of a message encode it in the same
// way.
func Shape(of reflect.Type) []string {
	var lines []string
	seen := map[reflect.Type]bool{}
	var visit func(reflect.Type)
	visit = func(visited reflect.Type) {
		for visited.Kind() == reflect.Pointer || visited.Kind() == reflect.Slice {
			visited = visited.Elem()
		}
		if visited.Kind() != reflect.Struct || seen[visited] {
			return
		}
		seen[visited] = true
		for _, known := range fieldsOf(visited) {
			lines = append(lines, fmt.Sprintf("%s.%s %s", visited, known.name, wireKind(known.fieldType)))
			visit(known.fieldType)
		}
	}
	visit(of)
	return lines
}

// wireKind returns the kind of a type's encoded values.
func wireKind(of reflect.Type) string {
	switch of.Kind() {
	case reflect.Pointer:
		return wireKind(of.Elem())
	case reflect.Slice:
		if of.Elem().Kind() == reflect.Uint8 {
			return "bytes"
		}
		return "list of " + wireKind(of.Elem())
	case reflect.Struct:
		return of.String()
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "integer"
	}
	return of.Kind().String()
}
