package document

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func validDocument() *Document {
	return &Document{
		Version:  7,
		Services: []Service{{Name: "llm"}, {Name: "app"}},
		Routes: []Route{
			{Name: "long", Host: "Example", Prefix: "/a/b/", Timeout: time.Second, Targets: []Target{{Service: "llm", Weight: 1}}},
			{Name: "short", Host: "example", Prefix: "/a/", Timeout: time.Second, Targets: []Target{{Service: "app", Weight: 1}}},
		},
		Tenants: []Tenant{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	}
}

func TestValidDocumentHasNoFindings(t *testing.T) {
	assert.Equal(t, len(validDocument().Check()), 0)
}

func TestEachMistakeIsAFindingWithItsPlace(t *testing.T) {
	mistakes := map[string]func(*Document){
		"routes[0]: the service \"gone\" is not known":      func(d *Document) { d.Routes[0].Targets[0].Service = "gone" },
		"routes[1]: host \"example\" and prefix \"/a/b/\"":  func(d *Document) { d.Routes[1].Prefix = "/a/b/" },
		"routes[0]: the weights add up to 0":                func(d *Document) { d.Routes[0].Targets[0].Weight = 0 },
		"routes[0]: the timeout must be above 0":            func(d *Document) { d.Routes[0].Timeout = 0 },
		"tenants[1]: one of its keys is also of tenant":     func(d *Document) { d.Tenants[1].Keys = []string{"k2"} },
		"services[1]: the service \"llm\" stands twice":     func(d *Document) { d.Services[1].Name = "llm" },
		"routes[1]: the prefix \"/a\" does not begin and":   func(d *Document) { d.Routes[1].Prefix = "/a" },
		"tenants[1]: the name \"one\" is empty or stands":   func(d *Document) { d.Tenants[1].Name = "one" },
		"routes[0]: the weight of service \"llm\" is below": func(d *Document) { d.Routes[0].Targets[0].Weight = -1 },
	}
	for want, change := range mistakes {
		wrong := validDocument()
		change(wrong)
		assert.Assert(t, strings.Contains(wrong.Check().Error(), want), "want %q in:\n%s", want, wrong.Check().Error())
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	index := NewIndex(validDocument())
	assert.Equal(t, index.Route("example:80", "/a/b/c").Name, "long")
	assert.Equal(t, index.Route("EXAMPLE", "/a/x").Name, "short")
	assert.Assert(t, index.Route("example", "/b/") == nil)
	assert.Assert(t, index.Route("other", "/a/") == nil)
	assert.Equal(t, index.TenantOfKey("k3").Name, "two")
	assert.Assert(t, index.TenantOfKey("") == nil)
}

func TestDocumentIsEqualAfterEncodingAndDecoding(t *testing.T) {
	data, err := validDocument().Encode()
	assert.NilError(t, err)
	decoded, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, validDocument())
}

func TestCompressedDataIsReadUnchanged(t *testing.T) {
	long := bytes.Repeat([]byte(`{"name":"r-6yhvz3p","host":"ficu95.example","path_prefix":"/x/"},`), 400)
	for _, data := range [][]byte{nil, {}, []byte("{}"), long, {compressionMarker, 2, 3}} {
		compressed, err := Compress(data)
		assert.NilError(t, err)
		decompressed, err := Decompress(compressed)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(decompressed, data), "%q", data)
	}
	compressed, err := Compress(long)
	assert.NilError(t, err)
	assert.Assert(t, len(compressed) < len(long)/10, "%d of %d bytes", len(compressed), len(long))
	// Earlier versions wrote uncompressed bytes.
	decompressed, err := Decompress([]byte(`{"version":1}`))
	assert.NilError(t, err)
	assert.Equal(t, string(decompressed), `{"version":1}`)
	_, err = Decompress([]byte{compressionMarker, 0xff, 0xff, 0xff})
	assert.ErrorContains(t, err, "unpacking")
}

func BenchmarkCompress(b *testing.B) {
	data := bytes.Repeat([]byte("route and service "), 500)
	b.ReportAllocs()
	for b.Loop() {
		_, err := Compress(data)
		assert.NilError(b, err)
	}
}

// Guards against a writer that is used again and still holds data of another document.
func TestDocumentsCompressedAtTheSameTimeAreReadUnchanged(t *testing.T) {
	var compressing sync.WaitGroup
	for number := range 50 {
		compressing.Go(func() {
			data := bytes.Repeat([]byte{byte(number)}, 1000*number)
			compressed, err := Compress(data)
			assert.Check(t, err)
			decompressed, err := Decompress(compressed)
			assert.Check(t, err)
			assert.Check(t, bytes.Equal(decompressed, data))
		})
	}
	compressing.Wait()
}
