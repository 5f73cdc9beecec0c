package settings

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Finding is one error in a settings file.
type Finding struct {
	File string
	// Line is 0 if the finding is about a missing setting.
	Line    int
	Key     string
	Problem string
}

// String returns "file:line: key: problem".
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", place, f.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Key, f.Problem)
}

// Findings are all errors in a file.
type Findings []Finding

// Error implements error: one line per finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for position, finding := range f {
		lines[position] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Parse validates a file's content and returns the settings with defaults filled in. The error is
// of type Findings.
func Parse(file string, content []byte) (*Settings, error) {
	var raw map[string]any
	if err := toml.Unmarshal(content, &raw); err != nil {
		finding := Finding{File: file, Problem: err.Error()}
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			finding.Line, _ = syntax.Position()
		}
		return nil, Findings{finding}
	}
	settings := &Settings{Fleet: Fleet{PromptReservations: true}}
	parser := &parser{file: file, lines: indexLines(content)}
	parser.decodeTable("", raw, reflect.ValueOf(settings).Elem())
	settings.setDefaults()
	parser.isProduction = settings.Node.Profile == ProfileProduction
	parser.check(settings)
	if len(parser.findings) > 0 {
		slices.SortStableFunc(parser.findings, func(a, b Finding) int { return a.Line - b.Line })
		return nil, parser.findings
	}
	return settings, nil
}

// parser decodes settings and collects findings.
type parser struct {
	file string
	// lines holds the line number of each key.
	lines map[string]int
	// isProduction indicates the production profile, in which secret files must not be readable by
	// other users.
	isProduction bool
	findings     Findings
}

func (p *parser) addFinding(key, format string, arguments ...any) {
	p.findings = append(p.findings, Finding{File: p.file, Line: p.lines[key], Key: key, Problem: fmt.Sprintf(format, arguments...)})
}

// decodeTable decodes a TOML table into a struct.
func (p *parser) decodeTable(prefix string, raw map[string]any, target reflect.Value) {
	fields := map[string]reflect.Value{}
	for position := range target.NumField() {
		fields[target.Type().Field(position).Tag.Get("toml")] = target.Field(position)
	}
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		key := joinKey(prefix, name)
		field, known := fields[name]
		if !known {
			p.addFinding(key, "is not a setting; allowed here: %s", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		p.decodeValue(key, raw[name], field)
	}
}

func (p *parser) decodeValue(key string, raw any, target reflect.Value) {
	if target.Type() == reflect.TypeFor[time.Duration]() {
		p.decodeDuration(key, raw, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		if table, isTable := raw.(map[string]any); isTable {
			p.decodeTable(key, table, target)
			return
		}
	case reflect.Map:
		if table, isTable := raw.(map[string]any); isTable {
			p.decodeMap(key, table, target)
			return
		}
	case reflect.Slice:
		if list, isList := raw.([]any); isList {
			p.decodeList(key, list, target)
			return
		}
	case reflect.String:
		if text, isText := raw.(string); isText {
			target.SetString(text)
			return
		}
	case reflect.Bool:
		if boolean, isBoolean := raw.(bool); isBoolean {
			target.SetBool(boolean)
			return
		}
	case reflect.Float64:
		switch number := raw.(type) {
		case float64:
			target.SetFloat(number)
			return
		case int64:
			target.SetFloat(float64(number))
			return
		}
	case reflect.Int, reflect.Int64:
		if number, isNumber := raw.(int64); isNumber {
			target.SetInt(number)
			return
		}
	}
	p.addFinding(key, "must be a %s, not %v", kindName(target.Kind()), raw)
}

func (p *parser) decodeDuration(key string, raw any, target reflect.Value) {
	text, isText := raw.(string)
	duration, err := time.ParseDuration(text)
	if !isText || err != nil || duration <= 0 {
		p.addFinding(key, `must be a duration above 0 such as "30s", not %v`, raw)
		return
	}
	target.SetInt(int64(duration))
}

func (p *parser) decodeList(key string, raw []any, target reflect.Value) {
	list := reflect.MakeSlice(target.Type(), len(raw), len(raw))
	for position, element := range raw {
		p.decodeValue(fmt.Sprintf("%s[%d]", key, position), element, list.Index(position))
	}
	target.Set(list)
}

// decodeMap decodes a table whose keys are names into a map.
func (p *parser) decodeMap(key string, raw map[string]any, target reflect.Value) {
	named := reflect.MakeMapWithSize(target.Type(), len(raw))
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		value := reflect.New(target.Type().Elem()).Elem()
		p.decodeValue(joinKey(key, name), raw[name], value)
		named.SetMapIndex(reflect.ValueOf(name), value)
	}
	target.Set(named)
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.Struct, reflect.Map:
		return "table"
	case reflect.Slice:
		return "list"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text"
	case reflect.Float64:
		return "number"
	}
	return "whole number"
}

func joinKey(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

// indexLines returns the line number of each key. The first line is 1; entries of lists of tables
// are numbered from 0, as in "peers[0].name".
func indexLines(content []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	prefix := ""
	for number, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.Trim(line, "[] ")
			prefix = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			lines[prefix] = number + 1
		case strings.HasPrefix(line, "["):
			prefix = strings.Trim(line, "[] ")
			lines[prefix] = number + 1
		default:
			if name, _, found := strings.Cut(line, "="); found && !strings.HasPrefix(line, "#") {
				lines[joinKey(prefix, strings.Trim(strings.TrimSpace(name), `"`))] = number + 1
			}
		}
	}
	return lines
}
