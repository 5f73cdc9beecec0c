package peer

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

type Inner struct {
	Name  string `msgpack:"n"`
	Count int    `msgpack:"c,omitempty"`
}

type outer struct {
	Inner
	Hidden  int                `msgpack:"-"`
	Plain   uint64             `msgpack:"p"`
	Pointer *Inner             `msgpack:"i,omitempty"`
	List    []Inner            `msgpack:"l"`
	Bytes   []byte             `msgpack:"b"`
	Raw     msgpack.RawMessage `msgpack:"r"`
	Unnamed bool
}

func filledOuter() outer {
	return outer{
		Inner: Inner{Name: "name", Count: 3}, Plain: 1 << 40, Pointer: &Inner{Name: "pointed"}, List: []Inner{{Name: "one"}, {Name: "two", Count: 2}},
		Bytes: []byte{1, 2}, Raw: msgpack.RawMessage{0x05}, Unnamed: true,
	}
}

// fieldsOf must list the fields that the library encodes, in the same order, since arrays are
// decoded by position.
func TestOrderOfFieldsMatchesTheLibrary(t *testing.T) {
	for _, value := range []any{outer{}, Inner{}, Hello{}, NodeEntry{}, Call{}, Reply{}, Status{}, DocumentFetch{}} {
		var length int
		encoded, err := marshalArrays(value)
		assert.NilError(t, err)
		var fields []msgpack.RawMessage
		assert.NilError(t, msgpack.Unmarshal(encoded, &fields))
		length = len(fields)
		assert.Equal(t, len(fieldsOf(reflect.TypeOf(value))), length, "%T", value)
	}
	// Encode by position, then decode by name.
	encoded, err := marshalArrays(filledOuter())
	assert.NilError(t, err)
	named, err := nameFields(encoded, reflect.TypeFor[outer]())
	assert.NilError(t, err)
	var read outer
	assert.NilError(t, msgpack.Unmarshal(named, &read))
	assert.DeepEqual(t, read, filledOuter())
}

// Guards against a new field of NodeEntry: lists of nodes are sent to builds that know exactly four
// fields.
func TestNodeEntryHasTheFieldsOfAllBuilds(t *testing.T) {
	assert.Equal(t, reflect.TypeFor[NodeEntry]().NumField(), nodeEntryFields)
	entry := NodeEntry{Address: "a:1", Zone: "z", Control: true}
	for _, marshal := range []func(any) ([]byte, error){marshalArrays, marshalNamed} {
		encoded, err := marshal([]NodeEntry{entry})
		assert.NilError(t, err)
		var read []NodeEntry
		assert.NilError(t, msgpack.Unmarshal(encoded, &read))
		assert.DeepEqual(t, read, []NodeEntry{entry})
	}
}

func TestDamagedMessageIsAnError(t *testing.T) {
	encoded, err := marshalArrays(filledOuter())
	assert.NilError(t, err)
	for length := range encoded {
		var read outer
		assert.Assert(t, unmarshal(encoded[:length], &read) != nil, "%d of %d bytes", length, len(encoded))
	}
}
