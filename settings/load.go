package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/foxtailstack/foxtailstack"
)

// ErrInvalid reports settings that cannot be read, do not satisfy the schema, or have
// tls.plain without a loopback address in listen.callers.
var ErrInvalid = errors.New("invalid settings")

// Problem describes one error in a settings file. It wraps ErrInvalid.
type Problem struct {
	File string
	// Line is the number of the line with the key, counted from one. If that line is
	// missing or was not found, it is the line of the outermost table of the key, or
	// one if there is none. For a syntax error it is the line that the parser reports.
	Line int
	// Key is the dotted name of the key. For a syntax error it is the last key that
	// the parser read, and may be empty.
	Key  string
	Text string
}

// Error returns the problem on one line, in the form file:line: key: text.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Unwrap returns ErrInvalid.
func (p *Problem) Unwrap() error {
	return ErrInvalid
}

// Load reads a settings file and checks it for a role. The error holds all problems,
// joined by errors.Join; each is a *Problem. A file that cannot be read, and TOML that
// cannot be parsed, give a single error. All errors wrap ErrInvalid. The settings may
// hold invalid values unless the error is nil.
func Load(path string, role foxtailstack.Role) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Parse(path, string(data), role)
}

// Parse is like Load but reads the settings from text. Problems name file as the
// source.
func Parse(file, text string, role foxtailstack.Role) (Settings, error) {
	values := map[string]any{}
	_, err := toml.Decode(text, &values)
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return Settings{}, &Problem{
			File: file,
			Line: syntax.Position.Line,
			Key:  syntax.LastKey,
			Text: syntax.Message,
		}
	}
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %s: %w", ErrInvalid, file, err)
	}
	p := parser{
		file:  file,
		lines: lineNumbers(text),
	}
	p.parse(flatten("", values), role)
	return p.settings, errors.Join(p.problems...)
}

// parser collects the settings of a file and the problems found in them.
type parser struct {
	file     string
	lines    map[string]int
	settings Settings
	problems []error
}

// parse sets the keys that are in the schema. It adds a problem for each invalid value,
// missing required key and unknown key, and for tls.plain if listen.callers is not a
// loopback address, and sorts the problems by line. It deletes the known keys from
// values.
func (p *parser) parse(values map[string]any, role foxtailstack.Role) {
	for _, k := range schema {
		value, found := values[k.name]
		delete(values, k.name)
		switch {
		case found:
			err := k.set(&p.settings, value)
			if err != nil {
				p.add(k.name, err.Error())
			}
		case slices.Contains(k.requiredBy, role):
			p.add(k.name, "is missing")
		}
	}
	unknown := make([]string, 0, len(values))
	for name := range values {
		unknown = append(unknown, name)
	}
	sort.Strings(unknown)
	for _, name := range unknown {
		p.add(name, "is not a known key")
	}
	if p.settings.TLS.Plaintext && !loopback(p.settings.Listen.Callers) {
		p.add("tls.plain", "is allowed on a loopback address only")
	}
	sort.SliceStable(p.problems, func(i, j int) bool { return lineOf(p.problems[i]) < lineOf(p.problems[j]) })
}

// add appends a problem with the key of the given dotted name. If the line of the key
// is not known, it takes that of the outermost table, or else line one.
func (p *parser) add(name, text string) {
	line, ok := p.lines[name]
	if !ok {
		table, _, _ := strings.Cut(name, ".")
		line = max(p.lines[table], 1)
	}
	p.problems = append(p.problems, &Problem{
		File: p.file,
		Line: line,
		Key:  name,
		Text: text,
	})
}

// lineOf returns the line number of a *Problem, or zero for any other error.
func lineOf(err error) int {
	var problem *Problem
	if errors.As(err, &problem) {
		return problem.Line
	}
	return 0
}

// flatten returns the values of all nested tables, keyed by their dotted names.
func flatten(prefix string, values map[string]any) map[string]any {
	flat := map[string]any{}
	for name, value := range values {
		table, ok := value.(map[string]any)
		if !ok {
			flat[prefix+name] = value
			continue
		}
		for inner, v := range flatten(prefix+name+".", table) {
			flat[inner] = v
		}
	}
	return flat
}

// lineNumbers returns the line number of each key, by its dotted name, and of each
// table, counted from one. It looks only for lines of the forms "key = value" and
// "[table]" and does not parse TOML: keys in quotes and in inline tables are not found,
// and a line of this form inside a multi-line string counts as a key or table.
func lineNumbers(text string) map[string]int {
	lines := map[string]int{}
	table := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(strings.TrimSpace(strings.SplitN(line, "#", 2)[0]), "[] ")
			lines[table] = i + 1
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		name = strings.TrimSpace(name)
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		if table != "" {
			name = table + "." + name
		}
		lines[name] = i + 1
	}
	return lines
}
