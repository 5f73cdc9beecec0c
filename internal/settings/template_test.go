package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	templateSection     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	templatePlaceholder = regexp.MustCompile(`\{\{([a-z_.0-9@,]+)\}\}`)
)

// renderTemplate renders a settings template as the platform does. Placeholders get the values of
// their dotted names; a section is rendered once for each entry of a list or table, or once if its
// value is set.
func renderTemplate(template string, values map[string]any) string {
	rendered := templateSection.ReplaceAllStringFunc(template, func(section string) string {
		parts := templateSection.FindStringSubmatch(section)
		switch value := values[parts[1]].(type) {
		case nil:
			return ""
		case []string:
			var text strings.Builder
			for position, entry := range value {
				key, name, _ := strings.Cut(entry, "=")
				comma := ","
				if position == len(value)-1 {
					comma = ""
				}
				text.WriteString(strings.NewReplacer("{{.}}", name, "{{@}}", key, "{{,}}", comma).Replace(parts[2]))
			}
			return text.String()
		}
		return parts[2]
	})
	return templatePlaceholder.ReplaceAllStringFunc(rendered, func(placeholder string) string {
		if value, found := values[templatePlaceholder.FindStringSubmatch(placeholder)[1]]; found {
			return fmt.Sprint(value)
		}
		return ""
	})
}

// Guards against a template whose rendered settings for a node of either role are invalid.
func TestRenderedPlatformTemplateIsValid(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.toml.template")
	assert.NilError(t, err)
	key := filepath.Join(t.TempDir(), "peer.key")
	assert.NilError(t, os.WriteFile(key, []byte(strings.Repeat("k", 32)), 0o600))
	values := map[string]any{
		"node": "front-a-1", "zone": "a", "ip": "10.1.0.9", "port_range.0": 7020, "port_range.1": 7035, "bootstrap": true,
		"seeds": []string{"0=10.1.0.12:8425", "1=10.2.0.7:8425"}, "zones": []string{"a=north", "b=south"},
		"limits.memory_mb": 184, "limits.link_mbps": 10.0, "bounds.grace_s": 8, "bounds.retry_window_s": 10, "bounds.retry_ratio": 0.2, "bounds.retry_slack": 170,
	}
	for role, roleValues := range map[string]map[string]any{
		"entry":   {"listen.front": "10.1.0.9:8428", "listen.ready": "10.1.0.9:8423"},
		"control": {"listen.control": "10.1.0.9:8425", "data_dir": "/data/control", "bounds.exposure_share": 0.1},
	} {
		values["role"] = role
		for name, value := range roleValues {
			values[name] = value
		}
		text := strings.Replace(renderTemplate(string(template), values), `"deploy/peer.key"`, fmt.Sprintf("%q", key), 1)
		parsed, err := Parse("filled.toml", []byte(text))
		assert.NilError(t, err, text)
		assert.DeepEqual(t, parsed.Fleet.Regions, map[string]string{"a": "north", "b": "south"})
		assert.DeepEqual(t, parsed.Fleet.Zones, []string{"a", "b"})
		assert.Equal(t, parsed.Bounds.ExposureShare, 0.1)
		for name := range roleValues {
			delete(values, name)
		}
	}
	_, err = Parse("filled.toml", []byte(strings.Replace(renderTemplate(string(template), values), `"a" = "north"`, `"a" = 3`, 1)))
	assert.ErrorContains(t, err, "fleet.regions.a: must be a text, not 3")
}
