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

// ErrInvalid means that settings are not as they must be.
var ErrInvalid = errors.New("invalid settings")

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Line is the line of the key, of its table if the key is missing, or the
	// first line if there is neither.
	Line int
	Key  string
	Text string
}

// Error returns the problem in one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Unwrap returns ErrInvalid.
func (p *Problem) Unwrap() error {
	return ErrInvalid
}

// Load reads the settings of a role in a file. All problems are returned
// together, joined by errors.Join; each is a *Problem.
func Load(path string, role foxtailstack.Role) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Parse(path, string(data), role)
}

// Parse reads the settings of a role from text; file is named in problems.
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

// parser collects the settings in a file and the problems with them.
type parser struct {
	file     string
	lines    map[string]int
	settings Settings
	problems []error
}

// parse sets each key that the schema knows and checks what is missing.
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
		case slices.Contains(k.needed, role):
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

// add adds a problem with a key.
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

// lineOf returns the line of a problem.
func lineOf(err error) int {
	var problem *Problem
	if errors.As(err, &problem) {
		return problem.Line
	}
	return 0
}

// flatten returns the values of all tables under their dotted names.
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

// lineNumbers returns the line of each key and table, counted from one.
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
